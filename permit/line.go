package permit

import (
	"math"
	"time"
)

const (
	// arrivalMemory is the time constant of the rate of arrivals: some requests
	// of a single server, and shorter than most deadlines.
	arrivalMemory = time.Second
	// lateShare is the least part of a pool's pace that is expected to be left
	// for late requests: arrivals scatter, so that prompt ones leave gaps even
	// when there are more of them than the servers can do.
	lateShare = 0.1
)

// arrivals is the rate of requests, averaged over arrivalMemory.
type arrivals struct {
	rate float64
	last time.Time
}

// add counts a request.
func (a *arrivals) add(now time.Time) {
	a.rate = a.perSecond(now) + 1/arrivalMemory.Seconds()
	a.last = now
}

// perSecond returns the rate at now.
func (a *arrivals) perSecond(now time.Time) float64 {
	if a.last.IsZero() {
		return 0
	}
	return a.rate * math.Exp(-max(0, now.Sub(a.last).Seconds())/arrivalMemory.Seconds())
}

// line describes how fast the queue of a pool moves.
type line struct {
	// perSecond is the number of requests that the servers which answer begin
	// in a second, and free those that they could begin at once.
	perSecond, free float64
	// late is the part of perSecond that is left for late requests.
	late float64
}

func (p *Pool) line(now time.Time) line {
	var l line
	for _, s := range p.servers {
		if s.stalled(now) {
			continue
		}
		l.perSecond += s.pace(now)
		l.free += s.free(now)
	}
	l.late = max(l.perSecond-p.arrivals.perSecond(now), lateShare*l.perSecond)
	return l
}

// wait returns the time until a request behind n others starts; false when no
// server answers. Late requests wait for what others leave.
func (l line) wait(late bool, n int) (time.Duration, bool) {
	if l.perSecond <= 0 {
		return 0, false
	}
	pace := l.perSecond
	if late {
		pace = l.late
	}
	behind := max(0, float64(n+1)-l.free)
	return time.Duration(behind / pace * float64(time.Second)), true
}
