package forward

import (
	"context"
	"time"
)

// RefuseLate refuses the requests of which a server could still be working on at end:
// those that arrive from now on, and those that wait for a server and must not run
// twice. Call it when a stopping VM has let all callers know, with the time at which
// AbandonAttempts will be called: a refused request is sent to another VM, but one
// that is cut at its server may be lost to its caller.
func (f *Forwarder) RefuseLate(end time.Time) {
	f.lateEnd.CompareAndSwap(nil, &end)
	f.late()
}

// refusedByStop reports whether the stop of the VM refuses a request that is not at a
// server.
func (f *Forwarder) refusedByStop(r *request) bool {
	if f.stopCtx.Err() != nil {
		return true
	}
	end := f.lateEnd.Load()
	return end != nil && (r.late || !r.attempts.Repeatable) && r.latestEnd().After(*end)
}

// latestEnd returns the time by which the request has ended, even if its answer is
// streamed.
func (r *request) latestEnd() time.Time {
	if r.Deadline.IsZero() {
		return r.deadline.Add(bufferGrace + maxStreamTime)
	}
	return r.Deadline
}

// beforeWrite returns ErrStopping if the stop refuses the request, and errRightExpired if
// its server's version must not be used any more. The request then does not reach its
// server.
func (f *Forwarder) beforeWrite(r *request) error {
	if f.refusedByStop(r) {
		return ErrStopping
	}
	return f.checkRight(r)
}

// untilRefused returns a context that ends like ctx, and with ErrStopping when the
// stop of the VM refuses the request. It has ended when untilRefused returns if the
// request is refused already, which AfterFunc alone does not guarantee.
func (f *Forwarder) untilRefused(ctx context.Context, r *request) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	cancelRefused := func() {
		if f.refusedByStop(r) {
			cancel(ErrStopping)
		}
	}
	cancelRefused()
	releaseLate := context.AfterFunc(f.lateCtx, cancelRefused)
	releaseStop := context.AfterFunc(f.stopCtx, cancelRefused)
	return ctx, func(cause error) { releaseLate(); releaseStop(); cancel(cause) }
}
