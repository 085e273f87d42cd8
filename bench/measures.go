package bench

import (
	"slices"
	"time"

	"godwitlock.example/godwitlock/load"
	"godwitlock.example/godwitlock/topo"
)

// Measures are the metrics of docs/design.md section 1.2.
type Measures struct {
	// Imbalance is the number of executions on the busiest keyed server divided
	// by the mean over the keyed servers, before all faults.
	Imbalance float64 `json:"imbalance"`
	// Churn is the mean number of times that a key moved to another server, over
	// the keys with at least two executions.
	Churn float64 `json:"churn"`
	// UnavailableMS is the longest time in milliseconds from the intended send
	// time of a probe to the end of the next successful probe of the same key.
	UnavailableMS float64 `json:"unavailable_ms"`
	// DataCentreSuccess is the fraction of requests answered with status 200
	// after a data centre is taken out of service and after it returns, until
	// the next fault.
	DataCentreSuccess float64 `json:"data_centre_leave_return_success"`
	// SlowedP50MS and SlowedP99MS are latency quantiles of small requests, in
	// milliseconds, while some servers are slowed tenfold.
	SlowedP50MS float64 `json:"slowed_p50_ms"`
	SlowedP99MS float64 `json:"slowed_p99_ms"`
	// WorstSuccess is the lowest success rate of any customer over the whole
	// run and WorstP99MS the highest 99th percentile of the latency of small
	// requests. They exclude the prober and the customer that exceeds its rate
	// limit during the surge.
	WorstSuccess float64 `json:"worst_customer_success"`
	WorstP99MS   float64 `json:"worst_customer_p99_ms"`
	// RefusedWithinRate is the fraction of requests within the customers' rate
	// and burst that were refused with rate_exceeded.
	RefusedWithinRate float64 `json:"refused_within_rate"`
}

// Measure computes the metrics of a run from its records.
func Measure(rec *Recording) Measures {
	var m Measures
	m.Imbalance = imbalance(rec)
	m.Churn = churn(rec)
	m.UnavailableMS = milliseconds(longestUnavailability(rec))
	var inTransition, slowed []load.Record
	customers := map[topo.CustomerID][]load.Record{}
	for _, c := range rec.Calls {
		if c.Repeat || c.Customer == rec.Prober || c.Customer == rec.Flooder {
			continue
		}
		for _, s := range rec.Transitions {
			if s.contains(c.Intended) {
				inTransition = append(inTransition, c)
			}
		}
		customers[c.Customer] = append(customers[c.Customer], c)
		if rec.Slowed.contains(c.Intended) && !c.Kind.Large {
			slowed = append(slowed, c)
		}
	}
	m.DataCentreSuccess = successRate(inTransition)
	m.SlowedP50MS, m.SlowedP99MS = latencyQuantileMS(slowed, 50), latencyQuantileMS(slowed, 99)
	m.WorstSuccess = 1
	for _, list := range customers {
		m.WorstSuccess = min(m.WorstSuccess, successRate(list))
		m.WorstP99MS = max(m.WorstP99MS, latencyQuantileMS(smallRequests(list), 99))
	}
	m.RefusedWithinRate = refusedWithinRate(rec)
	return m
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func smallRequests(list []load.Record) []load.Record {
	var s []load.Record
	for _, c := range list {
		if !c.Kind.Large {
			s = append(s, c)
		}
	}
	return s
}

func successRate(list []load.Record) float64 {
	if len(list) == 0 {
		return 0
	}
	ok := 0
	for i := range list {
		if list[i].OK() {
			ok++
		}
	}
	return float64(ok) / float64(len(list))
}

func latencyQuantileMS(list []load.Record, q float64) float64 {
	return float64(load.Histogram(list).ValueAtQuantile(q)) / 1000
}

func imbalance(rec *Recording) float64 {
	counts := map[topo.ServerID]int{}
	total, maxCount := 0, 0
	for i := range rec.Executions {
		if e := &rec.Executions[i]; e.Keyed && rec.Steady.contains(e.Start) {
			counts[e.Server]++
			total++
			maxCount = max(maxCount, counts[e.Server])
		}
	}
	if total == 0 {
		return 0
	}
	return float64(maxCount) * float64(rec.KeyedServers) / float64(total)
}

func churn(rec *Recording) float64 {
	changes, keys := 0, 0
	for _, list := range byKey(rec.Executions) {
		if len(list) < 2 {
			continue
		}
		keys++
		for i := range list[1:] {
			if list[i].Server != list[i+1].Server {
				changes++
			}
		}
	}
	if keys == 0 {
		return 0
	}
	return float64(changes) / float64(keys)
}

// longestUnavailability returns the longest time for which any probed key had no
// successful probe. A key without a later success counts as unavailable until the
// end of the run.
func longestUnavailability(rec *Recording) time.Duration {
	probes := map[string][]*load.Record{}
	var end time.Time
	for i := range rec.Calls {
		c := &rec.Calls[i]
		if c.Done.After(end) {
			end = c.Done
		}
		if c.Customer == rec.Prober {
			probes[c.Key] = append(probes[c.Key], c)
		}
	}
	longest := time.Duration(0)
	for _, list := range probes {
		for _, first := range list {
			servedAt := end
			for _, c := range list {
				if c.OK() && !c.Intended.Before(first.Intended) && c.Done.Before(servedAt) {
					servedAt = c.Done
				}
			}
			longest = max(longest, servedAt.Sub(first.Intended))
		}
	}
	return longest
}

// refusedWithinRate compares the admitted requests of each customer with those that
// a token bucket of its rate and burst would have admitted at their send times.
// For a customer that exceeds its limit, only the shortfall against the bucket
// counts.
func refusedWithinRate(rec *Recording) float64 {
	within, refused := 0.0, 0.0
	for id, rate := range rec.Rates {
		allowed, admitted := allowance(rec.Calls, id, rate)
		within += allowed
		refused += max(0, allowed-admitted)
	}
	if within == 0 {
		return 0
	}
	return refused / within
}

// allowance returns how many requests of a customer an initially full token bucket
// would have admitted and how many were not refused with rate_exceeded.
func allowance(calls []load.Record, id topo.CustomerID, rate Rate) (allowed, admitted float64) {
	var list []*load.Record
	for i := range calls {
		if c := &calls[i]; c.Customer == id && !c.Unsent {
			list = append(list, c)
			if c.Error != "rate_exceeded" {
				admitted++
			}
		}
	}
	sortBySent(list)
	tokens := rate.Burst
	for i, c := range list {
		if i > 0 {
			tokens = min(rate.Burst, tokens+rate.PerSecond*c.Sent.Sub(list[i-1].Sent).Seconds())
		}
		if tokens >= 1 {
			tokens--
			allowed++
		}
	}
	return allowed, admitted
}

func sortBySent(list []*load.Record) {
	slices.SortFunc(list, func(a, b *load.Record) int { return a.Sent.Compare(b.Sent) })
}
