package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/standin/server"
)

// Guards against a refusal that closes the connection with a small body unread:
// the kernel then resets the connection, and the caller may never receive the
// response.
func TestRefusalReadsSmallBody(t *testing.T) {
	s := newStack(t, server.Options{}, nil)
	s.deps.full.Store(true)
	reused := 0
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if info.Reused {
			reused++
		}
	}}
	const requests = 20
	for range requests {
		ctx := httptrace.WithClientTrace(t.Context(), trace)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.addr+"/images/k", strings.NewReader(strings.Repeat("x", 200)))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+testKey)
		resp, err := s.http.Do(req)
		require.NoError(t, err)
		require.Equal(t, http.StatusTooManyRequests, resp.StatusCode)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	require.Equal(t, requests-1, reused, "connection not reused: the small body was not read to its end")
}
