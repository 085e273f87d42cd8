package httphead

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
)

// Reader reads responses and checks their heads. A read of a malformed head returns an
// error, as does each further one.
type Reader struct {
	r       io.Reader
	checker Checker
}

// NewReader returns a Reader that expects the first byte of a response.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// ExpectResponse makes buffered, which was read before, and the bytes of the next read the
// start of a response.
func (r *Reader) ExpectResponse(buffered []byte) error {
	if err := r.Err(); err != nil {
		return err
	}
	r.checker = Checker{}
	_, err := r.checker.Check(buffered)
	return err
}

// Err returns the error of a malformed head that was read, if any.
func (r *Reader) Err() error { return r.checker.err }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if err := r.Err(); err != nil {
		return 0, err
	}
	n, err := r.r.Read(p)
	return r.check(p[:n], err)
}

// check returns the result of a read that returned the bytes p and err.
func (r *Reader) check(p []byte, err error) (int, error) {
	n, malformed := r.checker.Check(p)
	if malformed != nil {
		return n, malformed
	}
	return n, err
}

// Conn is a client's connection that checks the heads of the responses.
type Conn struct {
	net.Conn
	mu     sync.Mutex
	reader Reader
}

// NewConn returns a connection that expects the first byte of a response.
func NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// Dial returns a function that opens connections with dial and checks what they receive.
func Dial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(nc), nil
	}
}

// ExpectResponse makes the next byte that is received the first one of a response. It may
// be called during a read.
func (c *Conn) ExpectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Read returns the error of an earlier response.
	_ = c.reader.ExpectResponse(nil)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.malformed(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reader.check(p[:n], err)
}

func (c *Conn) malformed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reader.Err()
}

// WithTrace returns a context whose HTTP request tells the connection that it gets to
// expect a response, if that has a method ExpectResponse.
func WithTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(interface{ ExpectResponse() }); ok {
			c.ExpectResponse()
		}
	}})
}
