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
	"godwitlock.example/godwitlock/internal/readlimit"
	"godwitlock.example/godwitlock/topo"
)

const (
	// bufferBytes is the size of a connection's read buffer. A body up to this
	// size is written together with the head.
	bufferBytes = 4 << 10
	// maxStaleResponses bounds the late responses to earlier requests that are
	// skipped before the response to the current one.
	maxStaleResponses = 3
	// maxStaleBodyBytes bounds the body of a late response that is skipped.
	maxStaleBodyBytes = 1 << 20
	// maxRefusalBodyBytes bounds how much of the body of a refusal is read so
	// that the connection can be reused.
	maxRefusalBodyBytes = 4 << 10
	// refusalBodyTimeout bounds the wait for that body. A later one costs the
	// connection, not time that another attempt could use.
	refusalBodyTimeout = 50 * time.Millisecond
)

// errUnmatchedResponse reports a response that cannot be attributed to the
// current request.
var errUnmatchedResponse = errors.New("response does not carry the ID of the current request")

// conn is a connection to a server. It carries one exchange at a time.
type conn struct {
	client    *Client
	server    topo.ServerID
	nc        net.Conn
	limited   *readlimit.Reader
	br        *bufio.Reader
	idleUntil time.Time
	// writeStarted is set when at least one byte of the current request may
	// have been written.
	writeStarted bool
	// reusable is cleared when the connection must not carry another request.
	reusable  bool
	closeOnce sync.Once
}

func newConn(c *Client, id topo.ServerID, nc net.Conn) *conn {
	limited := readlimit.New(nc)
	return &conn{client: c, server: id, nc: nc, limited: limited, br: bufio.NewReaderSize(limited, bufferBytes)}
}

func (cn *conn) close() {
	cn.closeOnce.Do(func() {
		_ = cn.nc.Close()
		cn.client.connClosed(cn.server)
	})
}

// healthy reports whether an idle connection can carry a request: the server
// has neither closed it nor sent unsolicited bytes.
func (cn *conn) healthy() bool {
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
	noInput := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, rerr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noInput = rerr == unix.EAGAIN
		return true
	})
	return err == nil && noInput
}

// exchange sends req and reads the head of its response. If ctx ends before the
// body of the response was read or closed, reads and writes fail.
func (cn *conn) exchange(ctx context.Context, h *Headers, target Target, req *Request) (*Response, error) {
	cn.writeStarted, cn.reusable = false, true
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.nc.SetDeadline(time.Unix(1, 0)) })
	writeResult, err := cn.sendRequest(h, target, req)
	if err != nil {
		stop()
		return nil, err
	}
	resp, err := cn.readHead(h, req)
	if err != nil {
		stop()
		return nil, err
	}
	select {
	case werr := <-writeResult:
		cn.reusable = cn.reusable && werr == nil
	default:
		// The server answered before it had received the whole body. It would
		// read the next request as the rest of that body.
		cn.reusable = false
	}
	return cn.newResponse(h, req, resp, stop), nil
}

// sendRequest writes the request. A long body is written concurrently with
// reading the response, which may arrive before the body is complete; the
// returned channel receives the result of the write.
func (cn *conn) sendRequest(h *Headers, target Target, req *Request) (<-chan error, error) {
	writeResult := make(chan error, 1)
	head := appendHead(make([]byte, 0, 1024), h, target, req)
	if req.Stream == nil && len(req.Body) <= bufferBytes {
		head = append(head, req.Body...)
		cn.writeStarted = true
		n, err := cn.nc.Write(head)
		cn.writeStarted = n > 0
		writeResult <- err
		return writeResult, err
	}
	cn.writeStarted = true
	if n, err := cn.nc.Write(head); err != nil {
		cn.writeStarted = n > 0
		return nil, err
	}
	go func() { writeResult <- cn.sendBody(req) }()
	return writeResult, nil
}

func (cn *conn) sendBody(req *Request) error {
	if req.Stream == nil {
		_, err := cn.nc.Write(req.Body)
		return err
	}
	if req.Length >= 0 {
		n, err := io.Copy(cn.nc, io.LimitReader(req.Stream, req.Length))
		if err == nil && n < req.Length {
			// Closing the connection keeps the server from treating a
			// truncated body as complete.
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
	b = appendField(b, h.ExpectServer, string(target.ID))
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

// readHead reads response heads until the one that carries the ID of req. It
// skips late responses to earlier requests.
func (cn *conn) readHead(h *Headers, req *Request) (*http.Response, error) {
	for skipped := 0; skipped <= maxStaleResponses; skipped++ {
		resp, err := cn.readFinalHead(req)
		if err != nil {
			return nil, err
		}
		got := resp.Header[h.RequestID]
		if len(got) == 1 && got[0] == req.ID {
			return resp, nil
		}
		if len(got) == 0 {
			// A server that could not read the request refuses it without
			// returning its ID.
			if cn.notRun(h, resp) {
				return resp, nil
			}
			return nil, errUnmatchedResponse
		}
		if closeDelimited(resp) {
			return nil, errUnmatchedResponse
		}
		// This is a late second response to an earlier request.
		if err := skipBody(resp.Body); err != nil {
			return nil, err
		}
		cn.reusable = false
	}
	return nil, errUnmatchedResponse
}

// skipBody reads a body to its end. It fails after maxStaleBodyBytes.
func skipBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxStaleBodyBytes+1))
	if err == nil && n > maxStaleBodyBytes {
		return errors.Errorf("body of a late response is longer than %d bytes", maxStaleBodyBytes)
	}
	return err
}

