package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// recordingSlots grants every slot at once and sends the result with which it is
// freed to results.
type recordingSlots struct{ results chan permit.Result }

type recordingSlot struct{ results chan permit.Result }

func (s recordingSlot) Finish(r permit.Result) { s.results <- r }

func (s *recordingSlots) Acquire(context.Context, *view.Snapshot, string, permit.Request) (Slot, permit.Decision) {
	return recordingSlot{s.results}, permit.Decision{Verdict: permit.Granted, Server: "s1"}
}

// faultyForwarder is a Forwarder whose server handles each connection with a
// function of the test, for one request.
type faultyForwarder struct {
	*testForwarder
	results chan permit.Result
	// requests is the number of requests that reached the server.
	requests atomic.Int32
	// closed receives a value for each connection of the server that ended.
	closed chan struct{}
}

// newFaultyForwarder returns a faultyForwarder. The function answer writes the
// answer to the request with the given number, counted from 1; after it returns,
// the server reads until its connection is closed, unless answer closed it.
func newFaultyForwarder(t *testing.T, answer func(nc net.Conn, n int32)) *faultyForwarder {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	ff := &faultyForwarder{
		testForwarder: newTestForwarder(t, okResponse),
		results:       make(chan permit.Result, 16), closed: make(chan struct{}, 16),
	}
	ff.Slots = &recordingSlots{ff.results}
	ff.view.Directory(func(d *directory.Directory) {
		d.Put(directory.Server{ID: topo.ServerID("s1"), Service: "s", Addr: lis.Addr().String(), Slots: 1, State: directory.Ready, Rev: 2})
	})
	go func() {
		for {
			nc, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				br := bufio.NewReader(nc)
				if _, err := http.ReadRequest(br); err == nil {
					answer(nc, ff.requests.Add(1))
				}
				_, _ = io.Copy(io.Discard, br)
				_ = nc.Close()
				ff.closed <- struct{}{}
			}()
		}
	}()
	return ff
}

// writeForever writes start, and then repeat until the connection is closed.
func writeForever(nc net.Conn, start, repeat string) {
	_, err := io.WriteString(nc, start)
	for err == nil {
		_, err = io.WriteString(nc, repeat)
	}
}

// Guards against counting an answer that breaks off on its way to the caller as
// served, which keeps its server in use.
func TestBrokenStreamIsAFailureOfItsServer(t *testing.T) {
	long := strings.Repeat("x", 2*maxBufferedAnswerBytes)
	head := "HTTP/1.1 200 OK\r\nRequest-Id: x\r\nSeal: s\r\n"
	for name, text := range map[string]string{
		"by length": head + "Content-Length: 100000\r\n\r\n" + long,
		"in chunks": head + "Transfer-Encoding: chunked\r\n\r\n8000\r\n" + long + "\r\n",
		"junk":      head + "Transfer-Encoding: chunked\r\n\r\n8000\r\n" + long + "\r\njunk\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			ff := newFaultyForwarder(t, func(nc net.Conn, _ int32) {
				_, _ = io.WriteString(nc, text)
				_ = nc.(*net.TCPConn).CloseWrite()
			})
			ans := ff.Serve(context.Background(), newRequest("/w/1"))
			require.NotNil(t, ans.Stream)
			_, err := io.Copy(io.Discard, ans.Stream)
			require.Error(t, err)
			require.NoError(t, ans.Stream.Close())
			require.Equal(t, permit.Result{Failed: true}, <-ff.results)
			<-ff.closed
		})
	}
}

// Guards against blaming a server for a caller that leaves in the middle of its
// answer.
func TestCallerThatLeavesAStreamIsNoFailureOfItsServer(t *testing.T) {
	ff := newFaultyForwarder(t, func(nc net.Conn, _ int32) {
		writeForever(nc, "HTTP/1.1 200 OK\r\nRequest-Id: x\r\nSeal: s\r\n\r\n", strings.Repeat("x", 1<<10))
	})
	ctx, cancel := context.WithCancel(context.Background())
	ans := ff.Serve(ctx, newRequest("/r/1"))
	require.NotNil(t, ans.Stream)
	_, err := io.CopyN(io.Discard, ans.Stream, 2*maxBufferedAnswerBytes)
	require.NoError(t, err)
	cancel()
	_, err = io.Copy(io.Discard, ans.Stream)
	require.Error(t, err)
	require.NoError(t, ans.Stream.Close())
	require.False(t, (<-ff.results).Failed)
	<-ff.closed
}

// Guards against holding a request past its route's timeout while a short answer
// arrives slowly or not at all.
func TestShortAnswerThatDoesNotEndIsGivenUpAtTheTimeout(t *testing.T) {
	for _, path := range []string{"/w/1", "/r/1"} {
		t.Run(path, func(t *testing.T) {
			ff := newFaultyForwarder(t, func(nc net.Conn, _ int32) {
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nRequest-Id: x\r\nSeal: s\r\nContent-Length: 9\r\n\r\nhalf")
			})
			in := newRequest(path)
			in.Deadline = in.Arrived.Add(10 * time.Second)
			ans := ff.Serve(context.Background(), in)
			require.True(t, time.Now().Before(in.Deadline), "answered before the caller's deadline")
			require.Equal(t, http.StatusGatewayTimeout, ans.Status)
			require.Equal(t, "deadline_after_run\n", string(ans.Body))
			require.Empty(t, ans.Header.Get("Retry-After"))
			require.Equal(t, permit.Result{Failed: true}, <-ff.results)
			require.Equal(t, int32(1), ff.requests.Load())
			<-ff.closed
		})
	}
}

