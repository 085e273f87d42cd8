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
func TestLivenessSharesProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		probes := 0
		l := newLiveness(func(context.Context, string) error { probes++; return nil }, time.Now)
		var done []func(bool)
		for range 500 {
			done = append(done, l.track("a", func() { t.Error("the VM is alive") }))
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
		require.LessOrEqual(t, probes, 1, "answers are signs of life")
		time.Sleep(time.Second)
		synctest.Wait()
		require.Empty(t, l.targets)
	})
}

// Guards against requests that wait at a VM which is gone: they are ended soon,
// and others there go on.
func TestLivenessCancelsRequestsAtUnresponsiveVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLiveness(func(ctx context.Context, addr string) error {
			if addr == "alive" {
				return nil
			}
			<-ctx.Done()
			return errors.Trace(ctx.Err())
		}, time.Now)
		start := time.Now()
		var cancelledAfter time.Duration
		doneSilent := l.track("gone", func() { cancelledAfter = time.Since(start) })
		done := l.track("alive", func() { t.Error("the VM is alive") })
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.NotZero(t, cancelledAfter)
		require.LessOrEqual(t, cancelledAfter, probeInterval+probeTimeout+10*time.Millisecond)
		doneSilent(false)
		done(true)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Empty(t, l.targets)
	})
}
