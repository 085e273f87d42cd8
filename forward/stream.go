package forward

import (
	"context"
	"io"
	"sync"
	"time"

	"godwitlock.example/godwitlock/permit"
)

// streamedBody is the body of an answer that is passed on while it arrives. It
// calls onEnd once: with the error of the first read that returns one, io.EOF
// included, or with nil when it is closed before.
type streamedBody struct {
	io.Reader
	source io.Closer
	once   sync.Once
	onEnd  func(err error)
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.once.Do(func() { b.onEnd(err) })
	}
	return n, err
}

// Close implements io.Closer.
func (b *streamedBody) Close() error {
	err := b.source.Close()
	b.once.Do(func() { b.onEnd(nil) })
	return err
}

// streamEnd returns the time by which an answer that is passed on while it
// arrives must be complete, and the cause with which its context ends then.
func (r *request) streamEnd() (time.Time, error) {
	if r.Deadline.IsZero() {
		return time.Now().Add(maxStreamTime), ErrStreamTimeout
	}
	return r.Deadline, ErrCallerDeadline
}

// stream makes res an answer whose body is passed on as it arrives. The slot is
// freed when the body ends. A body that breaks off counts as a failure of the
// server, unless the request had ended before.
func (f *Forwarder) stream(ctx context.Context, r *request, server grantedServer, res *result, body io.Reader) {
	until, cause := r.streamEnd()
	extendDeadline(ctx, until, cause)
	if timer, ok := ctx.Value(timerKey{}).(*deadlineTimer); ok {
		timer.ignoreAbandon()
	}
	res.resp.Body = &streamedBody{Reader: body, source: res.resp.Body, onEnd: func(err error) {
		if err == nil || err == io.EOF {
			f.finishSlot(server, res)
			return
		}
		server.slot.Finish(permit.Result{Failed: ctx.Err() == nil})
	}}
}
