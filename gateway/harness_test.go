package gateway_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/backend"
	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/gateway"
	"godwitlock.example/godwitlock/standin/server"
	"godwitlock.example/godwitlock/topo"
)

const testKey = "caller-key-of-c1"

// fakeDependencies implements Authenticator, Admitter and Probes.
type fakeDependencies struct {
	full              atomic.Bool
	settled, released atomic.Int64
}

func (f *fakeDependencies) Authenticate(key string, _ time.Time) (topo.CustomerID, error) {
	if key != testKey {
		return "", errkind.New(errkind.CallerKeyInvalid, "unknown caller key")
	}
	return "c1", nil
}

func (f *fakeDependencies) Reserve(topo.CustomerID, time.Time) (gateway.Reservation, error) {
	if f.full.Load() {
		return nil, errkind.New(errkind.RateExceeded, "rate exceeded")
	}
	return f, nil
}

func (f *fakeDependencies) Settle()        { f.settled.Add(1) }
func (f *fakeDependencies) Release()       { f.released.Add(1) }
func (f *fakeDependencies) Healthy() error { return nil }
func (f *fakeDependencies) Ready() error   { return nil }

const maxBody = 64 << 20

func testRoutes(tb testing.TB) *gateway.Table {
	base := gateway.Route{
		Service: "ledger", KeySource: gateway.KeySegment, KeyIndex: 1, OpenToAll: true, MaxBody: 1 << 20,
		Methods: []string{"GET", "HEAD", "POST"}, IdempotentMethods: []string{"GET", "HEAD"},
		DefaultTimeout: time.Minute, MaxTimeout: time.Hour,
	}
	orders, images, closed := base, base, base
	orders.Name, orders.Prefix, orders.ExactlyOnce = "orders", "/orders", true
	images.Name, images.Prefix, images.MaxBody, images.Large = "images", "/images", maxBody, true
	closed.Name, closed.Prefix, closed.OpenToAll = "closed", "/closed", false
	table, err := gateway.NewTable([]*gateway.Route{&orders, &images, &closed})
	require.NoError(tb, err)
	return table
}

// stack is a gateway in front of one stand-in server.
type stack struct {
	deps    *fakeDependencies
	gateway *gateway.Gateway
	server  *server.Server
	client  *backend.Client
	addr    string
	http    *http.Client
}

func newStack(tb testing.TB, opt server.Options, configure func(*gateway.Config)) *stack {
	s := &stack{deps: &fakeDependencies{}}
	var err error
	s.server, err = server.Start(opt)
	require.NoError(tb, err)
	s.client = backend.New(topo.BackendServer{ID: "s1", Addr: s.server.Addr(), MaxConns: 128}, nil)
	cfg := gateway.Config{
		Authenticator: s.deps, Admitter: s.deps, Probes: s.deps, Routes: testRoutes(tb),
		Doer: s.client, Log: zerolog.New(io.Discard), DrainTimeout: time.Millisecond,
	}
	if configure != nil {
		configure(&cfg)
	}
	s.gateway = gateway.New(cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	s.addr = l.Addr().String()
	go func() { _ = s.gateway.Serve(l) }()
	transport := &http.Transport{MaxIdleConnsPerHost: 128, DisableCompression: true}
	s.http = &http.Client{Transport: transport}
	tb.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = s.gateway.Close()
		s.client.Close()
		_ = s.server.Close()
	})
	return s
}

// useHTTP2 makes the stack's HTTP client use HTTP/2 without TLS.
func (s *stack) useHTTP2() {
	t := &http.Transport{Protocols: new(http.Protocols), DisableCompression: true, TLSClientConfig: &tls.Config{}}
	t.Protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Client{Transport: t}
}

func (s *stack) request(tb testing.TB, ctx context.Context, method, target string, body io.Reader, fields ...string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.addr+target, body)
	require.NoError(tb, err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(fields); i += 2 {
		r.Header.Add(fields[i], fields[i+1])
	}
	return r
}

// do performs a request and reads the whole response.
func (s *stack) do(tb testing.TB, method, target string, body io.Reader, fields ...string) (*http.Response, []byte) {
	resp, err := s.http.Do(s.request(tb, context.Background(), method, target, body, fields...))
	require.NoError(tb, err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	require.NoError(tb, err)
	return resp, got
}

func requireRefusal(tb testing.TB, resp *http.Response, kind errkind.Kind) {
	tb.Helper()
	a := kind.Answer()
	require.Equal(tb, a.Name, resp.Header.Get(call.HeaderError))
	require.Equal(tb, a.Status, resp.StatusCode)
	require.Equal(tb, a.Outcome.String(), resp.Header.Get(call.HeaderOutcome))
	require.Equal(tb, a.Repeatable, resp.Header.Get("Retry-After") != "")
}
