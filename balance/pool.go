package balance

import (
	"math"
	"math/rand"
	"slices"
	"time"

	"godwitlock.example/godwitlock/topo"
)

const (
	// stragglerFactor is the multiple of the peers' median latency above which
	// a response counts as slow.
	stragglerFactor = 3
	// slowScore is the score of a slow response or a failure. A request scores
	// only if it was sent after the last one that scored had ended, so that one
	// brief pause scores once, regardless of how many requests it delays.
	// cancelledScore is the score of a request that was cancelled after more
	// than cancelledFactor times the peers' median latency.
	slowScore       = 2
	cancelledScore  = 1
	cancelledFactor = 2
	// stragglerScore is the score at which a server becomes a straggler. A fast
	// response reduces the score by slowScore. maxScore bounds the number of
	// fast responses that a straggler needs to reach score 0 and recover.
	stragglerScore = 4
	maxScore       = 8
	// maxEjectedShare is the maximum fraction of a pool that is ejected.
	maxEjectedShare = 0.3
	// minHealthyShare is the fraction of servers that must not be stragglers.
	// Below it, stragglers get idempotent requests again, since the other
	// servers could not handle the whole load.
	minHealthyShare = 0.5
	// picksPerProbe is the number of picks per probe. A probe is an idempotent
	// request that is sent to a straggler to find out whether it has recovered.
	// Probes are below 1% of the requests so that they do not raise the p99
	// latency. picksPerReprobe applies to a straggler whose last probe was fast.
	picksPerProbe   = 200
	picksPerReprobe = 20
	// maxProbeInterval is the time since its last probe after which a straggler
	// gets the next idempotent request, regardless of picksPerProbe.
	maxProbeInterval = 10 * time.Second
	// initialReturnShare is the share of its normal work that a recovered
	// server gets at first. Every fastPerDoubling fast responses double it.
	initialReturnShare = 0.1
	fastPerDoubling    = 4
	// reportWeight is the weight of a request in a reported queue, relative to
	// a request that this VM has outstanding. It is below 1 because reports may
	// be late or wrong.
	reportWeight = 0.25
	// maxReportedQueue caps a reported queue, in requests.
	maxReportedQueue = 4
	// reportTTL is the age from which a report is ignored.
	reportTTL = time.Second
	// latencyGain is the weight of a response in the moving average of a
	// server's latency.
	latencyGain = 1.0 / 4
	// latencyDecay is the time constant with which an old latency decays to the
	// peers' median between updates, so that one brief pause costs the server
	// about a second of work.
	latencyDecay = 500 * time.Millisecond
	// costExponent sets how rarely the costlier of two servers is chosen: once
	// in 17 times at twice the cost, and once in 10,000 at ten times the cost.
	// Always choosing the cheaper one would starve a server that is only a
	// little slower.
	costExponent = 4
	// failureLatencyFactor is the multiple of the peers' median latency, or of
	// the time taken if that is longer, at which a refused or failed request
	// counts in the server's latency.
	failureLatencyFactor = 4
)

// Outcome classifies the end of a request by what it shows about the server.
type Outcome uint8

// Outcomes of a request.
const (
	// Served means that the server answered.
	Served Outcome = iota
	// Refused means that the home VM did not send the request to the server.
	// The server is busy, at least for this customer. That raises its cost but
	// does not make it a straggler, since a customer must not be able to get
	// servers ejected with its own requests.
	Refused
	// Failed means that the server refused the request, returned an error or
	// did not answer.
	Failed
	// Cancelled means that the caller or a hedge cancelled the request. The
	// response would have taken at least as long.
	Cancelled
	// Inconclusive means that the end shows nothing about the server.
	Inconclusive
)

// InFlight identifies a request in flight at a server. The caller passes it to
// Pool.End once.
type InFlight struct {
	Server topo.ServerID
	sentAt time.Time
	seq    uint64
	probe  bool
}

