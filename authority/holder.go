package authority

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/topo"
)

// ErrRosterChange means that the roster cannot change now, or that the new roster
// differs from the current one by more than one added or removed member.
const ErrRosterChange = errors.ConstError("roster change refused")

// AttestCall is an attest request to one witness. The caller of Holder.Tick sends
// it immediately and passes it to Holder.OnResponse together with the response.
type AttestCall struct {
	To      topo.VMID
	SentAt  time.Time
	Request AttestRequest
}

// attestation is the state that a holder keeps for one witness.
type attestation struct {
	member topo.VMID
	// until is AuthorityTTL after the time the last attested request was sent.
	until time.Time
	// requestedAt is when the last request was sent.
	requestedAt time.Time
	// sawHigherTerm is set once the witness has reported a higher term.
	sawHigherTerm bool
}

// Holder is the state machine of one process for one term. It first tries to gain
// authority, then renews it, and finally abandons the term. It is not safe for
// concurrent use.
type Holder struct {
	rules        *rules
	cell         topo.CellName
	term         topo.Term
	name         string
	gainDeadline time.Time
	roster       Roster
	// next is a roster that is in the store and not yet adopted; its version is
	// 0 when there is none.
	next         Roster
	attestations []attestation
	gained       bool
	abandoned    bool
	gainedAt     time.Time
	// rosterChangedAt is when the roster in use was adopted, or when authority was
	// gained if it has not changed since.
	rosterChangedAt time.Time
	// backOffUntil is the time before which Tick sends no requests because a
	// witness reported a higher term.
	backOffUntil time.Time
}

// NewHolder returns the holder of the term that the cell object assigns to self.
// It returns a NotFound error when the object assigns none. The store or the
// previous holder must have confirmed the roster of c in response to a request;
// confirmedAt is the time taken before that request was sent. Authority must be
// gained within MaxRosterAge of confirmedAt.
func NewHolder(c Cell, self Process, confirmedAt time.Time) (*Holder, error) {
	return newHolder(standard, c, self, confirmedAt)
}

func newHolder(r *rules, c Cell, self Process, confirmedAt time.Time) (*Holder, error) {
	term, _, ok := c.TermOf(self)
	if !ok {
		return nil, errors.NotFoundf("term of process %s in cell object %q", self, c.Name)
	}
	h := &Holder{rules: r, cell: c.Name, term: term, name: self.String(), roster: c.Roster}
	if !r.omit.maxRosterAge {
		h.gainDeadline = confirmedAt.Add(r.maxRosterAge)
	}
	h.track(c.Roster)
	return h, nil
}

// track adds the members of r to the witnesses that Tick sends requests to.
func (h *Holder) track(r Roster) {
	for _, m := range r.Members {
		if h.find(m) == nil {
			h.attestations = append(h.attestations, attestation{member: m})
		}
	}
}

func (h *Holder) find(m topo.VMID) *attestation {
	for i := range h.attestations {
		if h.attestations[i].member == m {
			return &h.attestations[i]
		}
	}
	return nil
}

// Term returns the term that the holder was created for.
func (h *Holder) Term() topo.Term { return h.term }

// Roster returns the roster in use, whose majority decides the validity of the
// term. It is the old one while a roster change waits for adoption.
func (h *Holder) Roster() Roster { return h.roster }

// Gained reports whether the term has ever had authority. A term that has never had
// it may be tried again by a new Holder with a newer roster.
func (h *Holder) Gained() bool { return h.gained }

// GainedAt returns when the term gained authority, and the zero time before that.
func (h *Holder) GainedAt() time.Time { return h.gainedAt }

// Abandoned reports whether the holder has abandoned the term. An abandoned Holder
// never becomes valid again.
func (h *Holder) Abandoned() bool { return h.abandoned }

// Valid reports whether the term has authority at now. It abandons the term when
// the authority has lapsed, or when the roster has become too old to gain
// authority. Call it again immediately before each use of the authority.
func (h *Holder) Valid(now time.Time) bool {
	h.checkExpiry(now)
	if h.rules.omit.lapseIsFinal {
		return h.gained && !h.abandoned && now.Before(h.majorityUntil(h.roster))
	}
	return h.gained && !h.abandoned
}

// ValidUntil returns when the authority ends unless it is renewed. It returns the
// zero time when the term has no authority.
func (h *Holder) ValidUntil() time.Time {
	if !h.gained || h.abandoned {
		return time.Time{}
	}
	return h.majorityUntil(h.roster)
}

// Remaining returns the longest lease that may be granted at now to a process with
// a different clock without outliving the authority. It is 0 without authority.
func (h *Holder) Remaining(now time.Time) time.Duration {
	if !h.Valid(now) {
		return 0
	}
	return SubtractDriftMargin(h.ValidUntil().Sub(now))
}

// checkExpiry abandons the term when its authority, or its time to gain authority,
// has ended at now. Every event that carries a time calls it first.
func (h *Holder) checkExpiry(now time.Time) {
	switch {
	case h.gained && !now.Before(h.majorityUntil(h.roster)):
		if !h.rules.omit.lapseIsFinal {
			h.abandoned = true
		}
	case !h.gained && !h.gainDeadline.IsZero() && !now.Before(h.gainDeadline):
		h.abandoned = true
	}
}

