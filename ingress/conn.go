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
	// bufferedBody is the longest body that is read whole before the request
	// runs, so that it can be sent again, in bytes.
	bufferedBody = 64 << 10
	// bodyTimeout bounds the wait for each part of a body.
	bodyTimeout = 5 * time.Second
	// writeTimeout bounds the time in which a caller takes nothing.
	writeTimeout = 5 * time.Second
	// lingerTimeout is how long a closed connection is read on: closing with
	// unread bytes resets it and may destroy the last answer.
	lingerTimeout = 300 * time.Millisecond
	// headerSlack is what the request line and the reader may take beyond the
	// limit of the header section, in bytes.
	headerSlack = 4 << 10
	// readBuffer is the size of a connection's buffer, in bytes.
	readBuffer = 4 << 10
)

// errHeaderTooLarge is returned by a header section over its limit.
var errHeaderTooLarge = errors.New("header section too large")

// conn is one caller's connection. Its reader starts requests, its writer
// answers them in order.
type conn struct {
	srv    *Server
	nc     net.Conn
	limit  *limitedReader
	br     *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	// outstanding counts requests that were read and not answered.
	outstanding atomic.Int32
	// pending holds the answers to come, in order.
	pending chan *pendingAnswer
	// stopped is closed by the writer when it will answer nothing more.
	stopped chan struct{}
	closing atomic.Bool
	// ended says that the writer will answer nothing more.
	ended atomic.Bool
	// lastWrite is the time of the last answer, in Unix nanoseconds.
	lastWrite atomic.Int64
}

// pendingAnswer is the place of one answer.
type pendingAnswer struct {
	answer chan *Answer
	method string
	// last ends the connection after this answer.
	last bool
}

// limitedReader fails after limit bytes; a negative limit means none.
type limitedReader struct {
	r     io.Reader
	limit int64
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.limit == 0 {
		return 0, errHeaderTooLarge
	}
	if l.limit > 0 && int64(len(p)) > l.limit {
		p = p[:l.limit]
	}
	n, err := l.r.Read(p)
	if l.limit > 0 {
		l.limit -= int64(n)
	}
	return n, err
}

