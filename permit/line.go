package permit

import (
	"math"
	"time"
)

const (
	// arrivalMemory is the time constant of the rate of arrivals: some requests
	// of a single server, and shorter than most deadlines.
	arrivalTimeConstant = time.Second
	// lateShare is the least part of a pool's pace that is expected to be left
	// for late requests: arrivals scatter, so that prompt ones leave gaps even
	// when there are more of them than the servers can do.
	minLateShare = 0.1
)

// arrivals is the rate of requests, averaged over arrivalMemory.
type arrivalRate struct {
	rate float64
	last time.Time
}

// add counts a request.
func (a *arrivalRate) add(now time.Time) {
	a.rate = a.perSecond(now) + 1/arrivalTimeConstant.Seconds()
	a.last = now
}

// perSecond returns the rate at now.
func (a *arrivalRate) perSecond(now time.Time) float64 {
	if a.last.IsZero() {
		return 0
	}
	return a.rate * math.Exp(-max(0, now.Sub(a.last).Seconds())/arrivalTimeConstant.Seconds())
}

// line describes how fast the queue of a pool moves.
type throughput struct {
	// perSecond is the number of requests that the servers which answer begin
	// in a second, and free those that they could begin at once.
	startsPerSecond, freeSlots float64
	// late is the part of perSecond that is left for late requests.
	lateStartsPerSecond float64
}

func (p *Pool) throughput(now time.Time) throughput {
	var t throughput
	for _, s := range p.servers {
		if s.stalled(now) {
			continue
		}
		t.startsPerSecond += s.startRate(now)
		t.freeSlots += s.freeSlots(now)
	}
	t.lateStartsPerSecond = max(t.startsPerSecond-p.arrivals.perSecond(now), minLateShare*t.startsPerSecond)
	return t
}

// wait returns the time until a request behind n others starts; false when no
// server answers. Late requests wait for what others leave.
func (t throughput) waitTime(late bool, n int) (time.Duration, bool) {
	if t.startsPerSecond <= 0 {
		return 0, false
	}
	startRate := t.startsPerSecond
	if late {
		startRate = t.lateStartsPerSecond
	}
	excess := max(0, float64(n+1)-t.freeSlots)
	return time.Duration(excess / startRate * float64(time.Second)), true
}
