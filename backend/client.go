package backend

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/execution"
	"godwitlock.example/godwitlock/internal/httphead"
	"godwitlock.example/godwitlock/internal/readlimit"
	"godwitlock.example/godwitlock/topo"
)

const (
	// controlConns is the number of connections that are reserved for control
	// commands within the server's connection limit, so that callers' requests
	// never delay a lease renewal.
	controlConns = 2
	// idleTimeout closes idle connections before servers usually do (after 60 s
	// or more). If a server closes a connection first, a request that is being
	// sent on it ends with an unknown outcome.
	idleTimeout = 30 * time.Second
	// ioBufferBytes is the size of each connection's read buffer and of its
	// write buffer.
	ioBufferBytes = 32 << 10
	dialTimeout   = 2 * time.Second
)

// DialFunc opens a connection to addr.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Client sends requests to one backend server. It implements call.Doer and is
// safe for concurrent use.
type Client struct {
	server    topo.BackendServer
	transport *http.Transport
}

var _ call.Doer = (*Client)(nil)

// New returns a client for server. The client opens up to server.MaxConns
// connections, minus those reserved for control commands, and at least one. If
// dial is nil, it uses TCP.
func New(server topo.BackendServer, dial DialFunc) *Client {
	limit := max(1, server.MaxConns-controlConns)
	return &Client{server: server, transport: newTransport(limit, false, dial)}
}

// newTransport returns a transport that never has more than limit connections
// open. http.Transport alone may open the next connection before it has closed
// the previous one, so the dialer holds a slot until the connection is closed.
func newTransport(limit int, allowAllWrites bool, dial DialFunc) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	connSlots := make(chan struct{}, limit)
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			select {
			case connSlots <- struct{}{}:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			release := func() { <-connSlots }
			nc, err := dial(ctx, network, addr)
			if err != nil {
				release()
				return nil, err
			}
			return &conn{Conn: httphead.NewConn(nc), release: release, allowAllWrites: allowAllWrites}, nil
		},
		MaxConnsPerHost:        limit,
		MaxIdleConns:           limit,
		MaxIdleConnsPerHost:    limit,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: readlimit.ResponseHeadBytes,
		ReadBufferSize:         ioBufferBytes,
		WriteBufferSize:        ioBufferBytes,
		DisableCompression:     true,
		Protocols:              new(http.Protocols),
	}
	t.Protocols.SetHTTP1(true)
	return t
}

// Close closes idle connections. Requests in flight are not interrupted.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends req to the server once. An error carries an execution.Point. The
// response's Body must be closed; reading a truncated body returns an error.
func (c *Client) Do(ctx context.Context, req *call.Request) (*call.Response, error) {
	for {
		resp, rejected, err := c.try(ctx, req)
		if !rejected {
			return resp, err
		}
	}
}

// try sends req on one connection. It reports whether that connection was
// retired, so that nothing was sent; net/http drops the connection then.
func (c *Client) try(ctx context.Context, req *call.Request) (_ *call.Response, rejected bool, _ error) {
	if ctx.Err() != nil {
		return nil, false, notDispatchedError(ctx, ctx.Err())
	}
	out, body, err := newServerRequest(ctx, c.server.Addr, req, time.Now())
	if err != nil {
		return nil, false, err
	}
	rctx, cancel := context.WithCancelCause(ctx)
	att := &attempt{cancel: cancel, body: body, judged: make(chan struct{})}
	defer close(att.judged)
	out = out.WithContext(httptrace.WithClientTrace(rctx, att.trace()))
	resp, err := c.transport.RoundTrip(out)
	if err != nil {
		failure := classify(ctx, att, body, err)
		cancel(nil)
		body.detach()
		return nil, att.wasRejected(), failure
	}
	got, err := c.accept(ctx, req, resp, &exchange{att: att, reqBody: body, ctx: ctx, cancel: cancel})
	return got, false, err
}

