package broker

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/topo"
)

// serverSource provides a server list whose version is set by the test. It counts
// how often the list is built.
type serverSource struct {
	list    []permit.Server
	version uint64
	builds  int
}

func (s *serverSource) servers(_ string, since uint64) ([]permit.Server, uint64) {
	if since == s.version {
		return nil, s.version
	}
	s.builds++
	return s.list, s.version
}

func newBroker(slots ...int) (*Broker, *serverSource) {
	src := &serverSource{version: 1}
	for i, n := range slots {
		src.list = append(src.list, permit.Server{ID: topo.ServerID(rune('a' + i)), Slots: n})
	}
	return New(src.servers, 1, rand.New(rand.NewPCG(1, 2))), src
}

func request() permit.Request {
	now := clock.Boot()
	return permit.Request{StartBy: now.Add(time.Hour), PromptBy: now.Add(time.Hour), Lease: time.Hour}
}

// waitForQueued waits until exactly n requests are queued at the broker.
func waitForQueued(t *testing.T, b *Broker, n int) {
	t.Helper()
	require.Eventually(t, func() bool { w, _ := b.Depth(); return w == n }, time.Minute, time.Millisecond)
}

// Guards against a released slot that is not granted to the next queued request.
func TestFinishGrantsSlotToQueuedRequest(t *testing.T) {
	b, _ := newBroker(1)
	first, ok := b.Acquire(t.Context(), "p", request())
	require.True(t, ok)
	require.Equal(t, permit.Granted, first.Verdict)
	got := make(chan permit.Decision, 1)
	go func() { d, _ := b.Acquire(t.Context(), "p", request()); got <- d }()
	waitForQueued(t, b, 1)
	b.Finish("p", first.ID, permit.Result{ServiceTime: time.Millisecond})
	require.Equal(t, permit.Granted, (<-got).Verdict)
	waiting, running := b.Depth()
	require.Equal(t, [2]int{0, 1}, [2]int{waiting, running})
}

// Guards against granting a slot to a cancelled request: the slot would stay in
// use until its lease expires.
func TestCancelledRequestTakesNoSlot(t *testing.T) {
	b, _ := newBroker(1)
	first, _ := b.Acquire(t.Context(), "p", request())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan bool, 1)
	go func() { _, ok := b.Acquire(ctx, "p", request()); done <- ok }()
	waitForQueued(t, b, 1)
	cancel()
	require.False(t, <-done)
	waitForQueued(t, b, 0)
	b.Finish("p", first.ID, permit.Result{ServiceTime: time.Millisecond})
	_, running := b.Depth()
	require.Zero(t, running)
}

// Guards against a pool that keeps servers that are no longer in the list, and
// against rebuilding the server list for every request.
func TestServerListFollowsItsVersion(t *testing.T) {
	b, src := newBroker(2)
	for range 2 {
		d, _ := b.Acquire(t.Context(), "p", request())
		require.Equal(t, permit.Granted, d.Verdict)
	}
	require.Equal(t, 1, src.builds)
	src.list, src.version = nil, 2
	d, ok := b.Acquire(t.Context(), "p", request())
	require.True(t, ok)
	require.Equal(t, permit.Refused, d.Verdict)
}

// Guards against a slot that is freed by the release of a slot which an earlier
// process granted under the same number, so that more requests run than the
// server has slots.
func TestReleaseOfAnEarlierProcessFreesNoSlot(t *testing.T) {
	grant := func(seed uint64) (*Broker, uint64) {
		src := &serverSource{version: 1, list: []permit.Server{{ID: "a", Slots: 1}}}
		b := New(src.servers, 1, rand.New(rand.NewPCG(seed, 2)))
		d, ok := b.Acquire(context.Background(), "server/a", request())
		require.True(t, ok)
		require.Equal(t, permit.Granted, d.Verdict)
		return b, d.ID
	}
	_, earlier := grant(1)
	b, _ := grant(2)
	b.Finish("server/a", earlier, permit.Result{})
	_, running := b.Depth()
	require.Equal(t, 1, running)
}
