package ingress

import (
	"bufio"
	"container/list"
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/internal/readlimit"
	"godwitlock.example/godwitlock/membudget"
)

const (
	// MaxPipelined bounds the requests of one connection in flight.
	MaxPipelined = 16
	// maxBufferedBodyBytes is the size of the largest body that is buffered
	// before the request runs, so that the request can be retried.
	maxBufferedBodyBytes = 64 << 10
	// bodyReadTimeout bounds reading a buffered body, and each read of a
	// streamed one.
	bodyReadTimeout = 5 * time.Second
	// writeTimeout bounds a write to a caller that has stopped reading. Its
	// connection is closed then.
	writeTimeout = 5 * time.Second
	// lingerTimeout is how long a connection is read after its write side was
	// closed: closing it with unread bytes sends a reset, which may destroy
	// the last response.
	lingerTimeout = 300 * time.Millisecond
	// headerSlackBytes is added to the limit of the header section for the
	// request line and for what the buffered reader reads ahead.
	headerSlackBytes = 4 << 10
	// bufferBytes is the size of the read buffer and of the write buffer of a
	// connection.
	bufferBytes = 4 << 10
)

// conn is a caller's connection. readLoop starts the requests; writeLoop writes
// the responses in the order of the requests.
type conn struct {
	srv     *Server
	nc      net.Conn
	limited *readlimit.Reader
	// errs keeps the errors of nc.
	errs   *errorKeeper
	br     *bufio.Reader
	ctx    context.Context
	cancel context.CancelCauseFunc
	state  connState
	// lastRequest is set by readLoop when the caller sends no further request.
	lastRequest bool
	// pending holds the outstanding responses in the order of the requests.
	pending chan *pendingResponse
	// list holds the requests of pending and the one that writeLoop answers, for
	// Server.Open, which cannot read the channel.
	list outstandingList
	// requestsEnd is the position in the received bytes after the last request
	// that was read.
	requestsEnd atomic.Int64
	// restIsBody is set by readLoop when the rest of the received bytes belongs
	// to a refused request or to a streamed body.
	restIsBody bool
	// uploading says that a streamed body has not been read to its end.
	uploading atomic.Bool
	// writerDone is closed when writeLoop returns.
	writerDone chan struct{}
	// writeEnded is set when no further response will be written.
	writeEnded atomic.Bool
	// reset is set when the connection is to end with a reset.
	reset atomic.Bool
	// lastWrite is the time of the last response, or of accepting the
	// connection before the first one, in Unix nanoseconds.
	lastWrite atomic.Int64
	// idleElement is the place in the server's list of idle connections, which
	// guards it.
	idleElement *list.Element
	// evicted is set when the connection was closed for another one.
	evicted atomic.Bool
	// held is what the requests and responses of the connection hold, and heldSince
	// since when it holds anything, in Unix nanoseconds.
	held, heldSince atomic.Int64
	// callers are the limits of Server.Callers.
	callers CallerLimits
	// evictedForMemory is set when the connection is to end since it holds most.
	evictedForMemory atomic.Bool
	// aborted is set besides if it owes responses, which are not written then.
	aborted atomic.Bool
	// firstBuffer is the read buffer that br is unless a head needs a larger one, of
	// largerBuffer bytes.
	firstBuffer  *bufio.Reader
	largerBuffer int64
}

// pendingResponse holds the place of a response in the order of the requests.
type pendingResponse struct {
	response chan *Response
	// request is nil when the request was refused while it was read.
	request *Request
	method  string
	// number is the position of the request among those of the connection.
	number uint
	// last closes the connection after this response.
	last bool
	// late says that the response came after the context had ended.
	late bool
	// memory is what the request and its response hold.
	memory memory
}

// readyStatus returns the status of resp, 0 when it came late.
func (p *pendingResponse) readyStatus(resp *Response) int {
	if p.late {
		return 0
	}
	return resp.Status
}

// errorKeeper keeps the last error of a reader. bufio.Reader.ReadLine returns no
// error for a line that ends early, so that net/http takes it for malformed.
type errorKeeper struct {
	r    io.Reader
	last error
}

func (k *errorKeeper) Read(p []byte) (int, error) {
	n, err := k.r.Read(p)
	if err != nil {
		k.last = err
	}
	return n, err
}

func newConn(s *Server, nc net.Conn) *conn {
	ctx, cancel := context.WithCancelCause(context.Background())
	errs := &errorKeeper{r: nc}
	limit := readlimit.New(errs)
	c := &conn{
		srv: s, nc: nc, limited: limit, errs: errs, br: bufio.NewReaderSize(limit, bufferBytes),
		ctx: ctx, cancel: cancel, callers: s.Callers.withDefaults(), writerDone: make(chan struct{}),
	}
	c.pending = make(chan *pendingResponse, c.callers.Pipelined)
	c.firstBuffer = c.br
	c.lastWrite.Store(time.Now().UnixNano())
	c.state.onIdle = func(idle bool) { s.bound.idle.set(c, idle) }
	return c
}

// interrupt ends a read of readLoop by setting a read deadline in the past.
func (c *conn) interrupt() { _ = c.nc.SetReadDeadline(time.Unix(1, 0)) }

