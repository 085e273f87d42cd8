// Package view holds a VM's current state of the configuration, the backend
// servers, the key tables and the other VMs. Background tasks update it; the
// request path reads an immutable Snapshot without a lock.
package view

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
)

// Member is a live VM in the list that the leader publishes.
type Member struct {
	VM         topo.VMID
	Addr       string
	DataCentre topo.DataCentreName
	// CPUShare is the part of a core that the VM may use; 0 means a whole core.
	CPUShare float64
}

// TableVersion orders the key tables that leaders publish, first by the
// leader's term and then by Version.
type TableVersion struct {
	Term    topo.Term
	Version uint64
}

// Newer reports whether tables of version v replace those of version o.
func (v TableVersion) Newer(o TableVersion) bool {
	return v.Term > o.Term || v.Term == o.Term && v.Version > o.Version
}

// Snapshot is the state of a View at one moment. It is immutable.
type Snapshot struct {
	// Routes is nil until a configuration is received.
	Routes  *routemap.Map
	Servers map[topo.ServerID]*directory.Server
	// Unusable holds the servers to which no new requests may be sent.
	Unusable map[topo.ServerID]bool
	// ServersVersion changes whenever Routes, Servers or Unusable do.
	ServersVersion uint64
	usable         map[topo.ServiceName][]*directory.Server
	// canaries holds the servers of the target of a roll-out that get requests with a
	// right.
	canaries map[topo.ServiceName][]*directory.Server
	pools    map[topo.ServiceName][]Pool
	Tables   map[topo.ServiceName]*keyrange.Table
	Members  []Member
	// MembersVersion identifies the list of Members.
	MembersVersion topo.ListVersion
	homes          *homeCache
}

// Usable returns the server with the given id if new requests may be sent to
// it, or nil.
func (s *Snapshot) Usable(id topo.ServerID) *directory.Server {
	if s.Unusable[id] {
		return nil
	}
	return s.Servers[id]
}

// Homes returns the home VM for a name: the VM that manages the slot pool or the
// customer's rate of that name. The VMs that replace it when it does not answer
// follow. VMs of the preferred data centre come first; preferred may be empty.
func (s *Snapshot) Homes(name string, preferred topo.DataCentreName) []Member {
	if s.homes == nil {
		return nil
	}
	return s.homes.get(name, preferred)
}

// View is a VM's current state. It is safe for concurrent use.
type View struct {
	mu                  sync.Mutex
	dir                 *directory.Directory
	routes              *routemap.Map
	configRaw           []byte
	configRev           int64
	tables              map[topo.ServiceName]*keyrange.Table
	tablesVersion       TableVersion
	members             []Member
	membersVersion      topo.ListVersion
	homes               *homeCache
	publishedDirVersion uint64
	dirty               bool
	routesVersion       uint64
	versions            versions
	changed             chan struct{}
	// confirmed is the time of the boot-time clock at which the configuration
	// was last known to be the newest, in nanoseconds.
	confirmed atomic.Int64
	// heardVersion is the highest version of the configuration that another VM is known
	// to have had in force.
	heardVersion atomic.Int64
	snapshot     atomic.Pointer[Snapshot]
}

// New returns a View without configuration, servers, tables or VMs.
func New() *View {
	v := &View{dir: directory.New(), changed: make(chan struct{})}
	v.snapshot.Store(&Snapshot{})
	return v
}

