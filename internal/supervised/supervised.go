// Package supervised runs the tasks of a process so that the failures of one task
// delay only that task.
//
// A supervisor of suture counts the failures of all its services together, and
// restarts none of them for 15 s after a few.
package supervised

import (
	"context"
	"math"
	"runtime/debug"
	"time"

	"github.com/juju/errors"
	"github.com/thejerf/suture/v4"
)

const (
	// minPause and maxPause bound the pause before a failed task runs again. It
	// doubles with each failure, and begins anew once the task has run for
	// settleTime.
	minPause, maxPause = 10 * time.Millisecond, time.Second
	settleTime         = 5 * time.Second
)

// Task is a suture.Service that runs again when it ends, until its context ends
// or it returns suture.ErrDoNotRestart.
type Task struct {
	Name string
	Run  func(ctx context.Context) error
	// OnFailure, unless nil, is called after each failure with the pause before
	// the task runs again. The error of a panic contains its stack.
	OnFailure func(name string, err error, pause time.Duration)
}

// Spec returns the specification of a supervisor that restarts its services
// however often they fail.
func Spec(hook suture.EventHook) suture.Spec {
	return suture.Spec{EventHook: hook, FailureThreshold: math.Inf(1)}
}

// String implements fmt.Stringer.
func (t Task) String() string { return t.Name }

// Serve implements suture.Service.
func (t Task) Serve(ctx context.Context) error {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		began := time.Now()
		err := t.runOnce(ctx)
		if ctx.Err() != nil || errors.Is(err, suture.ErrDoNotRestart) {
			return err
		}
		if time.Since(began) >= settleTime {
			pause = minPause
		}
		if t.OnFailure != nil {
			t.OnFailure(t.Name, err, pause)
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// runOnce runs the task and returns a panic as an error.
func (t Task) runOnce(ctx context.Context) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Errorf("panic: %v\n%s", r, debug.Stack())
		}
	}()
	return t.Run(ctx)
}
