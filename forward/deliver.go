package forward

import (
	"context"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/ingress"
)

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
