package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/load"
	"godwitlock.example/godwitlock/topo"
)

// Guards against metrics that do not match the records they are computed from.
func TestMeasures(t *testing.T) {
	rec := &Recording{
		KeyedServers: 2, Steady: Span{at(0), at(1000)}, Slowed: Span{at(2000), at(3000)},
		Transitions: []Span{{at(1000), at(2000)}}, Prober: prober, Flooder: flooder,
		Rates: map[topo.CustomerID]Rate{"c": {PerSecond: 1, Burst: 1}},
	}
	rec.Executions = []Execution{
		newExecution("s1", "", 10, 20), newExecution("s1", "", 30, 40), newExecution("s1", "", 50, 60), newExecution("s2", "", 500, 510),
		newExecution("s1", "", 1500, 1510),
	}
	add := func(customer topo.CustomerID, from, to, status int) *load.Record {
		c := successfulCall()
		c.Customer, c.Intended, c.Sent, c.Done, c.Status = customer, at(from), at(from), at(to), status
		rec.Calls = append(rec.Calls, c)
		return &rec.Calls[len(rec.Calls)-1]
	}
	add("c", 0, 10, 200)
	add("c", 1100, 1110, 200)
	add("c", 1900, 1910, 429).Error = "rate_exceeded" // bucket holds 0.8 tokens: not within the rate
	add("c", 2200, 2240, 429).Error = "rate_exceeded" // bucket would hold 1.1 tokens, capped at the burst of 1: within the rate
	add(prober, 0, 10, 200)
	add(prober, 100, 110, 503)
	add(prober, 200, 210, 503)
	add(prober, 300, 350, 200)

	m := Measure(rec)
	require.InDelta(t, 1.5, m.Imbalance, 1e-9) // 3 of 4 executions on one of two servers
	require.InDelta(t, 2, m.Churn, 1e-9)
	require.InDelta(t, 250, m.UnavailableMS, 1e-9)
	require.InDelta(t, 0.5, m.DataCentreSuccess, 1e-9)
	require.InDelta(t, 40, m.SlowedP50MS, 0.1)
	require.InDelta(t, 0.5, m.WorstSuccess, 1e-9)
	require.InDelta(t, 40, m.WorstP99MS, 0.1)
	require.InDelta(t, 1.0/3, m.RefusedWithinRate, 1e-9)
}

// Guards against counting a key as available when all its probes fail until the end
// of the run.
func TestUnavailableUntilTheEnd(t *testing.T) {
	rec := &Recording{Prober: prober}
	for i := range 3 {
		c := successfulCall()
		c.ID, c.Customer, c.Status = fmt.Sprint(i), prober, 503
		c.Intended, c.Done = at(i*1000), at(i*1000+1)
		rec.Calls = append(rec.Calls, c)
	}
	require.Equal(t, 2001*time.Millisecond, longestUnavailability(rec))
}
