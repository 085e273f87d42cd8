// Package leader decides which VM leads: it alone orders backend servers to
// hold keys. The right is a lease in one object of the store.
//
// The store fixes no times. A holder counts its lease from before it sent the
// write that extended it. A candidate takes over only when it has seen the same
// version of the object for longer than a lease, which proves that the holder's
// last extension was sent before that. All times are readings of a clock that
// also counts suspended time.
package leader

import (
	"time"

	"godwitlock.example/godwitlock/topo"
)

const (
	// TTL is the length of a lease. It is longer than a renewal whose answer
	// is lost and read back, and short enough that a new leader renews the
	// servers' holds before they end.
	TTL = 3 * time.Second
	// RenewInterval is the time between two extensions.
	RenewInterval = time.Second
	// MaxDrift bounds how much faster or slower than real time a VM's clock
	// runs.
	MaxDrift = 0.02
	// pollInterval is how often a VM that does not lead looks at the lease.
	pollInterval = 700 * time.Millisecond
	// urgentInterval is the same while the lease is free or was not extended
	// in time.
	urgentInterval = 250 * time.Millisecond
	// heardInterval is the same while the holder is heard.
	heardInterval = 2 * time.Second
	// retryInterval is the pause after a failed call.
	retryInterval = 150 * time.Millisecond
	// safety is subtracted from a lease for the time between the check and
	// the use.
	safety = 150 * time.Millisecond
)

// Identity is one process of a VM.
type Identity struct {
	VM topo.VMID `json:"vm"`
	// Boot differs between the processes of a VM.
	Boot string `json:"boot"`
	// Addr is where other VMs reach the process (host:port).
	Addr string `json:"addr"`
}

// Record is the lease as it is stored.
type Record struct {
	// Term rises by one with each new holder.
	Term topo.Term `json:"term"`
	// Holder is empty when the lease was given back.
	Holder Identity `json:"holder"`
	// Count rises with each extension, so that each one changes the object.
	Count uint64 `json:"count"`
	// Settled says, in a lease that was given back, that no order of its
	// holder can still be carried out.
	Settled bool `json:"settled,omitempty"`
}

// Seen is a version of the stored lease.
type Seen struct {
	Record  Record
	Version uint64
}

// Action says what to do next.
type Action uint8

// The actions.
const (
	// Wait until the time given.
	Wait Action = iota
	// Read the lease; stale data will do.
	Read
	// Write Next under the version of Current.
	Write
)

// Step is the next action of a Lease.
type Step struct {
	Action Action
	At     time.Time
	// Next and Version are for Write.
	Next    Record
	Version uint64
}

// Lease is the state machine of one process. It is pure and not safe for
// concurrent use.
type Lease struct {
	self  Identity
	yield time.Duration
	// current is the newest version seen; since is when it was first seen.
	current Seen
	since   time.Time
	known   bool
	// until ends the lease; zero when this process does not hold it.
	until time.Time
	// sent is when the last write was sent, and firstSent the first of those
	// whose effect is not known.
	sent, firstSent time.Time
	next            time.Time
	eager           bool
	leaving         bool
	settled         bool
	// handedOver says that the lease was taken from a settled holder.
	handedOver bool
}

// New returns the state of a process that has read nothing yet. It leaves a
// free lease to others for the time of yield: small VMs give way to large ones.
func New(self Identity, yield time.Duration) *Lease { return &Lease{self: self, yield: yield} }

// Holds reports whether the process leads at now, and the term.
func (l *Lease) Holds(now time.Time) (topo.Term, bool) {
	if l.until.IsZero() || !now.Before(l.until.Add(-safety)) {
		return 0, false
	}
	return l.current.Record.Term, true
}

// SetYield changes the time for which a free lease is left to others.
func (l *Lease) SetYield(yield time.Duration) { l.yield = yield }

// HandedOver reports whether the lease was taken from a holder none of whose
// orders can still be carried out.
func (l *Lease) HandedOver() bool { return l.handedOver }

// Until returns the end of the lease that the process holds.
func (l *Lease) Until() time.Time { return l.until }

// Current returns the newest version of the lease that was seen.
func (l *Lease) Current() Record { return l.current.Record }

// Version returns the newest version of the lease that was seen.
func (l *Lease) Version() uint64 { return l.current.Version }

// Resign gives the lease back at the next step and never takes it again.
// Settled says that no order of the holder can still be carried out.
func (l *Lease) Resign(now time.Time, settled bool) {
	l.leaving, l.settled = true, settled
	l.next = now
}

