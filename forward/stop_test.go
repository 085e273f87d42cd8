package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/ingress"
)

// stuckServer returns a reply function whose server answers all requests but the
// one with the id "stuck".
func stuckServer(t *testing.T) func(id string) string {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	return func(id string) string {
		if id == "stuck" {
			<-release
			return ""
		}
		return okResponse(id)
	}
}

// Guards against a stop that ends without an answer to a request at a server.
func TestAbandonedAttemptIsAnsweredWithUnknownOutcome(t *testing.T) {
	for _, path := range []string{"/w/1", "/r/1"} {
		tf := newTestForwarder(t, stuckServer(t))
		r := newRequest(path)
		r.ID = "stuck"
		r.Header.Set("Request-Id", r.ID)
		go func() { <-tf.received; tf.AbandonAttempts() }()
		ans := tf.Serve(context.Background(), r)
		require.Equal(t, http.StatusBadGateway, ans.Status, path)
		require.Equal(t, "outcome_unknown\n", string(ans.Body), path)
		require.Empty(t, tf.received, path)
	}
}

// Guards against a stop that cuts an answer on its way to the caller.
func TestAbandoningAttemptsLeavesStreamedAnswers(t *testing.T) {
	tf := newTestForwarder(t, stuckServer(t))
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	begun, rest := strings.Repeat("x", maxBufferedAnswerBytes), strings.Repeat("y", 100)
	resume := make(chan struct{})
	go func() {
		nc, err := lis.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(nc))
		if err != nil {
			return
		}
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nRequest-Id: "+r.Header.Get("Request-Id")+
			"\r\nSeal: s\r\nContent-Length: "+strconv.Itoa(len(begun+rest))+"\r\n\r\n"+begun)
		<-resume
		_, _ = io.WriteString(nc, rest)
	}()
	putServer := func(addr string, rev int64) {
		tf.view.Directory(func(d *directory.Directory) {
			d.Put(directory.Server{ID: "s1", Service: "s", Addr: addr, Slots: 1, State: directory.Ready, Rev: rev})
		})
	}
	stuckAddr := tf.view.Snapshot().Usable("s1").Addr
	putServer(lis.Addr().String(), 2)
	ans := tf.Serve(context.Background(), newRequest("/r/1"))
	require.NotNil(t, ans.Stream)

	// The answer to this request shows that attempts are abandoned.
	putServer(stuckAddr, 3)
	stuck := newRequest("/w/1")
	stuck.ID = "stuck"
	stuck.Header.Set("Request-Id", stuck.ID)
	go func() { <-tf.received; tf.AbandonAttempts() }()
	require.Equal(t, http.StatusBadGateway, tf.Serve(context.Background(), stuck).Status)
	close(resume)
	got, err := io.ReadAll(ans.Stream)
	require.NoError(t, err)
	require.Equal(t, begun+rest, string(got))
}

// Guards against a stop that throws away an answer which is ready and waits behind
// an unfinished request of its connection.
func TestStopDeliversReadyAnswerBehindUnfinishedRequest(t *testing.T) {
	tf := newTestForwarder(t, stuckServer(t))
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	headers := ingress.Headers{RequestID: "Request-Id", DeadlineMS: "Deadline-Ms", CallerKey: "Caller-Key", Key: "Key"}
	answered := make(chan struct{})
	s := ingress.NewServer(headers, func(ctx context.Context, r *ingress.Request) *ingress.Response {
		ans := tf.Serve(ctx, r)
		if r.ID == "ready" {
			close(answered)
		}
		return ans
	}, func() ingress.Limits { return ingress.Limits{} })
	go func() { _ = s.Serve(lis) }()
	nc, err := net.Dial("tcp", lis.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close(); _ = lis.Close() })
	for _, id := range []string{"stuck", "ready"} {
		_, err = io.WriteString(nc, "GET /r/1 HTTP/1.1\r\nHost: h\r\nCaller-Key: k\r\nKey: 7\r\nRequest-Id: "+id+"\r\n\r\n")
		require.NoError(t, err)
	}
	<-answered
	<-tf.received
	<-tf.received
	s.Drain()
	tf.AbandonAttempts()

	br := bufio.NewReader(nc)
	resp, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.False(t, resp.Close)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	resp, err = http.ReadResponse(br, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.True(t, resp.Close)
}

// Guards against a data race between the end of a connection and a handler that left
// the body of its request half read.
func TestAbandonedBodyIsNotReadTwice(t *testing.T) {
	tf := newTestForwarder(t, stuckServer(t))
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	headers := ingress.Headers{RequestID: "Request-Id", DeadlineMS: "Deadline-Ms", CallerKey: "Caller-Key", Key: "Key"}
	s := ingress.NewServer(headers, tf.Serve, func() ingress.Limits { return ingress.Limits{} })
	go func() { _ = s.Serve(lis) }()
	nc, err := net.Dial("tcp", lis.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close(); _ = lis.Close() })
	_, err = io.WriteString(nc, "POST /w/1 HTTP/1.1\r\nHost: h\r\nCaller-Key: k\r\nKey: 7\r\nRequest-Id: stuck\r\nContent-Length: 200000\r\n\r\n"+
		strings.Repeat("x", 1000))
	require.NoError(t, err)
	<-tf.received
	s.Drain()
	tf.AbandonAttempts()
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.True(t, resp.Close)
	for s.OpenConnections() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// lateRequests is enough for one of them to overtake a cancellation that is not
// synchronous.
const lateRequests = 50

