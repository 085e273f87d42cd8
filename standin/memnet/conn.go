package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// windowBytes is the maximum number of bytes in flight in one direction of a
// connection.
const windowBytes = 256 << 10

// segment holds bytes that were sent together and the time of their arrival.
type segment struct {
	data    []byte
	arrival time.Time
}

// stream is the receive buffer of one end of a connection.
type stream struct {
	// cond wakes the reader and the writer of this end. Its lock is the mu
	// of the network.
	cond     *sync.Cond
	segments []segment
	buffered int
	// eof is true once the other end has been closed.
	eof bool
}

// conn is one end of a connection. The mu of the network guards it.
type conn struct {
	net           *Network
	host          string
	local, remote address
	peer          *conn
	in            stream
	closed        bool
	broken        bool
	readDeadline  deadline
	writeDeadline deadline
}

func newConn(n *Network, host string, local, remote address) *conn {
	c := &conn{net: n, host: host, local: local, remote: remote}
	c.in.cond = sync.NewCond(&n.mu)
	return c
}

// deadline is the deadline of the reads or writes of one end. A zero time means
// none.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) expired() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

// set sets the deadline and wakes cond when the deadline expires.
func (d *deadline) set(at time.Time, cond *sync.Cond) {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = at
	if !at.IsZero() {
		d.timer = time.AfterFunc(time.Until(at), cond.Broadcast)
	}
	cond.Broadcast()
}

// usable returns an error if the end is closed or reset, or if d has expired.
// The caller holds n.mu.
func (c *conn) usable(d *deadline) error {
	switch {
	case c.closed:
		return net.ErrClosed
	case c.broken:
		return syscall.ECONNRESET
	case d.expired():
		return os.ErrDeadlineExceeded
	}
	return nil
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	for {
		if err := c.usable(&c.readDeadline); err != nil {
			return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.remote, Err: err}
		}
		if len(p) == 0 {
			return 0, nil
		}
		if c.net.reachable(link{c.peer.host, c.host}) {
			if n := c.in.readArrived(p); n > 0 {
				c.peer.in.cond.Broadcast()
				return n, nil
			}
			if len(c.in.segments) == 0 && c.in.eof {
				return 0, io.EOF
			}
		}
		c.in.cond.Wait()
	}
}

// readArrived moves bytes that have arrived into p and returns their number.
func (s *stream) readArrived(p []byte) int {
	n := 0
	for n < len(p) && len(s.segments) > 0 && !time.Now().Before(s.segments[0].arrival) {
		seg := &s.segments[0]
		k := copy(p[n:], seg.data)
		n += k
		if seg.data = seg.data[k:]; len(seg.data) == 0 {
			s.segments = s.segments[1:]
		}
	}
	s.buffered -= n
	return n
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	written := 0
	for written < len(p) {
		err := c.usable(&c.writeDeadline)
		if err == nil && c.peer.closed {
			err = syscall.EPIPE
		}
		if err != nil {
			return written, &net.OpError{Op: "write", Net: "tcp", Addr: c.remote, Err: err}
		}
		if room := windowBytes - c.peer.in.buffered; room > 0 {
			written += c.send(p[written:min(len(p), written+room)])
			continue
		}
		// A Read at the other end signals this condition after it has
		// freed space in the window.
		c.in.cond.Wait()
	}
	return written, nil
}

func (c *conn) send(p []byte) int {
	l := link{c.host, c.peer.host}
	delay := c.net.delays[l]
	dst := &c.peer.in
	dst.segments = append(dst.segments, segment{data: append([]byte(nil), p...), arrival: time.Now().Add(delay)})
	dst.buffered += len(p)
	c.net.sent[l] += uint64(len(p))
	if delay > 0 {
		time.AfterFunc(delay, dst.cond.Broadcast)
	} else {
		dst.cond.Broadcast()
	}
	return len(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	c.peer.in.eof = true
	c.deregister()
	c.peer.in.cond.Broadcast()
	return nil
}

// reset breaks both ends at once. The caller holds n.mu.
func (c *conn) reset() {
	for _, end := range []*conn{c, c.peer} {
		end.broken = true
		end.deregister()
	}
}

// deregister removes an end that is no longer used from the network and stops
// its timers. The caller holds n.mu.
func (c *conn) deregister() {
	delete(c.net.conns, c)
	c.readDeadline.set(time.Time{}, c.in.cond)
	c.writeDeadline.set(time.Time{}, c.in.cond)
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.readDeadline.set(t, c.in.cond)
	c.writeDeadline.set(t, c.in.cond)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.readDeadline.set(t, c.in.cond)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.writeDeadline.set(t, c.in.cond)
	return nil
}
