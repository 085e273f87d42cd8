package callerkey

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// FreshnessTTL is how long an answer "revision R is current" permits a VM to
// accept caller keys, counted from before its heartbeat was sent (docs/design.md,
// section 3.6). With a watch at most 1 s old at the controller, a withdrawn key
// stops within 2.8 s, below the bound of 3 s.
const FreshnessTTL = 1800 * time.Millisecond

// maxPendingAttestations bounds the attestations that wait for their revision to be
// applied. At one heartbeat per 400 ms, 1.8 s hold 5 of them.
const maxPendingAttestations = 8

type attestation struct {
	revision     topo.Revision
	expiresNanos int64
}

// Freshness is the lease that permits a VM to accept caller keys. It is valid
// while an attested revision has been applied and the attestation has not
// expired. Valid takes no lock; the other methods are safe for concurrent use.
type Freshness struct {
	base         time.Time
	expiresNanos atomic.Int64 // nanoseconds since base

	mu      sync.Mutex
	applied topo.Revision
	pending []attestation
}

// NewFreshness returns a lease that is not valid yet. Base must carry a
// monotonic reading and lie before all times that are passed later.
func NewFreshness(base time.Time) *Freshness {
	f := &Freshness{base: base}
	f.expiresNanos.Store(math.MinInt64)
	return f
}

// Renew records an answer to a heartbeat that was sent at sent: revision is
// current, valid for ttl. An attestation of a revision that is not applied yet
// takes effect once Applied reports it; until then the lease is not extended,
// since a withdrawal may be among the missing changes.
func (f *Freshness) Renew(sent time.Time, ttl time.Duration, revision topo.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	expiresNanos := int64(sent.Add(min(ttl, FreshnessTTL)).Sub(f.base))
	if ttl <= 0 {
		return
	}
	if revision <= f.applied {
		f.extend(expiresNanos)
		return
	}
	if len(f.pending) == maxPendingAttestations {
		f.pending = f.pending[1:]
	}
	f.pending = append(f.pending, attestation{revision, expiresNanos})
}

// MarkApplied reports that the configuration of a revision is in use.
func (f *Freshness) MarkApplied(revision topo.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.applied {
		return
	}
	f.applied = revision
	remaining := f.pending[:0]
	for _, a := range f.pending {
		if a.revision <= revision {
			f.extend(a.expiresNanos)
		} else {
			remaining = append(remaining, a)
		}
	}
	f.pending = remaining
}

func (f *Freshness) extend(expiresNanos int64) {
	if expiresNanos > f.expiresNanos.Load() {
		f.expiresNanos.Store(expiresNanos)
	}
}

// Valid reports whether caller keys may be accepted at now, which must carry a
// monotonic reading.
func (f *Freshness) Valid(now time.Time) bool {
	return int64(now.Sub(f.base)) < f.expiresNanos.Load()
}

// Remaining returns the time until the lease expires, or 0.
func (f *Freshness) Remaining(now time.Time) time.Duration {
	expires := f.expiresNanos.Load()
	if expires == math.MinInt64 {
		return 0
	}
	return max(0, time.Duration(expires)-now.Sub(f.base))
}
