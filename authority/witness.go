package authority

import (
	"time"

	"godwitlock.example/godwitlock/topo"
)

// Witness attests the terms of one cell. It keeps its state, the highest attested
// term with its holder and deadline, in memory only. It is not safe for concurrent
// use.
type Witness struct {
	rules            *rules
	cell             topo.CellName
	startupHoldUntil time.Time
	highest          topo.Term
	holder           string
	until            time.Time
	released         bool
}

// NewWitness returns the witness of a process that started at startedAt. It
// attests nothing for AuthorityTTL x (1 + MaxDrift) after that, because an earlier
// process of the VM may have attested a term that this one does not know.
func NewWitness(cell topo.CellName, startedAt time.Time) *Witness {
	return newWitness(standard, cell, startedAt)
}

func newWitness(r *rules, cell topo.CellName, startedAt time.Time) *Witness {
	w := &Witness{rules: r, cell: cell, startupHoldUntil: startedAt}
	if !r.omit.startupHold {
		w.startupHoldUntil = startedAt.Add(r.witnessHold)
	}
	return w
}

// Attest answers a request that arrived at now. It refuses
//   - a request for another cell or for term 0,
//   - every request during the hold after the start,
//   - a term below the highest attested one,
//   - the highest attested term if another process holds it or it was released,
//   - a higher term before the attestation of the current one ends.
func (w *Witness) Attest(now time.Time, req AttestRequest) AttestResponse {
	if req.Cell != w.cell || req.Term == 0 {
		return w.refuse(0)
	}
	if now.Before(w.startupHoldUntil) {
		return w.refuse(w.startupHoldUntil.Sub(now))
	}
	running := now.Before(w.until)
	switch {
	case req.Term < w.highest && !w.rules.omit.refuseLowerTerm:
		return w.refuse(w.remaining(now))
	case req.Term == w.highest && (req.Holder != w.holder || w.released):
		return w.refuse(w.remaining(now))
	case req.Term > w.highest && running && !w.rules.omit.waitForLowerTerm:
		return w.refuse(w.remaining(now))
	}
	w.highest, w.holder, w.released = req.Term, req.Holder, false
	w.until = now.Add(w.rules.witnessHold)
	return AttestResponse{OK: true, HighestTerm: w.highest, Remaining: w.rules.witnessHold}
}

// Release ends the attestation of a term early, so that a higher term can be
// attested from now on. The holder abandons the term before it sends the request,
// so a delayed attest request for the released term is refused. A request for
// another cell, or for a term other than the highest attested one, has no effect.
func (w *Witness) Release(now time.Time, req ReleaseRequest) {
	if req.Cell != w.cell || req.Term != w.highest {
		return
	}
	w.released = true
	if now.Before(w.until) {
		w.until = now
	}
}

func (w *Witness) refuse(remaining time.Duration) AttestResponse {
	return AttestResponse{HighestTerm: w.highest, Remaining: remaining}
}

func (w *Witness) remaining(now time.Time) time.Duration {
	return max(0, w.until.Sub(now))
}
