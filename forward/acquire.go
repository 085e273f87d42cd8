package forward

import (
	"context"
	"slices"
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/ingress"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
	"godwitlock.example/godwitlock/workload"
)

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
	for {
		granted, ref := f.tryAcquireServer(ctx, r, newOwnerOnly)
		if ref != nil {
			f.returnRight(r)
		}
		if ref != errTryAgain {
			return granted, ref
		}
	}
}

// errTryAgain says that the chosen server can no longer be used and that another
// choice may succeed.
var errTryAgain = &refusal{}

func (f *Forwarder) tryAcquireServer(ctx context.Context, r *request, newOwnerOnly bool) (grantedServer, *refusal) {
	r.slotRefusal = permit.NoCause
	if !r.service.Keyed {
		return f.acquireUnpaused(ctx, f.View.Snapshot(), r, "")
	}
	server, snap, ref := f.awaitOwner(ctx, r, newOwnerOnly)
	if ref != nil {
		return grantedServer{}, ref
	}
	ownedCtx, stop := f.contextWhileOwner(ctx, r, server)
	defer stop()
	if f.limited() {
		if ref := f.awaitRight(ownedCtx, r, snap.Servers[server]); ref != nil {
			if ownedCtx.Err() != nil && ctx.Err() == nil {
				ref = errTryAgain
			}
			return grantedServer{}, ref
		}
	}
	granted, ref := f.acquireUnpaused(ownedCtx, snap, r, server)
	if ownedCtx.Err() == nil || ctx.Err() != nil {
		return granted, ref
	}
	// The key moved.
	if ref == nil {
		granted.slot.Finish(permit.Result{})
	}
	return grantedServer{}, errTryAgain
}

// acquireUnpaused waits for a slot of the owner of the request's key, or of any
// server of a service that is not keyed, but not of a server that wants a pause.
func (f *Forwarder) acquireUnpaused(ctx context.Context, snap *view.Snapshot, r *request, owner topo.ServerID) (grantedServer, *refusal) {
	r.paused = nil
	if f.Pauses.Any(clock.Boot()) {
		if ref := f.awaitPause(ctx, snap, r, owner); ref != nil {
			return grantedServer{}, ref
		}
	}
	if r.service.Keyed {
		return f.acquireSlot(ctx, snap, r, view.ServerPool(owner))
	}
	return f.acquirePooled(ctx, snap, r)
}

// maxPoolsTried bounds the parts of a divided pool that a request is offered to.
const maxPoolsTried = 2

// acquirePooled waits for a slot of a service without keys. If one part of its pool
// refuses the request, another one may have room.
func (f *Forwarder) acquirePooled(ctx context.Context, snap *view.Snapshot, r *request) (grantedServer, *refusal) {
	if granted, ok := f.acquireCanary(ctx, snap, r); ok {
		return granted, nil
	}
	pools, tried := snap.PoolsOf(r.service.Name), []string(nil)
	ref := &refusal{errkind.NoOwner, f.failureRetryAfter(r), "service has no usable server"}
	for range maxPoolsTried {
		began := clock.Boot()
		pool, ok := f.spread.Choose(pools, f.DataCentre, tried, began)
		if !ok {
			break
		}
		var granted grantedServer
		granted, ref = f.acquireSlot(ctx, snap, r, pool.Name)
		now := clock.Boot()
		f.spread.Observe(pool.Name, now.Sub(began), ref == nil, now)
		if ref == nil || ref.kind != errkind.QueueFull || ctx.Err() != nil {
			return granted, ref
		}
		tried = append(tried, pool.Name)
	}
	return grantedServer{}, ref
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
	request := f.permitRequest(snap, r, now, boot)
	if pool == view.CanaryPool(r.service.Name) {
		// Another server serves the request soon if this one has no free slot.
		request.StartBy = boot.Add(min(canaryWait, request.StartBy.Sub(boot)))
		request.PromptBy, request.Work = request.StartBy, workload.Estimate{}
	}
	slot, d := f.Slots.Acquire(ctx, snap, pool, request)
	if slot != nil {
		slot = measuredSlot{slot, f.Work, r.route.Name}
	}
	r.slotRefusal = d.Cause
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
	if f.Pauses.Left(server.Incarnation(), clock.Boot()) > 0 {
		// The server asked for the pause while the request waited for the slot.
		slot.Finish(permit.Result{})
		return grantedServer{}, errTryAgain
	}
	if r.customer != nil && !f.Fresh() {
		slot.Finish(permit.Result{})
		return grantedServer{}, &refusal{errkind.FreshnessLost, defaultRetryAfter, "configuration was not confirmed recently enough"}
	}
	if !f.takeRight(r, server) {
		slot.Finish(permit.Result{})
		return grantedServer{}, errTryAgain
	}
	return grantedServer{Server: server, slot: slot}, nil
}

// bodyBytes returns the size of the request's body; that of a chunked one, which is not
// known, is the largest that callers may send, but unknownBodyBytes at most.
func (r *request) bodyBytes(snap *view.Snapshot) int64 {
	switch {
	case r.Stream == nil:
		return int64(len(r.Body))
	case r.Length >= 0:
		return r.Length
	}
	if limit := snap.Routes.Limits.BodyBytes; limit > 0 {
		return min(limit, unknownBodyBytes)
	}
	return unknownBodyBytes
}

// unknownBodyBytes is the size that is assumed for a chunked body.
const unknownBodyBytes = 1 << 20

// permitRequest describes the request to the home VM of a pool. now and boot are the
// same time, of the two clocks.
func (f *Forwarder) permitRequest(snap *view.Snapshot, r *request, now, boot time.Time) permit.Request {
	left, objectiveLeft := r.deadline.Sub(now), r.route.Objective-now.Sub(r.Arrived)
	out := permit.Request{
		Customer: r.customerID(), Priority: r.priority(), Avoid: r.triedServers, Excluded: slices.Concat(r.paused, r.noRight),
		StartBy: boot.Add(time.Duration(float64(left) * slotWaitShare)), PromptBy: boot.Add(objectiveLeft / 2),
		Lease: left + slotLeaseMargin, Repeatable: r.attempts.Repeatable, Bytes: r.bodyBytes(snap), Route: r.route.Name, Work: f.Work.Of(r.route.Name), AnswerBy: boot.Add(left),
	}
	if r.route.Objective > 0 {
		out.ObjectiveBy = boot.Add(objectiveLeft)
	}
	return out
}

// measuredSlot is a slot that records the service time of its request.
type measuredSlot struct {
	Slot
	work  *workload.Table
	route string
}

// Finish implements Slot.
func (s measuredSlot) Finish(r permit.Result) {
	s.work.Record(s.route, r.ServiceTime)
	s.Slot.Finish(r)
}

// awaitOwner returns the server that owns the request's key, and the snapshot
// in which it does. While the key is being handed over, it waits as long as
// changeWait says, unless the service has no usable server. With newOwnerOnly it also
// waits for an owner other than the last one tried, but returns that one when the wait
// ends.
func (f *Forwarder) awaitOwner(ctx context.Context, r *request, newOwnerOnly bool) (topo.ServerID, *view.Snapshot, *refusal) {
	if !r.HasKey {
		return "", nil, &refusal{errkind.BadRequest, 0, "request has no key"}
	}
	r.Progress.SetStage(ingress.WaitingForOwner)
	timer := time.NewTimer(f.changeWait(r))
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
