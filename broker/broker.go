// Package broker grants slots of backend servers. Each pool of slots has a home VM,
// whose broker queues the requests of all VMs for the pool until a slot is free.
package broker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/health"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/topo"
)

// tickInterval is how often pools with queued requests are processed even if no
// slot was released: to refuse requests whose deadline to start has passed, and
// to grant slots of cold servers at their limited rate.
const tickInterval = 20 * time.Millisecond

// idleTTL is how long an unused pool is kept.
const idleTTL = 30 * time.Second

// Servers returns the servers of a pool and the version of the list. If the
// version equals since, the list is ignored and may be nil.
type Servers func(pool string, since uint64) (list []permit.Server, version uint64)

// Broker manages slot pools. It is safe for concurrent use.
type Broker struct {
	servers Servers
	divisor int
	// OnEjection, unless nil, makes pools eject servers that fail much more often than
	// their peers, and is called when the ejection of a server begins or ends. It must
	// be set before the broker is used and must not call the broker.
	OnEjection func(pool string, server topo.ServerID, state health.State)

	// MaxHeldBytes, unless 0, bounds the size of the bodies that the requests at one
	// server may have together. It must be set before the broker is used.
	MaxHeldBytes int64
	// Probe, unless nil, asks a server of a pool how long it stays cold, and gives the
	// answer to Probed. It must not block, and must be set before the first request.
	Probe func(pool string, server topo.ServerID)
	// Stats counts the decisions.
	Stats Stats

	// wake tells Run that a request was queued.
	wake chan struct{}

	mu    sync.Mutex
	rng   *rand.Rand
	pools map[string]*pool
	// lastID starts at a random number. A VM may release a slot that an earlier
	// process on this VM granted; its number must not be that of another slot.
	lastID uint64
}

// pool is a permit.Pool with the channels of the requests that are queued in it.
type pool struct {
	*permit.Pool
	waiters  map[uint64]chan permit.Decision
	lastUsed time.Time
	// version is the version of the server list that is in use.
	version uint64
}

// New returns a broker. The slots of each server are divided by divisor, which is
// greater than 1 for a broker that stands in for home VMs that do not respond.
func New(servers Servers, divisor int, rng *rand.Rand) *Broker {
	return &Broker{
		servers: servers, divisor: divisor, rng: rng, lastID: rng.Uint64(),
		pools: make(map[string]*pool), wake: make(chan struct{}, 1),
	}
}

// Acquire waits for a slot of a pool. The verdict of the decision is Granted or
// Refused. If ctx ends first, the request is removed from the queue and ok is
// false.
func (b *Broker) Acquire(ctx context.Context, name string, r permit.Request) (d permit.Decision, ok bool) {
	b.mu.Lock()
	now := clock.Boot()
	p := b.pool(name, now)
	b.lastID++
	r.ID = b.lastID
	d = p.Offer(now, r)
	b.probe(name, d)
	b.probeDue(name, p, now)
	if d.Verdict != permit.Queued {
		b.mu.Unlock()
		b.Stats.record(r.Priority, d)
		return d, true
	}
	ch := make(chan permit.Decision, 1)
	p.waiters[r.ID] = ch
	b.tick(name, p, now)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	select {
	case d = <-ch:
		b.Stats.record(r.Priority, d)
		return d, true
	case <-ctx.Done():
		b.cancel(name, r.ID)
		b.Stats.withdraw(r.Priority, clock.Boot().Sub(now))
		return permit.Decision{}, false
	}
}

// pool returns the pool with its current servers and creates it if necessary. The
// caller holds b.mu.
func (b *Broker) pool(name string, now time.Time) *pool {
	p := b.pools[name]
	if p == nil {
		p = &pool{Pool: permit.New(b.rng, b.divisor), waiters: make(map[uint64]chan permit.Decision)}
		if b.OnEjection != nil {
			p.EjectServers(func(id topo.ServerID, state health.State) { b.OnEjection(name, id, state) })
		}
		p.BoundHeldBytes(b.MaxHeldBytes)
		b.pools[name] = p
	}
	p.lastUsed = now
	b.update(p, name, now)
	return p
}

// update applies the current server list to a pool if its version changed. The
// caller holds b.mu.
func (b *Broker) update(p *pool, name string, now time.Time) {
	if list, version := b.servers(name, p.version); version != p.version {
		p.SetServers(now, list)
		p.version = version
	}
}

func (b *Broker) cancel(name string, id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[name]; p != nil {
		delete(p.waiters, id)
		now := clock.Boot()
		p.Cancel(now, id)
		b.tick(name, p, now)
	}
}

// Finish releases the slot that was granted to request id and passes the result
// to the pool.
func (b *Broker) Finish(name string, id uint64, r permit.Result) {
	b.withPool(name, func(p *pool, now time.Time) { p.Finish(now, id, r) })
}

// probe asks the server of a decision for its state if that is due. The caller holds b.mu.
func (b *Broker) probe(name string, d permit.Decision) {
	if d.Probe {
		b.ask(name, d.Server)
	}
}

// probeDue asks the servers that need a proof before they get further requests. The caller
// holds b.mu.
func (b *Broker) probeDue(name string, p *pool, now time.Time) {
	for _, server := range p.ProbesDue(now) {
		b.ask(name, server)
	}
}

func (b *Broker) ask(name string, server topo.ServerID) {
	if b.Probe != nil {
		b.Probe(name, server)
	}
}

// Probed records the end of a probe: how long the server stays cold, and whether it
// answered.
func (b *Broker) Probed(name string, server topo.ServerID, coldFor time.Duration, answered bool) {
	b.withPool(name, func(p *pool, now time.Time) { p.Probed(now, server, coldFor, answered) })
}

// withPool changes a pool, if it exists, and decides on its queued requests.
func (b *Broker) withPool(name string, change func(p *pool, now time.Time)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[name]; p != nil {
		now := clock.Boot()
		change(p, now)
		b.tick(name, p, now)
	}
}

// tick sends new decisions to the requests that wait for them. The caller holds
// b.mu.
func (b *Broker) tick(name string, p *pool, now time.Time) {
	for _, d := range p.Tick(now) {
		b.probe(name, d)
		if ch := p.waiters[d.ID]; ch != nil {
			delete(p.waiters, d.ID)
			ch <- d
		}
	}
	b.probeDue(name, p, now)
}

// Run processes queued requests until ctx ends: every tickInterval while any are
// queued, otherwise every idleTTL to remove unused pools.
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

// tickAll processes all pools, removes idle ones and reports whether requests are
// still queued.
func (b *Broker) tickAll() (waiting bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Boot()
	for name, p := range b.pools {
		switch {
		case p.Waiting() > 0:
			b.update(p, name, now)
			b.tick(name, p, now)
			waiting = waiting || p.Waiting() > 0
		case now.Sub(p.lastUsed) > idleTTL && p.Idle():
			delete(b.pools, name)
		}
	}
	return waiting
}

// Depth returns the number of queued requests and of slots in use, over all
// pools.
func (b *Broker) Depth() (waiting, running int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.pools {
		waiting += p.Waiting()
		running += p.Running()
	}
	return waiting, running
}

// HeldBytes returns the size of the bodies of the requests that hold slots, over all pools.
func (b *Broker) HeldBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := int64(0)
	for _, p := range b.pools {
		n += p.HeldBytes()
	}
	return n
}
