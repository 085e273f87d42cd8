// Package broker drives the pools of slots whose home is this VM. Requests of
// this VM and of others wait here for a slot.
package broker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/permit"
)

// tickInterval is how often waiting requests are looked at though no slot was
// given back: to refuse those that are too late and to feed cold servers.
const tickInterval = 20 * time.Millisecond

// idleTTL is how long an unused pool is kept.
const idleTTL = 30 * time.Second

// Servers returns the servers of a pool and the version of the list. The list
// is ignored when the version is the given one.
type Servers func(pool string, since uint64) (list []permit.Server, version uint64)

// Broker holds pools. It is safe for concurrent use.
type Broker struct {
	servers Servers
	divisor int

	// wake tells Run that a request began to wait.
	wake chan struct{}

	mu     sync.Mutex
	rng    *rand.Rand
	pools  map[string]*pool
	lastID uint64
}

// pool is a permit.Pool with the requests that wait for it.
type pool struct {
	*permit.Pool
	waiters  map[uint64]chan permit.Decision
	lastUsed time.Time
	// serversVersion is that of the list of servers.
	serversVersion uint64
}

// New returns a broker. Divisor divides their slots, for a broker that stands in for homes that do not
// answer.
func New(servers Servers, divisor int, rng *rand.Rand) *Broker {
	return &Broker{
		servers: servers, divisor: divisor, rng: rng,
		pools: make(map[string]*pool), wake: make(chan struct{}, 1),
	}
}

// Acquire waits for a slot of a pool. The decision is Granted or Refused. When
// ctx ends first, the request is withdrawn and ok is false.
func (b *Broker) Acquire(ctx context.Context, name string, r permit.Request) (d permit.Decision, ok bool) {
	b.mu.Lock()
	now := clock.Boot()
	p := b.pool(name, now)
	b.lastID++
	r.ID = b.lastID
	d = p.Offer(now, r)
	if d.Verdict != permit.Queued {
		b.mu.Unlock()
		return d, true
	}
	ch := make(chan permit.Decision, 1)
	p.waiters[r.ID] = ch
	b.tick(p, now)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	select {
	case d = <-ch:
		return d, true
	case <-ctx.Done():
		b.cancel(name, r.ID)
		return permit.Decision{}, false
	}
}

// pool returns a pool with its current servers. The lock is held.
func (b *Broker) pool(name string, now time.Time) *pool {
	p := b.pools[name]
	if p == nil {
		p = &pool{Pool: permit.New(b.rng, b.divisor), waiters: make(map[uint64]chan permit.Decision)}
		b.pools[name] = p
	}
	p.lastUsed = now
	b.update(p, name, now)
	return p
}

// update takes over the current servers of a pool. The lock is held.
func (b *Broker) update(p *pool, name string, now time.Time) {
	if list, version := b.servers(name, p.serversVersion); version != p.serversVersion {
		p.SetServers(now, list)
		p.serversVersion = version
	}
}

func (b *Broker) cancel(name string, id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[name]; p != nil {
		delete(p.waiters, id)
		now := clock.Boot()
		p.Cancel(now, id)
		b.tick(p, now)
	}
}

// Finish gives a slot back.
func (b *Broker) Finish(name string, id uint64, r permit.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[name]; p != nil {
		now := clock.Boot()
		p.Finish(now, id, r)
		b.tick(p, now)
	}
}

// tick tells waiting requests what was decided. The lock is held.
func (b *Broker) tick(p *pool, now time.Time) {
	for _, d := range p.Tick(now) {
		if ch := p.waiters[d.ID]; ch != nil {
			delete(p.waiters, d.ID)
			ch <- d
		}
	}
}

// Run looks at waiting requests until ctx ends. It sleeps while there are none.
func (b *Broker) Run(ctx context.Context) error {
	t := time.NewTimer(idleTTL)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-b.wake:
		}
		pause := idleTTL
		if b.tickAll() {
			pause = tickInterval
		}
		t.Reset(pause)
	}
}

// tickAll reports whether requests still wait.
func (b *Broker) tickAll() (waiting bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Boot()
	for name, p := range b.pools {
		switch {
		case p.Waiting() > 0:
			b.update(p, name, now)
			b.tick(p, now)
			waiting = waiting || p.Waiting() > 0
		case now.Sub(p.lastUsed) > idleTTL && p.Idle():
			delete(b.pools, name)
		}
	}
	return waiting
}

// Depth returns the waiting requests and the slots in use of all pools.
func (b *Broker) Depth() (waiting, running int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.pools {
		waiting += p.Waiting()
		running += p.Running()
	}
	return waiting, running
}
