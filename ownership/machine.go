// Package ownership decides which orders backend servers get so that each key
// has at most one owner at any moment. It runs at the leader.
//
// What makes it safe:
//
//   - A server is granted keys only after the store has the table that names it
//     as their owner, under a fence above all earlier ones. So whoever leads next
//     knows everyone who may hold a key.
//   - A hold counts from the arrival of the order at the server, on a clock that
//     may run slow. Its end is bounded from when the order was answered, or from
//     when its connection was given up.
//   - Keys go to another owner when the last one has answered their release and
//     no unanswered order is left that could still be carried out, or when every
//     hold that it can have has ended, or when another life of the server has
//     registered. A refused connection proves nothing: servers refuse them while
//     their queue is long.
//   - A new leader knows none of its predecessor's orders, which were all sent
//     before its lease began; it bounds their holds from that moment.
//
// Machine is pure: time and results come in, orders go out. It is not safe for
// concurrent use.
package ownership

import (
	"time"

	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/topo"
)

const (
	// MaxDrift bounds how slow a server's clock runs. The platform's pages
	// state 2%.
	MaxDrift = 0.02
	// HoldTime is the hold that a grant asks for. It outlasts the loss of a
	// leader (its lease, the next poll and a round of renewals), and bounds
	// how long the keys of a silent server have no owner.
	HoldTime = 5 * time.Second
	// RenewInterval leaves three tries before a hold ends.
	RenewInterval = 1200 * time.Millisecond
	// retryInterval is the pause after an order without an answer.
	grantRetryInterval = 200 * time.Millisecond
	// releaseRetry is the pause between two releases without an answer.
	releaseRetryInterval = 700 * time.Millisecond
	// transit bounds how long an order may be on its way after its connection
	// was given up.
	maxTransit = 300 * time.Millisecond
	// lostAfter is the number of renewals without an answer after which a
	// server counts as lost and its holds are left to end.
	lostAfterFailures = 3
)

// Condition is what the directory knows of an owner.
type Condition uint8

// The conditions.
const (
	// Usable owners take requests.
	Usable Condition = iota + 1
	// Unusable owners are leaving, gone from the directory or in a data
	// centre out of service, but may still run.
	Unusable
	// Replaced owners have been replaced by another life of the server.
	Replaced
)

// Phase is the state of a hold.
type Phase uint8

// The phases.
const (
	// Held keys belong to their owner, and are renewed.
	Held Phase = iota + 1
	// Vacating keys are being released, or left to end.
	Vacating
	// Free keys have no owner that could run requests.
	Free
	// Storing keys wait for the store to have their next owner.
	Storing
)

// Hold is a range of keys at an owner.
type Hold struct {
	keyrange.Range
	Phase Phase
	// Target is the server that is to get the keys next; empty leaves the
	// choice to the placement.
	Target topo.ServerID
	// Granted says that the owner has answered a grant of this leader.
	Granted bool

	// bound ends every hold that the owner can have by orders sent so far;
	// unanswered does so for the orders that may still be carried out.
	holdBound, unansweredBound time.Time
	nextOrderAt                time.Time
	inFlight                   bool
	failures                   int
	handover                   string
	// nextOwner is set while Storing.
	nextOwner keyrange.Owner
}

// OrderKind is the kind of an Order.
type OrderKind uint8

// The kinds of orders.
const (
	Grant OrderKind = iota + 1
	Release
)

// Order goes to a backend server.
type Order struct {
	Kind        OrderKind
	Owner       keyrange.Owner
	First, Last keyrange.Key
	Fence       int64
	// HoldTime and Handover are for grants.
	HoldTime time.Duration
	Handover string
}

// concerns reports whether the order was sent for the keys of a hold.
func (o Order) covers(h *Hold) bool {
	return h.Owner == o.Owner && h.Fence == o.Fence && o.First <= h.First && h.Last <= o.Last
}

// Outcome is what became of an order.
type Outcome uint8

// The outcomes.
const (
	// Done: the server carried the order out.
	Done Outcome = iota + 1
	// Rejected: the server has seen a higher fence.
	Rejected
	// NotSent: no byte of the order was sent.
	NotSent
	// Unanswered: the order may be carried out, also later.
	Unanswered
)

// Machine is the state of one service. The zero value is not usable; call New.
type Machine struct {
	table    *keyrange.Table
	version  uint64
	holds    []*Hold
	pending  *keyrange.Table
	holdTime time.Duration
	// changes counts what is worth telling other VMs.
	revision uint64
}

