package egress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/topo"
)

const (
	// readBuffer is the size of a connection's buffer, in bytes.
	readBuffer = 4 << 10
	// maxStale bounds late answers to earlier requests that are skipped
	// before the answer to this one.
	maxStale = 3
	// maxRefusalBody is how much of a refusal's body is read so that its
	// connection can be kept, in bytes.
	maxRefusalBody = 4 << 10
)

// errAmbiguous is an answer that cannot be attributed to the request.
var errAmbiguous = errors.New("the answer belongs to no request of this connection")

// conn is one connection to a server. It carries one exchange at a time.
type conn struct {
	client    *Client
	server    topo.ServerID
	nc        net.Conn
	br        *bufio.Reader
	idleUntil time.Time
	// wrote says that a byte of the current request was written.
	wrote bool
	// reusable is cleared when the connection must not carry another request.
	reusable bool
	once     sync.Once
}

func newConn(c *Client, id topo.ServerID, nc net.Conn) *conn {
	return &conn{client: c, server: id, nc: nc, br: bufio.NewReaderSize(nc, readBuffer)}
}

func (cn *conn) close() {
	cn.once.Do(func() {
		_ = cn.nc.Close()
		cn.client.closed(cn.server)
	})
}

// quiet reports whether the server neither closed the connection nor sent
// bytes that no request asked for.
func (cn *conn) quiet() bool {
	if cn.br.Buffered() > 0 {
		return false
	}
	sc, ok := cn.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, rerr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = rerr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// exchange sends req and reads the head of its answer.
func (cn *conn) exchange(ctx context.Context, h *Headers, target Target, req *Request) (*Response, error) {
	cn.wrote, cn.reusable = false, true
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.nc.SetDeadline(time.Unix(1, 0)) })
	written, err := cn.send(h, target, req)
	if err != nil {
		stop()
		return nil, err
	}
	resp, err := cn.answer(h, req)
	if err != nil {
		stop()
		return nil, err
	}
	select {
	case werr := <-written:
		cn.reusable = cn.reusable && werr == nil
	default:
		// The server answered before it had the whole body. Whatever is sent
		// next must not be taken for the rest of it.
		cn.reusable = false
	}
	return cn.response(h, req, resp, stop), nil
}

// send writes the request. A long body is written beside the reading of the
// answer, which may come first.
func (cn *conn) send(h *Headers, target Target, req *Request) (<-chan error, error) {
	written := make(chan error, 1)
	head := appendHead(make([]byte, 0, 1024), h, target, req)
	if req.Stream == nil && len(req.Body) <= readBuffer {
		head = append(head, req.Body...)
		cn.wrote = true
		n, err := cn.nc.Write(head)
		cn.wrote = n > 0
		written <- err
		return written, err
	}
	cn.wrote = true
	if n, err := cn.nc.Write(head); err != nil {
		cn.wrote = n > 0
		return nil, err
	}
	go func() { written <- cn.sendBody(req) }()
	return written, nil
}

func (cn *conn) sendBody(req *Request) error {
	if req.Stream == nil {
		_, err := cn.nc.Write(req.Body)
		return err
	}
	if req.Length >= 0 {
		n, err := io.Copy(cn.nc, io.LimitReader(req.Stream, req.Length))
		if err == nil && n < req.Length {
			// The server must not take a part of the body for all of it.
			cn.close()
			return io.ErrUnexpectedEOF
		}
		return err
	}
	w := &chunkWriter{w: cn.nc}
	if _, err := io.Copy(w, req.Stream); err != nil {
		cn.close()
		return err
	}
	_, err := io.WriteString(cn.nc, "0\r\n\r\n")
	return err
}

// chunkWriter writes each block as a chunk.
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

// appendHead appends the request line and header section.
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
	left := max(1, time.Until(req.Deadline).Milliseconds())
	b = appendField(b, h.DeadlineMS, strconv.FormatInt(left, 10))
	b = appendField(b, h.ExpectServer, string(target.ID))
	if req.Customer != "" {
		b = appendField(b, h.Customer, string(req.Customer))
	}
	switch {
	case req.Stream != nil && req.Length < 0:
		b = appendField(b, "Transfer-Encoding", "chunked")
	case req.Stream != nil:
		b = appendField(b, "Content-Length", strconv.FormatInt(req.Length, 10))
	case len(req.Body) > 0 || hasBody(req.Method):
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

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// answer reads heads until the one that answers req.
func (cn *conn) answer(h *Headers, req *Request) (*http.Response, error) {
	for skipped := 0; skipped <= maxStale; {
		resp, err := http.ReadResponse(cn.br, &http.Request{Method: req.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			if resp.StatusCode == http.StatusSwitchingProtocols {
				return nil, errors.New("unexpected protocol switch")
			}
			continue
		}
		got := resp.Header[h.RequestID]
		if len(got) == 1 && got[0] == req.ID {
			return resp, nil
		}
		if len(got) == 0 {
			// A server refuses a request that it could not read without an id.
			if cn.notRun(h, resp) {
				return resp, nil
			}
			return nil, errAmbiguous
		}
		if unframed(resp) {
			return nil, errAmbiguous
		}
		// A late second answer to an earlier request.
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
		skipped++
		cn.reusable = false
	}
	return nil, errAmbiguous
}

// notRun reports whether the server says that it did not run the request.
func (cn *conn) notRun(h *Headers, resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(h.NotRun) != ""
}

func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// response turns a head into a Response whose body ends the exchange.
func (cn *conn) response(h *Headers, req *Request, resp *http.Response, stop func() bool) *Response {
	out := &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		NotRun: cn.notRun(h, resp), Sealed: resp.Header.Get(h.Seal) != "",
	}
	if h.ParseLoad != nil {
		out.Load, out.HasLoad = h.ParseLoad(resp.Header.Get(h.Load))
	}
	if resp.Close || unframed(resp) {
		cn.reusable = false
	}
	cn.idleUntil = time.Now().Add(keepTime(resp.Header.Get("Keep-Alive")))
	call.StripHopByHop(out.Header)
	b := &body{cn: cn, r: resp.Body, stop: stop, ended: resp.ContentLength == 0}
	out.Body = b
	if out.NotRun {
		// A refusal is small and its body is of no use to a caller.
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxRefusalBody))
		b.ended = err == nil && n < maxRefusalBody
	}
	return out
}

// keepTime returns how long the connection may be kept idle.
func keepTime(keepAlive string) time.Duration {
	for _, part := range strings.Split(keepAlive, ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil && n >= 0 {
				return time.Duration(float64(n) * idleShare * float64(time.Second))
			}
		}
	}
	return defaultIdle
}

// body reads a response body. Its end or Close returns the connection.
type body struct {
	cn    *conn
	r     io.ReadCloser
	stop  func() bool
	ended bool
	done  bool
}

// Read implements io.Reader. An error other than io.EOF means that the answer
// is incomplete.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err == io.EOF {
		b.ended = true
		b.finish()
	}
	return n, err
}

// Close ends the exchange; a body that was not read to its end costs the
// connection.
func (b *body) Close() error {
	b.finish()
	return nil
}

func (b *body) finish() {
	if b.done {
		return
	}
	b.done = true
	if !b.stop() {
		// The context ended and the connection's deadline has passed.
		b.cn.reusable = false
	}
	if b.ended && b.cn.reusable && b.cn.br.Buffered() == 0 {
		b.cn.client.keep(b.cn)
		return
	}
	b.cn.close()
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
