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
		go func() {
			time.Sleep(minRetryPause + time.Millisecond)
			require.Equal(t, minRetryPause+time.Millisecond, l.FailingFor())
		}()
		_, _ = l.Accept()
		require.Zero(t, l.FailingFor())
		_, err := l.Accept()
		require.ErrorIs(t, err, net.ErrClosed)
		require.Len(t, changes, 2)
		require.ErrorIs(t, changes[0].Err, syscall.EMFILE)
		require.NoError(t, changes[1].Err)
		require.Equal(t, 2, changes[1].Failures)
		require.Equal(t, 3*minRetryPause, changes[1].After)
	})
}

// Guards against retries that take the processor, or that come so rarely that
// callers notice.
func TestPausesBetweenRetriesGrowToTheirBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var times []time.Time
		var steps []func() (net.Conn, error)
		for range 10 {
			steps = append(steps, func() (net.Conn, error) {
				times = append(times, time.Now())
				return fail(syscall.ENOBUFS)()
			})
		}
		nc, err := New(&scripted{steps: append(steps, succeed)}, nil).Accept()
		require.NoError(t, err)
		require.NotNil(t, nc)
		require.Equal(t, minRetryPause, times[1].Sub(times[0]))
		require.Equal(t, 2*minRetryPause, times[2].Sub(times[1]))
		require.Equal(t, maxRetryPause, times[9].Sub(times[8]))
	})
}

// Guards against a VM that stays out of rotation after a shortage because nobody
// connects to a VM that is out of rotation.
func TestAcceptCountsAsWorkingWhileItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		arrive := make(chan struct{})
		wait := func() (net.Conn, error) { <-arrive; return succeed() }
		l := New(&scripted{steps: []func() (net.Conn, error){fail(syscall.EMFILE), wait}}, nil)
		go func() { _, _ = l.Accept() }()
		time.Sleep(minRetryPause + settleTime/2)
		require.Positive(t, l.FailingFor())
		time.Sleep(settleTime)
		require.Zero(t, l.FailingFor())
		close(arrive)
	})
}

// Guards against a listener that goes on for a while after it was closed.
func TestCloseEndsThePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &scripted{Listener: nopCloser{}, steps: []func() (net.Conn, error){fail(syscall.EMFILE)}}
		l := New(inner, nil)
		began := time.Now()
		go func() { _ = l.Close() }()
		_, err := l.Accept()
		require.ErrorIs(t, err, net.ErrClosed)
		require.Zero(t, time.Since(began))
	})
}

type nopCloser struct{ net.Listener }

func (nopCloser) Close() error { return nil }
