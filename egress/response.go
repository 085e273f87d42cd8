package egress

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/call"
)

// newResponse returns the Response for a head. Reading its body to the end or
// closing it ends the exchange.
func (cn *conn) newResponse(h *Headers, req *Request, resp *http.Response, stop func() bool) *Response {
	out := &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		CloseDelimited: closeDelimited(resp), NotRun: notRun(h, resp), Sealed: resp.Header.Get(h.Seal) != "",
	}
	if h.ParseLoad != nil {
		out.Load, out.HasLoad = h.ParseLoad(resp.Header.Get(h.Load))
	}
	if resp.Close || out.CloseDelimited {
		cn.reusable = false
	}
	if out.NotRun || out.Status >= http.StatusInternalServerError {
		cn.recordUnsuccessful(req.ID, req.Deadline, time.Now())
	}
	cn.idleUntil = time.Now().Add(keepAliveTimeout(resp.Header.Get("Keep-Alive")))
	call.StripHopByHop(out.Header)
	b := &responseBody{cn: cn, r: resp.Body, stop: stop, complete: resp.ContentLength == 0, closeDelimited: out.CloseDelimited}
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
	// err is the error that ended the body, other than io.EOF. Reading on after a reset
	// would return io.EOF.
	err error
	// closeDelimited is set when only the close of the connection marks the end.
	closeDelimited bool
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
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.r.Read(p)
	if err == io.EOF && b.closeDelimited {
		err = b.endOfConnection()
	}
	switch err {
	case nil:
	case io.EOF:
		b.complete = true
		b.finish()
	default:
		b.err = err
	}
	return n, err
}

// endOfConnection returns the error of a read at the end of a body that only the close of
// the connection ends. The kernel reports once that a connection broke: if the write of
// the request gets that error, the read sees an ordinary end of the stream.
func (b *responseBody) endOfConnection() error {
	if err := b.cn.out.stop(); err != nil {
		return errors.Annotate(err, "connection broke before the end of the response body")
	}
	return io.EOF
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
