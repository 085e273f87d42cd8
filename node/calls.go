package node

import (
	"sync"
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/metric"
)

// callsInterval is the time between two log lines about calls to the store.
const callsInterval = 10 * time.Second

// slowCall is the time from which a call to the store is logged as slow: the
// platform's pages state 4 ms.
const slowCall = 100 * time.Millisecond

// storeCalls counts the calls to the store, which are priced. It is safe for
// concurrent use.
type storeCalls struct {
	metrics *metric.Set
	log     *declog.Log

	mu     sync.Mutex
	counts map[string]int
	told   time.Time
}

func (c *storeCalls) count(method, kind string, took time.Duration) {
	name := method + " " + kind
	c.metrics.Count("store_calls", "call", name)
	c.metrics.StoreCall(took)
	if took > slowCall && c.log != nil {
		c.log.Event("store_slow").Str("call", name).Dur("took_ms", took).Send()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	c.counts[name]++
}

// tell logs the calls since the last line.
func (c *storeCalls) tell(log *declog.Log) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Boot()
	if now.Sub(c.told) < callsInterval || len(c.counts) == 0 {
		return
	}
	c.told = now
	e := log.Event("store_calls")
	for name, n := range c.counts {
		e = e.Int(name, n)
	}
	e.Send()
	clear(c.counts)
}
