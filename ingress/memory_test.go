package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/internal/knownred"
	"godwitlock.example/godwitlock/internal/pipe"
	"godwitlock.example/godwitlock/membudget"
)

// budgetServer starts a server with a memory budget. It returns its address and a
// function that waits until all connections have ended and nothing is held.
func budgetServer(t *testing.T, bytes int64, h Handler) (s *Server, addr string, settle func()) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	s = NewServer(testHeaders, h, func() Limits { return Limits{BodyBytes: 1 << 20} })
	s.Memory = membudget.New(bytes)
	go func() { _ = s.Serve(lis) }()
	return s, lis.Addr().String(), func() {
		t.Helper()
		require.Eventually(t, func() bool {
			held := int64(s.OpenConnections())
			for _, p := range membudget.Purposes() {
				held += max(s.Memory.Held(p), -s.Memory.Held(p))
			}
			return held == 0
		}, time.Minute, 5*time.Millisecond, "connections, or memory that is not given back")
	}
}

// fields returns n different fields with values of the given size.
func fields(n, size int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%c%c%c:%s\r\n", 'a'+i%26, 'a'+i/26%26, 'a'+i/676, strings.Repeat("v", size))
	}
	return b.String()
}

// Guards against heads that hold more memory than is accounted for them.
func TestCostOfHeadsCoversTheirMemory(t *testing.T) {
	for name, rest := range map[string]string{
		"short fields": fields(2600, 0), "1000 fields": fields(1000, 10), "ordinary": fields(20, 50), "few": fields(2, 5),
		"one name": strings.Repeat("a:\r\n", 4000), "long value": "a:" + strings.Repeat("b", 16000) + "\r\n",
		"continued": "a:" + strings.Repeat("x\r\n ", 3000) + "\r\n", "two names": strings.Repeat("a:\r\nb:\r\n", 1000),
		"just over a doubling": fields(900, 0),
	} {
		head := "GET / HTTP/1.1\r\nHost: h\r\n" + rest + "\r\n"
		const count = 100
		br := bufio.NewReaderSize(strings.NewReader(strings.Repeat(head, count)), 64<<10)
		kept := make([]*http.Request, 0, count)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range count {
			r, err := http.ReadRequest(br)
			require.NoError(t, err)
			kept = append(kept, r)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(kept)
		live := int64(after.HeapAlloc-before.HeapAlloc) / count
		require.GreaterOrEqual(t, membudget.HeadBytes(len(head), strings.Count(head, "\n")), live, name)
	}
}

// Guards against memory that stays counted after its request, however that ended.
func TestMemoryIsGivenBack(t *testing.T) {
	stream := func() *Response {
		return &Response{Status: 200, Stream: io.NopCloser(strings.NewReader(strings.Repeat("x", 100_000))), Length: 100_000}
	}
	s, addr, settle := budgetServer(t, 64<<20, func(_ context.Context, r *Request) *Response {
		switch {
		case r.Path == "/stream":
			return stream()
		case r.Stream != nil:
			_, _ = io.Copy(io.Discard, r.Stream)
		}
		return textResponse(200, strings.Repeat("x", 5000))
	})
	get := "GET / HTTP/1.1\r\nHost: h\r\n"
	post := "POST / HTTP/1.1\r\nHost: h\r\n"
	for name, text := range map[string]string{
		"idle":              "",
		"ordinary":          get + "\r\n",
		"long head":         get + fields(2300, 0) + "\r\n",
		"pipelined heads":   strings.Repeat(get+fields(1000, 5)+"\r\n", 20),
		"endless head":      get + fields(2300, 0),
		"head over limit":   get + fields(5000, 0),
		"malformed":         get + fields(1000, 0) + "bad\r\n\r\n",
		"malformed at once": "x\r\n\r\n",
		"body":              post + "Content-Length: 60000\r\n\r\n" + strings.Repeat("x", 60000) + get + "\r\n",
		"body short":        post + "Content-Length: 60000\r\n\r\n" + strings.Repeat("x", 59999),
		"chunks":            post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 20000) + "0\r\n\r\n",
		"long chunks":       post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 100000) + "0\r\n\r\n",
		"long body":         post + "Content-Length: 600000\r\n\r\n" + strings.Repeat("x", 600000),
		"body over limit":   post + "Content-Length: 6000000\r\n\r\n",
		"streams":           strings.Repeat("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n", 16),
	} {
		for _, reads := range []bool{true, false} {
			nc, err := net.Dial("tcp", addr)
			require.NoError(t, err, name)
			done := make(chan struct{})
			go func() {
				defer close(done)
				if reads {
					_, _ = io.Copy(io.Discard, nc)
				}
			}()
			_, _ = io.WriteString(nc, text)
			if reads {
				_ = nc.(*net.TCPConn).CloseWrite()
			} else {
				_ = nc.Close()
			}
			<-done
			_ = nc.Close()
		}
	}
	settle()
	require.Zero(t, s.Evictions()+s.RefusedConnections())
	for _, c := range membudget.Classes() {
		require.Zero(t, s.Memory.Refused(c), c.String())
	}
}

