package dispatch

import (
	"slices"
	"time"
)

const (
	// slowLatencyFactor is how many times its warm latency a response of a cold
	// server takes.
	slowLatencyFactor = 3
	// slowDeviations is how many mean deviations above the warm latency a
	// response may take. At 6, one response in 200 of a server with
	// exponentially distributed latency counts as slow, and three of five in
	// less than 1 in a million.
	slowDeviations = 6
	// slowWindow and slowInWindow: the server turned cold when 3 of the last 5
	// responses, counting those overdue, were slow.
	slowWindow       = 5
	minSlowResponses = 3
	// minFailures refusals or errors in the last troubleWindow responses
	// also mean that it turned cold. A single one has many causes.
	minFailures   = 2
	failureWindow = 8
	// stepSamplesPerSlot is how many responses per slot a step of the ramp needs.
	stepSamplesPerSlot = 4
	// plateauSamples responses are compared with as many before them; when the
	// median fell by less than plateauGain in plateauWindows of them, the
	// server gets no warmer at this limit. A server that warms up slowly must
	// not look like that.
	plateauSamples = 32
	plateauGain    = 0.05
	plateauWindows = 2
	// minBackoff and maxPause bound the delay after refusals during the ramp.
	minBackoff = 10 * time.Millisecond
	maxBackoff = time.Second
	// warmLatencyGain is the weight of a response in the warm latency.
	warmLatencyGain = 1.0 / 64
)

// Ramp limits the concurrency of a server that starts cold. It raises the limit
// from 1 as far as the latency of the responses shows that the server can do
// the work: a server at 1/n of its warm speed gets 1/n of its slots. It is pure
// and not safe for concurrent use.
type Ramp struct {
	slots int
	limit int
	cold  bool
	// limitChangedAt is when the limit changed last; only requests sent after it are
	// samples of the current step.
	limitChangedAt time.Time
	samples        []time.Duration
	plateau        plateau
	// warmLatency is the latency of the warmLatency server, 0 when not known yet; latencyDeviation
	// is its mean latencyDeviation.
	warmLatency, latencyDeviation time.Duration
	slowResponses                 [slowWindow]bool // slow
	failures                      [failureWindow]bool
	slowIndex                     int
	failureIndex                  int
	backoff                       time.Duration
	pausedUntil                   time.Time
	running                       map[Ticket]time.Time
}

// NewRamp returns the ramp of a server that starts cold. warm may be 0.
func NewRamp(slots int, warmLatency time.Duration, now time.Time) *Ramp {
	r := &Ramp{slots: max(slots, 1), warmLatency: warmLatency, running: make(map[Ticket]time.Time)}
	r.Start(now)
	return r
}

// Start begins the ramp at 1 slot.
func (r *Ramp) Start(now time.Time) {
	r.cold = true
	r.slowResponses, r.failures = [slowWindow]bool{}, [failureWindow]bool{}
	r.plateau, r.limitChangedAt = plateau{}, now
	r.setLimit(now, 1)
}

// Limit returns the number of requests that may run.
func (r *Ramp) Limit() int { return r.limit }

// Cold reports that the ramp is under way.
func (r *Ramp) Cold() bool { return r.cold }

// PausedUntil returns the time before which nothing is sent.
func (r *Ramp) PausedUntil() time.Time { return r.pausedUntil }

// Sent records that a small request was sent.
func (r *Ramp) Sent(t Ticket, now time.Time) { r.running[t] = now }

// Ended records that a small request has its response or was given up.
func (r *Ramp) Ended(t Ticket) { delete(r.running, t) }

// Response records a response.
func (r *Ramp) Response(now, started time.Time, latency time.Duration) {
	r.record(&r.failureIndex, r.failures[:], false)
	if r.cold {
		r.backoff = 0
		r.addSample(now, started, latency)
		return
	}
	slow := latency > r.slowThreshold()
	r.record(&r.slowIndex, r.slowResponses[:], slow)
	if !slow {
		r.updateWarmLatency(latency)
	}
	r.Tick(now)
}

// Abandoned records a request that was given up after took.
func (r *Ramp) Abandoned(now, started time.Time, elapsed time.Duration) {
	if r.warmLatency > 0 && elapsed > r.slowThreshold() {
		r.Response(now, started, elapsed)
	}
}

