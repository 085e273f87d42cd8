package permit

import (
	"math"
	"time"
)

const (
	// arrivalTimeConstant is the time constant of the averaged arrival rate. It
	// spans several requests of a single server and is shorter than most
	// deadlines.
	arrivalTimeConstant = time.Second
	// minLateShare is the minimum fraction of a pool's start rate that is
	// assumed to remain for late requests. Arrivals are irregular, so prompt
	// requests leave gaps even when they exceed the servers' capacity.
	minLateShare = 0.1
	// promptMargin is how many mean deviations before the latest prompt start of
	// average work a request whose work is known must start to count as prompt.
	promptMargin = 0.5
	// knownLateShare is minLateShare for requests whose work is known. Their estimated
	// wait is closer, so fewer of them are refused later.
	knownLateShare = 0.2
	// sweepTolerance multiplies the estimated wait of a queued prompt request. The
	// estimate varies from sweep to sweep, and a request that was put last stays there.
	sweepTolerance = 0.9
)

// arrivalRate is the rate of arriving requests, exponentially averaged with the
// time constant arrivalTimeConstant.
type arrivalRate struct {
	rate float64
	last time.Time
}

// add counts a request that arrived at now.
func (a *arrivalRate) add(now time.Time) {
	a.rate = a.perSecond(now) + 1/arrivalTimeConstant.Seconds()
	a.last = now
}

// perSecond returns the rate at now, in requests per second.
func (a *arrivalRate) perSecond(now time.Time) float64 {
	if a.last.IsZero() {
		return 0
	}
	return a.rate * math.Exp(-max(0, now.Sub(a.last).Seconds())/arrivalTimeConstant.Seconds())
}

// throughput is the rate at which a pool can start queued requests.
type throughput struct {
	// perSecond is the number of requests per second that the servers that are
	// not stalled can start; freeSlots is the number that they could start
	// immediately.
	perSecond, freeSlots float64
	// latePerSecond is the part of perSecond that is left for late requests.
	latePerSecond float64
}

func (p *Pool) throughput(now time.Time) throughput {
	var t throughput
	for _, s := range p.servers {
		if s.stalled(now) {
			continue
		}
		t.perSecond += s.startRate(now)
		t.freeSlots += s.freeSlots(now)
	}
	t.latePerSecond = max(t.perSecond-p.arrivalRate.perSecond(now), minLateShare*t.perSecond)
	return t
}

// wait returns the estimated time until a request with n others ahead of it
// starts. It returns false if every server is stalled. Late requests get only the
// capacity that prompt requests leave.
func (t throughput) wait(late bool, n int) (time.Duration, bool) {
	if t.perSecond <= 0 {
		return 0, false
	}
	startRate := t.perSecond
	if late {
		startRate = t.latePerSecond
	}
	excess := max(0, float64(n+1)-t.freeSlots)
	return time.Duration(excess / startRate * float64(time.Second)), true
}

// workTime returns the time that the servers take for work at a rate in seconds of
// work per second.
func (p *Pool) workTime(work time.Duration, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(work) / perSecond)
}

// promptWait returns the estimated time until a prompt request starts that has work
// ahead of it. More urgent requests that arrive meanwhile precede it. On average, half of
// the time between two free slots has passed already.
func (p *Pool) promptWait(now time.Time, r Request, ahead time.Duration) time.Duration {
	left := max(p.pace.workPerSecond-p.kinds.overtaking(now, r.Priority), minLateShare*p.pace.workPerSecond)
	return p.workTime(ahead+r.Work.Mean/2, left)
}

// lateWait returns the estimated time until a late request starts that has work ahead
// of it. It gets only the capacity that arriving requests leave.
func (p *Pool) lateWait(now time.Time, r Request, ahead time.Duration) time.Duration {
	left := max(p.pace.workPerSecond-p.kinds.arriving(now), knownLateShare*p.pace.workPerSecond)
	return p.workTime(ahead+r.Work.Mean, left)
}
