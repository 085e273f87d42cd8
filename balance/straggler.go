package balance

import (
	"slices"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// End records the end of a request. It has no effect if the server has been
// removed or if End has already been called for the request.
func (p *Pool) End(now time.Time, inFlight InFlight, outcome Outcome) {
	s := p.byID[inFlight.Server]
	if s == nil {
		return
	}
	if _, ok := s.outstanding[inFlight.seq]; !ok {
		return
	}
	delete(s.outstanding, inFlight.seq)
	took := now.Sub(inFlight.sentAt)
	switch outcome {
	case Served:
		p.hedge.observe(took)
		p.hedge.recordResult(false)
		s.observe(now, took)
		p.updateScore(now, s, inFlight.sentAt, p.scoreOf(s, took))
	case Cancelled:
		// The response would have taken longer by an unknown amount. The lower
		// threshold is needed because a winning hedge cancels the request
		// before it would count as slow.
		if m := p.peerMedian(s); m > 0 && took > cancelledFactor*m {
			s.observe(now, max(took, stragglerFactor*m))
			p.updateScore(now, s, inFlight.sentAt, max(p.scoreOf(s, took), cancelledScore))
		}
	case Refused:
		s.observe(now, failureLatencyFactor*max(p.peerMedian(s), took))
	case Failed:
		p.hedge.recordResult(true)
		s.observe(now, failureLatencyFactor*max(p.peerMedian(s), took))
		p.updateScore(now, s, inFlight.sentAt, slowScore)
	case Inconclusive:
	}
}

func (s *server) observe(now time.Time, took time.Duration) {
	s.latencyAt = now
	if s.latency == 0 {
		s.latency = took
		return
	}
	s.latency += time.Duration(latencyGain * float64(took-s.latency))
}

// scoreOf returns slowScore for a slow response and 0 for any other.
func (p *Pool) scoreOf(s *server, took time.Duration) int {
	if m := p.peerMedian(s); m > 0 && took > stragglerFactor*m {
		return slowScore
	}
	return 0
}

// updateScore applies a score increment, where 0 stands for a fast response, and
// updates the straggler state, the share and the ejections accordingly.
func (p *Pool) updateScore(now time.Time, s *server, sent time.Time, increment int) {
	switch {
	case increment > 0 && !sent.Before(s.lastScoredAt):
		s.lastScoredAt = now
		s.score = min(s.score+increment, maxScore)
		s.fastCount = 0
	case increment == 0:
		s.score = max(s.score-slowScore, 0)
		s.fastCount++
	}
	switch {
	case s.score >= stragglerScore && !s.straggler:
		s.straggler, s.share, s.probedAt = true, initialReturnShare, now
	case s.score == 0 && s.straggler:
		s.straggler, s.fastCount = false, 0
	case !s.straggler && s.share < 1 && s.fastCount >= fastPerDoubling:
		s.share, s.fastCount = min(2*s.share, 1), 0
	}
	p.ejectWorst()
}

// ejectWorst ejects the slowest stragglers, up to maxEjectedShare of the pool.
func (p *Pool) ejectWorst() {
	var stragglers []*server
	for _, s := range p.servers {
		s.ejected = false
		if s.straggler {
			stragglers = append(stragglers, s)
		}
	}
	slices.SortStableFunc(stragglers, func(a, b *server) int { return int(b.latency - a.latency) })
	for i, s := range stragglers {
		s.ejected = i < int(maxEjectedShare*float64(len(p.servers)))
	}
}

// probe returns a straggler that is due for a probe, or nil. Probes are idempotent
// requests. A server with an outstanding request is not probed.
func (p *Pool) probe(now time.Time, idempotent bool, exclude []topo.ServerID) *server {
	if !idempotent || len(exclude) > 0 {
		return nil
	}
	var due *server
	for _, s := range p.servers {
		if s.straggler && len(s.outstanding) == 0 && (due == nil || s.fastCount > due.fastCount || s.fastCount == due.fastCount && s.probedAt.Before(due.probedAt)) {
			due = s
		}
	}
	if due == nil {
		return nil
	}
	interval := picksPerProbe
	if due.fastCount > 0 {
		interval = picksPerReprobe
	}
	if p.picks%interval != 0 && now.Sub(due.probedAt) < maxProbeInterval {
		return nil
	}
	due.probedAt = now
	return due
}

// State is a snapshot of a server's state in a pool, for logs and metrics.
type State struct {
	Server             topo.ServerID
	Straggler, Ejected bool
	// Share is the fraction of its normal work that the server gets unless it
	// is a straggler.
	Share       float64
	Latency     time.Duration
	Outstanding int
}

// States returns a snapshot of all servers, in the order given to SetServers.
func (p *Pool) States() []State {
	out := make([]State, len(p.servers))
	for i, s := range p.servers {
		out[i] = State{s.id, s.straggler, s.ejected, s.share, s.latency, len(s.outstanding)}
	}
	return out
}
