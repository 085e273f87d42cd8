package forward

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/egress"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/ingress"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/topo"
)

const (
	// maxBufferedAnswerBytes bounds the answers that are read completely before
	// they are passed on, so that the request can be sent again when the
	// connection fails in the middle of the answer.
	maxBufferedAnswerBytes = 16 << 10
	// maxStreamTime bounds the delivery of an answer to a caller that set no
	// deadline.
	maxStreamTime = 20 * time.Second
	// bufferGrace is how long after the request's deadline an answer may be read
	// that is not passed on before it is complete.
	bufferGrace = 150 * time.Millisecond
	// failureBodyTimeout bounds the wait for the body of a failure when the
	// request may be sent again instead.
	failureBodyTimeout = 100 * time.Millisecond
	// slotLeaseMargin is how much longer than its deadline a request may keep
	// its slot before the home VM frees the slot.
	slotLeaseMargin = 300 * time.Millisecond
)

// refusal is the reason why a request was not sent.
type refusal struct {
	kind       errkind.Kind
	retryAfter time.Duration
	reason     string
}

// sendWithRetries sends the request to servers until there is an answer or no
// further attempt is allowed. The result ran is false only when the request
// certainly did not run.
func (f *Forwarder) sendWithRetries(ctx context.Context, r *request) (ans *ingress.Response, ran bool) {
	workCtx, cancel := f.workContext(ctx, r)
	// The wait for an owner or a slot ends when the caller disconnects, even
	// for a non-repeatable request, which a disconnect no longer cancels once it
	// was sent.
	waitCtx, stopWaiting := f.untilRefused(ctx, r)
	defer stopWaiting(errFinished)
	defer context.AfterFunc(workCtx, func() { stopWaiting(context.Cause(workCtx)) })()
	newOwnerOnly := false
	for {
		server, ref := f.acquireServer(waitCtx, r, newOwnerOnly)
		if ref != nil {
			cancel()
			if f.refusedByStop(r) {
				ref = &refusal{errkind.ShuttingDown, defaultRetryAfter, "VM is shutting down: " + ref.reason}
			}
			kind := r.attempts.AdjustKind(ref.kind)
			return f.refuse(r, kind, ref.retryAfter, ref.reason), kind != ref.kind
		}
		r.sendingTo = server.Server
		res := f.sendOnce(workCtx, r, server)
		f.observe(workCtx, r, server, res)
		if res.outcome == Answered {
			return f.deliver(workCtx, r, server, res, cancel), true
		}
		if waitCtx.Err() != nil || f.refusedByStop(r) {
			// The request is cancelled: it is not sent again.
			r.attempts.Max = 0
		}
		action := r.attempts.NextAction(time.Now(), res.outcome, func() bool { return f.Budgets.Withdraw(r.service.Name, r.returned) })
		if r.hasBody && action != Relay {
			// The body is streamed, and the attempt consumed it.
			action = r.attempts.adjustAction(Refuse)
			if res.outcome.mayHaveRun() {
				action = ReportUnknown
			}
		}
		f.logAttempt(workCtx, r, server, res, action)
		r.triedServers = append(r.triedServers, server.ID)
		switch action {
		case Relay:
			return f.deliver(workCtx, r, server, res, cancel), true
		case Retry, AwaitOwner:
			res.discard()
			newOwnerOnly = action == AwaitOwner
			continue
		}
		res.discard()
		reason := res.reason
		if cause := endCause(workCtx); cause != "" {
			reason += "; request was cancelled: " + cause
		}
		cancel()
		kind, retryAfter := errkind.ServerUnreachable, f.failureRetryAfter(r)
		switch {
		case action == ReportUnknown && !time.Now().Before(r.deadline):
			kind = errkind.DeadlineAfterRun
		case action == ReportUnknown:
			kind = errkind.OutcomeUnknown
		case res.outcome == Rejected:
			kind, retryAfter = errkind.ServerRefused, f.refusedRetryAfter(r, res)
		case res.outcome == NotOwner:
			kind = errkind.NoOwner
		case f.refusedByStop(r):
			kind, retryAfter = errkind.ShuttingDown, defaultRetryAfter
		}
		return f.refuse(r, kind, retryAfter, reason), action == ReportUnknown
	}
}

