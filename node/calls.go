package node

import (
	"sync"
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/metric"
)

// callLogInterval is the interval between two log lines with the counts of store
// calls.
const callLogInterval = 10 * time.Second

// slowCallThreshold is the duration above which a store call is logged as slow.
// The platform's documentation states 4 ms per call.
const slowCallThreshold = 100 * time.Millisecond

// storeCallCounter counts the calls to the store, because the platform charges
// for them. It is safe for concurrent use.
type storeCallCounter struct {
	metrics *metric.Set
	log     *declog.Log

	mu         sync.Mutex
	counts     map[string]int
	lastLogged time.Time
}

func (c *storeCallCounter) count(method, kind string, took time.Duration) {
	name := method + " " + kind
	c.metrics.Count("store_calls", "call", name)
	c.metrics.RecordStoreCall(took)
	if took > slowCallThreshold && c.log != nil {
		c.log.Event("store_slow").Str("call", name).Dur("took_ms", took).Send()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	c.counts[name]++
}

// logCounts logs and resets the counts if callLogInterval has passed since the
// last log line.
func (c *storeCallCounter) logCounts(log *declog.Log) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Boot()
	if now.Sub(c.lastLogged) < callLogInterval || len(c.counts) == 0 {
		return
	}
	c.lastLogged = now
	e := log.Event("store_calls")
	for name, n := range c.counts {
		e = e.Int(name, n)
	}
	e.Send()
	clear(c.counts)
}
