package forward

import (
	"context"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/rollout"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// Rollouts says which versions of services may be used, and gets the outcomes of
// requests while a roll-out is under way.
type Rollouts interface {
	// Any reports whether the versions of any service are limited.
	Any() bool
	// Arrived counts a request of a service.
	Arrived(service topo.ServiceName)
	// Left reports whether a right to use the target of a service's roll-out is left.
	Left(service topo.ServiceName) bool
	// Take takes the right to send a request to a server, if it needs one. It returns
	// false if the request must not be sent.
	Take(s *directory.Server) (rollout.Ticket, bool)
	// Valid reports whether a request with the ticket may still be sent to a server.
	Valid(s *directory.Server, t rollout.Ticket) bool
	// Return gives back the right of a request that was not sent.
	Return(t rollout.Ticket)
	// Observe records the outcome of a request that a server ran.
	Observe(s *directory.Server, o Observation)
}

// Observation is the outcome of a request that a server ran.
type Observation struct {
	Route string
	// Bad says that the server failed or sent no complete response.
	Bad bool
	// ServiceTime is the time until the response began.
	ServiceTime time.Duration
}

const (
	// canaryWait bounds the wait for a slot of a server of the target. The request can
	// be sent to another server instead.
	canaryWait = 60 * time.Millisecond
	// rightPollInterval is how often a request for a key of the target looks for a right.
	rightPollInterval = 20 * time.Millisecond
)

// limited reports whether the versions of any service are limited.
func (f *Forwarder) limited() bool { return f.Rollouts != nil && f.Rollouts.Any() }

// acquireCanary acquires a slot at a server of the target of a roll-out, if a right is
// left. A request that has failed there goes to other versions.
func (f *Forwarder) acquireCanary(ctx context.Context, snap *view.Snapshot, r *request) (grantedServer, bool) {
	if r.skipCanary || len(r.triedServers) > 0 || !f.limited() || !f.Rollouts.Left(r.service.Name) || len(snap.Canaries(r.service.Name)) == 0 {
		return grantedServer{}, false
	}
	granted, ref := f.acquireSlot(ctx, snap, r, view.CanaryPool(r.service.Name))
	r.skipCanary = ref != nil
	return granted, ref == nil
}

// takeRight takes the right to send the request to a server, unless it has one.
func (f *Forwarder) takeRight(r *request, s *directory.Server) bool {
	if !f.limited() || r.ticket.Taken() {
		return true
	}
	ticket, ok := f.Rollouts.Take(s)
	if !ok {
		r.noRight = append(r.noRight, s.ID)
		return false
	}
	r.ticket = ticket
	return true
}

// returnRight gives back the right of a request that was not sent.
func (f *Forwarder) returnRight(r *request) {
	if r.ticket.Taken() {
		f.Rollouts.Return(r.ticket)
		r.ticket = rollout.Ticket{}
	}
}

// errRightExpired says that the right of a request expired before it was written.
const errRightExpired = errors.ConstError("the right to use the server's version has expired")

// checkRight returns errRightExpired if the request must not be written to its server.
func (f *Forwarder) checkRight(r *request) error {
	if f.limited() && r.sendingTo != nil && !f.Rollouts.Valid(r.sendingTo, r.ticket) {
		return errRightExpired
	}
	return nil
}

// awaitRight waits until the request may be sent to the owner of its key. Meanwhile the
// key may move.
func (f *Forwarder) awaitRight(ctx context.Context, r *request, s *directory.Server) *refusal {
	if f.takeRight(r, s) {
		return nil
	}
	timer := time.NewTimer(f.changeWait(r))
	defer timer.Stop()
	tick := time.NewTicker(rightPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-timer.C:
			return &refusal{errkind.NoOwner, f.failureRetryAfter(r), "no right to use the version that owns the key"}
		case <-ctx.Done():
			return &refusal{errkind.NoOwner, defaultRetryAfter, cancelled(ctx, "while the owner of its key could not be used")}
		}
		if f.takeRight(r, s) {
			return nil
		}
	}
}

// observe records the outcome of an attempt for the roll-out of its service.
func (f *Forwarder) observe(ctx context.Context, r *request, server grantedServer, res *result) {
	if !f.limited() {
		return
	}
	if res.outcome == NotSent {
		f.returnRight(r)
	}
	r.ticket = rollout.Ticket{}
	o := Observation{Route: r.routeName(), ServiceTime: res.serviceTime}
	switch res.outcome {
	case Answered, Failed, FalseRefusal:
		o.Bad = res.serverError()
	case AnswerLost:
		if !r.failedByServer(ctx) {
			return
		}
		o.Bad = true
	default:
		return
	}
	f.Rollouts.Observe(server.Server, o)
}
