// Package balance chooses among the servers of a pooled service (section 4.5 of
// docs/design.md). Pool is the pure state machine: power of two choices,
// straggler detection, ejection, return and the hedging budget. Balancer is its
// driver, a call.Doer.
package balance

import (
	"math"
	"math/rand"
	"slices"
	"time"

	"godwitlock.example/godwitlock/topo"
)

const (
	// stragglerFactor is how many times the median of its peers a straggler's
	// responses take.
	stragglerFactor = 3
	// slowScore is the score of a slow response whose request was sent after
	// the one before that scored had ended, so one brief pause, however many
	// requests it delays, scores once. lostScore is that of a request that was
	// given up after lostFactor times the median of the peers.
	slowScore       = 2
	cancelledScore  = 1
	cancelledFactor = 2
	// stragglerScore is the score of a straggler; a fast response takes slowScore
	// off. maxScore bounds how many of them clear a server.
	stragglerScore = 4
	maxScore       = 8
	// maxEjectedShare is the greatest part of a pool that is ejected.
	maxEjectedShare = 0.3
	// minHealthyShare is the part of a pool below which stragglers get idempotent
	// work again, since the others could not bear it all.
	minHealthyShare = 0.5
	// picksPerProbe is one of how many idempotent requests goes to a straggler
	// to see whether it recovered. It is below 1% so as not to show in a p99.
	// A straggler whose last probe was fast gets one in probeAgain.
	picksPerProbe   = 200
	picksPerReprobe = 20
	// maxProbeInterval is the time after which a straggler is probed however few
	// requests there are.
	maxProbeInterval = 10 * time.Second
	// initialReturnShare is the first share of its normal work that a server gets
	// when it returns; goodPerStep fast responses double it.
	initialReturnShare = 0.1
	fastPerDoubling    = 4
	// reportWeight is the weight of a reported queue against the requests
	// that this VM has outstanding, since reports lag or mislead.
	reportWeight = 0.25
	// maxReportedQueue bounds the effect of a reported queue, in requests.
	maxReportedQueue = 4
	// reportTTL is the age at which a report is ignored.
	reportTTL = time.Second
	// latencyGain is the weight of a response in a server's mean latency.
	latencyGain = 1.0 / 4
	// latencyDecay is how fast a latency falls back to that of the peers while
	// nothing is sent to the server, so that one brief pause costs it about a
	// second of work.
	latencyDecay = 500 * time.Millisecond
	// costExponent makes the dearer of two servers rarer: it is chosen once in
	// 17 times at twice the cost and once in 10,000 at ten times. A strict
	// choice would never send anything to a server that is a little slower.
	costExponent = 4
	// failureLatencyFactor is how many times a failure multiplies a server's latency.
	failureLatencyFactor = 4
)

// Outcome is what the end of a request shows about the server.
type Outcome uint8

// The verdicts.
const (
	// Served: the server answered.
	Served Outcome = iota
	// Refused: the home VM did not send the request. The server is busy at
	// least for this customer, which makes it dearer but no straggler, since a
	// customer must not get servers ejected with requests of its own.
	Refused
	// Failed: refused by the server, error or no answer.
	Failed
	// Cancelled: given up; the response would have taken at least this long.
	Cancelled
	// Inconclusive: nothing is learnt.
	Inconclusive
)

// InFlight names a request at a server. It is passed to End once.
type InFlight struct {
	Server topo.ServerID
	sentAt time.Time
	seq    uint64
	probe  bool
}

// Pool is the state of one pooled service at one entry VM. It is pure and not
// safe for concurrent use.
type Pool struct {
	rnd     *rand.Rand
	servers []*server
	byID    map[topo.ServerID]*server
	seq     uint64
	picks   int
	hedge   hedge
	scratch []time.Duration
}

type server struct {
	id          topo.ServerID
	outstanding map[uint64]time.Time
	// latency is the mean, 0 when not known; seen is when it was observed.
	latency   time.Duration
	latencyAt time.Time
	score     int
	// lastScoredAt is the end of the response that lastScoredAt last.
	lastScoredAt time.Time
	// straggler: loses idempotent work. ejected: loses all work.
	straggler, ejected bool
	// share is the part of its normal work that a returning server gets.
	share     float64
	fastCount int
	// probedAt is when it got its last probe.
	probedAt      time.Time
	reportedQueue float64
	reportedAt    time.Time
}

// NewPool returns a pool of servers. rnd is used by this pool alone.
func NewPool(servers []topo.ServerID, rnd *rand.Rand) *Pool {
	p := &Pool{rnd: rnd, byID: make(map[topo.ServerID]*server)}
	p.SetServers(servers)
	return p
}