// New returns the machine of a leader whose lease began at start, from the
// table that the store holds under version.
//
// Settled says that the last leader gave its lease back when each of its orders
// had an answer, so that none can still be carried out.
func New(start time.Time, table *keyrange.Table, version uint64, maxHold time.Duration, settled bool) *Machine {
	m := &Machine{
		table: table, version: version,
		holdTime: min(HoldTime, maxHold), revision: 1,
	}
	end := start.Add(m.maxHoldDuration() + maxTransit)
	unansweredBound := end
	if settled {
		unansweredBound = time.Time{}
	}
	for _, r := range table.Ranges {
		m.holds = append(m.holds, &Hold{Range: r, Phase: Held, holdBound: end, unansweredBound: unansweredBound})
	}
	return m
}

// longest is the longest real time that a hold lasts after it arrived.
func (m *Machine) maxHoldDuration() time.Duration {
	return time.Duration(float64(m.holdTime) * (1 + MaxDrift))
}

// Holds returns the holds in the order of their keys. They must not be changed.
func (m *Machine) Holds() []*Hold { return m.holds }

// Revision rises when the published table has changed.
func (m *Machine) Revision() uint64 { return m.revision }

// RoutingTable returns the table for routing. Keys that are between two owners
// are marked.
func (m *Machine) RoutingTable() *keyrange.Table {
	out := &keyrange.Table{Service: m.table.Service, NextFence: m.table.NextFence}
	for _, h := range m.holds {
		r := h.Range
		r.State = h.state()
		if n := len(out.Ranges); n > 0 && sameOwner(out.Ranges[n-1], r) {
			out.Ranges[n-1].Last = r.Last
			continue
		}
		out.Ranges = append(out.Ranges, r)
	}
	return out
}

func sameOwner(a, b keyrange.Range) bool {
	return a.Owner == b.Owner && a.Fence == b.Fence && a.State == b.State
}

// state is what routers are told of a hold.
func (h *Hold) state() keyrange.State {
	switch {
	case h.Phase == Held && h.Granted:
		return keyrange.Owned
	case h.Phase == Vacating && h.failures > 0:
		return keyrange.Orphaned
	}
	return keyrange.Moving
}

// Vacate takes the keys from first to last away from their owners. Target may
// be empty.
func (m *Machine) Vacate(first, last keyrange.Key, target topo.ServerID) {
	m.split(first)
	if last < keyrange.MaxKey {
		m.split(last + 1)
	}
	for _, h := range m.holds {
		if h.Phase == Held && h.First >= first && h.Last <= last {
			m.vacate(h, target)
		}
	}
}

func (m *Machine) vacate(h *Hold, target topo.ServerID) {
	h.Phase, h.Target, h.nextOrderAt, h.failures = Vacating, target, time.Time{}, 0
	m.revision++
}

// split divides the hold that contains key into one that ends before it and
// one that begins with it.
func (m *Machine) split(key keyrange.Key) {
	for i, h := range m.holds {
		if !h.Contains(key) || h.First == key || h.Phase != Held {
			continue
		}
		right := *h
		right.First = key
		h.Last = key - 1
		m.holds = append(m.holds[:i+1], append([]*Hold{&right}, m.holds[i+1:]...)...)
		return
	}
}

// Movable reports whether the hold's keys could go to another owner as soon as
// they are released: no order without an answer is left that may still be
// carried out.
func (h *Hold) Movable(now time.Time) bool { return h.Phase == Held && now.After(h.unansweredBound) }

// Settled reports whether every order of this leader has an answer or can no
// longer be carried out.
func (m *Machine) Settled(now time.Time) bool {
	for _, h := range m.holds {
		if h.inFlight || !now.After(h.unansweredBound) {
			return false
		}
	}
	return true
}

// Assign gives the keys of a free hold to an owner, unless a write of the table
// is in progress. The caller then stores the table returned by Pending.
func (m *Machine) Assign(h *Hold, owner keyrange.Owner) bool {
	if h.Phase != Free || m.pending != nil {
		return false
	}
	h.Phase, h.nextOwner = Storing, owner
	return true
}

// AssignInitial gives all keys to owners when there are none yet: range i to owners[i].
func (m *Machine) AssignInitial(ranges []keyrange.Range) {
	if len(m.holds) > 0 || m.pending != nil {
		return
	}
	for _, r := range ranges {
		m.holds = append(m.holds, &Hold{Range: r, Phase: Storing, nextOwner: r.Owner})
	}
}

// Pending returns the table to store next, with the version that it replaces;
// false when there is nothing to store or a write is in progress. The caller
// reports the result with Stored or StoreFailed.
func (m *Machine) Pending() (table *keyrange.Table, version uint64, ok bool) {
	if m.pending != nil {
		return nil, 0, false
	}
	var assigned []keyrange.Range
	for _, h := range m.holds {
		if h.Phase == Storing {
			assigned = append(assigned, keyrange.Range{First: h.First, Last: h.Last, Owner: h.nextOwner})
		}
	}
	if len(assigned) == 0 {
		return nil, 0, false
	}
	m.pending = m.table.Assign(assigned...)
	return m.pending, m.version, true
}

