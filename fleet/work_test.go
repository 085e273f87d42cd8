package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/workload"
)

// Guards against a home VM that does not know the work of other VMs' requests, or when
// their responses are due.
func TestWorkReachesTheHomeVM(t *testing.T) {
	now := clock.Boot()
	sent := permit.Request{
		Priority: 1, StartBy: now.Add(3400 * time.Millisecond), PromptBy: now.Add(500 * time.Millisecond), Route: "r",
		Work:        workload.Estimate{Mean: 370 * time.Millisecond, Deviation: 90 * time.Millisecond, Samples: 40},
		ObjectiveBy: now.Add(time.Second), AnswerBy: now.Add(4 * time.Second),
	}
	got := permitRequest(clock.Boot(), acquireRequest("vm", "pool", sent))
	require.Equal(t, "r", got.Route)
	require.Equal(t, sent.Work.Mean, got.Work.Mean)
	require.Equal(t, sent.Work.Deviation, got.Work.Deviation)
	for _, at := range [][2]time.Time{
		{sent.ObjectiveBy, got.ObjectiveBy}, {sent.AnswerBy, got.AnswerBy}, {sent.StartBy, got.StartBy}, {sent.PromptBy, got.PromptBy},
	} {
		require.WithinDuration(t, at[0], at[1], 200*time.Millisecond)
	}
}

// Guards against a VM of an earlier version, or one without measurements, whose requests
// count as due at once.
func TestUnknownWorkStaysUnknown(t *testing.T) {
	now := clock.Boot()
	got := permitRequest(now, &fleetpb.AcquireRequest{PatienceMs: 3400, PromptMs: 500, LeaseMs: 4300})
	require.Equal(t, permit.Request{
		StartBy: now.Add(3400 * time.Millisecond), PromptBy: now.Add(500 * time.Millisecond), Lease: 4300 * time.Millisecond,
	}, got)
	got = permitRequest(now, acquireRequest("vm", "pool", permit.Request{StartBy: now, PromptBy: now}))
	require.True(t, got.ObjectiveBy.IsZero() && got.AnswerBy.IsZero())
	require.Zero(t, got.Work)
}

// Guards against an objective that has just passed and is taken for an unknown one.
func TestPassedObjectiveIsKnown(t *testing.T) {
	now := clock.Boot()
	for _, d := range []time.Duration{-time.Second, -time.Microsecond, 0, time.Microsecond} {
		require.False(t, timeAfter(now, millisUntil(now, now.Add(d))).IsZero(), d)
	}
}
