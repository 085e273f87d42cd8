package assigner

import (
	"maps"
	"slices"
	"time"

	"godwitlock.example/godwitlock/grants"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// rebuildPhase is how far a new controller is.
type rebuildPhase uint8

const (
	// collecting: heartbeats are collected, so that every VM either reported
	// its table or has no lease. The highest table is adopted.
	collecting rebuildPhase = iota
	// claiming: the adopted table is published under the new term, servers
	// whose home VM was lost have a new one, and the claims of servers that
	// have not answered yet are awaited.
	claiming
	// rebuilt: claims are settled and moves may begin.
	rebuilt
)

type rebuild struct {
	phase    rebuildPhase
	phaseEnd time.Time
	// reported is the highest table version that a VM reported.
	highestReported slicemap.Version
	// holdUntil is the time before which no lease is given, since VMs may act
	// on a table below the highest.
	noLeaseBefore time.Time
	// base is the least version with which any VM may act.
	minVersion slicemap.Version
	answered   map[topo.ServerID]bool
	claims     map[topo.ServerID][]grants.Claim
	missing    map[topo.ServerID]map[topo.SliceID]bool
}

// claim is the highest claim to a slice.
type claim struct {
	server uint16
	fence  topo.Fence
}

// Adopt takes a table that another VM or the store holds. It counts only while
// heartbeats are collected and when it is above the table at hand.
func (a *Assigner) Adopt(now time.Time, t *slicemap.Table) {
	v := t.Version()
	if a.rebuild.phase != collecting || v.Term >= a.cfg.Term || !a.table.Version().Less(v) {
		return
	}
	a.now = now
	a.table, a.b = t, nil
	a.holdLeases()
}

// heardVersion notes a VM's table version.
func (a *Assigner) observeVersion(v slicemap.Version) {
	if v.Term < a.cfg.Term && a.rebuild.highestReported.Less(v) {
		a.rebuild.highestReported = v
		a.holdLeases()
	}
}

// hold stops leases until those given with a lower table have lapsed.
func (a *Assigner) holdLeases() {
	for _, v := range a.vms {
		if v.leaseEnd.After(a.rebuild.noLeaseBefore) {
			a.rebuild.noLeaseBefore = v.leaseEnd
		}
	}
}

// mayLeaseWhileCollecting allows a lease only together with the highest table,
// and only when no lease of the predecessor is left. VMs with different tables
// could otherwise both act as home of a server.
func (a *Assigner) mayLeaseWhileCollecting(v *vm) bool {
	return a.cfg.PredecessorLapsed && v.table == a.table.Version() &&
		!a.table.Version().Less(a.rebuild.highestReported) && !a.now.Before(a.rebuild.noLeaseBefore)
}

// collect notes what a server claims.
func (a *Assigner) collectClaims(r *ServerReport) {
	if r.Lost && a.rebuild.phase == claiming {
		a.rebuild.answered[r.Server] = true
	}
	if r.ClaimsTerm != a.cfg.Term {
		return
	}
	a.rebuild.answered[r.Server] = true
	missing := make(map[topo.SliceID]bool, len(r.Missing))
	for _, id := range r.Missing {
		missing[id] = true
	}
	a.rebuild.missing[r.Server] = missing
	a.rebuild.claims[r.Server] = r.Claims
}

// advanceRebuild goes from phase to phase.
func (a *Assigner) advanceRebuild() {
	r := &a.rebuild
	if r.phase == collecting && !a.now.Before(r.phaseEnd) && a.adoptedIsHighest() && !a.now.Before(r.noLeaseBefore) {
		a.publishAdopted()
	}
	if r.phase == claiming {
		a.reconcile()
		if a.allAnswered() || !a.now.Before(r.phaseEnd) {
			a.settleClaims()
		}
	}
}

// adoptedHighest reports whether no VM with a lease holds a table above the
// adopted one.
func (a *Assigner) adoptedIsHighest() bool {
	for _, v := range a.vms {
		if a.maybeLeased(v) && v.table.Term < a.cfg.Term && a.table.Version().Less(v.table) {
			return false
		}
	}
	return true
}

// recent reports whether the VM may hold a lease of this or a lower term.
func (a *Assigner) maybeLeased(v *vm) bool { return a.now.Sub(v.lastSeen) < grants.Longest(VMTTL) }

// publishAdopted makes the adopted table one of this term. VMs that were not
// heard have no lease, and their servers get a new home VM.
func (a *Assigner) publishAdopted() {
	a.rebuild.phase, a.rebuild.phaseEnd = claiming, a.now.Add(ClaimsTimeout)
	a.loadTable()
	for _, v := range a.vms {
		if v.leased = a.maybeLeased(v); v.leased {
			v.leaseEnd = later(v.leaseEnd, a.now.Add(grants.Longest(VMTTL)))
			v.settled = a.now
		}
	}
	for _, s := range a.sortedServices() {
		for i := range s.servers {
			home := a.rec(s, uint16(i)).Home
			if v := a.vms[home]; home != "" && (v == nil || !v.leased) {
				a.clearLapsedHome(s, uint16(i))
			}
		}
	}
	a.rebuild.minVersion, a.forcePublish = a.nextVersion(), true
}

func later(t, u time.Time) time.Time {
	if t.After(u) {
		return t
	}
	return u
}

// allAnswered reports whether the claims of every server are known, or that
// it has been lost.
func (a *Assigner) allAnswered() bool {
	if len(a.services) == 0 && !a.configured {
		return false
	}
	for _, s := range a.services {
		if s.kind != topo.Keyed {
			continue
		}
		for i, srv := range s.servers {
			rec := a.rec(s, uint16(i))
			idle := rec.State == slicemap.ServerRemoved || rec.State == slicemap.ServerLost && len(s.owned.slicesOf(uint16(i))) == 0
			if !idle && !a.rebuild.answered[srv.id] {
				return false
			}
		}
	}
	return true
}

// settleClaims gives slices to the servers that hold them under a higher fence
// than the adopted table's, and lets moves begin. VMs may act again on a table
// that contains the result only.
func (a *Assigner) settleClaims() {
	for _, s := range a.sortedServices() {
		highest := map[topo.SliceID]claim{}
		for i, srv := range s.servers {
			for _, c := range a.rebuild.claims[srv.id] {
				if highest[c.Slice].fence.Less(c.Fence) {
					highest[c.Slice] = claim{uint16(i), c.Fence}
				}
			}
		}
		for _, id := range slices.Sorted(maps.Keys(highest)) {
			a.settleClaim(s, id, highest[id])
		}
	}
	a.rebuild.phase, a.rebuild.minVersion, a.forcePublish = rebuilt, a.nextVersion(), true
	a.rebuild.claims, a.rebuild.missing = nil, nil
}

func (a *Assigner) settleClaim(s *service, id topo.SliceID, c claim) {
	e := a.b.Entry(s.name, id)
	hot := a.b.Service(s.name).Hot()
	if slot := int(id) - int(s.slices); slot >= 0 && (slot >= len(hot) || hot[slot].Key == "") {
		return
	}
	if e.Owner == c.server || !e.Fence.Less(c.fence) {
		return
	}
	switch {
	case e.Phase == slicemap.Unowned || e.Phase == slicemap.Serving && a.rebuild.missing[s.servers[e.Owner].id][id]:
		a.record(s, Finished, CauseClaim, e.Owner, c.server, id)
		a.assign(s, id, c.server)
	case e.Phase == slicemap.Serving:
		a.startMove(s, id, &activeMove{to: c.server, cause: CauseClaim})
	default:
		a.retarget(s, id, c.server)
	}
}
