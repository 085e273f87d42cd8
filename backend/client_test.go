package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/execution"
	"godwitlock.example/godwitlock/internal/httphead"
	"godwitlock.example/godwitlock/standin/server"
	"godwitlock.example/godwitlock/topo"
)

// scriptedServer is a server whose behaviour on each connection is defined by
// the test.
type scriptedServer struct {
	addr     string
	requests atomic.Int64
}

// startScriptedServer starts a server that calls serve for each request after
// reading its head, and closes the connection when serve returns false.
func startScriptedServer(t *testing.T, serve func(c net.Conn, r *http.Request) bool) *scriptedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedServer{addr: l.Addr().String()}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, serve)
		}
	}()
	return s
}

func (s *scriptedServer) serve(c net.Conn, serve func(net.Conn, *http.Request) bool) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if !serve(c, r) {
			return
		}
	}
}

func newTestClient(t *testing.T, addr string, conns int) *Client {
	c := New(topo.BackendServer{ID: "s1", Addr: addr, MaxConns: conns}, nil)
	t.Cleanup(c.Close)
	return c
}

func testRequest() *call.Request {
	return &call.Request{ID: "r1", Customer: "c1", Method: "POST", Target: "/k1?a=b", Header: http.Header{}}
}

// reply returns a serve function that reads the body and writes text.
func reply(text string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, text)
		return false
	}
}

const okHead = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"

// Guards against reporting the wrong failure point: a request that is reported
// as "not run" although it may have run could run twice.
func TestFailurePoints(t *testing.T) {
	notRun := "\r\nRequest-Id: r1\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name   string
		serve  func(net.Conn, *http.Request) bool
		points []execution.Point
		kind   errkind.Kind
	}{
		// The reported point depends on whether net/http has already recorded
		// that the request was written. The rules for both points are the same.
		{"closed before the head", reply(""), []execution.Point{execution.ServerHead, execution.ServerWrite}, errkind.OutcomeUnknown},
		{"closed inside the head", reply("HTTP/1.1 200 OK\r\nReq"), []execution.Point{execution.ServerHead, execution.ServerWrite}, errkind.OutcomeUnknown},
		{"not HTTP", reply("hello\r\n\r\n"), []execution.Point{execution.ServerHead, execution.ServerWrite}, errkind.OutcomeUnknown},
		{"409 not run", reply("HTTP/1.1 409 Conflict" + notRun), []execution.Point{execution.ServerNotRun}, errkind.ServerRefused},
		{"429 not run", reply("HTTP/1.1 429 Too Many Requests" + notRun), []execution.Point{execution.ServerNotRun}, errkind.ServerRefused},
		{"503 not run", reply("HTTP/1.1 503 Service Unavailable" + notRun), []execution.Point{execution.ServerNotRun}, errkind.ServerRefused},
		{"other Request-Id", reply("HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nContent-Length: 0\r\n\r\n"), []execution.Point{execution.ResponseMismatch}, errkind.OutcomeUnknown},
		{"no Request-Id", reply("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), []execution.Point{execution.ResponseMismatch}, errkind.OutcomeUnknown},
		{"other request refused", reply("HTTP/1.1 503 X\r\nRequest-Id: r2\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n"), []execution.Point{execution.ResponseMismatch}, errkind.OutcomeUnknown},
		{"neither length nor chunks", reply(okHead + "\r\nabc"), []execution.Point{execution.ServerHead}, errkind.OutcomeUnknown},
		{"protocol switch", reply("HTTP/1.1 101 X\r\nRequest-Id: r1\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"), []execution.Point{execution.ServerHead}, errkind.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startScriptedServer(t, tt.serve)
			_, err := newTestClient(t, s.addr, 8).Do(context.Background(), testRequest())
			require.Error(t, err)
			require.Contains(t, tt.points, execution.PointOf(err), err.Error())
			require.Equal(t, tt.kind, errkind.Of(err))
			require.EqualValues(t, 1, s.requests.Load())
		})
	}
}

