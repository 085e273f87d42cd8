package forward

import "context"

// refusedByStop reports whether the stop of the VM refuses a request that is not at a
// server.
func (f *Forwarder) refusedByStop() bool { return f.stopCtx.Err() != nil }

// beforeWrite returns ErrStopping if the stop refuses the request, which then does not
// reach its server.
func (f *Forwarder) beforeWrite() error {
	if f.refusedByStop() {
		return ErrStopping
	}
	return nil
}

// untilRefused returns a context that ends like ctx, and with ErrStopping when the
// stop of the VM refuses the request. It has ended when untilRefused returns if the
// request is refused already, which AfterFunc alone does not guarantee.
func (f *Forwarder) untilRefused(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if f.refusedByStop() {
		cancel(ErrStopping)
	}
	release := context.AfterFunc(f.stopCtx, func() { cancel(ErrStopping) })
	return ctx, func(cause error) { release(); cancel(cause) }
}
