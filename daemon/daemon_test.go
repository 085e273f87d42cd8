package daemon

import (
	"bytes"
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/internal/pipe"
	"godwitlock.example/godwitlock/settings"
)

// failingOnce fails the first call of Accept.
type failingOnce struct {
	net.Listener
	failed bool
}

func (l *failingOnce) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ENOBUFS)}
	}
	return l.Listener.Accept()
}

// Guards against a server of net/http or grpc-go that ends, and closes its listener,
// because the system was short of memory for a moment.
func TestListenersOutliveErrorsThatPass(t *testing.T) {
	var out bytes.Buffer
	d := &Daemon{cfg: &settings.Settings{AdminAddr: "a"}, log: zerolog.New(zerolog.SyncWriter(&out))}
	var pipes []*pipe.Listener
	require.NoError(t, d.listen(func(string, string) (net.Listener, error) {
		pipes = append(pipes, pipe.Listen())
		return &failingOnce{Listener: pipes[len(pipes)-1]}, nil
	}))
	for i, lis := range []net.Listener{d.peerLis, d.callerLis, d.adminLis} {
		go func() { _, _ = pipes[i].Dial(t.Context(), "", "") }()
		_, err := lis.Accept()
		require.NoError(t, err)
	}
	require.Equal(t, 3, bytes.Count(out.Bytes(), []byte(`"event":"accept_fails"`)))
	require.Equal(t, 3, bytes.Count(out.Bytes(), []byte(`"event":"accept_works"`)))
}

// Guards against a task that fails a few times and holds up all others.
func TestFailingTaskDoesNotHoldUpOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		d := &Daemon{cfg: &settings.Settings{}, log: zerolog.New(zerolog.SyncWriter(&out))}
		ctx, cancel := context.WithCancel(context.Background())
		otherRuns := 0
		done := d.supervise([]task{
			{"failing", func(context.Context) error { return errors.New("fails") }},
			{"other", func(ctx context.Context) error {
				if otherRuns++; otherRuns == 1 {
					time.Sleep(time.Second)
					return errors.New("fails once")
				}
				<-ctx.Done()
				return ctx.Err()
			}},
		}).ServeBackground(ctx)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		cancel()
		<-done
		require.Equal(t, 2, otherRuns, "the other task was not started again")
		require.Contains(t, out.String(), `"event":"duty_failed"`)
	})
}
