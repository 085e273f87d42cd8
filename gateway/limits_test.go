package gateway_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/gateway"
	"godwitlock.example/godwitlock/standin/server"
	"godwitlock.example/godwitlock/topo"
)

// Guards against running a request that the server refused while the body was
// still being sent, and against reading the body after the response.
func TestRefusedDuringBody(t *testing.T) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/2.0"} {
		s := newStack(t, server.Options{}, nil)
		if proto == "HTTP/2.0" {
			s.useHTTP2()
		}
		shed := true
		s.server.Apply(server.Faults{Shed: &shed})
		for range 10 {
			resp, err := s.http.Do(s.request(t, t.Context(), "POST", "/images/k1", io.MultiReader(&patternReader{n: maxBody})))
			if err == nil {
				require.Contains(t, []string{"server_refused", "outcome_unknown"}, resp.Header.Get(call.HeaderError))
				_ = resp.Body.Close()
			}
		}
		require.Empty(t, s.server.Records())
	}
}

// lockedBuffer is a log buffer that can be read while the gateway writes to it.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Guards against a caller key in the log or the counters, and against requests
// that are not counted.
func TestLogAndCounters(t *testing.T) {
	var log lockedBuffer
	s := newStack(t, server.Options{}, func(c *gateway.Config) { c.Log, c.LogEvery = zerolog.New(&log), 1 })
	s.do(t, "GET", "/orders/k1?bytes=10", nil)
	s.do(t, "GET", "/none/k1", nil)
	s.do(t, "POST", "/images/k1", strings.NewReader("abc"), "Authorization", "Bearer "+testKey)
	require.NoError(t, s.gateway.Shutdown(context.Background()))
	text := log.String()
	require.NotContains(t, text, testKey)
	require.Equal(t, 3, strings.Count(text, "request finished"))
	for _, part := range []string{`"customer":"c1"`, `"route":"orders"`, `"status":200`, `"response_bytes":10`, `"kind":"route_not_found"`, `"outcome":"not-run"`} {
		require.Contains(t, text, part)
	}
	vars := s.gateway.Vars().String()
	require.NotContains(t, vars, testKey)
	for _, part := range []string{`"requests_total": 3`, `"running_requests": 0`, `"bad_request": 1`, `"route_not_found": 1`, `"response_body_bytes_total": 10`} {
		require.Contains(t, vars, part)
	}
}

// Guards against TLS connections without HTTP/2, and against forwarding an
// oversized head that came over HTTP/2.
func TestTLS(t *testing.T) {
	certs := httptest.NewTLSServer(nil)
	defer certs.Close()
	s := newStack(t, server.Options{}, func(c *gateway.Config) { c.TLS = &tls.Config{Certificates: certs.TLS.Certificates} })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.gateway.ServeTLS(l) }()
	tr := certs.Client().Transport.(*http.Transport).Clone()
	tr.ForceAttemptHTTP2 = true
	for extra, kind := range map[string]errkind.Kind{"": errkind.Unset, strings.Repeat("x", 17<<10): errkind.HeaderTooLarge} {
		r := s.request(t, t.Context(), "GET", "/orders/k1", nil, "X-Extra", extra)
		r.URL.Scheme, r.URL.Host = "https", l.Addr().String()
		resp, err := tr.RoundTrip(r)
		require.NoError(t, err)
		require.Equal(t, 2, resp.ProtoMajor)
		if kind != errkind.Unset {
			requireRefusal(t, resp, kind)
		} else {
			require.Equal(t, http.StatusOK, resp.StatusCode)
		}
		_ = resp.Body.Close()
	}
	tr.CloseIdleConnections()
	require.Len(t, s.server.Records(), 1)
}

// Guards against buffering a streamed response until its end, and against
// exceeding the limit of requests in flight.
func TestStreamingAndInFlightLimit(t *testing.T) {
	body, bodyWriter := io.Pipe()
	doer := call.DoerFunc(func(context.Context, *call.Request) (*call.Response, error) {
		return &call.Response{Status: 200, ContentLength: -1, Body: body}, nil
	})
	s := newStack(t, server.Options{}, func(c *gateway.Config) { c.Doer, c.MaxInFlight = doer, 1 })
	resp, err := s.http.Do(s.request(t, t.Context(), "GET", "/orders/k1", nil))
	require.NoError(t, err, "the response head must arrive before the body")
	for _, part := range []string{"first", "other"} {
		_, err = io.WriteString(bodyWriter, part)
		require.NoError(t, err)
		got := make([]byte, len(part))
		_, err = io.ReadFull(resp.Body, got)
		require.NoError(t, err)
		require.Equal(t, part, string(got))
	}
	refused, _ := s.do(t, "GET", "/orders/k2", nil)
	requireRefusal(t, refused, errkind.QueueFull)
	require.NoError(t, bodyWriter.Close())
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
}

// Guards against taking the key from the wrong part of the request, and against
// accepting an ambiguous key.
func TestKeySources(t *testing.T) {
	base := gateway.Route{Name: "r", Methods: []string{"GET"}, OpenToAll: true, KeyName: "Order", DefaultTimeout: 1, MaxTimeout: 1e9}
	base.DefaultTimeout = base.MaxTimeout
	header, query, none := base, base, base
	header.Prefix, header.KeySource = "/header", gateway.KeyHeader
	query.Prefix, query.KeySource = "/query", gateway.KeyQuery
	none.Prefix = "/"
	table, err := gateway.NewTable([]*gateway.Route{&none, &header, &query})
	require.NoError(t, err)
	var key string
	doer := call.DoerFunc(func(_ context.Context, r *call.Request) (*call.Response, error) {
		key = r.Key
		return &call.Response{Status: 200, Body: http.NoBody, Server: topo.ServerID("s1")}, nil
	})
	s := newStack(t, server.Options{}, func(c *gateway.Config) { c.Routes, c.Doer = table, doer })
	for target, want := range map[string]string{
		"/header?Order=q": "h", "/query?Order=q%2F1": "q/1", "/other": "", "/": "",
	} {
		resp, _ := s.do(t, "GET", target, nil, "Order", "h")
		require.Equal(t, http.StatusOK, resp.StatusCode, target)
		require.Equal(t, want, key, target)
	}
	for _, target := range []string{"/header", "/query", "/query?Order=1&Order=2", "/query?Order=%zz", "/query?Order=" + strings.Repeat("x", 1025)} {
		resp, _ := s.do(t, "GET", target, nil)
		requireRefusal(t, resp, errkind.BadRequest)
	}
}
