package router

import (
	"io"
	"sync/atomic"
)

// trackedBody is a streamed request body that records whether any of it was
// read. A request whose body was read cannot be sent again.
type trackedBody struct {
	r        io.Reader
	consumed atomic.Bool
}

// Read implements io.Reader and marks the body as consumed.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.consumed.Store(true)
	return b.r.Read(p)
}

func (b *trackedBody) isConsumed() bool { return b.consumed.Load() }
