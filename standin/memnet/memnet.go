// Package memnet is an in-memory network: listeners and connections between
// named hosts, with delays, partitions, paused hosts and crashes. It carries
// the real protocols of the daemons in tests that use the fake clock of a
// testing/synctest bubble.
//
// A partition loses no bytes. As with TCP, they arrive after the partition has
// healed.
package memnet

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// firstFreePort is the first port given to listeners that ask for port 0.
const firstFreePort = 40_000

// backlog is the maximum number of connections that wait in a listener to be
// accepted.
const backlog = 256

// link is one direction of the path between two hosts.
type link struct{ from, to string }

// Network is an in-memory network. It is safe for concurrent use.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	conns       map[*conn]struct{}
	delays      map[link]time.Duration
	partitioned map[link]bool
	isolated    map[string]bool
	paused      map[string]bool
	killed      map[string]bool
	sent        map[link]uint64
	nextPort    int
	// changed is closed when a fault changes, to wake blocked dials.
	changed chan struct{}
}

// New returns a network without faults. Hosts need not be declared.
func New() *Network {
	return &Network{
		listeners: make(map[string]*listener), conns: make(map[*conn]struct{}),
		delays: make(map[link]time.Duration), partitioned: make(map[link]bool),
		isolated: make(map[string]bool), paused: make(map[string]bool), killed: make(map[string]bool), sent: make(map[link]uint64),
		nextPort: firstFreePort, changed: make(chan struct{}),
	}
}

// Host is a named host on a network.
type Host struct {
	net  *Network
	name string
}

// Host returns the host with the given name.
func (n *Network) Host(name string) *Host { return &Host{net: n, name: name} }

// change applies a fault and wakes all blocked reads, writes and dials.
func (n *Network) change(apply func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply()
	close(n.changed)
	n.changed = make(chan struct{})
	for c := range n.conns {
		c.in.cond.Broadcast()
	}
}

// SetDelay sets the one-way delay between two hosts, in both directions.
func (n *Network) SetDelay(a, b string, d time.Duration) {
	n.change(func() { n.delays[link{a, b}], n.delays[link{b, a}] = d, d })
}

// Partition blocks all bytes between two hosts until Heal.
func (n *Network) Partition(a, b string) {
	n.change(func() { n.partitioned[link{a, b}], n.partitioned[link{b, a}] = true, true })
}

// Isolate blocks all bytes between a host and all others until Heal.
func (n *Network) Isolate(host string) { n.change(func() { n.isolated[host] = true }) }

// Heal ends all partitions and isolations.
func (n *Network) Heal() {
	n.change(func() { clear(n.partitioned); clear(n.isolated) })
}

// Pause blocks all bytes to and from a host until Resume, including bytes that
// it sends to itself.
func (n *Network) Pause(host string) { n.change(func() { n.paused[host] = true }) }

// Resume ends the pause of a host.
func (n *Network) Resume(host string) { n.change(func() { delete(n.paused, host) }) }

// Kill resets all connections of a host and closes its listeners. The host
// cannot listen or dial again until Revive.
func (n *Network) Kill(host string) {
	n.change(func() {
		n.killed[host] = true
		for addr, l := range n.listeners {
			if l.host == host {
				delete(n.listeners, addr)
				l.close()
			}
		}
		for c := range n.conns {
			if c.host == host || c.peer.host == host {
				c.reset()
			}
		}
	})
}

// Revive lets a killed host listen and dial again.
func (n *Network) Revive(host string) { n.change(func() { delete(n.killed, host) }) }

// Sent returns the number of bytes written so far from one host to another.
func (n *Network) Sent(from, to string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[link{from, to}]
}

// reachable reports whether bytes flow on l. The caller holds n.mu.
func (n *Network) reachable(l link) bool {
	if n.paused[l.from] || n.paused[l.to] || n.partitioned[l] {
		return false
	}
	return l.from == l.to || !n.isolated[l.from] && !n.isolated[l.to]
}

// Listen listens on addr, of the form host:port. Port 0 means a free port.
func (h *Host) Listen(_, addr string) (net.Listener, error) {
	ip, port, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if port == "0" {
		addr = net.JoinHostPort(ip, strconv.Itoa(n.nextPort))
		n.nextPort++
	}
	if n.killed[h.name] {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: address(addr), Err: syscall.ENETDOWN}
	}
	if n.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: address(addr), Err: syscall.EADDRINUSE}
	}
	l := &listener{net: n, host: h.name, addr: address(addr), queue: make(chan *conn, backlog), done: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to a listener. It blocks until the hosts can reach each other
// or ctx ends.
func (h *Host) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n := h.net
	for {
		n.mu.Lock()
		l := n.listeners[addr]
		if l == nil || n.killed[h.name] {
			n.mu.Unlock()
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: address(addr), Err: syscall.ECONNREFUSED}
		}
		changed, forward := n.changed, link{h.name, l.host}
		if n.reachable(forward) && n.reachable(link{l.host, h.name}) {
			roundTrip := 2 * n.delays[forward]
			n.mu.Unlock()
			if !sleep(ctx, roundTrip) {
				return nil, ctx.Err()
			}
			return n.connect(h.name, l)
		}
		n.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d == 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (n *Network) connect(from string, l *listener) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "tcp", Addr: l.addr, Err: syscall.ECONNREFUSED}
	if l.closed || n.killed[from] {
		return nil, refused
	}
	callerAddr := address(net.JoinHostPort(from, strconv.Itoa(n.nextPort)))
	n.nextPort++
	a := newConn(n, from, callerAddr, l.addr)
	b := newConn(n, l.host, l.addr, callerAddr)
	a.peer, b.peer = b, a
	select {
	case l.queue <- b:
	default:
		return nil, refused
	}
	n.conns[a], n.conns[b] = struct{}{}, struct{}{}
	return a, nil
}

// address is a net.Addr.
type address string

// Network implements net.Addr.
func (address) Network() string { return "tcp" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

type listener struct {
	net    *Network
	host   string
	addr   address
	queue  chan *conn
	done   chan struct{}
	closed bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.listeners[string(l.addr)] == l {
		delete(l.net.listeners, string(l.addr))
	}
	l.close()
	return nil
}

// close closes the listener and resets the connections not yet accepted. The
// caller holds the mu of the network.
func (l *listener) close() {
	if l.closed {
		return
	}
	l.closed = true
	close(l.done)
	for {
		select {
		case c := <-l.queue:
			c.reset()
		default:
			return
		}
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.addr }
