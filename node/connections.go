package node

import (
	"container/list"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/accept"
	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/ingress"
)

// connLogInterval is the interval between two log lines with the numbers of open
// connections.
const connLogInterval = 10 * time.Second

// acceptTolerance is how long a VM may be unable to accept connections before it says
// that it is not ready.
const acceptTolerance = 300 * time.Millisecond

const (
	// platformFiles is the number of descriptors that the platform reserves, and
	// ownFiles what the process needs for its listeners, the store and probes.
	platformFiles, ownFiles = 200, 64
	// filesPerVM are the connections to and from another VM.
	filesPerVM = 2
	// serverShare is the fraction of the other descriptors that is kept for
	// connections to servers, and serverGrowth the fraction by which their number
	// may grow between two calls of updateCallerBound.
	serverShare, serverGrowth = 0.25, 0.125
	// minCallerBound is the least bound of callers' connections.
	minCallerBound = 16
)

// callerBound returns how many callers' connections may be open, 0 for any number, so
// that descriptors are left for all other connections.
func callerBound(maxFiles, vms, toServers int) int {
	if maxFiles <= 0 {
		return 0
	}
	rest := float64(maxFiles - platformFiles - ownFiles - filesPerVM*vms)
	servers := max(serverShare*rest, float64(toServers)+serverGrowth*rest)
	return max(minCallerBound, int(rest-servers))
}

// connMemoryShare is the part of the memory budget that callers' connections may take
// before anything is sent on them. Below the bound, the one that has been idle longest is
// closed for a new one; without memory, new ones are refused.
const connMemoryShare = 0.6

func (n *Node) updateCallerBound() {
	open, _ := n.egress.Connections()
	vms := len(n.view.Snapshot().Members)
	n.knownVMs.Store(int64(vms))
	bound := callerBound(n.settings.MaxFiles, vms, open)
	n.callerBound.Store(int64(boundByMemory(bound, n.memory.Limit())))
}

// boundByMemory returns the lower of a bound of callers' connections, 0 for none, and
// that of a memory budget.
func boundByMemory(bound int, budget int64) int {
	if budget == 0 {
		return bound
	}
	most := max(minCallerBound, int(connMemoryShare*float64(budget)/ingress.ConnBytes))
	if bound == 0 {
		return most
	}
	return min(bound, most)
}

const (
	// peerConnsPerVM bounds the connections from other VMs: each opens one, and a second
	// one while the first is being replaced.
	peerConnsPerVM = 3
	// peerFileShare is the fraction of the descriptors that they may take, and
	// minPeerConns their number, before the members are known: all VMs call a new
	// leader at once.
	peerFileShare, minPeerConns = 0.25, 1024
)

// peerBound returns how many connections from other VMs may be open.
func (n *Node) peerBound() int { return peerBound(n.settings.MaxFiles, int(n.knownVMs.Load())) }

func peerBound(maxFiles, vms int) int {
	unknown := minPeerConns
	if maxFiles > 0 {
		unknown = min(unknown, int(peerFileShare*float64(maxFiles)))
	}
	return max(unknown, peerConnsPerVM*vms)
}

// openFilesDir has an entry for each open file descriptor of the process.
const openFilesDir = "/proc/self/fd"

// countingListener counts the connections that it accepted and that are open. If there
// are more than most, unless that is 0, it closes the oldest one.
type countingListener struct {
	net.Listener
	open atomic.Int64
	most int
	// bound, unless nil, returns how many connections may be open; further ones are
	// closed at once.
	bound func() int

	mu sync.Mutex
	// oldest holds the open connections in the order in which they were accepted.
	oldest list.List
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for l.bound != nil && l.open.Load() >= int64(l.bound()) {
		_ = nc.Close()
		if nc, err = l.Listener.Accept(); err != nil {
			return nil, err
		}
	}
	l.open.Add(1)
	if l.most == 0 {
		return &countedConn{Conn: nc, closed: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
	}
	c := &countedConn{Conn: nc}
	l.mu.Lock()
	element := l.oldest.PushBack(c)
	var excess *countedConn
	if l.oldest.Len() > l.most {
		excess = l.oldest.Front().Value.(*countedConn)
	}
	c.closed = sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.oldest.Remove(element)
		l.open.Add(-1)
	})
	l.mu.Unlock()
	if excess != nil {
		_ = excess.Close()
	}
	return c, nil
}

