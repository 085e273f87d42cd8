package egress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// malformedFields are lines of a head that are no field, because a name holds a blank or a
// control byte, or because the line ends in another way than the others.
func malformedFields() []string {
	fields := []string{
		"X: a\nContent-Length: 4", "\nContent-Length: 4", "X:\nContent-Length: 4", "X: a\rContent-Length: 4", "X", ": a",
	}
	for _, b := range []string{" ", "\t", "\x00", "\x01", "\x0b", "\x1f", "\x7f", "\x80", "\xa0", "\r", "\n", "\"", "(", "/", "@"} {
		for _, name := range []string{"Content-Length", "Transfer-Encoding", "X-Other"} {
			value := map[string]string{"Content-Length": "4", "Transfer-Encoding": "chunked", "X-Other": "a"}[name]
			for _, place := range []int{0, 1, len(name) / 2, len(name)} {
				fields = append(fields, name[:place]+b+name[place:]+": "+value)
			}
		}
	}
	return fields
}

// exchangeOnce sends a request with the id "a" to a server that answers with response and
// then closes its side of the connection. If kept is set, the connection has carried an
// earlier exchange.
func exchangeOnce(t *testing.T, response string, kept bool) (*Client, *Response, error) {
	t.Helper()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	target := startServer(t, func(nc net.Conn, br *bufio.Reader) {
		for {
			r, ok := readRequest(br)
			if !ok {
				return
			}
			if id := r.Header.Get("Request-Id"); id == "first" {
				_, _ = io.WriteString(nc, okResponse(id, "Content-Length: 2\r\n", "ok"))
				continue
			}
			_, _ = io.WriteString(nc, response)
			_ = nc.(*net.TCPConn).CloseWrite()
			<-done
			return
		}
	})
	c := New(testHeaders)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	if kept {
		resp, err := c.Do(ctx, target, newGetRequest("first"))
		require.NoError(t, err)
		require.Equal(t, "ok", readAll(t, resp))
		_, idle := c.Connections()
		require.Equal(t, 1, idle)
	}
	resp, err := c.Do(ctx, target, newGetRequest("a"))
	require.NoError(t, ctx.Err())
	return c, resp, err
}

// Guards against a response with a malformed field: the field was passed on, or the body
// had another end than the server meant, such as the framing of its chunks as a part of it.
func TestResponseWithMalformedFieldIsBroken(t *testing.T) {
	body := strings.Repeat("body", 8<<10)
	framings := map[string]string{
		"length": "Content-Length: 4\r\n\r\nbody",
		"long":   "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body,
		"chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"close":  "\r\nbody",
	}
	for _, field := range malformedFields() {
		for framingName, framing := range framings {
			for _, kept := range []bool{false, true} {
				for _, before := range []string{"Request-Id: a\r\nSeal: x\r\n", "Not-Run: 1\r\nRequest-Id: a\r\n"} {
					response := "HTTP/1.1 200 OK\r\n" + before + field + "\r\n" + framing
					c, resp, err := exchangeOnce(t, response, kept)
					if resp != nil {
						_ = resp.Body.Close()
					}
					var f *Failure
					require.ErrorAs(t, err, &f, "field %q, framing %s", field, framingName)
					require.True(t, f.MayHaveRun)
					open, _ := c.Connections()
					require.Zero(t, open, "the connection is closed")
				}
			}
		}
	}
}

// Guards against a malformed field in an informational response, or in a late response to
// an earlier request, that changes where the next response begins.
func TestMalformedFieldBeforeTheResponseIsBroken(t *testing.T) {
	sound := okResponse("a", "Content-Length: 4\r\n", "body")
	for _, start := range []string{
		"HTTP/1.1 103 Early Hints\r\nX : a\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX: a\r\n Y: b\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX\x01: a\r\n\r\n",
		okResponse("old", "Content-Length : 4\r\nContent-Length: 4\r\n", "body"),
		okResponse("old", "X Y: 4\r\nContent-Length: 4\r\n", "body"),
	} {
		_, _, err := exchangeOnce(t, start+sound, false)
		var f *Failure
		require.ErrorAs(t, err, &f, "%q", start)
		require.True(t, f.MayHaveRun)
	}
}

