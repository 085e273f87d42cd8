package call

import (
	"io"
	"sync"
)

// OnEnd returns a body that reads from body and calls onEnd exactly once: when
// a read returns an error, io.EOF included, or when the body is closed.
func OnEnd(body io.ReadCloser, onEnd func()) io.ReadCloser {
	return &hookedBody{ReadCloser: body, onEnd: sync.OnceFunc(onEnd)}
}

type hookedBody struct {
	io.ReadCloser
	onEnd func()
}

// Read implements io.Reader.
func (b *hookedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.onEnd()
	}
	return n, err
}

// Close implements io.Closer.
func (b *hookedBody) Close() error {
	defer b.onEnd()
	return b.ReadCloser.Close()
}
