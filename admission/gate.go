package admission

import (
	"context"
	"sync"
	"time"

	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/topo"
)

const (
	// planInterval is how often a Gate looks whether a draw is needed.
	planInterval = 50 * time.Millisecond
	// drawTimeout bounds one draw; a later reply would be of little use.
	drawTimeout = 200 * time.Millisecond
	// minDrawInterval is the least time between two draws, which bounds the control
	// traffic of a VM whose customers are over their rates.
	minDrawInterval = 10 * time.Millisecond
	// MaxDrawWait is how long a request without a token waits for a draw. It
	// covers several round trips within a region.
	MaxDrawWait = 20 * time.Millisecond
	// maxWaiting bounds the requests of one customer that wait for a draw.
	maxWaiting = 64
)

// Drawer sends a draw to the controller of the cell.
type Drawer interface {
	Draw(ctx context.Context, req DrawRequest) (DrawReply, error)
}

// Gate runs a Share: it draws blocks in good time and lets a request wait for
// a draw that is likely to bring a token.
type Gate struct {
	share  *Share
	drawer Drawer
	wake   chan struct{}

	mu sync.Mutex
	// applied is closed and replaced after each draw.
	applied chan struct{}
}

// NewGate returns a driver of share. The caller runs Run.
func NewGate(share *Share, drawer Drawer) *Gate {
	return &Gate{share: share, drawer: drawer, wake: make(chan struct{}, 1), applied: make(chan struct{})}
}

// Run draws blocks until ctx ends, whose error it returns.
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

// Reserve takes a token for a request of customer. Without one it waits up to
// MaxHold for a draw, unless the ledger gave nothing a moment ago. The error
// is of kind RateExceeded; an unknown customer has no tokens.
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

// requestDraw asks Run for a draw and returns what is closed after the next one.
func (g *Gate) requestDraw() <-chan struct{} {
	select {
	case g.wake <- struct{}{}:
	default:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.applied
}
