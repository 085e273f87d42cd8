package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// closedCount marks the counters of a block that was returned. No number of
// concurrent additions brings it near zero.
const closedCount = math.MinInt64 / 2

// neverDue is a time that never comes.
const neverDue = math.MaxInt64

// vmBlock is a block at the VM that drew it.
type vmBlock struct {
	Block
	drawnAt, expiresAt int64 // ns since Share.base

	_ [64]byte // keeps the hot counters on a cache line of their own
	// remaining is the number of tokens never used; it may be negative.
	remaining atomic.Int64
	_         [56]byte
	// released is the number of tokens that came back from refused requests.
	released atomic.Int64
	// unusedAtPlan is the number of tokens at the last Plan.
	unusedAtPlan int64
}

func (v *vmBlock) take() bool {
	if v.remaining.Load() > 0 && v.remaining.Add(-1) >= 0 {
		return true
	}
	for {
		n := v.released.Load()
		if n <= 0 {
			return false
		}
		if v.released.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

func (v *vmBlock) unused() int64 { return max(v.remaining.Load(), 0) + max(v.released.Load(), 0) }

// close ends the use of the block and returns its unused tokens.
func (v *vmBlock) close() int64 {
	return max(v.remaining.Swap(closedCount), 0) + max(v.released.Swap(closedCount), 0)
}

// Bucket is a VM's part of one customer's rate. Reserve is safe for concurrent
// use and does not allocate.
type Bucket struct {
	share    *Share
	customer topo.CustomerID
	// blocks are in order of expiry; the slice is replaced, never changed.
	blocks atomic.Pointer[[]*vmBlock]
	// floorDueAt is when the floor is more than half full, in ns since
	// Share.base. The floor is used first then, so that its refill is not
	// lost, and last otherwise, so that it remains for the time when no block
	// can be drawn.
	floorDueAt atomic.Int64
	refused    atomic.Int64

	mu    sync.Mutex
	floor floor
	// The rest belongs to Plan.
	demand   demand
	lastPlan int64
	backoff  time.Duration
	// drawBackoffUntil is until when the ledger counts as empty, in ns; dry is for
	// how long that was.
	drawBackoffUntil atomic.Int64
	// waiting is the number of requests that wait in Gate for a draw.
	waiting atomic.Int64
}

// floor is the bucket of a floor slot, guarded by Bucket.mu.
type floor struct {
	rate Rate
	// level plus reserved never exceeds the burst, so that a release can't
	// add to a full bucket.
	level         float64
	reserved      int64
	refilledAt    int64
	expires       int64
	usedSincePlan int64
}

func (f *floor) refill(now int64) {
	if now > f.refilledAt {
		f.level += f.rate.PerSecond * float64(now-f.refilledAt) / float64(time.Second)
		f.refilledAt = now
	}
	f.level = math.Max(0, math.Min(f.level, f.rate.Burst-float64(f.reserved)))
}

func (f *floor) reserve(now int64) bool {
	if now >= f.expires {
		return false
	}
	f.refill(now)
	if f.level < 1 {
		return false
	}
	f.level--
	f.reserved++
	f.usedSincePlan++
	return true
}

// dueAt returns when the floor is more than half full.
func (f *floor) dueAt() int64 {
	if f.rate.PerSecond == 0 || f.expires == 0 {
		return neverDue
	}
	missing := math.Max(f.rate.Burst/2, 1) - f.level
	if missing <= 0 {
		return f.refilledAt
	}
	return f.refilledAt + int64(missing/f.rate.PerSecond*float64(time.Second))
}

// Reservation is a token that was taken for a request. Exactly one of Settle
// and Release is called on it.
type Reservation struct {
	bucket *Bucket
	block  *vmBlock // nil: from the floor
}

// Reserve takes a token, or reports that there is none.
func (b *Bucket) Reserve(now time.Time) (Reservation, bool) {
	r, ok := b.reserve(now)
	if !ok {
		b.refused.Add(1)
	}
	return r, ok
}

// reserve is Reserve without counting a refusal as demand.
func (b *Bucket) reserve(now time.Time) (Reservation, bool) {
	t := b.share.since(now)
	if t >= b.floorDueAt.Load() && b.reserveFloor(t) {
		return Reservation{bucket: b}, true
	}
	for _, v := range *b.blocks.Load() {
		if t < v.expiresAt && v.take() {
			return Reservation{b, v}, true
		}
	}
	if b.floorDueAt.Load() != neverDue && b.reserveFloor(t) {
		return Reservation{bucket: b}, true
	}
	return Reservation{}, false
}

func (b *Bucket) reserveFloor(t int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := b.floor.reserve(t)
	b.floorDueAt.Store(b.floor.dueAt())
	return ok
}

// Settle keeps the token spent: the request was sent to a backend server.
func (r Reservation) Settle(now time.Time) { r.finish(now, 0) }

// Release gives the token back: the request was refused and did not run. The
// token of a block that expired or was returned in the meantime stays spent.
func (r Reservation) Release(now time.Time) { r.finish(now, 1) }

func (r Reservation) finish(now time.Time, credit int64) {
	if r.block != nil {
		r.block.released.Add(credit)
		return
	}
	b := r.bucket
	b.mu.Lock()
	defer b.mu.Unlock()
	b.floor.refill(b.share.since(now))
	b.floor.reserved--
	b.floor.level += float64(credit)
	b.floor.usedSincePlan -= credit
	b.floorDueAt.Store(b.floor.dueAt())
}