// serve handles the connection and returns after it was closed.
func (c *conn) serve() {
	go c.writeLoop()
	callerGone := c.readLoop()
	c.state.stopWaiting()
	close(c.pending)
	if callerGone != nil {
		c.cancel(&ConnectionEnd{Cause: CallerDisconnected, Err: callerGone})
	}
	<-c.writerDone
	c.cancel(nil)
	ids, unread := c.linger()
	c.give(membudget.Heads, c.largerBuffer)
	if callerGone == nil {
		c.reportUnread(ids, unread)
	}
}

// readLoop reads and starts requests until the connection ends. It returns the
// read error when the caller has disconnected.
func (c *conn) readLoop() (callerGone error) {
	for {
		limits := c.srv.effectiveLimits()
		if more, err := c.awaitRequest(limits); !more {
			switch {
			case c.writeEnded.Load():
				return nil
			case err != nil:
				return err
			}
			return c.awaitDisconnect()
		}
		req, held, refusal, err := c.readRequest(limits)
		if refusal != nil {
			c.restIsBody = true
			c.state.start(stopped, 0, false)
			c.enqueue(&pendingResponse{response: resolved(refusal), last: true})
			return nil
		}
		if err != nil {
			return err
		}
		c.requestsEnd.Store(c.limited.Total() - int64(c.br.Buffered()))
		if !c.startRequest(req, held) {
			if req.Stream != nil {
				return nil
			}
			return c.awaitDisconnect()
		}
	}
}

// awaitRequest waits for the first byte of the next request. It returns false
// when the caller has disconnected, no further request may be read or the idle
// timeout has expired, with the read error if there was one.
func (c *conn) awaitRequest(limits Limits) (more bool, err error) {
	for {
		if c.br.Buffered() > 0 && !c.evictedForMemory.Load() {
			return c.state.beginRead(), nil
		}
		c.shrinkBuffer()
		idleFrom := time.Unix(0, c.lastWrite.Load())
		if c.state.owed() > 0 {
			idleFrom = time.Now()
		}
		if c.evictedForMemory.Load() {
			return false, nil
		}
		// The deadline is set first, so that it cannot replace that of interrupt.
		c.setReadDeadline(idleFrom.Add(limits.IdleTimeout))
		if !c.state.wait(c.srv.draining.Load()) {
			return false, nil
		}
		_, err := c.br.Peek(1)
		if err == nil {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false, err
		}
		// owed is read first: the writer sets lastWrite before it reports an answer as
		// written.
		if c.state.owed() == 0 && time.Since(time.Unix(0, c.lastWrite.Load())) >= limits.IdleTimeout {
			return false, nil
		}
	}
}

// awaitDisconnect is called after the last request of the connection was
// started. It returns the read error when the caller disconnects before the
// response was written, and nil otherwise. Requests that it discards count as not
// read, because the last response closes the connection.
func (c *conn) awaitDisconnect() error {
	c.setReadDeadline(time.Time{})
	if c.writeEnded.Load() || c.state.owed() == 0 {
		return nil
	}
	_, err := io.Copy(io.Discard, c.br)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded), c.writeEnded.Load():
		return nil
	case err == nil:
		return io.EOF
	}
	return err
}

// startRequest starts a request and reports whether another one may be read. It
// returns only after a request with a streamed body has run, because the handler
// reads the body from the connection.
func (c *conn) startRequest(req *Request, held memory) bool {
	p := &pendingResponse{response: make(chan *Response, 1), request: req, method: req.Method, last: c.lastRequest, memory: held}
	next := waiting
	switch {
	case c.lastRequest || req.Stream != nil:
		next = stopped
	case c.br.Buffered() > 0:
		next = reading
	}
	behind := c.state.owed() > 0
	next = c.state.start(next, c.requestsEnd.Load(), c.srv.draining.Load())
	if !c.enqueue(p) {
		c.release(p)
		return false
	}
	run := func() {
		if !c.state.awaitStream() {
			p.response <- &Response{Abort: true}
			return
		}
		resp := c.srv.handler(c.ctx, req)
		size := responseCost(resp)
		p.memory[membudget.Responses] += size
		c.add(membudget.Responses, size)
		var ahead *readAhead
		switch {
		case req.Stream != nil:
			// Body bytes that the handler did not read would be parsed as the
			// next request.
			p.last = true
		case resp.Stream != nil && behind:
			ahead = newReadAhead(resp.Stream, c)
			resp.Stream = ahead
		}
		p.late = c.ctx.Err() != nil
		p.response <- resp
		if ahead != nil {
			ahead.fill()
		}
	}
	if req.Stream != nil {
		c.restIsBody = true
		run()
		return false
	}
	go run()
	return next != stopped
}

func (c *conn) enqueue(p *pendingResponse) bool {
	c.list.add(p)
	select {
	case c.pending <- p:
		return true
	case <-c.writerDone:
		var end *ConnectionEnd
		if errors.As(context.Cause(c.ctx), &end) {
			c.reportDropped(p, end, max(0, c.state.owed()-1), 0)
		}
		return false
	}
}
