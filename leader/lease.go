package leader

import (
	"time"

	"godwitlock.example/godwitlock/topo"
)

const (
	// TTL is the duration of a lease. It is long enough that a holder whose
	// renewal got no response can read from the store whether it took effect
	// before the lease expires, and short enough that a new leader renews the
	// servers' holds on their keys before these expire.
	TTL = 3 * time.Second
	// RenewInterval is the time between two renewals of the lease.
	RenewInterval = time.Second
	// MaxDrift is the maximum relative drift of a VM's clock from real time,
	// in either direction.
	MaxDrift = 0.02
	// pollInterval is the time between two reads of the lease by a VM that is
	// not the leader.
	pollInterval = 700 * time.Millisecond
	// urgentPollInterval replaces pollInterval while the lease is free, while
	// its renewal is overdue, or while the VM has no contact with the leader.
	urgentPollInterval = 250 * time.Millisecond
	// heartbeatPollInterval replaces pollInterval after a heartbeat of the
	// holder.
	heartbeatPollInterval = 2 * time.Second
	// retryInterval is the delay after a failed call to the store.
	retryInterval = 150 * time.Millisecond
	// safetyMargin is subtracted from the lease duration to cover the time
	// between the check of the lease and the action that relies on it.
	safetyMargin = 150 * time.Millisecond
	// fullWait is how long another process observes the same version of the lease until
	// the holder's has expired.
	fullWait = TTL + TTL*2/100
	// MaxGap is the longest time from the end of a lease to the first observation of the
	// version that its holder replaces, up to which the new term continues the old one.
	MaxGap = 2 * time.Second
	// MaxHeldInGap bounds for how long other processes can have held the lease before a
	// term that continues an earlier one.
	MaxHeldInGap = MaxGap + fullWait
	// continuerHeadStart is how much sooner than other processes the last holder of a
	// restored lease acquires it.
	continuerHeadStart = 500 * time.Millisecond
)

// Identity identifies one process on a VM.
type Identity struct {
	VM topo.VMID `json:"vm"`
	// Boot is an identifier that differs between successive processes on a VM.
	Boot string `json:"boot"`
	// Addr is the address (host:port) at which the process serves other VMs.
	Addr string `json:"addr"`
}

// Record is the stored form of the lease.
type Record struct {
	// Term is incremented each time the lease is acquired.
	Term topo.Term `json:"term"`
	// Holder is empty if the lease was released.
	Holder Identity `json:"holder"`
	// Count is incremented by each renewal, so that every renewal changes the
	// object.
	Count uint64 `json:"count"`
	// Settled is set in a released lease if no order of the last holder can
	// still take effect.
	Settled bool `json:"settled,omitempty"`
	// Members is the number of VMs that may act under the holder's lists of the VMs,
	// itself included; 0 if it is not known.
	Members int `json:"members,omitempty"`
	// Era is the era of the store in which the record was written.
	Era topo.Era `json:"era,omitempty"`
	// Leaders is the number of times that the lease was acquired in the era, as far as
	// the holder knows.
	Leaders int `json:"leaders,omitempty"`
}

// VersionedRecord is a version of the stored lease. Version is a revision of the
// store, so it tells the era; its counter is 0 if the lease does not exist.
type VersionedRecord struct {
	Record  Record
	Version uint64
	// Unreadable is set if the object is not a lease. It tells nothing of the holder.
	Unreadable bool
}

func (v VersionedRecord) era() topo.Era { return topo.Revision(v.Version).Era() }

// restored reports whether the record comes from an older copy to which the store has
// returned, or was replaced by another object. Later records are lost, so it does not
// tell who holds the lease.
func (v VersionedRecord) restored() bool { return v.Unreadable || v.Record.Era < v.era() }

// Action is the kind of a Step.
type Action uint8

const (
	// Wait means that nothing is to be done before Step.At.
	Wait Action = iota
	// Read means that the lease is to be read from the store. The read may be
	// stale unless Urgent returns true.
	Read
	// Write means that Step.Next is to be written on condition that the stored
	// version is Step.Version.
	Write
)

// Step is the next action that the caller of Lease.Next has to carry out.
type Step struct {
	Action Action
	At     time.Time
	// Next and Version are set for Write.
	Next    Record
	Version uint64
}

