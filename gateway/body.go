package gateway

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
)

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// bodyReader reads a request body and enforces its size limit and its read
// deadlines. The HTTP client of package backend may still be reading the body
// after the response has arrived, so stop may be called during a Read.
type bodyReader struct {
	src     io.Reader
	control *http.ResponseController
	now     func() time.Time
	// readTimeout limits each read; bodyDeadline limits the whole body.
	readTimeout  time.Duration
	bodyDeadline time.Time
	// mu guards the fields below.
	mu sync.Mutex
	// remaining is the number of bytes that the size limit still allows.
	remaining int64
	bytesRead int64
	eof       bool
	stopped   bool
	err       error

	request *http.Request
	trailer http.Header
}

// Read implements io.Reader. Errors other than io.EOF are of type
// *errkind.Error.
func (b *bodyReader) Read(p []byte) (int, error) {
	limit, err := b.prepareRead()
	if err != nil {
		return 0, err
	}
	if int64(len(p)) > limit {
		p = p[:limit]
	}
	n, err := b.src.Read(p)
	return b.recordRead(n, err)
}

// prepareRead sets the read deadline and returns the maximum number of bytes to
// read: one more than the size limit still allows, so that an oversized body is
// detected.
func (b *bodyReader) prepareRead() (int64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.eof:
		return 0, io.EOF
	case b.err != nil:
		return 0, b.err
	case b.stopped:
		return 0, errkind.New(errkind.BodyIncomplete, "the request has ended")
	}
	readDeadline := b.now().Add(b.readTimeout)
	if readDeadline.After(b.bodyDeadline) {
		readDeadline = b.bodyDeadline
	}
	_ = b.control.SetReadDeadline(readDeadline)
	return b.remaining + 1, nil
}

// recordRead updates the state with the result of a read.
func (b *bodyReader) recordRead(n int, err error) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytesRead += int64(n)
	b.remaining -= int64(n)
	switch {
	case b.remaining < 0:
		b.err = errkind.New(errkind.BodyTooLarge, "the body is larger than the route allows")
		return 0, b.err
	case err == io.EOF:
		b.recordEOF()
	case err != nil:
		b.err = bodyError(err)
		err = b.err
	}
	return n, err
}

// recordEOF marks the body as complete and copies the received trailers. It
// clears the read deadline, because net/http keeps reading from the connection
// to detect that the caller has disconnected.
func (b *bodyReader) recordEOF() {
	b.eof = true
	if !b.stopped {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	for name := range b.trailer {
		if v := b.request.Trailer[name]; len(v) > 0 {
			b.trailer[name] = v
		} else {
			delete(b.trailer, name)
		}
	}
}

// complete reports whether the body was read to its end.
func (b *bodyReader) complete() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.eof
}

// stop makes a pending read fail, so that the handler can return. It returns
// the number of bytes read.
func (b *bodyReader) stop() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	if !b.eof {
		_ = b.control.SetReadDeadline(time.Unix(1, 0))
	}
	return b.bytesRead
}

// bodyError assigns an error kind to a failure to read a body.
func bodyError(err error) error {
	var ne net.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.Wrap(err, errkind.RequestTimeout, "the body came too slowly")
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
		return errkind.Wrap(err, errkind.BodyIncomplete, "the body ended early")
	}
	return errkind.Wrap(err, errkind.BadRequest, "the body is malformed")
}

// forwardableTrailers returns the trailer fields that the caller declared and
// that may be forwarded, without values.
func forwardableTrailers(t http.Header) http.Header {
	if len(t) == 0 {
		return nil
	}
	c := t.Clone()
	call.StripHopByHop(c)
	call.StripInternal(c)
	return c
}

// buffer reads a body of at most call.MaxBufferedBody bytes into
// req.Replayable. A larger body is left in req.Body for streaming.
func (b *bodyReader) buffer(req *call.Request) error {
	if req.ContentLength > call.MaxBufferedBody {
		req.Body = b
		return nil
	}
	if req.ContentLength >= 0 {
		buf := make([]byte, req.ContentLength)
		if _, err := io.ReadFull(b, buf); err != nil {
			return asBodyError(err)
		}
		// Reading io.EOF makes net/http watch the connection for a disconnect.
		if _, err := b.Read(make([]byte, 1)); err != nil && err != io.EOF {
			return asBodyError(err)
		}
		req.Replayable = buf
		return nil
	}
	return b.bufferUnknownLength(req)
}

// bufferUnknownLength buffers a body of unknown length up to
// call.MaxBufferedBody bytes. A larger body is left in req.Body, where its
// buffered start precedes the rest.
func (b *bodyReader) bufferUnknownLength(req *call.Request) error {
	var head bytes.Buffer
	n, err := io.Copy(&head, io.LimitReader(b, call.MaxBufferedBody+1))
	if err != nil {
		return asBodyError(err)
	}
	if n <= call.MaxBufferedBody {
		req.Replayable = head.Bytes()
		req.ContentLength = n
		return nil
	}
	req.Body = io.MultiReader(&head, b)
	return nil
}

func asBodyError(err error) error {
	var e *errkind.Error
	if errors.As(err, &e) {
		return e
	}
	return bodyError(err)
}
