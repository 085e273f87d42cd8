package egress

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// invalidStatuses are what servers in trouble have sent, or might send, as the status of
// a response.
var invalidStatuses = []string{"000", "099", "600", "999", "abc", "2000", "20", "2", "", "+20", "-20", " 200", "2 0", "20O"}

// Guards against a response with a status that no caller knows: it must not be passed
// on, whether the connection is new or kept, the response short or streamed, and its
// request may have run, also if the server says that it has not.
func TestResponseWithInvalidStatusIsBroken(t *testing.T) {
	for _, status := range invalidStatuses {
		for _, extra := range []string{"Content-Length: 4\r\n", "Content-Length: 100000\r\n", "Transfer-Encoding: chunked\r\n", "", "Not-Run: 1\r\nContent-Length: 4\r\n"} {
			for _, kept := range []bool{false, true} {
				t.Run(status+" "+extra+strconv.FormatBool(kept), func(t *testing.T) {
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
							_, _ = io.WriteString(nc, "HTTP/1.1 "+status+" X\r\nRequest-Id: a\r\nSeal: x\r\n"+extra+"\r\nbody")
						}
					})
					c := New(testHeaders)
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					if kept {
						resp, err := c.Do(ctx, target, newGetRequest("first"))
						require.NoError(t, err)
						require.Equal(t, "ok", readAll(t, resp))
						_, idle := c.Connections()
						require.Equal(t, 1, idle)
					}
					_, err := c.Do(ctx, target, newGetRequest("a"))
					var f *Failure
					require.ErrorAs(t, err, &f)
					require.True(t, f.MayHaveRun)
					require.NoError(t, ctx.Err())
					open, _ := c.Connections()
					require.Zero(t, open, "the connection is closed")
				})
			}
		}
	}
}

// Guards against status lines that are accepted although their status is none, and
// against a panic.
func FuzzStatusLine(f *testing.F) {
	for _, status := range append([]string{"200", "100", "599", "101"}, invalidStatuses...) {
		f.Add([]byte("HTTP/1.1 " + status + " X"))
	}
	f.Add([]byte("HTTP/1.1 200"))
	f.Add([]byte("HTTP/2.0 200 X"))
	f.Add([]byte("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 999 X"))
	f.Fuzz(func(t *testing.T, line []byte) {
		here, there := net.Pipe()
		defer func() { _ = here.Close(); _ = there.Close() }()
		go func() {
			_, _ = there.Write(append(line, "\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n"...))
			_ = there.Close()
		}()
		resp, err := newConn(New(testHeaders), testIncarnation, here).readHead(&testHeaders, newGetRequest("a"))
		if err == nil {
			require.GreaterOrEqual(t, resp.StatusCode, 200)
			require.Less(t, resp.StatusCode, 600)
		}
	})
}
