package node

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/topo"
)

// firstEra is the highest number of the era of a store that has never come back from an
// older copy. The platform counts from 1.
const firstEra = 1

// storeEra is the era of the store. It is safe for concurrent use.
type storeEra struct {
	mu    sync.Mutex
	known bool
	era   topo.Era
	// settled is when all that was written before the store came back is there again,
	// or zero if the store has never come back.
	settled time.Time
}

// current returns the era, or 0 until the store has answered.
func (s *storeEra) current() topo.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// record records an era and reports whether it is the first one known, and whether
// the store has come back from an older copy since the last one.
func (s *storeEra) record(era topo.Era, now time.Time) (first, restored bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, restored = !s.known, s.known && era > s.era
	if restored || first && era > firstEra {
		// A process that has just started does not know whether the store came back a
		// moment ago.
		s.settled = now.Add(directory.StoreRecoveryGrace)
	}
	s.known, s.era = true, max(s.era, era)
	return first, restored
}

// proves reports whether a read at time at, which was answered at rev, proves which
// configuration is the newest. A store that came back from an older copy may lack a
// withdrawal of a key that it had acknowledged, until the operator has written it again.
// An era that is not recorded yet has just begun.
func (s *storeEra) proves(rev topo.Revision, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rev.Era() < s.era || rev.Era() == s.era && !at.Before(s.settled)
}

// watchLimit returns the longest wait of a watch that lets a read prove the newest
// configuration as soon as one can, if the last such proof is of the time confirmed.
func (s *storeEra) watchLimit(now, confirmed time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !confirmed.Before(s.settled) {
		return watchTimeout
	}
	return min(max(s.settled.Sub(now), time.Millisecond), watchTimeout)
}

// recordStoreEra records the era of the store and logs each change.
func (n *Node) recordStoreEra(era topo.Era) {
	if first, restored := n.storeEra.record(era, clock.Boot()); first || restored {
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
