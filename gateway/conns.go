package gateway

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/membudget"
)

// The states of a trackedConn.
const (
	connIdle uint32 = iota
	// connReading: bytes were received, and no handler runs for them yet.
	connReading
	// connHandling: a handler runs.
	connHandling
	// connHTTP2: the connection uses HTTP/2, where net/http lets the requests being
	// read finish.
	connHTTP2
	// connClosed: the connection was closed while it was idle.
	connClosed
)

// trackedConn knows whether a request is being read. net/http treats a connection
// as idle until the head of its next request is complete.
type trackedConn struct {
	net.Conn
	tracker *connTracker
	state   atomic.Uint32
	// charged is what is accounted for the head that is being read.
	charged atomic.Int64
}

const (
	// connBytes is what a connection holds: the buffers and the stack of net/http.
	connBytes = 24 << 10
	// headFactor is how many times its text a head may take that net/http parses while
	// it arrives: 144 bytes for a field of 6 bytes.
	headFactor = 24
)

// errNoMemory ends a connection whose head does not fit into the memory budget. Its
// request has not run.
var errNoMemory = errors.New("no memory for the head of a request")

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.state.CompareAndSwap(connIdle, connReading)
	}
	if n > 0 && c.state.Load() == connReading && c.tracker.memory != nil {
		if !c.tracker.memory.Take(membudget.Heads, membudget.NewHead, int64(headFactor*n)) {
			return 0, errNoMemory
		}
		c.charged.Add(int64(headFactor * n))
	}
	return n, err
}

// uncharge gives back what was accounted for the head.
func (c *trackedConn) uncharge() { c.tracker.memory.Give(membudget.Heads, c.charged.Swap(0)) }

// connTracker holds the listeners and the open connections of a Gateway.
type connTracker struct {
	mu        sync.Mutex
	listeners []*trackedListener
	conns     map[*trackedConn]struct{}
	// memory, unless nil, accounts for the connections and their heads.
	memory *membudget.Budget
}

// trackedListener accepts connections of a connTracker. It may be closed more than
// once: by Shutdown of the Gateway and of its http.Server.
type trackedListener struct {
	net.Listener
	tracker *connTracker
	close   func() error
}

// Close implements net.Listener.
func (l *trackedListener) Close() error { return l.close() }

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	for err == nil && !l.tracker.memory.Take(membudget.Connections, membudget.NewConnection, connBytes) {
		_ = nc.Close()
		nc, err = l.Listener.Accept()
	}
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: nc, tracker: l.tracker}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	l.tracker.conns[c] = struct{}{}
	return c, nil
}

// listen returns a listener whose connections are tracked.
func (t *connTracker) listen(l net.Listener) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := &trackedListener{Listener: l, tracker: t, close: sync.OnceValue(l.Close)}
	t.listeners = append(t.listeners, tracked)
	return tracked
}

func (t *connTracker) closeListeners() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.listeners {
		_ = l.Close()
	}
}

func (t *connTracker) remove(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.conns[c]; open {
		delete(t.conns, c)
		c.uncharge()
		t.memory.Give(membudget.Connections, connBytes)
	}
}

// closeIdle closes the idle connections and returns the number of connections on
// which a request is being read.
func (t *connTracker) closeIdle() (reading int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if c.state.CompareAndSwap(connIdle, connClosed) {
			_ = c.Close()
		}
		if c.state.Load() == connReading {
			reading++
		}
	}
	return reading
}

// trackedOf returns the trackedConn under a connection of net/http, nil if there is
// none.
func trackedOf(nc net.Conn) *trackedConn {
	if c, ok := nc.(*tls.Conn); ok {
		nc = c.NetConn()
	}
	if c, ok := nc.(*plainConn); ok {
		nc = c.Conn
	}
	c, _ := nc.(*trackedConn)
	return c
}

// trackedKey is the context key of a request's trackedConn.
type trackedKey struct{}

func withTracked(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, trackedKey{}, trackedOf(nc))
}

// beginHandling records that a handler runs for a request.
func beginHandling(r *http.Request) {
	c, _ := r.Context().Value(trackedKey{}).(*trackedConn)
	if c != nil {
		c.uncharge()
	}
	switch {
	case c == nil:
	case r.ProtoMajor == 2:
		c.state.Store(connHTTP2)
	default:
		c.state.Store(connHandling)
	}
}