// Pool is the state of one pooled service at one entry VM. It does no I/O, reads no
// clock and is not safe for concurrent use.
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
	// latency is the moving average, 0 if not known. latencyAt is the time of
	// its last update.
	latency   time.Duration
	latencyAt time.Time
	score     int
	// lastScoredAt is the end of the last request that raised the score.
	lastScoredAt time.Time
	// A straggler gets no idempotent requests; an ejected server gets none at
	// all. Pool.candidates and Pool.probe make the exceptions.
	straggler, ejected bool
	// share is the fraction of its normal work that the server gets. It is
	// below 1 while a recovered server returns. fastCount is the number of fast
	// responses since the share or the straggler state last changed, or since
	// the last response that scored.
	share     float64
	fastCount int
	// probedAt is when the server became a straggler or got its last probe.
	probedAt      time.Time
	reportedQueue float64
	reportedAt    time.Time
}

// NewPool returns a pool of servers. The caller must not use rnd afterwards.
func NewPool(servers []topo.ServerID, rnd *rand.Rand) *Pool {
	p := &Pool{rnd: rnd, byID: make(map[topo.ServerID]*server)}
	p.SetServers(servers)
	return p
}

// SetServers replaces the set of servers. Servers in both sets keep their state.
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

// Report records the queue length that a server's home VM reported. Reports about
// unknown servers are ignored.
func (p *Pool) Report(now time.Time, id topo.ServerID, queued int) {
	if s := p.byID[id]; s != nil {
		s.reportedQueue, s.reportedAt = min(float64(queued), maxReportedQueue), now
	}
}

// Pick chooses a server that is not in exclude and records a request in flight at
// it. It returns false if there is no such server.
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

// candidates returns the servers eligible for a request. Stragglers get no
// idempotent requests unless too few other servers are left. Ejected servers get
// requests only if all servers that are not excluded are ejected.
func (p *Pool) candidates(idempotent bool, exclude []topo.ServerID) []*server {
	var healthy, usable, notExcluded []*server
	for _, s := range p.servers {
		if slices.Contains(exclude, s.id) {
			continue
		}
		notExcluded = append(notExcluded, s)
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
	return notExcluded
}

// healthy reports whether at least minHealthyShare of the servers are not
// stragglers.
func (p *Pool) healthy() bool {
	n := 0
	for _, s := range p.servers {
		if !s.straggler {
			n++
		}
	}
	return float64(n) >= minHealthyShare*float64(len(p.servers))
}

// choose draws two servers at random and prefers the one with the lower cost, as
// set by costExponent.
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

// cost estimates the time to a response as queue length times latency. The latency
// is at least the age of the oldest outstanding request, so that a hanging server
// loses work before it answers.
func (p *Pool) cost(now time.Time, s *server) float64 {
	queue := 1 + float64(len(s.outstanding))
	if now.Sub(s.reportedAt) < reportTTL {
		queue += reportWeight * s.reportedQueue
	}
	return queue * float64(max(p.latencyOf(now, s), s.oldestAge(now), time.Microsecond))
}

// latencyOf returns the average latency of a server. An old average decays to the
// peers' median, and an unknown one is replaced by it.
func (p *Pool) latencyOf(now time.Time, s *server) time.Duration {
	peers := p.peerMedian(s)
	if s.latency == 0 || peers == 0 {
		return max(s.latency, peers)
	}
	decay := math.Exp(-float64(now.Sub(s.latencyAt)) / float64(latencyDecay))
	return peers + time.Duration(decay*float64(s.latency-peers))
}

// oldestAge returns the age of the oldest outstanding request.
func (s *server) oldestAge(now time.Time) time.Duration {
	var age time.Duration
	for _, at := range s.outstanding {
		age = max(age, now.Sub(at))
	}
	return age
}

// peerMedian returns the median of the other servers' average latencies, or 0 if
// none is known.
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