// Guards against holding a repeatable request until its deadline for the body of
// a failure.
func TestFailureDoesNotWaitForItsBody(t *testing.T) {
	ff := newFaultyForwarder(t, func(nc net.Conn, n int32) {
		if n > 1 {
			_, _ = io.WriteString(nc, okResponse("x"))
			return
		}
		_, _ = io.WriteString(nc, "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: x\r\nSeal: s\r\nContent-Length: 9\r\n\r\nhalf")
	})
	in := newRequest("/r/1")
	ans := ff.Serve(context.Background(), in)
	require.Equal(t, 200, ans.Status)
	require.Equal(t, permit.Result{Failed: true}, <-ff.results)
	require.False(t, (<-ff.results).Failed)
}

// Guards against an answer "not run", or a wait until the deadline, when a server
// answers with bytes without end: a repeatable request goes on to another
// attempt at once, and the outcome of any other is unknown.
func TestEndlessBytesOfAServer(t *testing.T) {
	kilobyte := strings.Repeat("x", 1<<10)
	head := "HTTP/1.1 200 OK\r\nRequest-Id: x\r\nSeal: s\r\n"
	for name, c := range map[string]struct{ start, repeat string }{
		"junk":                    {"\x00\x01", kilobyte},
		"status line":             {"HTTP/1.1 200 ", kilobyte},
		"header section":          {"HTTP/1.1 200 OK\r\n", "X: " + kilobyte + "\r\n"},
		"informational":           {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"late response":           {"HTTP/1.1 200 OK\r\nRequest-Id: old\r\nSeal: s\r\nContent-Length: 99999999999999\r\n\r\n", kilobyte},
		"unmatched response":      {"HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n", kilobyte},
		"unsealed response":       {"HTTP/1.1 200 OK\r\nRequest-Id: x\r\n\r\n", kilobyte},
		"junk in place of chunks": {head + "Transfer-Encoding: chunked\r\n\r\n", kilobyte},
	} {
		t.Run(name, func(t *testing.T) {
			answer := func(nc net.Conn, n int32) {
				if n > 1 {
					_, _ = io.WriteString(nc, okResponse("x"))
					return
				}
				writeForever(nc, c.start, c.repeat)
			}
			ff := newFaultyForwarder(t, answer)
			ans := ff.Serve(context.Background(), newRequest("/w/1"))
			require.Equal(t, http.StatusBadGateway, ans.Status)
			require.Equal(t, "outcome_unknown\n", string(ans.Body))
			require.Empty(t, ans.Header.Get("Retry-After"))
			require.Equal(t, permit.Result{Failed: true}, <-ff.results)
			require.Equal(t, int32(1), ff.requests.Load())
			<-ff.closed

			ff = newFaultyForwarder(t, answer)
			ans = ff.Serve(context.Background(), newRequest("/r/1"))
			require.Equal(t, http.StatusOK, ans.Status)
			require.Equal(t, permit.Result{Failed: true}, <-ff.results)
			require.Equal(t, int32(2), ff.requests.Load())
			<-ff.closed
		})
	}
}

// endlessBody is the body of a caller that never stops sending.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

// Guards against sending the body of a caller without end, after the answer or
// after the deadline of its request.
func TestEndlessBodyOfACallerEndsWithItsRequest(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		status int
	}{
		"answered":   {okResponse("x"), http.StatusOK},
		"unanswered": {"", http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			ff := newFaultyForwarder(t, func(nc net.Conn, _ int32) { _, _ = io.WriteString(nc, c.answer) })
			in := newRequest("/w/1")
			in.Stream, in.Length = endlessBody{}, -1
			require.Equal(t, c.status, ff.Serve(context.Background(), in).Status)
			<-ff.closed
			<-ff.results
		})
	}
}

// Guards against an answer without a length, whose end only the close of the
// server's connection marks, that is passed on as one of known length. An answer
// cut within its head must not reach the caller at all.
func TestAnswerWithoutLengthIsPassedOnAsSuch(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: x\r\nSeal: s\r\n"
	for name, text := range map[string]string{"whole head": head + "\r\nshort", "empty": head + "\r\n"} {
		t.Run(name, func(t *testing.T) {
			ff := newFaultyForwarder(t, func(nc net.Conn, _ int32) {
				_, _ = io.WriteString(nc, text)
				_ = nc.(*net.TCPConn).CloseWrite()
			})
			ans := ff.Serve(context.Background(), newRequest("/w/1"))
			require.Equal(t, http.StatusOK, ans.Status)
			require.True(t, ans.CloseDelimited)
		})
	}
	for n := range len(head) {
		ff := newFaultyForwarder(t, func(nc net.Conn, _ int32) {
			_, _ = io.WriteString(nc, head[:n])
			_ = nc.(*net.TCPConn).CloseWrite()
		})
		require.Equal(t, http.StatusBadGateway, ff.Serve(context.Background(), newRequest("/w/1")).Status, "head of %d bytes", n)
	}
}
