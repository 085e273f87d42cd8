// Package spread chooses the pool of slots for each request to a service whose
// pool is divided into parts. Each part has a home VM of its own, so that no VM has to
// handle all requests to a large service.
//
// It answers for loads at which most parts have free slots, where a request must not
// wait in a part that is busy, and for a data centre whose servers are busier than
// those of others. Two parts are drawn by their slots and the one with the shorter
// recent wait is taken; a part in another data centre only if it saves more time than
// the bytes between data centres are worth.
//
// The package does no I/O and reads no clock.
package spread

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

const (
	// remoteCost is the wait that a request accepts in its own data centre rather
	// than go to another one.
	remoteCost = 60 * time.Millisecond
	// refusedWait is the wait that a refusal of a part counts as.
	refusedWait = time.Second
	// minWait is the wait below which parts count as equal.
	minWait = time.Millisecond
	// waitTTL is how long an observed wait counts in full; it halves in each
	// further waitTTL.
	waitTTL = 300 * time.Millisecond
	// waitWeight is the weight of a new wait in the moving average.
	waitWeight = 0.5
)

// Chooser chooses pools and learns from the waits there. It is safe for concurrent
// use.
type Chooser struct {
	mu    sync.Mutex
	rng   *rand.Rand
	waits map[string]observed
}

// observed is the moving average of the waits in a pool.
type observed struct {
	wait time.Duration
	at   time.Time
}

// maxObserved bounds the pools whose waits are kept.
const maxObserved = 4096

// New returns a Chooser that has observed nothing.
func New(rng *rand.Rand) *Chooser { return &Chooser{rng: rng, waits: make(map[string]observed)} }

// Choose returns the pool for a request that arrived in data centre dc, but none of
// tried. It returns false if there is no other one.
func (c *Chooser) Choose(pools []view.Pool, dc topo.DataCentreName, tried []string, now time.Time) (view.Pool, bool) {
	if len(pools) == 1 {
		return pools[0], !slices.Contains(tried, pools[0].Name)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	usable := func(local bool) func(view.Pool) bool {
		return func(p view.Pool) bool {
			return (p.DataCentre == dc || p.DataCentre == "") == local && !slices.Contains(tried, p.Name)
		}
	}
	var best view.Pool
	var bestCost time.Duration
	found := false
	consider := func(p view.Pool, ok bool, extra time.Duration) {
		if !ok {
			return
		}
		if cost := c.wait(p.Name, now) + extra; !found || cost < bestCost {
			best, bestCost, found = p, cost, true
		}
	}
	for range 2 {
		p, ok := c.draw(pools, usable(true))
		consider(p, ok, 0)
	}
	if found && bestCost <= remoteCost {
		return best, true
	}
	for range 2 {
		p, ok := c.draw(pools, usable(false))
		consider(p, ok, remoteCost)
	}
	return best, found
}

// draw returns a random pool for which usable returns true, with a probability that
// follows its slots.
func (c *Chooser) draw(pools []view.Pool, usable func(view.Pool) bool) (view.Pool, bool) {
	total := 0
	for _, p := range pools {
		if usable(p) {
			total += p.Slots
		}
	}
	if total <= 0 {
		return view.Pool{}, false
	}
	n := c.rng.IntN(total)
	for _, p := range pools {
		if !usable(p) {
			continue
		}
		if n -= p.Slots; n < 0 {
			return p, true
		}
	}
	return view.Pool{}, false
}

// wait returns the recent wait in a pool.
func (c *Chooser) wait(pool string, now time.Time) time.Duration {
	o, ok := c.waits[pool]
	if !ok {
		return 0
	}
	halvings := min(int64(now.Sub(o.at)/waitTTL), 62)
	if wait := o.wait >> max(0, halvings); wait >= minWait {
		return wait
	}
	return 0
}

// Observe records how long a request waited in a pool, and whether it got a slot.
func (c *Chooser) Observe(pool string, wait time.Duration, granted bool, now time.Time) {
	if !granted {
		wait = max(wait, refusedWait)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waits) >= maxObserved {
		clear(c.waits)
	}
	recent := c.wait(pool, now)
	c.waits[pool] = observed{recent + time.Duration(waitWeight*float64(wait-recent)), now}
}
