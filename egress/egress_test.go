package egress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/topo"
)

var testHeaders = Headers{
	RequestID: "Request-Id", DeadlineMS: "Deadline-Ms", Customer: "Customer", ExpectServer: "Expect-Server",
	NotRun: "Not-Run", Seal: "Seal", Strip: []string{"Customer", "Deadline-Ms"},
}

var testIncarnation = topo.Incarnation{Server: "s1"}

// startServer starts a server that handles each connection with f.
func startServer(t *testing.T, f func(nc net.Conn, br *bufio.Reader)) Target {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			nc, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				f(nc, bufio.NewReader(nc))
			}()
		}
	}()
	return Target{Incarnation: testIncarnation, Addr: lis.Addr().String()}
}

func newGetRequest(id string) *Request {
	return &Request{ID: id, Method: "GET", URI: "/x", Host: "h", Header: http.Header{"Request-Id": {id}},
		Deadline: time.Now().Add(5 * time.Second)}
}

func okResponse(id, extra, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSeal: x\r\n" + extra + "\r\n" + body
}

// readRequest reads a request and its body. It returns false when there is none.
func readRequest(br *bufio.Reader) (*http.Request, bool) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r, true
}

func readAll(t *testing.T, r *Response) string {
	t.Helper()
	data, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	return string(data)
}

