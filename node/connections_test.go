package node

import (
	"bytes"
	"context"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/egress"
	"godwitlock.example/godwitlock/ingress"
	"godwitlock.example/godwitlock/internal/knownred"
	"godwitlock.example/godwitlock/internal/pipe"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// failNTimes fails the given number of calls of Accept.
type failNTimes struct {
	net.Listener
	left int
}

func (l *failNTimes) Accept() (net.Conn, error) {
	if l.left--; l.left >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against descriptors that run out without a sign of whose connections hold
// them.
func TestLogAndMetricsTellWhoseConnectionsAreOpen(t *testing.T) {
	knownred.Skip(t)
	n, out := stoppableNode(t, func(context.Context, *ingress.Request) *ingress.Response {
		return &ingress.Response{Status: 200}
	})
	n.settings.MaxFiles = 4100
	n.egress = egress.New(egress.Headers{
		RequestID: "Request-Id", DeadlineMS: "Deadline-Ms", Customer: "Customer", ExpectServer: "Expect-Server", NotRun: "Not-Run", Seal: "Seal",
	})
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	n.peerLis = &failNTimes{peers, 1}
	defer func() { _ = n.callerLis.Close() }()
	require.Eventually(t, n.ingress.Accepting, 5*time.Second, time.Millisecond)
	n.wrapListeners()
	n.registerConnGauges()

	addr, received := silentServer(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		_, err := n.egress.Do(ctx, egress.Target{Incarnation: topo.Incarnation{Server: "s"}, Addr: addr}, &egress.Request{
			Method: "GET", URI: "/", Host: "h", Deadline: time.Now().Add(time.Minute),
		})
		failed <- err
	}()
	select {
	case <-received:
	case err := <-failed:
		t.Fatalf("request ended before the server received it: %v", err)
	}
	for _, to := range []string{n.callerLis.Addr().String(), peers.Addr().String()} {
		nc, err := net.Dial("tcp", to)
		require.NoError(t, err)
		defer func() { _ = nc.Close() }()
	}
	require.Eventually(t, func() bool { return n.ingress.OpenConnections() == 1 }, 5*time.Second, time.Millisecond)
	_, err = n.peerLis.Accept()
	if err != nil {
		_, err = n.peerLis.Accept()
	}
	require.NoError(t, err)

	var metrics bytes.Buffer
	n.metrics.Write(&metrics)
	for _, line := range []string{
		"godwitlock_caller_connections 1", "godwitlock_server_connections_busy 1", "godwitlock_server_connections_idle 0",
		"godwitlock_vm_connections_accepted 1", "godwitlock_vm_connections_opened 0", "godwitlock_probe_connections 0",
		`godwitlock_accept_failures_total{listener="peers"} 1`,
	} {
		require.Contains(t, strings.Split(metrics.String(), "\n"), line)
	}
	fails := logLines(t, n.log, out, "accept_fails")
	require.Len(t, fails, 1)
	require.Equal(t, "peers", fails[0]["listener"])
	require.Contains(t, fails[0]["error"], "too many open files")
	require.Equal(t, []any{1.0, 1.0, 0.0, 0.0, 4100.0}, []any{
		fails[0]["callers"], fails[0]["servers_busy"], fails[0]["servers_idle"], fails[0]["from_vms"], fails[0]["max_files"],
	})
	require.Greater(t, fails[0]["open_files"], 5.0)
	works := logLines(t, n.log, out, "accept_works")
	require.Len(t, works, 1)
	require.Equal(t, 1.0, works[0]["failures"])

	(&connLog{}).tick(n)
	require.Equal(t, 1.0, logLines(t, n.log, out, "connections")[0]["from_vms"])
}

// Guards against a VM that says ready while it accepts no connection, and against
// one that never says so again.
func TestReadyOnlyWhileAccepting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{view: view.New(), ingress: ingress.NewServer(ingress.Headers{}, nil, nil)}
		b := DefaultBounds()
		n.activeBounds.Store(&b)
		require.True(t, n.view.SetConfig(&routemap.Map{}, nil, 1))
		ready := func() bool { n.view.Confirm(bootNow()); return n.ready() }
		time.Sleep(acceptTolerance)
		require.False(t, ready(), "the accept loop does not run")

		lis := &switchListener{Listener: pipe.Listen()}
		go func() { _ = n.ingress.Serve(lis) }()
		synctest.Wait()
		require.True(t, ready())

		lis.broken.Store(true)
		_, err := lis.Listener.(*pipe.Listener).Dial(t.Context(), "", "")
		require.NoError(t, err)
		synctest.Wait()
		require.True(t, ready(), "a short failure does not count")
		time.Sleep(acceptTolerance)
		require.False(t, ready(), "accepting fails")

		lis.broken.Store(false)
		time.Sleep(time.Second)
		require.True(t, ready(), "accepting works, and no connection has arrived")

		_ = lis.Close()
		synctest.Wait()
		time.Sleep(acceptTolerance)
		require.False(t, ready(), "the accept loop has ended")
	})
}

