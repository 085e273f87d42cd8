package callerkey

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// FreshnessTTL is the time for which the controller's attestation that a
// revision is current permits a VM to accept caller keys. It starts just before
// the VM sends the heartbeat (docs/design.md, section 3.6). Since the
// controller's watch is at most 1 s behind, a withdrawn key is refused within
// 2.8 s, below the bound of 3 s.
const FreshnessTTL = 1800 * time.Millisecond

// maxPendingAttestations bounds the attestations whose revision has not been
// applied yet. At one heartbeat per 400 ms, at most 5 are sent within the TTL of
// 1.8 s.
const maxPendingAttestations = 8

type attestation struct {
	revision     topo.Revision
	expiresNanos int64
}

// Freshness is the lease that permits a VM to accept caller keys. It is valid
// while an attested revision has been applied and the attestation has not
// expired. All methods are safe for concurrent use; Valid and Remaining take no
// lock.
type Freshness struct {
	base         time.Time
	expiresNanos atomic.Int64 // nanoseconds since base

	mu      sync.Mutex
	applied topo.Revision
	pending []attestation
}

// NewFreshness returns a lease that is not valid yet. The time base must carry a
// monotonic clock reading and must not be later than any time passed to the
// methods.
func NewFreshness(base time.Time) *Freshness {
	f := &Freshness{base: base}
	f.expiresNanos.Store(math.MinInt64)
	return f
}

// Renew records the response to a heartbeat that was sent at sent, which attests
// for ttl that revision is current. If the revision has not been applied yet, the
// lease is extended only when MarkApplied is called for it, since the missing
// changes may include a withdrawal. A ttl above FreshnessTTL is reduced to it.
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

// MarkApplied records that the configuration of a revision is in use, and extends
// the lease by the pending attestations of that revision and older ones.
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
// monotonic clock reading.
func (f *Freshness) Valid(now time.Time) bool {
	return int64(now.Sub(f.base)) < f.expiresNanos.Load()
}

// Remaining returns the time from now until the lease expires, or 0 if the lease
// is not valid.
func (f *Freshness) Remaining(now time.Time) time.Duration {
	expires := f.expiresNanos.Load()
	if expires == math.MinInt64 {
		return 0
	}
	return max(0, time.Duration(expires)-now.Sub(f.base))
}
