package admission

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"godwitlock.example/godwitlock/topo"
)

const (
	// returnAge is the age at which a block with unused tokens triggers a draw
	// that returns and replaces it. It leaves time to repeat a lost draw before
	// the block expires.
	returnAge = 300 * time.Millisecond
	// earlyReturnAge is the age from which a block is returned with a draw that
	// is made for another reason.
	earlyReturnAge = 200 * time.Millisecond
	// lowWatermark is the time for which the usable tokens must cover the
	// expected demand. A draw below it leaves time for two round trips within a
	// region.
	lowWatermark = 100 * time.Millisecond
	// highWatermark is the time for which a draw covers the expected demand.
	highWatermark = 300 * time.Millisecond
	// fastTimeConstant and slowTimeConstant are the time constants of the two
	// exponential moving averages of demand. The fast average follows a rise in
	// demand, the slow one bridges a gap.
	fastTimeConstant = 100 * time.Millisecond
	slowTimeConstant = time.Second
	// minDrawBackoff and maxDrawBackoff bound the time for which the ledger is
	// taken to be empty after it issued less than half of the tokens asked for.
	// The backoff doubles with each such draw, which bounds the draws for a
	// customer that sends several times its rate.
	minDrawBackoff = 10 * time.Millisecond
	maxDrawBackoff = 80 * time.Millisecond
)

// Share is the part of all customers' rates that one VM holds. Bucket.Reserve may
// be called by many goroutines concurrently; Plan and Apply are called by one
// goroutine at a time.
type Share struct {
	vm      topo.VMID
	base    time.Time
	buckets atomic.Pointer[map[topo.CustomerID]*Bucket]

	mu            sync.Mutex
	slot          int
	slotExpiresAt int64
}

// NewShare returns a share for vm that has no floor slot and no customers. now is
// the origin of the share's internal times.
func NewShare(vm topo.VMID, now time.Time) *Share {
	s := &Share{vm: vm, base: now, slot: -1}
	s.buckets.Store(&map[topo.CustomerID]*Bucket{})
	return s
}

func (s *Share) since(t time.Time) int64 { return int64(t.Sub(s.base)) }

// Bucket returns the bucket of a customer, or nil if the customer is unknown. The
// caller may keep the bucket until the customer is removed. The bucket of a
// removed customer has no tokens.
func (s *Share) Bucket(id topo.CustomerID) *Bucket { return (*s.buckets.Load())[id] }

// SetCustomer adds a customer or changes its rate. The floor bucket of an added
// customer starts empty. SetCustomer returns the error of rate.Validate and then
// changes nothing.
func (s *Share) SetCustomer(now time.Time, id topo.CustomerID, rate Rate) error {
	if err := rate.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.since(now)
	b := s.Bucket(id)
	if b == nil {
		b = &Bucket{share: s, customer: id, lastPlan: t}
		b.blocks.Store(&[]*vmBlock{})
		b.floor.refilledAt = t
		next := maps.Clone(*s.buckets.Load())
		next[id] = b
		s.buckets.Store(&next)
	}
	b.setFloor(t, rate.floor(), s.slotExpiresAt)
	return nil
}

// RemoveCustomer removes a customer and discards its tokens. Its blocks are not
// returned; they expire at the ledger.
func (s *Share) RemoveCustomer(now time.Time, id topo.CustomerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.Bucket(id)
	if b == nil {
		return
	}
	next := maps.Clone(*s.buckets.Load())
	delete(next, id)
	s.buckets.Store(&next)
	b.setFloor(s.since(now), Rate{}, 0)
	for _, v := range *b.blocks.Swap(&[]*vmBlock{}) {
		v.close()
	}
}

// FloorSlot returns the floor slot to report in a heartbeat, or -1 if the VM has
// no unexpired lease.
func (s *Share) FloorSlot(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since(now) >= s.slotExpiresAt {
		return -1
	}
	return s.slot
}

// SetFloor applies the controller's reply to a heartbeat that was sent at sent. ok
// is false if the controller leases no slot to this VM.
func (s *Share) SetFloor(now, sent time.Time, g FloorGrant, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.since(now)
	valid := t < s.slotExpiresAt
	switch {
	case !ok:
		s.slot, s.slotExpiresAt = -1, 0
	case g.Confirmed && !(valid && g.Slot == s.slot):
		return
	default:
		s.slot, s.slotExpiresAt = g.Slot, s.since(sent.Add(FloorTTL))
	}
	for _, b := range *s.buckets.Load() {
		b.extendFloor(t, s.slotExpiresAt, valid && g.Confirmed)
	}
}

func (b *Bucket) setFloor(t int64, rate Rate, expires int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.floor.refill(t)
	b.floor.rate, b.floor.expires = rate, expires
	b.floor.refill(t)
	b.floorDueAt.Store(b.floor.dueAt())
}

// extendFloor sets the end of the lease. Unless this VM held the slot without a
// gap (sameHolder), the bucket starts empty, since the previous holder may have
// just spent its tokens.
func (b *Bucket) extendFloor(t, expires int64, sameHolder bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.floor.refill(t)
	if !sameHolder {
		b.floor.level = 0
	}
	b.floor.expires = expires
	b.floorDueAt.Store(b.floor.dueAt())
}

// Plan returns the next draw, or false if none is needed. If any customer needs a
// draw, the request tops up all customers, so that one message serves them all.
// Blocks to be returned are closed at once; if the draw is lost, their tokens
// count as spent.
func (s *Share) Plan(now time.Time) (DrawRequest, bool) {
	t := s.since(now)
	buckets := *s.buckets.Load()
	needsDraw := false
	for _, b := range buckets {
		b.observe(t)
		needsDraw = b.needsDraw(t) || needsDraw
	}
	req := DrawRequest{VM: s.vm}
	if !needsDraw {
		return req, false
	}
	for id, b := range buckets {
		returns, want := b.plan(t)
		req.Returns = append(req.Returns, returns...)
		if want > 0 {
			req.Wants = append(req.Wants, Want{id, want})
		}
	}
	return req, len(req.Wants)+len(req.Returns) > 0
}