// switchListener fails to accept while broken is set.
type switchListener struct {
	net.Listener
	broken atomic.Bool
}

func (l *switchListener) Accept() (net.Conn, error) {
	if l.broken.Load() {
		return nil, os.NewSyscallError("accept4", syscall.EMFILE)
	}
	nc, err := l.Listener.Accept()
	if l.broken.Load() && err == nil {
		_ = nc.Close()
		return nil, os.NewSyscallError("accept4", syscall.EMFILE)
	}
	return nc, err
}

// Guards against callers' connections that leave no descriptor for the store, VMs
// and servers.
func TestCallersLeaveDescriptorsForOthers(t *testing.T) {
	require.Zero(t, callerBound(0, 10, 0), "no limit")
	for _, vms := range []int{1, 10, 195} {
		for _, servers := range []int{0, 100, 1000, 2000} {
			callers := callerBound(4100, vms, servers)
			require.GreaterOrEqual(t, callers, 500)
			require.LessOrEqual(t, callers+servers+filesPerVM*vms+platformFiles+ownFiles, 4100-300)
		}
	}
	require.Equal(t, minCallerBound, callerBound(100, 10, 0))
}

// Guards against connections to the ready and metrics addresses that take the memory and
// the descriptors of others, and against a probe that finds no room.
func TestNewProbeClosesTheOldestConnection(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = lis.Close() }()
	counting := &countingListener{Listener: lis, most: 2}
	var accepted, dialled []net.Conn
	for range 4 {
		nc, err := net.Dial("tcp", lis.Addr().String())
		require.NoError(t, err)
		dialled = append(dialled, nc)
		server, err := counting.Accept()
		require.NoError(t, err)
		accepted = append(accepted, server)
	}
	require.EqualValues(t, 2, counting.open.Load())
	for i, server := range accepted {
		_, err := server.Write([]byte("x"))
		require.Equal(t, i < 2, err != nil, "connection %d", i)
		require.NoError(t, dialled[i].Close())
		_ = server.Close()
		_ = server.Close()
	}
	require.Zero(t, counting.open.Load())
}

// Guards against so many idle connections that no memory is left for requests.
func TestBoundOfConnectionsByMemory(t *testing.T) {
	require.Equal(t, 2000, boundByMemory(2000, 0))
	require.Equal(t, 1000, boundByMemory(1000, 1<<30))
	require.Equal(t, 600, boundByMemory(1000, 1000*ingress.ConnBytes))
	require.Equal(t, 600, boundByMemory(0, 1000*ingress.ConnBytes))
	require.Equal(t, minCallerBound, boundByMemory(1000, 1))
}

// Guards against VMs that a new leader refuses before it knows them.
func TestBoundOfConnectionsOfVMs(t *testing.T) {
	require.Equal(t, 768, peerBound(3075, 0))
	require.Equal(t, 1024, peerBound(0, 69))
	require.Equal(t, 1200, peerBound(3075, 400))
}

// Guards against connections to the address for other VMs that take all descriptors.
func TestConnectionsOfVMsAreBounded(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	counting := &countingListener{Listener: lis, bound: func() int { return 2 }}
	accepted := make(chan net.Conn, 10)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			nc, err := counting.Accept()
			if err != nil {
				return
			}
			accepted <- nc
		}
	}()
	first, err := net.Dial("tcp", lis.Addr().String())
	require.NoError(t, err)
	held := <-accepted
	second, err := net.Dial("tcp", lis.Addr().String())
	require.NoError(t, err)
	<-accepted
	third, err := net.Dial("tcp", lis.Addr().String())
	require.NoError(t, err)
	_, err = third.Read(make([]byte, 1))
	require.Error(t, err, "closed at once")
	require.NoError(t, held.Close())
	fourth, err := net.Dial("tcp", lis.Addr().String())
	require.NoError(t, err)
	<-accepted
	for _, nc := range []net.Conn{first, second, third, fourth} {
		_ = nc.Close()
	}
	_ = lis.Close()
	<-done
}
