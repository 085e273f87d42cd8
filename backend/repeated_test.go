package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/errkind"
)

// Guards against matching a refusal that a faulty server writes once more with the
// second send of the same request, which has the same id and runs.
func TestRefusalIsNotMatchedTwice(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r1\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n"
	var mu sync.Mutex
	seen, ran := make(map[net.Conn]int), 0
	s := startScriptedServer(t, func(c net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		defer mu.Unlock()
		if seen[c]++; seen[c] > 1 {
			ran++
		}
		_, _ = io.WriteString(c, refusal)
		return true
	})
	c := newTestClient(t, s.addr, 4)
	for range 3 {
		_, err := c.Do(context.Background(), testRequest())
		require.Equal(t, errkind.ServerRefused, errkind.Of(err))
	}
	mu.Lock()
	defer mu.Unlock()
	require.Zero(t, ran, "requests that ran and were reported as not run")
}