type countedConn struct {
	net.Conn
	closed func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// connCounts are the numbers of open connections by the other end.
type connCounts struct {
	// callers are callers' connections. serversBusy carry a request to a server
	// or are being opened; serversIdle wait for one.
	callers, serversBusy, serversIdle int
	// fromVMs were opened by other VMs, toVMs by this one.
	fromVMs, toVMs int
	// probes are connections to the ready and metrics addresses.
	probes int
}

func (n *Node) connCounts() connCounts {
	open, idle := n.egress.Connections()
	c := connCounts{callers: n.ingress.OpenConnections(), serversBusy: open - idle, serversIdle: idle, toVMs: int(n.peers.Traffic.Connections.Load())}
	c.fromVMs = acceptedOpen(n.peerLis)
	c.probes = acceptedOpen(n.readyLis) + acceptedOpen(n.metricsLis)
	return c
}

func acceptedOpen(lis net.Listener) int {
	if l, ok := lis.(*countingListener); ok {
		return int(l.open.Load())
	}
	return 0
}

// openFiles returns the number of open file descriptors of the process, -1 if it
// cannot be read, for example since none is free.
func openFiles() int {
	entries, err := os.ReadDir(openFilesDir)
	if err != nil {
		return -1
	}
	return len(entries)
}

func (n *Node) registerConnGauges() {
	for name, read := range map[string]func(connCounts) int{
		"caller_connections":      func(c connCounts) int { return c.callers },
		"server_connections_busy": func(c connCounts) int { return c.serversBusy },
		"server_connections_idle": func(c connCounts) int { return c.serversIdle },
		"vm_connections_accepted": func(c connCounts) int { return c.fromVMs },
		"vm_connections_opened":   func(c connCounts) int { return c.toVMs },
		"probe_connections":       func(c connCounts) int { return c.probes },
	} {
		n.metrics.Gauge(name, func() float64 { return float64(read(n.connCounts())) })
	}
	n.metrics.Gauge("caller_connections_bound", func() float64 { return float64(n.callerBound.Load()) })
	n.metrics.Gauge("open_files", func() float64 { return float64(openFiles()) })
}

// wrapListeners makes the listeners report when accepting fails, and count
// connections where nothing else does.
func (n *Node) wrapListeners() {
	n.callerLis = accept.New(n.callerLis, n.acceptReport("callers"))
	n.peerLis = &countingListener{Listener: accept.New(n.peerLis, n.acceptReport("peers")), bound: n.peerBound}
	n.readyLis = &countingListener{Listener: accept.New(n.readyLis, n.acceptReport("ready")), most: maxProbeConns}
	n.metricsLis = &countingListener{Listener: accept.New(n.metricsLis, n.acceptReport("metrics")), most: maxProbeConns}
}

// acceptReport returns a function that logs the changes of a listener.
func (n *Node) acceptReport(listener string) func(accept.Change) {
	return func(c accept.Change) {
		if c.Err == nil {
			n.log.Event("accept_works").Str("listener", listener).Int("failures", c.Failures).Dur("after_ms", c.After).Send()
			return
		}
		n.metrics.Count("accept_failures", "listener", listener)
		n.logConnections("accept_fails", func(e *zerolog.Event) { e.Str("listener", listener).Err(c.Err) })
	}
}

// logConnections logs the numbers of open connections and the fields that add adds.
func (n *Node) logConnections(event string, add func(*zerolog.Event)) {
	e := n.log.Event(event)
	if e == nil {
		return
	}
	c := n.connCounts()
	add(e.Int("callers", c.callers).Int("servers_busy", c.serversBusy).Int("servers_idle", c.serversIdle).
		Int("from_vms", c.fromVMs).Int("to_vms", c.toVMs).Int("probes", c.probes).
		Int("open_files", openFiles()).Int("max_files", n.settings.MaxFiles))
	e.Send()
}

// connLog logs the numbers of open connections from time to time. Only one goroutine
// may use it.
type connLog struct{ last time.Time }

func (l *connLog) tick(n *Node) {
	if now := clock.Boot(); now.Sub(l.last) >= connLogInterval {
		l.last = now
		n.logConnections("connections", func(*zerolog.Event) {})
	}
}