// majorityUntil returns the time until which a majority of r attests the term: the
// k-th latest attestation deadline for a majority of k. It returns the zero time
// when fewer than k members are tracked.
func (h *Holder) majorityUntil(r Roster) time.Time {
	var sorted [MaxCellVMs]time.Time
	n := 0
	for _, m := range r.Members {
		a := h.find(m)
		if a == nil || n == len(sorted) {
			continue
		}
		i := n
		for ; i > 0 && sorted[i-1].Before(a.until); i-- {
			sorted[i] = sorted[i-1]
		}
		sorted[i] = a.until
		n++
	}
	k := r.Majority()
	if n < k {
		return time.Time{}
	}
	return sorted[k-1]
}

// Tick appends the requests that are due at now to buf and returns the extended
// slice. Call it at least once per AttestInterval.
func (h *Holder) Tick(now time.Time, buf []AttestCall) []AttestCall {
	h.checkExpiry(now)
	if h.abandoned || (!h.gained && now.Before(h.backOffUntil)) {
		return buf
	}
	for i := range h.attestations {
		a := &h.attestations[i]
		if !a.requestedAt.IsZero() && now.Sub(a.requestedAt) < h.rules.attestInterval {
			continue
		}
		a.requestedAt = now
		buf = append(buf, AttestCall{To: a.member, SentAt: now, Request: AttestRequest{
			Cell: h.cell, Term: h.term, Holder: h.name, RosterVersion: h.roster.Version,
		}})
	}
	return buf
}

// OnResponse processes the response to call, which arrived at now. It ignores a
// response for another term or from a witness that is no longer tracked, and every
// response after the term was abandoned.
func (h *Holder) OnResponse(now time.Time, call AttestCall, resp AttestResponse) {
	h.checkExpiry(now)
	a := h.find(call.To)
	if h.abandoned || a == nil || call.Request.Term != h.term || call.SentAt.After(now) {
		return
	}
	if !resp.OK {
		h.onRefusal(now, a, resp)
		return
	}
	from := call.SentAt
	if h.rules.omit.ttlFromSend {
		from = now
	}
	if until := from.Add(h.rules.ttl); until.After(a.until) {
		a.until = until
	}
	if !h.gained && now.Before(h.majorityUntil(h.roster)) {
		h.gained, h.gainedAt, h.rosterChangedAt = true, now, now
	}
	h.adopt(now)
}

// onRefusal backs off once per witness that attested a higher term. Without the
// backoff, two successors that are each attested by less than a majority would
// block each other. The lower term is tried again after the backoff, in case the
// higher one has not gained authority.
func (h *Holder) onRefusal(now time.Time, a *attestation, resp AttestResponse) {
	if h.gained || a.sawHigherTerm || resp.HighestTerm <= h.term {
		return
	}
	a.sawHigherTerm = true
	h.backOffUntil = now.Add(h.rules.witnessHold + h.rules.attestInterval)
}

// CanChangeRoster reports whether a roster change may be written to the store at
// now. The minimum interval since the last change ensures that no process uses a
// roster that is two changes old. The write must have a deadline, and it must take
// place only while CanChangeRoster is true.
func (h *Holder) CanChangeRoster(now time.Time) bool {
	if !h.Valid(now) || h.next.Version != 0 {
		return false
	}
	return h.rules.omit.rosterChangeInterval || now.Sub(h.rosterChangedAt) >= h.rules.rosterChangeInterval
}

// SetRoster informs the holder of a newer roster r that is in the store. The next
// Tick sends requests to its new members, and the holder adopts r when a majority
// of r attests the term and the switch does not shorten the authority. Until then
// the holder may confirm either roster to successors. If r is not a single-member
// change of the roster in use, or another change is pending, SetRoster returns an
// error that matches ErrRosterChange and the holder keeps its roster.
func (h *Holder) SetRoster(now time.Time, r Roster) error {
	h.checkExpiry(now)
	switch {
	case r.equal(h.roster) || r.equal(h.next):
		return nil
	case h.next.Version != 0 || !(h.roster.isSingleMemberChange(r) || h.rules.omit.singleMemberChange):
		return errors.Annotatef(ErrRosterChange, "changing roster from version %d to %d", h.roster.Version, r.Version)
	}
	h.next = r
	h.track(r)
	h.adopt(now)
	return nil
}

// adopt switches to the next roster once that does not shorten the authority.
// ValidUntil therefore never moves backwards, and the change causes no lapse.
func (h *Holder) adopt(now time.Time) {
	if h.next.Version == 0 || !h.gained {
		return
	}
	until := h.majorityUntil(h.next)
	if !now.Before(until) || until.Before(h.majorityUntil(h.roster)) {
		return
	}
	h.roster, h.next, h.rosterChangedAt = h.next, Roster{}, now
	h.attestations = slices.DeleteFunc(h.attestations, func(a attestation) bool { return !h.roster.Has(a.member) })
}

// Abandon abandons the term without notifying the witnesses. Call it when a higher
// term has been seen in use, and to stop trying to gain authority.
func (h *Holder) Abandon() { h.abandoned = true }

// Release abandons the term for a planned stop. It returns a release request and
// the witnesses to send it to, so that they can attest the successor at once.
// Leases granted under the term remain valid until they expire.
func (h *Holder) Release() (ReleaseRequest, []topo.VMID) {
	h.abandoned = true
	members := make([]topo.VMID, 0, len(h.attestations))
	for _, a := range h.attestations {
		members = append(members, a.member)
	}
	return ReleaseRequest{Cell: h.cell, Term: h.term}, members
}