// Snapshot returns the current state. It takes no lock.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// Changed returns a channel that is closed at the next change of the snapshot.
// To miss no change, call it before Snapshot.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Confirm records that the configuration was known to be the newest at the given
// time of the boot-time clock. A time before the last one recorded has no effect.
func (v *View) Confirm(at time.Time) {
	for {
		old := v.confirmed.Load()
		if at.UnixNano() <= old || v.confirmed.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// Confirmed returns the last time recorded by Confirm, or the zero time if there
// is none.
func (v *View) Confirmed() time.Time {
	n := v.confirmed.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// SetConfig puts a configuration in force and reports whether it did. It
// ignores a configuration whose store revision is not newer than the last one, or
// whose version is older; a store that came back from an older copy shows such
// versions. Raw is the stored form of m.
func (v *View) SetConfig(m *routemap.Map, raw []byte, rev int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if rev <= v.configRev {
		return false
	}
	if v.routes != nil && (m.Version < v.routes.Version || m.Version == v.routes.Version && bytes.Equal(raw, v.configRaw)) {
		v.configRev = rev
		return false
	}
	v.routes, v.configRaw, v.configRev = m, raw, rev
	v.routesVersion++
	v.dirty = true
	v.publish()
	return true
}

// AdoptConfig puts a configuration in force that another VM has had in force, if its
// version is higher, and reports whether it did. The store may have come back from a copy
// that is older than this version, so its revision does not matter.
func (v *View) AdoptConfig(m *routemap.Map, raw []byte) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.routes != nil && m.Version <= v.routes.Version {
		return false
	}
	v.routes, v.configRaw = m, raw
	v.routesVersion++
	v.dirty = true
	v.publish()
	return true
}

// HearVersion records that another VM has had a version of the configuration in force.
func (v *View) HearVersion(version int64) {
	for {
		old := v.heardVersion.Load()
		if version <= old || v.heardVersion.CompareAndSwap(old, version) {
			return
		}
	}
}

// LacksVersion reports whether another VM has had a newer configuration in force.
func (v *View) LacksVersion() bool { return v.ConfigVersion() < v.heardVersion.Load() }

// ConfigVersion returns the version of the configuration in force, 0 if there is none.
func (v *View) ConfigVersion() int64 {
	if routes := v.Snapshot().Routes; routes != nil {
		return routes.Version
	}
	return 0
}

// Config returns the stored form of the configuration in force, and the revision of
// the store up to which it is the newest one known.
func (v *View) Config() ([]byte, int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.configRaw, v.configRev
}

// Directory calls f with the directory under the view's lock, and publishes a
// new snapshot when f changed it. F must not keep the directory.
func (v *View) Directory(f func(*directory.Directory)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(v.dir)
	v.publish()
}

// SetTables replaces the key tables and reports whether it did. It ignores
// tables that are not newer than the current ones.
func (v *View) SetTables(version TableVersion, tables map[topo.ServiceName]*keyrange.Table) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !version.Newer(v.tablesVersion) {
		return false
	}
	v.tables, v.tablesVersion, v.dirty = tables, version, true
	v.publish()
	return true
}

// KeyTables returns the key tables and their version. Callers must not change
// the tables.
func (v *View) KeyTables() (TableVersion, map[topo.ServiceName]*keyrange.Table) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tablesVersion, v.tables
}

// TablesVersion returns the version of the key tables.
func (v *View) TablesVersion() TableVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tablesVersion
}

// SetMembers replaces the list of VMs, unless version is not newer than that of the
// current list.
func (v *View) SetMembers(version topo.ListVersion, members []Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !version.Newer(v.membersVersion) {
		return
	}
	v.members, v.membersVersion, v.dirty = members, version, true
	v.homes = newHomeCache(members)
	v.publish()
}

// MembersVersion returns the version of the list of VMs.
func (v *View) MembersVersion() topo.ListVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.membersVersion
}

// publish stores a new snapshot when something changed. The caller holds the
// lock.
func (v *View) publish() {
	if !v.dirty && v.publishedDirVersion == v.dir.Version() {
		return
	}
	v.publishedDirVersion, v.dirty = v.dir.Version(), false
	s := &Snapshot{
		Routes: v.routes, Tables: v.tables, Members: v.members, MembersVersion: v.membersVersion, homes: v.homes,
		ServersVersion: v.dir.Version() + v.routesVersion + v.versions.changes,
	}
	// Tables change far more often than servers, so the servers are copied only
	// when they or the routes changed.
	if last := v.snapshot.Load(); last.Servers != nil && last.ServersVersion == s.ServersVersion {
		s.Servers, s.Unusable, s.usable, s.pools, s.canaries = last.Servers, last.Unusable, last.usable, last.pools, last.canaries
	} else {
		s.copyServers(v.dir, v.versions.aside(v.dir))
	}
	v.snapshot.Store(s)
	close(v.changed)
	v.changed = make(chan struct{})
}

// copyServers copies the servers of a directory into the snapshot. Those whose version
// is set aside are not among the usable ones of their service.
func (s *Snapshot) copyServers(dir *directory.Directory, aside asideVersions) {
	s.Servers, s.Unusable = make(map[topo.ServerID]*directory.Server), make(map[topo.ServerID]bool)
	s.usable = make(map[topo.ServiceName][]*directory.Server)
	dir.Servers(func(d *directory.Server) {
		s.Servers[d.ID] = d
		if !dir.Usable(d) {
			s.Unusable[d.ID] = true
			return
		}
		if !aside.has(d) {
			s.usable[d.Service] = append(s.usable[d.Service], d)
		}
	})
	s.canaries = aside.canaries(s)
	for _, list := range s.usable {
		slices.SortFunc(list, func(a, b *directory.Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	s.setPools()
}
