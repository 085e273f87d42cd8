package node

import (
	"fmt"
	"runtime/debug"
	"time"

	"godwitlock.example/godwitlock/membudget"
)

// memoryBurstGap is the time without a refusal after which a burst of refusals for lack
// of memory has ended.
const memoryBurstGap = 5 * time.Second

func (n *Node) registerMemoryGauges() {
	n.metrics.Gauge("collector_limit_bytes", func() float64 { return float64(debug.SetMemoryLimit(-1)) })
	n.metrics.Gauge("caller_memory_limit_bytes", func() float64 { return float64(n.memory.Limit()) })
	for _, p := range membudget.Purposes() {
		n.metrics.Gauge(fmt.Sprintf("caller_memory_bytes{purpose=%q}", p), func() float64 { return float64(n.memory.Held(p)) })
	}
	for _, c := range membudget.Classes() {
		n.metrics.Gauge(fmt.Sprintf("caller_memory_refusals{class=%q}", c), func() float64 { return float64(n.memory.Refused(c)) })
	}
	n.metrics.Gauge("caller_connections_refused_for_memory", func() float64 { return float64(n.ingress.RefusedConnections()) })
	n.metrics.Gauge("caller_connections_evicted_for_memory", func() float64 { return float64(n.ingress.Evictions()) })
}

// memoryRefusals are counters since the start of the process.
type memoryRefusals struct {
	connections, heads, further, begun, evicted int64
}

func (n *Node) memoryRefusals() memoryRefusals {
	return memoryRefusals{
		connections: n.ingress.RefusedConnections(), heads: n.memory.Refused(membudget.NewHead),
		further: n.memory.Refused(membudget.FurtherRequest), begun: n.memory.Refused(membudget.Begun),
		evicted: n.ingress.Evictions(),
	}
}

// memoryLog logs the beginning and the end of each burst of refusals for lack of memory.
// Only one goroutine may use it.
type memoryLog struct {
	before, last memoryRefusals
	since, until time.Time
}

func (l *memoryLog) tick(n *Node, now time.Time) {
	counts := n.memoryRefusals()
	switch {
	case counts != l.last && l.since.IsZero():
		l.since, l.until, l.before = now, now, l.last
		e := n.log.Event("memory_short").Int64("limit", n.memory.Limit())
		for _, p := range membudget.Purposes() {
			e.Int64(p.String(), n.memory.Held(p))
		}
		e.Send()
	case counts != l.last:
		l.until = now
	case !l.since.IsZero() && now.Sub(l.until) >= memoryBurstGap:
		n.log.Event("memory_enough").Dur("after_ms", l.until.Sub(l.since)).
			Int64("connections_refused", counts.connections-l.before.connections).
			Int64("heads_refused", counts.heads-l.before.heads).Int64("further_refused", counts.further-l.before.further).
			Int64("begun_refused", counts.begun-l.before.begun).Int64("evicted", counts.evicted-l.before.evicted).Send()
		l.since = time.Time{}
	}
	l.last = counts
}
