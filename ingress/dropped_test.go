package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// startPipe serves one end of a pipe and returns the other one, and a function
// that returns the dropped answers once the connection has ended. wrap replaces the
// served end. It must be called in a synctest bubble.
func startPipe(t *testing.T, wrap func(net.Conn) net.Conn, h Handler) (*Server, net.Conn, func() []DroppedAnswer) {
	t.Helper()
	s := NewServer(testHeaders, h, func() Limits { return Limits{} })
	dropped := make(chan DroppedAnswer, 100)
	s.OnAnswerDropped = func(d DroppedAnswer) { dropped <- d }
	client, server := net.Pipe()
	c := newConn(s, wrap(server))
	done := make(chan struct{})
	go func() { c.serve(); close(done) }()
	return s, client, func() []DroppedAnswer {
		<-done
		synctest.Wait()
		close(dropped)
		var all []DroppedAnswer
		for d := range dropped {
			all = append(all, d)
		}
		return all
	}
}

const twoRequests = "GET /1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n\r\nPOST /2 HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\nContent-Length: 0\r\n\r\n"

// Guards against an answer that is discarded without a trace, and against reports
// that do not tell a ready answer from one that was not ready.
func TestDroppedAnswerIsReported(t *testing.T) {
	for _, ready := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			first := make(chan struct{})
			s, client, dropped := startPipe(t, plain, func(ctx context.Context, r *Request) *Response {
				switch {
				case r.ID == "r1":
					<-first
					return &Response{Status: 200, Abort: true}
				case !ready:
					<-ctx.Done()
				}
				return textResponse(201, "")
			})
			send(t, client, twoRequests)
			synctest.Wait()
			s.Drain()
			time.Sleep(time.Second)
			close(first)
			_, err := client.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
			got := dropped()
			require.Len(t, got, 2)
			d := got[1]
			require.Equal(t, "r2", d.Request.ID)
			require.Equal(t, "POST", d.Method)
			require.Equal(t, AbortedByHandler, d.Cause)
			require.Equal(t, time.Second, d.Age())
			require.Equal(t, 1, d.Ahead)
			require.True(t, d.Draining)
			require.NoError(t, d.Err)
			require.Equal(t, map[bool]int{true: 201, false: 0}[ready], d.Status)
		})
	}
}

// Guards against a stop that discards answers of requests that were read.
func TestStopDropsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := make(chan struct{})
		s, client, dropped := startPipe(t, plain, func(_ context.Context, r *Request) *Response {
			if r.ID == "r1" {
				<-first
			}
			return textResponse(201, "")
		})
		send(t, client, twoRequests)
		synctest.Wait()
		s.Drain()
		close(first)
		br := bufio.NewReader(client)
		for _, last := range []bool{false, true} {
			resp, _ := receive(t, br)
			require.Equal(t, 201, resp.StatusCode)
			require.Equal(t, last, resp.Close)
		}
		require.Empty(t, dropped())
	})
}

// Guards against reports about connections whose requests were all answered.
func TestAnsweredConnectionReportsNothing(t *testing.T) {
	for _, last := range []string{"", "Connection: close\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			_, client, dropped := startPipe(t, plain, echo)
			send(t, client, "GET /1 HTTP/1.1\r\nHost: h\r\n"+last+"\r\n")
			receive(t, bufio.NewReader(client))
			require.NoError(t, client.Close())
			require.Empty(t, dropped())
		})
	}
}

// Guards against dropped answers without a cause, or with a wrong one.
func TestDropCauses(t *testing.T) {
	broken := make(chan struct{})
	close(broken)
	for _, c := range []struct {
		cause  DropCause
		err    error
		status int
		resp   *Response
		// caller acts as the caller after both requests have run.
		caller func(client net.Conn) error
	}{
		{CallerDisconnected, io.EOF, 0, nil, func(client net.Conn) error { return client.Close() }},
		{WriteTimeout, nil, 200, textResponse(200, "x"), func(net.Conn) error { time.Sleep(2 * writeTimeout); return nil }},
		{WriteFailed, errBroken, 200, textResponse(200, "x"), drain},
		// A shorter answer that breaks off with others behind it becomes a 502.
		{SourceFailed, io.ErrUnexpectedEOF, 200, &Response{Status: 200, Stream: &breakingBody{size: 2 * maxHeldBackBytes, gate: broken}, Length: -1}, drain},
		{AbortedByHandler, nil, 200, &Response{Status: 200, Abort: true}, drain},
	} {
		t.Run(string(c.cause), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wrap := plain
				if c.cause == WriteFailed {
					wrap = func(nc net.Conn) net.Conn { return brokenWriter{nc} }
				}
				// The connection may end before r2 was read, which is then not dropped.
				secondRuns := make(chan struct{})
				_, client, dropped := startPipe(t, wrap, func(ctx context.Context, r *Request) *Response {
					if r.ID == "r2" {
						close(secondRuns)
					}
					if r.ID == "r2" || c.resp == nil {
						<-ctx.Done()
						var end *ConnectionEnd
						if !errors.As(context.Cause(ctx), &end) || end.Cause != c.cause {
							t.Errorf("context ended with cause %v, not with %s", context.Cause(ctx), c.cause)
						}
						return textResponse(503, "")
					}
					<-secondRuns
					return c.resp
				})
				send(t, client, twoRequests)
				synctest.Wait()
				require.NoError(t, c.caller(client))
				got := dropped()
				require.Len(t, got, 2)
				for i, d := range got {
					require.Equal(t, c.cause, d.Cause)
					require.Equal(t, i, d.Ahead)
					require.False(t, d.Draining)
					if c.err != nil {
						require.ErrorIs(t, d.Err, c.err)
					}
				}
				require.Equal(t, "r1", got[0].Request.ID)
				require.Equal(t, c.status, got[0].Status)
				require.Equal(t, "r2", got[1].Request.ID)
				require.Zero(t, got[1].Status)
			})
		})
	}
}

func drain(client net.Conn) error { _, err := io.Copy(io.Discard, client); return err }

func plain(nc net.Conn) net.Conn { return nc }

var errBroken = errors.New("broken")

// brokenWriter is a connection on which each write fails.
type brokenWriter struct{ net.Conn }

func (brokenWriter) Write([]byte) (int, error) { return 0, errBroken }
