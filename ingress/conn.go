package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"

	"godwitlock.example/godwitlock/call"
)

const (
	// maxPipelined bounds the requests of a connection that run at once.
	maxPipelined = 16
	// maxBufferedBodyBytes is the longest body that is read whole before the request
	// runs, so that it can be sent again, in bytes.
	maxBufferedBodyBytes = 64 << 10
	// bodyReadTimeout bounds the wait for each part of a body.
	bodyReadTimeout = 5 * time.Second
	// writeTimeout bounds the time in which a caller takes nothing.
	writeTimeout = 5 * time.Second
	// lingerTimeout is how long a closed connection is read on: closing with
	// unread bytes resets it and may destroy the last answer.
	lingerTimeout = 300 * time.Millisecond
	// headerSlackBytes is what the request line and the reader may take beyond the
	// limit of the header section, in bytes.
	headerSlackBytes = 4 << 10
	// bufferBytes is the size of a connection's buffer, in bytes.
	bufferBytes = 4 << 10
)

// errHeaderTooLarge is returned by a header section over its limit.
var errHeaderTooLarge = errors.New("header section too large")

// conn is one caller's connection. Its reader starts requests, its writer
// answers them in order.
type conn struct {
	srv     *Server
	nc      net.Conn
	limited *limitedReader
	br      *bufio.Reader
	ctx     context.Context
	cancel  context.CancelFunc
	// outstanding counts requests that were read and not answered.
	outstanding atomic.Int32
	// pending holds the answers to come, in order.
	pending chan *pendingResponse
	// writerDone is closed by the writer when it will answer nothing more.
	writerDone chan struct{}
	closing    atomic.Bool
	// writeEnded says that the writer will answer nothing more.
	writeEnded atomic.Bool
	// lastWrite is the time of the last answer, in Unix nanoseconds.
	lastWrite atomic.Int64
}

// pendingResponse is the place of one answer.
type pendingResponse struct {
	response chan *Response
	method   string
	// last ends the connection after this answer.
	last bool
}

// limitedReader fails after limit bytes; a negative limit means none.
type limitedReader struct {
	r         io.Reader
	remaining int64
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if l.remaining > 0 && int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.r.Read(p)
	if l.remaining > 0 {
		l.remaining -= int64(n)
	}
	return n, err
}

func newConn(s *Server, nc net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	limit := &limitedReader{r: nc, remaining: -1}
	c := &conn{
		srv: s, nc: nc, limited: limit, br: bufio.NewReaderSize(limit, bufferBytes),
		ctx: ctx, cancel: cancel,
		pending: make(chan *pendingResponse, maxPipelined), writerDone: make(chan struct{}),
	}
	c.lastWrite.Store(time.Now().UnixNano())
	return c
}

// interrupt makes the reader stop.
func (c *conn) interrupt() {
	c.closing.Store(true)
	_ = c.nc.SetReadDeadline(time.Unix(1, 0))
}

// serve runs the connection to its end.
func (c *conn) serve() {
	go c.writeLoop()
	callerGone := c.readLoop()
	close(c.pending)
	if callerGone {
		c.cancel()
	}
	<-c.writerDone
	c.cancel()
	c.linger()
}

// linger closes the connection without destroying what was written.
func (c *conn) linger() {
	if tcp, ok := c.nc.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, c.nc)
	}
	_ = c.nc.Close()
}

// readLoop starts requests until the connection ends. It returns whether the
// caller is gone.
func (c *conn) readLoop() (callerGone bool) {
	for {
		limits := c.srv.effectiveLimits()
		if !c.awaitRequest(limits) {
			return !c.closing.Load()
		}
		req, refusal, err := c.readRequest(limits)
		if refusal != nil {
			c.enqueue(&pendingResponse{response: resolved(refusal), last: true})
			return false
		}
		if err != nil {
			return true
		}
		if !c.startRequest(req) {
			return req.Stream == nil && c.awaitDisconnect()
		}
	}
}

// awaitRequest waits for the first byte of the next request.
func (c *conn) awaitRequest(limits Limits) bool {
	for {
		if c.br.Buffered() > 0 {
			return !c.closing.Load()
		}
		if c.closing.Load() {
			return false
		}
		idleFrom := time.Unix(0, c.lastWrite.Load())
		if c.outstanding.Load() > 0 {
			idleFrom = time.Now()
		}
		_ = c.nc.SetReadDeadline(idleFrom.Add(limits.IdleTimeout))
		if c.closing.Load() {
			return false
		}
		_, err := c.br.Peek(1)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.closing.Load() {
			return false
		}
		idle := time.Since(time.Unix(0, c.lastWrite.Load()))
		if c.outstanding.Load() == 0 && idle >= limits.IdleTimeout {
			c.closing.Store(true)
			return false
		}
	}
}