// Failure records a refusal or an error.
func (r *Ramp) Failure(now, started time.Time) {
	r.record(&r.failureIndex, r.failures[:], true)
	switch {
	case !r.cold:
		if countTrue(r.failures[:]) >= minFailures {
			r.Start(now)
		}
	case !started.Before(r.limitChangedAt):
		r.backoff = min(max(2*r.backoff, minBackoff), maxBackoff)
		r.pausedUntil = now.Add(r.backoff)
		r.setLimit(now, max(r.limit/2, 1))
	}
}

// Tick looks for requests that are overdue, so that a server that turned cold
// is noticed by its first slow response and the age of the others.
func (r *Ramp) Tick(now time.Time) {
	if r.cold {
		return
	}
	slow := countTrue(r.slowResponses[:])
	for _, sent := range r.running {
		if now.Sub(sent) > r.slowThreshold() {
			slow++
		}
	}
	if slow >= minSlowResponses {
		r.Start(now)
	}
}

func (r *Ramp) record(index *int, ring []bool, v bool) {
	ring[*index%len(ring)] = v
	*index++
}

func countTrue(ring []bool) (n int) {
	for _, v := range ring {
		if v {
			n++
		}
	}
	return n
}

func (r *Ramp) slowThreshold() time.Duration {
	return max(slowLatencyFactor*r.warmLatency, r.warmLatency+slowDeviations*r.latencyDeviation)
}

func (r *Ramp) updateWarmLatency(latency time.Duration) {
	d := latency - r.warmLatency
	r.warmLatency += time.Duration(warmLatencyGain * float64(d))
	r.latencyDeviation += time.Duration(warmLatencyGain * float64(max(d, -d)-r.latencyDeviation))
}

func (r *Ramp) setLimit(now time.Time, limit int) {
	if limit != r.limit {
		r.limit, r.limitChangedAt, r.plateau = limit, now, plateau{}
	}
	r.samples = r.samples[:0]
}

// addSample collects the responses of a step and ends the step when they suffice.
func (r *Ramp) addSample(now, started time.Time, latency time.Duration) {
	if started.Before(r.limitChangedAt) {
		return
	}
	r.samples = append(r.samples, latency)
	plateaued := r.plateau.add(latency)
	if len(r.samples) < stepSamplesPerSlot*r.limit {
		return
	}
	slices.Sort(r.samples)
	r.step(now, r.samples[len(r.samples)/2], plateaued)
}

// step ends a step of the ramp: the server bears what its latency shows. When
// that gets no better, or the warm latency is not known, one more is tried.
func (r *Ramp) step(now time.Time, median time.Duration, plateaued bool) {
	limit := 1
	if r.warmLatency > 0 {
		limit = r.sustainable(median)
	}
	if limit >= r.slots && r.limit == r.slots || plateaued && r.limit == r.slots {
		r.finish(median, plateaued)
		return
	}
	switch {
	case plateaued, limit > r.limit:
		r.setLimit(now, r.limit+1)
	case r.warmLatency > 0:
		r.setLimit(now, limit)
	default:
		r.setLimit(now, r.limit)
	}
}

// sustainable returns how many requests a server with this latency can run.
func (r *Ramp) sustainable(median time.Duration) int {
	n := int(float64(r.slots) * float64(r.warmLatency) / float64(max(median, 1)))
	return min(max(n, 1), r.slots)
}

// plateau notices that latencies have stopped falling.
type plateau struct {
	samples     []time.Duration
	lastMedian  time.Duration
	flatWindows int
}

func (p *plateau) add(latency time.Duration) bool {
	p.samples = append(p.samples, latency)
	if len(p.samples) == plateauSamples {
		slices.Sort(p.samples)
		median := p.samples[plateauSamples/2]
		p.flatWindows++
		if p.lastMedian == 0 || float64(median) < (1-plateauGain)*float64(p.lastMedian) {
			p.flatWindows = 0
		}
		p.lastMedian, p.samples = median, p.samples[:0]
	}
	return p.flatWindows >= plateauWindows
}

// finish ends the ramp.
func (r *Ramp) finish(median time.Duration, plateaued bool) {
	if r.warmLatency == 0 || plateaued {
		r.warmLatency, r.latencyDeviation = median, median/2
	}
	r.samples, r.plateau = r.samples[:0], plateau{}
	r.cold = false
	r.slowResponses, r.failures = [slowWindow]bool{}, [failureWindow]bool{}
}
