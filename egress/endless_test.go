package egress

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/internal/readlimit"
)

// endlessServer writes start and then repeat again and again, until its
// connection is closed. It gives up after maxEndlessBytes.
type endlessServer struct {
	start, repeat string
	// accepted is the number of bytes that were read from the server, and
	// closed says that its connection was closed by the other side. Both are
	// valid once done is closed.
	accepted int
	closed   bool
	done     chan struct{}
}

// maxEndlessBytes is far beyond every limit of package egress.
const maxEndlessBytes = 8 << 20

// client returns a client with one connection, to the server, and the target to
// use it for. The connection reads from the server without a buffer in between.
func (s *endlessServer) client(t *testing.T) (*Client, Target) {
	t.Helper()
	s.done = make(chan struct{})
	nc, peer := net.Pipe()
	go s.serve(peer)
	c := New(testHeaders)
	cn := newConn(c, testIncarnation, nc)
	cn.idleUntil = time.Now().Add(time.Hour)
	c.open[testIncarnation], c.idle[testIncarnation] = 1, []*conn{cn}
	t.Cleanup(func() { _ = peer.Close() })
	return c, Target{Incarnation: testIncarnation}
}

func (s *endlessServer) serve(nc net.Conn) {
	defer close(s.done)
	if _, ok := readRequest(bufio.NewReader(nc)); !ok {
		return
	}
	n, err := io.WriteString(nc, s.start)
	s.accepted = n
	for err == nil && s.accepted < maxEndlessBytes && s.repeat != "" {
		n, err = io.WriteString(nc, s.repeat)
		s.accepted += n
	}
	if err == nil && s.repeat == "" {
		_, err = nc.Read(make([]byte, 1))
	}
	s.closed = err != nil
	_ = nc.Close()
}

// requireCutOff checks that the server's connection was closed after at most max
// bytes, at once and not at the end of a timeout, and that it is not used again.
func (s *endlessServer) requireCutOff(t *testing.T, c *Client, start time.Time, maxBytes int) {
	t.Helper()
	require.Zero(t, time.Since(start), "time until the failure")
	<-s.done
	require.LessOrEqual(t, s.accepted, maxBytes, "bytes accepted from the server")
	require.True(t, s.closed, "connection of the server is closed")
	require.Empty(t, c.idle[testIncarnation])
	require.Empty(t, c.open)
}

// Guards against reading a head that never ends until the memory is used up.
func TestEndlessHeadIsCutOff(t *testing.T) {
	kilobyte := strings.Repeat("x", 1<<10)
	for name, s := range map[string]*endlessServer{
		"status line":             {start: "HTTP/1.1 200 ", repeat: kilobyte},
		"header value":            {start: "HTTP/1.1 200 OK\r\nX: ", repeat: kilobyte},
		"header section":          {start: "HTTP/1.1 200 OK\r\n", repeat: "X: " + kilobyte + "\r\n"},
		"informational responses": {repeat: "HTTP/1.1 102 Processing\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, target := s.client(t)
				start := time.Now()
				_, err := c.Do(t.Context(), target, newGetRequest("a"))
				var f *Failure
				require.True(t, errors.As(err, &f))
				require.True(t, f.MayHaveRun)
				s.requireCutOff(t, c, start, readlimit.ResponseHeadBytes)
			})
		})
	}
}

// Guards against waiting until the deadline for the end of a line that cannot be
// a status line.
func TestBytesThatAreNoResponseEndTheAttemptAtOnce(t *testing.T) {
	for name, s := range map[string]*endlessServer{
		"junk":             {start: "\x00"},
		"line without end": {start: "HTTP/1.", repeat: "x"},
		"other protocol":   {start: "HTTP/2.0 200"},
		"status below 100": {start: "HTTP/1.1 099"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, target := s.client(t)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				start := time.Now()
				_, err := c.Do(ctx, target, newGetRequest("a"))
				var f *Failure
				require.True(t, errors.As(err, &f))
				require.True(t, f.MayHaveRun)
				s.requireCutOff(t, c, start, len("HTTP/1.1 200"))
			})
		})
	}
}

// Guards against skipping a late response that never ends.
func TestEndlessLateResponseIsCutOff(t *testing.T) {
	kilobyte := strings.Repeat("x", 1<<10)
	late := "HTTP/1.1 200 OK\r\nRequest-Id: old\r\nSeal: x\r\n"
	for name, s := range map[string]*endlessServer{
		"by length": {start: late + "Content-Length: 99999999999999\r\n\r\n", repeat: kilobyte},
		"in chunks": {start: late + "Transfer-Encoding: chunked\r\n\r\n", repeat: "400\r\n" + kilobyte + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, target := s.client(t)
				start := time.Now()
				_, err := c.Do(t.Context(), target, newGetRequest("a"))
				var f *Failure
				require.True(t, errors.As(err, &f))
				require.True(t, f.MayHaveRun)
				s.requireCutOff(t, c, start, maxStaleBodyBytes+maxStaleBodyBytes/16)
			})
		})
	}
}