// awaitDisconnect waits, behind the last request of the connection, until it was
// answered (false) or the caller is gone (true).
func (c *conn) awaitDisconnect() bool {
	_ = c.nc.SetReadDeadline(time.Time{})
	if c.writeEnded.Load() {
		return false
	}
	_, err := io.Copy(io.Discard, c.br)
	return !errors.Is(err, os.ErrDeadlineExceeded) && !c.writeEnded.Load()
}

// readRequest reads one request with its body. A refusal ends the connection;
// an error means that the caller is gone.
func (c *conn) readRequest(limits Limits) (*Request, *Response, error) {
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.limited.remaining = int64(limits.HeaderBytes + headerSlackBytes)
	hr, err := http.ReadRequest(c.br)
	c.limited.remaining = -1
	if err != nil {
		return nil, parseErrorResponse(err), err
	}
	req, refusal := c.newRequest(hr)
	if refusal != nil {
		return nil, refusal, nil
	}
	if hr.ContentLength > limits.BodyBytes {
		return nil, statusResponse(http.StatusRequestEntityTooLarge), nil
	}
	if strings.EqualFold(hr.Header.Get("Expect"), "100-continue") && c.outstanding.Load() == 0 {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, err
		}
	}
	return c.readBody(req, hr, limits)
}

// parseErrorResponse returns the answer to a request that cannot be read, or nil when
// the caller is gone.
func parseErrorResponse(err error) *Response {
	var netErr net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return statusResponse(http.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return statusResponse(http.StatusRequestTimeout)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return nil
	}
	return statusResponse(http.StatusBadRequest)
}

// newRequest turns a parsed head into a Request.
func (c *conn) newRequest(hr *http.Request) (*Request, *Response) {
	h := &c.srv.headers
	if hr.ProtoMajor != 1 || hr.Host == "" || hr.URL.Path == "" || hr.URL.Path[0] != '/' || hr.URL.IsAbs() {
		return nil, statusResponse(http.StatusBadRequest)
	}
	for name, values := range hr.Header {
		// net/http leaves names with a space in place, which others may read
		// as the field without it.
		if !httpguts.ValidHeaderFieldName(name) || slices.ContainsFunc(values, invalidValue) {
			return nil, statusResponse(http.StatusBadRequest)
		}
	}
	now := time.Now()
	req := &Request{
		ID: hr.Header.Get(h.RequestID), Method: hr.Method, URI: hr.RequestURI, Path: hr.URL.Path, Host: hr.Host,
		CallerKey: hr.Header.Get(h.CallerKey), Arrived: now,
	}
	if v := hr.Header.Get(h.DeadlineMS); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 0 {
			return nil, statusResponse(http.StatusBadRequest)
		}
		req.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	if v := hr.Header.Get(h.Key); v != "" {
		n, err := strconv.ParseUint(v, 10, 16)
		if err != nil {
			return nil, statusResponse(http.StatusBadRequest)
		}
		req.Key, req.HasKey = uint16(n), true
	}
	req.Header = hr.Header
	req.Header.Del(h.CallerKey)
	req.Header.Del("Expect")
	req.Header.Del("Content-Length")
	return req, nil
}

func invalidValue(v string) bool { return !httpguts.ValidHeaderFieldValue(v) }

// readBody reads a short body whole and leaves a long one to be streamed.
func (c *conn) readBody(req *Request, hr *http.Request, limits Limits) (*Request, *Response, error) {
	closeAfter := hr.Close || !hr.ProtoAtLeast(1, 1)
	call.StripHopByHop(req.Header)
	if closeAfter {
		c.closing.Store(true)
	}
	if hr.Body == http.NoBody || hr.ContentLength == 0 {
		return req, nil, nil
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	source := http.MaxBytesReader(nil, hr.Body, limits.BodyBytes)
	if hr.ContentLength > maxBufferedBodyBytes {
		req.Stream, req.Length = &bodyReader{c: c, r: source}, hr.ContentLength
		return req, nil, nil
	}
	data, err := io.ReadAll(io.LimitReader(source, maxBufferedBodyBytes+1))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, statusResponse(http.StatusRequestEntityTooLarge), nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, statusResponse(http.StatusRequestTimeout), nil
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, nil, err
	case err != nil:
		return nil, parseErrorResponse(err), err
	}
	if len(data) <= maxBufferedBodyBytes {
		req.Body = data
		return req, nil, nil
	}
	rest := &bodyReader{c: c, r: source}
	req.Stream, req.Length = io.MultiReader(strings.NewReader(string(data)), rest), hr.ContentLength
	return req, nil, nil
}

// bodyReader reads a streamed body with a bound on each wait.
type bodyReader struct {
	c *conn
	r io.Reader
}

func (b *bodyReader) Read(p []byte) (int, error) {
	_ = b.c.nc.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	return b.r.Read(p)
}

