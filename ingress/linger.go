package ingress

import (
	"bufio"
	"bytes"
	"io"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// linger closes the connection without a reset, which could destroy responses
// that the caller has not read yet. It returns the IDs of the requests that arrive
// meanwhile, as far as their heads are complete, and the number of bytes that were
// received and left unread.
func (c *conn) linger() (ids []string, unread int64) {
	defer func() { _ = c.nc.Close() }()
	if c.reset.Load() {
		return nil, 0
	}
	nc, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || nc.CloseWrite() != nil {
		return nil, 0
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	if !c.state.hasEnded() {
		return c.awaitCloseUnread()
	}
	ids = c.discardRequests(c.br)
	rest := io.Reader(c.limited)
	if c.restIsBody {
		// A handler that left the body half read may still use the other readers.
		rest = c.nc
	}
	_, _ = io.Copy(io.Discard, rest)
	return ids, 0
}

// awaitCloseUnread waits, until the read deadline, for the caller to close its side
// of a connection that was closed while it was idle. It reads nothing, so that a
// request which crosses the close is reset: its caller then knows that it was
// not read, and sends it again even if it must not run twice.
func (c *conn) awaitCloseUnread() (ids []string, unread int64) {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return nil, 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, 0
	}
	received, n := make([]byte, bufferBytes), 0
	_ = raw.Read(func(fd uintptr) bool {
		m, _, err := unix.Recvfrom(int(fd), received, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err == nil && m > 0 {
			n = m
			return false
		}
		return err != unix.EAGAIN && err != unix.EINTR
	})
	return c.discardRequests(bufio.NewReader(bytes.NewReader(received[:n]))), int64(n)
}
