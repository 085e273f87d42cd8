package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/membudget"
	"godwitlock.example/godwitlock/topo"
)

// responseWriteGrace is how long writing a response may continue after the
// request's deadline.
const responseWriteGrace = 5 * time.Second

// exchange handles one caller request and its response.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	start   time.Time
	body    *bodyReader
	// timeout is the total time allowed for the request.
	timeout time.Duration
	log     logEntry
	// headWritten is set when the response head is written. After that, no
	// error response can be sent.
	headWritten bool
	// held is what the request holds, by purpose.
	heldHead, heldBody int64
}

// run validates, admits and forwards the request and streams the response.
func (x *exchange) run() error {
	req, rt, err := x.accept()
	if err != nil {
		return err
	}
	deadline := x.start.Add(x.timeout)
	if end := x.g.shutdownEnd.Load(); end != nil && deadline.Add(responseWriteGrace).After(*end) {
		return errkind.New(errkind.ShuttingDown, "this VM is stopping, possibly before the request's deadline")
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), deadline)
	defer cancel()
	_ = x.control.SetWriteDeadline(deadline.Add(responseWriteGrace))
	reservation, err := x.g.cfg.Admitter.Reserve(req.Customer, x.start)
	if err != nil {
		return err
	}
	resp, err := x.dispatch(ctx, req, rt, deadline, reservation)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return x.respond(resp)
}

// accept validates the request head, authenticates the caller, finds the route
// and builds a call.Request without its body.
func (x *exchange) accept() (*call.Request, *Route, error) {
	segments, err := checkHead(x.r, x.g.cfg.MaxHeaderBytes)
	if err != nil {
		return nil, nil, err
	}
	if x.log.callerRequestID, err = parseCallerRequestID(x.r.Header); err != nil {
		return nil, nil, err
	}
	customer, err := x.authenticate()
	if err != nil {
		return nil, nil, err
	}
	rt := x.g.cfg.Routes.Route(x.r.Method, segments)
	if rt == nil {
		return nil, nil, errkind.New(errkind.RouteNotFound, "no route for this method and path")
	}
	x.log.route, x.log.service = rt.Name, string(rt.Service)
	if !rt.Allows(customer) {
		return nil, nil, errkind.New(errkind.RouteForbidden, "the route is not open to this customer")
	}
	if x.timeout, err = requestTimeout(x.r.Header, rt); err != nil {
		return nil, nil, err
	}
	req, err := x.newRequest(rt, customer, segments)
	return req, rt, err
}

func (x *exchange) authenticate() (topo.CustomerID, error) {
	key, err := callerKey(x.r.Header)
	if err != nil {
		return "", err
	}
	customer, err := x.g.cfg.Authenticator.Authenticate(key, x.start)
	x.log.customer = string(customer)
	return customer, err
}

// newRequest builds the call.Request without its body. The call.Request takes
// over the header of x.r, from which hop-by-hop and internal fields are
// removed.
func (x *exchange) newRequest(rt *Route, customer topo.CustomerID, segments []string) (*call.Request, error) {
	r := x.r
	idempotent := rt.Idempotent(r.Method)
	once := rt.ExactlyOnce && !idempotent
	idemKey, err := idempotencyKey(r.Header, once)
	if err != nil {
		return nil, err
	}
	key, err := rt.key(r, segments)
	if err != nil {
		return nil, err
	}
	if r.ContentLength > rt.MaxBody {
		return nil, errkind.New(errkind.BodyTooLarge, "the body is larger than %d bytes", rt.MaxBody)
	}
	req := &call.Request{
		ID: x.log.id, Customer: customer, Service: rt.Service, Key: key,
		Method: r.Method, Target: r.URL.RequestURI(), Header: r.Header,
		Idempotent: idempotent, ExactlyOnce: once, IdempotencyKey: idemKey,
		ContentLength: r.ContentLength, Trailer: forwardableTrailers(r.Trailer),
	}
	call.StripHopByHop(req.Header)
	call.StripInternal(req.Header)
	return req, nil
}

// dispatch buffers or attaches the body and performs the request. It releases
// the reservation if the request certainly did not run, and settles it
// otherwise.
func (x *exchange) dispatch(ctx context.Context, req *call.Request, rt *Route, deadline time.Time, reservation Reservation) (resp *call.Response, err error) {
	mayHaveRun := true
	defer func() {
		if mayHaveRun {
			reservation.Settle()
		} else {
			reservation.Release()
		}
	}()
	if x.r.ContentLength != 0 {
		x.body = &bodyReader{
			src: x.r.Body, control: x.control, now: x.g.cfg.Now, request: x.r, trailer: req.Trailer,
			readTimeout: x.g.cfg.BodyTimeout, bodyDeadline: deadline, remaining: rt.MaxBody,
		}
		if buffered := bufferedBytes(x.r.ContentLength); !x.takeMemory(membudget.Bodies, membudget.Begun, buffered) {
			mayHaveRun = false
			return nil, errNoRequestMemory()
		}
		if err := x.body.buffer(req); err != nil {
			mayHaveRun = false
			return nil, err
		}
	}
	if rt.Large || req.Body != nil {
		req.Class = call.Large
	}
	resp, err = x.g.cfg.Doer.Do(ctx, req)
	mayHaveRun = err == nil || errkind.Of(err).Answer().Outcome != errkind.NotRun
	return resp, err
}