// Guards against a request that arrives after the waiting ones were refused, is sent,
// and is cut at the end of the stop.
func TestRequestThatArrivesAfterRefuseWaitingIsNotSent(t *testing.T) {
	for _, path := range []string{"/w/1", "/r/1"} {
		tf := newTestForwarder(t, okResponse)
		tf.RefuseWaiting()
		for range lateRequests {
			ans := tf.Serve(context.Background(), newRequest(path))
			require.Equal(t, "shutting_down\n", string(ans.Body), path)
			require.Equal(t, http.StatusServiceUnavailable, ans.Status, path)
			require.NotEmpty(t, ans.Header.Get("Retry-After"), path)
		}
		require.Empty(t, tf.received, path)
		require.Zero(t, tf.rates.taken.Load(), "a refused request takes no token")
	}
}

// Guards against a request that is sent although the waiting ones were refused while
// it took a token.
func TestRequestThatTakesItsTokenAtRefuseWaitingIsNotSent(t *testing.T) {
	for range lateRequests {
		tf := newTestForwarder(t, okResponse)
		tf.rates.onTake = tf.RefuseWaiting
		ans := tf.Serve(context.Background(), newRequest("/w/1"))
		require.Equal(t, "shutting_down\n", string(ans.Body))
		require.Empty(t, tf.received)
		require.Equal(t, 1, tf.rates.returned)
	}
}

// Guards against a request that is written to its server after the waiting ones were
// refused: when its slot is granted at that moment, or while it connects.
func TestRequestIsNotWrittenAfterRefuseWaiting(t *testing.T) {
	for stage, begin := range map[string]func(tf *testForwarder){
		"slot granted": func(tf *testForwarder) { tf.slots.onGrant = tf.RefuseWaiting },
		"connected":    func(tf *testForwarder) { tf.Egress.OnConnect = tf.RefuseWaiting },
	} {
		for _, path := range []string{"/w/1", "/r/1"} {
			for range lateRequests {
				tf := newTestForwarder(t, okResponse)
				begin(tf)
				ans := tf.Serve(context.Background(), newRequest(path))
				require.Equal(t, "shutting_down\n", string(ans.Body), stage)
				require.Equal(t, http.StatusServiceUnavailable, ans.Status, stage)
				require.Empty(t, tf.received, stage)
				require.Equal(t, 1, tf.rates.returned, stage)
				require.Zero(t, tf.slots.failures.Load(), "a stop is no failure of the server")
			}
		}
	}
}

// lateEnd is an end of the stop before the deadline of the requests of newRequest.
const lateEnd = time.Second

// Guards against a request that arrives late in a stop and is cut at its server.
func TestLateRequestIsRefusedUnlessItEndsInTime(t *testing.T) {
	for _, path := range []string{"/w/1", "/r/1"} {
		tf := newTestForwarder(t, okResponse)
		tf.RefuseLate(time.Now().Add(lateEnd))
		for range lateRequests {
			ans := tf.Serve(context.Background(), newRequest(path))
			require.Equal(t, "shutting_down\n", string(ans.Body), path)
			require.NotEmpty(t, ans.Header.Get("Retry-After"), path)
		}
		require.Empty(t, tf.received, path)
		require.Zero(t, tf.rates.taken.Load(), "a refused request takes no token")
		brief := newRequest(path)
		brief.Deadline = brief.Arrived.Add(lateEnd / 2)
		require.Equal(t, http.StatusOK, tf.Serve(context.Background(), brief).Status, path)
	}
}

// Guards against a request that must not run twice, waits until late in a stop, and is
// cut at its server. A request that may run twice goes on waiting: its caller can
// send it again whatever happens.
func TestWaitingRequestAtRefuseLate(t *testing.T) {
	for stage, begin := range map[string]func(tf *testForwarder, late func()){
		"waits for a token": func(tf *testForwarder, late func()) { tf.rates.onTake = late },
		"waits for a slot": func(tf *testForwarder, late func()) {
			tf.slots.allowGrant, tf.slots.acquireCalled = make(chan struct{}), make(chan struct{})
			go func() { <-tf.slots.acquireCalled; late() }()
		},
		"slot granted": func(tf *testForwarder, late func()) { tf.slots.onGrant = late },
		"connected":    func(tf *testForwarder, late func()) { tf.Egress.OnConnect = late },
	} {
		for _, path := range []string{"/w/1", "/r/1"} {
			tf := newTestForwarder(t, okResponse)
			begin(tf, func() {
				tf.RefuseLate(time.Now().Add(lateEnd))
				if tf.slots.allowGrant != nil && path == "/r/1" {
					close(tf.slots.allowGrant)
				}
			})
			ans := tf.Serve(context.Background(), newRequest(path))
			if path == "/r/1" {
				require.Equal(t, http.StatusOK, ans.Status, stage)
				continue
			}
			require.Equal(t, "shutting_down\n", string(ans.Body), stage)
			require.Empty(t, tf.received, stage)
			require.Equal(t, 1, tf.rates.returned, stage)
		}
	}
}

// Guards against a late stage of a stop that ends the requests at servers, and against
// one that sends them once more.
func TestRefuseLateLeavesRequestAtServer(t *testing.T) {
	for reply, status := range map[string]int{
		"ok": http.StatusOK,
		"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n": http.StatusServiceUnavailable,
	} {
		var tf *testForwarder
		sent := 0
		tf = newTestForwarder(t, func(id string) string {
			sent++
			tf.RefuseLate(time.Now().Add(lateEnd))
			if reply == "ok" {
				return okResponse(id)
			}
			return reply
		})
		require.Equal(t, status, tf.Serve(context.Background(), newRequest("/w/1")).Status)
		require.Equal(t, 1, sent)
	}
}