// Guards against refusing or changing a sound response, whatever its framing is, how it is
// split on its way, and whether its connection is new or kept.
func TestSoundResponsesArePassedOn(t *testing.T) {
	fields := "Set-Cookie: a=1; b=\"2\"\r\nset-cookie: c\r\nX-Empty:\r\nX-Blanks: \t a  b \t\r\n!#$%&'*+-.^_`|~: \xe4\r\n"
	for _, body := range []string{"", "\r\n\r\n", "HTTP/1.1 000 X\r\nA B: c\r\n\r\n\x00\n", strings.Repeat("\x00 :\n\r", 20<<10)} {
		for name, framing := range map[string]string{
			"length": "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body,
			"chunks": "Transfer-Encoding: chunked\r\n\r\n" + chunks(body, 1000) + "0\r\nX-Trailer: a\r\n\r\n",
			"close":  "\r\n" + body,
		} {
			for _, start := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", okResponse("old", "Content-Length: 3\r\n", "\n \n")} {
				for _, kept := range []bool{false, true} {
					_, resp, err := exchangeOnce(t, start+"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nSeal: x\r\n"+fields+framing, kept)
					require.NoError(t, err, name)
					require.Equal(t, body, readAll(t, resp), name)
					require.Equal(t, []string{"a=1; b=\"2\"", "c"}, resp.Header["Set-Cookie"])
					require.Equal(t, []string{""}, resp.Header["X-Empty"])
					require.Equal(t, []string{"a  b"}, resp.Header["X-Blanks"])
					require.Equal(t, []string{"\xe4"}, resp.Header["!#$%&'*+-.^_`|~"])
				}
			}
		}
	}
}

// chunks returns body in chunks of up to size bytes.
func chunks(body string, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String()
}

// Guards against an answer that depends on how the bytes of a head are split.
func TestHeadsInSingleBytes(t *testing.T) {
	for text, sound := range map[string]bool{
		okResponse("a", "Content-Length: 4\r\n", "body"):           true,
		okResponse("a", "Content-Length : 4\r\n", "body"):          false,
		okResponse("a", "X: a\r\n Content-Length: 4\r\n", "body"):  false,
		okResponse("a", "Content-Length: 4\r\n\nX: a\r\n", "body"): false,
	} {
		here, there := net.Pipe()
		defer func() { _ = here.Close(); _ = there.Close() }()
		go func() { _, _ = io.Copy(io.Discard, there) }()
		go func() {
			for i := range len(text) {
				if _, err := io.WriteString(there, text[i:i+1]); err != nil {
					return
				}
			}
			_ = there.Close()
		}()
		cn := newConn(New(testHeaders), testIncarnation, here)
		resp, err := cn.exchange(t.Context(), &testHeaders, Target{Incarnation: testIncarnation}, newGetRequest("a"))
		require.Equal(t, sound, err == nil, "%q: %v", text, err)
		if sound {
			require.Equal(t, "body", readAll(t, resp))
		}
	}
}

// Guards against waiting for the end of a head that is malformed already.
func TestMalformedHeadEndsTheAttemptAtOnce(t *testing.T) {
	for _, start := range []string{"HTTP/1.1 200 OK\r\n X", "HTTP/1.1 200 OK\r\nX :", "HTTP/1.1 200 OK\r\nX: a\n", "HTTP/1.1 200 OK\r\nX: \x00"} {
		synctest.Test(t, func(t *testing.T) {
			s := &endlessServer{start: start}
			c, target := s.client(t)
			begin := time.Now()
			_, err := c.Do(t.Context(), target, newGetRequest("a"))
			var f *Failure
			require.ErrorAs(t, err, &f)
			require.True(t, f.MayHaveRun)
			s.requireCutOff(t, c, begin, len(start))
		})
	}
}

