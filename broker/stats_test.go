package broker

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/permit"
)

// Guards against decisions that are not counted, whether they are taken at once or after
// a wait, and against waits that are counted under another outcome.
func TestStatsCountDecisions(t *testing.T) {
	b, src := newBroker(1)
	urgent := func() permit.Request { r := request(); r.Priority = 0; return r }
	first, _ := b.Acquire(t.Context(), "p", urgent())
	count, waited := b.Stats.Waits(0, Granted)
	require.EqualValues(t, 1, count)
	require.Zero(t, waited)

	// A request that is withdrawn after a wait.
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan bool, 1)
	go func() { _, ok := b.Acquire(ctx, "p", urgent()); done <- ok }()
	waitForQueued(t, b, 1)
	cancel()
	require.False(t, <-done)
	count, waited = b.Stats.Waits(0, Withdrawn)
	require.EqualValues(t, 1, count)
	require.Positive(t, waited)

	// A request that waits, and starts after its latest prompt start.
	late := request()
	late.Priority, late.PromptBy = 1, clock.Boot().Add(10*time.Millisecond)
	go func() { _, ok := b.Acquire(t.Context(), "p", late); done <- ok }()
	waitForQueued(t, b, 1)
	require.Eventually(t, func() bool { return clock.Boot().After(late.PromptBy) }, time.Minute, time.Millisecond)
	b.Finish("p", first.ID, permit.Result{ServiceTime: time.Millisecond})
	require.True(t, <-done)
	require.EqualValues(t, 1, b.Stats.LateStarts(1))
	require.Zero(t, b.Stats.LateStarts(0))
	count, waited = b.Stats.Waits(1, Granted)
	require.EqualValues(t, 1, count)
	require.Positive(t, waited)

	// Refusals, of priorities that are out of range.
	src.list, src.version = nil, 2
	for _, p := range []int{-7, 0, Priorities - 1, Priorities, 1 << 30} {
		r := request()
		r.Priority = p
		d, _ := b.Acquire(t.Context(), "p", r)
		require.Equal(t, permit.NoServer, d.Cause)
	}
	require.EqualValues(t, 2, b.Stats.Refusals(0, permit.NoServer))
	require.EqualValues(t, 3, b.Stats.Refusals(Priorities-1, permit.NoServer))
	require.Zero(t, b.Stats.Refusals(1, permit.NoServer))
	count, _ = b.Stats.Waits(Priorities-1, Refused)
	require.EqualValues(t, 3, count)
}

// Guards against counting that allocates memory on the path of each request.
func TestStatsAllocateNothing(t *testing.T) {
	var s Stats
	require.Zero(t, testing.AllocsPerRun(100, func() {
		s.record(1, permit.Decision{Verdict: permit.Refused, Cause: permit.NoRoom})
		s.record(1, permit.Decision{Verdict: permit.Granted, Waited: time.Second, Late: true})
		s.withdraw(1, time.Second)
	}))
}
