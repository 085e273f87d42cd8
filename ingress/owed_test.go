package ingress

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// pipeListener accepts the connections that are sent on it.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	nc, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return nc, nil
}
func (l pipeListener) Close() error   { close(l); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// caller is a caller whose connection has no buffer: a write returns when the
// server has read the bytes, and a response is written when the caller reads it.
type caller struct {
	net.Conn
	br *bufio.Reader
}

// dialPipe starts a server and returns it with a caller. It must be called in a
// synctest bubble.
func dialPipe(t *testing.T, limits func() Limits, h Handler) (*Server, *caller) {
	t.Helper()
	lis := make(pipeListener)
	s := NewServer(testHeaders, h, limits)
	go func() { _ = s.Serve(lis) }()
	client, server := net.Pipe()
	lis <- server
	// The sleep lets all goroutines of the bubble end, also after a failure.
	t.Cleanup(func() { _ = client.Close(); _ = lis.Close(); time.Sleep(time.Hour) })
	return s, &caller{Conn: client, br: bufio.NewReader(client)}
}

// requireAnswer receives a response and checks its body and whether it closes the
// connection.
func (c *caller) requireAnswer(t *testing.T, body string, last bool) {
	t.Helper()
	resp, got := receive(t, c.br)
	require.Equal(t, body, got)
	require.Equal(t, last, resp.Close, "Connection: close on %s", body)
	if last {
		_, err := c.br.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
}

// gates blocks requests until their URI is opened, and records the URIs that were
// handled.
type gates struct {
	mu      sync.Mutex
	gate    map[string]chan struct{}
	handled []string
}

func newGates(closed ...string) *gates {
	g := &gates{gate: make(map[string]chan struct{})}
	for _, uri := range closed {
		g.gate[uri] = make(chan struct{})
	}
	return g
}

func (g *gates) open(uri string) { close(g.gate[uri]) }

func (g *gates) uris() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.handled)
}

func (g *gates) handle(ctx context.Context, r *Request) *Response {
	g.mu.Lock()
	g.handled = append(g.handled, r.URI)
	g.mu.Unlock()
	if r.Stream != nil {
		_, _ = io.Copy(io.Discard, r.Stream)
	}
	if gate := g.gate[r.URI]; gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
		}
	}
	return textResponse(200, r.URI)
}

func defaults() Limits { return Limits{} }

func get(uris ...string) string {
	var b strings.Builder
	for _, uri := range uris {
		b.WriteString("GET " + uri + " HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	return b.String()
}

// post returns a request whose body has the given length.
func post(uri string, length int) string {
	return "POST " + uri + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n" + strings.Repeat("x", length)
}

// Guards against a stop that closes a connection after the first of several
// requests in progress.
func TestDrainAnswersAllRequestsInProgress(t *testing.T) {
	for _, order := range [][]string{{"/1", "/2", "/3"}, {"/3", "/2", "/1"}, {"/2", "/1", "/3"}} {
		synctest.Test(t, func(t *testing.T) {
			g := newGates("/1", "/2", "/3")
			s, c := dialPipe(t, defaults, g.handle)
			send(t, c, get("/1", "/2", "/3"))
			synctest.Wait()
			require.Len(t, g.uris(), 3)
			s.Drain()
			go func() {
				for _, uri := range order {
					g.open(uri)
					time.Sleep(time.Second)
				}
			}()
			c.requireAnswer(t, "/1", false)
			c.requireAnswer(t, "/2", false)
			c.requireAnswer(t, "/3", true)
		})
	}
}

// Guards against a stop that discards a request of which a part was read.
func TestDrainCompletesPartlyReadRequest(t *testing.T) {
	for name, text := range map[string]string{"head": get("/2"), "body": post("/2", 100), "long body": post("/2", 70<<10)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGates("/1")
				s, c := dialPipe(t, defaults, g.handle)
				cut := len(text) - 10
				send(t, c, get("/1")+text[:cut])
				synctest.Wait()
				s.Drain()
				g.open("/1")
				c.requireAnswer(t, "/1", false)
				send(t, c, text[cut:])
				c.requireAnswer(t, "/2", true)
			})
		})
	}
}

// Guards against a stop that waits for the rest of a request without a bound.
func TestDrainBoundsPartlyReadRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGates("/1")
		s, c := dialPipe(t, defaults, g.handle)
		send(t, c, get("/1")+"GET /2 HT")
		synctest.Wait()
		s.Drain()
		g.open("/1")
		c.requireAnswer(t, "/1", false)
		began := time.Now()
		resp, _ := receive(t, c.br)
		require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
		require.True(t, resp.Close)
		require.LessOrEqual(t, time.Since(began), defaultLimits.HeaderTimeout)
		require.Equal(t, []string{"/1"}, g.uris())
	})
}