// Next returns what to do at now.
func (l *Lease) Next(now time.Time) Step {
	if now.Before(l.next) {
		return Step{Action: Wait, At: l.next}
	}
	if !l.known {
		return Step{Action: Read}
	}
	if _, holds := l.Holds(now); holds {
		return l.extend(now)
	}
	l.until = time.Time{}
	if l.leaving || !l.free(now) {
		return Step{Action: Read}
	}
	l.handedOver = l.current.Record.Settled
	record := Record{Term: l.current.Record.Term + 1, Holder: l.self}
	return l.write(now, record)
}

// extend returns the write that keeps the lease or gives it back.
func (l *Lease) extend(now time.Time) Step {
	record := l.current.Record
	record.Count++
	if l.leaving {
		record.Holder, record.Settled = Identity{}, l.settled
		l.until = time.Time{}
	}
	return l.write(now, record)
}

func (l *Lease) write(now time.Time, record Record) Step {
	l.sent = now
	if l.firstSent.IsZero() {
		l.firstSent = now
	}
	return Step{Action: Write, Next: record, Version: l.current.Version}
}

// free reports whether the lease may be taken at now.
func (l *Lease) free(now time.Time) bool {
	holder := l.current.Record.Holder
	switch {
	case holder == Identity{}:
		return now.Sub(l.since) >= l.yield
	case holder.VM == l.self.VM && holder.Addr == l.self.Addr:
		// An earlier process of this VM held it, and is dead.
		return true
	}
	return now.Sub(l.since) > time.Duration(float64(TTL)*(1+MaxDrift))+l.yield
}

// Observed records a version that was read. Version 0 means that the lease
// does not exist yet.
func (l *Lease) Observed(now time.Time, seen Seen) {
	if l.known && seen.Version < l.current.Version {
		l.next = now.Add(pollInterval)
		return
	}
	if !l.known || seen.Version != l.current.Version {
		l.current, l.since, l.known = seen, now, true
	}
	switch {
	case l.current.Record.Holder != l.self:
		l.until = time.Time{}
	case !l.leaving && l.until.IsZero() && !l.firstSent.IsZero():
		// The answer of a write was lost after it took effect. It may be the
		// first of several.
		l.until = l.firstSent.Add(TTL)
	}
	l.firstSent = time.Time{}
	l.next = now.Add(l.pause(now))
}

// Heard records that the holder of a term told the version of its lease. It
// counts like a read, and saves it.
func (l *Lease) Heard(now time.Time, term topo.Term, version uint64) {
	if !l.known || l.current.Record.Term != term || version < l.current.Version {
		return
	}
	l.Observed(now, Seen{Record: l.current.Record, Version: version})
	l.next = now.Add(heardInterval)
}

// pause returns the time until the lease is looked at again.
func (l *Lease) pause(now time.Time) time.Duration {
	if _, holds := l.Holds(now); holds {
		return RenewInterval
	}
	if l.free(now) {
		return 0
	}
	if l.current.Record.Holder == (Identity{}) {
		return min(urgentInterval, l.yield)
	}
	if now.Sub(l.since) > TTL/2 || l.eager {
		return urgentInterval
	}
	return pollInterval
}

// Eager reports whether the process looks for a change of the leader, so that
// reads must not be stale.
func (l *Lease) Eager() bool { return l.eager }

// Denied records that the process that is known as the holder says that it
// does not lead: the lease is read next.
func (l *Lease) Denied(now time.Time) {
	l.eager = true
	if l.until.IsZero() {
		l.next = now
	}
}

// SetEager makes the process look often: it does not hear the leader.
func (l *Lease) SetEager(eager bool, now time.Time) {
	if eager && !l.eager && l.until.IsZero() {
		l.next = now
	}
	l.eager = eager
}

// Written records that the write of the last step took effect.
func (l *Lease) Written(now time.Time, record Record, version uint64) {
	l.current, l.since = Seen{Record: record, Version: version}, now
	l.until, l.firstSent = time.Time{}, time.Time{}
	if record.Holder == l.self {
		l.until = l.sent.Add(TTL)
	}
	l.next = l.sent.Add(RenewInterval)
	if l.leaving {
		l.next = now.Add(pollInterval)
	}
}

// Failed records that the write or read of the last step has no answer, or
// that another process was faster. The lease is read next.
func (l *Lease) Failed(now time.Time, conflict bool) {
	l.known = l.known && !conflict
	l.next = now.Add(retryInterval)
}
