package ingress

import (
	"context"
	"os"
	"time"

	"github.com/juju/errors"
)

// DropCause is the reason why the answer to a request was not delivered.
type DropCause string

// The causes of dropped answers.
const (
	// CallerDisconnected: reading from the caller ended while requests were
	// outstanding.
	CallerDisconnected DropCause = "caller_disconnected"
	// ClosedByStop: an earlier answer closed the connection because the server
	// drains.
	ClosedByStop DropCause = "closed_by_stop"
	// ClosedByAnswer: an earlier answer closed the connection because its caller
	// asked for that, its request was refused, or its body was streamed.
	ClosedByAnswer DropCause = "closed_by_answer"
	// WriteTimeout: the caller stopped reading.
	WriteTimeout DropCause = "write_timeout"
	// WriteFailed: writing failed for another reason.
	WriteFailed DropCause = "write_failed"
	// SourceFailed: the body of a streamed answer ended early.
	SourceFailed DropCause = "source_failed"
	// AbortedByHandler: the handler asked to close the connection.
	AbortedByHandler DropCause = "aborted_by_handler"
	// MemoryExhausted: the connection held more memory than others when none was left.
	MemoryExhausted DropCause = "memory_exhausted"
	// ProcessEnded: the connection was still open when the server stopped.
	ProcessEnded DropCause = "process_ended"
)

// DroppedAnswer describes a request that was read and whose answer was not
// delivered, or was delivered in part.
type DroppedAnswer struct {
	// Request is nil for a request that was refused while it was read.
	Request *Request
	Method  string
	// Caller is the remote address of the connection.
	Caller string
	// Ahead is the number of requests on the connection that came before and
	// were not answered either.
	Ahead    int
	Cause    DropCause
	Err      error
	Draining bool
	// Status is the status of the answer, 0 when there was none when the
	// connection ended.
	Status int
}

// Age returns the time since the request arrived, 0 when that is not known.
func (d *DroppedAnswer) Age() time.Duration {
	if d.Request == nil {
		return 0
	}
	return time.Since(d.Request.Arrived)
}

// ConnectionEnd is the context's cause for the requests of a connection that
// ended before their answers were delivered.
type ConnectionEnd struct {
	Cause DropCause
	// Err is the read or write error that ended the connection, if any.
	Err error
}

// Error implements error.
func (e *ConnectionEnd) Error() string {
	if e.Err == nil {
		return string(e.Cause)
	}
	return string(e.Cause) + ": " + e.Err.Error()
}

// Unwrap returns the error that ended the connection.
func (e *ConnectionEnd) Unwrap() error { return e.Err }

// sourceError is an error of the body of a streamed answer.
type sourceError struct{ error }

func (e sourceError) Unwrap() error { return e.error }

// endOf returns why a connection ends whose last answer was written with result
// err.
func (c *conn) endOf(p *pendingResponse, err error) *ConnectionEnd {
	var end *ConnectionEnd
	var source sourceError
	switch {
	case err == nil && p.last:
		return &ConnectionEnd{Cause: ClosedByAnswer}
	case err == nil:
		return &ConnectionEnd{Cause: ClosedByStop}
	case errors.As(context.Cause(c.ctx), &end):
		return end
	case err == errAborted:
		return &ConnectionEnd{Cause: AbortedByHandler}
	case errors.As(err, &source):
		return &ConnectionEnd{Cause: SourceFailed, Err: err}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &ConnectionEnd{Cause: WriteTimeout, Err: err}
	}
	return &ConnectionEnd{Cause: WriteFailed, Err: err}
}

// reportDropped reports that the answer to p was not delivered.
func (c *conn) reportDropped(p *pendingResponse, end *ConnectionEnd, ahead, status int) {
	if c.srv.OnAnswerDropped != nil {
		c.srv.OnAnswerDropped(c.describeDropped(p, end, ahead, status))
	}
}

func (c *conn) describeDropped(p *pendingResponse, end *ConnectionEnd, ahead, status int) DroppedAnswer {
	return DroppedAnswer{
		Request: p.request, Method: p.method, Caller: c.nc.RemoteAddr().String(), Ahead: ahead,
		Cause: end.Cause, Err: end.Err, Draining: c.srv.draining.Load(), Status: status,
	}
}

// drop reports a response as dropped and discards it, now or when it is ready.
func (c *conn) drop(p *pendingResponse, end *ConnectionEnd, ahead int) {
	select {
	case resp := <-p.response:
		c.reportDropped(p, end, ahead, p.readyStatus(resp))
		resp.discard()
		c.release(p)
	default:
		c.reportDropped(p, end, ahead, 0)
		go func() {
			(<-p.response).discard()
			c.release(p)
		}()
	}
}

func (r *Response) discard() {
	if r.Stream != nil {
		_ = r.Stream.Close()
	}
}
