package peer

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Guards against a connection between VMs that stays when the other VM has fallen silent:
// calls go on failing on it after the link works again. The other side takes no bytes here.
func TestSilentConnectionsEnd(t *testing.T) {
	lis, err := ListenTCP(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = lis.Close() }()
	dialed, err := DialTCP(t.Context(), "tcp", lis.Addr().String())
	require.NoError(t, err)
	defer func() { _ = dialed.Close() }()
	accepted, err := lis.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	for name, nc := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		raw, err := nc.(*net.TCPConn).SyscallConn()
		require.NoError(t, err)
		ms := 0
		require.NoError(t, raw.Control(func(fd uintptr) { ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }))
		require.NoError(t, err)
		require.Equal(t, userTimeout, time.Duration(ms)*time.Millisecond, name)
	}
	require.NoError(t, dialed.SetWriteDeadline(time.Now().Add(time.Minute)))
	for err == nil {
		_, err = dialed.Write(make([]byte, 1<<20))
	}
	require.ErrorIs(t, err, unix.ETIMEDOUT, "the system ends the connection, not the deadline")
}
