package ownership

import (
	"time"

	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/topo"
)

const (
	// MaxDrift is the maximum fraction by which a server's clock may run slow.
	// The platform documents a drift of 2%.
	MaxDrift = 0.02
	// HoldTime is the duration of the hold that a grant requests. It is longer
	// than a change of leader takes after a crash (the rest of the lease, the
	// next poll and one round of renewals), and it bounds how long the keys of
	// an unresponsive server have no owner.
	HoldTime = 5 * time.Second
	// RenewInterval is the time between two grants for the same hold. It leaves
	// three attempts before the hold expires.
	RenewInterval = 1200 * time.Millisecond
	// grantRetryInterval is the delay after a grant that got no answer.
	grantRetryInterval = 200 * time.Millisecond
	// releaseRetryInterval is the delay after a release that got no answer.
	releaseRetryInterval = 700 * time.Millisecond
	// maxTransit is the maximum time for which an order may be in transit after
	// its connection was reset.
	maxTransit = 300 * time.Millisecond
	// maxSurvival is the maximum time for which an order may be in transit after its
	// process was killed: nothing resets the connection on every platform. The system
	// sends bytes again after 0.2 s, 0.4 s and so on, so that those which a cut of up to
	// 6.2 s has held up arrive 6.2 s after their send at the latest.
	maxSurvival = 6200*time.Millisecond + maxTransit
	// lostAfterFailures is the number of consecutive grants without an answer
	// after which a server counts as lost and its hold is no longer renewed.
	lostAfterFailures = 3
)

// Condition is the state of an owner according to the directory.
type Condition uint8

const (
	// Usable owners accept requests.
	Usable Condition = iota + 1
	// Unusable owners are draining, missing from the directory or in a data
	// centre that is out of service, but may still be running.
	Unusable
	// Replaced owners are earlier incarnations of a server that has registered
	// again.
	Replaced
)

// Phase is the state of a Hold.
type Phase uint8

const (
	// Held means that the owner keeps the keys and the hold is renewed.
	Held Phase = iota + 1
	// Vacating means that the hold is being released, and otherwise expires.
	Vacating
	// Free means that no owner can run requests for the keys.
	Free
	// Storing means that the next owner has been chosen, but the store does
	// not yet have the table that names it.
	Storing
	// Unknown means that the table is an older copy, so that any server may hold
	// the keys. Nothing is ordered until every hold of before has expired.
	Unknown
	// Raising means that the owner has answered the release, but an earlier grant may
	// still reach it. It gets the keys once more under a higher fence, so that it refuses
	// that grant, before they can go to another server.
	Raising
)

// Hold is a range of keys with its owner, and the state of the owner's right to
// run requests for the keys.
type Hold struct {
	keyrange.Range
	Phase Phase
	// Target is the server that is to get the keys next; if empty, the
	// placement chooses one.
	Target topo.ServerID
	// Granted is set once the owner has confirmed a grant of this leader.
	Granted bool

	// holdBound is the latest time at which a hold from the orders sent so far
	// ends. unansweredBound is the same for those orders that got no answer and
	// may still take effect.
	holdBound, unansweredBound time.Time
	// earlierBound is the same as unansweredBound for the orders of earlier leaders,
	// which may have been killed; zero if they cannot take effect any more.
	earlierBound time.Time
	// answeredBound is holdBound as far as it follows from the last answered grant.
	answeredBound time.Time
	// raising is set while the owner has not accepted the fence that ends a Raising
	// phase, and raiseFailed once it has not accepted one at the first attempt.
	raising, raiseFailed bool
	// replaced is set if the last order went to a new incarnation of the owner.
	replaced    bool
	nextOrderAt time.Time
	inFlight    bool
	failures    int
	handover    string
	// mayHaveMoved is set if the keys may have had an owner that no known table names.
	mayHaveMoved bool
	// nextOwner is set in phase Storing.
	nextOwner keyrange.Owner
}

// OrderKind says whether an Order grants or releases keys.
type OrderKind uint8

