package membership

import (
	"time"

	"godwitlock.example/godwitlock/topo"
)

// Predecessor is what a new leader knows of the leader before it.
type Predecessor struct {
	// Exists is false if no VM has led before.
	Exists bool
	// Expired says that its lease ended before this leader's began. Otherwise the
	// VMs that followed it may not know that it has ended.
	Expired bool
	// LeaseTTL is the length of its lease.
	LeaseTTL time.Duration
	// MaxTTL is the longest time for which it kept a VM as a member after a call.
	MaxTTL time.Duration
}

// rightsEnd returns the time at which every right of the predecessor's term has ended,
// if the lease of this leader began at start.
func (p Predecessor) rightsEnd(start time.Time) time.Time {
	switch {
	case !p.Exists:
		return start
	case p.Expired:
		return start.Add(max(p.MaxTTL-ttlMargin, maxLeaderlessGrace))
	}
	return start.Add(max(p.MaxTTL-ttlMargin, p.LeaseTTL+maxLeaderlessGrace))
}

// Call is a call of a VM that follows the leader.
type Call struct {
	VM topo.VMID
	// Process identifies the process on the VM.
	Process string
	// List is the list under which the VM acts; zero if it has none.
	List topo.ListVersion
	// AttestedFor is for how long attestations of the VM may still be relied on.
	AttestedFor time.Duration
	// TTL is how long the leader keeps the VM as a member.
	TTL time.Duration
	// LeaseEnd is the end of the leader's lease that the VM is told.
	LeaseEnd time.Time
}

// holder is a VM that may act under a list.
type holder struct {
	process string
	// list is the newest list that the VM is known to have. It may have a newer one.
	list topo.ListVersion
	// promiseEnd is the end of its membership, and leaderlessEnd the latest end of its
	// right to act without a leader.
	promiseEnd, leaderlessEnd time.Time
	attestedUntil             time.Time
	called                    bool
}

// published is a list of this leader.
type published struct {
	version   topo.ListVersion
	witnesses []topo.VMID
}

// Registry records for a leader which VMs may act under which of its lists.
type Registry struct {
	self topo.VMID
	term topo.Term
	// earlierEnd is when all rights of earlier terms have ended. earlier is the newest
	// known list of those terms; earlierKnown is false while its VMs are not known.
	earlierEnd   time.Time
	earlier      topo.ListVersion
	earlierKnown bool
	holders      map[topo.VMID]*holder
	// lists holds the published lists that a VM may still have, oldest first.
	lists   []published
	settled topo.ListVersion
	// own is the list under which the leader itself acts; zero if it has none.
	own              topo.ListVersion
	ownAttestedUntil time.Time
}

// NewRegistry returns the Registry of the VM self, which leads in a term that began at
// start. earlier is a list of an earlier term, with the VMs that may act then; zero if
// these are not known.
func NewRegistry(self topo.VMID, term topo.Term, start time.Time, p Predecessor, earlier topo.ListVersion, vms []topo.VMID) *Registry {
	r := &Registry{self: self, term: term, earlierEnd: p.rightsEnd(start), holders: make(map[topo.VMID]*holder)}
	if !p.Exists {
		r.earlierKnown = true
	}
	if earlier != (topo.ListVersion{}) {
		r.SetEarlier(earlier, vms)
	}
	return r
}

// WantsEarlier reports whether the VMs of the newest list of earlier terms are not known.
func (r *Registry) WantsEarlier() bool { return !r.earlierKnown }

// SetEarlier records the VMs that may act while a VM has a list of an earlier term; see
// Standing.Complete. Older lists than the newest known one are ignored.
func (r *Registry) SetEarlier(list topo.ListVersion, vms []topo.VMID) {
	if r.earlier.Newer(list) || r.earlier == list && r.earlierKnown || list.Term >= r.term {
		return
	}
	r.earlier, r.earlierKnown = list, true
	for _, vm := range vms {
		if vm != r.self && r.holders[vm] == nil {
			r.holders[vm] = &holder{promiseEnd: r.earlierEnd, leaderlessEnd: r.earlierEnd}
		}
	}
}

// AllRestarted records that every VM that followed the earlier leaders has started anew,
// so that none acts under an earlier list.
func (r *Registry) AllRestarted() {
	r.earlierEnd, r.earlierKnown = time.Time{}, true
	for vm, h := range r.holders {
		if !h.called {
			delete(r.holders, vm)
		}
	}
}

// MayAct returns the number of VMs that may act under any list, the leader included; 0 if
// it is not known.
func (r *Registry) MayAct(now time.Time) int {
	if !r.earlierKnown && now.Before(r.earlierEnd) {
		return 0
	}
	n := 1
	for _, h := range r.holders {
		if now.Before(h.promiseEnd) || now.Before(h.leaderlessEnd) {
			n++
		}
	}
	return n
}

