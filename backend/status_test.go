package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/execution"
	"godwitlock.example/godwitlock/topo"
)

// Guards against a response with a status that no caller knows: it must not be passed
// on, whether the connection is new or kept, the response short or streamed, and its
// request may have run.
func TestResponseWithInvalidStatusIsBroken(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "abc", "2000", "+20", "20"} {
		for _, framing := range []string{"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", "Content-Length: 100000\r\n"} {
			for _, kept := range []bool{false, true} {
				t.Run(status+" "+framing+strconv.FormatBool(kept), func(t *testing.T) {
					first := kept
					s := startScriptedServer(t, func(c net.Conn, r *http.Request) bool {
						_, _ = io.Copy(io.Discard, r.Body)
						if first {
							first = false
							_, _ = io.WriteString(c, okHead+"Content-Length: 2\r\n\r\nok")
							return true
						}
						_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nRequest-Id: r1\r\nNot-Run: true\r\n"+framing+"\r\n4\r\nbody")
						_, _ = c.Read(make([]byte, 1))
						return false
					})
					c := newTestClient(t, s.addr, 3)
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					if kept {
						resp, err := c.Do(ctx, testRequest())
						require.NoError(t, err)
						_, err = io.Copy(io.Discard, resp.Body)
						require.NoError(t, err)
						require.NoError(t, resp.Body.Close())
					}
					_, err := c.Do(ctx, testRequest())
					require.Equal(t, errkind.OutcomeUnknown, errkind.Of(err), "%v", err)
					require.Contains(t, []execution.Point{execution.ServerHead, execution.ServerWrite}, execution.PointOf(err))
					require.NoError(t, ctx.Err())
				})
			}
		}
	}
}

// Guards against a control command or a health report that counts as successful because
// of an unknown status.
func TestControlRejectsInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "abc", "2000", "201"} {
		s := startScriptedServer(t, reply("HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}"))
		c := NewControl(topo.BackendServer{ID: "s1", Addr: s.addr, MaxConns: 3}, nil)
		_, err := c.Health(t.Context())
		require.Error(t, err, status)
		_, err = c.Renew(t.Context(), 1, 1, "b")
		require.Error(t, err, status)
		c.Close()
	}
}
