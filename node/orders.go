package node

import (
	"sync"
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/ownership"
	"godwitlock.example/godwitlock/view"
)

// sendOrder sends an order to its server in the background. The lease is checked
// immediately before, and bounds the time until which a grant may arrive.
func (a *assigner) sendOrder(m *ownership.Machine, snap *view.Snapshot, o ownership.Order) {
	addr := a.serverAddress(snap, o.Owner)
	a.ordersInFlight++
	ctx, term := a.termCtx, a.term
	leaseEnd := func() time.Time { return a.node.lease.LeadsUntil(term) }
	a.sending.Go(func() {
		outcome, handover := ownership.NotSent, ""
		var err error
		sent := clock.Boot()
		if addr != "" && !leaseEnd().IsZero() {
			outcome, handover, err = a.node.platform.SendOrder(ctx, addr, o, leaseEnd)
		}
		took := clock.Boot().Sub(sent)
		a.results.Put(ctx, func() {
			if a.termCtx != ctx {
				return
			}
			a.ordersInFlight--
			now := clock.Boot()
			m.Result(now, o, outcome, handover)
			a.logOrder(now, m, o, outcome, took, err)
		})
	})
}

// serverAddress returns the address of an owner, even after its directory entry
// was removed, or "" if it is unknown. For an earlier incarnation it is that of the
// present one, which may have taken its grants.
func (a *assigner) serverAddress(snap *view.Snapshot, o keyrange.Owner) string {
	s := snap.Servers[o.Server]
	if s == nil {
		return a.node.addresses.get(o)
	}
	if s.StartedAtMs == o.StartedAtMs {
		a.node.addresses.put(o, s.Addr)
	}
	return s.Addr
}

// logOrder logs the result of an order, the time that it took and the time for which the
// server may still hold the keys. Orders that got no answer are events of their own,
// because many of them fail at once, and the log bounds the lines of one event.
func (a *assigner) logOrder(now time.Time, m *ownership.Machine, o ownership.Order, outcome ownership.Outcome, took time.Duration, err error) {
	name := "order"
	switch {
	case outcome == ownership.Done && o.Kind == ownership.Grant:
		return
	case outcome == ownership.Unanswered:
		name = "order_unanswered"
	case outcome == ownership.NotSent:
		name = "order_not_sent"
	}
	hold := max(m.HoldBound(o).Sub(now), 0)
	a.node.log.Event(name).Uint8("kind", uint8(o.Kind)).Str("server", string(o.Owner.Server)).
		Uint16("first", o.First).Uint16("last", o.Last).Int64("fence", o.Fence).
		Uint8("outcome", uint8(outcome)).Dur("took_ms", took).
		Int64("hold_until", time.Now().Add(hold).UnixMilli()).AnErr("error", err).Send()
}

// addressCache holds the addresses of owners. A server that restarted is a
// different owner.
type addressCache struct {
	mu      sync.Mutex
	byOwner map[keyrange.Owner]string
}

// maxAddresses bounds the cache. A full cache is cleared; orders to owners whose
// address is then unknown are not sent, and their holds are left to expire.
const maxAddresses = 4096

func (c *addressCache) put(o keyrange.Owner, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byOwner == nil || len(c.byOwner) >= maxAddresses {
		c.byOwner = make(map[keyrange.Owner]string)
	}
	c.byOwner[o] = addr
}

func (c *addressCache) get(o keyrange.Owner) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byOwner[o]
}
