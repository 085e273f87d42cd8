package grants

import (
	"time"

	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// Running tells how many requests run at the server. A request must be counted
// before MaySend is asked for it, and until it has ended.
type Running interface {
	// Running returns the requests of one slice.
	Running(topo.SliceID) int
	// Total returns the requests of all slices.
	Total() int
}

// VMLease is this VM's lease from the controller.
type VMLease struct {
	// End is counted from before the heartbeat was sent.
	End time.Time
	// Term is the controller's term.
	Term topo.Term
	// Required is the table version that the controller requires. The lease
	// counts only with a table of Term that is at least Required or, while the
	// controller rebuilds its table, with exactly the table Required.
	Required slicemap.Version
	// Rebuild says that the controller still collects what servers hold. The
	// server keeps its slices, and nothing is granted or revoked.
	Rebuild bool
}

// Allows reports whether the lease counts together with a table version.
func (l VMLease) Allows(v slicemap.Version) bool {
	return v == l.Required || v.Term == l.Term && !v.Less(l.Required)
}

// slice is what the home VM knows about one slice at the server.
type slice struct {
	// fence of the last grant that was sent or claimed.
	fence topo.Fence
	// acked says that the server holds the slice under fence.
	acked bool
	// foreign says that the server may hold the slice although the table does
	// not show it there. It is revoked before anything is granted or renewed.
	foreign bool
}

// reading is a clock reading of the server.
type reading struct {
	clockMs        uint64
	sent, received time.Time
}

// pending is the one outstanding control call.
type pending struct {
	Call
	sent            time.Time
	leaseLowerBound time.Time
	// drain says that the call revokes draining slices without requests.
	drain bool
}

// Machine makes one server agree with the table. It has no goroutine; every
// method takes the time.
type Machine struct {
	vm      topo.VMID
	server  topo.ServerID
	lease   VMLease
	desired *Desired
	isHome  bool

	// The present tenure as home VM. start is its begin or that of the VM
	// lease, whichever is later.
	homeSince    slicemap.Version
	silentSince  time.Time
	answered     bool
	failures     int
	released     bool
	releaseSince slicemap.Version

	// What is known of the server.
	bootID        string
	lastReading   reading
	held          map[topo.SliceID]*slice
	drained       map[topo.SliceID]bool
	claimsTerm    topo.Term
	claimsRefused bool // the last claims call was refused
	conflicting   []Claim
	missing       []topo.SliceID
	coldUntil     time.Time

	// leaseUpperBound is the latest moment until which the server may hold a lease from
	// this or an earlier home VM; leaseLowerBound is the moment until which it surely
	// holds one.
	leaseUpperBound, leaseLowerBound time.Time
	// expiresMs is the end of the lease in the server's clock by the last grant
	// or renewal that it accepted, 0 when there was none in this tenure.
	expiresMs uint64
	renewAt   time.Time
	pending   *pending
	nextID    uint64

	lost   bool
	lostAt slicemap.Version
}

// New returns the machine of a server at the VM vm.
func New(vm topo.VMID, server topo.ServerID) *Machine {
	return &Machine{vm: vm, server: server, held: map[topo.SliceID]*slice{}, drained: map[topo.SliceID]bool{}}
}

// SetTable sets the part of the newest table that concerns the server, nil
// when this VM is not its home. Versions must not decrease.
func (m *Machine) SetTable(now time.Time, desired *Desired) {
	was := m.isHome
	m.desired = desired
	m.isHome = desired != nil && desired.Server.Home == m.vm
	if !m.isHome {
		m.pending = nil
		return
	}
	srv := desired.Server
	if !was || srv.HomeSince != m.homeSince {
		m.beginTenure(now)
	}
	if srv.LetGoSince != m.releaseSince {
		m.released, m.releaseSince = false, srv.LetGoSince
	}
	if m.lost {
		// Nothing can be granted before the server answers, so slices that were
		// given to it in the meantime are lost as well.
		m.lostAt = desired.Table.Version()
	}
	m.reconcileHeld()
}

// beginTenure forgets what is known of the server: since the last tenure
// another VM may have been its home.
func (m *Machine) beginTenure(now time.Time) {
	m.homeSince, m.silentSince, m.renewAt = m.desired.Server.HomeSince, now, now
	m.answered, m.failures, m.released, m.pending = false, 0, false, nil
	m.lastReading, m.claimsTerm, m.conflicting, m.missing = reading{}, 0, nil, nil
	clear(m.held)
	clear(m.drained)
	m.leaseLowerBound, m.expiresMs, m.lost, m.lostAt = time.Time{}, 0, false, slicemap.Version{}
	if !m.desired.Server.LeaseFree {
		m.extendLeaseUpperBound(now.Add(MaxLocalDuration(ServerTTL)))
	}
}

// reconcileHeld marks held slices that are not the server's any more, and forgets
// drains that ended.
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

// assignedHere reports whether the table shows the slice at the server. A slice
// that was reported lost doesn't belong until it has a new fence.
func (m *Machine) assignedHere(id topo.SliceID) bool {
	e, ok := m.desired.Entries[id]
	return ok && m.lostAt.Less(e.Fence)
}

func (m *Machine) extendLeaseUpperBound(t time.Time) {
	if t.After(m.leaseUpperBound) {
		m.leaseUpperBound = t
	}
}

// SetVMLease sets this VM's lease. It ignores a lease that has ended, one of a
// lower term and one that ends before the present one of the same term.
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

// leased reports whether this VM may act as the server's home now.
func (m *Machine) leased(now time.Time) bool {
	return m.isHome && now.Before(m.lease.End) && m.lease.Allows(m.desired.Table.Version())
}

// rebuilding reports whether the server keeps what it holds, and nothing is
// granted or revoked.
func (m *Machine) rebuilding() bool {
	return m.lease.Rebuild || m.desired.Table.Version().Term != m.lease.Term
}

// MaySend reports whether this VM may send a request for a slice under the
// table's fence now, and the fence to send along, under which the server holds
// the slice. It must be asked at the moment of use.
func (m *Machine) MaySend(now time.Time, id topo.SliceID, fence topo.Fence) (topo.Fence, bool) {
	if !m.leased(now) || m.released || m.desired.Server.LetGo || m.lost {
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

// MaySendPooled reports whether this VM may send to a server of a pooled
// service now.
func (m *Machine) MaySendPooled(now time.Time) bool {
	if !m.leased(now) || m.desired.Keyed || m.released || m.desired.Server.LetGo {
		return false
	}
	return m.desired.Server.State == slicemap.ServerServing
}

// Report returns what the next heartbeat says about the server. It is false
// when this VM is not its home.
func (m *Machine) Report(now time.Time) (Report, bool) {
	if !m.isHome {
		return Report{}, false
	}
	r := Report{Server: m.server, LetGo: m.released, ClaimsTerm: m.claimsTerm,
		Claims: m.conflicting, Cold: now.Before(m.coldUntil)}
	if m.rebuilding() {
		// The controller reads the list only then, and it can be long.
		r.Missing = m.missing
	}
	if m.lost || m.unsettledLoss() {
		r.Lost, r.LostAt = true, m.lostAt
	}
	r.Drained = sortedIDs(m.drained)
	return r, true
}

// unsettledLoss reports whether the table still shows slices here that were
// reported lost. They stay reported, as a heartbeat may have been dropped.
func (m *Machine) unsettledLoss() bool {
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
