package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func right(granted int64, until time.Time) Right {
	return Right{Service: "s", Target: "v2", Number: 1, Term: 1, State: Running, Mode: Hold, Granted: granted, Until: until}
}

// Guards against a VM that sends more to the target than its rights allow, after they
// have expired, or again because a response of the leader came late.
func TestRights(t *testing.T) {
	now := time.Unix(1e6, 0)
	h := NewHolder()
	_, ok := h.Take(now, "s", "v2")
	require.True(t, ok, "no roll-out")
	h.Seen("s", "v2", false)
	_, ok = h.Take(now, "s", "v2")
	require.False(t, ok, "the order is known, but no right")
	_, ok = h.Take(now, "s", "v1")
	require.True(t, ok, "another version")
	require.Equal(t, Limit{Target: "v2"}, h.Limits(now)["s"])

	h.Apply([]Right{right(2, now.Add(time.Second))})
	first, ok := h.Take(now, "s", "v2")
	require.True(t, ok && first.Taken())
	_, ok = h.Take(now, "s", "v2")
	require.True(t, ok)
	_, ok = h.Take(now, "s", "v2")
	require.False(t, ok, "all used")
	h.Return(first)
	_, ok = h.Take(now, "s", "v2")
	require.True(t, ok, "one was given back")
	h.Apply([]Right{right(1, now.Add(-time.Second))})
	require.False(t, h.Left(now, "s"))
	h.Apply([]Right{right(9, now.Add(2*time.Second))})
	require.True(t, h.Left(now, "s"))
	_, ok = h.Take(now.Add(2*time.Second), "s", "v2")
	require.False(t, ok, "expired")

	// In another term, the account begins anew, and an old ticket counts no more.
	next := right(1, now.Add(time.Second))
	next.Term = 2
	h.Apply([]Right{next})
	h.Return(first)
	_, ok = h.Take(now, "s", "v2")
	require.True(t, ok)
	_, ok = h.Take(now, "s", "v2")
	require.False(t, ok)
}

// Guards against a VM that stays with the target alone after its right has expired, and
// against one that leaves it after the roll-out was completed.
func TestWholeRightExpires(t *testing.T) {
	now := time.Unix(1e6, 0)
	h := NewHolder()
	r := right(0, now.Add(time.Second))
	r.Mode = Whole
	h.Apply([]Right{r})
	require.True(t, h.Limits(now)["s"].Whole)
	require.False(t, h.Limits(now.Add(time.Second))["s"].Whole)
	_, ok := h.Take(now, "s", "v2")
	require.True(t, ok)
	_, ok = h.Take(now.Add(time.Second), "s", "v2")
	require.False(t, ok)
	r.Mode, r.State = Ended, Complete
	h.Apply([]Right{r})
	require.True(t, h.Limits(now.Add(time.Hour))["s"].Whole)
	h.Apply(nil)
	require.False(t, h.Any())
}

// Guards against a leader that has forgotten a judgement and makes VMs use the version.
func TestRevertedStaysReverted(t *testing.T) {
	now := time.Unix(1e6, 0)
	h := NewHolder()
	r := right(5, now.Add(time.Second))
	r.State = Reverted
	h.Apply([]Right{r})
	again := right(5, now.Add(time.Second))
	again.Term = 2
	for _, list := range [][]Right{{again}, nil} {
		h.Apply(list)
		_, ok := h.Take(now, "s", "v2")
		require.False(t, ok)
		require.Contains(t, h.Reverted(), r.Service)
	}
	later := right(0, now.Add(time.Second))
	later.Number, later.Target, later.Barred = 2, "v3", []string{"v2"}
	h.Apply([]Right{later})
	_, ok := h.Take(now, "s", "v2")
	require.False(t, ok, "barred")
	require.Equal(t, []string{"v2"}, h.Limits(now)["s"].Barred)
}

// Guards against servers of a further version, which came without an order, that are left
// out because of a roll-out that was completed long ago, and against a reverted version
// that is used again after it.
func TestCompletedRolloutDoesNotLimitLaterVersions(t *testing.T) {
	now := time.Unix(1e6, 0)
	rec := record()
	rec.State, rec.Judged = Complete, nil
	p := Process{VM: "a"}
	_, limits := NewController(playBounds, rec, true, now).Right(now, p)
	require.False(t, limits, "a new leader")
	rec.Judged = []Judgement{{Target: "v1", State: Reverted, Reason: "bad"}}
	r, limits := NewController(playBounds, rec, true, now).Right(now, p)
	require.True(t, limits)
	h := NewHolder()
	h.Apply([]Right{r})
	for version, allowed := range map[string]bool{"v1": false, "v2": true, "v3": true, "": true} {
		_, ok := h.Take(now, "s", version)
		require.Equal(t, allowed, ok, version)
	}
	require.Equal(t, Limit{Share: 1, Barred: []string{"v1"}}, h.Limits(now)["s"])
}

// Guards against old servers that get requests while they stop at the end of a roll-out.
func TestOtherVersionsAreLeftOutAfterTheEnd(t *testing.T) {
	now := time.Unix(1e6, 0)
	rec := record()
	rec.Step, rec.Reserved = 0, 0
	c := NewController(playBounds, rec, true, now)
	c.rec.Proven = true
	s := Surroundings{StoreAnswers: true, Targets: 3, Others: 3}
	require.True(t, c.Tick(now, rec.StartedMs+rec.DurationMs, s))
	r, _ := c.Right(now, Process{})
	require.Equal(t, Running, r.State, "the end is not stored yet")
	next, ok := c.Pending(now)
	require.True(t, ok)
	require.Equal(t, Complete, next.State)
	c.Stored()
	r, _ = c.Right(now, Process{})
	require.Equal(t, Ended, r.Mode)
	_, limits := c.Right(now.Add(endedTime), Process{})
	require.False(t, limits)
}

// Guards against a request that is sent with a right which has expired, was withdrawn or
// belongs to another order.
func TestTicketsLoseTheirValue(t *testing.T) {
	now := time.Unix(1e6, 0)
	h := NewHolder()
	require.True(t, h.Valid(now, "s", "v2", Ticket{}), "no roll-out")
	h.Apply([]Right{right(2, now.Add(time.Second))})
	ticket, ok := h.Take(now, "s", "v2")
	require.True(t, ok)
	require.True(t, h.Valid(now, "s", "v2", ticket))
	require.True(t, h.Valid(now, "s", "v1", Ticket{}))
	require.False(t, h.Valid(now, "s", "v2", Ticket{}))
	require.False(t, h.Valid(now.Add(time.Second), "s", "v2", ticket), "expired")
	next := right(2, now.Add(time.Second))
	next.Number = 2
	h.Apply([]Right{next})
	require.False(t, h.Valid(now, "s", "v2", ticket), "another order")
	next.State = Reverted
	h.Apply([]Right{next})
	require.False(t, h.Valid(now, "s", "v2", ticket))
}