// readFinalHead reads response heads until one that is not informational. It
// fails after readlimit.ResponseHeadBytes.
func (cn *conn) readFinalHead(req *Request) (*http.Response, error) {
	cn.limited.SetLimit(readlimit.ResponseHeadBytes)
	defer cn.limited.Unlimit()
	for {
		if err := cn.checkStatusLine(); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(cn.br, &http.Request{Method: req.Method})
		switch {
		case errors.Is(err, readlimit.ErrExceeded):
			return nil, errors.Annotatef(err, "response has no complete head within %d bytes", readlimit.ResponseHeadBytes)
		case err != nil:
			return nil, err
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("unexpected response 101 Switching Protocols")
		case resp.StatusCode >= 200:
			return resp, nil
		}
	}
}

// statusLineStart is the form of the start of a status line. A d stands for any
// digit and an s for the first digit of the status, which is not 0.
const statusLineStart = "HTTP/1.d sdd"

// checkStatusLine waits for the start of a status line. It fails at the first
// byte that does not belong there, without waiting for the end of the line.
func (cn *conn) checkStatusLine() error {
	for i := range len(statusLineStart) {
		b, err := cn.br.Peek(i + 1)
		if err != nil {
			return err
		}
		if !matchesForm(b[i], statusLineStart[i]) {
			return errors.Errorf("response starts with %q, expected a status line of HTTP/1.x", b)
		}
	}
	return nil
}

func matchesForm(b, form byte) bool {
	switch form {
	case 'd':
		return b >= '0' && b <= '9'
	case 's':
		return b >= '1' && b <= '9'
	}
	return b == form
}

// notRun reports whether the server states that it did not run the request.
func (cn *conn) notRun(h *Headers, resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(h.NotRun) != ""
}

// closeDelimited reports whether only the close of the connection marks the end
// of the body.
func closeDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// newResponse returns the Response for a head. Reading its body to the end or
// closing it ends the exchange.
func (cn *conn) newResponse(h *Headers, req *Request, resp *http.Response, stop func() bool) *Response {
	out := &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		NotRun: cn.notRun(h, resp), Sealed: resp.Header.Get(h.Seal) != "",
	}
	if h.ParseLoad != nil {
		out.Load, out.HasLoad = h.ParseLoad(resp.Header.Get(h.Load))
	}
	if resp.Close || closeDelimited(resp) {
		cn.reusable = false
	}
	cn.idleUntil = time.Now().Add(keepAliveTimeout(resp.Header.Get("Keep-Alive")))
	call.StripHopByHop(out.Header)
	b := &responseBody{cn: cn, r: resp.Body, stop: stop, complete: resp.ContentLength == 0}
	out.Body, out.body = b, b
	if out.NotRun {
		b.skipRefusal()
	}
	return out
}

// keepAliveTimeout returns how long a connection may stay idle, given the
// Keep-Alive field of a response.
func keepAliveTimeout(keepAlive string) time.Duration {
	for _, part := range strings.Split(keepAlive, ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil && n >= 0 {
				return time.Duration(float64(n) * keepAliveFraction * float64(time.Second))
			}
		}
	}
	return defaultIdleTimeout
}

// responseBody reads the body of a response. At its end or on Close, the
// connection is returned to the client or closed.
type responseBody struct {
	cn       *conn
	r        io.ReadCloser
	stop     func() bool
	complete bool
	finished bool
	// timeLimited is set when the connection has a read deadline.
	timeLimited bool
}

func (b *responseBody) limitTime(d time.Duration) {
	b.timeLimited = true
	_ = b.cn.nc.SetReadDeadline(time.Now().Add(d))
}

// skipRefusal reads the body of a refusal, which is small and not passed on, to
// keep the connection reusable.
func (b *responseBody) skipRefusal() {
	b.limitTime(refusalBodyTimeout)
	n, err := io.Copy(io.Discard, io.LimitReader(b.r, maxRefusalBodyBytes))
	b.complete = err == nil && n < maxRefusalBodyBytes
}

// Read implements io.Reader. An error other than io.EOF means that the body is
// incomplete.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err == io.EOF {
		b.complete = true
		b.finish()
	}
	return n, err
}

// Close ends the exchange. If the body was not read to its end, the connection
// is closed instead of reused.
func (b *responseBody) Close() error {
	b.finish()
	return nil
}

func (b *responseBody) finish() {
	if b.finished {
		return
	}
	b.finished = true
	if !b.stop() {
		// The context has ended and its callback expires the deadline of the
		// connection.
		b.cn.reusable = false
	}
	if b.complete && b.cn.reusable && b.cn.br.Buffered() == 0 {
		if b.timeLimited {
			_ = b.cn.nc.SetReadDeadline(time.Time{})
		}
		b.cn.client.putIdle(b.cn)
		return
	}
	b.cn.close()
}

func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