// workContext returns the context of the attempts of a request. It ends at the
// request's deadline and when AbandonAttempts is called. For a repeatable request
// it also ends when the caller disconnects; a request that is not repeatable
// continues without its caller.
func (f *Forwarder) workContext(ctx context.Context, r *request) (context.Context, context.CancelFunc) {
	if !r.attempts.Repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	workCtx, cancel := context.WithCancelCause(ctx)
	timer := newDeadlineTimer(r.deadline, r.deadlineCause, cancel)
	timer.ignoreAbandon = context.AfterFunc(f.abandonCtx, func() { cancel(ErrStopping) })
	return context.WithValue(workCtx, timerKey{}, timer), func() {
		timer.timer.Stop()
		timer.ignoreAbandon()
		cancel(errFinished)
	}
}

// timerKey is the context key of the deadlineTimer that ends a work context.
type timerKey struct{}

// extendDeadline moves the end of a work context to until, so that an answer
// that has begun is delivered even after the request's deadline.
func extendDeadline(ctx context.Context, until time.Time, cause error) {
	if timer, ok := ctx.Value(timerKey{}).(*deadlineTimer); ok {
		timer.extend(until, cause)
	}
}

func (r *request) customerID() topo.CustomerID {
	if r.customer == nil {
		return ""
	}
	return r.customer.ID
}

// failureRetryAfter returns the Retry-After of a request that failed at a
// server: a quarter of the time left, but at least defaultRetryAfter and at
// most 500 ms.
func (f *Forwarder) failureRetryAfter(r *request) time.Duration {
	return min(500*time.Millisecond, max(defaultRetryAfter, time.Until(r.deadline)/4))
}

// refusedRetryAfter returns the Retry-After of a request that a server refused. A server
// that refuses a part of its requests although it has room does so at any time: its caller
// may return at once, so that the answer can still meet its objective. The times are spread
// over a factor of two.
func (f *Forwarder) refusedRetryAfter(r *request, res *result) time.Duration {
	if !res.hadRoom {
		return f.failureRetryAfter(r)
	}
	return defaultRetryAfter + rand.N(defaultRetryAfter)
}

// result is the result of one attempt.
type result struct {
	outcome Outcome
	resp    *egress.Response
	// body is the complete body of an answer that was read to its end; nil when
	// the answer is streamed.
	body        []byte
	reason      string
	serviceTime time.Duration
	// hadRoom is set if the server refused the request although it reports free slots.
	hadRoom bool
}

// serverError reports whether the answer says that the server failed the request.
func (r *result) serverError() bool {
	return r.resp != nil && r.resp.Status >= http.StatusInternalServerError
}

func (r *result) discard() {
	if r.resp != nil {
		_ = r.resp.Body.Close()
	}
}

// sendOnce sends the request to a server once. It frees the slot, unless the
// answer is streamed; in that case the slot is freed when the answer ends.
func (f *Forwarder) sendOnce(ctx context.Context, r *request, server grantedServer) *result {
	start := time.Now()
	r.Progress.SetSent((*string)(&server.ID), start)
	resp, err := f.Egress.Do(ctx, egress.Target{Incarnation: server.Incarnation(), Addr: server.Addr, MaxConns: r.service.MaxConns}, f.serverRequest(r))
	serviceTime := time.Since(start)
	if err != nil {
		res := resultOfError(err)
		res.serviceTime = serviceTime
		failed := r.failedByServer(ctx) && !errors.Is(err, ErrStopping) && !errors.Is(err, errRightExpired)
		f.finishFailed(r, server, permit.Result{Failed: failed}, serviceTime)
		return res
	}
	res := &result{resp: resp, serviceTime: serviceTime}
	if resp.NotRun {
		_ = resp.Body.Close()
		res.resp, res.reason = nil, "server refused with status "+http.StatusText(resp.Status)
		res.outcome = Rejected
		if resp.Status == http.StatusMisdirectedRequest {
			res.outcome = NotOwner
		}
		res.hadRoom = res.outcome == Rejected && !atCapacity(resp)
		server.slot.Finish(permit.Result{Full: res.outcome == Rejected && !res.hadRoom, Slowdown: slowdown(resp)})
		f.Stats.TurnedAway(server.ID, res.hadRoom)
		return res
	}
	f.readAnswer(ctx, r, server, res)
	return res
}

// failedByServer reports whether an attempt without a complete answer counts as a
// failure of the server: not when the caller or a stop ended it before its deadline.
// ctx is the work context.
func (r *request) failedByServer(ctx context.Context) bool {
	return ctx.Err() == nil || !time.Now().Before(r.deadline)
}

// atCapacity reports whether a server that refused a request has no free
// capacity. A server that does not report its load is assumed to have none.
func atCapacity(resp *egress.Response) bool {
	return !resp.HasLoad || resp.Load.Waiting > 0 || resp.Load.Running >= resp.Load.Slots
}

