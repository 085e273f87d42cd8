package forward

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/rollout"
	"godwitlock.example/godwitlock/topo"
)

// fakeRollouts is a roll-out whose target is the version of the server s1.
type fakeRollouts struct {
	holder *rollout.Holder
	// onValid, if set, is called before a right is checked.
	onValid func()

	mu           sync.Mutex
	observations []Observation
}

func newFakeRollouts(granted int64) *fakeRollouts {
	f := &fakeRollouts{holder: rollout.NewHolder()}
	f.grant(granted)
	return f
}

func (f *fakeRollouts) grant(n int64) {
	f.holder.Apply([]rollout.Right{{
		Service: "s", Target: "v2", Number: 1, State: rollout.Running, Mode: rollout.Hold, Granted: n, Until: time.Now().Add(time.Minute),
	}})
}

func (f *fakeRollouts) Any() bool                        { return f.holder.Any() }
func (f *fakeRollouts) Arrived(service topo.ServiceName) { f.holder.Arrived(service) }
func (f *fakeRollouts) Left(service topo.ServiceName) bool {
	return f.holder.Left(time.Now(), service)
}
func (f *fakeRollouts) Take(s *directory.Server) (rollout.Ticket, bool) {
	return f.holder.Take(time.Now(), s.Service, s.Version)
}
func (f *fakeRollouts) Valid(s *directory.Server, t rollout.Ticket) bool {
	if f.onValid != nil {
		f.onValid()
	}
	return f.holder.Valid(time.Now(), s.Service, s.Version, t)
}
func (f *fakeRollouts) Return(t rollout.Ticket) { f.holder.Return(t) }
func (f *fakeRollouts) Observe(_ *directory.Server, o Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observations = append(f.observations, o)
}

// newRolloutForwarder returns a Forwarder whose only server has the target version.
func newRolloutForwarder(t *testing.T, granted int64, reply func(string) string) (*testForwarder, *fakeRollouts) {
	tf := newTestForwarder(t, reply)
	tf.view.Directory(func(d *directory.Directory) {
		s := *d.Server("s1")
		s.Version, s.Rev = "v2", 2
		d.Put(s)
	})
	f := newFakeRollouts(granted)
	tf.Rollouts = f
	return tf, f
}

// Guards against a request for a key of the target that is sent without a right.
func TestOwnerOfTheTargetNeedsARight(t *testing.T) {
	tf, f := newRolloutForwarder(t, 1, okResponse)
	require.Equal(t, http.StatusOK, tf.Serve(context.Background(), newRequest("/w/1")).Status)
	require.Len(t, tf.received, 1)
	ans := tf.Serve(context.Background(), newRequest("/w/1"))
	require.Equal(t, http.StatusServiceUnavailable, ans.Status)
	require.NotEmpty(t, ans.Header.Get("Retry-After"))
	require.Len(t, tf.received, 1)

	// A right that comes while the request waits is used.
	time.AfterFunc(100*time.Millisecond, func() { f.grant(2) })
	require.Equal(t, http.StatusOK, tf.Serve(context.Background(), newRequest("/w/1")).Status)
	require.Len(t, tf.received, 2)
	require.Len(t, f.observations, 2)
	uses := f.holder.Uses()
	require.EqualValues(t, 3, uses[0].Arrivals)
	require.EqualValues(t, 2, uses[0].Used)
}

// Guards against failures of a version that are not counted, and against rights that are
// lost with requests that were not sent.
func TestOutcomesOfARollout(t *testing.T) {
	tf, f := newRolloutForwarder(t, 9, func(id string) string {
		return "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
	})
	tf.Serve(context.Background(), newRequest("/w/1"))
	require.Len(t, f.observations, 1)
	require.True(t, f.observations[0].Bad)
	require.Equal(t, "w", f.observations[0].Route)
	used := f.holder.Uses()[0].Used
	require.EqualValues(t, 1, used)

	tf.view.Directory(func(d *directory.Directory) {
		s := *d.Server("s1")
		s.Addr, s.Rev = "127.0.0.1:1", 3
		d.Put(s)
	})
	tf.Serve(context.Background(), newRequest("/w/2"))
	require.Len(t, f.observations, 1, "nothing reached the server")
	require.Equal(t, used, f.holder.Uses()[0].Used)
}

// Guards against a request that is written after its right has expired, because the
// process was paused in between.
func TestRightIsCheckedAtTheWrite(t *testing.T) {
	tf, f := newRolloutForwarder(t, 9, okResponse)
	f.onValid = func() {
		r := rollout.Right{Service: "s", Target: "v2", Number: 1, State: rollout.Reverted, Mode: rollout.Hold}
		f.holder.Apply([]rollout.Right{r})
	}
	ans := tf.Serve(context.Background(), newRequest("/w/1"))
	require.Equal(t, http.StatusServiceUnavailable, ans.Status)
	require.Empty(t, tf.received)
	require.Zero(t, tf.slots.failures.Load(), "the server has not failed")
}