// startRequest runs a request and reports whether another one may be read.
func (c *conn) startRequest(req *Request) bool {
	p := &pendingResponse{response: make(chan *Response, 1), method: req.Method, last: c.closing.Load()}
	c.outstanding.Add(1)
	if !c.enqueue(p) {
		return false
	}
	run := func() {
		resp := c.srv.handler(c.ctx, req)
		if req.Stream != nil {
			// What the handler left of the body would be taken for a request.
			p.last = true
		}
		p.response <- resp
	}
	if req.Stream != nil {
		run()
		return false
	}
	go run()
	return !p.last
}

func (c *conn) enqueue(p *pendingResponse) bool {
	select {
	case c.pending <- p:
		return true
	case <-c.writerDone:
		return false
	}
}

// writeLoop sends the answers in order.
func (c *conn) writeLoop() {
	defer close(c.writerDone)
	bw := bufio.NewWriterSize(c.nc, bufferBytes)
	for p := range c.pending {
		var resp *Response
		select {
		case resp = <-p.response:
		case <-c.ctx.Done():
			// The caller is gone; the handler sees the same and answers soon.
			resp = <-p.response
			resp.Abort = true
		}
		last := p.last || c.srv.draining.Load()
		err := c.writeResponse(bw, p, resp, last)
		if resp.OnWritten != nil {
			resp.OnWritten(err)
		}
		c.lastWrite.Store(time.Now().UnixNano())
		c.outstanding.Add(-1)
		if err != nil || last {
			c.shutdown()
			return
		}
	}
}

// shutdown stops the reader and the requests behind the last answer, which count
// as not read.
func (c *conn) shutdown() {
	c.writeEnded.Store(true)
	c.cancel()
	c.interrupt()
	go func() {
		for p := range c.pending {
			if resp := <-p.response; resp.Stream != nil {
				_ = resp.Stream.Close()
			}
		}
	}()
}

// errAborted ends a connection without an answer.
var errAborted = errors.New("connection closed without an answer")

func (c *conn) writeResponse(bw *bufio.Writer, p *pendingResponse, resp *Response, last bool) error {
	if resp.Stream != nil {
		defer func() { _ = resp.Stream.Close() }()
	}
	if resp.Abort {
		return errAborted
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	writeHead(bw, resp, last)
	if p.method == http.MethodHead || resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified {
		return bw.Flush()
	}
	if resp.Stream == nil {
		_, _ = bw.Write(resp.Body)
		return bw.Flush()
	}
	return c.writeStream(bw, resp)
}

// writeHead writes the status line and header section.
func writeHead(bw *bufio.Writer, resp *Response, last bool) {
	_, _ = bw.WriteString("HTTP/1.1 " + strconv.Itoa(resp.Status) + " " + http.StatusText(resp.Status) + "\r\n")
	for name, values := range resp.Header {
		if name == "Content-Length" || name == "Transfer-Encoding" || name == "Connection" {
			continue
		}
		for _, v := range values {
			_, _ = bw.WriteString(name + ": " + v + "\r\n")
		}
	}
	switch {
	case resp.Stream != nil && resp.Length < 0:
		_, _ = bw.WriteString("Transfer-Encoding: chunked\r\n")
	case resp.Stream != nil:
		_, _ = bw.WriteString("Content-Length: " + strconv.FormatInt(resp.Length, 10) + "\r\n")
	case resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified:
		_, _ = bw.WriteString("Content-Length: " + strconv.Itoa(len(resp.Body)) + "\r\n")
	}
	if last {
		_, _ = bw.WriteString("Connection: close\r\n")
	}
	_, _ = bw.WriteString("\r\n")
}

// writeStream copies a body. An error of its source leaves the answer
// visibly incomplete.
func (c *conn) writeStream(bw *bufio.Writer, resp *Response) error {
	buf := make([]byte, bufferBytes)
	remaining := resp.Length
	for {
		n, err := resp.Stream.Read(buf)
		if n > 0 {
			_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			if resp.Length < 0 {
				_, _ = bw.WriteString(strconv.FormatInt(int64(n), 16) + "\r\n")
			}
			_, _ = bw.Write(buf[:n])
			if resp.Length < 0 {
				_, _ = bw.WriteString("\r\n")
			}
			remaining -= int64(n)
			if flushErr := bw.Flush(); flushErr != nil {
				return flushErr
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	if resp.Length < 0 {
		_, _ = bw.WriteString("0\r\n\r\n")
	} else if remaining != 0 {
		return io.ErrUnexpectedEOF
	}
	return bw.Flush()
}

// statusResponse returns an answer of the front end's own.
func statusResponse(status int) *Response {
	return &Response{
		Status: status,
		Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		Body:   []byte(http.StatusText(status) + "\n"),
	}
}

func resolved(a *Response) chan *Response {
	ch := make(chan *Response, 1)
	ch <- a
	return ch
}
