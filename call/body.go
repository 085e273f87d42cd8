package call

import (
	"io"
	"sync"
)

// OnEnd returns body with a hook: ended is called once, when the body was read
// to its end, failed or was closed.
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
