// Package directory holds a VM's copy of two kinds of entries in the platform's
// store: the registered backend servers and the data centres taken out of
// service. Every update carries a revision of the store, so that updates may
// arrive from several sources and in any order. The package does no I/O and
// reads no clock.
package directory

import (
	"time"
	"unsafe"

	"godwitlock.example/godwitlock/topo"
)

// State is the state that a backend server registered for itself.
type State uint8

// The states of a backend server.
const (
	// Ready servers accept requests.
	Ready State = iota + 1
	// Leaving servers finish the requests in flight and accept no new ones.
	Leaving
)

// Server is the registration of a backend server.
type Server struct {
	ID         topo.ServerID
	Service    topo.ServiceName
	Addr       string
	DataCentre topo.DataCentreName
	// Version is the version of the server's program; empty if its entry has none.
	Version string
	Slots   int
	State   State
	// StartedAtMs is the Unix time of the server's start, in milliseconds. It
	// distinguishes the incarnations of a server.
	StartedAtMs int64
	// ColdFor is the remaining warm-up time of the server at SeenAt.
	ColdFor time.Duration
	SeenAt  time.Time
	// Seq counts the writes of the entry by the server itself, within an incarnation.
	Seq int64
	// Rev is the store's revision of the entry.
	Rev int64
	// version is the directory's version with the entry.
	version uint64
}

// Incarnation returns which life of the server the registration describes.
func (s *Server) Incarnation() topo.Incarnation {
	return topo.Incarnation{Server: s.ID, StartedAtMs: s.StartedAtMs}
}

// Bytes returns the memory that the entry takes up, in bytes.
func (s *Server) Bytes() int {
	return int(unsafe.Sizeof(*s)) + len(s.ID) + len(s.Service) + len(s.DataCentre) + len(s.Addr) + len(s.Version)
}

// Cold reports whether the server is still warming up at now.
func (s *Server) Cold(now time.Time) bool {
	return s.ColdFor > 0 && now.Before(s.SeenAt.Add(s.ColdFor))
}

// StoreRecoveryGrace is how long after an outage of the store the entry of a
// live server may be missing because it expired during the outage. The
// platform's documentation gives about two seconds.
const StoreRecoveryGrace = 2200 * time.Millisecond

// Directory is a VM's copy of the entries. Create it with New; it is not safe
// for concurrent use.
type Directory struct {
	servers map[topo.ServerID]*Server
	// removed holds what is known of each removed entry, so that an older update
	// does not restore it.
	removed map[topo.ServerID]removedEntry
	// lapsed holds the servers whose entry was removed within the grace time. They are
	// dropped at its end unless the entry returns.
	lapsed map[topo.ServerID]bool
	// doubtful holds entries of servers that were removed, which the store shows again
	// because it came back from an older copy. They count from the end of the grace
	// time on, if the store still has them.
	doubtful     map[topo.ServerID]Server
	rev          int64
	evacuated    map[topo.DataCentreName]bool
	evacuatedRev int64
	// outageGrace and restoreGrace are the ends of the grace times after an outage of the
	// store, and after its return from an older copy. Within either, a removed entry is
	// kept as lapsed.
	outageGrace, restoreGrace time.Time
	// version counts the changes that matter for routing.
	version uint64
	// removals lists the latest removals, oldest first.
	removals []removal
	// leaving holds the servers that said of themselves that they leave, which is
	// final for an incarnation.
	leaving map[topo.ServerID]leavingMark
}

// removedEntry is what is known of a removed entry.
type removedEntry struct {
	// rev is the revision of the removal, as far as the store told of it.
	rev int64
	// last identifies the last entry before the removal, as of the revision at which
	// it was known to be gone.
	last entryState
}

// leavingMark records the start of the incarnation that leaves, and the version of
// the directory with which this became known.
type leavingMark struct {
	startedAtMs int64
	version     uint64
}