// Guards against reporting "may have run" for a server that cannot be reached.
func TestConnectFails(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	_, err = newTestClient(t, l.Addr().String(), 8).Do(context.Background(), testRequest())
	require.Equal(t, execution.ServerConnect, execution.PointOf(err))
	require.Equal(t, errkind.ServerUnreachable, errkind.Of(err))
}

// Guards against reporting "not run" for a request that was partly sent.
func TestWriteFails(t *testing.T) {
	s := startScriptedServer(t, func(net.Conn, *http.Request) bool { return false })
	req := testRequest()
	req.Body, req.ContentLength = io.LimitReader(zeroReader{}, 64<<20), 64<<20
	_, err := newTestClient(t, s.addr, 8).Do(context.Background(), req)
	require.Equal(t, execution.ServerWrite, execution.PointOf(err))
	require.Equal(t, errkind.OutcomeUnknown, errkind.Of(err))
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

// Guards against net/http resending a request on its own when a keep-alive
// connection breaks and the request has no body or carries an Idempotency-Key.
func TestNoSilentResend(t *testing.T) {
	var requests atomic.Int64
	s := startScriptedServer(t, func(c net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		if requests.Add(1)%2 == 0 {
			return false
		}
		_, _ = io.WriteString(c, okHead+"Content-Length: 0\r\n\r\n")
		return true
	})
	get := testRequest()
	get.Method = "GET"
	keyed := testRequest()
	keyed.IdempotencyKey = "k"
	body := testRequest()
	body.Replayable, body.IdempotencyKey = []byte("x"), "k"
	for i, req := range []*call.Request{get, keyed, body} {
		c := newTestClient(t, s.addr, 8)
		resp, err := c.Do(context.Background(), testRequest())
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		require.NoError(t, resp.Body.Close())
		_, err = c.Do(context.Background(), req)
		require.Equal(t, errkind.OutcomeUnknown, errkind.Of(err))
		require.EqualValues(t, 2*(i+1), requests.Load())
	}
}

// Guards against a connection that accepts writes outside its request in
// progress: the report that no byte was sent is valid only if such writes are
// refused.
func TestConnSeal(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	c := &conn{Conn: httphead.NewConn(local), release: func() {}}
	_, err := c.Write([]byte("x"))
	require.ErrorIs(t, err, errWriteRefused)

	a, b := &attempt{}, &attempt{}
	c.begin(a)
	require.False(t, c.seal(a))
	_, err = c.Write([]byte("x"))
	require.ErrorIs(t, err, errWriteRefused, "write accepted after seal reported that no byte was sent")

	c.begin(b)
	go func() { _, _ = io.ReadFull(remote, make([]byte, 1)) }()
	_, err = c.Write([]byte("x"))
	require.NoError(t, err)
	require.True(t, c.seal(b))
	require.NoError(t, c.Close())
}

// Guards against forwarding a truncated body as complete, and against reusing
// its connection.
func TestTruncatedBody(t *testing.T) {
	for name, text := range map[string]string{
		"length": okHead + "Content-Length: 10\r\n\r\nabc",
		"chunks": okHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startScriptedServer(t, reply(text))
			resp, err := newTestClient(t, s.addr, 8).Do(context.Background(), testRequest())
			require.NoError(t, err)
			got, err := io.ReadAll(resp.Body)
			require.Equal(t, "abc", string(got))
			require.Equal(t, execution.ServerBody, execution.PointOf(err))
			require.Equal(t, errkind.OutcomeUnknown, errkind.Of(err))
		})
	}
}