// Guards against a request that runs, or that is not answered, when there is no memory
// for it, and against a refusal that lasts.
func TestRequestsAreRefusedWithoutMemory(t *testing.T) {
	ran := make(chan string, 10)
	s, addr, settle := budgetServer(t, 1<<20, func(_ context.Context, r *Request) *Response {
		ran <- r.URI
		return textResponse(200, "")
	})
	refused := func(nc net.Conn, text string) {
		t.Helper()
		send(t, nc, text)
		resp, _ := receive(t, bufio.NewReader(nc))
		require.Equal(t, 503, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		require.True(t, resp.Close)
	}
	head, body := dial(t, addr), dial(t, addr)
	// The connection is counted before it is served.
	require.Eventually(t, func() bool { return s.OpenConnections() == 2 }, time.Minute, time.Millisecond)
	s.Memory.Add(membudget.Responses, 900<<10)
	refused(dial(t, addr), "GET /new HTTP/1.1\r\nHost: h\r\n\r\n")
	refused(head, "GET /head HTTP/1.1\r\nHost: h\r\n\r\n")
	s.Memory.Give(membudget.Responses, 900<<10)
	send(t, body, "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n")
	require.Eventually(t, func() bool { return s.Memory.Held(membudget.Bodies) > 0 }, time.Minute, time.Millisecond)
	s.Memory.Add(membudget.Responses, 980<<10)
	refused(body, strings.Repeat("x", 60000))
	s.Memory.Give(membudget.Responses, 980<<10)
	require.Empty(t, ran)
	require.Equal(t, 200, func() int {
		nc := dial(t, addr)
		send(t, nc, "GET /again HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		resp, _ := receive(t, bufio.NewReader(nc))
		return resp.StatusCode
	}())
	_ = head.Close()
	_ = body.Close()
	settle()
}

// Guards against ordinary callers that are refused while others hold all memory with
// bodies that do not end.
func TestTheOneThatHoldsMostMakesRoom(t *testing.T) {
	knownred.Skip(t)
	const budget = 512 << 10
	s, addr, _ := budgetServer(t, budget, echo)
	var holders []net.Conn
	for range 8 {
		nc := dial(t, addr)
		send(t, nc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n"+strings.Repeat("x", 59999))
		holders = append(holders, nc)
	}
	require.Eventually(t, func() bool {
		nc := dial(t, addr)
		defer func() { _ = nc.Close() }()
		send(t, nc, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 30000\r\n\r\n"+strings.Repeat("x", 30000))
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		return err == nil && resp.StatusCode == 200
	}, time.Minute, 20*time.Millisecond)
	require.Positive(t, s.Evictions())
	refused := 0
	for _, nc := range holders {
		_ = nc.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if resp, err := http.ReadResponse(bufio.NewReader(nc), nil); err == nil && resp.StatusCode == 503 {
			refused++
		}
	}
	require.Positive(t, refused, "an evicted request is refused, since it has not run")
}

// Guards against a caller inside the limits that is refused although nobody else is
// there: the largest head, and the largest body that is buffered, on the smallest VM.
func TestOneCallerInsideTheLimitsIsServed(t *testing.T) {
	s, addr, settle := budgetServer(t, membudget.CallerLimit(144<<20), echo)
	nc := dial(t, addr)
	body := strings.Repeat("x", maxBufferedBodyBytes)
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n", len(body))
	head += strings.Repeat("a:\r\n", (defaultLimits.HeaderBytes-len(head))/4)
	for range 3 {
		send(t, nc, head+"\r\n"+body)
		br := bufio.NewReader(nc)
		resp, got := receive(t, br)
		require.Equal(t, 200, resp.StatusCode)
		require.True(t, strings.HasSuffix(got, body))
	}
	_ = nc.Close()
	settle()
	require.Zero(t, s.Evictions())
}

// Guards against a caller that reads a few bytes now and then and holds a connection to
// a server, and against a cut where the source is slow.
func TestPaceOfACallerThatReadsSlowly(t *testing.T) {
	const rate = 1000
	p := writePace{rate: rate}
	require.Equal(t, writeTimeout, p.left())
	p.blocked, p.written = writeTimeout, 0
	require.LessOrEqual(t, p.left(), time.Duration(0))
	p.written = rate
	require.Equal(t, time.Second, p.left())
	p.written = 100 * rate
	require.Equal(t, writeTimeout, p.left(), "each write is bounded too")
}

// Guards against a head that is taken for complete too early or too late, and against
// one that is read differently because of it. net/http alone is the reference.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\nHost: h\n\nrest", "GET / HTTP/1.1\r\n\r\n", "\r\nGET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\na: b\r\n \r\n c\r\n\r\n", "GET / HTTP/1.1\r\na: b\r\r\n\r\n", "x\r\n", "GET /  HTTP/9\r\n\r\n", "G / HTTP/1.1\r\n:\r\n\r\n",
		"GET / HTTP/1.1\r\n" + fields(700, 0) + "\r\n", "GET / HTTP/1.1\r\n" + fields(2300, 0) + "\r\nGET /",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 16<<10 {
			return
		}
		s := NewServer(testHeaders, echo, func() Limits { return Limits{} })
		s.Memory = membudget.New(64 << 20)
		here, there := net.Pipe()
		defer func() { _ = here.Close(); _ = there.Close() }()
		go func() { _, _ = there.Write(data); _ = there.Close() }()
		c := newConn(s, here)
		var held memory
		got, refusal, err := c.readHead(s.effectiveLimits(), &held)
		want, wantErr := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if wantErr != nil {
			require.True(t, err != nil || refusal != nil)
			return
		}
		require.NoError(t, err)
		require.Nil(t, refusal)
		require.Equal(t, want.Header, got.Header)
		require.Equal(t, want.RequestURI, got.RequestURI)
		require.Equal(t, want.ContentLength, got.ContentLength)
		wantBody, wantErr := io.ReadAll(io.LimitReader(want.Body, maxBufferedBodyBytes+1))
		gotBody, err := c.bufferBody(got.Body, got.ContentLength, &held)
		require.Equal(t, wantErr == nil, err == nil, "%v, %v", wantErr, err)
		if err == nil {
			require.Equal(t, string(wantBody), string(gotBody))
		}
	})
}

// Guards against limits of callers that are not kept, and against a caller that sends a
// long body so slowly that it holds a server's connection.
func TestLimitsOfACaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lis := pipe.Listen()
		defer func() { _ = lis.Close() }()
		var running, most atomic.Int64
		s := NewServer(testHeaders, func(_ context.Context, r *Request) *Response {
			most.Store(max(most.Load(), running.Add(1)))
			defer running.Add(-1)
			if r.Stream != nil {
				if _, err := io.Copy(io.Discard, r.Stream); err != nil {
					return textResponse(408, "")
				}
				return textResponse(200, "")
			}
			time.Sleep(time.Second)
			return textResponse(200, "")
		}, func() Limits { return Limits{} })
		s.Callers = CallerLimits{Fields: 5, Pipelined: 3, BodyTime: 2 * time.Second, BodyRate: 100}
		go func() { _ = s.Serve(lis) }()
		connect := func() (net.Conn, *bufio.Reader) {
			nc, err := lis.Dial(t.Context(), "", "")
			require.NoError(t, err)
			return nc, bufio.NewReader(nc)
		}

		nc, br := connect()
		send(t, nc, "GET / HTTP/1.1\r\nHost: h\r\n"+fields(4, 1)+"\r\n")
		resp, _ := receive(t, br)
		require.Equal(t, 200, resp.StatusCode)
		go func() { _, _ = io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n"+fields(5, 1)+"\r\n") }()
		resp, _ = receive(t, br)
		require.Equal(t, 431, resp.StatusCode)
		_ = nc.Close()

		nc, br = connect()
		most.Store(0)
		go func() { _, _ = io.WriteString(nc, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 12)) }()
		for range 12 {
			resp, _ := receive(t, br)
			require.Equal(t, 200, resp.StatusCode)
		}
		// Besides those that wait, one is being answered and one was just read.
		require.LessOrEqual(t, most.Load(), int64(3+2))
		require.GreaterOrEqual(t, most.Load(), int64(3))
		_ = nc.Close()

		for _, c := range []struct {
			step   int
			status int
		}{{60, 408}, {200, 200}} {
			nc, br = connect()
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _ = io.WriteString(nc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n"+strings.Repeat("x", 1000))
				for sent := 1000; sent < 70000; sent += c.step {
					if _, err := io.WriteString(nc, strings.Repeat("x", min(c.step, 70000-sent))); err != nil {
						return
					}
					time.Sleep(time.Second)
				}
			}()
			resp, _ = receive(t, br)
			require.Equal(t, c.status, resp.StatusCode)
			_ = nc.Close()
			<-done
		}
	})
}

// Guards against a connection to a server that is held while a caller does not read an
// answer of a size that can be kept for it.
func TestAnswerIsReadFromItsServerWithoutItsCaller(t *testing.T) {
	for _, length := range []int{20_000, maxReadAheadBytes - 1} {
		synctest.Test(t, func(t *testing.T) {
			lis := pipe.Listen()
			defer func() { _ = lis.Close() }()
			source := &closingReader{Reader: strings.NewReader(strings.Repeat("x", length))}
			s := NewServer(testHeaders, func(context.Context, *Request) *Response {
				return &Response{Status: 200, Stream: source, Length: int64(length)}
			}, func() Limits { return Limits{} })
			go func() { _ = s.Serve(lis) }()
			nc, err := lis.Dial(t.Context(), "", "")
			require.NoError(t, err)
			send(t, nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			time.Sleep(2 * takeoverInterval)
			require.True(t, source.closed.Load())
			_, body := receive(t, bufio.NewReader(nc))
			require.Len(t, body, length)
			_ = nc.Close()
		})
	}
}

// closingReader is the body of a server's answer.
type closingReader struct {
	io.Reader
	closed atomic.Bool
}

// Close implements io.Closer.
func (r *closingReader) Close() error { r.closed.Store(true); return nil }