// SetServers replaces the servers. Those that stay keep their state.
func (p *Pool) SetServers(ids []topo.ServerID) {
	byID := make(map[topo.ServerID]*server, len(ids))
	p.servers = p.servers[:0]
	for _, id := range ids {
		s := p.byID[id]
		if s == nil {
			s = &server{id: id, outstanding: make(map[uint64]time.Time), share: 1}
		}
		byID[id] = s
		p.servers = append(p.servers, s)
	}
	p.byID = byID
	p.ejectWorst()
}

// Report records the queue length that a server's home VM reported.
func (p *Pool) Report(now time.Time, id topo.ServerID, queued int) {
	if s := p.byID[id]; s != nil {
		s.reportedQueue, s.reportedAt = min(float64(queued), maxReportedQueue), now
	}
}

// Pick chooses a server and records that a request is sent to it. It returns
// false when no server is left after exclude.
func (p *Pool) Pick(now time.Time, idempotent bool, exclude ...topo.ServerID) (InFlight, bool) {
	p.picks++
	s := p.probe(now, idempotent, exclude)
	probe := s != nil
	if !probe {
		s = p.choose(now, p.candidates(idempotent, exclude))
	}
	if s == nil {
		return InFlight{}, false
	}
	p.seq++
	s.outstanding[p.seq] = now
	return InFlight{s.id, now, p.seq, probe}, true
}

// candidates returns the servers for a request. Stragglers lose idempotent work
// first; when too few others are left they get it again. When all servers are
// ejected or excluded, the ejected ones serve.
func (p *Pool) candidates(idempotent bool, exclude []topo.ServerID) []*server {
	var healthy, usable, any []*server
	for _, s := range p.servers {
		if slices.Contains(exclude, s.id) {
			continue
		}
		any = append(any, s)
		if s.ejected {
			continue
		}
		usable = append(usable, s)
		if !s.straggler && (s.share >= 1 || p.rnd.Float64() < s.share) {
			healthy = append(healthy, s)
		}
	}
	switch {
	case len(healthy) > 0 && (idempotent && p.healthy() || len(usable) == 0):
		return healthy
	case len(usable) > 0:
		return usable
	}
	return any
}

// healthy reports that enough servers are no stragglers.
func (p *Pool) healthy() bool {
	n := 0
	for _, s := range p.servers {
		if !s.straggler {
			n++
		}
	}
	return float64(n) >= minHealthyShare*float64(len(p.servers))
}

// choose compares two servers drawn at random.
func (p *Pool) choose(now time.Time, from []*server) *server {
	switch len(from) {
	case 0:
		return nil
	case 1:
		return from[0]
	}
	i := p.rnd.Intn(len(from))
	j := p.rnd.Intn(len(from) - 1)
	if j >= i {
		j++
	}
	ratio := math.Pow(p.cost(now, from[i])/p.cost(now, from[j]), costExponent)
	if p.rnd.Float64()*(1+ratio) < ratio {
		return from[j]
	}
	return from[i]
}

// cost is the expected time to a response: queue times latency. A request that
// is overdue counts as the latency, so that a server which hangs loses work
// before its first response.
func (p *Pool) cost(now time.Time, s *server) float64 {
	queue := 1 + float64(len(s.outstanding))
	if now.Sub(s.reportedAt) < reportTTL {
		queue += reportWeight * s.reportedQueue
	}
	return queue * float64(max(p.latencyOf(now, s), s.oldestAge(now), time.Microsecond))
}

// latencyOf returns the mean latency, which fades to that of the peers when it
// is old or not known.
func (p *Pool) latencyOf(now time.Time, s *server) time.Duration {
	peers := p.peerMedian(s)
	if s.latency == 0 || peers == 0 {
		return max(s.latency, peers)
	}
	fade := math.Exp(-float64(now.Sub(s.latencyAt)) / float64(latencyDecay))
	return peers + time.Duration(fade*float64(s.latency-peers))
}

// oldestAge returns the age of the oldestAge outstanding request.
func (s *server) oldestAge(now time.Time) time.Duration {
	var age time.Duration
	for _, at := range s.outstanding {
		age = max(age, now.Sub(at))
	}
	return age
}

// peerMedian returns the median of the other servers' mean latencies, or 0.
func (p *Pool) peerMedian(s *server) time.Duration {
	p.scratch = p.scratch[:0]
	for _, o := range p.servers {
		if o != s && o.latency > 0 {
			p.scratch = append(p.scratch, o.latency)
		}
	}
	if len(p.scratch) == 0 {
		return 0
	}
	slices.Sort(p.scratch)
	return p.scratch[(len(p.scratch)-1)/2]
}
