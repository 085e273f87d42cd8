package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/ingress"
)

// The causes with which the context of a request ends, besides an
// *ingress.ConnectionEnd when the caller's connection ended.
var (
	// ErrCallerDeadline: the deadline that the caller set has passed.
	ErrCallerDeadline = errors.New("caller_deadline")
	// ErrRouteTimeout: the route's timeout has passed.
	ErrRouteTimeout = errors.New("route_timeout")
	// ErrStreamTimeout: an answer without a caller's deadline took longer than
	// maxStreamTime.
	ErrStreamTimeout = errors.New("stream_timeout")
	// ErrStopping: the VM stops, and refuses waiting requests or abandons attempts.
	ErrStopping = errors.New("vm_stopping")
	// errOwnerChanged: the key has another owner, or none.
	errOwnerChanged = errors.New("owner_changed")
	// errFinished: the request needs the context no longer.
	errFinished = errors.New("finished")
)

// endCause returns the name of the cause with which ctx ended, or an empty
// string when it has not ended before the request was finished.
func endCause(ctx context.Context) string {
	cause := context.Cause(ctx)
	var end *ingress.ConnectionEnd
	switch {
	case cause == nil, cause == errFinished:
		return ""
	case errors.As(cause, &end):
		return string(end.Cause)
	}
	return cause.Error()
}

// cancelled returns the reason of a refusal after ctx has ended.
func cancelled(ctx context.Context, when string) string {
	return "request was cancelled " + when + ": " + context.Cause(ctx).Error()
}

// deadlineTimer ends a work context at a time that can be moved.
type deadlineTimer struct {
	timer *time.Timer
	cause atomic.Pointer[error]
	// ignoreAbandon keeps AbandonAttempts from ending the work context.
	ignoreAbandon func() bool
}

func newDeadlineTimer(until time.Time, cause error, cancel context.CancelCauseFunc) *deadlineTimer {
	d := &deadlineTimer{}
	d.cause.Store(&cause)
	d.timer = time.AfterFunc(time.Until(until), func() { cancel(*d.cause.Load()) })
	return d
}

// extend moves the end to until, unless it has passed.
func (d *deadlineTimer) extend(until time.Time, cause error) {
	if d.timer.Stop() {
		d.cause.Store(&cause)
		d.timer.Reset(time.Until(until))
	}
}
