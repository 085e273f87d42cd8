package memnet

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// pair connects host a to host b and returns both ends.
func pair(t *testing.T, n *Network) (a, b net.Conn) {
	l, err := n.Host("b").Listen("tcp", "10.0.0.1:0")
	require.NoError(t, err)
	a, err = n.Host("a").Dial(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	b, err = l.Accept()
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return a, b
}

// Guards against network faults that lose or reorder bytes, or that let bytes
// pass between separated hosts. Scenarios that rely on these faults would prove
// nothing.
func TestFaultsDelayBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New()
		n.SetDelay("a", "b", 3*time.Millisecond)
		a, b := pair(t, n)
		for _, fault := range []struct{ begin, end func() }{
			{func() {}, func() {}},
			{func() { n.Partition("a", "b") }, n.Heal},
			{func() { n.Isolate("b") }, n.Heal},
			{func() { n.Pause("a") }, func() { n.Resume("a") }},
		} {
			fault.begin()
			start := time.Now()
			_, err := a.Write([]byte("hello"))
			require.NoError(t, err)
			time.AfterFunc(time.Second, fault.end)
			buf := make([]byte, 5)
			require.NoError(t, b.SetReadDeadline(start.Add(500*time.Millisecond)))
			if _, err = io.ReadFull(b, buf); err != nil {
				require.ErrorIs(t, err, os.ErrDeadlineExceeded)
				require.NoError(t, b.SetReadDeadline(time.Time{}))
				_, err = io.ReadFull(b, buf)
				require.NoError(t, err)
				require.Equal(t, time.Second, time.Since(start))
			} else {
				require.Equal(t, 3*time.Millisecond, time.Since(start))
				time.Sleep(time.Second)
			}
			require.Equal(t, "hello", string(buf))
		}
		require.Equal(t, uint64(20), n.Sent("a", "b"))
	})
}

// Guards against dials that succeed across a partition, and against killed
// hosts that can still use the network.
func TestDialAndKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New()
		a, b := pair(t, n)
		l, err := n.Host("b").Listen("tcp", "10.0.0.1:80")
		require.NoError(t, err)
		n.Partition("a", "b")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = n.Host("a").Dial(ctx, "tcp", "10.0.0.1:80")
		require.ErrorIs(t, err, context.DeadlineExceeded)
		n.Heal()
		n.Kill("b")
		_, err = a.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
		_, err = b.Write([]byte("x"))
		require.ErrorIs(t, err, syscall.ECONNRESET)
		_, err = l.Accept()
		require.ErrorIs(t, err, net.ErrClosed)
		_, err = n.Host("a").Dial(t.Context(), "tcp", "10.0.0.1:80")
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		_, err = n.Host("b").Listen("tcp", "10.0.0.1:80")
		require.ErrorIs(t, err, syscall.ENETDOWN)
		n.Revive("b")
		_, err = n.Host("b").Listen("tcp", "10.0.0.1:80")
		require.NoError(t, err)
	})
}

// Guards against a Close that loses bytes written before it, and against a
// writer that gets no error after the other end was closed.
func TestClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := pair(t, New())
		go func() {
			_, _ = a.Write(make([]byte, windowBytes+10))
			_ = a.Close()
		}()
		got, err := io.ReadAll(b)
		require.NoError(t, err)
		require.Len(t, got, windowBytes+10)
		_, err = b.Write([]byte("x"))
		require.ErrorIs(t, err, syscall.EPIPE)
	})
}
