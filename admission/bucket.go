package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// closedCount is the value of both counters of a returned block. It is so far
// below zero that concurrent releases cannot make the counters positive.
const closedCount = math.MinInt64 / 2

// neverDue is the floorDueAt of a bucket without a rate or a floor lease.
const neverDue = math.MaxInt64

// vmBlock is a block as held by the VM that drew it.
type vmBlock struct {
	Block
	drawnAt, expiresAt int64 // ns since Share.base

	_ [64]byte // keeps each hot counter on a cache line of its own
	// remaining is the number of tokens not yet taken. Concurrent calls of
	// take may make it negative.
	remaining atomic.Int64
	_         [56]byte
	// released is the number of tokens given back by requests that were
	// refused without running.
	released atomic.Int64
	// unusedAtPlan is the number of unused tokens at the last call of Plan.
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

// close prevents further use of the block and returns the number of unused
// tokens.
func (v *vmBlock) close() int64 {
	return max(v.remaining.Swap(closedCount), 0) + max(v.released.Swap(closedCount), 0)
}

// Bucket is the part of one customer's rate that a VM holds. Reserve is safe for
// concurrent use and does not allocate.
type Bucket struct {
	share    *Share
	customer topo.CustomerID
	// blocks is in order of expiry. The slice is copied on write.
	blocks atomic.Pointer[[]*vmBlock]
	// floorDueAt is the time, in ns since Share.base, from which the floor
	// bucket is more than half full. From then on the floor bucket is used
	// before the blocks, so that it does not overflow and lose refill. Before
	// then it is used last, as a reserve for when no block can be drawn.
	floorDueAt atomic.Int64
	refused    atomic.Int64

	mu    sync.Mutex
	floor floor
	// demand, lastPlan and backoff are used only by Plan and Apply.
	demand   demand
	lastPlan int64
	backoff  time.Duration
	// drawBackoffUntil is the time, in ns since Share.base, until which the
	// ledger is taken to be empty. backoff is the length of the current
	// backoff.
	drawBackoffUntil atomic.Int64
	// waiting is the number of requests that are waiting in Gate for a draw.
	waiting atomic.Int64
}

// floor is the token bucket of a floor slot. Bucket.mu guards it.
type floor struct {
	rate Rate
	// level plus reserved never exceeds the burst, so that a release cannot
	// overfill the bucket.
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

// dueAt returns the time from which the bucket is more than half full and holds
// at least one token, or neverDue without a rate or a lease.
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

// Reservation is a token taken for one request. The caller calls exactly one of
// Settle and Release, once.
type Reservation struct {
	bucket *Bucket
	block  *vmBlock // nil if the token is from the floor bucket
}

// Reserve takes a token without blocking. It returns false if the VM has no token
// of the customer, and counts that as demand for the next draw.
func (b *Bucket) Reserve(now time.Time) (Reservation, bool) {
	r, ok := b.reserve(now)
	if !ok {
		b.refused.Add(1)
	}
	return r, ok
}

// reserve is like Reserve but does not count a refusal as demand.
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

// Settle spends the token. It is called when the request was sent to a backend
// server.
func (r Reservation) Settle(now time.Time) { r.finish(now, 0) }

// Release gives the token back. It is called when the request was refused and did
// not run. If the token's block has expired or was returned in the meantime, the
// token stays spent.
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
