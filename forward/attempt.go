package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/egress"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/ingress"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
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
	waitCtx, stopWaiting := context.WithCancelCause(ctx)
	defer stopWaiting(errFinished)
	defer context.AfterFunc(workCtx, func() { stopWaiting(context.Cause(workCtx)) })()
	defer context.AfterFunc(f.stopCtx, func() { stopWaiting(ErrStopping) })()
	newOwnerOnly := false
	for {
		server, ref := f.acquireServer(waitCtx, r, newOwnerOnly)
		if ref != nil {
			cancel()
			if f.stopCtx.Err() != nil {
				ref = &refusal{errkind.ShuttingDown, defaultRetryAfter, "VM is shutting down: " + ref.reason}
			}
			kind := r.attempts.AdjustKind(ref.kind)
			return f.refuse(r, kind, ref.retryAfter, ref.reason), kind != ref.kind
		}
		res := f.sendOnce(workCtx, r, server)
		if res.outcome == Answered {
			return f.deliver(workCtx, r, server, res, cancel), true
		}
		action := r.attempts.NextAction(time.Now(), res.outcome, func() bool { return f.Budgets.Withdraw(r.service.Name) })
		if r.hasBody && action != Relay {
			// The body is streamed, and the attempt consumed it.
			action = r.attempts.adjustAction(Refuse)
			if res.outcome == AnswerLost || res.outcome == Failed {
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
		kind := errkind.ServerUnreachable
		switch {
		case action == ReportUnknown && !time.Now().Before(r.deadline):
			kind = errkind.DeadlineAfterRun
		case action == ReportUnknown:
			kind = errkind.OutcomeUnknown
		case res.outcome == Rejected:
			kind = errkind.ServerRefused
		case res.outcome == NotOwner:
			kind = errkind.NoOwner
		}
		return f.refuse(r, kind, f.failureRetryAfter(r), reason), action == ReportUnknown
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

// grantedServer is a server and the slot that was granted on it.
type grantedServer struct {
	*directory.Server
	slot Slot
}

// acquireServer finds the server for an attempt and waits for a slot there.
// With newOwnerOnly it waits for an owner other than the last one tried. When
// the key gets another owner during the wait for a slot, it continues with that
// owner.
func (f *Forwarder) acquireServer(ctx context.Context, r *request, newOwnerOnly bool) (grantedServer, *refusal) {
	if !r.service.Keyed {
		return f.acquireSlot(ctx, f.View.Snapshot(), r, view.PoolOf(r.service, ""))
	}
	for {
		server, snap, ref := f.awaitOwner(ctx, r, newOwnerOnly)
		if ref != nil {
			return grantedServer{}, ref
		}
		ownedCtx, stop := f.contextWhileOwner(ctx, r, server)
		granted, ref := f.acquireSlot(ownedCtx, snap, r, view.PoolOf(r.service, server))
		moved := ownedCtx.Err() != nil && ctx.Err() == nil
		stop()
		if !moved {
			return granted, ref
		}
		if ref == nil {
			granted.slot.Finish(permit.Result{})
		}
	}
}

// contextWhileOwner returns a context that ends when the request's key is no
// longer owned by the server, or the server is no longer usable.
func (f *Forwarder) contextWhileOwner(ctx context.Context, r *request, server topo.ServerID) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		for {
			changed := f.View.Changed()
			snap := f.View.Snapshot()
			rng, ok := snap.Tables[r.service.Name].Find(r.Key)
			if !ok || rng.Server != server || rng.State != keyrange.Owned || snap.Usable(server) == nil {
				cancel(errOwnerChanged)
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, func() { cancel(errFinished) }
}

// acquireSlot waits for a slot of a pool and checks that the request can still be
// sent to the server of the slot: the server is usable, the request was not
// cancelled and the configuration was confirmed recently enough.
func (f *Forwarder) acquireSlot(ctx context.Context, snap *view.Snapshot, r *request, pool string) (grantedServer, *refusal) {
	now, boot := time.Now(), clock.Boot()
	left := r.deadline.Sub(now)
	r.Progress.SetStage(ingress.WaitingForSlot)
	switch {
	case ctx.Err() != nil:
		return grantedServer{}, &refusal{errkind.QueueFull, defaultRetryAfter, cancelled(ctx, "before an attempt")}
	case left <= minAttemptTime:
		return grantedServer{}, &refusal{errkind.QueueFull, defaultRetryAfter, "request's deadline is too near for an attempt: " + r.deadlineCause.Error()}
	}
	objectiveLeft := r.route.Objective - now.Sub(r.Arrived)
	slot, d := f.Slots.Acquire(ctx, snap, pool, permit.Request{
		Customer: r.customerID(), Priority: r.priority(), Avoid: r.triedServers,
		StartBy: boot.Add(time.Duration(float64(left) * slotWaitShare)), PromptBy: boot.Add(objectiveLeft / 2),
		Lease: left + slotLeaseMargin,
	})
	if d.Verdict != permit.Granted {
		reason := "no slot granted in pool " + pool
		if ctx.Err() != nil {
			reason += ", " + cancelled(ctx, "during the wait")
		}
		return grantedServer{}, &refusal{errkind.QueueFull, d.RetryAfter, reason}
	}
	server := f.View.Snapshot().Usable(d.Server)
	if server == nil || server.Service != r.service.Name {
		slot.Finish(permit.Result{})
		return grantedServer{}, &refusal{errkind.NoOwner, defaultRetryAfter, "server of the granted slot is no longer usable"}
	}
	if ctx.Err() != nil {
		slot.Finish(permit.Result{})
		return grantedServer{}, &refusal{errkind.QueueFull, defaultRetryAfter, cancelled(ctx, "during the wait for a slot")}
	}
	if r.customer != nil && !f.Fresh() {
		slot.Finish(permit.Result{})
		return grantedServer{}, &refusal{errkind.FreshnessLost, defaultRetryAfter, "configuration was not confirmed recently enough"}
	}
	return grantedServer{Server: server, slot: slot}, nil
}

func (r *request) customerID() topo.CustomerID {
	if r.customer == nil {
		return ""
	}
	return r.customer.ID
}

// awaitOwner returns the server that owns the request's key, and the snapshot
// in which it does. While the key is being handed over, it waits up to
// maxOwnerWait and at most half of the time left, unless the service has no
// usable server. With newOwnerOnly it also waits for an owner other than the last
// one tried, but returns that one when the wait ends.
func (f *Forwarder) awaitOwner(ctx context.Context, r *request, newOwnerOnly bool) (topo.ServerID, *view.Snapshot, *refusal) {
	if !r.HasKey {
		return "", nil, &refusal{errkind.BadRequest, 0, "request has no key"}
	}
	r.Progress.SetStage(ingress.WaitingForOwner)
	limit := min(maxOwnerWait, time.Until(r.deadline)/2)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	first := true
	var lastTried topo.ServerID
	if n := len(r.triedServers); n > 0 {
		lastTried = r.triedServers[n-1]
	}
	for {
		changed := f.View.Changed()
		snap := f.View.Snapshot()
		rng, ok := snap.Tables[r.service.Name].Find(r.Key)
		if ok && rng.State == keyrange.Orphaned {
			return "", nil, &refusal{errkind.NoOwner, f.failureRetryAfter(r), "key has no owner: its last owner does not answer, and the hold of that owner has not expired"}
		}
		usable := ok && rng.State == keyrange.Owned && snap.Usable(rng.Server) != nil
		if usable && (!newOwnerOnly || rng.Server != lastTried) {
			return rng.Server, snap, nil
		}
		if len(snap.ServersOf(r.service.Name)) == 0 {
			return "", nil, &refusal{errkind.NoOwner, f.failureRetryAfter(r), "service has no usable server"}
		}
		if first {
			first = false
			f.event("await_owner", r).Str("server", string(rng.Server)).Uint8("state", uint8(rng.State)).
				Bool("known", ok).Send()
		}
		select {
		case <-changed:
		case <-timer.C:
			if usable {
				return rng.Server, snap, nil
			}
			return "", nil, &refusal{errkind.NoOwner, f.failureRetryAfter(r), "key had no usable owner within the wait limit"}
		case <-ctx.Done():
			return "", nil, &refusal{errkind.NoOwner, defaultRetryAfter, cancelled(ctx, "while its key had no owner")}
		}
	}
}

// failureRetryAfter returns the Retry-After of a request that failed at a
// server: a quarter of the time left, but at least defaultRetryAfter and at
// most 500 ms.
func (f *Forwarder) failureRetryAfter(r *request) time.Duration {
	return min(500*time.Millisecond, max(defaultRetryAfter, time.Until(r.deadline)/4))
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
	resp, err := f.Egress.Do(ctx, egress.Target{Incarnation: server.Incarnation(), Addr: server.Addr, MaxConns: r.service.MaxConns}, r.serverRequest())
	serviceTime := time.Since(start)
	if err != nil {
		res := resultOfError(err)
		res.serviceTime = serviceTime
		server.slot.Finish(permit.Result{Failed: r.failedByServer(ctx)})
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
		server.slot.Finish(permit.Result{Full: res.outcome == Rejected && atCapacity(resp)})
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

func (r *request) serverRequest() *egress.Request {
	return &egress.Request{
		ID: r.ID, Method: r.Method, URI: r.URI, Host: r.Host, Header: r.Header, Customer: r.customerID(),
		Body: r.Body, Stream: r.Stream, Length: r.Length, Deadline: r.deadline,
	}
}

// readAnswer determines the outcome of an answer and reads a short one
// completely.
func (f *Forwarder) readAnswer(ctx context.Context, r *request, server grantedServer, res *result) {
	resp := res.resp
	r.Progress.SetStage(ingress.AnswerBegun)
	success := resp.Status >= 200 && resp.Status < 300
	switch {
	case success && !resp.Sealed:
		res.outcome, res.reason = AnswerLost, "successful answer lacks the seal header that servers set"
	case resp.Status >= 500:
		res.outcome, res.reason = Failed, "server answered "+http.StatusText(resp.Status)
	default:
		res.outcome = Answered
	}
	if res.outcome == AnswerLost {
		_ = resp.Body.Close()
		res.resp = nil
		server.slot.Finish(permit.Result{Failed: true})
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
	if res.outcome == Failed && r.attempts.Repeatable {
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
		server.slot.Finish(permit.Result{Failed: res.outcome == Failed || r.failedByServer(ctx)})
		res.outcome, res.reason, res.resp = AnswerLost, "answer ended early: "+err.Error(), nil
		return
	}
	res.body = buf.Bytes()
	if res.body == nil {
		res.body = []byte{}
	}
	if res.outcome == Failed {
		// The time until a failure is not recorded as a service time.
		server.slot.Finish(permit.Result{Failed: true})
		return
	}
	f.finishSlot(server, res.serviceTime)
}

// finishSlot frees a slot after a served request and records the service time.
func (f *Forwarder) finishSlot(server grantedServer, d time.Duration) {
	server.slot.Finish(permit.Result{ServiceTime: d})
	f.Stats.Completed(server.ID, d)
}

// deliver converts a server's answer to the answer for the caller. It calls
// cancel, which ends the work context, at the end of a streamed answer and at
// once for a buffered one.
func (f *Forwarder) deliver(ctx context.Context, r *request, server grantedServer, res *result, cancel context.CancelFunc) *ingress.Response {
	resp := res.resp
	took := time.Since(r.Arrived)
	f.Stats.Answered(r.routeName(), "served", took)
	ans := &ingress.Response{Status: resp.Status, Header: resp.Header, Length: resp.Length, CloseDelimited: resp.CloseDelimited}
	if res.body != nil {
		cancel()
		ans.Body = res.body
		return ans
	}
	ans.Stream = call.OnEnd(resp.Body, cancel)
	ans.OnWritten = func(err error) {
		if err != nil {
			f.logAnswerCut(ctx, r, err)
		}
	}
	return ans
}

// logAnswerCut logs that a streamed answer was not delivered to its end. err is
// the reason of the front end, and ctx the work context.
func (f *Forwarder) logAnswerCut(ctx context.Context, r *request, err error) {
	server, took := r.Progress.Attempt()
	e := f.event("answer_cut", r).Str("server", server).Str("stage", r.Progress.Stage().String()).
		Dur("attempt_ms", took).Dur("took_ms", time.Since(r.Arrived)).Str("cancelled_by", endCause(ctx)).Err(err)
	var end *ingress.ConnectionEnd
	if errors.As(err, &end) {
		e.Str("cause", string(end.Cause))
	}
	e.Send()
}

// logAttempt logs an attempt without a good answer. ctx is the work context.
func (f *Forwarder) logAttempt(ctx context.Context, r *request, server grantedServer, res *result, action Action) {
	f.event("attempt_failed", r).Str("server", string(server.ID)).Int("attempt", len(r.triedServers)+1).
		Uint8("outcome", uint8(res.outcome)).Str("reason", res.reason).Uint8("action", uint8(action)).
		Str("cancelled_by", endCause(ctx)).
		Dur("work_ms", res.serviceTime).Dur("left_ms", time.Until(r.deadline)).Send()
}
