package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// Guards against a question for each request that waits: thousands wait in an
// overload, and each then cost its home VM four calls a second.
func TestLivenessAsksOnceForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		l := newLiveness(func(context.Context, string) error { asked++; return nil }, time.Now)
		var leave []func(bool)
		for range 500 {
			leave = append(leave, l.wait("a", func() { t.Error("the VM is alive") }))
		}
		time.Sleep(time.Second + time.Millisecond)
		synctest.Wait()
		require.InDelta(t, 4, asked, 1)
		asked = 0
		for _, f := range leave {
			time.Sleep(10 * time.Millisecond)
			f(true)
		}
		synctest.Wait()
		require.LessOrEqual(t, asked, 1, "answers are signs of life")
		time.Sleep(time.Second)
		synctest.Wait()
		require.Empty(t, l.list)
	})
}

// Guards against requests that wait at a VM which is gone: they are ended soon,
// and others there go on.
func TestLivenessEndsWhatWaitsAtASilentVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLiveness(func(ctx context.Context, addr string) error {
			if addr == "alive" {
				return nil
			}
			<-ctx.Done()
			return errors.Trace(ctx.Err())
		}, time.Now)
		begin := time.Now()
		var ended time.Duration
		leaveGone := l.wait("gone", func() { ended = time.Since(begin) })
		leave := l.wait("alive", func() { t.Error("the VM is alive") })
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.NotZero(t, ended)
		require.LessOrEqual(t, ended, checkAfter+checkTimeout+10*time.Millisecond)
		leaveGone(false)
		leave(true)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Empty(t, l.list)
	})
}
