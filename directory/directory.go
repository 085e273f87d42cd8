// Package directory is what a VM knows of the world from the platform's store:
// the configuration, the backend servers and the data centres taken out of
// service. Facts carry the store's revision, so that they may arrive over
// several ways and in any order. Directory is pure and not safe for concurrent
// use.
package directory

import (
	"time"

	"godwitlock.example/godwitlock/topo"
)

// State is what a backend server says of itself.
type State uint8

// The states of a backend server.
const (
	// Ready servers take requests.
	Ready State = iota + 1
	// Leaving servers finish their work and take no new requests.
	Leaving
)

// Server is a backend server as it registered itself.
type Server struct {
	ID         topo.ServerID
	Service    topo.ServiceName
	Addr       string
	DataCentre topo.DataCentreName
	Slots      int
	State      State
	// Born identifies the life of the server: Unix milliseconds of its start.
	Born int64
	// ColdFor is how long the server stays cold, from SeenAt.
	ColdFor time.Duration
	SeenAt  time.Time
	// Rev is the store's revision of the entry.
	Rev int64
}

// Cold reports whether the server is cold at now.
func (s *Server) Cold(now time.Time) bool {
	return s.ColdFor > 0 && now.Before(s.SeenAt.Add(s.ColdFor))
}

// ReturnGrace is how long after an outage of the store an entry that lapsed
// meanwhile may be missing although its server lives. The platform's pages
// state about two seconds.
const StoreRecoveryGrace = 2200 * time.Millisecond

// Directory is a VM's knowledge. The zero value is not usable; call New.
type Directory struct {
	servers map[topo.ServerID]*Server
	// removed holds the revision of each removed entry, so that an older
	// fact does not bring it back.
	removedRevs map[topo.ServerID]int64
	// lapsed holds servers whose entry vanished around an outage and that may
	// come back, with the time from which they count as gone.
	lapsed       map[topo.ServerID]time.Time
	rev          int64
	evacuated    map[topo.DataCentreName]bool
	evacuatedRev int64
	// graceUntil ends the time in which removals are not believed at once.
	graceUntil time.Time
	// version counts changes that matter for routing.
	version uint64
	// gone lists the last removals.
	removals []removal
}

// removal is a server that left the directory at a version.
type removal struct {
	server  topo.ServerID
	version uint64
}

// maxRemovals bounds the removals that are remembered.
const maxRemovals = 1024

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		servers:     make(map[topo.ServerID]*Server),
		removedRevs: make(map[topo.ServerID]int64),
		lapsed:      make(map[topo.ServerID]time.Time),
		evacuated:   make(map[topo.DataCentreName]bool),
	}
}

// Version changes whenever the servers or data centres changed.
func (d *Directory) Version() uint64 { return d.version }

// Rev returns the store's revision up to which the servers are known.
func (d *Directory) Rev() int64 { return d.rev }

// EvacuationRev returns the store's revision up to which the data centres out
// of service are known.
func (d *Directory) EvacuationRev() int64 { return d.evacuatedRev }

// StoreReturned starts the grace time for entries that lapsed in an outage.
func (d *Directory) StoreRecovered(now time.Time) { d.graceUntil = now.Add(StoreRecoveryGrace) }

// Put records an entry.
func (d *Directory) Put(s Server) {
	if old := d.servers[s.ID]; old != nil && old.Rev >= s.Rev && d.lapsed[s.ID].IsZero() {
		return
	}
	if s.Rev <= d.removedRevs[s.ID] {
		return
	}
	delete(d.lapsed, s.ID)
	d.servers[s.ID] = &s
	d.version++
}

// Remove records that the entry of a server was removed at revision rev.
func (d *Directory) Remove(id topo.ServerID, rev int64, now time.Time) {
	if rev > d.removedRevs[id] {
		d.removedRevs[id] = rev
	}
	s := d.servers[id]
	if s == nil || s.Rev > rev {
		return
	}
	if now.Before(d.graceUntil) {
		if d.lapsed[id].IsZero() {
			d.lapsed[id] = d.graceUntil
		}
		return
	}
	d.removeNow(id)
}

