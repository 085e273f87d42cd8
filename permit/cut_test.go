package permit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a cold server that gets more than its bound while both sides of a cut have
// a home VM for it, and many VMs reach none.
func TestColdServerKeepsItsBoundOnBothSidesOfACut(t *testing.T) {
	for _, b := range []struct{ coldRate, overrun, slack float64 }{{19, 1.5, 5}, {5.2, 1.5, 8}, {3.8, 1.5, 5}} {
		entry := Server{ID: "s", Slots: 8, ColdRate: HomeColdRate(b.coldRate, b.overrun, b.slack), ColdUntil: start.Add(time.Minute)}
		var pools []*Pool
		for i := range 22 {
			divisor := 1
			if i >= 2 {
				divisor = 4
			}
			p := New(rand.New(rand.NewPCG(uint64(i), 1)), divisor)
			p.SetServers(start, []Server{entry})
			pools = append(pools, p)
		}
		var granted []time.Time
		refused := 0
		for ms := 0; ms < 8000; ms += 10 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for i, p := range pools {
				d := p.Offer(now, request(uint64(ms+1), now))
				for _, d := range append(p.Tick(now), d) {
					switch {
					case d.Verdict == Granted:
						granted = append(granted, now)
						p.Finish(now, d.ID, Result{ServiceTime: time.Millisecond})
					case d.Verdict == Refused && i >= 2:
						refused++
					}
				}
			}
		}
		for i := range granted {
			n := 0
			for _, at := range granted[i:] {
				if at.Sub(granted[i]) < time.Second {
					n++
				}
			}
			require.LessOrEqual(t, float64(n), b.coldRate*b.overrun+b.slack, "bounds %v", b)
		}
		require.Equal(t, 800*20, refused, "a VM that must not use the server refuses at once")
		require.Greater(t, float64(len(granted)), 8*b.coldRate, "the home VMs go on")
	}
}
