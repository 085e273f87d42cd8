package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/permit"
)

// Guards against an answer with a malformed field that reaches the caller: a repeatable
// request goes on to another attempt, and the outcome of any other is unknown.
func TestAnswerWithMalformedFieldIsNotPassedOn(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: x\r\nSeal: s\r\n"
	for _, text := range []string{
		head + "Content-Length : 4\r\n\r\nbody",
		head + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		head + "X Y: a\r\nContent-Length: 4\r\n\r\nbody",
		head + "X: a\r\n Content-Length: 4\r\n\r\nbody",
		head + "\nContent-Length: 4\r\n\r\nbody",
		head + "X\x01: a\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: x\r\nNot-Run: 1\r\nX : a\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 404 Not Found\r\nRequest-Id: x\r\nSeal: s\r\nContent-Length : 4\r\n\r\nbody",
	} {
		answer := func(nc net.Conn, n int32) {
			if n > 1 {
				_, _ = io.WriteString(nc, okResponse("x"))
				return
			}
			_, _ = io.WriteString(nc, text)
			_ = nc.(*net.TCPConn).CloseWrite()
		}
		ff := newFaultyForwarder(t, answer)
		ans := ff.Serve(context.Background(), newRequest("/w/1"))
		require.Equal(t, http.StatusBadGateway, ans.Status, "%q", text)
		require.Equal(t, "outcome_unknown\n", string(ans.Body))
		require.Equal(t, permit.Result{Failed: true}, <-ff.results)
		require.Equal(t, int32(1), ff.requests.Load())

		ff = newFaultyForwarder(t, answer)
		ans = ff.Serve(context.Background(), newRequest("/r/1"))
		require.Equal(t, http.StatusOK, ans.Status, "%q", text)
		require.Equal(t, int32(2), ff.requests.Load())
	}
}
