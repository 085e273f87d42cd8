package node

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/broker"
	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/metric"
	"godwitlock.example/godwitlock/permit"
)

// Guards against decisions on slots that operators cannot see, or that are seen only while
// the home VMs answer.
func TestSlotMetrics(t *testing.T) {
	newBroker := func(slots int) *broker.Broker {
		var list []permit.Server
		if slots > 0 {
			list = append(list, permit.Server{ID: "s", Slots: slots})
		}
		return broker.New(func(string, uint64) ([]permit.Server, uint64) { return list, 1 }, 1, rand.New(rand.NewPCG(1, 2)))
	}
	home, fallback := newBroker(4), newBroker(0)
	set := metric.New()
	registerSlotMetrics(set, &home.Stats, &fallback.Stats)
	now := clock.Boot()
	r := permit.Request{Priority: 9, StartBy: now.Add(time.Hour), PromptBy: now.Add(time.Hour), Lease: time.Hour}
	for _, b := range []*broker.Broker{home, home, fallback} {
		_, ok := b.Acquire(t.Context(), "p", r)
		require.True(t, ok)
	}
	late := r
	late.Priority, late.ObjectiveBy, late.PromptBy = 1, now.Add(-time.Second), now.Add(-time.Second)
	_, ok := home.Acquire(t.Context(), "p", late)
	require.True(t, ok)

	var out strings.Builder
	set.Write(&out)
	lines := strings.Split(out.String(), "\n")
	require.Contains(t, lines, `godwitlock_slot_refusals_total{cause="no_server",priority="4+"} 1`)
	require.Contains(t, lines, `godwitlock_slot_refusals_total{cause="overtaken",priority="0"} 0`)
	require.Contains(t, lines, `godwitlock_slot_wait_seconds_count{outcome="granted",priority="4+"} 2`)
	require.Contains(t, lines, `godwitlock_slot_wait_seconds_count{outcome="refused",priority="4+"} 1`)
	require.Contains(t, lines, `godwitlock_slot_wait_seconds_sum{outcome="withdrawn",priority="3"} 0`)
	require.Contains(t, lines, `godwitlock_slot_late_starts_total{priority="1"} 1`)
	require.NotContains(t, out.String(), `cause=""`)
}
