package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var testHeaders = Headers{RequestID: "Request-Id", DeadlineMS: "Deadline-Ms", CallerKey: "Caller-Key", Key: "Key"}

// startServer starts a server on the loopback interface and returns a connection
// to it.
func startServer(t *testing.T, limits Limits, h Handler) (*Server, net.Conn) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(testHeaders, h, func() Limits { return limits })
	go func() { _ = s.Serve(lis) }()
	nc, err := net.Dial("tcp", lis.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close(); _ = lis.Close() })
	return s, nc
}

func send(t *testing.T, nc net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(nc, text)
	require.NoError(t, err)
}

func receive(t *testing.T, br *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(body)
}

func textResponse(status int, body string) *Response {
	return &Response{Status: status, Body: []byte(body)}
}

func echo(_ context.Context, r *Request) *Response {
	return textResponse(200, r.Method+" "+r.URI+" "+string(r.Body))
}

// Guards against pipelined requests that run sequentially, and against
// responses out of order: the first request blocks until the second one runs.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	second := make(chan struct{})
	_, nc := startServer(t, Limits{}, func(ctx context.Context, r *Request) *Response {
		if r.URI == "/1" {
			<-second
		} else {
			close(second)
		}
		return textResponse(200, r.URI)
	})
	send(t, nc, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	br := bufio.NewReader(nc)
	_, body := receive(t, br)
	require.Equal(t, "/1", body)
	_, body = receive(t, br)
	require.Equal(t, "/2", body)
}

// Guards against a request target that is altered by parsing, and against
// passing the caller key or hop-by-hop fields to the handler as header fields.
func TestRequestFieldsAreParsed(t *testing.T) {
	got := make(chan *Request, 1)
	_, nc := startServer(t, Limits{}, func(_ context.Context, r *Request) *Response {
		got <- r
		return textResponse(200, "")
	})
	send(t, nc, "GET /a%2Fb/?q=%20x HTTP/1.1\r\nHost: h:80\r\nCaller-Key: secret\r\nRequest-Id: r1\r\nDeadline-Ms: 500\r\nKey: 65535\r\nConnection: close, x-hop\r\nX-Hop: 1\r\nX-End: 2\r\n\r\n")
	r := <-got
	require.Equal(t, "/a%2Fb/?q=%20x", r.URI)
	require.Equal(t, "secret", r.CallerKey)
	require.Equal(t, uint16(65535), r.Key)
	require.True(t, r.HasKey)
	require.WithinDuration(t, r.Arrived.Add(500*time.Millisecond), r.Deadline, time.Millisecond)
	require.NotContains(t, r.Header, "Caller-Key")
	require.NotContains(t, r.Header, "X-Hop")
	require.Equal(t, []string{"2"}, r.Header["X-End"])
}

// Guards against requests that keep running after their caller has
// disconnected, including the last request of a connection.
func TestCallerDisconnectCancelsTheContext(t *testing.T) {
	for _, last := range []string{"", "Connection: close\r\n"} {
		started, gone := make(chan struct{}), make(chan struct{})
		_, nc := startServer(t, Limits{}, func(ctx context.Context, _ *Request) *Response {
			close(started)
			<-ctx.Done()
			close(gone)
			return textResponse(200, "")
		})
		send(t, nc, "GET / HTTP/1.1\r\nHost: h\r\n"+last+"\r\n")
		<-started
		require.NoError(t, nc.Close())
		<-gone
	}
}

// Guards against request smuggling: a request hidden in the body of another.
func TestSmuggledRequestsAreRefused(t *testing.T) {
	for name, text := range map[string]string{
		"two lengths":        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 40\r\n\r\nabcd",
		"bad length":         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +4\r\n\r\nabcd",
		"unknown coding":     "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"space before colon": "GET / HTTP/1.1\r\nHost: h\r\nContent-Length : 4\r\n\r\n",
		"no host":            "GET / HTTP/1.1\r\n\r\n",
		"bad chunk":          "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabcd\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, nc := startServer(t, Limits{}, echo)
			send(t, nc, text)
			resp, _ := receive(t, bufio.NewReader(nc))
			require.GreaterOrEqual(t, resp.StatusCode, 400)
			require.Less(t, resp.StatusCode, 600)
			require.True(t, resp.Close)
		})
	}
}