// accept validates the response head and converts the response to a
// call.Response.
func (c *Client) accept(ctx context.Context, req *call.Request, resp *http.Response, ex *exchange) (*call.Response, error) {
	if !call.ValidStatus(resp.StatusCode) {
		// net/http accepts any number of three characters, such as 000.
		ex.abandon(resp)
		return nil, execution.Fail(execution.ServerHead, errkind.OutcomeUnknown,
			"the response of the backend server is not usable", errors.Errorf("status %q", resp.Status))
	}
	if got := resp.Header[call.HeaderRequestID]; len(got) != 1 || got[0] != req.ID {
		ex.abandon(resp)
		return nil, execution.Fail(execution.ResponseMismatch, errkind.OutcomeUnknown,
			"the response belongs to another request", nil)
	}
	if refused(resp) {
		// The request may be sent again with the same id, and the refusal written once
		// more must not match that.
		ex.abandon(resp)
		return nil, execution.Fail(execution.ServerNotRun, errkind.ServerRefused,
			"the backend server refused the request", errors.Errorf("status %d", resp.StatusCode))
	}
	if err := checkMessage(req.Method, resp); err != nil {
		ex.abandon(resp)
		return nil, execution.Fail(execution.ServerHead, errkind.OutcomeUnknown,
			"the response of the backend server is not usable", err)
	}
	return ex.response(c.server.ID, resp), nil
}

// refused reports whether the server states that it did not run the request.
// Not-Run is valid only with the statuses that the protocol defines for it.
func refused(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		v := resp.Header[call.HeaderNotRun]
		return len(v) == 1 && v[0] == "true"
	}
	return false
}

// checkMessage rejects protocol switches, responses whose end cannot be
// distinguished from a broken connection or whose coding would be lost, and
// announced trailers that are no fields.
func checkMessage(method string, resp *http.Response) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return errors.New("unexpected protocol switch: status 101")
	}
	bodyless := method == http.MethodHead || resp.StatusCode == http.StatusNoContent ||
		resp.StatusCode == http.StatusNotModified
	if !bodyless && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errors.New("response body has neither Content-Length nor chunked encoding")
	}
	if err := call.CheckConnection(resp.Header, "Content-Encoding"); err != nil {
		return err
	}
	return call.CheckHeader(resp.Trailer)
}

// classify determines the failure point of an attempt that received no response
// head.
func classify(ctx context.Context, att *attempt, body *requestBody, err error) error {
	mayHaveSent, sentAll := att.stop()
	switch {
	case !mayHaveSent && ctx.Err() != nil:
		return notDispatchedError(ctx, err)
	case !mayHaveSent && body.failure() != nil:
		return execution.Fail(execution.EntryRefused, errkind.Of(body.failure()),
			"the request body ended early", body.failure())
	case !mayHaveSent:
		return execution.Fail(execution.ServerConnect, errkind.ServerUnreachable,
			"no connection to the backend server", err)
	case ctx.Err() != nil:
		return dispatchedError(ctx, err)
	case body.failure() != nil:
		return execution.Fail(execution.Dispatched, errkind.OutcomeUnknown,
			"the request body ended early", body.failure())
	case sentAll:
		return execution.Fail(execution.ServerHead, errkind.OutcomeUnknown,
			"the connection to the backend server broke before a response", err)
	default:
		return execution.Fail(execution.ServerWrite, errkind.OutcomeUnknown,
			"the connection to the backend server broke while sending", err)
	}
}

// notDispatchedError returns the error of a request whose context ended before
// any byte was sent.
func notDispatchedError(ctx context.Context, err error) error {
	msg := "the deadline passed before the request was sent"
	if errors.Is(ctx.Err(), context.Canceled) {
		msg = "the caller left before the request was sent"
	}
	return execution.Fail(execution.Queued, errkind.DeadlineBeforeRun, msg, err)
}

// dispatchedError returns the error of a request whose context ended after
// dispatch.
func dispatchedError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return execution.Fail(execution.Dispatched, errkind.DeadlineAfterRun,
			"the deadline passed while the request was running", err)
	}
	return execution.Fail(execution.Dispatched, errkind.CallerGone, "the caller left", err)
}