// drop removes a server for good.
func (d *Directory) removeNow(id topo.ServerID) {
	delete(d.servers, id)
	delete(d.lapsed, id)
	d.version++
	if len(d.removals) >= maxRemovals {
		d.removals = append(d.removals[:0], d.removals[maxRemovals/2:]...)
	}
	d.removals = append(d.removals, removal{id, d.version})
}

// GoneSince returns the servers that were removed after a version; false when
// that is not remembered.
func (d *Directory) RemovedSince(version uint64) ([]topo.ServerID, bool) {
	if version > d.version || len(d.removals) > 0 && version < d.removals[0].version-1 && len(d.removals) >= maxRemovals/2 {
		return nil, false
	}
	var out []topo.ServerID
	for _, g := range d.removals {
		if g.version > version && d.servers[g.server] == nil {
			out = append(out, g.server)
		}
	}
	return out, true
}

// Replace records a full listing at revision rev: every known server that is
// not in it was removed.
func (d *Directory) Replace(list []Server, rev int64, now time.Time) {
	if rev < d.rev {
		return
	}
	listed := make(map[topo.ServerID]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		d.Put(s)
	}
	for id, s := range d.servers {
		if !listed[id] && s.Rev <= rev {
			d.Remove(id, rev, now)
		}
	}
	d.AdvanceRev(rev)
}

// Advance records that all changes up to rev are known.
func (d *Directory) AdvanceRev(rev int64) { d.rev = max(d.rev, rev) }

// Expire treats servers as gone whose entry did not come back in time.
func (d *Directory) Expire(now time.Time) {
	for id, until := range d.lapsed {
		if !now.Before(until) {
			d.removeNow(id)
		}
	}
}

// SetEvacuated records the data centres out of service at revision rev.
func (d *Directory) SetEvacuated(names []topo.DataCentreName, rev int64) {
	if rev < d.evacuatedRev {
		return
	}
	d.evacuatedRev = rev
	same := len(names) == len(d.evacuated)
	for _, n := range names {
		same = same && d.evacuated[n]
	}
	if same {
		return
	}
	clear(d.evacuated)
	for _, n := range names {
		d.evacuated[n] = true
	}
	d.version++
}

// Evacuated returns the data centres out of service, in no order.
func (d *Directory) Evacuated() []topo.DataCentreName {
	out := make([]topo.DataCentreName, 0, len(d.evacuated))
	for n := range d.evacuated {
		out = append(out, n)
	}
	return out
}

// Out reports whether a data centre is out of service.
func (d *Directory) IsEvacuated(name topo.DataCentreName) bool { return d.evacuated[name] }

// Server returns a server by its id, or nil. The result must not be changed.
func (d *Directory) Server(id topo.ServerID) *Server { return d.servers[id] }

// Servers calls f for each server, in no order.
func (d *Directory) Servers(f func(*Server)) {
	for _, s := range d.servers {
		f(s)
	}
}

// Usable reports whether new requests may be sent to the server: its entry
// stands, it is not leaving and its data centre is in service.
func (d *Directory) Usable(s *Server) bool {
	return s != nil && s.State == Ready && !d.evacuated[s.DataCentre]
}

// Sync removes every server that the leader, which knows the servers up to
// revision rev, does not have.
func (d *Directory) RetainOnly(ids map[topo.ServerID]bool, rev int64) {
	for id, s := range d.servers {
		if !ids[id] && s.Rev <= rev {
			d.removeNow(id)
		}
	}
	d.AdvanceRev(rev)
}

// Drop removes servers that the leader, which knows the servers up to revision
// rev, has removed.
func (d *Directory) ApplyRemovals(ids []topo.ServerID, rev int64) {
	for _, id := range ids {
		if s := d.servers[id]; s != nil && s.Rev <= rev {
			d.removeNow(id)
		}
	}
	d.AdvanceRev(rev)
}