// respond streams the response to the caller. An error after the head was
// written means that the response is incomplete.
func (x *exchange) respond(resp *call.Response) error {
	x.log.server, x.log.status = string(resp.Server), resp.Status
	h := x.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	h[call.HeaderRequestID] = []string{x.callerRequestID()}
	bodyless := x.r.Method == http.MethodHead || resp.Status == http.StatusNoContent ||
		resp.Status == http.StatusNotModified
	if resp.ContentLength >= 0 && len(resp.Trailer) == 0 && resp.Status != http.StatusNoContent &&
		(resp.ContentLength > 0 || resp.Status != http.StatusNotModified) {
		h["Content-Length"] = []string{strconv.FormatInt(resp.ContentLength, 10)}
	}
	for name := range resp.Trailer {
		h.Add("Trailer", name)
	}
	x.headWritten = true
	x.w.WriteHeader(resp.Status)
	n, err := x.copyBody(resp)
	x.log.bytesOut = n
	if err != nil {
		return err
	}
	if !bodyless && resp.ContentLength >= 0 && n != resp.ContentLength {
		return errkind.New(errkind.OutcomeUnknown, "the response was cut short")
	}
	for name, values := range resp.Trailer {
		if !isDeclaredTrailer(h, name) {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
	return nil
}

func isDeclaredTrailer(h http.Header, name string) bool {
	for _, v := range h["Trailer"] {
		if v == name {
			return true
		}
	}
	return false
}

// copyBody copies the response body. A body of unknown length is flushed after
// each write.
func (x *exchange) copyBody(resp *call.Response) (int64, error) {
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	stream := resp.ContentLength < 0
	if stream {
		_ = x.control.Flush()
	}
	var copied int64
	for {
		n, rerr := resp.Body.Read(buf[:])
		if n > 0 {
			m, werr := x.w.Write(buf[:n])
			copied += int64(m)
			if werr == nil && stream {
				werr = x.control.Flush()
			}
			if werr != nil && !errors.Is(werr, http.ErrBodyNotAllowed) {
				return copied, errkind.Wrap(werr, errkind.CallerGone, "the caller left")
			}
		}
		if rerr == io.EOF {
			return copied, nil
		}
		if rerr != nil {
			return copied, rerr
		}
	}
}

// callerRequestID returns the Request-Id sent to the caller: the caller's own,
// or the generated one if the caller sent none.
func (x *exchange) callerRequestID() string {
	if x.log.callerRequestID != "" {
		return x.log.callerRequestID
	}
	return x.log.id
}

// discardTimeout bounds reading the rest of a small body before a refusal.
const discardTimeout = 100 * time.Millisecond

// discardSmallBody reads the rest of a small body and reports whether it
// reached the end. Closing a connection with unread bytes makes the kernel
// reset it, and the reset may reach the caller before the response.
func (x *exchange) discardSmallBody() bool {
	if x.r.ContentLength < 0 || x.r.ContentLength > call.MaxBufferedBody || x.r.Header.Get("Expect") != "" {
		return false
	}
	if err := x.control.SetReadDeadline(x.g.cfg.Now().Add(discardTimeout)); err != nil {
		return false
	}
	_, err := io.Copy(io.Discard, x.r.Body)
	return err == nil && x.control.SetReadDeadline(time.Time{}) == nil
}

// refuse sends the error response for err. It closes the connection of a caller
// that is still sending a body, because keeping the connection would require
// reading the rest of the body first.
func (x *exchange) refuse(err error) {
	h, status, body := refusal(err, x.callerRequestID())
	x.log.status = status
	to := x.w.Header()
	for name, values := range h {
		to[name] = values
	}
	to[call.HeaderRequestID] = []string{x.callerRequestID()}
	if x.r.ProtoMajor == 1 && x.r.ContentLength != 0 && !x.body.complete() && !x.discardSmallBody() {
		to["Connection"] = []string{"close"}
		_ = x.control.SetReadDeadline(time.Unix(1, 0))
	}
	_ = x.control.SetWriteDeadline(x.g.cfg.Now().Add(responseWriteGrace))
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body)
}
