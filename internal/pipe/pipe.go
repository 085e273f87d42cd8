// Package pipe provides in-memory network connections for tests. Unlike sockets
// they work inside a testing/synctest bubble.
package pipe

import (
	"context"
	"net"
	"sync"
)

// Listener is an in-memory net.Listener. It accepts the connections that its Dial
// method opens.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Listen returns an open listener.
func Listen() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial opens a connection to the listener and waits until Accept takes it. It
// ignores network and address. It returns net.ErrClosed if the listener is closed
// and the error of ctx if that ends first.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	clientSide, serverSide := net.Pipe()
	select {
	case l.conns <- serverSide:
		return clientSide, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener. It returns net.ErrClosed after Close.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Accepted connections stay open, and further calls
// of Close have no effect.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return addr{} }

type addr struct{}

// Network implements net.Addr.
func (addr) Network() string { return "pipe" }

// String implements net.Addr.
func (addr) String() string { return "pipe" }
