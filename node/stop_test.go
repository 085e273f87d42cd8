package node

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/egress"
	"godwitlock.example/godwitlock/forward"
	"godwitlock.example/godwitlock/ingress"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/leader"
	"godwitlock.example/godwitlock/metric"
	"godwitlock.example/godwitlock/peer"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/standin/memnet"
	"godwitlock.example/godwitlock/store/memstore"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// stoppableNode returns a node that answers callers with h, and its log.
func stoppableNode(t *testing.T, h ingress.Handler) (*Node, *bytes.Buffer) {
	t.Helper()
	var out bytes.Buffer
	n := &Node{settings: Settings{VM: "a"}, log: declog.New(&out, "a"), metrics: metric.New(), grpc: grpc.NewServer(), peers: peer.NewPool(nil, nil)}
	b := DefaultBounds()
	b.StopWithin = killMargin + 100*time.Millisecond
	n.activeBounds.Store(&b)
	n.forward = forward.New(forward.Config{})
	n.lease = newLeaseManager(memstore.New(), "lease", leader.Identity{VM: "a"}, func() leader.Candidacy { return leader.Candidacy{} }, func(topo.Term) int { return 0 }, n.log, func() bool { return false })
	n.ingress = ingress.NewServer(ingress.Headers{RequestID: "Request-Id"}, h, func() ingress.Limits { return ingress.Limits{} })
	n.ingress.OnAnswerDropped, n.ingress.OnUnread = n.recordDroppedAnswer, n.recordUnread
	for _, lis := range []*net.Listener{&n.callerLis, &n.readyLis, &n.metricsLis} {
		var err error
		*lis, err = net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
	}
	go func() { _ = n.ingress.Serve(n.callerLis) }()
	return n, &out
}

// Guards against a stop that is killed, or that cuts a request, and does not show
// in which step it was, and which request it cut at which server.
func TestStopLogsItsStepsAndTheRequestsItCuts(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	server := "s1"
	n, out := stoppableNode(t, func(_ context.Context, r *ingress.Request) *ingress.Response {
		r.Progress.SetSent(&server, time.Now())
		close(started)
		<-release
		return &ingress.Response{Status: 200}
	})
	nc, err := net.Dial("tcp", n.callerLis.Addr().String())
	require.NoError(t, err)
	defer func() { _ = nc.Close() }()
	_, err = io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n\r\n")
	require.NoError(t, err)
	<-started
	n.stop(context.Background())

	var steps []any
	for _, line := range logLines(t, n.log, out, "stop_step") {
		steps = append(steps, line["step"])
		require.Contains(t, line, "elapsed_ms")
	}
	require.Subset(t, steps, []any{"resign", "await_balancer", "close_listener", "close_idle", "await_connections", "abandon_attempts", "close_peers"})
	cut := logLines(t, n.log, out, "connection_cut")
	require.Len(t, cut, 1)
	require.Equal(t, nc.LocalAddr().String(), cut[0]["caller"])
	require.Equal(t, "outstanding", cut[0]["state"])
	require.Equal(t, []any{"r1"}, cut[0]["requests"])
	require.Equal(t, 0.0, cut[0]["unread_bytes"])
	dropped := logLines(t, n.log, out, "answer_dropped")
	require.Len(t, dropped, 1)
	require.Equal(t, "r1", dropped[0]["request"])
	require.Equal(t, "process_ended", dropped[0]["cause"])
	require.Equal(t, "sent", dropped[0]["stage"])
	require.Equal(t, "s1", dropped[0]["server"])
	require.Positive(t, dropped[0]["attempt_ms"])
	require.Equal(t, true, dropped[0]["draining"])
	require.Equal(t, int64(1), n.answersDropped.Load())
	require.Equal(t, 0.0, logLines(t, n.log, out, "stopping")[0]["answers_dropped"])
}

// grantAll grants every request a slot of server s1.
type grantAll struct{}

func (g grantAll) Acquire(context.Context, *view.Snapshot, string, permit.Request) (forward.Slot, permit.Decision) {
	return g, permit.Decision{Verdict: permit.Granted, Server: "s1"}
}

func (grantAll) Finish(permit.Result) {}

// silentServer returns the address of a server that never answers, and a channel
// that receives a value for each request.
func silentServer(t *testing.T) (addr string, received chan struct{}) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	received = make(chan struct{}, 1)
	go func() {
		nc, err := lis.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		br := bufio.NewReader(nc)
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		received <- struct{}{}
		_, _ = br.ReadByte()
	}()
	return lis.Addr().String(), received
}

