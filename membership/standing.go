package membership

import (
	"slices"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// Basis is why a VM may act under its list.
type Basis uint8

const (
	// NoBasis means that another VM may be home of the customers.
	NoBasis Basis = iota
	// Leader means that this VM leads, or has released its lease before the end.
	Leader
	// Promise means that the leader keeps this VM as a member.
	Promise
	// Attested means that no leader answers, and more than half of the witnesses
	// attest that they have the same list.
	Attested
)

func (b Basis) String() string { return [...]string{"none", "leader", "promise", "attested"}[b] }

// Contact is what a VM learns from a response of the leader.
type Contact struct {
	// Sent is when the request was sent. TTL is how long after it the leader keeps
	// this VM as a member; 0 if it does not. LeaseEnd is the end of the leader's lease.
	Sent     time.Time
	TTL      time.Duration
	LeaseEnd time.Time
	// Term is the term of the leader. Held is the list that this VM has after the
	// response, Current the newest one that the leader has published in its term, and
	// Settled the newest one that is settled; zero if there is none.
	Term                   topo.Term
	Held, Current, Settled topo.ListVersion
}

// Standing is the right of a VM to act under its list of the VMs.
type Standing struct {
	self      topo.VMID
	list      topo.ListVersion
	witnesses []topo.VMID
	contact   Contact
	settled   topo.ListVersion
	// leads is set while this VM leads. leadsUntil is the end of its lease in term led, also
	// after it has released it.
	leads      bool
	leadsUntil time.Time
	led        topo.Term
	// attestations holds, for each witness that attested the list, when it was asked.
	attestations map[topo.VMID]time.Time
	// lapsed is set once the VM had no right to act under its list. complete is set while
	// it has had the right since it had a settled list.
	lapsed, complete bool
	// attestedUntil is until when other VMs may rely on an attestation of this one.
	attestedUntil time.Time
}

// NewStanding returns the Standing of the VM self, which has no list.
func NewStanding(self topo.VMID) *Standing {
	return &Standing{self: self, lapsed: true, attestations: make(map[topo.VMID]time.Time)}
}

// List returns the list under which this VM acts.
func (s *Standing) List() topo.ListVersion { return s.list }

// Settled reports whether the list is settled, so that this VM may act as the home of
// customers that had another one under earlier lists.
func (s *Standing) Settled() bool {
	return s.list == s.settled && s.list != topo.ListVersion{}
}

// Complete reports whether no VM may act but those on the lists that this VM has had from
// the last one on that it knew as settled: no list that it did not have can be settled,
// since that would have waited for this VM, whose right has not lapsed.
func (s *Standing) Complete(now time.Time) bool {
	s.advance(now)
	return s.complete && !s.lapsed
}

// SetList records that this VM has a list with the given witnesses, and acts under no
// earlier one from now on. It reports whether the right to act under the earlier list
// was continuous. Otherwise other VMs may have been home of this VM's customers.
func (s *Standing) SetList(now time.Time, list topo.ListVersion, witnesses []topo.VMID) (continuous bool) {
	if list == s.list {
		return !s.lapsed
	}
	s.advance(now)
	continuous = !s.lapsed
	s.list, s.witnesses, s.lapsed = list, witnesses, false
	s.complete = s.complete && continuous
	clear(s.attestations)
	return continuous
}

// Contacted records a response of the leader. It has no effect while this VM does not
// act under the list that it had after the response.
func (s *Standing) Contacted(now time.Time, c Contact) {
	if c.TTL <= 0 || c.Held != s.list || c.Term < s.contact.Term || c.Term == s.contact.Term && !c.Sent.After(s.contact.Sent) {
		return
	}
	s.advance(now)
	s.contact = c
	s.settle(c.Settled)
	if c.Current == s.list && c.Term == s.list.Term {
		s.lapsed = false
	}
}

// Leads records that this VM leads in a term until the given time, and the newest list
// that is settled.
func (s *Standing) Leads(now, until time.Time, term topo.Term, settled topo.ListVersion) {
	s.advance(now)
	s.leads, s.leadsUntil, s.led = true, until, term
	s.settle(settled)
	if s.list.Term == term {
		s.lapsed = false
	}
}

// LeadsNot records that this VM does not lead. If it has released its lease, it may act
// under its own list until that would have ended, which the next leader awaits.
func (s *Standing) LeadsNot(now time.Time) {
	s.advance(now)
	s.leads = false
}

func (s *Standing) settle(list topo.ListVersion) {
	if list.Newer(s.settled) {
		s.settled = list
	}
	s.complete = s.complete || s.Settled()
}

// advance records a lapse of the right up to now.
func (s *Standing) advance(now time.Time) {
	if !now.Before(s.rightEnd()) {
		s.lapsed, s.complete = true, false
	}
}

// Basis returns why this VM may act under its list at now, if it may.
func (s *Standing) Basis(now time.Time) Basis {
	s.advance(now)
	switch {
	case s.lapsed:
		return NoBasis
	case now.Before(s.leaderEnd()):
		return Leader
	case now.Before(s.promiseEnd()):
		return Promise
	}
	return Attested
}

func (s *Standing) rightEnd() time.Time {
	end := s.leaderEnd()
	for _, t := range []time.Time{s.promiseEnd(), s.attestedEnd()} {
		if t.After(end) {
			end = t
		}
	}
	return end
}

// leaderEnd returns the end of the right of a leader.
func (s *Standing) leaderEnd() time.Time {
	if !s.leads && s.list.Term != s.led {
		return time.Time{}
	}
	return s.leadsUntil
}

func (s *Standing) promiseEnd() time.Time {
	if s.contact.Sent.IsZero() {
		return time.Time{}
	}
	return s.contact.Sent.Add(s.contact.TTL - ttlMargin)
}

// attestedEnd returns the end of the right to act without a leader. It exists only
// under a list of the leader that this VM followed last, which knows its witnesses.
func (s *Standing) attestedEnd() time.Time {
	if s.contact.Term != s.list.Term || s.contact.LeaseEnd.IsZero() {
		return time.Time{}
	}
	var asked []time.Time
	for _, t := range s.attestations {
		asked = append(asked, t)
	}
	needed := len(s.witnesses)/2 + 1
	if len(asked) < needed {
		return time.Time{}
	}
	slices.SortFunc(asked, func(a, b time.Time) int { return b.Compare(a) })
	end := asked[needed-1].Add(AttestTTL)
	if last := s.contact.LeaseEnd.Add(leaderlessGrace); last.Before(end) {
		return last
	}
	return end
}

// Witnesses returns the VMs to ask for attestations of the list at now; nil unless this
// VM is about to lose its right or has only theirs.
func (s *Standing) Witnesses(now time.Time) []topo.VMID {
	s.advance(now)
	if s.lapsed || s.leads || s.contact.Term != s.list.Term || now.Before(s.promiseEnd().Add(-attestLead)) ||
		now.After(s.contact.LeaseEnd.Add(leaderlessGrace)) {
		return nil
	}
	return s.witnesses
}

// RecordAttestation records that a witness attested the list when it was asked at the
// given time.
func (s *Standing) RecordAttestation(vm topo.VMID, list topo.ListVersion, asked time.Time) {
	if list != s.list || !slices.Contains(s.witnesses, vm) || asked.Before(s.attestations[vm]) {
		return
	}
	s.attestations[vm] = asked
}

// Attest reports whether this VM has the given list and does not lead. The VM that asks
// may rely on that for AttestTTL.
func (s *Standing) Attest(now time.Time, list topo.ListVersion) bool {
	if list != s.list || s.list == (topo.ListVersion{}) || s.leads && now.Before(s.leadsUntil) {
		return false
	}
	s.attestedUntil = now.Add(AttestTTL)
	return true
}

// AttestedFor returns for how long other VMs may still rely on an attestation of this
// one.
func (s *Standing) AttestedFor(now time.Time) time.Duration { return max(0, s.attestedUntil.Sub(now)) }