const (
	Grant OrderKind = iota + 1
	Release
)

// Order is a message to a backend server that grants or releases a range of keys.
type Order struct {
	Kind        OrderKind
	Owner       keyrange.Owner
	First, Last keyrange.Key
	Fence       int64
	// HoldTime and Handover are set in grants. Handover is the opaque value that
	// the previous owner returned with its answer to the release.
	HoldTime time.Duration
	Handover string
}

// covers reports whether the order was sent for the keys and the owner of a hold.
func (o Order) covers(h *Hold) bool {
	return h.Owner == o.Owner && h.Fence == o.Fence && o.First <= h.First && h.Last <= o.Last
}

// Outcome is the result of an order.
type Outcome uint8

const (
	// Done means that the server executed the order.
	Done Outcome = iota + 1
	// Rejected means that the server has seen a higher fence.
	Rejected
	// NotSent means that no byte of the order was sent.
	NotSent
	// Unanswered means that the order may have taken effect or may still do
	// so.
	Unanswered
)

// Machine is the state machine for the keys of one service. The zero value is not
// usable; call New.
type Machine struct {
	table    *keyrange.Table
	version  uint64
	holds    []*Hold
	pending  *keyrange.Table
	holdTime time.Duration
	// nextHold is the index of the hold with which the next Tick begins.
	nextHold int
	// revision is incremented by each change of the routing table that other
	// VMs need.
	revision uint64
	// era is the era of the store. firstFence is the lowest fence of a range whose
	// owner is known not to have changed in records that the store has lost.
	era        topo.Era
	firstFence int64
	// gapEnd is when every hold has expired that another leader granted before a term that
	// continues an earlier one.
	gapEnd time.Time
	// inGap is set until gapEnd.
	inGap bool
	// raiseFrom is when fences may be raised for the first time: a process that continues
	// its term after a gap, or finds an older copy of the table, relies on it that no
	// other leader has moved keys sooner than RestoreWait after the begin of its lease.
	raiseFrom time.Time
}

// New returns the Machine of a leader whose lease began at start. It starts from
// the given table, which has the given version in the store. maxHold is an upper
// limit for the duration of a hold.
//
// settled reports whether the last leader released its lease after all its orders
// had been answered, so that none of them can still take effect.
func New(start time.Time, table *keyrange.Table, version uint64, maxHold time.Duration, settled bool) *Machine {
	m := &Machine{
		table: table, version: version,
		holdTime: min(HoldTime, maxHold), revision: 1,
	}
	end := start.Add(m.maxHoldDuration() + maxTransit)
	if !settled {
		m.raiseFrom = end
	}
	for _, r := range table.Ranges {
		h := &Hold{Range: r, Phase: Held, holdBound: end}
		if !settled {
			h.unansweredBound = end
			h.earlierBound = start.Add(m.maxHoldDuration() + maxSurvival)
			h.holdBound = h.earlierBound
		}
		m.holds = append(m.holds, h)
	}
	return m
}

// NewRestored returns the Machine of a leader that found a table of an earlier era than
// the given one in the store. Leaders of before may have moved any keys since that table
// was written, so no key has an owner until their holds have expired; then each server
// gets the keys that the table names, under new fences. earlierLeaders is the number of
// leaders of the era before this one.
func NewRestored(start time.Time, table *keyrange.Table, version uint64, maxHold time.Duration, era topo.Era, earlierLeaders int) *Machine {
	m := New(start, table.SkipLostFences(era, earlierLeaders), version, maxHold, false)
	m.era, m.firstFence = era, m.table.NextFence
	for _, h := range m.holds {
		h.Phase, h.Target, h.holdBound = Unknown, h.Server, start.Add(m.maxHoldDuration()+maxTransit)
	}
	return m
}