// resultOfError returns the result of an exchange that ended without an
// answer.
func resultOfError(err error) *result {
	var fail *egress.Failure
	if errors.As(err, &fail) && !fail.MayHaveRun {
		return &result{outcome: NotSent, reason: err.Error()}
	}
	return &result{outcome: AnswerLost, reason: err.Error()}
}

func (f *Forwarder) serverRequest(r *request) *egress.Request {
	return &egress.Request{
		ID: r.ID, Method: r.Method, URI: r.URI, Host: r.Host, Header: r.Header, Customer: r.customerID(),
		Body: r.Body, Stream: r.Stream, Length: r.Length, Deadline: r.deadline, BeforeWrite: func() error { return f.beforeWrite(r) },
	}
}

// readAnswer determines the outcome of an answer and reads a short one
// completely.
func (f *Forwarder) readAnswer(ctx context.Context, r *request, server grantedServer, res *result) {
	resp := res.resp
	r.Progress.SetStage(ingress.AnswerBegun)
	res.outcome = outcomeOfAnswer(resp.Status, resp.Sealed, r.attempts.Repeatable)
	switch res.outcome {
	case AnswerLost:
		res.reason = "successful answer lacks the seal header that servers set"
	case Failed:
		res.reason = "server answered " + http.StatusText(resp.Status)
	case FalseRefusal:
		res.reason = "server answered " + http.StatusText(resp.Status) + " without stating that the request did not run"
	}
	if res.outcome == AnswerLost {
		_ = resp.Body.Close()
		res.resp = nil
		f.finishFailed(r, server, permit.Result{Failed: true}, res.serviceTime)
		return
	}
	if resp.Length > maxBufferedAnswerBytes {
		f.stream(ctx, r, server, res, resp.Body)
		return
	}
	f.bufferAnswer(ctx, r, server, res)
}

// bufferAnswer reads the body of an answer that is short or of unknown length.
// An answer of maxBufferedAnswerBytes or more is streamed instead.
func (f *Forwarder) bufferAnswer(ctx context.Context, r *request, server grantedServer, res *result) {
	resp := res.resp
	until, cause := r.deadline.Add(bufferGrace), r.deadlineCause
	if end, endCause := r.streamEnd(); end.Before(until) {
		until, cause = end, endCause
	}
	extendDeadline(ctx, until, cause)
	if res.outcome == FalseRefusal || res.outcome == Failed && r.attempts.Repeatable {
		resp.LimitBodyTime(failureBodyTimeout)
	}
	var buf bytes.Buffer
	n, err := io.Copy(&buf, io.LimitReader(resp.Body, maxBufferedAnswerBytes))
	if err == nil && n == maxBufferedAnswerBytes {
		// The answer fills the buffer: the rest is streamed.
		f.stream(ctx, r, server, res, io.MultiReader(&buf, resp.Body))
		return
	}
	_ = resp.Body.Close()
	if err != nil {
		f.finishFailed(r, server, permit.Result{Failed: res.serverError() || r.failedByServer(ctx)}, res.serviceTime)
		res.outcome, res.reason, res.resp = AnswerLost, "answer ended early: "+err.Error(), nil
		return
	}
	res.body = buf.Bytes()
	if res.body == nil {
		res.body = []byte{}
	}
	if res.serverError() {
		f.finishFailed(r, server, permit.Result{Failed: true, Slowdown: slowdown(resp)}, res.serviceTime)
		return
	}
	f.finishSlot(server, res)
}

// finishSlot frees a slot after a served request and records the service time.
func (f *Forwarder) finishSlot(server grantedServer, res *result) {
	server.slot.Finish(permit.Result{ServiceTime: res.serviceTime, Slowdown: slowdown(res.resp)})
	f.Stats.Completed(server.ID, res.serviceTime)
}

// finishFailed frees a slot after an attempt without a usable answer. For the placement of
// keys, a failure of the server takes as long as the route's latency objective at least:
// its caller does not have an answer before, and a server that fails its requests at once
// would otherwise look fast.
func (f *Forwarder) finishFailed(r *request, server grantedServer, result permit.Result, d time.Duration) {
	server.slot.Finish(result)
	if result.Failed {
		f.Stats.Completed(server.ID, max(d, r.route.Objective))
	}
}

// slowdown returns how long work takes at the server at present, relative to the usual
// time; 0 if the server did not report it.
func slowdown(resp *egress.Response) float64 {
	if !resp.HasLoad {
		return 0
	}
	return resp.Load.SlowdownFactor
}