// Guards against accepting requests beyond the limits, and against rejecting
// requests within them.
func TestLimits(t *testing.T) {
	limits := Limits{HeaderBytes: 1 << 10, BodyBytes: 100 << 10}
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n0123456789", 200},
		{"long body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n", 413},
		{"long chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"fff0\r\n" + strings.Repeat("x", 0xfff0) + "\r\n", 200},
		{"long head", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", 431},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, nc := startServer(t, limits, func(_ context.Context, r *Request) *Response { return textResponse(200, "") })
			go func() {
				_, _ = io.WriteString(nc, c.text)
				if c.name == "long chunks" {
					_, _ = io.WriteString(nc, "0\r\n\r\n")
				}
			}()
			resp, _ := receive(t, bufio.NewReader(nc))
			require.Equal(t, c.status, resp.StatusCode)
		})
	}
}

// Guards against answering a request line that was read in part as malformed, and
// against requests that keep running after their caller has left in such a line.
func TestRequestLineReadInPart(t *testing.T) {
	for _, head := range []string{"GET /2 HT", "GET /2 HTTP/1.1\r\nHost"} {
		synctest.Test(t, func(t *testing.T) {
			_, c := dialPipe(t, defaults, newGates().handle)
			send(t, c, head)
			resp, _ := receive(t, c.br)
			require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
		})
		synctest.Test(t, func(t *testing.T) {
			gone := make(chan struct{})
			_, c := dialPipe(t, defaults, func(ctx context.Context, _ *Request) *Response {
				<-ctx.Done()
				close(gone)
				return textResponse(200, "")
			})
			send(t, c, get("/1")+head)
			require.NoError(t, c.Close())
			<-gone
		})
	}
}

// brokenBody fails after its first read.
type brokenBody struct{ sent bool }

func (b *brokenBody) Read(p []byte) (int, error) {
	if b.sent {
		return 0, io.ErrUnexpectedEOF
	}
	b.sent = true
	return copy(p, "half"), nil
}
func (b *brokenBody) Close() error { return nil }

// Guards against a response that is cut short by its source and looks complete
// to the caller.
func TestTruncatedResponseLooksIncomplete(t *testing.T) {
	for _, length := range []int64{-1, 100} {
		_, nc := startServer(t, Limits{}, func(context.Context, *Request) *Response {
			return &Response{Status: 200, Stream: &brokenBody{}, Length: length}
		})
		send(t, nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		require.NoError(t, err)
		_, err = io.ReadAll(resp.Body)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}

// Guards against requests that are dropped on shutdown: a request received while
// draining is answered, then its connection is closed.
func TestDrainRespondsAndCloses(t *testing.T) {
	s, nc := startServer(t, Limits{}, echo)
	br := bufio.NewReader(nc)
	send(t, nc, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, _ := receive(t, br)
	require.False(t, resp.Close)
	s.Drain()
	send(t, nc, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, _ = receive(t, br)
	require.True(t, resp.Close)
	_, err := br.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against idle connections that stay open on shutdown.
func TestCloseIdle(t *testing.T) {
	s, nc := startServer(t, Limits{}, echo)
	br := bufio.NewReader(nc)
	send(t, nc, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	receive(t, br)
	for s.OpenConnections() > 0 {
		s.CloseIdle()
		time.Sleep(time.Millisecond)
	}
	_, err := br.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against input that makes the connection handling panic or hang.
func FuzzRequests(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		s := NewServer(testHeaders, echo, func() Limits { return Limits{} })
		client, server := net.Pipe()
		c := newConn(s, server)
		go func() { _, _ = io.WriteString(client, text); _ = client.Close() }()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		c.serve()
	})
}