// Lease is the state machine by which one process acquires, renews and releases
// the lease. It does no I/O and reads no clock: the caller carries out the steps
// and reports the results. It is not safe for concurrent use.
type Lease struct {
	self      Identity
	candidacy Candidacy
	// current is the newest version observed, and firstObserved the time of its
	// first observation. observed is false while current must not be relied on.
	current       VersionedRecord
	firstObserved time.Time
	observed      bool
	// reported is set if the holder itself has reported the current version.
	reported bool
	// lastObserved is the time of the last observation, also of the same version.
	lastObserved time.Time
	// expiry is the end of the lease; zero if this process does not hold it. heldUntil
	// keeps it after the lease of heldTerm has lapsed.
	expiry, heldUntil time.Time
	heldTerm          topo.Term
	// lastWriteSent is the time at which the last write was sent, and
	// firstUnconfirmedSent that of the first write whose effect is unknown.
	lastWriteSent, firstUnconfirmedSent time.Time
	nextActionAt                        time.Time
	urgent                              bool
	// knownEra is the newest era that the store has shown. resumeEra is the newest that it
	// showed before the lease of this process had ended; 0 once the lease was written since.
	knownEra, resumeEra topo.Era
	// resumeLimit is the store's counter of the newest version observed before resumeEra.
	resumeLimit uint64
	// conflict is set from a rejected write, or a reply that denies the leadership of the
	// holder, until the next read.
	conflict  bool
	resigning bool
	settled   bool
	// predecessor is what was known of the holder before this process when it acquired
	// the lease.
	predecessor Predecessor
	// predecessorSettled is set if the lease was acquired from a holder that
	// had released it as settled.
	predecessorSettled bool
	// continuedTerm is the last term of this process if the present one continues it;
	// otherwise 0.
	continuedTerm topo.Term
	// earlierOrdersEnd is when the lease of every earlier holder had expired, if it was
	// acquired from a restored record; otherwise zero.
	earlierOrdersEnd time.Time
	// leaders is the highest known number of times that the lease was acquired in
	// leadersEra, and earlierLeaders the number before this process acquired it.
	leadersEra              topo.Era
	leaders, earlierLeaders int
	// members is the number of VMs that may act under lists of this process; 0 if it is
	// not known.
	members int
}

// New returns a Lease that has not yet observed the stored lease.
func New(self Identity, c Candidacy) *Lease { return &Lease{self: self, candidacy: c} }

// Holds returns the term of the lease and true if the process holds the lease at
// now.
func (l *Lease) Holds(now time.Time) (topo.Term, bool) {
	if l.expiry.IsZero() || !now.Before(l.expiry.Add(-safetyMargin)) {
		return 0, false
	}
	return l.current.Record.Term, true
}

// HoldsUntil returns the time from which Holds returns false unless the lease is renewed;
// zero if it does so at now.
func (l *Lease) HoldsUntil(now time.Time) time.Time {
	if _, holds := l.Holds(now); !holds {
		return time.Time{}
	}
	return l.expiry.Add(-safetyMargin)
}

// SetCandidacy changes how the process takes part in the election of a leader.
func (l *Lease) SetCandidacy(c Candidacy) { l.candidacy = c }

// PredecessorSettled reports whether the process acquired the lease from a holder
// none of whose orders can still take effect.
func (l *Lease) PredecessorSettled() bool { return l.predecessorSettled }

// SetMembers sets the number of VMs, itself included, that the record names from the
// next renewal on, unless it is 0.
func (l *Lease) SetMembers(n int) { l.members = n }

// Predecessor is the holder from which a process acquired the lease.
type Predecessor struct {
	// Exists is false if there was no holder before.
	Exists bool
	// Expired says that its lease had run out. Otherwise it had been released, or its
	// holder was an earlier process on the same VM, and those that know of the lease
	// may rely on it until its end.
	Expired bool
	// Members is the number of VMs that may have acted under its lists of the VMs; 0 if
	// it is not known.
	Members int
	// Holder is the process that held the lease; empty if it had been released, or if the
	// record may be older than the last holder.
	Holder Identity
	// Released says that the holder had released the lease, so that it was not killed
	// while it led.
	Released bool
	// Term is the term of the holder.
	Term topo.Term
}

// Predecessor returns the holder from which the process acquired the lease.
func (l *Lease) Predecessor() Predecessor { return l.predecessor }

