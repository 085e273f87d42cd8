package assigner

import (
	"maps"
	"slices"
	"time"

	"godwitlock.example/godwitlock/grants"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// rebuildPhase is the phase in which a new controller restores the table.
type rebuildPhase uint8

const (
	// collecting: the controller collects heartbeats and adopts the highest
	// table. At the end of the phase every VM has reported its table or holds no
	// lease.
	collecting rebuildPhase = iota
	// claiming: the adopted table has been published under the new term, and
	// servers whose home VM was lost get a new one. The controller waits for the
	// claims of servers.
	claiming
	// rebuilt: all claims are resolved and moves may start.
	rebuilt
)

type rebuild struct {
	phase    rebuildPhase
	phaseEnd time.Time
	// highestReported is the highest table version of an earlier term that a VM
	// reported.
	highestReported slicemap.Version
	// noLeaseBefore is the time before which no lease is granted, because VMs
	// with a lease may still use a table below the highest.
	noLeaseBefore time.Time
	// minVersion is the lowest table version with which a VM may hold a lease.
	minVersion slicemap.Version
	answered   map[topo.ServerID]bool
	claims     map[topo.ServerID][]grants.Claim
	missing    map[topo.ServerID]map[topo.SliceID]bool
}

// claim is the claim with the highest fence to a slice.
type claim struct {
	server uint16
	fence  topo.Fence
}

// Adopt replaces the current table by t, which was read from another VM or from
// the store. It ignores t unless heartbeats are being collected and t has a
// higher version than the current table and a lower term than the controller.
func (a *Assigner) Adopt(now time.Time, t *slicemap.Table) {
	v := t.Version()
	if a.rebuild.phase != collecting || v.Term >= a.cfg.Term || !a.table.Version().Less(v) {
		return
	}
	a.now = now
	a.table, a.builder = t, nil
	a.holdLeases()
}

// observeVersion records the table version that a VM reported.
func (a *Assigner) observeVersion(v slicemap.Version) {
	if v.Term < a.cfg.Term && a.rebuild.highestReported.Less(v) {
		a.rebuild.highestReported = v
		a.holdLeases()
	}
}

// holdLeases stops the granting of leases until all leases that were granted with
// a lower table have lapsed.
func (a *Assigner) holdLeases() {
	for _, v := range a.vms {
		if v.leaseEnd.After(a.rebuild.noLeaseBefore) {
			a.rebuild.noLeaseBefore = v.leaseEnd
		}
	}
}

// mayLeaseWhileCollecting reports whether the VM may get a lease before the table
// is rebuilt. The VM must hold the highest table, and no lease of the predecessor
// may still be valid; otherwise two VMs with different tables could both act as
// home VM of a server.
func (a *Assigner) mayLeaseWhileCollecting(v *vm) bool {
	return a.cfg.PredecessorLapsed && v.table == a.table.Version() &&
		!a.table.Version().Less(a.rebuild.highestReported) && !a.now.Before(a.rebuild.noLeaseBefore)
}

// collectClaims records the claims of a server. A server that is reported lost in
// phase claiming counts as answered.
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

// advanceRebuild enters the next phase once the present one is complete.
func (a *Assigner) advanceRebuild() {
	r := &a.rebuild
	if r.phase == collecting && !a.now.Before(r.phaseEnd) && a.adoptedIsHighest() && !a.now.Before(r.noLeaseBefore) {
		a.publishAdopted()
	}
	if r.phase == claiming {
		a.reconcile()
		if a.allAnswered() || !a.now.Before(r.phaseEnd) {
			a.resolveClaims()
		}
	}
}

// adoptedIsHighest reports whether no VM that may hold a lease has a table above
// the adopted one.
func (a *Assigner) adoptedIsHighest() bool {
	for _, v := range a.vms {
		if a.maybeLeased(v) && v.table.Term < a.cfg.Term && a.table.Version().Less(v.table) {
			return false
		}
	}
	return true
}

// maybeLeased reports whether the VM may hold a lease of this or a lower term.
func (a *Assigner) maybeLeased(v *vm) bool { return a.now.Sub(v.lastSeen) < grants.MaxLocal(VMTTL) }

// publishAdopted publishes the adopted table under this term. VMs without a
// recent heartbeat hold no lease, and their servers get a new home VM.
func (a *Assigner) publishAdopted() {
	a.rebuild.phase, a.rebuild.phaseEnd = claiming, a.now.Add(ClaimsTimeout)
	a.loadTable()
	for _, v := range a.vms {
		if v.leased = a.maybeLeased(v); v.leased {
			v.leaseEnd = later(v.leaseEnd, a.now.Add(grants.MaxLocal(VMTTL)))
			v.leasedSince = a.now
		}
	}
	for _, s := range a.sortedServices() {
		for i := range s.servers {
			home := a.serverRecord(s, uint16(i)).Home
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

// allAnswered reports whether every server either sent its claims, was lost or
// owns nothing.
func (a *Assigner) allAnswered() bool {
	if len(a.services) == 0 && !a.configured {
		return false
	}
	for _, s := range a.services {
		if s.kind != topo.Keyed {
			continue
		}
		for i, srv := range s.servers {
			rec := a.serverRecord(s, uint16(i))
			idle := rec.State == slicemap.ServerRemoved || rec.State == slicemap.ServerLost && len(s.owned.slicesOf(uint16(i))) == 0
			if !idle && !a.rebuild.answered[srv.id] {
				return false
			}
		}
	}
	return true
}

// resolveClaims assigns slices to the servers that hold them under a higher fence
// than in the adopted table, and ends the rebuild so that moves may start. From
// then on a VM needs a table that contains the result to get a lease.
func (a *Assigner) resolveClaims() {
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
			a.resolveClaim(s, id, highest[id])
		}
	}
	a.rebuild.phase, a.rebuild.minVersion, a.forcePublish = rebuilt, a.nextVersion(), true
	a.rebuild.claims, a.rebuild.missing = nil, nil
}

func (a *Assigner) resolveClaim(s *service, id topo.SliceID, c claim) {
	e := a.builder.Entry(s.name, id)
	hot := a.builder.Service(s.name).Hot()
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
