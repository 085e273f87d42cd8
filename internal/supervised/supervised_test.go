package supervised

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"github.com/thejerf/suture/v4"
)

// Guards against a pause that does not grow, or that does not begin anew.
func TestPauseGrowsAndBeginsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := 0
		var pauses []time.Duration
		task := Task{Name: "a", Run: func(context.Context) error {
			if runs++; runs == 10 {
				time.Sleep(settleTime)
			}
			if runs == 11 {
				return suture.ErrDoNotRestart
			}
			return errors.New("fails")
		}, OnFailure: func(_ string, _ error, pause time.Duration) { pauses = append(pauses, pause) }}
		require.ErrorIs(t, task.Serve(context.Background()), suture.ErrDoNotRestart)
		require.Equal(t, []time.Duration{minPause, 2 * minPause, 4 * minPause}, pauses[:3])
		require.Equal(t, []time.Duration{maxPause, maxPause, minPause}, pauses[7:])
	})
}

// Guards against a stop that waits for the pause of a failed task.
func TestStopEndsThePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		began := time.Now()
		task := Task{Run: func(context.Context) error { return errors.New("fails") }, OnFailure: func(string, error, time.Duration) { cancel() }}
		require.ErrorIs(t, task.Serve(ctx), context.Canceled)
		require.Zero(t, time.Since(began))
	})
}