// maxLeavingMarks bounds the marks; those of servers without an entry are deleted
// first.
const maxLeavingMarks = 4096

// removal records that a server was removed, and the version of the directory
// after the removal.
type removal struct {
	server  topo.ServerID
	version uint64
}

// maxRemovals bounds the list of removals.
const maxRemovals = 1024

// New returns a Directory without servers, with all data centres in service.
func New() *Directory {
	return &Directory{
		servers:   make(map[topo.ServerID]*Server),
		removed:   make(map[topo.ServerID]removedEntry),
		lapsed:    make(map[topo.ServerID]bool),
		doubtful:  make(map[topo.ServerID]Server),
		evacuated: make(map[topo.DataCentreName]bool),
		leaving:   make(map[topo.ServerID]leavingMark),
	}
}

// Version returns a number that grows with every change of the servers or of
// the data centres out of service.
func (d *Directory) Version() uint64 { return d.version }

// Rev returns the store's revision up to which all changes of server entries
// are known.
func (d *Directory) Rev() int64 { return d.rev }

// EvacuationRev returns the store's revision up to which the data centres out
// of service are known.
func (d *Directory) EvacuationRev() int64 { return d.evacuatedRev }

// SetOutageEnd sets when the last outage of the store ended in which entries of live
// servers may have expired. The zero time says that there was none: Expire then drops the
// servers that were kept because of one.
func (d *Directory) SetOutageEnd(end time.Time) {
	d.outageGrace = time.Time{}
	if !end.IsZero() {
		d.outageGrace = end.Add(StoreRecoveryGrace)
	}
}

// inGrace reports whether removed entries are kept as lapsed at now.
func (d *Directory) inGrace(now time.Time) bool {
	return now.Before(d.outageGrace) || now.Before(d.restoreGrace)
}

// Lapsed reports whether the entry of a server was removed, and the server is kept because
// the entry may have expired in an outage of the store.
func (d *Directory) Lapsed(id topo.ServerID) bool { return d.lapsed[id] }

// Put adds or replaces the entry of a server, unless the directory has the same
// or a newer revision of it or its removal. After the store came back from an older
// copy, an entry with a higher revision may still be older (see entryState).
func (d *Directory) Put(s Server) {
	old, removed := d.servers[s.ID], d.removed[s.ID]
	if old != nil && old.Rev >= s.Rev && !d.lapsed[s.ID] {
		return
	}
	if s.Rev <= removed.rev {
		return
	}
	superseded := d.superseded(&s)
	switch {
	case superseded && old != nil:
		delete(d.lapsed, s.ID)
	case superseded && removed.last.leaving:
		// Leaving is final for an incarnation.
	case superseded && d.inGrace(s.SeenAt):
		d.doubtful[s.ID] = s
	default:
		d.putNow(s)
	}
}

// putNow adds or replaces an entry.
func (d *Directory) putNow(s Server) {
	delete(d.lapsed, s.ID)
	delete(d.doubtful, s.ID)
	d.version++
	s.version = d.version
	d.servers[s.ID] = &s
}

// ChangedSince reports whether the entry of a server of this directory changed after
// the given version of the directory.
func (d *Directory) ChangedSince(s *Server, version uint64) bool { return s.version > version }

// Remove records that the entry of a server was removed at revision rev. Within
// the grace time after an outage the server stays until Expire drops it.
func (d *Directory) Remove(id topo.ServerID, rev int64, now time.Time) {
	if r := d.removed[id]; rev > r.rev {
		r.rev = rev
		d.removed[id] = r
	}
	if s, ok := d.doubtful[id]; ok && s.Rev <= rev {
		delete(d.doubtful, id)
	}
	s := d.servers[id]
	if s == nil || s.Rev > rev {
		return
	}
	if d.inGrace(now) {
		d.lapsed[id] = true
		return
	}
	d.removeNow(id, rev)
}

