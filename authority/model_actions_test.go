package authority

import (
	"fmt"
	"time"
)

type actionKind uint8

const (
	actTick actionKind = iota
	actStart
	actAttest
	actDeliver
	actDrop
	actRelease
	actDeliverRelease
	actRestart
	actRead
	actConfirm
	actClaim
	actChangeRoster
	actPut
	actCollect
	actGrant
	actDeliverGrant
)

var actionNames = [...]string{"tick", "start", "attest", "deliver", "drop", "release", "deliver release",
	"restart witness", "read cell", "confirm cell", "claim", "change roster", "put", "collect", "grant", "deliver grant"}

// action is one event of the model. The meaning of the other fields depends on
// kind: usually a is the controller, b the witness or server, and mode states
// whether a message is delayed or lost.
type action struct {
	kind       actionKind
	a, b, mode int
}

func (x action) String() string {
	return fmt.Sprintf("%s(%d,%d,%d)", actionNames[x.kind], x.a, x.b, x.mode)
}

// allActions returns every action that the model can take within the limits of p.
func allActions(p *params) []action {
	acts := []action{{kind: actTick}}
	add := func(kind actionKind, as, bs, modes int) {
		for a := range as {
			for b := range bs {
				for m := range modes {
					acts = append(acts, action{kind, a, b, m})
				}
			}
		}
	}
	add(actStart, 2, 1, 1)
	add(actAttest, 2, 3, 3)
	add(actDeliver, p.inFlight, 1, 1)
	add(actDrop, p.inFlight, 1, 1)
	add(actRelease, 2, 1, 1)
	add(actDeliverRelease, 2, 3, 1)
	add(actRestart, 3, 1, 1)
	add(actRead, 2, 1, 1)
	add(actConfirm, 2, 1, 1)
	add(actClaim, 2, 1, 1)
	add(actChangeRoster, 2, 1, 1)
	add(actPut, 2, 1, 2)
	if p.leaseTTL > 0 {
		add(actCollect, 2, 1, 4)
		add(actGrant, 2, serverCount, 2)
		add(actDeliverGrant, 1, 1, 1)
	}
	return acts
}

// enabled reports whether the action may be possible in wd. It excludes most
// impossible actions before the state is copied; apply excludes the rest.
func (x action) enabled(p *params, wd *world) bool {
	c := &wd.controllers[x.a%2]
	live := c.holder != nil && !c.holder.abandoned
	switch x.kind {
	case actStart:
		return !live
	case actAttest:
		return live && (x.mode == 0 || len(wd.messages) < p.inFlight)
	case actDeliver, actDrop:
		return x.a < len(wd.messages)
	case actRelease:
		return p.releases && wd.valid(x.a)
	case actDeliverRelease:
		return c.releases[x.b]
	case actRestart:
		return p.restarts
	case actRead:
		return c.knownVersion != len(wd.cells)-1 || p.rosterChanges > 0
	case actConfirm:
		return p.rosterChanges > 0 && wd.valid(1-x.a)
	case actClaim:
		return wd.claims < p.claims && !live && c.putVersion < 0
	case actChangeRoster:
		return wd.rosterChanges < p.rosterChanges && wd.valid(x.a) && c.putVersion < 0
	case actPut:
		return c.putVersion >= 0
	case actCollect:
		return !c.ready && wd.valid(x.a)
	case actGrant:
		return c.ready && wd.valid(x.a) && (x.mode == 0 || len(wd.grants) == 0)
	case actDeliverGrant:
		return len(wd.grants) > 0
	}
	return true
}

// apply performs the action on wd and reports whether it was possible.
func (x action) apply(p *params, wd *world) bool {
	c := &wd.controllers[x.a%2]
	switch x.kind {
	case actTick:
		wd.now = wd.now.Add(tick)
	case actStart:
		return wd.start(p, x.a)
	case actAttest:
		return wd.sendAttest(x.a, x.b, x.mode)
	case actDeliver:
		wd.deliver(x.a)
	case actDrop:
		wd.messages = append(wd.messages[:x.a], wd.messages[x.a+1:]...)
	case actRelease:
		wd.release(c)
	case actDeliverRelease:
		c.releases[x.b] = false
		wd.witnesses[x.b].Release(wd.now, ReleaseRequest{Cell: "cell", Term: c.released})
	case actRestart:
		wd.witnesses[x.a] = *newWitness(p.rules, "cell", wd.now)
	case actRead:
		wd.updateCell(c, len(wd.cells)-1)
	case actConfirm:
		wd.updateCell(c, max(c.knownVersion, wd.controllers[1-x.a].knownVersion))
	case actClaim:
		wd.claims++
		c.put, c.putVersion = wd.cells[len(wd.cells)-1].Claim(procs[x.a], []Process{procs[1-x.a]}), len(wd.cells)-1
	case actChangeRoster:
		return wd.changeRoster(c)
	case actPut:
		wd.put(p, c, x.mode == 1)
	case actCollect:
		return wd.collect(p, c, x.mode)
	case actGrant:
		return wd.grant(p, c, x.b, x.mode == 1)
	case actDeliverGrant:
		g := wd.grants[0]
		wd.grants = wd.grants[1:]
		wd.acceptGrant(g)
	}
	return true
}

