package ingress

import (
	"bufio"
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// brokenListener fails to accept while err is set.
type brokenListener struct {
	*net.TCPListener
	err      atomic.Pointer[error]
	failures atomic.Int64
}

func (l *brokenListener) breakWith(err error) {
	err = &net.OpError{Op: "accept", Net: "tcp", Err: err}
	l.err.Store(&err)
}

func (l *brokenListener) Accept() (net.Conn, error) {
	if err := l.err.Load(); err != nil {
		l.failures.Add(1)
		return nil, *err
	}
	return l.TCPListener.Accept()
}

func brokenServer(t *testing.T, err error) (*Server, *brokenListener) {
	t.Helper()
	lis, lerr := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, lerr)
	t.Cleanup(func() { _ = lis.Close() })
	l := &brokenListener{TCPListener: lis.(*net.TCPListener)}
	l.breakWith(err)
	s := NewServer(testHeaders, echo, func() Limits { return Limits{} })
	go func() { _ = s.Serve(l) }()
	return s, l
}

// Guards against a VM that never accepts again after it was short of descriptors or
// of memory for a moment.
func TestServeOutlivesErrorsOfAcceptThatPass(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			_, l := brokenServer(t, os.NewSyscallError("accept4", errno))
			require.Eventually(t, func() bool { return l.failures.Load() >= 2 }, 5*time.Second, time.Millisecond, "accept was not tried again")
			l.err.Store(nil)
			nc, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer func() { _ = nc.Close() }()
			send(t, nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			resp, _ := receive(t, bufio.NewReader(nc))
			require.Equal(t, 200, resp.StatusCode)
		})
	}
}

// Guards against a stop that hangs, or that leaves the accept loop running, while
// connections cannot be accepted.
func TestStopAcceptingWhileAcceptFails(t *testing.T) {
	s, l := brokenServer(t, os.NewSyscallError("accept4", syscall.EMFILE))
	require.Eventually(t, func() bool { return l.failures.Load() >= 2 }, 5*time.Second, time.Millisecond, "accept was not tried again")
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { s.StopAccepting(ctx, l, time.Millisecond); close(stopped) }()
	cancel()
	<-stopped
	l.err.Store(nil)
	require.Eventually(t, func() bool { return !s.Accepting() }, 5*time.Second, time.Millisecond)
}