// removeNow removes a server without a grace time, and records that its entry is
// gone at revision rev.
func (d *Directory) removeNow(id topo.ServerID, rev int64) {
	if s := d.servers[id]; s != nil {
		r := d.removed[id]
		r.last = s.entryState(rev)
		d.removed[id] = r
	}
	delete(d.servers, id)
	delete(d.lapsed, id)
	d.version++
	if len(d.removals) >= maxRemovals {
		d.removals = append(d.removals[:0], d.removals[maxRemovals/2:]...)
	}
	d.removals = append(d.removals, removal{id, d.version})
}

// RemovedSince returns the servers that were removed after the given version of
// the directory and have not registered again. It returns false when the list of
// removals does not reach back that far.
func (d *Directory) RemovedSince(version uint64) ([]topo.ServerID, bool) {
	if version > d.version || len(d.removals) > 0 && version < d.removals[0].version-1 && len(d.removals) >= maxRemovals/2 {
		return nil, false
	}
	var out []topo.ServerID
	for _, r := range d.removals {
		if r.version > version && d.servers[r.server] == nil {
			out = append(out, r.server)
		}
	}
	return out, true
}

// Replace records a complete listing at revision rev. A known server that is
// not listed counts as removed at rev, unless its entry is newer.
func (d *Directory) Replace(list []Server, rev int64, now time.Time) {
	if rev < d.rev {
		return
	}
	d.BeginEra(rev, now)
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

// AdvanceRev records that all changes of servers up to rev are known.
func (d *Directory) AdvanceRev(rev int64) { d.rev = max(d.rev, rev) }

// Expire ends the grace time, if it is over at now: it removes the lapsed servers
// whose entry did not return, and adds the doubtful ones.
func (d *Directory) Expire(now time.Time) {
	if d.inGrace(now) {
		return
	}
	for id := range d.lapsed {
		d.removeNow(id, d.removed[id].rev)
	}
	for _, s := range d.doubtful {
		d.putNow(s)
	}
}

// SetEvacuated replaces the data centres out of service by those at revision
// rev, unless a newer revision is known.
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

// Evacuated returns the data centres out of service, in no particular order.
func (d *Directory) Evacuated() []topo.DataCentreName {
	out := make([]topo.DataCentreName, 0, len(d.evacuated))
	for n := range d.evacuated {
		out = append(out, n)
	}
	return out
}

// IsEvacuated reports whether a data centre is out of service.
func (d *Directory) IsEvacuated(name topo.DataCentreName) bool { return d.evacuated[name] }

// Server returns a server by its id, or nil. Callers must not change the
// result.
func (d *Directory) Server(id topo.ServerID) *Server { return d.servers[id] }

// Servers calls f for each server, in no particular order.
func (d *Directory) Servers(f func(*Server)) {
	for _, s := range d.servers {
		f(s)
	}
}

// Usable reports whether new requests may be sent to the server: it is Ready, has
// not said that it leaves, and its data centre is in service. A nil server is not
// usable.
func (d *Directory) Usable(s *Server) bool {
	return s != nil && s.State == Ready && !d.evacuated[s.DataCentre] && !d.IsLeaving(s.Incarnation())
}

// RetainOnly removes every server that is not in ids, the servers that the
// leader knows at revision rev. It keeps servers with a newer entry, and
// advances the revision to rev.
func (d *Directory) RetainOnly(ids map[topo.ServerID]bool, rev int64) {
	for id, s := range d.servers {
		if !ids[id] && s.Rev <= rev {
			d.removeNow(id, rev)
		}
	}
	d.AdvanceRev(rev)
}

// ApplyRemovals removes the servers that the leader, at revision rev, has
// removed. It keeps servers with a newer entry, and advances the revision to
// rev.
func (d *Directory) ApplyRemovals(ids []topo.ServerID, rev int64) {
	for _, id := range ids {
		if s := d.servers[id]; s != nil && s.Rev <= rev {
			d.removeNow(id, rev)
		}
	}
	d.AdvanceRev(rev)
}