func (wd *world) start(p *params, i int) bool {
	c := &wd.controllers[i]
	cell := wd.cells[c.knownVersion]
	term, _, ok := cell.TermOf(procs[i])
	if !ok || term <= c.highestUsed || wd.now.Sub(c.confirmed) >= p.rules.maxRosterAge && !p.rules.omit.maxRosterAge {
		return false
	}
	h, err := newHolder(p.rules, cell, procs[i], c.confirmed)
	if err != nil {
		return false
	}
	wd.holders[i] = *h
	c.holder, c.lapsed, c.ready, c.owner = &wd.holders[i], false, false, -1
	return true
}

func (wd *world) sendAttest(i, w, mode int) bool {
	for _, call := range wd.controllers[i].holder.Tick(wd.now, nil) {
		if call.To != witnessIDs[w] {
			continue
		}
		wd.messages = append(wd.messages, message{controller: i, witness: w, call: call})
		last := len(wd.messages) - 1
		switch mode {
		case 0: // the witness answers at once
			wd.deliver(last)
			wd.deliver(last)
		case 1: // the response is delayed or lost; mode 2 delays or loses the request
			wd.deliver(last)
		}
		return true
	}
	return false
}

// deliver delivers message i: its request to the witness, or its response to the
// controller.
func (wd *world) deliver(i int) {
	m := &wd.messages[i]
	if !m.arrived {
		m.arrived, m.resp = true, wd.witnesses[m.witness].Attest(wd.now, m.call.Request)
		return
	}
	if h := wd.controllers[m.controller].holder; h != nil {
		h.OnResponse(wd.now, m.call, m.resp)
		// The backoff serves liveness only. Clearing it permits more executions.
		h.backOffUntil = time.Time{}
		for j := range h.attestations {
			h.attestations[j].sawHigherTerm = false
		}
	}
	wd.messages = append(wd.messages[:i], wd.messages[i+1:]...)
}

func (wd *world) release(c *controller) {
	req, to := c.holder.Release()
	c.released = req.Term
	for i, name := range witnessIDs {
		for _, m := range to {
			c.releases[i] = c.releases[i] || m == name
		}
	}
}

// updateCell informs a controller of the cell object of a version. Its holder
// accepts the roster of the object if that is a single-member change.
func (wd *world) updateCell(c *controller, version int) {
	c.knownVersion, c.confirmed = version, wd.now
	if c.holder != nil && !c.holder.abandoned {
		_ = c.holder.SetRoster(wd.now, wd.cells[version].Roster)
	}
}

// changeRoster starts the write of a roster change, which adds the first witness that
// is not in the roster or, when all are, removes the first one.
func (wd *world) changeRoster(c *controller) bool {
	cell := wd.cells[c.knownVersion]
	if !c.holder.CanChangeRoster(wd.now) || !cell.Roster.equal(c.holder.Roster()) {
		return false
	}
	next := cell.Roster.Without(witnessIDs[0])
	for i := len(witnessIDs) - 1; i >= 0; i-- {
		if !cell.Roster.Has(witnessIDs[i]) {
			next = cell.Roster.With(witnessIDs[i])
		}
	}
	put, err := cell.ChangeRoster(next)
	if c.holder.rules.omit.singleMemberChange {
		put, err = cell.Claim(cell.Holder, cell.Successors), nil
		put.Roster = Roster{Version: cell.Roster.Version + 1, Members: witnessIDs[wd.rosterChanges+1 : wd.rosterChanges+2]}
	}
	if err != nil {
		return false
	}
	wd.rosterChanges++
	c.put, c.putVersion = put, c.knownVersion
	return true
}

// put delivers a conditional write to the store, at any time after it was sent. If
// the response is lost, the writer learns the outcome by reading the object.
func (wd *world) put(p *params, c *controller, lost bool) {
	if c.putVersion == len(wd.cells)-1 || p.omitCondition {
		wd.cells = append(wd.cells, c.put)
		if !lost {
			wd.updateCell(c, len(wd.cells)-1)
		}
	}
	c.putVersion = -1
}

// collect requests the claims of the servers. Bit i of mask is set if server i does
// not answer.
func (wd *world) collect(p *params, c *controller, mask int) bool {
	if !p.omitCollect && wd.now.Sub(c.holder.GainedAt()) < p.lease() {
		return false
	}
	c.ready, c.owner = true, -1
	for i := range wd.servers {
		s := &wd.servers[i]
		if mask&(1<<i) != 0 {
			continue
		}
		s.term = max(s.term, c.holder.Term())
		if wd.now.Before(s.until) {
			c.owner, c.ownerUntil = i, s.until
		}
	}
	return true
}

// grant grants the slice to a server unless another server may still own it.
func (wd *world) grant(p *params, c *controller, to int, late bool) bool {
	if c.owner >= 0 && c.owner != to && wd.now.Before(c.ownerUntil) {
		return false
	}
	until := wd.now.Add(p.lease())
	if end := c.holder.ValidUntil(); p.omitLeaseCap {
		// Without the cap, the controller leases the slice to a VM, which at the
		// end of that lease grants the server a lease of the same length.
		until = until.Add(p.lease())
	} else if end.Before(until) {
		until = end
	}
	c.owner, c.ownerUntil = to, until
	g := grant{server: to, term: c.holder.Term(), until: until}
	if late {
		wd.grants = append(wd.grants, g)
		return true
	}
	wd.acceptGrant(g)
	return true
}

// acceptGrant applies a grant at its backend server. Server 0 refuses grants of a
// lower term; server 1 does not check terms.
func (wd *world) acceptGrant(g grant) {
	s := &wd.servers[g.server]
	if g.server == 0 && g.term < s.term {
		return
	}
	s.term = max(s.term, g.term)
	if g.until.After(s.until) {
		s.until = g.until
	}
}
