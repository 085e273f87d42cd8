// Package readlimit bounds how many bytes are read from a connection in one
// step, such as the head of a message.
package readlimit

import (
	"io"
	"sync/atomic"

	"github.com/juju/errors"
)

// ResponseHeadBytes bounds the head of a response from a backend server or the
// store, together with the informational responses before it.
const ResponseHeadBytes = 64 << 10

// ErrExceeded is returned by a read beyond the limit.
var ErrExceeded = errors.New("more bytes received than the limit allows")

// Reader reads from another reader. It has no limit until SetLimit is called.
type Reader struct {
	r         io.Reader
	limited   bool
	remaining int64
	total     atomic.Int64
}

// New returns a Reader without a limit.
func New(r io.Reader) *Reader { return &Reader{r: r} }

// SetLimit makes reads fail with ErrExceeded once n more bytes were read. A
// buffered reader on top of r may hold bytes of the next step already, and read
// ahead by the size of its buffer.
func (r *Reader) SetLimit(n int64) { r.limited, r.remaining = true, n }

// Unlimit removes the limit.
func (r *Reader) Unlimit() { r.limited = false }

// Total returns the number of bytes that were read. It is safe for concurrent
// use.
func (r *Reader) Total() int64 { return r.total.Load() }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if !r.limited {
		n, err := r.r.Read(p)
		r.total.Add(int64(n))
		return n, err
	}
	if r.remaining <= 0 {
		return 0, ErrExceeded
	}
	if int64(len(p)) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.r.Read(p)
	r.remaining -= int64(n)
	r.total.Add(int64(n))
	return n, err
}
