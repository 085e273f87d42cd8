package admission

import (
	"context"
	"sync"
	"time"

	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/topo"
)

const (
	// planInterval is how often Gate checks whether a draw is needed.
	planInterval = 50 * time.Millisecond
	// drawTimeout is the timeout of one draw. A later reply would leave little
	// of the lifetime of its blocks.
	drawTimeout = 200 * time.Millisecond
	// minDrawInterval is the minimum pause between two draws. It bounds the
	// control traffic of a VM whose customers exceed their rates.
	minDrawInterval = 10 * time.Millisecond
	// MaxDrawWait is the maximum time that a request without a token waits for
	// a draw. It covers several round trips within a region.
	MaxDrawWait = 20 * time.Millisecond
	// maxWaiting is the maximum number of requests of one customer that wait
	// for a draw at a time.
	maxWaiting = 64
)

// Drawer sends draws to the controller of the cell. Gate calls Draw from one
// goroutine, with a timeout. If Draw fails, the tokens of the returned blocks count
// as spent.
type Drawer interface {
	Draw(ctx context.Context, req DrawRequest) (DrawReply, error)
}

// Gate drives a Share. It draws blocks before they run out, and lets a request
// without a token wait for a draw that is likely to bring one.
type Gate struct {
	share  *Share
	drawer Drawer
	wake   chan struct{}

	mu sync.Mutex
	// applied is closed and replaced whenever a draw has been applied.
	applied chan struct{}
}

// NewGate returns a gate for share that draws through drawer. It draws nothing
// until the caller starts Run.
func NewGate(share *Share, drawer Drawer) *Gate {
	return &Gate{share: share, drawer: drawer, wake: make(chan struct{}, 1), applied: make(chan struct{})}
}

// Run draws blocks until ctx ends, and returns the error of ctx.
func (g *Gate) Run(ctx context.Context) error {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-g.wake:
		}
		if g.draw(ctx) {
			sleep(ctx, minDrawInterval)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (g *Gate) draw(ctx context.Context) bool {
	req, ok := g.share.Plan(time.Now())
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := g.drawer.Draw(ctx, req)
	if err != nil {
		reply = DrawReply{}
	}
	g.share.Apply(time.Now(), sent, req, reply)
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.applied)
	g.applied = make(chan struct{})
	return true
}

// Reserve takes a token for a request of customer. If the VM has none, Reserve
// waits up to MaxDrawWait for a draw. It fails at once if a recent draw showed the
// ledger to be short of tokens, if too many requests of the customer are waiting,
// or if the customer is unknown. The error is of kind RateExceeded, also if ctx
// ends.
func (g *Gate) Reserve(ctx context.Context, customer topo.CustomerID) (Reservation, error) {
	b := g.share.Bucket(customer)
	if b == nil {
		return Reservation{}, errRateExceeded
	}
	now := time.Now()
	if r, ok := b.Reserve(now); ok {
		return r, nil
	}
	if g.share.since(now) < b.drawBackoffUntil.Load() {
		return Reservation{}, errRateExceeded
	}
	defer b.waiting.Add(-1)
	if b.waiting.Add(1) > maxWaiting {
		return Reservation{}, errRateExceeded
	}
	return g.waitForDraw(ctx, b)
}

var errRateExceeded = errkind.New(errkind.RateExceeded, "the customer's rate and burst are used up")

func (g *Gate) waitForDraw(ctx context.Context, b *Bucket) (Reservation, error) {
	timeout := time.NewTimer(MaxDrawWait)
	defer timeout.Stop()
	for {
		applied := g.requestDraw()
		if r, ok := b.reserve(time.Now()); ok {
			return r, nil
		}
		select {
		case <-applied:
		case <-timeout.C:
			return Reservation{}, errRateExceeded
		case <-ctx.Done():
			return Reservation{}, errRateExceeded
		}
		if r, ok := b.reserve(time.Now()); ok {
			return r, nil
		}
		if g.share.since(time.Now()) < b.drawBackoffUntil.Load() {
			return Reservation{}, errRateExceeded
		}
	}
}

// requestDraw wakes Run for a draw and returns a channel that is closed once the
// next draw has been applied.
func (g *Gate) requestDraw() <-chan struct{} {
	select {
	case g.wake <- struct{}{}:
	default:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.applied
}
