package execution

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// servedOfRefusing returns the share of callers that are served while servers refuse 0.55 of
// all requests for 10 s, after 10 calm seconds. A refused caller returns once, 150 ms later.
func servedOfRefusing(reserve bool) float64 {
	const rate, refuses = 500, 0.55
	rng := rand.New(rand.NewPCG(1, 2))
	b := Budget{Share: 0.2, Slack: 20}
	type caller struct {
		at       time.Duration
		returned bool
	}
	var list, returning []caller
	for i := range 20 * rate {
		list = append(list, caller{at: time.Duration(i) * time.Second / rate})
	}
	served, callers, start := 0, 0, time.Unix(1000, 0)
	for len(list)+len(returning) > 0 {
		var c caller
		if len(returning) > 0 && (len(list) == 0 || returning[0].at < list[0].at) {
			c, returning = returning[0], returning[1:]
		} else {
			c, list = list[0], list[1:]
		}
		now, disturbed := start.Add(c.at), c.at >= 10*time.Second
		b.Request(now)
		if c.returned {
			b.Returned(now)
		} else if disturbed {
			callers++
		}
		refused := disturbed && rng.Float64() < refuses
		if refused {
			withdraw := b.Withdraw
			if reserve && !c.returned {
				withdraw = b.WithdrawReturnable
			}
			refused = !withdraw(now) || rng.Float64() < refuses
		}
		switch {
		case !disturbed:
		case !refused:
			served++
		case !c.returned:
			returning = append(returning, caller{at: c.at + 150*time.Millisecond, returned: true})
		}
	}
	return float64(served) / float64(callers)
}

// Guards against spending all retries on callers that would return by themselves, while
// servers refuse requests for longer than the budget lasts.
func TestReservedRetriesServeMoreCallers(t *testing.T) {
	with, without := servedOfRefusing(true), servedOfRefusing(false)
	t.Logf("served with reserved retries %.3f, without %.3f", with, without)
	require.Greater(t, with, without+0.02)
}

// Guards against holding retries back for callers that never return.
func TestNothingIsReservedIfNobodyReturns(t *testing.T) {
	now, b := time.Unix(1000, 0), Budget{Share: 0.2}
	for range 100 {
		b.Request(now)
	}
	for range 20 {
		require.True(t, b.WithdrawReturnable(now))
	}
	require.False(t, b.WithdrawReturnable(now))
}
