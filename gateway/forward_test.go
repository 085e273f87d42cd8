package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/standin/server"
)

// Guards against forwarding a caller key, a caller's copy of an internal field
// or a hop-by-hop field to the backend server.
func TestServerSeesCleanHeader(t *testing.T) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/2.0"} {
		t.Run(proto, func(t *testing.T) {
			s := newStack(t, server.Options{}, nil)
			fields := []string{"Grant-Fence", "9/9.9", "Customer-Id", "c9", "Request-Id", "mine", "Not-Run", "true",
				"Godwitlock-Outcome", "ran", "X-Kept", "yes", "Proxy-Authorization", "secret"}
			if proto == "HTTP/2.0" {
				s.useHTTP2()
			} else {
				fields = append(fields, "Connection", "X-Dropped", "X-Dropped", "secret")
			}
			resp, body := s.do(t, "POST", "/images/k1/part%2Fone?work_ms=0", strings.NewReader("data"), fields...)
			require.Equal(t, proto, resp.Proto)
			require.Equal(t, http.StatusOK, resp.StatusCode, string(body))
			require.Equal(t, "mine", resp.Header.Get("Request-Id"))
			require.Equal(t, int64(1), s.deps.settled.Load())

			recs := s.server.Records()
			require.Len(t, recs, 1)
			seen := recs[0].Header
			require.NotContains(t, strings.Join(flatten(seen), "\n"), testKey)
			require.NotContains(t, strings.Join(flatten(seen), "\n"), "secret")
			require.Equal(t, "c1", seen.Get("Customer-Id"))
			require.Equal(t, "yes", seen.Get("X-Kept"))
			require.NotEqual(t, "mine", seen.Get("Request-Id"))
			for _, name := range []string{"Authorization", "Grant-Fence", "Not-Run", "Godwitlock-Outcome", "Connection"} {
				require.NotContains(t, seen, name)
			}
		})
	}
}

func flatten(h http.Header) []string {
	var all []string
	for name, values := range h {
		all = append(all, name)
		all = append(all, values...)
	}
	return all
}
