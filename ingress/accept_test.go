package ingress

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// gatedListener accepts nothing before its gate is opened.
type gatedListener struct {
	*net.TCPListener
	gate chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

// Guards against a stop that resets connections which callers have opened and the
// server has not accepted yet, for example since the process got no processor time.
func TestStopAcceptingServesTheQueue(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gated := &gatedListener{lis.(*net.TCPListener), make(chan struct{})}
	s := NewServer(testHeaders, echo, func() Limits { return Limits{} })
	go func() { _ = s.Serve(gated) }()
	require.Eventually(t, s.Accepting, time.Second, time.Millisecond)
	var callers []net.Conn
	for range 5 {
		nc, err := net.Dial("tcp", lis.Addr().String())
		require.NoError(t, err)
		defer func() { _ = nc.Close() }()
		send(t, nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		callers = append(callers, nc)
	}
	stopped := make(chan struct{})
	go func() { s.StopAccepting(context.Background(), gated, 5*time.Millisecond); close(stopped) }()
	time.Sleep(20 * time.Millisecond)
	close(gated.gate)
	for _, nc := range callers {
		resp, _ := receive(t, bufio.NewReader(nc))
		require.Equal(t, 200, resp.StatusCode)
	}
	<-stopped
	_, err = net.Dial("tcp", lis.Addr().String())
	require.Error(t, err)
}

// Guards against a stop that waits for callers who go on opening connections.
func TestStopAcceptingEndsWithItsContext(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(testHeaders, echo, func() Limits { return Limits{} })
	go func() { _ = s.Serve(lis) }()
	require.Eventually(t, s.Accepting, time.Second, time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.StopAccepting(ctx, lis, time.Hour)
	require.Eventually(t, func() bool { return !s.Accepting() }, time.Second, time.Millisecond)
}