// Stored records that the store has the pending table.
func (m *Machine) Stored(version uint64) {
	m.table, m.version, m.pending = m.pending, version, nil
	for _, h := range m.holds {
		if h.Phase != Storing {
			continue
		}
		r, _ := m.table.Find(h.First)
		r.First, r.Last = h.First, h.Last
		*h = Hold{Range: r, Phase: Held, handover: h.handover}
	}
	m.revision++
}

// StoreFailed records that the write of the pending table was refused or has
// no answer. Pending will return it again under the same version.
func (m *Machine) StoreFailed() { m.pending = nil }

// Tick returns the orders to send at now. Condition tells what is known of an
// owner. Every order is followed by one call of Result.
func (m *Machine) Tick(now time.Time, condition func(keyrange.Owner) Condition) []Order {
	var out []Order
	for _, h := range m.holds {
		if o, ok := m.step(now, h, condition(h.Owner)); ok {
			out = append(out, o)
		}
	}
	return out
}

func (m *Machine) step(now time.Time, h *Hold, cond Condition) (Order, bool) {
	if h.Phase != Held && h.Phase != Vacating {
		return Order{}, false
	}
	if cond == Replaced {
		m.free(h, "")
		return Order{}, false
	}
	if h.inFlight || now.Before(h.nextOrderAt) {
		return Order{}, false
	}
	if h.Phase == Held && (cond != Usable || h.failures >= lostAfterFailures) {
		m.vacate(h, "")
	}
	if h.Phase == Held {
		return m.grant(h), true
	}
	if now.After(h.holdBound) {
		m.free(h, h.handover)
		return Order{}, false
	}
	return m.release(h), true
}

func (m *Machine) grant(h *Hold) Order {
	h.inFlight = true
	return Order{
		Kind: Grant, Owner: h.Owner, First: h.First, Last: h.Last, Fence: h.Fence,
		HoldTime: m.holdTime, Handover: h.handover,
	}
}

func (m *Machine) release(h *Hold) Order {
	h.inFlight = true
	return Order{Kind: Release, Owner: h.Owner, First: h.First, Last: h.Last, Fence: h.Fence}
}

func (m *Machine) free(h *Hold, handover string) {
	h.Phase, h.handover, h.inFlight = Free, handover, false
	m.revision++
}

// Result records what became of an order at now. Handover comes with the
// answer of a release.
func (m *Machine) Result(now time.Time, o Order, outcome Outcome, handover string) {
	for _, h := range m.holds {
		if !h.inFlight || !o.covers(h) {
			continue
		}
		h.inFlight = false
		if o.Kind == Grant {
			m.grantResult(now, h, outcome)
		} else {
			m.releaseResult(now, h, outcome, handover)
		}
	}
}

func (m *Machine) grantResult(now time.Time, h *Hold, outcome Outcome) {
	switch outcome {
	case Done:
		h.holdBound = now.Add(m.maxHoldDuration())
		h.nextOrderAt, h.failures, h.handover = now.Add(renewDelay(h)), 0, ""
		if !h.Granted {
			h.Granted = true
			m.revision++
		}
	case Rejected:
		h.nextOrderAt = now
		// Only an order of a later leader carries a higher fence. Should there
		// be none, the keys get a new fence at the same server.
		if h.Phase == Held {
			m.vacate(h, h.Server)
		}
	case NotSent:
		h.failures++
		h.nextOrderAt = now.Add(grantRetryInterval)
	case Unanswered:
		h.failures++
		h.nextOrderAt = now.Add(grantRetryInterval)
		h.holdBound = now.Add(m.maxHoldDuration() + maxTransit)
		h.unansweredBound = h.holdBound
	}
	if h.Phase == Vacating {
		h.nextOrderAt = now
	}
}

// renewAfter spreads the renewals of many holds over the interval.
func renewDelay(h *Hold) time.Duration {
	const parts = 16
	part := time.Duration(uint32(h.First)*2654435761>>28) % parts
	return RenewInterval - part*RenewInterval/(4*parts)
}

func (m *Machine) releaseResult(now time.Time, h *Hold, outcome Outcome, handover string) {
	if outcome == Done {
		h.handover = handover
		if now.After(h.unansweredBound) {
			m.free(h, handover)
			return
		}
		// An earlier order may still be carried out.
		h.nextOrderAt = h.unansweredBound
		h.holdBound = h.unansweredBound
		h.failures++
		m.revision++
		return
	}
	if h.failures++; h.failures == 1 {
		m.revision++
	}
	h.nextOrderAt = now.Add(releaseRetryInterval)
	if h.holdBound.Before(h.nextOrderAt) {
		h.nextOrderAt = h.holdBound
	}
}