// Guards against discarding whole requests that wait in the read buffer when the
// stop, CloseIdle or the idle limit comes.
func TestBufferedRequestIsAnswered(t *testing.T) {
	for name, event := range map[string]func(*Server){
		"drain":      (*Server).Drain,
		"close idle": (*Server).CloseIdle,
		"drain and close idle": func(s *Server) {
			s.Drain()
			s.CloseIdle()
		},
		"idle limit": func(*Server) { time.Sleep(2 * defaultLimits.IdleTimeout) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// readLoop asks for the limits before each request. The second
				// time, the next request is in the read buffer.
				asked, proceed := 0, make(chan struct{})
				resume := sync.OnceFunc(func() { close(proceed) })
				g := newGates("/1")
				s, c := dialPipe(t, func() Limits {
					if asked++; asked == 2 {
						<-proceed
					}
					return Limits{}
				}, g.handle)
				t.Cleanup(resume)
				send(t, c, get("/1", "/2"))
				synctest.Wait()
				if name == "drain" {
					event(s)
				}
				g.open("/1")
				c.requireAnswer(t, "/1", false)
				synctest.Wait()
				if name != "drain" {
					event(s)
				}
				resume()
				c.requireAnswer(t, "/2", s.draining.Load())
			})
		})
	}
}

// Guards against a stop that discards requests which wait in the read buffer for
// a place among the pipelined requests.
func TestDrainAnswersRequestsBeyondThePipelineLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var uris []string
		for i := range MaxPipelined + 8 {
			uris = append(uris, "/"+strconv.Itoa(i))
		}
		g := newGates("/0")
		s, c := dialPipe(t, defaults, g.handle)
		send(t, c, get(uris...))
		synctest.Wait()
		s.Drain()
		s.CloseIdle()
		g.open("/0")
		for i, uri := range uris {
			c.requireAnswer(t, uri, i == len(uris)-1)
		}
	})
}

// Guards against CloseIdle answering 408 to a request that is being read.
func TestCloseIdleLeavesRequestBeingRead(t *testing.T) {
	for _, draining := range []bool{false, true} {
		for name, text := range map[string]string{"head": get("/1"), "body": post("/1", 100)} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s, c := dialPipe(t, defaults, newGates().handle)
					cut := len(text) - 10
					send(t, c, text[:cut])
					synctest.Wait()
					if draining {
						s.Drain()
					}
					s.CloseIdle()
					synctest.Wait()
					send(t, c, text[cut:])
					c.requireAnswer(t, "/1", draining)
				})
			})
		}
	}
}

// Guards against CloseIdle ending a connection whose answer is being written, and
// against discarding a request that comes during the write.
func TestCloseIdleLeavesAnswerBeingWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := dialPipe(t, defaults, newGates().handle)
		send(t, c, get("/1"))
		synctest.Wait()
		s.Drain()
		s.CloseIdle()
		send(t, c, get("/2"))
		c.requireAnswer(t, "/1", false)
		c.requireAnswer(t, "/2", true)
	})
}

// Guards against passing on a request that comes late in a stop behind another
// one: the caller takes it for not read.
func TestDrainStartsNoRequestBehindAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGates("/1", "/2")
		s, c := dialPipe(t, defaults, g.handle)
		send(t, c, get("/1"))
		synctest.Wait()
		s.Drain()
		synctest.Wait()
		go func() { _, _ = io.WriteString(c, get("/2")) }()
		synctest.Wait()
		g.open("/1")
		c.requireAnswer(t, "/1", true)
		require.Equal(t, []string{"/1"}, g.uris())
	})
}

// Guards against passing on several requests that come in one segment on an idle
// connection during a stop: the answers to the later ones may still wait for the
// first one when the process ends.
func TestDrainStartsOneRequestOfASegment(t *testing.T) {
	for name, rest := range map[string]string{"whole": get("/2"), "part": get("/2")[:20]} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGates("/1")
				s, c := dialPipe(t, defaults, g.handle)
				synctest.Wait()
				s.Drain()
				send(t, c, get("/1")+rest)
				synctest.Wait()
				g.open("/1")
				c.requireAnswer(t, "/1", true)
				require.Equal(t, []string{"/1"}, g.uris())
			})
		})
	}
}

// Guards against a stop that starts requests which came after it, from a caller
// that always sends a part of the next one.
func TestDrainEndsWhileCallerGoesOnSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGates("/1")
		s, c := dialPipe(t, defaults, g.handle)
		text := get("/1", "/1")
		send(t, c, text[:len(text)-1])
		synctest.Wait()
		s.Drain()
		g.open("/1")
		go func() {
			for {
				if _, err := io.WriteString(c, text[len(text)-1:]+text[:len(text)/2-1]); err != nil {
					return
				}
			}
		}()
		c.requireAnswer(t, "/1", false)
		c.requireAnswer(t, "/1", true)
		require.Len(t, g.uris(), 2)
	})
}