// ContinuedTerm returns the last term of this process if the present term continues it:
// all leases that others held in between began and ended within MaxHeldInGap. Otherwise
// it returns 0.
func (l *Lease) ContinuedTerm() topo.Term { return l.continuedTerm }

// EarlierOrdersEnd returns when the leases of all earlier holders had expired, if that is
// known to be before the lease was acquired; otherwise the zero time.
func (l *Lease) EarlierOrdersEnd() time.Time { return l.earlierOrdersEnd }

// EarlierLeaders returns how often the lease had been acquired in the era of the store in
// which this process acquired it, as far as it knows.
func (l *Lease) EarlierLeaders() int { return l.earlierLeaders }

// Expiry returns the end of the lease; zero if the process does not hold it.
func (l *Lease) Expiry() time.Time { return l.expiry }

// Current returns the newest observed content of the lease.
func (l *Lease) Current() Record { return l.current.Record }

// Version returns the newest observed version of the lease.
func (l *Lease) Version() uint64 { return l.current.Version }

// SetEra records that the store has shown an era. At the first sight of a new one the
// lease is read at once. A process whose lease has not ended by then is the last holder
// of before, and takes the lease back as long as no other process has acquired it since.
func (l *Lease) SetEra(now time.Time, era topo.Era) {
	if era <= max(l.knownEra, l.current.era()) {
		return
	}
	l.knownEra = era
	if now.Before(l.heldUntil) {
		l.resumeEra, l.resumeLimit = era, topo.Revision(l.current.Version).Counter()
	}
	if !l.lastObserved.IsZero() {
		l.observed, l.conflict, l.nextActionAt = false, true, now
	}
}

// resumes reports whether this process may take the lease back under its last term. A
// version above resumeLimit may be a delayed write of this process, which has replaced the
// record of another holder.
func (l *Lease) resumes() bool {
	return l.current.restored() && !l.current.Unreadable && l.resumeEra == l.current.era() && l.current.Record.Holder == l.self &&
		topo.Revision(l.current.Version).Counter() <= l.resumeLimit
}

// Resign makes the next step release the lease if the process holds it. The
// process never acquires it again. settled states that none of its orders can
// still take effect.
func (l *Lease) Resign(now time.Time, settled bool) {
	l.resigning, l.settled = true, settled
	l.nextActionAt = now
}

// Next returns the action to carry out at now. The caller reports the result of
// a read with Observed or Failed, and that of a write with Written or Failed.
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
	if l.resigning || !l.mayAcquire(now) || l.candidacy.isReserve() && now.Sub(l.lastObserved) > recentRead {
		return Step{Action: Read}
	}
	if l.resumes() {
		return l.renew(now)
	}
	last := l.current.Record
	released := last.Term > 0 && last.Holder == (Identity{}) && !l.current.restored()
	l.predecessorSettled = last.Settled && !l.current.restored()
	if l.current.restored() {
		// The last holder may have had more members than the older copy says.
		last.Members, last.Holder = 0, Identity{}
	}
	l.predecessor = Predecessor{Exists: last.Term > 0 || l.current.restored(), Expired: l.unchangedForLease(now), Members: last.Members, Holder: last.Holder, Released: released, Term: last.Term}
	l.continuedTerm, l.earlierOrdersEnd = 0, time.Time{}
	if l.continues() {
		l.continuedTerm = last.Term
	}
	if l.current.restored() {
		l.earlierOrdersEnd = l.firstObserved.Add(fullWait)
	}
	l.earlierLeaders = 0
	if l.leadersEra == l.current.era() {
		l.earlierLeaders = l.leaders
	}
	// Until this process knows its members, the number is that of its predecessor.
	next := Record{Term: l.nextTerm(), Holder: l.self, Members: last.Members}
	next.Era, next.Leaders = l.current.era(), l.earlierLeaders+1
	return l.write(now, next)
}

// unchangedForLease reports whether the lease has not changed for its whole duration.
func (l *Lease) unchangedForLease(now time.Time) bool {
	return now.Sub(l.firstObserved) > time.Duration(float64(TTL)*(1+MaxDrift))
}

// UsableUntil returns the time until which the process may act on its lease; zero if it
// does not hold it.
func (l *Lease) UsableUntil() time.Time {
	if l.expiry.IsZero() {
		return time.Time{}
	}
	return l.expiry.Add(-safetyMargin)
}