// Guards against a refusal that holds its request until the deadline because its
// body never ends.
func TestRefusalDoesNotWaitForItsBody(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: a\r\nNot-Run: 1\r\n"
	for name, s := range map[string]*endlessServer{
		"silent":           {start: refusal + "Content-Length: 9\r\n\r\nbusy"},
		"long":             {start: refusal + "Content-Length: 99999999999999\r\n\r\n", repeat: strings.Repeat("x", 1<<10)},
		"without a length": {start: refusal + "\r\n", repeat: "busy"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, target := s.client(t)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				start := time.Now()
				resp, err := c.Do(ctx, target, newGetRequest("a"))
				require.NoError(t, err)
				require.True(t, resp.NotRun)
				require.NoError(t, ctx.Err())
				require.NoError(t, resp.Body.Close())
				require.LessOrEqual(t, time.Since(start), refusalBodyTimeout)
				s.requireCutOff(t, c, time.Now(), 2*maxRefusalBodyBytes)
			})
		})
	}
}

// Guards against chunk extensions or trailers that are read and kept without end
// behind a good head.
func TestEndlessFramingOfABodyIsCutOff(t *testing.T) {
	kilobyte := strings.Repeat("x", 1<<10)
	chunked := okResponse("a", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n")
	for name, s := range map[string]*endlessServer{
		"chunk size":       {start: chunked, repeat: "0"},
		"chunk extension":  {start: chunked + "1;", repeat: kilobyte},
		"chunk extensions": {start: chunked, repeat: "1;" + kilobyte + "\r\nx\r\n"},
		"trailer":          {start: chunked + "0\r\nX: ", repeat: kilobyte},
		"trailers":         {start: chunked + "0\r\n", repeat: "X: " + kilobyte + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, target := s.client(t)
				start := time.Now()
				resp, err := c.Do(t.Context(), target, newGetRequest("a"))
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				require.Error(t, err)
				require.NoError(t, resp.Body.Close())
				s.requireCutOff(t, c, start, 32<<10)
			})
		})
	}
}

// Guards against a connection that stays open, or is used again, when its
// response has no end.
func TestEndlessBodyEndsWithItsRequest(t *testing.T) {
	kilobyte := strings.Repeat("x", 1<<10)
	for name, s := range map[string]*endlessServer{
		"by length":        {start: okResponse("a", "Content-Length: 99999999999999\r\n", ""), repeat: kilobyte},
		"in chunks":        {start: okResponse("a", "Transfer-Encoding: chunked\r\n", ""), repeat: "400\r\n" + kilobyte + "\r\n"},
		"without a length": {start: okResponse("a", "", ""), repeat: kilobyte},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, target := s.client(t)
				ctx, cancel := context.WithCancel(t.Context())
				start := time.Now()
				resp, err := c.Do(ctx, target, newGetRequest("a"))
				require.NoError(t, err)
				_, err = io.CopyN(io.Discard, resp.Body, 64<<10)
				require.NoError(t, err)
				cancel()
				synctest.Wait()
				_, err = io.Copy(io.Discard, resp.Body)
				require.Error(t, err)
				require.NoError(t, resp.Body.Close())
				s.requireCutOff(t, c, start, 128<<10)
			})
		})
	}
}

// Guards against taking bytes without end behind a complete response for the
// response to the next request.
func TestBytesBehindAResponseCloseTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &endlessServer{start: okResponse("a", "Content-Length: 2\r\n", "ok") + "x", repeat: strings.Repeat("x", 1<<10)}
		c, target := s.client(t)
		start := time.Now()
		resp, err := c.Do(t.Context(), target, newGetRequest("a"))
		require.NoError(t, err)
		require.Equal(t, "ok", readAll(t, resp))
		require.NoError(t, resp.Body.Close())
		s.requireCutOff(t, c, start, bufferBytes)
	})
}

// Guards against a time limit on the body of a refusal that stays in force for
// the next response on the connection.
func TestConnectionIsReusedAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nc, peer := net.Pipe()
		served := make(chan struct{})
		go func() {
			defer close(served)
			br := bufio.NewReader(peer)
			readRequest(br)
			_, _ = io.WriteString(peer, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: a\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nbusy")
			readRequest(br)
			time.Sleep(2 * refusalBodyTimeout)
			_, _ = io.WriteString(peer, okResponse("b", "Content-Length: 2\r\n", "ok"))
		}()
		c := New(testHeaders)
		cn := newConn(c, testIncarnation, nc)
		cn.idleUntil = time.Now().Add(time.Hour)
		c.open[testIncarnation], c.idle[testIncarnation] = 1, []*conn{cn}
		resp, err := c.Do(t.Context(), Target{Incarnation: testIncarnation}, newGetRequest("a"))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Len(t, c.idle[testIncarnation], 1)
		resp, err = c.Do(t.Context(), Target{Incarnation: testIncarnation}, newGetRequest("b"))
		require.NoError(t, err)
		require.Equal(t, "ok", readAll(t, resp))
		<-served
		require.NoError(t, nc.Close())
	})
}
