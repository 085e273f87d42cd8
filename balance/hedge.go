package balance

import (
	"slices"
	"time"
)

const (
	// HedgeShare is the greatest part of the idempotent requests that is
	// hedged.
	HedgeShare = 0.05
	// maxHedgeCredit bounds the hedges sent at once after a quiet time.
	maxHedgeCredit = 20
	// hedgeQuantile is the latency after which a request is hedged.
	hedgeQuantile = 0.95
	// hedgeWindow is the number of latencies that the quantile is taken from,
	// computed anew every hedgeRefresh responses.
	hedgeWindow  = 256
	hedgeRefresh = 16
	// maxFailureRate is the part of failed requests above which nothing is hedged:
	// in an outage, hedges only add load.
	maxFailureRate  = 0.05
	failureRateGain = 1.0 / 32
)

// hedge holds the latency quantile and the budget.
type hedge struct {
	window      [hedgeWindow]time.Duration
	observed    int
	sorted      []time.Duration
	p95         time.Duration
	credit      float64
	failureRate float64
}

func (h *hedge) observe(took time.Duration) {
	h.window[h.observed%hedgeWindow] = took
	h.observed++
	if h.observed%hedgeRefresh != 0 {
		return
	}
	h.sorted = append(h.sorted[:0], h.window[:min(h.observed, hedgeWindow)]...)
	slices.Sort(h.sorted)
	h.p95 = h.sorted[int(hedgeQuantile*float64(len(h.sorted)-1))]
}

func (h *hedge) recordResult(failed bool) {
	v := 0.0
	if failed {
		v = 1
	}
	h.failureRate += failureRateGain * (v - h.failureRate)
}

// HedgeDelay counts an idempotent request and returns after how long without a
// response a second one may be sent, or false when latencies are not known yet.
// A probe is expected to be slow and is hedged at once.
func (p *Pool) HedgeDelay(first InFlight) (time.Duration, bool) {
	h := &p.hedge
	h.credit = min(h.credit+HedgeShare, maxHedgeCredit)
	if first.probe {
		return 0, h.p95 > 0
	}
	return h.p95, h.p95 > 0
}

// TakeHedge reports whether a second request may be sent now and takes it from
// the budget. Half of the credit is kept for probes and for requests that have
// waited twice the quantile: requests just above it use the budget up at all
// times, and none would be left when a server becomes slow. A caller that is
// refused asks again when HedgeAfter has passed once more.
func (p *Pool) TakeHedge(now time.Time, first InFlight) bool {
	h := &p.hedge
	need := 1.0
	if late := now.Sub(first.sentAt) >= 2*h.p95; !late && !first.probe {
		need += maxHedgeCredit / 2
	}
	if h.failureRate > maxFailureRate || h.credit < need || len(p.servers) < 2 {
		return false
	}
	h.credit--
	return true
}
