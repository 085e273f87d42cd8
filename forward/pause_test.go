package forward

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

var pausedServer = topo.Incarnation{Server: "s1"}

func (tf *testForwarder) pause(d time.Duration) {
	now := clock.Boot()
	tf.Pauses.Record(pausedServer, now.Add(d), now)
}

// Guards against sending requests to a server that asked this VM for a pause, and
// against holding a request until its deadline instead of refusing it at once.
func TestRequestIsRefusedDuringALongPause(t *testing.T) {
	tf := newTestForwarder(t, okResponse)
	tf.pause(time.Minute)
	start := time.Now()
	ans := tf.Serve(context.Background(), newRequest("/w/1"))
	require.Less(t, time.Since(start), 100*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, ans.Status)
	retryAfter, err := strconv.ParseFloat(ans.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.InDelta(t, 2*retryAfterShare, retryAfter, 0.05, "a third of the 2 s left, which is less than the pause")
	require.Empty(t, tf.received)
	require.Equal(t, 1, tf.rates.returned)
}

// Guards against refusing a request that can still be prompt after the pause.
func TestRequestWaitsForTheEndOfAShortPause(t *testing.T) {
	tf := newTestForwarder(t, okResponse)
	tf.pause(100 * time.Millisecond)
	start := time.Now()
	require.Equal(t, http.StatusOK, tf.Serve(context.Background(), newRequest("/w/1")).Status)
	require.GreaterOrEqual(t, time.Since(start), 100*time.Millisecond)
}

// pausingSlots grants a slot of s1, which asks for a pause meanwhile, the first
// time.
type pausingSlots struct {
	tf       *testForwarder
	returned int
	requests []permit.Request
}

func (s *pausingSlots) Acquire(_ context.Context, _ *view.Snapshot, _ string, r permit.Request) (Slot, permit.Decision) {
	s.requests = append(s.requests, r)
	if len(s.requests) == 1 {
		s.tf.pause(50 * time.Millisecond)
	}
	return s, permit.Decision{Verdict: permit.Granted, Server: "s1"}
}

func (s *pausingSlots) Finish(r permit.Result) {
	if r == (permit.Result{}) {
		s.returned++
	}
}

// Guards against requests that waited for a slot while the server asked for a
// pause.
func TestPauseHoldsForRequestsThatHaveASlot(t *testing.T) {
	tf := newTestForwarder(t, okResponse)
	slots := &pausingSlots{tf: tf}
	tf.Slots = slots
	start := time.Now()
	require.Equal(t, http.StatusOK, tf.Serve(context.Background(), newRequest("/w/1")).Status)
	require.GreaterOrEqual(t, time.Since(start), 50*time.Millisecond)
	require.Equal(t, 1, slots.returned)
	require.Len(t, tf.received, 1)
}

// Guards against a service without keys that waits for one server while others
// want no pause, and against slots of the one that does.
func TestOtherServersAreUsedDuringAPause(t *testing.T) {
	tf := newTestForwarder(t, okResponse)
	m := tf.view.Snapshot().Routes
	m.Service("s").Keyed = false
	tf.view.Directory(func(d *directory.Directory) {
		d.Put(directory.Server{ID: "s2", Service: "s", Slots: 1, State: directory.Ready, Rev: 1})
	})
	r := &request{Request: newRequest("/r/1"), route: m.Route("h", "/r/1"), service: m.Service("s")}
	r.prepareAttempts()
	tf.pause(time.Minute)
	require.Zero(t, tf.pauseOf(tf.view.Snapshot(), r, ""))
	require.Equal(t, []topo.ServerID{"s1"}, r.paused)

	now := clock.Boot()
	tf.Pauses.Record(topo.Incarnation{Server: "s2"}, now.Add(time.Second), now)
	r.paused = nil
	require.InDelta(t, time.Second, tf.pauseOf(tf.view.Snapshot(), r, ""), float64(50*time.Millisecond))
}

func TestWaitsForPause(t *testing.T) {
	for _, c := range []struct {
		pause, left, objective, waited time.Duration
		want                           bool
	}{
		{100, 2000, 1000, 0, true},
		{600, 2000, 1000, 0, false},
		{100, 2000, 1000, 900, false},
		{600, 2000, 0, 0, true},
		{1800, 2000, 0, 0, false},
		{100, 110, 1000, 0, false},
	} {
		const ms = time.Millisecond
		require.Equal(t, c.want, waitsForPause(c.pause*ms, c.left*ms, c.objective*ms, c.waited*ms), "%+v", c)
	}
}