// Guards against a stop that ends before it has answered the requests at servers.
func TestStopAnswersRequestsAtServersBeforeItEnds(t *testing.T) {
	addr, received := silentServer(t)
	var n *Node
	n, out := stoppableNode(t, func(ctx context.Context, r *ingress.Request) *ingress.Response { return n.forward.Serve(ctx, r) })
	v := view.New()
	routes, err := routemap.Compile(routemap.Config{
		Version: 1, Services: []routemap.Service{{Name: "s"}},
		Routes: []routemap.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: routemap.NonIdempotent, Timeout: 20 * time.Second, Attempts: 1, Public: true,
			Destinations: []routemap.Destination{{Service: "s", Weight: 1}},
		}},
	})
	require.NoError(t, err)
	v.SetConfig(routes, nil, 1)
	v.Directory(func(d *directory.Directory) {
		d.Put(directory.Server{ID: "s1", Service: "s", Addr: addr, Slots: 1, State: directory.Ready, Rev: 1})
	})
	n.forward = forward.New(forward.Config{
		View: v, Slots: grantAll{}, Stats: noStats{}, Log: n.log, Fresh: func() bool { return true },
		Budgets: forward.NewBudgets(0.5, func() float64 { return 10 }), Egress: egress.New(egress.Headers{
			RequestID: "Request-Id", DeadlineMS: "Deadline-Ms", Customer: "Customer", ExpectServer: "Expect-Server", NotRun: "Not-Run", Seal: "Seal",
		}),
	})
	b := DefaultBounds()
	b.StopWithin = abandonMargin + 100*time.Millisecond
	n.activeBounds.Store(&b)
	nc, err := net.Dial("tcp", n.callerLis.Addr().String())
	require.NoError(t, err)
	defer func() { _ = nc.Close() }()
	_, err = io.WriteString(nc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	<-received
	n.stop(context.Background())

	// Without the abandonment, the answer would be a 504 after the route's timeout.
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.True(t, resp.Close)
	elapsed := make(map[any]float64)
	for _, line := range logLines(t, n.log, out, "stop_step") {
		elapsed[line["step"]], _ = line["elapsed_ms"].(float64)
	}
	require.GreaterOrEqual(t, elapsed["abandon_attempts"], 100.0)
	require.Less(t, elapsed["abandon_attempts"], elapsed["close_peers"])
}

// noStats is a forward.Stats that records nothing.
type noStats struct{}

func (noStats) Arrived(topo.ServiceName, keyrange.Key) {}
func (noStats) Completed(topo.ServerID, time.Duration) {}
func (noStats) TurnedAway(topo.ServerID, bool)         {}
func (noStats) Answered(string, string, time.Duration) {}

// Guards against cut connections that look alike whether they were idle or a
// request was read on them.
func TestCutConnectionsTellTheirState(t *testing.T) {
	var out bytes.Buffer
	n := &Node{log: declog.New(&out, "a"), metrics: metric.New()}
	n.recordCutConnections([]ingress.OpenConnection{
		{Caller: "idle"}, {Caller: "closing", Closing: true, UnreadBytes: 3}, {Caller: "reading", UnreadBytes: 5},
		{Caller: "outstanding", Outstanding: []ingress.DroppedAnswer{{Cause: ingress.ProcessEnded}}},
	})
	lines := logLines(t, n.log, &out, "connection_cut")
	require.Len(t, lines, 4)
	require.Equal(t, "outstanding", lines[0]["state"], "connections with requests come first")
	for _, line := range lines {
		require.Equal(t, line["caller"], line["state"])
	}
	require.Equal(t, 5.0, lines[3]["unread_bytes"])
}

// Guards against an unread request that leaves no line with its ID.
func TestUnreadBytesAreLogged(t *testing.T) {
	var out bytes.Buffer
	n := &Node{log: declog.New(&out, "a"), metrics: metric.New()}
	n.recordUnread(ingress.Unread{Caller: "c:1", Bytes: 9, RequestIDs: []string{"r2"}, Cause: ingress.ClosedByStop, Draining: true})
	lines := logLines(t, n.log, &out, "bytes_unread")
	require.Len(t, lines, 1)
	require.Equal(t, []any{"r2"}, lines[0]["requests"])
	require.Equal(t, 9.0, lines[0]["bytes"])
	require.Equal(t, "closed_by_stop", lines[0]["cause"])
	require.Equal(t, true, lines[0]["draining"])
}

// lastMinuteListener accepts one connection, after it was closed.
type lastMinuteListener struct {
	net.Listener
	conn   chan net.Conn
	closed chan struct{}
}

func (l *lastMinuteListener) Accept() (net.Conn, error) {
	<-l.closed
	nc, ok := <-l.conn
	if !ok {
		return nil, net.ErrClosed
	}
	return nc, nil
}

func (l *lastMinuteListener) Close() error { close(l.closed); return nil }

// Guards against a stop that ends while a connection is being accepted.
func TestStopAnswersConnectionAcceptedAsTheListenerCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{settings: Settings{VM: "a"}, log: declog.New(io.Discard, "a"), metrics: metric.New(), grpc: grpc.NewServer(), peers: peer.NewPool(nil, nil)}
		b := DefaultBounds()
		n.activeBounds.Store(&b)
		n.forward = forward.New(forward.Config{})
		n.lease = newLeaseManager(memstore.New(), "lease", leader.Identity{VM: "a"}, func() leader.Candidacy { return leader.Candidacy{} }, func(topo.Term) int { return 0 }, n.log, func() bool { return false })
		n.ingress = ingress.NewServer(ingress.Headers{}, func(context.Context, *ingress.Request) *ingress.Response {
			return &ingress.Response{Status: 200}
		}, func() ingress.Limits { return ingress.Limits{} })
		lis := &lastMinuteListener{conn: make(chan net.Conn), closed: make(chan struct{})}
		network := memnet.New()
		var err error
		n.callerLis = lis
		n.readyLis, err = network.Host("a").Listen("tcp", "a:2")
		require.NoError(t, err)
		n.metricsLis, err = network.Host("a").Listen("tcp", "a:4")
		require.NoError(t, err)
		go func() { _ = n.ingress.Serve(lis) }()
		client, server := net.Pipe()
		answered := make(chan int, 1)
		go func() {
			<-lis.closed
			time.Sleep(time.Millisecond)
			lis.conn <- server
			close(lis.conn)
			_, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil {
				answered <- 0
				return
			}
			answered <- resp.StatusCode
		}()
		n.stop(t.Context())
		select {
		case status := <-answered:
			require.Equal(t, 200, status)
		default:
			t.Fatal("stop ended before the accepted connection was answered")
		}
	})
}
