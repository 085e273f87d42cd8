package peer

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is how long bytes of a connection between VMs may stay unacknowledged until
// the system ends the connection. A call on a new connection succeeds as soon as the link
// works again, while the system sends bytes of the old one again at growing intervals, up to
// seconds after that.
const userTimeout = 1500 * time.Millisecond

// DialTCP opens a connection to another VM that ends when the VM falls silent.
func DialTCP(ctx context.Context, network, addr string) (net.Conn, error) {
	return (&net.Dialer{Control: setUserTimeout}).DialContext(ctx, network, addr)
}

// ListenTCP opens a listener for other VMs. Its connections end when the VM falls silent,
// because they take over the options of the listener.
func ListenTCP(ctx context.Context, addr string) (net.Listener, error) {
	return (&net.ListenConfig{Control: setUserTimeout}).Listen(ctx, "tcp", addr)
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	if err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	}); err != nil {
		return err
	}
	return optErr
}
