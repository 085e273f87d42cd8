// Package pushback records until when backend servers want no further requests
// from this VM. A server that refuses a request may ask for such a pause.
//
// The package does no I/O and reads no clock.
package pushback

import (
	"sync"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// maxRecorded bounds the recorded pauses. When it is reached, those that have ended
// are deleted, or else the one that ends first.
const maxRecorded = 4096

// Table holds the pauses of the servers. The zero value is an empty table. It is
// safe for concurrent use.
type Table struct {
	mu    sync.RWMutex
	until map[topo.Incarnation]time.Time
	// latest is the latest end of a pause.
	latest time.Time
}

// Record records that a server wants no requests before until. It returns false if
// the server had asked for at least that already.
func (t *Table) Record(id topo.Incarnation, until, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !until.After(t.until[id]) || !until.After(now) {
		return false
	}
	if t.until == nil {
		t.until = make(map[topo.Incarnation]time.Time)
	}
	if len(t.until) >= maxRecorded {
		t.evict(now)
	}
	t.until[id] = until
	if until.After(t.latest) {
		t.latest = until
	}
	return true
}

func (t *Table) evict(now time.Time) {
	var first topo.Incarnation
	for id, until := range t.until {
		if !until.After(now) {
			delete(t.until, id)
			continue
		}
		if u, ok := t.until[first]; !ok || until.Before(u) {
			first = id
		}
	}
	if len(t.until) >= maxRecorded {
		delete(t.until, first)
	}
}

// Left returns how much of a server's pause is left at now, 0 if there is none.
func (t *Table) Left(id topo.Incarnation, now time.Time) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if !t.latest.After(now) {
		return 0
	}
	return max(0, t.until[id].Sub(now))
}

// Any reports whether any server wants a pause at now.
func (t *Table) Any(now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.latest.After(now)
}
