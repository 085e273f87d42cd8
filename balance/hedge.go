package balance

import (
	"slices"
	"time"
)

const (
	// HedgeShare is the maximum fraction of idempotent requests that are
	// hedged.
	HedgeShare = 0.05
	// maxHedgeCredit caps the hedging budget, and with it the burst of hedges
	// after a period without any.
	maxHedgeCredit = 20
	// hedgeQuantile is the latency quantile after which a request is hedged.
	hedgeQuantile = 0.95
	// hedgeWindow is the number of most recent latencies from which the
	// quantile is computed, once every hedgeRefresh responses.
	hedgeWindow  = 256
	hedgeRefresh = 16
	// maxFailureRate is the fraction of failed requests above which no request
	// is hedged: in an outage, hedges only add load. failureRateGain is the
	// weight of a request in the moving average.
	maxFailureRate  = 0.05
	failureRateGain = 1.0 / 32
)

// hedge holds the latency quantile, the hedging budget (credit) and the failure
// rate of a pool.
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

// HedgeDelay adds the budget of one idempotent request and returns the time without
// a response after which the caller may ask for a hedge. It returns false as long
// as too few latencies are known. A probe is expected to be slow and may be hedged
// at once.
func (p *Pool) HedgeDelay(first InFlight) (time.Duration, bool) {
	h := &p.hedge
	h.credit = min(h.credit+HedgeShare, maxHedgeCredit)
	if first.probe {
		return 0, h.p95 > 0
	}
	return h.p95, h.p95 > 0
}

// TakeHedge reports whether a hedge may be sent now and, if so, takes it from the
// budget. Half of the maximum credit is reserved for probes and for requests that
// have waited at least twice the quantile. Requests just above the quantile use up
// the budget even in normal operation, and without the reserve none would be left
// when a server becomes slow. A caller that is refused may ask again after another
// HedgeDelay.
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
