package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitlock.example/godwitlock/topo"
)

var start = time.Unix(1000, 0)

const customer topo.CustomerID = "c"

// Guards against a customer that exceeds its rate and burst, summed over all
// VMs, in any window: with VMs that are cut off, reports whose answer is lost,
// and leaders that know nothing of their predecessor, which cost one more
// burst.
func TestRateHoldsOverAllVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Allowance{Rate: rapid.Float64Range(5, 100).Draw(t, "rate"), Burst: rapid.Float64Range(5, 100).Draw(t, "burst")}
		ledger := NewLedger(start)
		ledger.SetLimit(start, customer, limit)
		purses := make([]*Purse, 4)
		last := make([]time.Time, len(purses))
		for i := range purses {
			purses[i], last[i] = NewPurse(), start
		}
		var served []time.Time
		now := start
		bursts := 1.0
		for range 600 {
			now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(purses)-1).Draw(t, "vm")
			switch rapid.IntRange(0, 30).Draw(t, "what") {
			case 0:
				ledger = NewLedger(now)
				ledger.SetLimit(now, customer, limit)
				bursts = 2
			case 1, 2, 3, 4, 5, 6:
				grants := ledger.Exchange(now, topo.VMID(fmt.Sprint(i)), now.Sub(last[i]), purses[i].Report(now))
				last[i] = now
				if rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
					purses[i].Granted(now, grants)
				}
			default:
				for range rapid.IntRange(0, 5).Draw(t, "requests") {
					if purses[i].Take(now, customer) {
						served = append(served, now)
					}
				}
			}
		}
		for i := range served {
			for j := i; j < len(served); j++ {
				n, window := float64(j-i+1), served[j].Sub(served[i]).Seconds()
				if n > limit.Rate*window+bursts*limit.Burst+1 {
					t.Fatalf("%v requests in %.2f s with rate %.1f and burst %.1f", n, window, limit.Rate, limit.Burst)
				}
			}
		}
	})
}

// Guards against a VM that spends tokens long after it last heard a leader.
func TestSilentLeaderEndsThePurse(t *testing.T) {
	p := NewPurse()
	p.Granted(start, map[topo.CustomerID]float64{customer: 10})
	require.True(t, p.Take(start.Add(TokenTTL), customer))
	require.False(t, p.Take(start.Add(TokenTTL+time.Millisecond), customer))
}

// Guards against refusals within the rate: a customer whose requests come to
// one VM only gets its whole rate there.
func TestWholeRateAtOneVM(t *testing.T) {
	ledger := NewLedger(start)
	ledger.SetLimit(start, customer, Allowance{Rate: 50, Burst: 50})
	purses := []*Purse{NewPurse(), NewPurse(), NewPurse()}
	served := 0
	for ms := 0; ms < 10000; ms += 25 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%250 == 0 {
			for i, p := range purses {
				p.Granted(now, ledger.Exchange(now, topo.VMID(fmt.Sprint(i)), 250*time.Millisecond, p.Report(now)))
			}
		}
		if purses[0].Take(now, customer) {
			served++
		}
	}
	require.Greater(t, served, 380, "of 400 requests at 40 a second with a rate of 50")
}
