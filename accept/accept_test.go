package accept

import (
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// scripted returns the results of its steps in turn, and then net.ErrClosed.
type scripted struct {
	net.Listener
	steps []func() (net.Conn, error)
}

func (s *scripted) Accept() (net.Conn, error) {
	if len(s.steps) == 0 {
		return nil, &net.OpError{Op: "accept", Err: net.ErrClosed}
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step()
}

func fail(errno syscall.Errno) func() (net.Conn, error) {
	return func() (net.Conn, error) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
	}
}

func succeed() (net.Conn, error) { return &net.TCPConn{}, nil }

// Guards against a VM that cannot accept connections and leaves no sign of that.
func TestFailuresOfAcceptAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var changes []Change
		l := New(&scripted{steps: []func() (net.Conn, error){succeed, fail(syscall.EMFILE), fail(syscall.ENFILE), succeed}},
			func(c Change) { changes = append(changes, c) })
		_, _ = l.Accept()
		require.Zero(t, l.FailingFor())
		_, _ = l.Accept()
		time.Sleep(time.Second)
		require.GreaterOrEqual(t, l.FailingFor(), time.Second)
		_, _ = l.Accept()
		_, _ = l.Accept()
		require.Zero(t, l.FailingFor())
		_, err := l.Accept()
		require.ErrorIs(t, err, net.ErrClosed)
		require.Len(t, changes, 2)
		require.ErrorIs(t, changes[0].Err, syscall.EMFILE)
		require.NoError(t, changes[1].Err)
		require.Equal(t, 2, changes[1].Failures)
		require.GreaterOrEqual(t, changes[1].After, time.Second)
	})
}
