package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
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

// Guards against a request that gets the connection of a refusal from the pool
// and fails, or is cut off, when that connection is closed.
func TestRefusalDoesNotFailOtherRequests(t *testing.T) {
	s := startScriptedServer(t, func(c net.Conn, r *http.Request) bool {
		body, _ := io.ReadAll(r.Body)
		id, head := r.Header.Get("Request-Id"), "HTTP/1.1 200 OK\r\n"
		if strings.HasPrefix(id, "refused") {
			head = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: true\r\n"
		}
		_, _ = fmt.Fprintf(c, "%sRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", head, id, len(body), body)
		return true
	})
	c := newTestClient(t, s.addr, 4)
	do := func(id, body string) (string, error) {
		req := testRequest()
		req.ID = id
		if body != "" {
			req.Body, req.ContentLength = strings.NewReader(body), int64(len(body))
		}
		resp, err := c.Do(context.Background(), req)
		if err != nil {
			return "", err
		}
		defer func() { _ = resp.Body.Close() }()
		got, err := io.ReadAll(resp.Body)
		return string(got), err
	}
	var wg sync.WaitGroup
	for i := range 200 {
		body := strings.Repeat("x", i%2)
		wg.Go(func() {
			_, err := do(fmt.Sprint("refused-", i), body)
			assert.Equal(t, errkind.ServerRefused, errkind.Of(err), "%v", err)
		})
		wg.Go(func() {
			got, err := do(fmt.Sprint("run-", i), body)
			assert.NoError(t, err)
			assert.Equal(t, body, got)
		})
	}
	wg.Wait()
}
