package authority

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/topo"
)

// ErrRosterChange says that the roster can not change now, or not in this way.
const ErrRosterChange = errors.ConstError("roster change refused")

// AttestCall is an attest request to one witness. The driver sends it at once and
// hands it back with the response.
type AttestCall struct {
	To      topo.VMID
	SentAt  time.Time
	Request AttestRequest
}

// attestation is what a holder knows of one witness.
type attestation struct {
	member topo.VMID
	// until ends AuthorityTTL after the last attested request was sent.
	until time.Time
	// askedAt is when the last request was sent.
	requestedAt time.Time
	// higher is set when the witness refused because of a higher term.
	sawHigherTerm bool
}

// Holder is the use of one term by one process: first it tries to gain
// authority, then it keeps it, and at last it abandons the term. It is not safe
// for concurrent use.
type Holder struct {
	rules        *rules
	cell         topo.CellName
	term         topo.Term
	name         string
	gainDeadline time.Time
	roster       Roster
	// next is a roster in the store that is not in use yet; its version is 0
	// when there is none.
	next         Roster
	attestations []attestation
	gained       bool
	abandoned    bool
	gainedAt     time.Time
	// steppedAt is when the roster in use was adopted.
	rosterChangedAt time.Time
	// backOffUntil delays a term that meets a higher one.
	backOffUntil time.Time
}

// NewHolder returns the holder of a term that the cell object gives to self.
// The roster was confirmed at confirmedAt, by the store or by the holder before:
// the time before the request for it was sent. Authority must be gained within
// RosterAge of that.
func NewHolder(c Cell, self Process, confirmedAt time.Time) (*Holder, error) {
	return newHolder(standard, c, self, confirmedAt)
}

func newHolder(r *rules, c Cell, self Process, confirmedAt time.Time) (*Holder, error) {
	term, _, ok := c.TermOf(self)
	if !ok {
		return nil, errors.NotFoundf("term of %s in cell object %q", self, c.Name)
	}
	h := &Holder{rules: r, cell: c.Name, term: term, name: self.String(), roster: c.Roster}
	if !r.omit.maxRosterAge {
		h.gainDeadline = confirmedAt.Add(r.maxRosterAge)
	}
	h.track(c.Roster)
	return h, nil
}

// track adds the members of a roster to the witnesses that are asked.
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

// Term returns the term.
func (h *Holder) Term() topo.Term { return h.term }

// Roster returns the roster in use.
func (h *Holder) Roster() Roster { return h.roster }

// Gained reports whether the term ever had authority. A term that did not may
// be tried again with a newer roster.
func (h *Holder) Gained() bool { return h.gained }

// GainedAt returns when authority began; zero before that.
func (h *Holder) GainedAt() time.Time { return h.gainedAt }

// Abandoned reports whether the term was given up, for good.
func (h *Holder) Abandoned() bool { return h.abandoned }

// Valid reports whether the term has authority at now. A holder that finds its
// authority lapsed, or its roster too old to gain any, abandons the term. Call
// it again at the moment of each use.
func (h *Holder) Valid(now time.Time) bool {
	h.checkExpiry(now)
	if h.rules.omit.lapseIsFinal {
		return h.gained && !h.abandoned && now.Before(h.majorityUntil(h.roster))
	}
	return h.gained && !h.abandoned
}

// ValidUntil returns when the authority ends unless it is renewed; zero when
// there is none.
func (h *Holder) ValidUntil() time.Time {
	if !h.gained || h.abandoned {
		return time.Time{}
	}
	return h.majorityUntil(h.roster)
}

// Remaining returns the longest lease that may be given at now to a process with
// another clock so that it does not outlive the authority.
func (h *Holder) Remaining(now time.Time) time.Duration {
	if !h.Valid(now) {
		return 0
	}
	return SubtractDriftMargin(h.ValidUntil().Sub(now))
}

// observe runs first on every event.
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

// majorityUntil returns the time until which a majority of r attests the term:
// the majority-th greatest deadline.
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

// Tick appends the requests that are due at now to buf and returns it. Call it
// at least every AttestInterval.
func (h *Holder) Tick(now time.Time, buf []AttestCall) []AttestCall {
	h.checkExpiry(now)
	if h.abandoned || (!h.gained && now.Before(h.backOffUntil)) {
		return buf
	}
	for i := range h.attestations {
		a := &h.attestations[i]
		if !a.requestedAt.IsZero() && now.Sub(a.requestedAt) < h.rules.interval {
			continue
		}
		a.requestedAt = now
		buf = append(buf, AttestCall{To: a.member, SentAt: now, Request: AttestRequest{
			Cell: h.cell, Term: h.term, Holder: h.name, RosterVersion: h.roster.Version,
		}})
	}
	return buf
}

// OnResponse takes the response to an Ask that arrived at now.
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

// onRefusal backs off once per witness that attested a higher term, so that two
// successors which each hold some of the witnesses do not block each other: the
// higher term goes first, and the lower one tries again if that failed.
func (h *Holder) onRefusal(now time.Time, a *attestation, resp AttestResponse) {
	if h.gained || a.sawHigherTerm || resp.HighestTerm <= h.term {
		return
	}
	a.sawHigherTerm = true
	h.backOffUntil = now.Add(h.rules.witnessHold + h.rules.interval)
}

// CanChangeRoster reports whether a roster change may be written to the store at now.
// The interval since the last one ensures that no process uses a roster which is
// two steps old. Write it with a deadline and only while this is true.
func (h *Holder) CanChangeRoster(now time.Time) bool {
	if !h.Valid(now) || h.next.Version != 0 {
		return false
	}
	return h.rules.omit.rosterChangeInterval || now.Sub(h.rosterChangedAt) >= h.rules.rosterChangeInterval
}

// SetRoster tells the holder of a newer roster that is in the store. It is asked
// at once and adopted when its majority attests the term. The holder may confirm
// either roster to successors until then. An error means that the store holds a
// roster that this holder can not follow; it keeps its own.
func (h *Holder) SetRoster(now time.Time, r Roster) error {
	h.checkExpiry(now)
	switch {
	case r.equal(h.roster) || r.equal(h.next):
		return nil
	case h.next.Version != 0 || !(h.roster.isSingleMemberChange(r) || h.rules.omit.singleMemberChange):
		return errors.Annotatef(ErrRosterChange, "from version %d to %d", h.roster.Version, r.Version)
	}
	h.next = r
	h.track(r)
	h.adopt(now)
	return nil
}

// adopt changes to the next roster when that does not shorten the authority, so
// that ValidUntil never moves back and the change causes no lapse.
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

// Abandon gives the term up without telling the witnesses. Call it when a term
// above this one has been seen in use, and to stop trying to gain authority.
func (h *Holder) Abandon() { h.abandoned = true }

// Release gives the term up for a planned stop and returns the witnesses to send
// the request to, so that the successor is attested at once. Leases that were
// given under the term last until they expire.
func (h *Holder) Release() (ReleaseRequest, []topo.VMID) {
	h.abandoned = true
	members := make([]topo.VMID, 0, len(h.attestations))
	for _, a := range h.attestations {
		members = append(members, a.member)
	}
	return ReleaseRequest{Cell: h.cell, Term: h.term}, members
}
