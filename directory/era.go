package directory

import (
	"time"

	"godwitlock.example/godwitlock/topo"
)

// entryState orders the entries of an incarnation of a server across the eras of the
// store. Within an era the revision does. In a later era, a higher revision may belong
// to an entry of the older copy from which the store came back, or to one that the
// server has written since; the server's own count tells them apart.
type entryState struct {
	era              topo.Era
	startedAtMs, seq int64
	leaving          bool
}

// entryState returns the state of the entry, which was known at revision rev.
func (s *Server) entryState(rev int64) entryState {
	return entryState{era: topo.Revision(rev).Era(), startedAtMs: s.StartedAtMs, seq: s.Seq, leaving: s.State == Leaving}
}

// supersedes reports whether an entry that was read in a later era is none the less not
// newer than e: the server has not written it since, or it leaves, which is final for
// an incarnation.
func (e entryState) supersedes(s *Server) bool {
	if topo.Revision(s.Rev).Era() <= e.era || s.StartedAtMs == 0 || s.StartedAtMs != e.startedAtMs {
		return false
	}
	return s.Seq <= e.seq || e.leaving && s.State != Leaving
}

// Older reports whether an entry is older than what is known of the server, although
// its revision is higher, because the store came back from an older copy.
func (d *Directory) Older(s *Server) bool {
	old := d.servers[s.ID]
	return d.superseded(s) && (old == nil || old.Seq != s.Seq)
}

// superseded reports whether an entry is Older, or the one known.
func (d *Directory) superseded(s *Server) bool {
	if old := d.servers[s.ID]; old != nil {
		return old.entryState(old.Rev).supersedes(s)
	}
	return d.removed[s.ID].last.supersedes(s)
}

// BeginEra starts the grace time if rev is of a later era of the store than the
// revision up to which the servers are known: servers whose entries the store has
// lost write them again.
func (d *Directory) BeginEra(rev int64, now time.Time) {
	if d.rev > 0 && topo.Revision(rev).Era() > topo.Revision(d.rev).Era() {
		d.restoreGrace = now.Add(StoreRecoveryGrace)
	}
}
