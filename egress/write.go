package egress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// sendRequest writes the request. A long body is written concurrently with
// reading the response, which may arrive before the body is complete; the
// returned channel receives the result of the write.
func (cn *conn) sendRequest(h *Headers, target Target, req *Request) (<-chan error, error) {
	cn.out = &requestWriter{nc: cn.nc}
	writeResult := make(chan error, 1)
	head := appendHead(make([]byte, 0, 1024), h, target, req)
	if req.Stream == nil && len(req.Body) <= bufferBytes {
		head = append(head, req.Body...)
		cn.writeStarted = true
		n, err := cn.out.Write(head)
		cn.writeStarted = n > 0
		writeResult <- err
		return writeResult, err
	}
	cn.writeStarted = true
	if n, err := cn.out.Write(head); err != nil {
		cn.writeStarted = n > 0
		return nil, err
	}
	out := cn.out
	go func() { writeResult <- cn.sendBody(out, req) }()
	return writeResult, nil
}

func (cn *conn) sendBody(out *requestWriter, req *Request) error {
	if req.Stream == nil {
		_, err := out.Write(req.Body)
		return err
	}
	if req.Length >= 0 {
		n, err := io.Copy(out, io.LimitReader(req.Stream, req.Length))
		if err == nil && n < req.Length {
			// Closing the connection keeps the server from treating a
			// truncated body as complete.
			cn.close()
			return io.ErrUnexpectedEOF
		}
		return err
	}
	w := &chunkWriter{w: out}
	if _, err := io.Copy(w, req.Stream); err != nil {
		// After a failed write, a response that the server has sent is still read.
		if !out.failed() {
			cn.close()
		}
		return err
	}
	_, err := io.WriteString(out, "0\r\n\r\n")
	return err
}

// requestWriter writes a request to its connection and keeps the error of the last write.
type requestWriter struct {
	nc net.Conn
	// mu is held during a write.
	mu  sync.Mutex
	err error
}

// Write implements io.Writer.
func (w *requestWriter) Write(p []byte) (n int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, w.err = w.nc.Write(p)
	return n, w.err
}

// failed reports whether the last write failed.
func (w *requestWriter) failed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err != nil
}

// stop ends the write in progress and makes later ones fail. It returns the error with
// which the connection broke, if a write met it.
func (w *requestWriter) stop() error {
	_ = w.nc.SetWriteDeadline(time.Unix(1, 0))
	w.mu.Lock()
	defer w.mu.Unlock()
	if errors.Is(w.err, os.ErrDeadlineExceeded) || errors.Is(w.err, syscall.EPIPE) {
		// EPIPE is reported if the server had closed its side before the connection broke.
		return nil
	}
	return w.err
}

// chunkWriter writes each non-empty slice as a chunk of the chunked transfer
// coding.
type chunkWriter struct{ w io.Writer }

func (c *chunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if _, err := fmt.Fprintf(c.w, "%x\r\n", len(p)); err != nil {
		return 0, err
	}
	n, err := c.w.Write(p)
	if err != nil {
		return n, err
	}
	_, err = io.WriteString(c.w, "\r\n")
	return n, err
}

// appendHead appends the request line and the header section to b.
func appendHead(b []byte, h *Headers, target Target, req *Request) []byte {
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.URI...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", req.Host)
	for name, values := range req.Header {
		if slices.Contains(h.Strip, name) {
			continue
		}
		for _, v := range values {
			b = appendField(b, name, v)
		}
	}
	remainingMS := max(1, time.Until(req.Deadline).Milliseconds())
	b = appendField(b, h.DeadlineMS, strconv.FormatInt(remainingMS, 10))
	b = appendField(b, h.ExpectServer, string(target.Server))
	if req.Customer != "" {
		b = appendField(b, h.Customer, string(req.Customer))
	}
	switch {
	case req.Stream != nil && req.Length < 0:
		b = appendField(b, "Transfer-Encoding", "chunked")
	case req.Stream != nil:
		b = appendField(b, "Content-Length", strconv.FormatInt(req.Length, 10))
	case len(req.Body) > 0 || methodExpectsBody(req.Method):
		b = appendField(b, "Content-Length", strconv.Itoa(len(req.Body)))
	}
	return append(b, "\r\n"...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

func methodExpectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
