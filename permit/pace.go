package permit

import (
	"time"

	"godwitlock.example/godwitlock/topo"
)

const (
	// paceWeight is the weight of a response in the moving average of a server's
	// slowness. A server that slows down for some hundred milliseconds several times a
	// second has an average slowness, which counts.
	paceWeight = 0.05
	// minSlowness and maxSlowness bound the slowness of a server, so that one estimate
	// that is far off does not make its pool refuse everything.
	minSlowness, maxSlowness = 0.25, 8.0
)

// pace is how long work takes at the servers of a pool, and the work that they can do.
// It serves the requests whose work is known.
type pace struct {
	// slowness holds, by server, the time of responses relative to the expected work.
	slowness map[topo.ServerID]float64
	// measuredAt is when the figures below were computed: at most once in
	// sweepInterval, so that a decision does not depend on the number of servers.
	measuredAt time.Time
	valid      bool
	// workPerSecond is the expected work that the servers that are not stalled can do,
	// in seconds per second, and mean their mean slowness, by capacity.
	workPerSecond, mean float64
	// typical is the average expected work of the requests that were granted.
	typical time.Duration
}

func newPace() pace {
	return pace{slowness: make(map[topo.ServerID]float64), typical: initialServiceTime}
}

// of returns the slowness of a server.
func (p *pace) of(id topo.ServerID) float64 {
	if s, ok := p.slowness[id]; ok {
		return s
	}
	return 1
}

// record adds the time of a response to work that was expected to take work.
func (p *pace) record(id topo.ServerID, work, took time.Duration) {
	if work <= 0 || took <= 0 {
		return
	}
	s := p.of(id)
	s += paceWeight * (min(max(took.Seconds()/work.Seconds(), minSlowness), maxSlowness) - s)
	p.slowness[id] = s
}

// measure computes the figures of the pool if they are older than sweepInterval.
func (p *Pool) measure(now time.Time) {
	if p.pace.valid && now.Sub(p.pace.measuredAt) < sweepInterval {
		return
	}
	p.pace.valid, p.pace.measuredAt = true, now
	var work, slots float64
	for _, s := range p.servers {
		if s.stalled(now) {
			continue
		}
		n := float64(s.slots())
		rate := n / p.pace.of(s.ID)
		if s.isCold(now) {
			rate = min(rate, s.ColdRate*p.pace.typical.Seconds())
		}
		work += rate
		slots += n
	}
	p.pace.workPerSecond, p.pace.mean = work, 1
	if work > 0 {
		p.pace.mean = min(max(slots/work, minSlowness), maxSlowness)
	}
}