// continues reports whether this process is the last known holder of a restored lease,
// and saw what it is to replace soon after its own lease had ended. Any other holder
// acquired the lease after that end, and has lost it a whole lease after that sight.
func (l *Lease) continues() bool {
	return l.current.restored() && l.current.Record.Holder == l.self && l.current.Record.Term == l.heldTerm &&
		!l.heldUntil.IsZero() && l.firstObserved.Sub(l.heldUntil) <= MaxGap
}

// nextTerm returns the term of a process that replaces the current version. No record has
// a term above its own version, so that a term above the version that it replaces exceeds
// all terms of lost records, and of those that a delayed write of an earlier era replaced.
func (l *Lease) nextTerm() topo.Term {
	term := l.current.Record.Term + 1
	if l.current.restored() {
		term = max(term, topo.Term(l.current.Version)+1)
	}
	return term
}

// renew returns the write that renews the lease or, after Resign, releases it.
func (l *Lease) renew(now time.Time) Step {
	record := l.current.Record
	record.Count++
	if l.members > 0 {
		record.Members = l.members
	}
	if l.resigning {
		record.Holder, record.Settled = Identity{}, l.settled
		l.expiry, l.heldUntil = time.Time{}, time.Time{}
	}
	return l.write(now, record)
}

func (l *Lease) write(now time.Time, record Record) Step {
	l.lastWriteSent = now
	if l.firstUnconfirmedSent.IsZero() {
		l.firstUnconfirmedSent = now
	}
	if record.Era < l.current.era() {
		record.Era, record.Leaders = l.current.era(), 0
	}
	return Step{Action: Write, Next: record, Version: l.current.Version}
}

// mayAcquire reports whether the process may acquire the lease at now.
func (l *Lease) mayAcquire(now time.Time) bool {
	holder := l.current.Record.Holder
	switch {
	case l.resumes():
		return true
	case l.current.restored():
		// A lost record may name another holder, which renewed the lease until the
		// store returned.
		return now.Sub(l.firstObserved) > l.restoredWait()
	case holder == Identity{}:
		return now.Sub(l.firstObserved) >= l.candidacy.Delay
	case holder.VM == l.self.VM && holder.Addr == l.self.Addr:
		// The holder was an earlier process on this VM, which has ended.
		return true
	}
	return now.Sub(l.firstObserved) > fullWait+l.candidacy.Delay
}

// restoredWait returns how long this process observes a restored lease before it
// acquires it.
func (l *Lease) restoredWait() time.Duration {
	if l.continues() {
		return fullWait
	}
	if l.reported {
		return fullWait + l.candidacy.Delay
	}
	return fullWait + continuerHeadStart + l.candidacy.Delay
}

// Observed records the result of a read.
//
// If the store has returned to an older copy, a process that holds the lease goes on
// holding it: any other process waits from then on until that lease has expired.
func (l *Lease) Observed(now time.Time, seen VersionedRecord) {
	l.countLeaders(seen)
	if seen.Version == l.current.Version && !seen.restored() {
		// A holder reports less than its record.
		l.current.Record = seen.Record
	}
	l.observe(now, seen)
}

// countLeaders records how often the lease was acquired in the era.
func (l *Lease) countLeaders(v VersionedRecord) {
	if era := v.era(); !v.restored() && (era > l.leadersEra || era == l.leadersEra && v.Record.Leaders > l.leaders) {
		l.leadersEra, l.leaders = era, v.Record.Leaders
	}
}

func (l *Lease) observe(now time.Time, seen VersionedRecord) {
	if seen.era() < l.current.era() {
		l.nextActionAt = now.Add(retryInterval)
		return
	}
	l.lastObserved, l.conflict = now, false
	if l.observed && seen.Version < l.current.Version {
		l.nextActionAt = now.Add(pollInterval)
		return
	}
	changed := seen.Version != l.current.Version
	if !l.observed || changed {
		if seen.restored() && l.current.Record.Term >= seen.Record.Term {
			// The record stays marked as restored.
			era := seen.Record.Era
			seen.Record = l.current.Record
			seen.Record.Era = min(seen.Record.Era, era)
		}
		l.current, l.firstObserved, l.observed, l.reported = seen, now, true, false
	}
	switch {
	case l.current.Record.Holder != l.self:
		l.expiry, l.heldUntil = time.Time{}, time.Time{}
	case changed && !l.resigning && l.expiry.IsZero() && !l.firstUnconfirmedSent.IsZero() && !l.current.restored():
		// A write took effect and its response was lost. It may have been the
		// first of several unconfirmed writes, so the lease counts from the
		// first.
		l.expiry = l.firstUnconfirmedSent.Add(TTL)
		l.heldUntil, l.heldTerm = l.expiry, l.current.Record.Term
	}
	if changed {
		// Until then, unconfirmed writes may still take effect.
		l.firstUnconfirmedSent = time.Time{}
	}
	l.nextActionAt = now.Add(l.pollDelay(now))
}