// Continue goes on under a new term after a time in which other processes may have led,
// in all for less than RestoreWait. Their orders had ended at end. They renewed the holds
// that the table names, and gave only those keys to other owners which had none or whose
// owner was replaced.
func (m *Machine) Continue(end time.Time, term topo.Term, era topo.Era, earlierLeaders int) {
	m.table = m.table.SkipLostFences(era, earlierLeaders)
	m.table.Term, m.era, m.pending = term, max(m.era, era), nil
	m.gapEnd, m.inGap = end.Add(m.maxHoldDuration()+maxTransit), true
	m.raiseFrom = m.gapEnd
	for _, h := range m.holds {
		h.inFlight, h.nextOrderAt = false, time.Time{}
		if h.Phase == Held {
			h.unansweredBound = m.gapEnd
			h.earlierBound = end.Add(m.maxHoldDuration() + maxSurvival)
			h.holdBound, h.raising = h.earlierBound, false
			continue
		}
		if h.Phase == Storing {
			h.Target = h.nextOwner.Server
		}
		m.suspend(h)
	}
	m.revision++
}

// suspend keeps the keys of a hold without an owner until gapEnd.
func (m *Machine) suspend(h *Hold) {
	h.Phase, h.holdBound, h.mayHaveMoved = Unknown, m.gapEnd, true
	m.revision++
}

// RestoreWait returns how long a leader that lost the tables waits after the beginning
// of its lease until no server can hold a key any more.
func RestoreWait(maxHold time.Duration) time.Duration {
	m := Machine{holdTime: min(HoldTime, maxHold)}
	return m.maxHoldDuration() + maxTransit
}

// maxHoldDuration returns the maximum real time between the arrival of a grant
// and the end of its hold.
func (m *Machine) maxHoldDuration() time.Duration {
	return time.Duration(float64(m.holdTime) * (1 + MaxDrift))
}

// Holds returns the holds in ascending order of their keys. The caller must not
// modify them.
func (m *Machine) Holds() []*Hold { return m.holds }

// Revision returns a number that increases whenever the routing table changes.
func (m *Machine) Revision() uint64 { return m.revision }

// RoutingTable returns the table for routers. The state of each range says
// whether its keys have an owner at present.
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

// state returns the state of the hold in the routing table.
func (h *Hold) state() keyrange.State {
	switch {
	case h.Phase == Held && h.Granted:
		return keyrange.Owned
	case h.Phase == Unknown, h.Phase == Vacating && h.failures > 0:
		return keyrange.Orphaned
	}
	return keyrange.Moving
}

// Vacate starts the release of the keys from first to last, inclusive, by their
// owners. target is the server that is to get them next; if empty, the placement
// chooses one.
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

// split divides the hold that contains key into one that ends before key and one
// that starts with key. Only holds in phase Held are divided.
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

// Movable reports whether another owner could get the keys of the hold as soon as
// they are released, because no unanswered order of this leader can still take effect. While
// one of an earlier leader may, phase Raising comes between.
func (h *Hold) Movable(now time.Time) bool { return h.Phase == Held && now.After(h.unansweredBound) }

// HoldBound returns the latest time at which a hold of the keys of an order may end, as
// far as its owner is unchanged; zero if it is not.
func (m *Machine) HoldBound(o Order) time.Time {
	var bound time.Time
	for _, h := range m.holds {
		if o.covers(h) && h.holdBound.After(bound) {
			bound = h.holdBound
		}
	}
	return bound
}

// PredecessorLives says that the process of the leader before this one was alive after the
// end of its lease, so that its connections were reset and none of its orders is held up. Its
// own lease began at began or earlier: orders of leaders before it have to be waited for from
// there only.
func (m *Machine) PredecessorLives(began time.Time) {
	bound := began.Add(m.maxHoldDuration() + maxSurvival)
	for _, h := range m.holds {
		if !h.earlierBound.After(bound) {
			continue
		}
		h.earlierBound = bound
		if h.Phase != Held && h.Phase != Vacating {
			continue
		}
		h.holdBound = latest(h.unansweredBound, h.answeredBound, bound)
		h.nextOrderAt = time.Time{}
		m.revision++
	}
}