// Guards against a body that a server and net/http frame differently: the caller got the
// framing of the chunks as a part of the body, or one of two bodies.
func TestResponseWithContradictoryFramingIsBroken(t *testing.T) {
	const encoded = "4\r\nbody\r\n0\r\n\r\n"
	for _, response := range []string{
		"HTTP/1.0 200 OK\r\nRequest-Id: a\r\nSeal: x\r\nTransfer-Encoding: chunked\r\n\r\n" + encoded,
		"HTTP/1.0 200 OK\r\nRequest-Id: a\r\nSeal: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 14\r\n\r\n" + encoded,
		okResponse("a", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", encoded),
		okResponse("a", "Content-Length: 14\r\nTransfer-Encoding: chunked\r\n", encoded),
		okResponse("a", "Content-Length: 4\r\nContent-Length: 5\r\n", "body."),
		okResponse("a", "Content-Length: 4, 4\r\n", "body"),
		okResponse("a", "Content-Length: -4\r\n", "body"),
		okResponse("a", "Content-Length: +4\r\n", "body"),
		okResponse("a", "Content-Length: 0x4\r\n", "body"),
		okResponse("a", "Content-Length: 4 4\r\n", "body"),
		okResponse("a", "Content-Length: 99999999999999999999\r\n", "body"),
		okResponse("a", "Transfer-Encoding: gzip, chunked\r\n", encoded),
		okResponse("a", "Transfer-Encoding: chunked, chunked\r\n", encoded),
		okResponse("a", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", encoded),
		okResponse("a", "Transfer-Encoding: identity\r\n", "body"),
		okResponse("a", "Transfer-Encoding:\r\n", "body"),
	} {
		for _, kept := range []bool{false, true} {
			_, _, err := exchangeOnce(t, response, kept)
			var f *Failure
			require.ErrorAs(t, err, &f, "%q", response)
			require.True(t, f.MayHaveRun)
		}
	}
}

// Guards against a body whose framing breaks off or is malformed and that looks complete.
func TestBodyWithMalformedFramingIsBroken(t *testing.T) {
	for _, response := range []string{
		okResponse("a", "Content-Length: 5\r\n", "body"),
		okResponse("a", "Content-Length: 100000\r\n", strings.Repeat("x", 99999)),
		okResponse("a", "Transfer-Encoding: chunked\r\n", ""),
		okResponse("a", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n"),
		okResponse("a", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0"),
		okResponse("a", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n"),
		okResponse("a", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\nX: a\r\n"),
		okResponse("a", "Transfer-Encoding: chunked\r\n", "4\r\nbody0\r\n\r\n"),
		okResponse("a", "Transfer-Encoding: chunked\r\n", "5\r\nbody\r\n0\r\n\r\n"),
		okResponse("a", "Transfer-Encoding: chunked\r\n", "3\r\nbody\r\n0\r\n\r\n"),
		okResponse("a", "Transfer-Encoding: chunked\r\n", "-4\r\nbody\r\n0\r\n\r\n"),
		okResponse("a", "Transfer-Encoding: chunked\r\n", "4x\r\nbody\r\n0\r\n\r\n"),
		okResponse("a", "Transfer-Encoding: chunked\r\n", "\r\nbody\r\n0\r\n\r\n"),
		okResponse("a", "Transfer-Encoding: chunked\r\n", "4\nbody\n0\n\n"),
		okResponse("a", "Transfer-Encoding: chunked\r\n", "10000000000000004\r\nbody\r\n0\r\n\r\n"),
		okResponse("a", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\nX\x01: a\r\n\r\n"),
	} {
		for _, kept := range []bool{false, true} {
			c, resp, err := exchangeOnce(t, response, kept)
			require.NoError(t, err, "%q", response)
			_, err = io.Copy(io.Discard, resp.Body)
			require.Error(t, err, "%q", response)
			require.NoError(t, resp.Body.Close())
			open, _ := c.Connections()
			require.Zero(t, open)
		}
	}
}

// Guards against a response that loses the mark of its server, its id or its coding,
// because it names that field as one of the connection alone.
func TestResponseThatWithdrawsItsFieldsIsBroken(t *testing.T) {
	for connection, sound := range map[string]bool{
		"Connection: Seal\r\n": false,
		// net/http drops the whole field, so that the mark is passed on.
		"Connection: close, seal\r\n":                                true,
		"connection: keep-alive\r\nConnection: x,SEAL\r\n":           false,
		"Connection: Request-Id\r\n":                                 false,
		"Connection: Content-Encoding\r\nContent-Encoding: gzip\r\n": false,
		"Connection: close\r\n":                                      true,
		"Connection: X-Hop\r\nX-Hop: a\r\n":                          true,
	} {
		_, resp, err := exchangeOnce(t, okResponse("a", connection+"Content-Length: 4\r\n", "body"), false)
		if !sound {
			var f *Failure
			require.ErrorAs(t, err, &f, "%q", connection)
			require.True(t, f.MayHaveRun)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, "body", readAll(t, resp))
		require.Equal(t, []string{"x"}, resp.Header["Seal"])
		require.Equal(t, []string{"a"}, resp.Header["Request-Id"])
		require.Empty(t, resp.Header["X-Hop"])
	}
}
