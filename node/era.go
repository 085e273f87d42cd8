package node

import (
	"sync"

	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/topo"
)

// storeEra is the era of the store. It is safe for concurrent use.
type storeEra struct {
	mu    sync.Mutex
	known bool
	era   topo.Era
}

// current returns the era, or 0 until the store has answered.
func (s *storeEra) current() topo.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// record records an era and reports whether it is the first one known, and whether
// the store has come back from an older copy since the last one.
func (s *storeEra) record(era topo.Era) (first, restored bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, restored = !s.known, s.known && era > s.era
	s.known, s.era = true, max(s.era, era)
	return first, restored
}

// recordStoreEra records the era of the store and logs each change.
func (n *Node) recordStoreEra(era topo.Era) {
	if first, restored := n.storeEra.record(era); first || restored {
		n.log.Event("store_era").Uint64("era", uint64(era)).Bool("restored", restored).Send()
	}
}

// revision adds a revision of the store to a log line: the value of the store's
// counter, and the era unless it is the first one.
func revision(e *zerolog.Event, rev topo.Revision) *zerolog.Event {
	e = e.Uint64("rev", rev.Counter())
	if rev.Era() > 0 {
		e = e.Uint64("era", uint64(rev.Era()))
	}
	return e
}

// olderBecause returns why an object read at rev is older than what was known at the
// revision have.
func olderBecause(rev, have topo.Revision) string {
	switch {
	case rev < have:
		return "stale_read"
	case rev.Era() > have.Era():
		return "store_restored"
	}
	return "written_older"
}