func latest(first time.Time, others ...time.Time) time.Time {
	for _, t := range others {
		if t.After(first) {
			first = t
		}
	}
	return first
}

// Settled reports whether every order of this leader has been answered or can no
// longer take effect.
func (m *Machine) Settled(now time.Time) bool {
	for _, h := range m.holds {
		if h.inFlight || !now.After(h.unansweredBound) || !now.After(h.earlierBound) {
			return false
		}
	}
	return true
}

// Assign assigns the keys of a free hold to an owner. It returns false if the
// hold is not free or a write of the table is in progress. If it returns true,
// the caller must store the table that Pending returns.
func (m *Machine) Assign(h *Hold, owner keyrange.Owner) bool {
	if h.Phase != Free || m.pending != nil {
		return false
	}
	h.Phase, h.nextOwner = Storing, owner
	return true
}

// AssignInitial assigns all keys to the owners in the given ranges if there are
// no holds yet and no write of the table is in progress.
func (m *Machine) AssignInitial(ranges []keyrange.Range) {
	if len(m.holds) > 0 || m.pending != nil {
		return
	}
	for _, r := range ranges {
		m.holds = append(m.holds, &Hold{Range: r, Phase: Storing, nextOwner: r.Owner})
	}
}

// Pending returns the table to store next and the version that it replaces. It
// returns false if there is nothing to store or a write is in progress. The
// caller reports the result of the write with Stored or StoreFailed.
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
	if len(assigned) == 0 && !m.lostByStore() {
		return nil, 0, false
	}
	m.pending = m.table.Assign(assigned...)
	if m.complete(m.pending) {
		m.pending.Era = m.era
	}
	return m.pending, m.version, true
}

// SetEra records the era of the store. If it has changed since the table was stored,
// Pending returns the table again, even if no keys have been assigned.
func (m *Machine) SetEra(era topo.Era) { m.era = max(m.era, era) }

// lostByStore reports whether the store may have lost the table.
func (m *Machine) lostByStore() bool {
	return m.table.Era < m.era && m.complete(m.table) && len(m.table.Ranges) > 0
}

// complete reports whether a table names no owner that may have lost its keys in
// records that the store has lost.
func (m *Machine) complete(t *keyrange.Table) bool {
	if m.inGap {
		return false
	}
	for _, h := range m.holds {
		if h.mayHaveMoved && h.Phase != Storing {
			return false
		}
	}
	if m.firstFence == 0 {
		return true
	}
	for _, r := range t.Ranges {
		if r.Fence < m.firstFence {
			return false
		}
	}
	return true
}

// Stored records that the store has the pending table under the given version.
// The keys that it assigns can then be granted.
func (m *Machine) Stored(version uint64) {
	m.table, m.version, m.pending = m.pending, version, nil
	for _, h := range m.holds {
		if h.Phase != Storing {
			continue
		}
		r, _ := m.table.Find(h.First)
		r.First, r.Last = h.First, h.Last
		next := Hold{Range: r, Phase: Held, handover: h.handover}
		if h.raising {
			next.raising, next.Target = true, h.Target
			next.holdBound, next.unansweredBound, next.earlierBound = h.holdBound, h.unansweredBound, h.earlierBound
		}
		*h = next
	}
	m.revision++
}

// StoreFailed records that the write of the pending table was rejected or got no
// answer. Pending then returns the table again with the same version.
func (m *Machine) StoreFailed() { m.pending = nil }

// Resume continues after a time in which the leader did not hold its lease and no other
// process did. The results of what was in progress are lost.
func (m *Machine) Resume(now time.Time) {
	m.pending = nil
	for _, h := range m.holds {
		if !h.inFlight {
			continue
		}
		h.inFlight, h.nextOrderAt = false, now
		m.unanswered(now, h)
	}
}

// StoreOverwritten records that the write of the pending table was rejected because
// the store has an older table under the given version. Pending then returns the table
// again, to replace that version.
func (m *Machine) StoreOverwritten(version uint64) { m.pending, m.version = nil, version }
