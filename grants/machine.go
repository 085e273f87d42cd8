package grants

import (
	"time"

	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// RequestCounter provides the number of requests in flight at the server. A
// request must be counted from before MaySend is called for it until it has
// ended.
type RequestCounter interface {
	// Running returns the number of requests in flight for one slice.
	Running(topo.SliceID) int
	// Total returns the number of requests in flight for all slices.
	Total() int
}

// VMLease is the lease that the controller granted to this VM. Without a valid
// one the VM must not act as home VM.
type VMLease struct {
	// End is the end of the lease on this VM's clock, measured from before the
	// heartbeat was sent.
	End time.Time
	// Term is the term of the controller that granted the lease.
	Term topo.Term
	// Required is the lowest table version with which the lease is valid. The
	// table's term must equal Term, unless its version is exactly Required:
	// while the controller rebuilds its table, Required has a lower term.
	Required slicemap.Version
	// Rebuild means that the controller is still collecting the claims of the
	// servers. The server keeps its slices, and nothing is granted or revoked.
	Rebuild bool
}

// Allows reports whether the lease is valid with table version v. It doesn't
// check whether the lease has ended.
func (l VMLease) Allows(v slicemap.Version) bool {
	return v == l.Required || v.Term == l.Term && !v.Less(l.Required)
}

// slice is the home VM's record of one slice that the server may hold.
type slice struct {
	// fence is the fence of the last grant sent to the server or of the
	// server's last claim.
	fence topo.Fence
	// acked means that the server has confirmed that it holds the slice under
	// fence.
	acked bool
	// foreign means that the server may hold the slice although the table does
	// not assign the slice to it. Foreign slices are revoked before anything is
	// granted or renewed.
	foreign bool
}

// reading is a reading of the server's clock, with the local times at which the
// call was sent and its response was received.
type reading struct {
	clockMs        uint64
	sent, received time.Time
}

// pending is the outstanding control call. If the server accepts it, it holds a
// lease at least until leaseLowerBound.
type pending struct {
	Call
	sent            time.Time
	leaseLowerBound time.Time
	// drain means that the call revokes draining slices without requests in
	// flight.
	drain bool
}

// Machine is the state machine that reconciles the slices of one server with
// the table. It starts no goroutines, reads no clock and is not safe for
// concurrent use.
type Machine struct {
	vm      topo.VMID
	server  topo.ServerID
	lease   VMLease
	desired *Desired
	isHome  bool

	// The state of the current tenure as home VM, the period since homeSince.
	// silentSince is when the tenure or the VM lease started, whichever is
	// later. The time without a response from the server is measured from
	// then, or from its last response if that is later.
	homeSince      slicemap.Version
	silentSince    time.Time
	answered       bool
	failures       int
	released       bool
	releasingSince slicemap.Version

	// The known state of the server. conflicting and missing are reported as
	// Report.Claims and Report.Missing.
	bootID        string
	lastReading   reading
	held          map[topo.SliceID]*slice
	drained       map[topo.SliceID]bool
	claimsTerm    topo.Term
	claimsRefused bool // the server refused the last OpClaims call
	conflicting   []Claim
	missing       []topo.SliceID
	coldUntil     time.Time

	// leaseUpperBound is the time after which the server cannot hold a lease
	// from this or an earlier home VM. leaseLowerBound is the time until which
	// it certainly holds one.
	leaseUpperBound, leaseLowerBound time.Time
	// expiresMs is the latest end of the lease, on the server's clock, of the
	// grants and renewals that it accepted. It is 0 if it accepted none in this
	// tenure or since its last reboot.
	expiresMs uint64
	renewAt   time.Time
	pending   *pending
	nextID    uint64

	lost   bool
	lostAt slicemap.Version
}

// New returns a machine for server that runs on vm. It has no table and no
// lease yet.
func New(vm topo.VMID, server topo.ServerID) *Machine {
	return &Machine{vm: vm, server: server, held: map[topo.SliceID]*slice{}, drained: map[topo.SliceID]bool{}}
}

// SetTable sets the part of the newest table that concerns the server. desired
// is nil if this VM is not its home VM. Table versions must not decrease.
func (m *Machine) SetTable(now time.Time, desired *Desired) {
	wasHome := m.isHome
	m.desired = desired
	m.isHome = desired != nil && desired.Server.Home == m.vm
	if !m.isHome {
		m.pending = nil
		return
	}
	srv := desired.Server
	if !wasHome || srv.HomeSince != m.homeSince {
		m.beginTenure(now)
	}
	if srv.ReleasingSince != m.releasingSince {
		m.released, m.releasingSince = false, srv.ReleasingSince
	}
	if m.lost {
		// Nothing can be granted before the server answers, so slices that the
		// table has assigned to it since the loss are lost as well.
		m.lostAt = desired.Table.Version()
	}
	m.reconcileHeld()
}

// beginTenure resets the known state of the server, since another VM may have
// been its home VM after this VM's last tenure.
func (m *Machine) beginTenure(now time.Time) {
	m.homeSince, m.silentSince, m.renewAt = m.desired.Server.HomeSince, now, now
	m.answered, m.failures, m.released, m.pending = false, 0, false, nil
	m.lastReading, m.claimsTerm, m.conflicting, m.missing = reading{}, 0, nil, nil
	clear(m.held)
	clear(m.drained)
	m.leaseLowerBound, m.expiresMs, m.lost, m.lostAt = time.Time{}, 0, false, slicemap.Version{}
	if !m.desired.Server.NoPriorLease {
		m.extendLeaseUpperBound(now.Add(MaxLocal(ServerTTL)))
	}
}

// reconcileHeld marks as foreign the slices that the table no longer assigns to
// the server, and removes from drained the slices that are no longer draining.
func (m *Machine) reconcileHeld() {
	for id, s := range m.held {
		s.foreign = !m.assignedHere(id)
	}
	for id := range m.drained {
		if e, ok := m.desired.Entries[id]; !ok || e.Phase != slicemap.Draining {
			delete(m.drained, id)
		}
	}
}

// assignedHere reports whether the table assigns the slice to the server. A
// slice that was reported as lost doesn't count until it has a new fence.
func (m *Machine) assignedHere(id topo.SliceID) bool {
	e, ok := m.desired.Entries[id]
	return ok && m.lostAt.Less(e.Fence)
}

func (m *Machine) extendLeaseUpperBound(t time.Time) {
	if t.After(m.leaseUpperBound) {
		m.leaseUpperBound = t
	}
}

// SetVMLease sets this VM's lease. It ignores a lease that has ended, has a
// lower term than the current one, or has the same term but an earlier end or a
// lower required version.
func (m *Machine) SetVMLease(now time.Time, l VMLease) {
	if !now.Before(l.End) || l.Term < m.lease.Term {
		return
	}
	if l.Term == m.lease.Term && (l.End.Before(m.lease.End) || l.Required.Less(m.lease.Required)) {
		return
	}
	if l.Term != m.lease.Term {
		m.claimsRefused = false
	}
	if !now.Before(m.lease.End) {
		m.silentSince, m.failures = now, 0
	}
	m.lease = l
}

// leased reports whether this VM may act as the server's home VM now.
func (m *Machine) leased(now time.Time) bool {
	return m.isHome && now.Before(m.lease.End) && m.lease.Allows(m.desired.Table.Version())
}

// rebuilding reports whether the controller is rebuilding its table. The server
// keeps its slices then, and nothing is granted or revoked.
func (m *Machine) rebuilding() bool {
	return m.lease.Rebuild || m.desired.Table.Version().Term != m.lease.Term
}

// MaySend reports whether this VM may now send a request for a slice, given the
// fence of the slice's table entry. The returned fence is the one under which
// the server holds the slice and must be sent with the request. The result must
// not be cached, since the leases may end at any time.
func (m *Machine) MaySend(now time.Time, id topo.SliceID, fence topo.Fence) (topo.Fence, bool) {
	if !m.leased(now) || m.released || m.desired.Server.Releasing || m.lost {
		return topo.Fence{}, false
	}
	e, ok := m.desired.Entries[id]
	if !ok || e.Phase != slicemap.Serving || e.Fence != fence {
		return topo.Fence{}, false
	}
	s := m.held[id]
	if s == nil || !s.acked || s.foreign || s.fence.Less(e.Fence) {
		return topo.Fence{}, false
	}
	if m.desired.Server.ChecksGrants && !now.Before(m.leaseLowerBound) {
		return topo.Fence{}, false
	}
	return s.fence, true
}

// MaySendPooled reports whether this VM may now send a request to a server of a
// pooled service.
func (m *Machine) MaySendPooled(now time.Time) bool {
	if !m.leased(now) || m.desired.Keyed || m.released || m.desired.Server.Releasing {
		return false
	}
	return m.desired.Server.State == slicemap.ServerServing
}

// Report returns the server's part of the next heartbeat. It returns false if
// this VM is not the server's home VM.
func (m *Machine) Report(now time.Time) (Report, bool) {
	if !m.isHome {
		return Report{}, false
	}
	r := Report{Server: m.server, Released: m.released, ClaimsTerm: m.claimsTerm,
		Claims: m.conflicting, Cold: now.Before(m.coldUntil)}
	if m.rebuilding() {
		// The list can be long, and the controller reads it only during a rebuild.
		r.Missing = m.missing
	}
	if m.lost || m.lossUnresolved() {
		r.Lost, r.LostAt = true, m.lostAt
	}
	r.Drained = sortedIDs(m.drained)
	return r, true
}

// lossUnresolved reports whether the table still assigns slices to the server
// that were reported as lost. The loss is reported as long as it does, because a
// heartbeat may have been dropped.
func (m *Machine) lossUnresolved() bool {
	if m.lostAt == (slicemap.Version{}) {
		return false
	}
	for _, e := range m.desired.Entries {
		if !m.lostAt.Less(e.Fence) {
			return true
		}
	}
	return false
}