// Guards against honouring Not-Run on a response that may not carry it: only
// 409, 429 and 503 can report "not run". Such responses, and redirects, must be
// forwarded to the caller.
func TestResponsePassedThrough(t *testing.T) {
	for _, head := range []string{"200 OK\r\nNot-Run: true", "500 X\r\nNot-Run: true", "503 X", "503 X\r\nNot-Run: false", "302 Found\r\nLocation: /x"} {
		s := startScriptedServer(t, reply("HTTP/1.1 "+head+"\r\nRequest-Id: r1\r\nX-Drop: 1\r\nConnection: X-Drop\r\nContent-Length: 2\r\n\r\nhi"))
		resp, err := newTestClient(t, s.addr, 8).Do(context.Background(), testRequest())
		require.NoError(t, err)
		got, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "hi", string(got))
		require.Equal(t, head[:3], strconv.Itoa(resp.Status))
		require.NotContains(t, resp.Header, "Not-Run")
		require.NotContains(t, resp.Header, "X-Drop")
		require.EqualValues(t, 1, s.requests.Load())
	}
}

// countedConns counts the connections that are open on the client's side. The
// server notices a closed connection slightly later.
type countedConns struct {
	mu        sync.Mutex
	open, max int
}

func (n *countedConns) add(delta int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open += delta
	n.max = max(n.max, n.open)
}

func (n *countedConns) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	n.add(1)
	return &countedConn{Conn: c, conns: n}, nil
}

type countedConn struct {
	net.Conn
	conns *countedConns
	once  sync.Once
}

func (c *countedConn) Close() error {
	// Delays the close, so that a transport that opens replacements too early
	// exceeds the limit.
	time.Sleep(time.Millisecond)
	err := c.Conn.Close()
	c.once.Do(func() { c.conns.add(-1) })
	return err
}

// Guards against opening more connections than the server allows, also while
// callers cancel requests and connections are replaced.
func TestConnectionLimit(t *testing.T) {
	s, err := server.Start(server.Options{Slots: 1000, ServiceTime: time.Millisecond})
	require.NoError(t, err)
	defer s.Close()
	conns := &countedConns{}
	c := New(topo.BackendServer{ID: "s1", Addr: s.Addr(), MaxConns: 4 + controlConns}, conns.dial)
	defer c.Close()
	var wg sync.WaitGroup
	for i := range 64 {
		wg.Go(func() {
			for j := range 8 {
				ctx, cancel := context.WithCancel(context.Background())
				if (i+j)%3 == 0 {
					time.AfterFunc(time.Millisecond/2, cancel)
				}
				if resp, err := c.Do(ctx, testRequest()); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				cancel()
			}
		})
	}
	wg.Wait()
	require.Equal(t, 4, conns.max)
}

// Guards against a request that runs although it was reported as not run, or
// that is reported as not run although it ran. The client's reports are
// compared with the server's records while callers cancel requests at any
// moment.
func TestNotRunReportsMatchRecords(t *testing.T) {
	s, err := server.Start(server.Options{Slots: 3, ServiceTime: time.Millisecond})
	require.NoError(t, err)
	c := newTestClient(t, s.Addr(), 6)
	var mu sync.Mutex
	var notRun []string
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for j := range 32 {
				ctx, cancel := context.WithCancel(context.Background())
				time.AfterFunc(time.Duration((i*32+j)%40)*100*time.Microsecond, cancel)
				req := testRequest()
				req.ID = strings.Repeat("x", i+1) + strings.Repeat("y", j)
				resp, err := c.Do(ctx, req)
				if err == nil {
					_ = resp.Body.Close()
				} else if errkind.Of(err).Answer().Outcome == errkind.NotRun {
					mu.Lock()
					notRun = append(notRun, req.ID)
					mu.Unlock()
				}
				cancel()
			}
		})
	}
	wg.Wait()
	require.NoError(t, s.Close())
	t.Logf("%d of 512 requests reported as not run, %d ran", len(notRun), len(s.Records()))
	seen := map[string]int{}
	for _, r := range s.Records() {
		seen[r.RequestID]++
		require.Equal(t, 1, seen[r.RequestID], "request ran twice")
		require.False(t, slices.Contains(notRun, r.RequestID), "request reported as not run, but it ran")
	}
}
