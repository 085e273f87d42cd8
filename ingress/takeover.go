package ingress

import (
	"io"
	"sync"
	"time"
)

// takeoverInterval is how often a streamed answer is checked for a caller that does not
// read. An answer that is written sooner costs no more than a timer.
const takeoverInterval = 50 * time.Millisecond

// takeover is a streamed answer that its writer reads directly until its caller stops
// reading. From then on a readAhead reads it, so that the connection to the server is
// free again if the rest fits into the buffer.
type takeover struct {
	source io.ReadCloser
	c      *conn
	timer  *time.Timer

	// mu is held while the writer reads the source.
	mu     sync.Mutex
	ahead  *readAhead
	closed bool
}

// newTakeover returns a takeover of source, or source itself if that is read ahead.
func newTakeover(source io.ReadCloser, c *conn) io.ReadCloser {
	if _, ok := source.(*readAhead); ok {
		return source
	}
	t := &takeover{source: source, c: c}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(takeoverInterval, t.check)
	return t
}

// check takes the source over if the writer is not reading it: it waits for its caller
// then.
func (t *takeover) check() {
	if !t.mu.TryLock() {
		t.timer.Reset(takeoverInterval)
		return
	}
	if t.closed {
		t.mu.Unlock()
		return
	}
	ahead := newReadAhead(t.source, t.c)
	t.ahead = ahead
	t.mu.Unlock()
	ahead.fill()
}

// Read implements io.Reader.
func (t *takeover) Read(p []byte) (int, error) {
	t.mu.Lock()
	if ahead := t.ahead; ahead != nil {
		t.mu.Unlock()
		return ahead.Read(p)
	}
	defer t.mu.Unlock()
	return t.source.Read(p)
}

// Close implements io.Closer.
func (t *takeover) Close() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.timer.Stop()
	if t.ahead != nil {
		return t.ahead.Close()
	}
	return t.source.Close()
}