func newConn(s *Server, nc net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	limit := &limitedReader{r: nc, limit: -1}
	c := &conn{
		srv: s, nc: nc, limit: limit, br: bufio.NewReaderSize(limit, readBuffer),
		ctx: ctx, cancel: cancel,
		pending: make(chan *pendingAnswer, maxPipelined), stopped: make(chan struct{}),
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
	go c.write()
	gone := c.read()
	close(c.pending)
	if gone {
		c.cancel()
	}
	<-c.stopped
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

// read starts requests until the connection ends. It returns whether the
// caller is gone.
func (c *conn) read() (gone bool) {
	for {
		limits := c.srv.effective()
		if !c.awaitRequest(limits) {
			return !c.closing.Load()
		}
		req, refusal, err := c.readRequest(limits)
		if refusal != nil {
			c.enqueue(&pendingAnswer{answer: ready(refusal), last: true})
			return false
		}
		if err != nil {
			return true
		}
		if !c.start(req) {
			return req.Stream == nil && c.awaitGone()
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

// awaitGone waits, behind the last request of the connection, until it was
// answered (false) or the caller is gone (true).
func (c *conn) awaitGone() bool {
	_ = c.nc.SetReadDeadline(time.Time{})
	if c.ended.Load() {
		return false
	}
	_, err := io.Copy(io.Discard, c.br)
	return !errors.Is(err, os.ErrDeadlineExceeded) && !c.ended.Load()
}

// readRequest reads one request with its body. A refusal ends the connection;
// an error means that the caller is gone.
func (c *conn) readRequest(limits Limits) (*Request, *Answer, error) {
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.limit.limit = int64(limits.HeaderBytes + headerSlack)
	hr, err := http.ReadRequest(c.br)
	c.limit.limit = -1
	if err != nil {
		return nil, refusalFor(err), err
	}
	req, refusal := c.convert(hr)
	if refusal != nil {
		return nil, refusal, nil
	}
	if hr.ContentLength > limits.BodyBytes {
		return nil, plain(http.StatusRequestEntityTooLarge), nil
	}
	if strings.EqualFold(hr.Header.Get("Expect"), "100-continue") && c.outstanding.Load() == 0 {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, err
		}
	}
	return c.readBody(req, hr, limits)
}

// refusalFor returns the answer to a request that cannot be read, or nil when
// the caller is gone.
func refusalFor(err error) *Answer {
	var netErr net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return plain(http.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return plain(http.StatusRequestTimeout)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return nil
	}
	return plain(http.StatusBadRequest)
}

// convert turns a parsed head into a Request.
func (c *conn) convert(hr *http.Request) (*Request, *Answer) {
	h := &c.srv.headers
	if hr.ProtoMajor != 1 || hr.Host == "" || hr.URL.Path == "" || hr.URL.Path[0] != '/' || hr.URL.IsAbs() {
		return nil, plain(http.StatusBadRequest)
	}
	for name, values := range hr.Header {
		// net/http leaves names with a space in place, which others may read
		// as the field without it.
		if !httpguts.ValidHeaderFieldName(name) || slices.ContainsFunc(values, invalidValue) {
			return nil, plain(http.StatusBadRequest)
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
			return nil, plain(http.StatusBadRequest)
		}
		req.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	if v := hr.Header.Get(h.Key); v != "" {
		n, err := strconv.ParseUint(v, 10, 16)
		if err != nil {
			return nil, plain(http.StatusBadRequest)
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
func (c *conn) readBody(req *Request, hr *http.Request, limits Limits) (*Request, *Answer, error) {
	closeAfter := hr.Close || !hr.ProtoAtLeast(1, 1)
	call.StripHopByHop(req.Header)
	if closeAfter {
		c.closing.Store(true)
	}
	if hr.Body == http.NoBody || hr.ContentLength == 0 {
		return req, nil, nil
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	source := http.MaxBytesReader(nil, hr.Body, limits.BodyBytes)
	if hr.ContentLength > bufferedBody {
		req.Stream, req.Length = &bodyReader{c: c, r: source}, hr.ContentLength
		return req, nil, nil
	}
	data, err := io.ReadAll(io.LimitReader(source, bufferedBody+1))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, plain(http.StatusRequestEntityTooLarge), nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, plain(http.StatusRequestTimeout), nil
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, nil, err
	case err != nil:
		return nil, refusalFor(err), err
	}
	if len(data) <= bufferedBody {
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
	_ = b.c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	return b.r.Read(p)
}

// start runs a request and reports whether another one may be read.
func (c *conn) start(req *Request) bool {
	p := &pendingAnswer{answer: make(chan *Answer, 1), method: req.Method, last: c.closing.Load()}
	c.outstanding.Add(1)
	if !c.enqueue(p) {
		return false
	}
	finish := func() {
		ans := c.srv.handler(c.ctx, req)
		if req.Stream != nil {
			// What the handler left of the body would be taken for a request.
			p.last = true
		}
		p.answer <- ans
	}
	if req.Stream != nil {
		finish()
		return false
	}
	go finish()
	return !p.last
}

func (c *conn) enqueue(p *pendingAnswer) bool {
	select {
	case c.pending <- p:
		return true
	case <-c.stopped:
		return false
	}
}

// write sends the answers in order.
func (c *conn) write() {
	defer close(c.stopped)
	bw := bufio.NewWriterSize(c.nc, readBuffer)
	for p := range c.pending {
		var ans *Answer
		select {
		case ans = <-p.answer:
		case <-c.ctx.Done():
			// The caller is gone; the handler sees the same and answers soon.
			ans = <-p.answer
			ans.Abort = true
		}
		last := p.last || c.srv.draining.Load()
		err := c.writeAnswer(bw, p, ans, last)
		if ans.Written != nil {
			ans.Written(err)
		}
		c.lastWrite.Store(time.Now().UnixNano())
		c.outstanding.Add(-1)
		if err != nil || last {
			c.end()
			return
		}
	}
}

// end stops the reader and the requests behind the last answer, which count
// as not read.
func (c *conn) end() {
	c.ended.Store(true)
	c.cancel()
	c.interrupt()
	go func() {
		for p := range c.pending {
			if ans := <-p.answer; ans.Stream != nil {
				_ = ans.Stream.Close()
			}
		}
	}()
}

// errAborted ends a connection without an answer.
var errAborted = errors.New("connection closed without an answer")

func (c *conn) writeAnswer(bw *bufio.Writer, p *pendingAnswer, ans *Answer, last bool) error {
	if ans.Stream != nil {
		defer func() { _ = ans.Stream.Close() }()
	}
	if ans.Abort {
		return errAborted
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	writeHead(bw, ans, last)
	if p.method == http.MethodHead || ans.Status == http.StatusNoContent || ans.Status == http.StatusNotModified {
		return bw.Flush()
	}
	if ans.Stream == nil {
		_, _ = bw.Write(ans.Body)
		return bw.Flush()
	}
	return c.writeStream(bw, ans)
}

// writeHead writes the status line and header section.
func writeHead(bw *bufio.Writer, ans *Answer, last bool) {
	_, _ = bw.WriteString("HTTP/1.1 " + strconv.Itoa(ans.Status) + " " + http.StatusText(ans.Status) + "\r\n")
	for name, values := range ans.Header {
		if name == "Content-Length" || name == "Transfer-Encoding" || name == "Connection" {
			continue
		}
		for _, v := range values {
			_, _ = bw.WriteString(name + ": " + v + "\r\n")
		}
	}
	switch {
	case ans.Stream != nil && ans.Length < 0:
		_, _ = bw.WriteString("Transfer-Encoding: chunked\r\n")
	case ans.Stream != nil:
		_, _ = bw.WriteString("Content-Length: " + strconv.FormatInt(ans.Length, 10) + "\r\n")
	case ans.Status != http.StatusNoContent && ans.Status != http.StatusNotModified:
		_, _ = bw.WriteString("Content-Length: " + strconv.Itoa(len(ans.Body)) + "\r\n")
	}
	if last {
		_, _ = bw.WriteString("Connection: close\r\n")
	}
	_, _ = bw.WriteString("\r\n")
}

// writeStream copies a body. An error of its source leaves the answer
// visibly incomplete.
func (c *conn) writeStream(bw *bufio.Writer, ans *Answer) error {
	buf := make([]byte, readBuffer)
	left := ans.Length
	for {
		n, err := ans.Stream.Read(buf)
		if n > 0 {
			_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			if ans.Length < 0 {
				_, _ = bw.WriteString(strconv.FormatInt(int64(n), 16) + "\r\n")
			}
			_, _ = bw.Write(buf[:n])
			if ans.Length < 0 {
				_, _ = bw.WriteString("\r\n")
			}
			left -= int64(n)
			if ferr := bw.Flush(); ferr != nil {
				return ferr
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	if ans.Length < 0 {
		_, _ = bw.WriteString("0\r\n\r\n")
	} else if left != 0 {
		return io.ErrUnexpectedEOF
	}
	return bw.Flush()
}

// plain returns an answer of the front end's own.
func plain(status int) *Answer {
	return &Answer{
		Status: status,
		Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		Body:   []byte(http.StatusText(status) + "\n"),
	}
}

func ready(a *Answer) chan *Answer {
	ch := make(chan *Answer, 1)
	ch <- a
	return ch
}
