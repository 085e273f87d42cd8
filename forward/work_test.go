package forward

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/view"
	"godwitlock.example/godwitlock/workload"
)

// requestRecorder grants slots at once and records the requests for them.
type requestRecorder struct {
	mu       sync.Mutex
	requests []permit.Request
}

func (s *requestRecorder) Acquire(_ context.Context, _ *view.Snapshot, _ string, r permit.Request) (Slot, permit.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, r)
	return s, permit.Decision{Verdict: permit.Granted, Server: "s1"}
}

func (s *requestRecorder) Finish(permit.Result) {}

// Guards against a home VM that is not told the work of a route, or when a response is
// due, and against service times of one route that count for another.
func TestWorkOfTheRouteIsSentWithTheRequest(t *testing.T) {
	tf := newTestForwarder(t, func(id string) string {
		return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok"
	})
	slots := &requestRecorder{}
	tf.Slots, tf.Work = slots, workload.New()
	serve := func(path string) permit.Request {
		r := newRequest(path)
		require.Equal(t, http.StatusOK, tf.Serve(t.Context(), r).Status)
		<-tf.received
		return slots.requests[len(slots.requests)-1]
	}
	first := serve("/r/1")
	require.Equal(t, "r", first.Route)
	require.Zero(t, first.Work)
	now := clock.Boot()
	require.WithinDuration(t, now.Add(time.Second), first.ObjectiveBy, 500*time.Millisecond)
	require.WithinDuration(t, now.Add(2*time.Second), first.AnswerBy, 500*time.Millisecond)
	for range 20 {
		serve("/r/1")
	}
	require.Positive(t, serve("/r/1").Work.Mean)
	require.Zero(t, serve("/w/1").Work)
}

// Guards against failures that count as service times.
func TestFailuresAreNotServiceTimes(t *testing.T) {
	tf := newTestForwarder(t, func(id string) string {
		return "HTTP/1.1 500 Error\r\nRequest-Id: " + id + "\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno"
	})
	tf.Slots = &requestRecorder{}
	for range 20 {
		tf.Serve(t.Context(), newRequest("/w/1"))
		<-tf.received
	}
	require.Zero(t, tf.Work.Of("w"))
}
