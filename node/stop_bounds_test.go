package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/forward"
	"godwitlock.example/godwitlock/ingress"
	"godwitlock.example/godwitlock/internal/knownred"
	"godwitlock.example/godwitlock/metric"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/standin/memnet"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/store/memstore"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// endlessWait never grants a slot.
type endlessWait struct{}

func (endlessWait) Acquire(ctx context.Context, _ *view.Snapshot, _ string, _ permit.Request) (forward.Slot, permit.Decision) {
	<-ctx.Done()
	return nil, permit.Decision{Verdict: permit.Refused}
}

// silentStore is a store that never responds.
type silentStore struct{}

func (silentStore) wait(ctx context.Context) error { <-ctx.Done(); return store.ErrUnavailable }

func (s silentStore) Get(ctx context.Context, _ string) (store.Object, error) {
	return store.Object{}, s.wait(ctx)
}
func (s silentStore) List(ctx context.Context, _ string) (store.Listing, error) {
	return store.Listing{}, s.wait(ctx)
}
func (s silentStore) Put(ctx context.Context, _ string, _ []byte, _ uint64, _ string) (store.Object, error) {
	return store.Object{}, s.wait(ctx)
}
func (s silentStore) Delete(ctx context.Context, _ string, _ uint64, _ string) error {
	return s.wait(ctx)
}
func (s silentStore) Watch(ctx context.Context, _ string, _ topo.Revision, _ time.Duration) (store.Changes, error) {
	return store.Changes{}, s.wait(ctx)
}

// silentLists is a store whose lists get no response.
type silentLists struct{ store.Objects }

func (silentLists) List(ctx context.Context, prefix string) (store.Listing, error) {
	return silentStore{}.List(ctx, prefix)
}

// stopTest is a running node in a synctest bubble. Requests to it wait for a slot
// without end.
type stopTest struct {
	node *Node
	net  *memnet.Network
	// term sends SIGTERM, and ended is closed when Run has returned.
	term  context.CancelFunc
	ended chan struct{}
}

func startNode(t *testing.T, objects store.Objects) *stopTest {
	t.Helper()
	b := DefaultBounds()
	p := memPlatform{objects}
	n := &Node{
		settings: Settings{VM: "a", PeerAddr: "a:3", Bounds: b}, platform: p, view: view.New(), metrics: metric.New(),
		startedAt: clock.Boot(), log: declog.New(io.Discard, "a"),
	}
	n.activeBounds.Store(&b)
	network := memnet.New()
	for addr, lis := range map[string]*net.Listener{":1": &n.callerLis, ":2": &n.readyLis, ":3": &n.peerLis, ":4": &n.metricsLis} {
		var err error
		*lis, err = network.Host("a").Listen("tcp", "a"+addr)
		require.NoError(t, err)
	}
	n.assemble()
	routes, err := routemap.Compile(routemap.Config{
		Version: 1, Services: []routemap.Service{{Name: "s"}},
		Routes: []routemap.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: routemap.Idempotent, Timeout: time.Minute, Attempts: 1, Public: true,
			Destinations: []routemap.Destination{{Service: "s", Weight: 1}},
		}},
	})
	require.NoError(t, err)
	n.view.SetConfig(routes, nil, 1)
	cfg := n.forward.Config
	cfg.Slots = endlessWait{}
	n.forward = forward.New(cfg)
	n.ingress = ingress.NewServer(p.CallerHeaders(), n.forward.Serve, n.callerLimits)
	ctx, term := context.WithCancel(t.Context())
	s := &stopTest{node: n, net: network, term: term, ended: make(chan struct{})}
	go func() { defer close(s.ended); _ = n.Run(ctx) }()
	// The sleep lets all goroutines of the bubble end, also after a failure.
	t.Cleanup(func() { term(); time.Sleep(time.Hour) })
	return s
}

func (s *stopTest) dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	nc, err := s.net.Host("caller").Dial(t.Context(), "tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	return nc
}

// requireBounds sends SIGTERM and checks the times at which an idle connection is
// closed, a waiting request is refused and the process ends.
func (s *stopTest) requireBounds(t *testing.T) {
	t.Helper()
	idle, waiting := s.dial(t, "a:1"), s.dial(t, "a:1")
	_, err := io.WriteString(waiting, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(time.Second)
	began := time.Now()
	s.term()
	since := func(event <-chan struct{}) time.Duration { <-event; return time.Since(began) }
	closed, refused := make(chan struct{}), make(chan struct{})
	go func() { defer close(closed); _, _ = io.Copy(io.Discard, idle) }()
	var resp *http.Response
	go func() { defer close(refused); resp, err = http.ReadResponse(bufio.NewReader(waiting), nil) }()
	require.Equal(t, balancerDelay, since(closed), "closing idle connections")
	require.Equal(t, s.node.bounds().StopWithin-refuseMargin, since(refused), "refusing waiting requests")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.LessOrEqual(t, since(s.ended), s.node.bounds().StopWithin-killMargin, "ending the process")
}

func (s *stopTest) awaitLeading() {
	for leads := false; !leads; _, leads = s.node.lease.Leads() {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a stop whose time limits depend on the store or on being leader.
func TestStopKeepsItsTimeLimits(t *testing.T) {
	for _, c := range []struct {
		name    string
		objects func() store.Objects
		leader  bool
	}{
		{"follower without a store", func() store.Objects { return silentStore{} }, false},
		{"leader", func() store.Objects { return memstore.New() }, true},
		{"leader without lists", func() store.Objects { return silentLists{memstore.New()} }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			knownred.Skip(t)
			synctest.Test(t, func(t *testing.T) {
				s := startNode(t, c.objects())
				if c.leader {
					s.awaitLeading()
				}
				s.requireBounds(t)
			})
		})
	}
}

// Guards against a stop that waits for a peer which connected and sent nothing.
func TestStopDoesNotWaitForSilentPeer(t *testing.T) {
	knownred.Skip(t)
	synctest.Test(t, func(t *testing.T) {
		s := startNode(t, memstore.New())
		s.dial(t, "a:3")
		time.Sleep(time.Second)
		began := time.Now()
		s.term()
		<-s.ended
		require.LessOrEqual(t, time.Since(began), s.node.bounds().StopWithin-killMargin)
	})
}
