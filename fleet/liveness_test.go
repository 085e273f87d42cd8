package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// Guards against one probe per waiting request. Thousands of requests wait during
// an overload, and each would cost its home VM four calls per second.
func TestLivenessSharesProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		probes := 0
		l := newLivenessMonitor(func(context.Context, string) error { probes++; return nil }, time.Now)
		var done []func(bool)
		for range 500 {
			done = append(done, l.track("a", func() { t.Error("request cancelled although the VM answers") }))
		}
		time.Sleep(time.Second + time.Millisecond)
		synctest.Wait()
		require.InDelta(t, 4, probes, 1)
		probes = 0
		for _, f := range done {
			time.Sleep(10 * time.Millisecond)
			f(true)
		}
		synctest.Wait()
		require.LessOrEqual(t, probes, 1, "a VM that answers requests needs no probe")
		time.Sleep(time.Second)
		synctest.Wait()
		require.Empty(t, l.targets)
	})
}

// Guards against requests that keep waiting at a VM that no longer answers. They
// are cancelled soon, and requests at other VMs keep waiting.
func TestLivenessCancelsRequestsAtUnresponsiveVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLivenessMonitor(func(ctx context.Context, addr string) error {
			if addr == "alive" {
				return nil
			}
			<-ctx.Done()
			return errors.Trace(ctx.Err())
		}, time.Now)
		start := time.Now()
		var cancelledAfter time.Duration
		doneGone := l.track("gone", func() { cancelledAfter = time.Since(start) })
		doneAlive := l.track("alive", func() { t.Error("request cancelled although the VM answers") })
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.NotZero(t, cancelledAfter)
		require.LessOrEqual(t, cancelledAfter, probeInterval+probeTimeout+10*time.Millisecond)
		doneGone(false)
		doneAlive(true)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Empty(t, l.targets)
	})
}
