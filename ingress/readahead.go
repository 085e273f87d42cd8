package ingress

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"godwitlock.example/godwitlock/membudget"
)

const (
	// maxReadAheadBytes bounds how much of a streamed answer is read before its turn.
	maxReadAheadBytes = 64 << 10
	// maxHeldBackBytes bounds how much of a streamed answer is read before its first
	// byte is written while other answers are owed behind it.
	maxHeldBackBytes = 1 << 20
	// maxAllHeldBackBytes bounds what is held back beyond maxReadAheadBytes on all
	// connections of a process. The smallest VM has 144 MB.
	maxAllHeldBackBytes = 8 << 20
)

// readAhead reads a streamed answer that waits for those before it on its
// connection. A server would otherwise keep a slot for the answer, which may be
// the one that a request before it waits for.
type readAhead struct {
	source io.ReadCloser
	c      *conn
	// held is what the buffer holds at most, in the memory budget.
	held int64

	mu      sync.Mutex
	changed *sync.Cond
	buf     bytes.Buffer
	err     error
	closed  bool
	// limit bounds buf. extra is the part of it that is reserved in reserved, which all
	// connections share; reserved is nil if nothing is.
	limit, extra int64
	reserved     *atomic.Int64
}

func newReadAhead(source io.ReadCloser, c *conn) *readAhead {
	r := &readAhead{source: source, c: c, limit: maxReadAheadBytes}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// fill reads the source until it ends or the readAhead is closed, and closes it.
func (r *readAhead) fill() {
	defer func() { _ = r.source.Close() }()
	block := make([]byte, bufferBytes)
	for {
		n, err := r.source.Read(block)
		if !r.put(block[:n], err) {
			return
		}
	}
}

// put adds what was read from the source, and waits while the buffer is full. It
// returns false when no more is to be read.
func (r *readAhead) put(data []byte, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.buf.Write(data)
		r.hold(int64(r.buf.Cap()) + readAheadBytes)
	}
	r.err = err
	r.changed.Broadcast()
	for int64(r.buf.Len()) >= r.limit && r.err == nil && !r.closed {
		r.changed.Wait()
	}
	return r.err == nil && !r.closed
}

// hold accounts for n bytes in all. The caller holds mu.
func (r *readAhead) hold(n int64) {
	if n == r.held {
		return
	}
	r.c.add(membudget.Responses, n-r.held)
	r.held = n
}

// Read implements io.Reader.
func (r *readAhead) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.buf.Len() == 0 && r.err == nil {
		r.changed.Wait()
	}
	if r.buf.Len() == 0 {
		return 0, r.err
	}
	defer r.changed.Broadcast()
	return r.buf.Read(p)
}

// Close implements io.Closer. The source is closed as soon as it is not being read.
func (r *readAhead) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.reserved != nil {
		r.reserved.Add(-r.extra)
		r.reserved = nil
	}
	r.buf = bytes.Buffer{}
	r.hold(0)
	r.changed.Broadcast()
	return nil
}

// await waits until the source has ended, the buffer is full or ctx ends, and reports
// whether the source has ended; with fewer bytes than length, unless that is negative, it
// has failed. The buffer grows to maxHeldBackBytes as long as all
// connections together, counted by reserved, stay within maxAllHeldBackBytes.
func (r *readAhead) await(ctx context.Context, length int64, reserved *atomic.Int64) bool {
	defer context.AfterFunc(ctx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.changed.Broadcast()
	})()
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.err == nil && ctx.Err() == nil {
		if int64(r.buf.Len()) >= r.limit && !r.grow(reserved) {
			break
		}
		r.changed.Wait()
	}
	if r.err == io.EOF && length >= 0 && int64(r.buf.Len()) != length {
		r.err = io.ErrUnexpectedEOF
	}
	return r.err != nil
}

// grow raises the limit once. The caller holds mu.
func (r *readAhead) grow(reserved *atomic.Int64) bool {
	const extra = maxHeldBackBytes - maxReadAheadBytes
	if r.reserved != nil || r.closed {
		return false
	}
	if reserved.Add(extra) > maxAllHeldBackBytes {
		reserved.Add(-extra)
		return false
	}
	r.reserved, r.extra, r.limit = reserved, extra, maxHeldBackBytes
	r.changed.Broadcast()
	return true
}

// failure returns the error with which the source ended, nil if it has not ended or
// is complete.
func (r *readAhead) failure() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == io.EOF {
		return nil
	}
	return r.err
}

// answerable returns resp, or a response of the server itself if the answer broke
// off before its turn: a truncated one would end the connection, and with it the
// answers behind.
func answerable(resp *Response) *Response {
	r, ok := resp.Stream.(*readAhead)
	if !ok {
		return resp
	}
	err := r.failure()
	if err == nil {
		return resp
	}
	_ = r.Close()
	if resp.OnWritten != nil {
		resp.OnWritten(&ConnectionEnd{Cause: SourceFailed, Err: err})
	}
	return statusResponse(http.StatusBadGateway)
}

// holdBack returns the response to write in the turn of p. A streamed answer that breaks
// off ends the connection, and answers that are owed behind it would be lost. So while there
// are such, it is read to its end first, and replaced if it breaks off. One that is too long
// for that, or that has nothing behind it, is written as it arrives, and no request is
// started behind it until it has been written.
//
// An answer without a length is read to its end first, too, while its caller is sending the
// request: a reset of the connection may be reported to the caller's write, so that its read
// sees an ordinary end. One that is too long for that is written in chunks.
func (c *conn) holdBack(p *pendingResponse, resp *Response) *Response {
	if resp.Stream == nil || resp.Abort || !hasBody(p, resp) {
		return resp
	}
	resetMayBeMissed := resp.CloseDelimited && c.uploading.Load()
	if !resetMayBeMissed && c.state.beginStream(false) {
		return resp
	}
	ahead, ok := resp.Stream.(*readAhead)
	if !ok {
		ahead = newReadAhead(resp.Stream, c)
		resp.Stream = ahead
		go ahead.fill()
	}
	if !ahead.await(c.ctx, resp.Length, &c.srv.heldBack) {
		c.state.beginStream(true)
		resp.CloseDelimited = resp.CloseDelimited && !resetMayBeMissed
	}
	return answerable(resp)
}
