package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/execution"
	"godwitlock.example/godwitlock/topo"
)

// errDetached is returned to net/http if it reads the caller's body after the
// exchange has ended.
var errDetached = errors.New("request body is no longer available")

// requestBody is the request body passed to net/http. It records a failure to
// read the caller's body. It can be detached, because net/http may continue to
// read a body after the response has arrived.
type requestBody struct {
	mu       sync.Mutex
	src      io.Reader
	err      error
	detached bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	if b.detached {
		b.mu.Unlock()
		return 0, errDetached
	}
	b.mu.Unlock()
	n, err := b.src.Read(p)
	if err != nil && err != io.EOF {
		b.mu.Lock()
		b.err = err
		b.mu.Unlock()
	}
	return n, err
}

// Close implements io.Closer. It does nothing, because the front end closes the
// caller's body.
func (b *requestBody) Close() error { return nil }

func (b *requestBody) detach() {
	if b == nil {
		return
	}
	b.mu.Lock()
	b.detached = true
	b.mu.Unlock()
}

func (b *requestBody) failure() error {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// newServerRequest builds the request to the server. The second result is nil
// unless the body is streamed.
func newServerRequest(ctx context.Context, addr string, req *call.Request, now time.Time) (*http.Request, *requestBody, error) {
	if !strings.HasPrefix(req.Target, "/") || strings.HasPrefix(req.Target, "//") {
		return nil, nil, execution.Fail(execution.EntryRefused, errkind.BadRequest,
			"the request target is not a path", nil)
	}
	h := req.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	call.StripInternal(h)
	if err := setInternalFields(ctx, h, req, now); err != nil {
		return nil, nil, err
	}
	path, query, hasQuery := strings.Cut(req.Target, "?")
	out := &http.Request{
		Method: req.Method, Header: h, Host: addr,
		URL:   &url.URL{Scheme: "http", Host: addr, Opaque: path, RawQuery: query, ForceQuery: hasQuery},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	return out, setBody(out, req), nil
}

// setInternalFields sets the header fields that godwitlock sends to the server.
func setInternalFields(ctx context.Context, h http.Header, req *call.Request, now time.Time) error {
	h[call.HeaderRequestID] = []string{req.ID}
	h[call.HeaderCustomerID] = []string{string(req.Customer)}
	if req.Fence != (topo.Fence{}) {
		h[call.HeaderGrantFence] = []string{strconv.FormatUint(uint64(req.Slice), 10) + "/" + req.Fence.String()}
	}
	if req.IdempotencyKey != "" {
		h[call.HeaderIdempotencyKey] = []string{req.IdempotencyKey}
	}
	if _, ok := h["User-Agent"]; !ok {
		// An empty value prevents net/http from sending its own User-Agent.
		h["User-Agent"] = []string{""}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	ms, ok := execution.TimeoutMS(deadline, now)
	if !ok {
		return execution.Fail(execution.Queued, errkind.DeadlineBeforeRun,
			"the deadline passed before the request was sent", nil)
	}
	h[call.HeaderTimeoutMS] = []string{strconv.FormatInt(ms, 10)}
	return nil
}

// setBody sets body, length and trailers of out. GetBody stays unset, so that
// net/http cannot send a body twice.
func setBody(out *http.Request, req *call.Request) *requestBody {
	var streamed *requestBody
	switch {
	case req.Body != nil:
		streamed = &requestBody{src: req.Body}
		out.Body = streamed
		out.ContentLength = req.ContentLength
		if req.ContentLength == 0 {
			out.ContentLength = -1
		}
	case len(req.Replayable) > 0:
		out.Body = io.NopCloser(bytes.NewReader(req.Replayable))
		out.ContentLength = int64(len(req.Replayable))
	default:
		out.Body = http.NoBody
	}
	if len(req.Trailer) > 0 && out.Body != http.NoBody {
		out.Trailer = req.Trailer
		out.ContentLength = -1
	}
	return streamed
}

// exchange is a request whose response head has arrived.
type exchange struct {
	att     *attempt
	reqBody *requestBody
	ctx     context.Context
	cancel  context.CancelCauseFunc
}

// abandon ends the exchange. Its connection carries no further request.
func (ex *exchange) abandon(resp *http.Response) {
	ex.att.retireConn()
	_ = resp.Body.Close()
	ex.finish()
}

func (ex *exchange) finish() {
	ex.cancel(nil)
	ex.reqBody.detach()
}

// response converts resp to a call.Response whose body ends the exchange.
func (ex *exchange) response(server topo.ServerID, resp *http.Response) *call.Response {
	h := resp.Header
	call.StripHopByHop(h)
	call.StripInternal(h)
	r := &call.Response{
		Status: resp.StatusCode, Header: h, ContentLength: resp.ContentLength, Server: server,
	}
	if len(resp.Trailer) > 0 {
		r.Trailer = cleanTrailer(resp.Trailer)
	}
	r.Body = &responseBody{ex: ex, resp: resp, out: r}
	return r
}

func cleanTrailer(t http.Header) http.Header {
	c := t.Clone()
	call.StripHopByHop(c)
	call.StripInternal(c)
	return c
}

// responseBody reads the server's body. If the body ends before its declared
// length, Read returns an error with point ServerBody.
type responseBody struct {
	ex   *exchange
	resp *http.Response
	out  *call.Response
	done bool
	// err is the error that ended the body, other than io.EOF.
	err error
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.resp.Body.Read(p)
	switch {
	case err == nil:
	case err == io.EOF:
		err = b.end()
	default:
		b.err = b.fail(err)
		err = b.err
	}
	return n, err
}

// end takes the trailer and ends the exchange. It returns io.EOF, or an error if the
// trailer cannot be passed on: net/http accepts names with blanks.
func (b *responseBody) end() error {
	if b.done {
		return io.EOF
	}
	if err := call.CheckHeader(b.resp.Trailer); err != nil {
		b.err = execution.Fail(execution.ServerBody, errkind.OutcomeUnknown, "the trailer of the backend server is not usable", err)
		b.ex.att.retireConn()
		return b.err
	}
	b.done = true
	b.out.Trailer = cleanTrailer(b.resp.Trailer)
	b.ex.finish()
	return io.EOF
}

func (b *responseBody) fail(err error) error {
	if b.ex.ctx.Err() != nil {
		return dispatchedError(b.ex.ctx, err)
	}
	return execution.Fail(execution.ServerBody, errkind.OutcomeUnknown,
		"the response of the backend server was cut short", err)
}

// Close ends the exchange. If the body was not read to its end, it closes the
// connection.
func (b *responseBody) Close() error {
	if !b.done {
		b.done = true
		b.ex.att.closeConn()
	}
	err := b.resp.Body.Close()
	b.ex.finish()
	return err
}
