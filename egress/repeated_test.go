package egress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// refusal is a response by which a server states that it did not run the request
// with the given id, which is absent when empty.
func refusal(status, id string) string {
	if id != "" {
		id = "Request-Id: " + id + "\r\n"
	}
	return "HTTP/1.1 " + status + "\r\n" + id + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

// startRepeatingServer starts a server that answers the first request of each
// connection with first, and each later one with first once more and then with
// 200. It counts the requests that it ran.
func startRepeatingServer(t *testing.T, first func(r *http.Request) string, ran *atomic.Int32) Target {
	return startServer(t, func(nc net.Conn, br *bufio.Reader) {
		earlier := ""
		for {
			r, ok := readRequest(br)
			if !ok {
				return
			}
			if earlier != "" {
				ran.Add(1)
				_, _ = io.WriteString(nc, earlier+okResponse(r.Header.Get("Request-Id"), "Content-Length: 0\r\n", ""))
				continue
			}
			earlier = first(r)
			_, _ = io.WriteString(nc, earlier)
		}
	})
}

// Guards against taking a refusal without a request id, which a faulty server
// writes once more on a kept connection, for the refusal of the next request,
// which runs.
func TestRepeatedRefusalWithoutIDIsNotTheNextRequests(t *testing.T) {
	for _, status := range []string{"400 Bad Request", "503 Service Unavailable"} {
		var ran atomic.Int32
		target := startRepeatingServer(t, func(*http.Request) string { return refusal(status, "") }, &ran)
		c := New(testHeaders)
		resp, err := c.Do(context.Background(), target, newGetRequest("a"))
		require.NoError(t, err)
		require.True(t, resp.NotRun)
		_ = resp.Body.Close()
		resp, err = c.Do(context.Background(), target, newGetRequest("b"))
		if err == nil {
			_ = resp.Body.Close()
			require.False(t, resp.NotRun && ran.Load() > 0, "request b ran and was reported as not run")
		}
	}
}

// Guards against taking a refusal without a request id on a kept connection for
// that of the current request. It may be a further response to an earlier request
// of the connection, which had been answered with its id.
func TestRefusalWithoutIDOnKeptConnectionIsNoAnswer(t *testing.T) {
	target := startServer(t, func(nc net.Conn, br *bufio.Reader) {
		r, ok := readRequest(br)
		for ok {
			text := okResponse(r.Header.Get("Request-Id"), "Content-Length: 0\r\n", "")
			if r.Header.Get("Request-Id") == "b" {
				text = refusal("503 Service Unavailable", "")
			}
			_, _ = io.WriteString(nc, text)
			r, ok = readRequest(br)
		}
	})
	c := New(testHeaders)
	resp, err := c.Do(context.Background(), target, newGetRequest("a"))
	require.NoError(t, err)
	readAll(t, resp)
	_, err = c.Do(context.Background(), target, newGetRequest("b"))
	var f *Failure
	require.True(t, errors.As(err, &f))
	require.True(t, f.MayHaveRun)
}

// Guards against matching a refusal that is written once more with the second
// send of the same request, which has the same id and runs. The connection stays
// usable for other requests.
func TestRequestIsNotSentAgainOnTheConnectionThatCarriedItsRefusal(t *testing.T) {
	var ran atomic.Int32
	target := startRepeatingServer(t, func(r *http.Request) string {
		return refusal("503 Service Unavailable", r.Header.Get("Request-Id"))
	}, &ran)
	c := New(testHeaders)
	var connections atomic.Int32
	c.OnConnect = func() { connections.Add(1) }
	for attempt := range 2 {
		resp, err := c.Do(context.Background(), target, newGetRequest("a"))
		require.NoError(t, err)
		require.True(t, resp.NotRun)
		require.Zero(t, ran.Load(), "attempt %d ran and was reported as not run", attempt)
		_ = resp.Body.Close()
	}
	require.Equal(t, int32(2), connections.Load())
	resp, err := c.Do(context.Background(), target, newGetRequest("b"))
	require.NoError(t, err)
	require.False(t, resp.NotRun)
	_ = resp.Body.Close()
	require.Equal(t, int32(2), connections.Load())
}

// Guards against the same with a failure, which may be sent again too.
func TestRequestIsNotSentAgainOnTheConnectionThatCarriedItsFailure(t *testing.T) {
	var ran atomic.Int32
	target := startRepeatingServer(t, func(r *http.Request) string {
		return "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: " + r.Header.Get("Request-Id") + "\r\nContent-Length: 0\r\n\r\n"
	}, &ran)
	c := New(testHeaders)
	for range 2 {
		resp, err := c.Do(context.Background(), target, newGetRequest("a"))
		require.NoError(t, err)
		readAll(t, resp)
	}
	require.Zero(t, ran.Load())
}

// Guards against a list of unsuccessful requests that grows without bounds on a
// connection that is kept.
func TestUnsuccessfulRequestsOfAConnectionAreBounded(t *testing.T) {
	cn := &conn{reusable: true}
	now := time.Unix(1000, 0)
	for i := range 3 * maxUnsuccessful {
		at := now.Add(time.Duration(i) * time.Second)
		cn.recordUnsuccessful(string(rune('a'+i)), at.Add(5*time.Second), at)
		require.LessOrEqual(t, len(cn.unsuccessful), 6)
	}
	require.True(t, cn.reusable)
	for i := range maxUnsuccessful + 1 {
		cn.recordUnsuccessful(string(rune('a'+i)), now.Add(time.Hour), now)
	}
	require.False(t, cn.reusable)
}

// Guards against a response that a server broke off within its head, by closing
// the connection, and that is reported with a status.
func TestHeadThatBreaksOffIsAnError(t *testing.T) {
	head := okResponse("a", "Content-Length: 4\r\n", "")
	for n := range len(head) {
		target := startServer(t, func(nc net.Conn, br *bufio.Reader) {
			readRequest(br)
			_, _ = io.WriteString(nc, head[:n])
		})
		_, err := New(testHeaders).Do(context.Background(), target, newGetRequest("a"))
		var f *Failure
		require.True(t, errors.As(err, &f), "head of %d bytes", n)
		require.True(t, f.MayHaveRun)
	}
}