// Guards against a caller forging the fields that only godwitlock may set, and
// against a request without the ID of the server it is meant for.
func TestOwnFieldsReplaceTheCallers(t *testing.T) {
	got := make(chan *http.Request, 1)
	target := startServer(t, func(nc net.Conn, br *bufio.Reader) {
		if r, ok := readRequest(br); ok {
			got <- r
			_, _ = io.WriteString(nc, okResponse("a", "Content-Length: 0\r\n", ""))
		}
	})
	req := newGetRequest("a")
	req.Customer = "right"
	req.Header.Set("Customer", "forged")
	req.Header.Set("Deadline-Ms", "999999")
	resp, err := New(testHeaders).Do(context.Background(), target, req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	r := <-got
	require.Equal(t, []string{"right"}, r.Header["Customer"])
	require.Equal(t, []string{"s1"}, r.Header["Expect-Server"])
	require.Len(t, r.Header["Deadline-Ms"], 1)
	require.NotEqual(t, "999999", r.Header.Get("Deadline-Ms"))
}

// Guards against taking a late second response to an earlier request for the
// response to the current one.
func TestLateResponseIsSkipped(t *testing.T) {
	target := startServer(t, func(nc net.Conn, br *bufio.Reader) {
		if _, ok := readRequest(br); ok {
			_, _ = io.WriteString(nc, okResponse("old", "Content-Length: 3\r\n", "old")+okResponse("a", "Content-Length: 3\r\n", "new"))
		}
	})
	resp, err := New(testHeaders).Do(context.Background(), target, newGetRequest("a"))
	require.NoError(t, err)
	require.Equal(t, "new", readAll(t, resp))
}

// Guards against passing on a response without a request ID, or bytes that are
// not an HTTP response.
func TestUnmatchedResponseIsRejected(t *testing.T) {
	for name, text := range map[string]string{
		"no id":   "HTTP/1.1 200 OK\r\nSeal: x\r\nContent-Length: 2\r\n\r\nno",
		"garbage": "\x00\x01\x02 garbage\r\n\r\n",
		"nothing": "",
	} {
		t.Run(name, func(t *testing.T) {
			target := startServer(t, func(nc net.Conn, br *bufio.Reader) {
				readRequest(br)
				_, _ = io.WriteString(nc, text)
			})
			_, err := New(testHeaders).Do(context.Background(), target, newGetRequest("a"))
			var f *Failure
			require.True(t, errors.As(err, &f))
			require.True(t, f.MayHaveRun)
		})
	}
}

// Guards against a truncated response that looks complete.
func TestTruncatedResponseIsAnError(t *testing.T) {
	for _, framing := range []string{"Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n"} {
		target := startServer(t, func(nc net.Conn, br *bufio.Reader) {
			readRequest(br)
			_, _ = io.WriteString(nc, okResponse("a", framing, "4\r\nhalf"))
		})
		resp, err := New(testHeaders).Do(context.Background(), target, newGetRequest("a"))
		require.NoError(t, err)
		_, err = io.ReadAll(resp.Body)
		require.Error(t, err)
	}
}

// Guards against taking a connection reset for the end of a close-delimited
// response.
func TestResetIsNotTheEndOfTheBody(t *testing.T) {
	target := startServer(t, func(nc net.Conn, br *bufio.Reader) {
		readRequest(br)
		_, _ = io.WriteString(nc, okResponse("a", "", "half"))
		time.Sleep(20 * time.Millisecond)
		_ = nc.(*net.TCPConn).SetLinger(0)
	})
	resp, err := New(testHeaders).Do(context.Background(), target, newGetRequest("a"))
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
}

// Guards against reporting a request as not run when it may have run. Only a
// failed connection attempt or a refusal by the server proves that it did not.
func TestFailureTellsWhetherTheRequestMayHaveRun(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := lis.Addr().String()
	require.NoError(t, lis.Close())
	_, err = New(testHeaders).Do(context.Background(), Target{Incarnation: topo.Incarnation{Server: "s"}, Addr: addr}, newGetRequest("a"))
	var f *Failure
	require.True(t, errors.As(err, &f))
	require.False(t, f.MayHaveRun)
	require.True(t, f.Refused)

	for status, text := range map[int]string{
		503: "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: a\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nbusy",
		421: "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n",
	} {
		target := startServer(t, func(nc net.Conn, br *bufio.Reader) {
			readRequest(br)
			_, _ = io.WriteString(nc, text)
		})
		resp, err := New(testHeaders).Do(context.Background(), target, newGetRequest("a"))
		require.NoError(t, err)
		require.Equal(t, status, resp.Status)
		require.True(t, resp.NotRun)
		require.NoError(t, resp.Body.Close())
	}
}

// Guards against taking extra bytes after a response for the next response, and
// against closing connections that could be reused.
func TestConnectionIsReusedOnlyWithoutExtraBytes(t *testing.T) {
	for name, c := range map[string]struct {
		extra string
		conns int
	}{
		"no extra bytes": {"", 1},
		"extra bytes":    {okResponse("a", "Content-Length: 0\r\n", ""), 2},
	} {
		t.Run(name, func(t *testing.T) {
			opened := 0
			target := startServer(t, func(nc net.Conn, br *bufio.Reader) {
				for {
					r, ok := readRequest(br)
					if !ok {
						return
					}
					_, _ = io.WriteString(nc, okResponse(r.Header.Get("Request-Id"), "Content-Length: 2\r\n", "ok")+c.extra)
				}
			})
			client := New(testHeaders)
			client.OnConnect = func() { opened++ }
			for _, id := range []string{"a", "b"} {
				resp, err := client.Do(context.Background(), target, newGetRequest(id))
				require.NoError(t, err)
				require.Equal(t, "ok", readAll(t, resp))
				require.NoError(t, resp.Body.Close())
				time.Sleep(20 * time.Millisecond)
			}
			require.Equal(t, c.conns, opened)
		})
	}
}

// Guards against reusing a connection on which the server has read only part of
// a request body: it would read the next request as the rest of that body.
func TestEarlyResponseClosesTheConnection(t *testing.T) {
	opened := 0
	target := startServer(t, func(nc net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(nc, okResponse(r.Header.Get("Request-Id"), "Content-Length: 0\r\n", ""))
		_, _ = io.Copy(io.Discard, br)
	})
	client := New(testHeaders)
	client.OnConnect = func() { opened++ }
	stalledBody, w := io.Pipe()
	defer func() { _ = w.Close() }()
	req := newGetRequest("a")
	req.Method, req.Stream, req.Length = "POST", io.MultiReader(strings.NewReader("begin"), stalledBody), 100
	resp, err := client.Do(context.Background(), target, req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	resp, err = client.Do(context.Background(), target, newGetRequest("b"))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, 2, opened)
}

// Guards against a server that keeps working after the caller has disconnected:
// cancelling the context must close the connection.
func TestCancelClosesTheConnection(t *testing.T) {
	closed, started := make(chan struct{}), make(chan struct{})
	target := startServer(t, func(_ net.Conn, br *bufio.Reader) {
		readRequest(br)
		close(started)
		_, _ = br.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	_, err := New(testHeaders).Do(ctx, target, newGetRequest("a"))
	require.Error(t, err)
	<-closed
}

// Guards against a request that is written, or reported as one that may have run,
// although its sender withdrew it while it connected.
func TestRequestWithdrawnBeforeItsFirstByteIsNotSent(t *testing.T) {
	received := make(chan struct{}, 2)
	target := startServer(t, func(nc net.Conn, br *bufio.Reader) {
		for {
			r, ok := readRequest(br)
			if !ok {
				return
			}
			received <- struct{}{}
			_, _ = io.WriteString(nc, okResponse(r.Header.Get("Request-Id"), "Content-Length: 0\r\n", ""))
		}
	})
	c := New(testHeaders)
	withdrawn := errors.New("withdrawn")
	// The second request finds the connection of the first one.
	for _, id := range []string{"new connection", "kept connection"} {
		req := newGetRequest(id)
		req.BeforeWrite = func() error { return withdrawn }
		_, err := c.Do(t.Context(), target, req)
		var fail *Failure
		require.ErrorAs(t, err, &fail, id)
		require.False(t, fail.MayHaveRun, id)
		require.ErrorIs(t, err, withdrawn, id)
		require.Empty(t, received, id)
		resp, err := c.Do(t.Context(), target, newGetRequest("served before "+id))
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		<-received
	}
}
