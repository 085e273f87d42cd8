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
	"godwitlock.example/godwitlock/metric"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/standin/memnet"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/store/memstore"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// routeTimeout is the timeout of the route of a stopTest.
const routeTimeout = time.Minute

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

// hungStore is a store whose calls return after their contexts have ended long ago.
type hungStore struct{ silentStore }

func (hungStore) Get(context.Context, string) (store.Object, error) {
	time.Sleep(time.Minute)
	return store.Object{}, store.ErrUnavailable
}
func (hungStore) List(context.Context, string) (store.Listing, error) {
	time.Sleep(time.Minute)
	return store.Listing{}, store.ErrUnavailable
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

func startNode(t *testing.T, objects store.Objects, stopWithin time.Duration) *stopTest {
	t.Helper()
	b := DefaultBounds()
	b.StopWithin = stopWithin
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
			Name: "r", Host: "h", PathPrefix: "/", Kind: routemap.Idempotent, Timeout: routeTimeout, Attempts: 1, Public: true,
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

// request sends a request that waits for a slot, and returns its connection.
func (s *stopTest) request(t *testing.T) net.Conn {
	t.Helper()
	nc := s.dial(t, "a:1")
	_, err := io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(time.Second)
	return nc
}

// stop sends SIGTERM and returns the time until Run has returned.
func (s *stopTest) stop() time.Duration {
	began := time.Now()
	s.term()
	<-s.ended
	return time.Since(began)
}

// requireBounds sends SIGTERM and checks the times at which an idle connection is
// closed, a waiting request is refused and the process ends.
func (s *stopTest) requireBounds(t *testing.T) {
	t.Helper()
	limit := s.node.bounds().StopWithin
	idle, waiting := s.dial(t, "a:1"), s.request(t)
	began := time.Now()
	closed, refused, status := make(chan time.Duration, 1), make(chan time.Duration, 1), make(chan int, 1)
	go func() { _, _ = io.Copy(io.Discard, idle); closed <- time.Since(began) }()
	go func() {
		defer close(status)
		resp, err := http.ReadResponse(bufio.NewReader(waiting), nil)
		refused <- time.Since(began)
		if err == nil {
			status <- resp.StatusCode
		}
	}()
	ended := s.stop()
	require.Equal(t, http.StatusServiceUnavailable, <-status)
	require.Equal(t, min(balancerDelay, limit/2), <-closed, "closing idle connections")
	require.Equal(t, limit-refuseMargin, <-refused, "refusing waiting requests")
	require.LessOrEqual(t, ended, limit-killMargin, "ending the process")
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
		for _, stopWithin := range []time.Duration{6 * time.Second, 4 * time.Second} {
			t.Run(c.name+" "+stopWithin.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := startNode(t, c.objects(), stopWithin)
					if c.leader {
						s.awaitLeading()
					}
					s.requireBounds(t)
				})
			})
		}
	}
}

// Guards against a stop that waits for a peer which connected and sent nothing.
func TestStopDoesNotWaitForSilentPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startNode(t, memstore.New(), 6*time.Second)
		s.dial(t, "a:3")
		time.Sleep(time.Second)
		require.LessOrEqual(t, s.stop(), balancerDelay+time.Second)
	})
}

// Guards against a stop that outlasts SIGKILL when everything that it waits for
// hangs: requests, a peer and calls to the store.
func TestStopEndsBeforeSIGKILL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startNode(t, hungStore{}, 6*time.Second)
		s.dial(t, "a:3")
		partial := s.dial(t, "a:1")
		_, err := io.WriteString(partial, "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n")
		require.NoError(t, err)
		time.Sleep(time.Second)
		_, err = io.WriteString(s.request(t), "GET /2 HT")
		require.NoError(t, err)
		require.Less(t, s.stop(), s.node.bounds().StopWithin)
	})
}

// Guards against new settings or a new configuration ending a request that waits:
// its route's timeout ends it.
func TestReloadLeavesWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startNode(t, memstore.New(), 6*time.Second)
		began := time.Now()
		nc := s.request(t)
		set := s.node.settings
		set.Bounds.WithdrawWithin, set.Bounds.StopWithin, set.CallerAddr = time.Second, time.Second, "elsewhere:1"
		s.node.Reload(set)
		none, err := routemap.Compile(routemap.Config{Version: 2})
		require.NoError(t, err)
		require.True(t, s.node.view.SetConfig(none, nil, 2))
		_, err = http.ReadResponse(bufio.NewReader(nc), nil)
		require.NoError(t, err)
		require.Equal(t, routeTimeout, time.Since(began))
	})
}