// Guards against any order of reads, answers, Drain and CloseIdle in which a
// request that was passed on gets no answer.
func TestEveryHandledRequestIsAnswered(t *testing.T) {
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			var text strings.Builder
			for i := range 40 {
				if rng.IntN(4) == 0 {
					text.WriteString(post("/"+strconv.Itoa(i), rng.IntN(200)))
				} else {
					text.WriteString(get("/" + strconv.Itoa(i)))
				}
			}
			var handled atomic.Int32
			s, c := dialPipe(t, defaults, func(_ context.Context, r *Request) *Response {
				handled.Add(1)
				n, _ := strconv.Atoi(r.URI[1:])
				time.Sleep(time.Duration(n*7919%100) * time.Millisecond)
				return textResponse(200, r.URI)
			})
			go func() {
				chunk := 1 + rng.IntN(500)
				for rest := text.String(); len(rest) > 0; {
					n := min(chunk, len(rest))
					if _, err := io.WriteString(c, rest[:n]); err != nil {
						return
					}
					rest = rest[n:]
					time.Sleep(time.Duration(chunk%50) * time.Millisecond)
				}
			}()
			drainAt := time.Duration(seed%60) * 10 * time.Millisecond
			go func() {
				time.Sleep(drainAt)
				s.Drain()
				for range 500 {
					time.Sleep(10 * time.Millisecond)
					s.CloseIdle()
				}
			}()
			answered := 0
			for {
				resp, err := http.ReadResponse(c.br, nil)
				if err != nil {
					break
				}
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, "/"+strconv.Itoa(answered), string(body))
				answered++
			}
			require.Equal(t, int(handled.Load()), answered, "seed %d", seed)
		})
	}
}

// Guards against losing the answers of earlier requests when a later one closes
// the connection.
func TestLaterRequestThatClosesKeepsEarlierAnswers(t *testing.T) {
	for _, later := range []struct{ name, text, body string }{
		{"streamed body", post("/2", 70<<10), "/2"},
		{"refused head", "GET /2 HTTP/1.1\r\n\r\n", "Bad Request\n"},
		{"refused length", "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n", "Request Entity Too Large\n"},
		{"connection close", "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "/2"},
		{"HTTP 1.0", "GET /2 HTTP/1.0\r\nHost: h\r\n\r\n", "/2"},
	} {
		for _, draining := range []bool{false, true} {
			t.Run(later.name+map[bool]string{true: " while draining"}[draining], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := newGates("/1")
					s, c := dialPipe(t, defaults, g.handle)
					send(t, c, get("/1")+later.text)
					synctest.Wait()
					if draining {
						s.Drain()
						s.CloseIdle()
					}
					g.open("/1")
					c.requireAnswer(t, "/1", false)
					c.requireAnswer(t, later.body, true)
				})
			})
		}
	}
}

// Guards against counting the time in which a request runs as idle time.
func TestIdleLimitLeavesRequestInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGates("/1")
		_, c := dialPipe(t, defaults, g.handle)
		send(t, c, get("/1"))
		time.Sleep(3 * defaultLimits.IdleTimeout)
		g.open("/1")
		c.requireAnswer(t, "/1", false)
		send(t, c, get("/2"))
		c.requireAnswer(t, "/2", false)
	})
}

// Guards against limits of a new configuration ending a request that is in
// progress or being read.
func TestNewLimitsLeaveRequestInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := Limits{}
		g := newGates("/1")
		_, c := dialPipe(t, func() Limits { return limits }, g.handle)
		send(t, c, get("/1")+"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n")
		synctest.Wait()
		limits = Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: 1, IdleTimeout: time.Nanosecond}
		time.Sleep(time.Second)
		g.open("/1")
		c.requireAnswer(t, "/1", false)
		send(t, c, strings.Repeat("x", 100))
		c.requireAnswer(t, "/2", false)
	})
}

// Guards against reading a request that crosses the close of an idle connection:
// its caller may not send it again if it was read. Also guards against such a request
// leaving no trace.
func TestClosedIdleConnectionLeavesRequestUnread(t *testing.T) {
	s, nc := startServer(t, Limits{}, echo)
	unread := make(chan Unread, 1)
	s.OnUnread = func(u Unread) { unread <- u }
	br := bufio.NewReader(nc)
	send(t, nc, get("/1"))
	receive(t, br)
	for eof := false; !eof; {
		s.CloseIdle()
		_ = nc.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err := br.ReadByte()
		eof = err == io.EOF
	}
	crossing := "POST /2 HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\nContent-Length: 4\r\n\r\nbody"
	send(t, nc, crossing)
	for s.OpenConnections() > 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := io.WriteString(nc, "x")
	require.Error(t, err, "closing a connection with unread bytes resets it")
	u := <-unread
	require.Equal(t, int64(len(crossing)), u.Bytes)
	require.Equal(t, []string{"r2"}, u.RequestIDs)
}

// Guards against a reset that destroys the last answer while the caller sends
// further requests.
func TestLastAnswerSurvivesRequestsBehindIt(t *testing.T) {
	s, nc := startServer(t, Limits{}, echo)
	send(t, nc, "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"+strings.Repeat(get("/2"), 1000))
	for s.OpenConnections() == 0 {
		time.Sleep(time.Millisecond)
	}
	for s.OpenConnections() > 0 {
		time.Sleep(time.Millisecond)
	}
	resp, body := receive(t, bufio.NewReader(nc))
	require.True(t, resp.Close)
	require.Equal(t, "GET /1 ", body)
}
