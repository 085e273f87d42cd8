package backend

import (
	"context"
	"net/http/httptrace"
	"sync"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/internal/httphead"
)

// errWriteRefused is returned by a write on a data connection that has no
// request in progress.
var errWriteRefused = errors.New("connection has no request in progress")

// errSecondAttempt cancels a request that net/http is about to resend. After a
// keep-alive connection broke, net/http resends a request that has no body or
// carries an Idempotency-Key, although the request may have run.
var errSecondAttempt = errors.New("request cancelled before net/http could resend it")

// errRetiredConn cancels an attempt that received a retired connection. No byte
// of the request was sent.
var errRetiredConn = errors.New("connection has carried a refusal")

// conn is a connection to a backend server. On a data connection it accepts
// writes only for the request in progress, and records whether any byte of that
// request was written.
type conn struct {
	*httphead.Conn
	release func()
	once    sync.Once
	// allowAllWrites is set on control connections, which accept all writes.
	allowAllWrites bool

	mu      sync.Mutex
	owner   *attempt
	last    *attempt // the last attempt that was accepted, also after it ended
	writing bool
	sentAny bool
	// retired connections accept no further request. net/http may still have
	// them in its pool.
	retired bool
}

// Write implements net.Conn. On a data connection it returns errWriteRefused if
// no request is in progress.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	owner := c.owner
	if owner == nil && !c.allowAllWrites {
		c.mu.Unlock()
		return 0, errWriteRefused
	}
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing = false
	c.sentAny = c.sentAny || n > 0
	c.mu.Unlock()
	return n, err
}

// Close closes the connection and frees its slot in the connection limit.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

// awaitJudged waits until the attempt before a has judged its response head.
//
// net/http returns a connection to its pool before it delivers the head of a
// response without a body. Without the wait, closing the connection would take
// that response away, or would cut the request that follows.
func (c *conn) awaitJudged(a *attempt) {
	c.mu.Lock()
	last := c.last
	c.mu.Unlock()
	if last != nil && last != a {
		<-last.judged
	}
}

// begin accepts writes for attempt a from now on, and expects its response next. If a is
// nil, all writes are refused. It returns false if the connection is retired.
func (c *conn) begin(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		a = nil
	}
	c.owner, c.last, c.sentAny = a, a, false
	c.ExpectResponse()
	return !c.retired
}

// retire closes the connection and refuses all later requests.
func (c *conn) retire() {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	_ = c.Close()
}

// seal refuses further writes for attempt a and reports whether any byte of its
// request was written or is being written. It also reports true if a is not the
// attempt in progress.
func (c *conn) seal(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner != a {
		return true
	}
	c.owner = nil
	return c.sentAny || c.writing
}

// attempt tracks one request through the HTTP transport.
type attempt struct {
	cancel context.CancelCauseFunc
	body   *requestBody
	// judged is closed once it is decided whether the connection may be reused
	// after the response head.
	judged chan struct{}

	mu             sync.Mutex
	tries          int
	conn           *conn
	requestWritten bool
	// rejected says that the attempt received a retired connection.
	rejected bool
}

// trace returns the hooks that associate the request with its connection.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn:      a.onGetConn,
		GotConn:      a.onGotConn,
		WroteRequest: a.onWroteRequest,
	}
}

func (a *attempt) onGetConn(string) {
	a.mu.Lock()
	a.tries++
	again := a.tries > 1
	a.mu.Unlock()
	if again {
		a.cancel(errSecondAttempt)
	}
}

func (a *attempt) onGotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	c.awaitJudged(a)
	a.mu.Lock()
	again := a.tries > 1
	a.mu.Unlock()
	if again {
		c.begin(nil)
		return
	}
	accepted := c.begin(a)
	a.mu.Lock()
	defer a.mu.Unlock()
	if accepted {
		a.conn = c
		return
	}
	a.rejected = true
	a.body.detach()
	a.cancel(errRetiredConn)
}

func (a *attempt) onWroteRequest(info httptrace.WroteRequestInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tries == 1 && info.Err == nil {
		a.requestWritten = true
	}
}

// stop ends the attempt. It reports whether a byte may have reached the server
// and whether the whole request was written. After stop has returned, no
// further byte is written.
func (a *attempt) stop() (mayHaveSent, sentAll bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return false, false
	}
	return a.conn.seal(a), a.requestWritten
}

// wasRejected reports whether the attempt ended because it received a retired
// connection. The request can be sent again: none of it was sent, and the
// caller's body was not read.
func (a *attempt) wasRejected() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rejected
}

// retireConn keeps later requests off the connection of the attempt.
func (a *attempt) retireConn() {
	a.mu.Lock()
	c := a.conn
	a.mu.Unlock()
	if c != nil {
		c.retire()
	}
}

// closeConn closes the connection of the attempt, so that it is not reused.
func (a *attempt) closeConn() {
	a.mu.Lock()
	c := a.conn
	a.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}
