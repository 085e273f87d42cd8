package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/broker"
	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/forward"
	"godwitlock.example/godwitlock/peer"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

const (
	// suspectDuration is how long a home VM that did not answer is skipped.
	suspectDuration = 1500 * time.Millisecond
	// finishTimeout bounds the release of a slot. A slot that is not released in
	// this time is freed when its lease expires.
	finishTimeout = 500 * time.Millisecond
)

// errUnresponsive is the cause with which a call to a VM that does not answer
// probes is cancelled.
var errUnresponsive = errors.New("home VM answers neither requests nor probes")

// Slots acquires slots from the home VMs of pools. It implements forward.Slots
// and is safe for concurrent use.
type Slots struct {
	self     topo.VMID
	dc       topo.DataCentreName
	peers    *peer.Pool
	local    *broker.Broker
	fallback *broker.Broker

	monitor *livenessMonitor

	mu           sync.Mutex
	suspectUntil map[string]time.Time
}

// NewSlots returns the Slots of the VM self in data centre dc. local holds the
// pools whose home is this VM. fallback is used for pools whose home VMs do not
// answer; it must hold only a fraction of their slots, because several VMs may
// use their own fallback at the same time.
func NewSlots(self topo.VMID, dc topo.DataCentreName, peers *peer.Pool, local, fallback *broker.Broker) *Slots {
	s := &Slots{
		self: self, dc: dc, peers: peers, local: local, fallback: fallback, suspectUntil: make(map[string]time.Time),
	}
	s.monitor = newLivenessMonitor(s.ping, clock.Boot)
	return s
}

// Acquire implements forward.Slots.
func (s *Slots) Acquire(ctx context.Context, snap *view.Snapshot, pool string, r permit.Request) (forward.Slot, permit.Decision) {
	r.DataCentre = s.dc
	for _, home := range snap.Homes(pool, snap.PoolDataCentre(pool)) {
		if home.VM == s.self {
			return s.acquireLocal(ctx, s.local, pool, r)
		}
		if s.isSuspect(home.Addr) {
			continue
		}
		slot, d, err := s.acquireRemote(ctx, home.Addr, pool, r)
		if err == nil {
			return slot, d
		}
		if ctx.Err() != nil {
			return nil, permit.Decision{Verdict: permit.Refused}
		}
		s.markSuspect(home.Addr)
	}
	return s.acquireLocal(ctx, s.fallback, pool, r)
}

// acquireLocal acquires a slot from a broker of this VM.
func (s *Slots) acquireLocal(ctx context.Context, b *broker.Broker, pool string, r permit.Request) (forward.Slot, permit.Decision) {
	d, ok := b.Acquire(ctx, pool, r)
	if !ok {
		return nil, permit.Decision{Verdict: permit.Refused}
	}
	return localSlot{b: b, pool: pool, id: d.ID}, d
}

type localSlot struct {
	b    *broker.Broker
	pool string
	id   uint64
}

// Finish implements forward.Slot.
func (s localSlot) Finish(r permit.Result) { s.b.Finish(s.pool, s.id, r) }

func (s *Slots) isSuspect(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.suspectUntil[addr]
	if ok && clock.Boot().After(until) {
		delete(s.suspectUntil, addr)
		return false
	}
	return ok
}

func (s *Slots) markSuspect(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspectUntil[addr] = clock.Boot().Add(suspectDuration)
}

// acquireRemote acquires a slot from another VM. It fails when the VM stops
// answering while the request waits there.
func (s *Slots) acquireRemote(ctx context.Context, addr, pool string, r permit.Request) (forward.Slot, permit.Decision, error) {
	conn, err := s.peers.Conn(addr)
	if err != nil {
		return nil, permit.Decision{}, err
	}
	client := fleetpb.NewFleetClient(conn)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := s.monitor.track(addr, func() { cancel(errUnresponsive) })
	resp, err := client.Acquire(ctx, acquireRequest(s.self, pool, r))
	done(err == nil)
	if err != nil {
		return nil, permit.Decision{}, errors.Annotatef(err, "acquiring a slot of pool %s from VM at %s", pool, addr)
	}
	switch resp.GetVerdict() {
	case fleetpb.AcquireResponse_GRANTED:
		slot := remoteSlot{client: client, vm: s.self, pool: pool, id: resp.GetPermit()}
		return slot, permit.Decision{Verdict: permit.Granted, Server: topo.ServerID(resp.GetServer())}, nil
	case fleetpb.AcquireResponse_REFUSED:
		return nil, refusalOf(resp), nil
	}
	return nil, permit.Decision{}, errors.Errorf("VM at %s neither granted nor refused a slot of pool %s", addr, pool)
}

// refusalOf returns the decision of a home VM that refused a slot.
func refusalOf(resp *fleetpb.AcquireResponse) permit.Decision {
	return permit.Decision{
		Verdict: permit.Refused, RetryAfter: millis(resp.GetRetryAfterMs()), Cause: permit.ParseCause(resp.GetCause()),
	}
}

// ping probes a VM with a Finish call that releases nothing.
func (s *Slots) ping(ctx context.Context, addr string) error {
	conn, err := s.peers.Conn(addr)
	if err != nil {
		return err
	}
	_, err = fleetpb.NewFleetClient(conn).Finish(ctx, &fleetpb.FinishRequest{Vm: string(s.self)})
	return err
}

type remoteSlot struct {
	client fleetpb.FleetClient
	vm     topo.VMID
	pool   string
	id     uint64
}

// Finish implements forward.Slot. It does not wait for the home VM.
func (r remoteSlot) Finish(res permit.Result) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		// A slot that cannot be released is freed when its lease expires.
		_, _ = r.client.Finish(ctx, &fleetpb.FinishRequest{Vm: string(r.vm), Finished: []*fleetpb.Finished{{
			Pool: r.pool, Permit: r.id, WorkUs: res.ServiceTime.Microseconds(), Full: res.Full, Failed: res.Failed,
			SlowdownPercent: uint32(res.Slowdown*100 + 0.5),
		}}})
	}()
}

func acquireRequest(vm topo.VMID, pool string, r permit.Request) *fleetpb.AcquireRequest {
	now := clock.Boot()
	out := &fleetpb.AcquireRequest{
		Vm: string(vm), Pool: pool, Priority: int32(r.Priority), Customer: string(r.Customer),
		PatienceMs: r.StartBy.Sub(now).Milliseconds(), PromptMs: r.PromptBy.Sub(now).Milliseconds(),
		LeaseMs: r.Lease.Milliseconds(), DataCentre: string(r.DataCentre), Repeatable: r.Repeatable, BodyBytes: r.Bytes, Route: r.Route,
		WorkUs: r.Work.Mean.Microseconds(), DeviationUs: r.Work.Deviation.Microseconds(),
		ObjectiveMs: millisUntil(now, r.ObjectiveBy), AnswerMs: millisUntil(now, r.AnswerBy),
	}
	for _, id := range r.Avoid {
		out.Avoid = append(out.Avoid, string(id))
	}
	for _, id := range r.Excluded {
		out.Excluded = append(out.Excluded, string(id))
	}
	return out
}

// millisUntil returns the milliseconds from now until t, and 0 for a zero time. A time
// within a millisecond of now is sent as 1 ms, since 0 says that it is not known.
func millisUntil(now, t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	if ms := t.Sub(now).Milliseconds(); ms != 0 {
		return ms
	}
	return 1
}

// timeAfter is the inverse of millisUntil.
func timeAfter(now time.Time, ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return now.Add(millis(ms))
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
