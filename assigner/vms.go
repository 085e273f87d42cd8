package assigner

import (
	"maps"
	"slices"
	"time"

	"godwitlock.example/godwitlock/grants"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// HotKey is a key that receives a large share of the requests of a server.
type HotKey struct {
	Key  string
	Rate float64 // requests/s
}

// ServerReport is a home VM's report about a server.
type ServerReport struct {
	grants.Report
	Queued, Running uint32
	Rate            float64 // requests/s
	HotKeys         []HotKey
}

// Heartbeat is the periodic report of a VM to the controller.
type Heartbeat struct {
	VM     topo.VM
	BootID string
	// Sequence increases with every heartbeat of a boot. A heartbeat that doesn't
	// increase it is ignored.
	Sequence uint64
	// Table is the version of the table that the VM applied last.
	Table   slicemap.Version
	Leaving bool
	Servers []ServerReport
}

// Reply is the response to a heartbeat.
type Reply struct {
	Term topo.Term
	// Lease is the duration of the VM lease, which starts when the VM sent the
	// heartbeat. If it is 0, the VM keeps its present lease, if any.
	Lease time.Duration
	// Required and Rebuild are conditions of the lease; see grants.VMLease.
	Required slicemap.Version
	Rebuild  bool
	// WantTable means that the caller must fetch the VM's table with a Snapshot
	// call and pass it to Adopt.
	WantTable bool
}

// vm is the state that the assigner keeps for a VM.
type vm struct {
	info     topo.VM
	bootID   string
	seq      uint64
	table    slicemap.Version
	leaving  bool
	lastSeen time.Time
	// leased is true while a granted lease has not lapsed. leaseEnd is the
	// latest time at which the VM may still consider its lease valid.
	leased      bool
	leaseEnd    time.Time
	leasedSince time.Time // start of the current uninterrupted lease
	// minVersion is the lowest table version with which the VM may get a lease. It
	// increases when the VM loses servers without having released them.
	minVersion slicemap.Version
	homeCount  int
}

// Heartbeat processes a VM's heartbeat and renews its lease if it may have one.
// It ignores a heartbeat that is out of order or outside the controller's
// authority.
func (a *Assigner) Heartbeat(now time.Time, hb Heartbeat) Reply {
	r := Reply{Term: a.cfg.Term}
	if !now.Before(a.authorityEnd) {
		return r
	}
	a.now = now
	a.openBuilder()
	v := a.vms[hb.VM.ID]
	if v == nil {
		v = &vm{info: hb.VM}
		a.vms[hb.VM.ID] = v
	}
	if !a.accept(v, hb) {
		return r
	}
	v.info, v.seq, v.table, v.leaving, v.lastSeen = hb.VM, hb.Sequence, hb.Table, hb.Leaving, now
	if a.rebuild.phase == collecting {
		a.observeVersion(hb.Table)
		r.WantTable = a.table.Version().Less(hb.Table)
	}
	for i := range hb.Servers {
		a.applyReport(v, &hb.Servers[i])
	}
	a.renew(v, &r)
	return r
}

// accept reports whether the heartbeat is in order. After a reboot of the VM,
// heartbeats are ignored until the lease of the previous boot has lapsed, because
// its servers may still hold leases that are unknown to the new process.
func (a *Assigner) accept(v *vm, hb Heartbeat) bool {
	if v.bootID == hb.BootID {
		return hb.Sequence > v.seq
	}
	if v.bootID != "" {
		if a.now.Before(v.leaseEnd) {
			return false
		}
		a.endLease(v)
	}
	v.bootID = hb.BootID
	return true
}

// renew grants the VM a lease that ends within the controller's authority, unless
// the VM's table is too old.
func (a *Assigner) renew(v *vm, r *Reply) {
	r.Required, r.Rebuild = v.minVersion, a.Rebuilding()
	if a.rebuild.phase == collecting {
		r.Required = a.table.Version()
		if !a.mayLeaseWhileCollecting(v) {
			return
		}
	} else if v.table.Less(a.required(v)) {
		return
	} else {
		r.Required = a.required(v)
	}
	lease := min(VMTTL, grants.MinRemote(a.authorityEnd.Sub(a.now))).Truncate(time.Millisecond)
	if lease <= 0 {
		return
	}
	r.Lease = lease
	if end := a.now.Add(a.maxLeaseDuration(lease)); end.After(v.leaseEnd) {
		v.leaseEnd = end
	}
	if !v.leased {
		v.leased, v.leasedSince = true, a.now
	}
}

// required returns the lowest table version with which the VM may get a lease.
func (a *Assigner) required(v *vm) slicemap.Version {
	if v.minVersion.Less(a.rebuild.minVersion) {
		return a.rebuild.minVersion
	}
	return v.minVersion
}

func (a *Assigner) sortedVMs() []*vm {
	out := make([]*vm, 0, len(a.vms))
	for _, id := range slices.Sorted(maps.Keys(a.vms)) {
		out = append(out, a.vms[id])
	}
	return out
}

// endLapsedLeases calls endLease for every VM whose lease has lapsed.
func (a *Assigner) endLapsedLeases() {
	for _, v := range a.sortedVMs() {
		if v.leased && !a.now.Before(v.leaseEnd) {
			a.endLease(v)
		}
	}
}

// endLease records that the lease of a VM has lapsed and clears the home VM of its
// servers. Their draining slices count as drained, because a server lease ends no
// later than the lease of the home VM.
func (a *Assigner) endLease(v *vm) {
	v.leased = false
	v.minVersion = a.table.Version()
	if a.rebuild.phase == collecting {
		return
	}
	for _, s := range a.sortedServices() {
		for i := range s.servers {
			if a.serverRecord(s, uint16(i)).Home == v.info.ID {
				a.clearLapsedHome(s, uint16(i))
				v.minVersion = a.nextVersion()
			}
		}
	}
}

// clearLapsedHome removes the home VM of a server after the VM's lease lapsed.
func (a *Assigner) clearLapsedHome(s *service, i uint16) {
	rec := a.serverRecord(s, i)
	a.recordHome(s, HomeSet, rec.ID, rec.Home, "")
	rec.Home, rec.HomeAddr, rec.Releasing, rec.NoPriorLease = "", "", false, true
	rec.HomeSince, rec.ReleasingSince = a.nextVersion(), a.nextVersion()
	a.setServer(s, i, rec)
	if a.rebuild.phase != rebuilt {
		// The next home VM may renew the lease of draining slices before the
		// moves end, so it must revoke them first.
		return
	}
	for _, m := range s.activeMoves {
		m.drained = m.drained || m.from == i
	}
}

// applyReport processes a home VM's report about a server. It ignores the report
// unless the VM is the home VM of the server and has a table that says so.
func (a *Assigner) applyReport(v *vm, r *ServerReport) {
	if a.rebuild.phase != rebuilt {
		a.collectClaims(r)
	}
	if a.rebuild.phase == collecting {
		return
	}
	s, i, ok := a.findServer(r.Server)
	if !ok {
		return
	}
	rec := a.serverRecord(s, i)
	if rec.Home != v.info.ID || v.table.Less(rec.HomeSince) {
		return
	}
	for _, id := range r.Drained {
		if m := s.activeMoves[id]; m != nil && m.from == i && !v.table.Less(m.version) {
			m.drained = true
		}
	}
	if r.Released && rec.Releasing && !v.table.Less(rec.ReleasingSince) {
		a.confirmRelease(s, i)
	}
	a.applyLoss(s, i, v, r)
	s.applyLoad(a.now, i, r)
}

// applyLoss frees the slices of a server that was reported lost, or records that
// the server has returned.
func (a *Assigner) applyLoss(s *service, i uint16, v *vm, r *ServerReport) {
	srv := s.servers[i]
	if !r.Lost {
		if srv.lost && !v.table.Less(srv.lostAt) {
			srv.lost = false
		}
		return
	}
	if !srv.lost {
		srv.lost, srv.lostAt = true, a.nextVersion()
	}
	if a.rebuild.phase != rebuilt {
		return
	}
	a.freeLostServer(s, i, r.LostAt)
}

// freeLostServer frees the slices and hot keys that a lost server owns under
// fences up to lostAt. Its home VM grants nothing under those fences any more.
func (a *Assigner) freeLostServer(s *service, i uint16, lostAt slicemap.Version) {
	ids := slices.Clone(s.owned.slicesOf(i))
	for slot, h := range a.builder.Service(s.name).Hot() {
		if h.Owner == i {
			ids = append(ids, topo.SliceID(s.slices)+topo.SliceID(slot))
		}
	}
	for _, id := range ids {
		if lostAt.Less(a.builder.Entry(s.name, id).Fence) {
			continue
		}
		if m := s.activeMoves[id]; m != nil {
			m.drained, m.lost = true, true
			continue
		}
		a.record(s, Freed, CauseLost, i, slicemap.NoOwner, id)
		a.free(s, id)
	}
}
