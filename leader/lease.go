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
	urgentPollInterval = 250 * time.Millisecond
	// heardInterval is the same while the holder is heard.
	heartbeatPollInterval = 2 * time.Second
	// retryInterval is the pause after a failed call.
	retryInterval = 150 * time.Millisecond
	// safety is subtracted from a lease for the time between the check and
	// the use.
	safetyMargin = 150 * time.Millisecond
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

// VersionedRecord is a version of the stored lease.
type VersionedRecord struct {
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
	self          Identity
	takeoverDelay time.Duration
	// current is the newest version seen; since is when it was first seen.
	current       VersionedRecord
	firstObserved time.Time
	observed      bool
	// until ends the lease; zero when this process does not hold it.
	expiry time.Time
	// sent is when the last write was sent, and firstSent the first of those
	// whose effect is not known.
	lastWriteSent, firstUnconfirmedSent time.Time
	nextActionAt                        time.Time
	urgent                              bool
	resigning                           bool
	settled                             bool
	// handedOver says that the lease was taken from a settled holder.
	predecessorSettled bool
}

// New returns the state of a process that has read nothing yet. It leaves a
// free lease to others for the time of yield: small VMs give way to large ones.
func New(self Identity, takeoverDelay time.Duration) *Lease {
	return &Lease{self: self, takeoverDelay: takeoverDelay}
}

// Holds reports whether the process leads at now, and the term.
func (l *Lease) Holds(now time.Time) (topo.Term, bool) {
	if l.expiry.IsZero() || !now.Before(l.expiry.Add(-safetyMargin)) {
		return 0, false
	}
	return l.current.Record.Term, true
}

// SetTakeoverDelay changes the time for which a free lease is left to others.
func (l *Lease) SetTakeoverDelay(takeoverDelay time.Duration) { l.takeoverDelay = takeoverDelay }

// PredecessorSettled reports whether the lease was taken from a holder none of whose
// orders can still be carried out.
func (l *Lease) PredecessorSettled() bool { return l.predecessorSettled }

// Expiry returns the end of the lease that the process holds.
func (l *Lease) Expiry() time.Time { return l.expiry }

// Current returns the newest version of the lease that was seen.
func (l *Lease) Current() Record { return l.current.Record }

// Version returns the newest version of the lease that was seen.
func (l *Lease) Version() uint64 { return l.current.Version }

// Resign gives the lease back at the next step and never takes it again.
// Settled says that no order of the holder can still be carried out.
func (l *Lease) Resign(now time.Time, settled bool) {
	l.resigning, l.settled = true, settled
	l.nextActionAt = now
}

// Next returns what to do at now.
func (l *Lease) Next(now time.Time) Step {
	if now.Before(l.nextActionAt) {
		return Step{Action: Wait, At: l.nextActionAt}
	}
	if !l.observed {
		return Step{Action: Read}
	}
	if _, holds := l.Holds(now); holds {
		return l.renew(now)
	}
	l.expiry = time.Time{}
	if l.resigning || !l.mayAcquire(now) {
		return Step{Action: Read}
	}
	l.predecessorSettled = l.current.Record.Settled
	record := Record{Term: l.current.Record.Term + 1, Holder: l.self}
	return l.write(now, record)
}

// extend returns the write that keeps the lease or gives it back.
func (l *Lease) renew(now time.Time) Step {
	record := l.current.Record
	record.Count++
	if l.resigning {
		record.Holder, record.Settled = Identity{}, l.settled
		l.expiry = time.Time{}
	}
	return l.write(now, record)
}

func (l *Lease) write(now time.Time, record Record) Step {
	l.lastWriteSent = now
	if l.firstUnconfirmedSent.IsZero() {
		l.firstUnconfirmedSent = now
	}
	return Step{Action: Write, Next: record, Version: l.current.Version}
}

// free reports whether the lease may be taken at now.
func (l *Lease) mayAcquire(now time.Time) bool {
	holder := l.current.Record.Holder
	switch {
	case holder == Identity{}:
		return now.Sub(l.firstObserved) >= l.takeoverDelay
	case holder.VM == l.self.VM && holder.Addr == l.self.Addr:
		// An earlier process of this VM held it, and is dead.
		return true
	}
	return now.Sub(l.firstObserved) > time.Duration(float64(TTL)*(1+MaxDrift))+l.takeoverDelay
}

// Observed records a version that was read. Version 0 means that the lease
// does not exist yet.
func (l *Lease) Observed(now time.Time, seen VersionedRecord) {
	if l.observed && seen.Version < l.current.Version {
		l.nextActionAt = now.Add(pollInterval)
		return
	}
	if !l.observed || seen.Version != l.current.Version {
		l.current, l.firstObserved, l.observed = seen, now, true
	}
	switch {
	case l.current.Record.Holder != l.self:
		l.expiry = time.Time{}
	case !l.resigning && l.expiry.IsZero() && !l.firstUnconfirmedSent.IsZero():
		// The answer of a write was lost after it took effect. It may be the
		// first of several.
		l.expiry = l.firstUnconfirmedSent.Add(TTL)
	}
	l.firstUnconfirmedSent = time.Time{}
	l.nextActionAt = now.Add(l.pollDelay(now))
}

// HeartbeatReceived records that the holder of a term told the version of its lease. It
// counts like a read, and saves it.
func (l *Lease) HeartbeatReceived(now time.Time, term topo.Term, version uint64) {
	if !l.observed || l.current.Record.Term != term || version < l.current.Version {
		return
	}
	l.Observed(now, VersionedRecord{Record: l.current.Record, Version: version})
	l.nextActionAt = now.Add(heartbeatPollInterval)
}

// pause returns the time until the lease is looked at again.
func (l *Lease) pollDelay(now time.Time) time.Duration {
	if _, holds := l.Holds(now); holds {
		return RenewInterval
	}
	if l.mayAcquire(now) {
		return 0
	}
	if l.current.Record.Holder == (Identity{}) {
		return min(urgentPollInterval, l.takeoverDelay)
	}
	if now.Sub(l.firstObserved) > TTL/2 || l.urgent {
		return urgentPollInterval
	}
	return pollInterval
}

// Urgent reports whether the process looks for a change of the leader, so that
// reads must not be stale.
func (l *Lease) Urgent() bool { return l.urgent }

// LeadershipDenied records that the process that is known as the holder says that it
// does not lead: the lease is read next.
func (l *Lease) LeadershipDenied(now time.Time) {
	l.urgent = true
	if l.expiry.IsZero() {
		l.nextActionAt = now
	}
}

// SetUrgent makes the process look often: it does not hear the leader.
func (l *Lease) SetUrgent(urgent bool, now time.Time) {
	if urgent && !l.urgent && l.expiry.IsZero() {
		l.nextActionAt = now
	}
	l.urgent = urgent
}

// Written records that the write of the last step took effect.
func (l *Lease) Written(now time.Time, record Record, version uint64) {
	l.current, l.firstObserved = VersionedRecord{Record: record, Version: version}, now
	l.expiry, l.firstUnconfirmedSent = time.Time{}, time.Time{}
	if record.Holder == l.self {
		l.expiry = l.lastWriteSent.Add(TTL)
	}
	l.nextActionAt = l.lastWriteSent.Add(RenewInterval)
	if l.resigning {
		l.nextActionAt = now.Add(pollInterval)
	}
}

// Failed records that the write or read of the last step has no answer, or
// that another process was faster. The lease is read next.
func (l *Lease) Failed(now time.Time, conflict bool) {
	l.observed = l.observed && !conflict
	l.nextActionAt = now.Add(retryInterval)
}