// HeartbeatReceived records that the holder of the lease in a term reported the
// version of its lease. It counts as a read of that version, so that the process
// need not read the store. A report of an earlier term or an older version is
// ignored.
func (l *Lease) HeartbeatReceived(now time.Time, holder Identity, term topo.Term, version uint64) {
	record := l.current.Record
	switch {
	case version < l.current.Version || term < record.Term || holder.VM == l.self.VM:
		return
	case term > record.Term || !l.observed:
		record = Record{Term: term, Holder: holder}
	}
	l.observe(now, VersionedRecord{Record: record, Version: version})
	l.reported = true
	l.nextActionAt = now.Add(heartbeatPollInterval)
}

// pollDelay returns the time until the next step after an observation.
func (l *Lease) pollDelay(now time.Time) time.Duration {
	if _, holds := l.Holds(now); holds {
		if l.current.restored() {
			return 0
		}
		return RenewInterval
	}
	if l.resigning {
		return pollInterval
	}
	if l.mayAcquire(now) {
		return 0
	}
	if l.current.restored() {
		rest := l.restoredWait() - now.Sub(l.firstObserved) + time.Millisecond
		return max(min(urgentPollInterval, rest), l.candidacy.Poll)
	}
	if l.current.Record.Holder == (Identity{}) {
		return max(min(urgentPollInterval, l.candidacy.Delay), l.candidacy.Poll)
	}
	if now.Sub(l.firstObserved) > TTL/2 || l.urgent {
		return max(urgentPollInterval, l.candidacy.Poll)
	}
	return max(pollInterval, l.candidacy.Poll)
}

// Urgent reports whether the process expects a change of the leader, or knows that the
// newest observed version is outdated. Reads must then not be stale.
func (l *Lease) Urgent() bool { return l.urgent || l.conflict }

// LeadershipDenied records that the presumed holder replied that it is not the
// leader. It turns on urgent polling and makes the next step due immediately.
func (l *Lease) LeadershipDenied(now time.Time) {
	l.SetUrgent(true, now)
	if l.expiry.IsZero() && !l.candidacy.isReserve() {
		l.conflict, l.nextActionAt = true, now
	}
}

// SetUrgent sets whether the process polls the lease at the urgent interval,
// which it should while it has no contact with the leader.
func (l *Lease) SetUrgent(urgent bool, now time.Time) {
	if urgent && !l.urgent && l.expiry.IsZero() {
		l.nextActionAt = now.Add(l.candidacy.FirstPoll)
	}
	l.urgent = urgent
}

// Written records that the write of the last step took effect, so that the store
// now has record under version. A version of a later era than the record counts as a
// conflict: the write of a lease that does not exist requires no version of its era.
func (l *Lease) Written(now time.Time, record Record, version uint64) {
	if topo.Revision(version).Era() != record.Era {
		l.Failed(now, true)
		return
	}
	l.current, l.firstObserved = VersionedRecord{Record: record, Version: version}, now
	l.countLeaders(l.current)
	l.resumeEra = 0
	l.expiry, l.firstUnconfirmedSent = time.Time{}, time.Time{}
	if record.Holder == l.self {
		l.expiry = l.lastWriteSent.Add(TTL)
		l.heldUntil, l.heldTerm = l.expiry, l.current.Record.Term
	}
	l.nextActionAt = l.lastWriteSent.Add(RenewInterval)
	if l.resigning {
		l.nextActionAt = now.Add(pollInterval)
	}
}

// Failed records that the read or write of the last step got no response or, if
// conflict is set, that the write was rejected because the stored version had
// changed. After a conflict the lease is read next.
func (l *Lease) Failed(now time.Time, conflict bool) {
	l.observed = l.observed && !conflict
	l.conflict = l.conflict || conflict
	l.nextActionAt = now.Add(retryInterval)
}
