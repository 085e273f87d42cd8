package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// fakeContact is a StoreContact that records what it learns.
type fakeContact struct {
	failing    bool
	own, known []time.Time
	failure    time.Time

	learnedAnswers []time.Time
	learnedFailure time.Time
}

func (c *fakeContact) Failing(time.Time) bool                   { return c.failing }
func (c *fakeContact) Own(time.Time) []time.Time                { return c.own }
func (c *fakeContact) Known(time.Time) ([]time.Time, time.Time) { return c.known, c.failure }
func (c *fakeContact) Learn(_ time.Time, answers []time.Time, failure time.Time) {
	c.learnedAnswers, c.learnedFailure = answers, failure
}

// Guards against a leader, or a relay, that does not learn from the VMs that call it whether
// the store answers them while it does not answer its own calls.
func TestVMWithoutTheStoreAsksTheOthers(t *testing.T) {
	for name, leads := range map[string]bool{"leader": true, "relay": false} {
		now := clock.Boot()
		h := newTestHub("s1")
		h.leads = func() (topo.Term, bool) { return 1, leads }
		h.Relay = &Relay{Boot: "relay", Fresh: func() bool { return true }}
		asking := &fakeContact{known: []time.Time{now.Add(-2 * time.Second)}, failure: now.Add(-time.Second)}
		h.StoreContact = asking
		asked := &fakeContact{own: []time.Time{now.Add(-3 * time.Second), now.Add(-time.Second)}}
		f := NewFollower(view.Member{VM: "b"}, "boot", view.New(), nil, nil, func(view.Member, topo.Term, uint64) {})
		f.StoreContact = asked
		follow := func() *fleetpb.FollowResponse {
			req := f.request(false)
			req.WaitMs = 1
			resp, err := h.follow(t.Context(), req)
			require.NoError(t, err)
			require.NoError(t, f.applyStoreState(resp))
			return resp
		}
		follow()
		require.False(t, f.TakeContactRequest(), name)
		require.Len(t, asking.learnedAnswers, 2, name)
		require.WithinDuration(t, now.Add(-time.Second), asking.learnedAnswers[1], 500*time.Millisecond, name)
		require.Zero(t, asking.learnedFailure, name)
		require.WithinDuration(t, asking.known[0], asked.learnedAnswers[0], 500*time.Millisecond, name)
		require.WithinDuration(t, asking.failure, asked.learnedFailure, 500*time.Millisecond, name)

		asking.failing = true
		follow()
		require.True(t, f.TakeContactRequest(), name)
		require.False(t, f.TakeContactRequest(), "one call is enough")
	}
}

// Guards against asking all VMs at once to call the store, and against asking none until
// their calls have waited for a change.
func TestVMsAreAskedOneAfterTheOther(t *testing.T) {
	h, now := newTestHub(), clock.Boot()
	h.StoreContact = &fakeContact{failing: true}
	require.True(t, h.wantsContact(now))
	require.False(t, h.wantsContact(now.Add(askContactInterval-1)))
	require.True(t, h.wantsContact(now.Add(askContactInterval)))
	waiting := h.changed
	h.StoreFailing()
	_, open := <-waiting
	require.False(t, open, "a call that waits ends, so that its VM can be asked")
}
