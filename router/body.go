package router

import (
	"io"
	"sync/atomic"
)

// trackedBody notes whether a streamed body was read, after which the request
// cannot be sent again.
type trackedBody struct {
	r        io.Reader
	consumed atomic.Bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.consumed.Store(true)
	return b.r.Read(p)
}

func (b *trackedBody) isConsumed() bool { return b.consumed.Load() }