// Called records a call of a VM that arrived at now.
func (r *Registry) Called(now time.Time, c Call) {
	if c.VM == r.self {
		return
	}
	if c.List.Term < r.term && c.List.Newer(r.earlier) {
		r.earlier, r.earlierKnown = c.List, false
	}
	h := r.holders[c.VM]
	if h == nil {
		h = &holder{process: c.Process}
		r.holders[c.VM] = h
	}
	if h.process != c.Process {
		// Other VMs may still rely on an attestation of an earlier process.
		h.process, h.attestedUntil = c.Process, later(h.attestedUntil, now.Add(AttestTTL))
	}
	// A call without a list, or of another process, may be a late one of before, so it does
	// not end a right.
	h.called = true
	if c.List != (topo.ListVersion{}) {
		h.list = c.List
	}
	h.promiseEnd = later(h.promiseEnd, now.Add(c.TTL))
	h.leaderlessEnd = later(h.leaderlessEnd, c.LeaseEnd.Add(maxLeaderlessGrace))
	h.attestedUntil = later(h.attestedUntil, now.Add(c.AttestedFor))
}

// Acts records the list under which the leader itself acts at now, which may lag behind
// the one that it published, and for how long attestations of the leader may still be
// relied on: it may have attested its own list while its lease had lapsed for a moment.
func (r *Registry) Acts(now time.Time, list topo.ListVersion, attested time.Duration) {
	r.own, r.ownAttestedUntil = list, later(r.ownAttestedUntil, now.Add(attested))
}

func (r *Registry) current() topo.ListVersion {
	if len(r.lists) == 0 {
		return topo.ListVersion{}
	}
	return r.lists[len(r.lists)-1].version
}

// AllEarlierCalled reports whether the newest list of earlier terms is known, and each VM
// on it has called.
func (r *Registry) AllEarlierCalled() bool {
	if r.earlier == (topo.ListVersion{}) || !r.earlierKnown {
		return false
	}
	for _, h := range r.holders {
		if !h.called {
			return false
		}
	}
	return true
}

// Publish records a list that the leader publishes, and its witnesses.
func (r *Registry) Publish(list topo.ListVersion, witnesses []topo.VMID) {
	r.lists = append(r.lists, published{list, witnesses})
}

// Settled returns the newest settled list; zero if there is none.
func (r *Registry) Settled() topo.ListVersion { return r.settled }

// Settle updates the newest settled list and reports whether it has changed.
func (r *Registry) Settle(now time.Time) (changed bool) {
	if len(r.lists) == 0 || !r.earlierKnown && now.Before(r.earlierEnd) {
		return false
	}
	for vm, h := range r.holders {
		if !now.Before(h.promiseEnd) && !now.Before(h.leaderlessEnd) {
			delete(r.holders, vm)
		}
	}
	before := r.settled
	for _, l := range r.lists {
		if l.version.Newer(r.settled) && r.isSettled(now, l.version) {
			r.settled = l.version
		}
	}
	r.prune()
	return r.settled != before
}

func (r *Registry) isSettled(now time.Time, list topo.ListVersion) bool {
	if r.own != (topo.ListVersion{}) && list.Newer(r.own) {
		return false
	}
	for _, h := range r.holders {
		if list.Newer(h.list) && !r.over(now, h, list) {
			return false
		}
	}
	return true
}

// over reports whether a VM can no longer act under any list before the given one.
func (r *Registry) over(now time.Time, h *holder, list topo.ListVersion) bool {
	if now.Before(h.promiseEnd) {
		return false
	}
	if !now.Before(h.leaderlessEnd) {
		return true
	}
	if h.list.Term < r.term && now.Before(r.earlierEnd) {
		return false
	}
	for _, l := range r.lists {
		if !h.list.Newer(l.version) && list.Newer(l.version) && !r.blocked(now, l.witnesses, list) {
			return false
		}
	}
	return true
}

// blocked reports whether so many witnesses have confirmed the given list or a later one
// that the others are no majority.
func (r *Registry) blocked(now time.Time, witnesses []topo.VMID, list topo.ListVersion) bool {
	n := 0
	for _, vm := range witnesses {
		h := r.holders[vm]
		if vm == r.self && !now.Before(r.ownAttestedUntil) || h != nil && h.called && !list.Newer(h.list) && !now.Before(h.attestedUntil) {
			n++
		}
	}
	return 2*n >= len(witnesses)
}

// prune forgets the lists that no VM has any more.
func (r *Registry) prune() {
	oldest := r.current()
	for _, h := range r.holders {
		if oldest.Newer(h.list) {
			oldest = h.list
		}
	}
	for len(r.lists) > 1 && oldest.Newer(r.lists[0].version) {
		r.lists = r.lists[1:]
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
