package forward

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/ingress"
)

var disconnected = &ingress.ConnectionEnd{Cause: ingress.CallerDisconnected, Err: io.EOF}

// logged collects the decision log and returns its lines with the given event.
func (tf *testForwarder) logged(t *testing.T) func(event string) []map[string]any {
	t.Helper()
	var out bytes.Buffer
	tf.Log = declog.New(&out, "vm")
	return func(event string) []map[string]any {
		tf.Log.Flush()
		var lines []map[string]any
		for dec := json.NewDecoder(bytes.NewReader(out.Bytes())); ; {
			var line map[string]any
			err := dec.Decode(&line)
			if err == io.EOF {
				return lines
			}
			require.NoError(t, err)
			if line["event"] == event {
				lines = append(lines, line)
			}
		}
	}
}

// Guards against refusals that do not tell a deadline from a caller that left or
// a VM that stops.
func TestRefusalTellsDeadlineFromCancellation(t *testing.T) {
	gone, cancel := context.WithCancelCause(context.Background())
	cancel(disconnected)
	for name, c := range map[string]struct {
		ctx    context.Context
		change func(tf *testForwarder, r *ingress.Request)
		reason string
	}{
		"caller's deadline": {context.Background(), func(_ *testForwarder, r *ingress.Request) {
			r.Deadline = time.Now().Add(minAttemptTime / 2)
		}, "request's deadline is too near for an attempt: caller_deadline"},
		"route's timeout": {context.Background(), func(_ *testForwarder, r *ingress.Request) {
			r.Arrived = time.Now().Add(-2*time.Second + minAttemptTime/2)
		}, "request's deadline is too near for an attempt: route_timeout"},
		"caller gone": {gone, func(*testForwarder, *ingress.Request) {},
			"request was cancelled before an attempt: caller_disconnected: EOF"},
		"stop": {context.Background(), func(tf *testForwarder, _ *ingress.Request) {
			tf.slots.allowGrant, tf.slots.acquireCalled = make(chan struct{}), make(chan struct{})
			go func() { <-tf.slots.acquireCalled; tf.RefuseWaiting() }()
		}, "VM is shutting down: no slot granted in pool server/s1, request was cancelled during the wait: vm_stopping"},
	} {
		t.Run(name, func(t *testing.T) {
			tf := newTestForwarder(t, okResponse)
			lines := tf.logged(t)
			r := newRequest("/w/1")
			c.change(tf, r)
			tf.Serve(c.ctx, r)
			got := lines("refused")
			require.Len(t, got, 1)
			require.Equal(t, c.reason, got[0]["reason"])
			require.Equal(t, "waiting_for_slot", got[0]["stage"])
			require.Empty(t, tf.received)
		})
	}
}

// Guards against an attempt that a disconnect cancelled and that looks like a
// failure of the server.
func TestCancelledAttemptTellsTheCause(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	tf := newTestForwarder(t, func(string) string { <-release; return "" })
	lines := tf.logged(t)
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() { <-tf.received; cancel(disconnected) }()
	r := newRequest("/r/1")
	tf.Serve(ctx, r)
	failed := lines("attempt_failed")
	require.Len(t, failed, 1)
	require.Equal(t, "caller_disconnected", failed[0]["cancelled_by"])
	require.Equal(t, "s1", failed[0]["server"])
	refused := lines("refused")
	require.Len(t, refused, 1)
	require.Equal(t, "outcome_unknown", refused[0]["kind"])
	require.Contains(t, refused[0]["reason"], "request was cancelled: caller_disconnected")
	require.EqualValues(t, ReportUnknown, failed[0]["action"], "nothing is sent again")
	require.NotContains(t, refused[0], "config_age_ms", "the configuration was never confirmed")
	server, took := r.Progress.Attempt()
	require.Equal(t, "s1", server)
	require.Positive(t, took)
}

// Guards against a streamed answer that is cut and does not tell a server that
// broke off from a caller that left.
func TestAnswerCutTellsTheCause(t *testing.T) {
	for _, c := range []struct {
		cancel      bool
		end         *ingress.ConnectionEnd
		cancelledBy string
	}{
		{false, &ingress.ConnectionEnd{Cause: ingress.SourceFailed, Err: io.ErrUnexpectedEOF}, ""},
		{true, disconnected, "caller_disconnected"},
	} {
		t.Run(string(c.end.Cause), func(t *testing.T) {
			tf := newTestForwarder(t, func(id string) string {
				return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSeal: s\r\nContent-Length: 100000\r\n\r\nbody"
			})
			lines := tf.logged(t)
			ctx, cancel := context.WithCancelCause(context.Background())
			ans := tf.Serve(ctx, newRequest("/r/1"))
			if c.cancel {
				cancel(disconnected)
				_, err := io.Copy(io.Discard, ans.Stream)
				require.Error(t, err)
			}
			require.NoError(t, ans.Stream.Close())
			ans.OnWritten(c.end)
			cut := lines("answer_cut")
			require.Len(t, cut, 1)
			line := cut[0]
			require.Positive(t, line["attempt_ms"])
			require.Positive(t, line["took_ms"])
			for _, name := range []string{"t", "attempt_ms", "took_ms"} {
				delete(line, name)
			}
			require.Equal(t, map[string]any{
				"vm": "vm", "event": "answer_cut", "request": "x", "route": "r", "customer": "c", "key": 7.0, "server": "s1",
				"stage": "answer_begun", "cause": string(c.end.Cause), "cancelled_by": c.cancelledBy, "error": c.end.Error(),
			}, line)
			cancel(nil)
		})
	}
}

// Guards against a work context whose end does not tell which limit ended it.
func TestWorkContextTellsTheLimit(t *testing.T) {
	for _, c := range []struct {
		end  func(ctx context.Context, cancel context.CancelFunc)
		want string
	}{
		{func(context.Context, context.CancelFunc) {}, "route_timeout"},
		{func(ctx context.Context, _ context.CancelFunc) {
			extendDeadline(ctx, time.Now().Add(maxStreamTime), ErrStreamTimeout)
		}, "stream_timeout"},
		{func(_ context.Context, cancel context.CancelFunc) { cancel() }, ""},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := &request{Request: newRequest("/r/1"), deadline: time.Now().Add(time.Second), deadlineCause: ErrRouteTimeout}
			ctx, cancel := New(Config{}).workContext(context.Background(), r)
			defer cancel()
			c.end(ctx, cancel)
			<-ctx.Done()
			require.Equal(t, c.want, endCause(ctx))
		})
	}
}
