package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/topo"
)

// malformedFields are lines of a head that are no field of a response.
var malformedFields = []string{
	"Content-Length : 4", " Content-Length: 4", "Content -Length: 4", "Content-Length\t: 4", "\tContent-Length: 4",
	"Transfer-Encoding : chunked", "X Y: a", "X : a", " X: a", "\tX: a", "X\x00: a", "X\x01Y: a", "X\x7f: a", "X\xa0: a",
	"\nContent-Length: 4", "X: a\nContent-Length: 4", "X: a\rY: b", "X", ": a",
}

// sendAfter sends a request to a server that answers it with response. If kept is set, the
// connection has carried an earlier exchange.
func sendAfter(t *testing.T, response string, kept bool) (*call.Response, error) {
	t.Helper()
	first := kept
	s := startScriptedServer(t, func(c net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		if first {
			first = false
			_, _ = io.WriteString(c, okHead+"Content-Length: 2\r\n\r\nok")
			return true
		}
		_, _ = io.WriteString(c, response)
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	c := newTestClient(t, s.addr, 3)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	if kept {
		resp, err := c.Do(ctx, testRequest())
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	resp, err := c.Do(ctx, testRequest())
	require.NoError(t, ctx.Err())
	return resp, err
}

// Guards against a response with a malformed field: the field was passed on, or the body
// had another end than the server meant.
func TestResponseWithMalformedFieldIsBroken(t *testing.T) {
	for _, field := range malformedFields {
		for _, rest := range []string{
			"Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "Not-Run: true\r\nContent-Length: 0\r\n\r\n",
		} {
			for _, start := range []string{okHead, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r1\r\n"} {
				for _, kept := range []bool{false, true} {
					_, err := sendAfter(t, start+field+"\r\n"+rest, kept)
					require.Equal(t, errkind.OutcomeUnknown, errkind.Of(err), "field %q before %q, kept %t: %v", field, rest, kept, err)
				}
			}
		}
	}
	for _, field := range malformedFields {
		_, err := sendAfter(t, "HTTP/1.1 103 Early Hints\r\n"+field+"\r\n\r\n"+okHead+"Content-Length: 0\r\n\r\n", false)
		require.Equal(t, errkind.OutcomeUnknown, errkind.Of(err), "field %q in an informational response: %v", field, err)
	}
}

// Guards against refusing or changing a sound response.
func TestSoundResponsesArePassedOn(t *testing.T) {
	for _, body := range []string{"", "HTTP/1.1 000 X\r\nA B: c\r\n\r\n\x00\n", strings.Repeat("\x00 :\n\r", 20<<10)} {
		chunk := strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n"
		if body == "" {
			chunk = ""
		}
		for _, framing := range []string{
			"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body,
			"Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n",
		} {
			for _, start := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"} {
				for _, kept := range []bool{false, true} {
					resp, err := sendAfter(t, start+okHead+"X-Empty:\r\nX-Blanks: \t a  b \r\n"+framing, kept)
					require.NoError(t, err)
					got, err := io.ReadAll(resp.Body)
					require.NoError(t, err)
					require.NoError(t, resp.Body.Close())
					require.Equal(t, body, string(got))
					require.Equal(t, []string{""}, resp.Header["X-Empty"])
					require.Equal(t, []string{"a  b"}, resp.Header["X-Blanks"])
				}
			}
		}
	}
}

// Guards against a control command or a health report that counts although the head of
// its reply is malformed, on a new and on a kept connection.
func TestControlRejectsMalformedField(t *testing.T) {
	for _, field := range malformedFields {
		var requests atomic.Int32
		s := startScriptedServer(t, func(c net.Conn, r *http.Request) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			if requests.Add(1) == 1 {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{\"accepted\": true}")
				return true
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+field+"\r\nContent-Length: 18\r\n\r\n{\"accepted\": true}")
			return false
		})
		c := NewControl(topo.BackendServer{ID: "s1", Addr: s.addr, MaxConns: 3}, nil)
		reply, err := c.Renew(t.Context(), 1, 1, "b")
		require.NoError(t, err)
		require.True(t, reply.Accepted)
		_, err = c.Renew(t.Context(), 1, 1, "b")
		require.Error(t, err, "field %q", field)
		_, err = c.Health(t.Context())
		require.Error(t, err, "field %q", field)
		c.Close()
	}
}

// Guards against a trailer with a malformed field that is passed on.
func TestMalformedTrailerIsAnError(t *testing.T) {
	for _, field := range []string{"X Y: a", "X : a", " X: a", "X\x01: a", "X\t: a", "\x00", "X"} {
		resp, err := sendAfter(t, okHead+"Trailer: X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+field+"\r\n\r\n", false)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.Equal(t, errkind.OutcomeUnknown, errkind.Of(err), "field %q: %v", field, err)
		_, err = resp.Body.Read(make([]byte, 1))
		require.Equal(t, errkind.OutcomeUnknown, errkind.Of(err), "field %q, second read: %v", field, err)
		require.NoError(t, resp.Body.Close())
	}
	_, err := sendAfter(t, okHead+"Trailer: X Y\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false)
	require.Equal(t, errkind.OutcomeUnknown, errkind.Of(err))
	resp, err := sendAfter(t, okHead+"Trailer: X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: a\r\n\r\n", false)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.Header{"X": {"a"}}, resp.Trailer)
}

// Guards against an encoded body that is passed on without its coding, because the
// response names that field as one of the connection alone.
func TestResponseThatWithdrawsItsCodingIsBroken(t *testing.T) {
	_, err := sendAfter(t, okHead+"Connection: Content-Encoding\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody", false)
	require.Equal(t, errkind.OutcomeUnknown, errkind.Of(err))
	resp, err := sendAfter(t, okHead+"Connection: X-Hop\r\nX-Hop: a\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody", false)
	require.NoError(t, err)
	require.Equal(t, []string{"gzip"}, resp.Header["Content-Encoding"])
	require.Empty(t, resp.Header["X-Hop"])
	require.NoError(t, resp.Body.Close())
}