// Apply adds the blocks of reply, the response to the draw req that was sent at
// sent. A reply that arrives after its blocks have expired adds none. A Want that
// got less than half of its tokens starts or doubles the customer's draw backoff.
func (s *Share) Apply(now, sent time.Time, req DrawRequest, reply DrawReply) {
	t, drawn := s.since(now), s.since(sent)
	got := make(map[topo.CustomerID]int64, len(reply.Blocks))
	for _, blk := range reply.Blocks {
		got[blk.Customer] += blk.Tokens
		if b := s.Bucket(blk.Customer); b != nil && t < drawn+int64(BlockTTL) {
			b.add(t, drawn, blk)
		}
	}
	for _, w := range req.Wants {
		if b := s.Bucket(w.Customer); b != nil {
			b.setDrawBackoff(t, got[w.Customer] < w.Tokens/2 || got[w.Customer] == 0)
		}
	}
}

// setDrawBackoff starts or doubles the draw backoff if the ledger was short of
// tokens, and resets it otherwise.
func (b *Bucket) setDrawBackoff(t int64, shortfall bool) {
	if !shortfall {
		b.backoff = 0
		return
	}
	b.backoff = min(max(2*b.backoff, minDrawBackoff), maxDrawBackoff)
	b.drawBackoffUntil.Store(t + int64(b.backoff))
}

func (b *Bucket) add(t, drawnAt int64, blk Block) {
	v := &vmBlock{Block: blk, drawnAt: drawnAt, expiresAt: drawnAt + int64(BlockTTL), unusedAtPlan: blk.Tokens}
	v.remaining.Store(blk.Tokens)
	old := *b.blocks.Load()
	next := make([]*vmBlock, 0, len(old)+1)
	for _, o := range old {
		if t < o.expiresAt {
			next = append(next, o)
		}
	}
	next = append(next, v)
	b.blocks.Store(&next)
}

// needsDraw reports whether the bucket needs a draw, because usable tokens are
// below the low watermark or because a block must be returned before it expires.
func (b *Bucket) needsDraw(t int64) bool {
	var usable int64
	for _, v := range *b.blocks.Load() {
		n := v.unused()
		if n > 0 && t < v.expiresAt && t-v.drawnAt >= int64(returnAge) {
			return true
		}
		usable += n
	}
	low, _ := b.watermarks(t)
	return usable < low
}

// plan closes old and used-up blocks, and returns their Returns and the number of
// tokens to draw.
func (b *Bucket) plan(t int64) (returns []Return, want int64) {
	var usable int64
	var keep []*vmBlock
	for _, v := range *b.blocks.Load() {
		switch {
		case t >= v.expiresAt:
		case v.unused() == 0, t-v.drawnAt >= int64(earlyReturnAge):
			// A used-up block is returned too, so that its tokens no longer
			// count as outstanding and the ledger can refill at once.
			returns = append(returns, Return{v.Term, v.ID, b.customer, v.close()})
		default:
			usable += v.unused()
			keep = append(keep, v)
		}
	}
	b.blocks.Store(&keep)
	_, high := b.watermarks(t)
	return returns, max(high-usable, 0)
}

// watermarks returns the number of tokens below which to draw (low) and the number
// to fill up to (high). Both include the waiting requests, and both are 0 during a
// draw backoff.
func (b *Bucket) watermarks(t int64) (low, high int64) {
	if t < b.drawBackoffUntil.Load() {
		return 0, 0
	}
	low, high = b.demand.watermarks()
	if n := b.waiting.Load(); n > 0 {
		low, high = max(low, n), high+n
	}
	return low, high
}

// observe updates the demand with the tokens used and the requests refused since
// the last call.
func (b *Bucket) observe(t int64) {
	n := b.refused.Swap(0)
	for _, v := range *b.blocks.Load() {
		left := v.unused()
		n += v.unusedAtPlan - left
		v.unusedAtPlan = left
	}
	b.mu.Lock()
	n += b.floor.usedSincePlan
	b.floor.usedSincePlan = 0
	b.mu.Unlock()
	b.demand.add(n, t-b.lastPlan)
	b.lastPlan = t
}

// demand holds two moving averages of the demand, in tokens per second.
type demand struct{ fast, slow float64 }

func (d *demand) add(n, dt int64) {
	if dt <= 0 {
		dt = 1
	}
	rate := float64(n) / time.Duration(dt).Seconds()
	d.fast += (rate - d.fast) * (1 - math.Exp(-float64(dt)/float64(fastTimeConstant)))
	d.slow += (rate - d.slow) * (1 - math.Exp(-float64(dt)/float64(slowTimeConstant)))
}

// watermarks returns the low and high watermarks in tokens. Each is the expected
// demand plus two standard deviations of a Poisson stream. Two standard deviations
// of the fast average are subtracted from it; otherwise every single request of a
// small customer would make the VM draw tokens that other VMs then lack.
func (d *demand) watermarks() (low, high int64) {
	margin := 2 * math.Sqrt(d.fast/(2*fastTimeConstant.Seconds()))
	rate := math.Max(d.fast-margin, d.slow)
	if rate < 0.1 {
		return 0, 0
	}
	tokensFor := func(t time.Duration) int64 {
		mean := rate * t.Seconds()
		return int64(math.Ceil(mean + 2*math.Sqrt(mean)))
	}
	return tokensFor(lowWatermark), tokensFor(highWatermark) + 1
}
