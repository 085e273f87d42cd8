package dispatch

import (
	"slices"
	"time"
)

const (
	// slowLatencyFactor is the multiple of the warm latency above which a
	// response can count as slow.
	slowLatencyFactor = 3
	// slowDeviations is the number of mean deviations above the warm latency
	// beyond which a response can count as slow. With 6, a server with
	// exponentially distributed latency has 1 slow response in 200, and 3 slow
	// responses among 5 with a probability of less than 1 in a million.
	slowDeviations = 6
	// A warm server counts as cold again when minSlowResponses of the last
	// slowWindow responses were slow: 3 of the last 5. A request that has run
	// for longer than the slow threshold counts as a slow response.
	slowWindow       = 5
	minSlowResponses = 3
	// A warm server also counts as cold again after minFailures refusals or
	// errors among the last failureWindow results. A single failure is not
	// enough because it can have many other causes.
	minFailures   = 2
	failureWindow = 8
	// stepSamplesPerSlot is the number of responses per permitted concurrent
	// request that complete one step of the ramp.
	stepSamplesPerSlot = 4
	// The latency has reached a plateau at the current limit when the median
	// of plateauSamples responses fell by less than the fraction plateauGain
	// against the previous window in plateauWindows consecutive windows.
	// Several windows are needed so that a slow warm-up is not taken for a
	// plateau.
	plateauSamples = 32
	plateauGain    = 0.05
	plateauWindows = 2
	// minBackoff and maxBackoff bound the exponential backoff after refusals
	// and errors during the ramp.
	minBackoff = 10 * time.Millisecond
	maxBackoff = time.Second
	// warmLatencyGain is the weight of a new response in the moving averages
	// of the warm latency and its deviation.
	warmLatencyGain = 1.0 / 64
)

// Ramp limits the concurrency of a server that starts cold. The limit starts at
// 1 and follows the latency of the responses: a server at 1/n of its warm speed
// gets 1/n of its slots. Ramp starts no goroutines, reads no clock and is not
// safe for concurrent use.
type Ramp struct {
	slots int
	limit int
	cold  bool
	// limitChangedAt is the time of the last change of the limit. Requests sent
	// before it are not samples of the current step.
	limitChangedAt time.Time
	samples        []time.Duration
	plateau        plateau
	// warmLatency is the latency of the warm server, or 0 while unknown.
	// latencyDeviation is its mean deviation.
	warmLatency, latencyDeviation time.Duration
	slowResponses                 [slowWindow]bool    // ring buffer
	failures                      [failureWindow]bool // ring buffer
	slowIndex                     int
	failureIndex                  int
	backoff                       time.Duration
	pausedUntil                   time.Time
	running                       map[Ticket]time.Time
}

// NewRamp returns the ramp of a server that starts cold. If warmLatency is 0,
// the ramp learns it from the latency of the plateau at the full limit.
func NewRamp(slots int, warmLatency time.Duration, now time.Time) *Ramp {
	r := &Ramp{slots: max(slots, 1), warmLatency: warmLatency, running: make(map[Ticket]time.Time)}
	r.Start(now)
	return r
}

// Start marks the server as cold and begins a new ramp with a limit of 1.
func (r *Ramp) Start(now time.Time) {
	r.cold = true
	r.slowResponses, r.failures = [slowWindow]bool{}, [failureWindow]bool{}
	r.plateau, r.limitChangedAt = plateau{}, now
	r.setLimit(now, 1)
}

// Limit returns the number of requests that may run at the same time.
func (r *Ramp) Limit() int { return r.limit }

// Cold reports whether the ramp is still in progress.
func (r *Ramp) Cold() bool { return r.cold }

// PausedUntil returns the end of the current backoff. No request may be sent
// before it.
func (r *Ramp) PausedUntil() time.Time { return r.pausedUntil }

// Sent records that a small request was sent at now.
func (r *Ramp) Sent(t Ticket, now time.Time) { r.running[t] = now }

// Ended records that a small request got its response head or was abandoned, so
// that Tick no longer considers it overdue.
func (r *Ramp) Ended(t Ticket) { delete(r.running, t) }

// Response records a response other than a failure. During the ramp it is a sample
// of the current step; afterwards it updates the warm latency or counts as
// slow, which can start a new ramp.
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

// Abandoned records a request that was abandoned after the time elapsed. It
// counts as a slow response if elapsed exceeds the slow threshold, and is
// ignored otherwise, as it shows nothing about the server.
func (r *Ramp) Abandoned(now, started time.Time, elapsed time.Duration) {
	if r.warmLatency > 0 && elapsed > r.slowThreshold() {
		r.Response(now, started, elapsed)
	}
}

// Failure records a refusal or an error of the server. During the ramp it halves
// the limit and starts a backoff, unless the request was sent before the limit
// last changed. Afterwards, repeated failures start a new ramp.
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

// Tick starts a new ramp when too many recent responses were slow or running
// requests are overdue. Counting overdue requests detects a server that turned
// cold before all of its slow responses have arrived.
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

// addSample adds a response to the current step and completes the step when it
// has enough samples.
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

// step sets the limit for the next step from the median latency of the completed
// one, or finishes the ramp. The limit falls to the sustainable concurrency in one
// step but rises by 1 per step. At a plateau it rises regardless of the latency;
// while the warm latency is unknown, it rises only at a plateau.
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

// sustainable returns the concurrency that a server with this median latency
// can sustain, from 1 to the number of slots.
func (r *Ramp) sustainable(median time.Duration) int {
	n := int(float64(r.slots) * float64(r.warmLatency) / float64(max(median, 1)))
	return min(max(n, 1), r.slots)
}

// plateau detects that the latencies at one limit have stopped falling.
type plateau struct {
	samples     []time.Duration
	lastMedian  time.Duration
	flatWindows int
}

// add records a latency and reports whether the plateau is reached.
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

// finish marks the server as warm. After a plateau, or when the warm latency was
// unknown, the median becomes the warm latency, and half of it the deviation.
func (r *Ramp) finish(median time.Duration, plateaued bool) {
	if r.warmLatency == 0 || plateaued {
		r.warmLatency, r.latencyDeviation = median, median/2
	}
	r.samples, r.plateau = r.samples[:0], plateau{}
	r.cold = false
	r.slowResponses, r.failures = [slowWindow]bool{}, [failureWindow]bool{}
}
