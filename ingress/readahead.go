package ingress

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"godwitlock.example/godwitlock/membudget"
)

// maxReadAheadBytes bounds how much of a streamed answer is read before its turn.
const maxReadAheadBytes = 64 << 10

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
}

func newReadAhead(source io.ReadCloser, c *conn) *readAhead {
	r := &readAhead{source: source, c: c}
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
	for r.buf.Len() >= maxReadAheadBytes && r.err == nil && !r.closed {
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
	r.buf = bytes.Buffer{}
	r.hold(0)
	r.changed.Broadcast()
	return nil
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
