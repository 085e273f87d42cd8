package forward

import (
	"context"
	"io"
	"sync"

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

// stream makes res an answer whose body is read from r as it is passed on. The
// slot is freed when the body ends. A body that breaks off counts as a failure of
// the server, unless the request had ended before.
func (f *Forwarder) stream(ctx context.Context, server grantedServer, res *result, r io.Reader) {
	res.resp.Body = &streamedBody{Reader: r, source: res.resp.Body, onEnd: func(err error) {
		if err == nil || err == io.EOF {
			f.finishSlot(server, res.serviceTime)
			return
		}
		server.slot.Finish(permit.Result{Failed: ctx.Err() == nil})
	}}
}
