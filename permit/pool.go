package permit

import (
	"math/rand/v2"
	"slices"
	"time"

	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/workload"
)

const (
	// maxWaiting is the maximum number of queued requests of a pool.
	maxWaiting = 256
	// sweepInterval is the minimum time between two passes over all queued
	// requests.
	sweepInterval = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the delay after which a refused
	// caller is told to retry.
	minRetryAfter = 60 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// retryAfterDivisor limits the retry delay to a third of the time that a
	// caller has left, because callers retry by then regardless of Retry-After.
	retryAfterDivisor = 3
)

// Request describes a request that needs a slot.
type Request struct {
	ID       uint64
	Customer topo.CustomerID
	// Priority orders requests; 0 is the most urgent.
	Priority int
	// StartBy is the latest start at which the request can still be answered
	// before its deadline. PromptBy is the latest start at which the answer
	// is still expected to meet the latency objective; after it the request
	// is late.
	StartBy, PromptBy time.Time
	// Route is the name of the request's route.
	Route string
	// Work is the expected service time of the request; its zero value means that it
	// is not known.
	Work workload.Estimate
	// ObjectiveBy is when the response is due for its full value, and AnswerBy when it
	// is due at all. A zero time means that it is not known.
	ObjectiveBy, AnswerBy time.Time
	// Lease is the time after which the slot is freed even if the request was
	// not reported as finished.
	Lease time.Duration
	// Avoid lists servers that have already been tried. It is ignored if it
	// lists at least as many servers as the pool has.
	Avoid []topo.ServerID
	// Excluded lists servers whose slots must not be granted to the request.
	Excluded []topo.ServerID
	// DataCentre is the data centre that received the request. Its servers are
	// preferred.
	DataCentre topo.DataCentreName
}

// Verdict is the decision on a request.
type Verdict uint8

const (
	// Queued requests get their final Decision from a later Tick.
	Queued Verdict = iota
	Granted
	Refused
)

// Decision is the outcome of Offer or Tick for one request.
type Decision struct {
	ID      uint64
	Verdict Verdict
	// Server is the server whose slot was granted.
	Server topo.ServerID
	// Probe says that the server is to be asked now how long it stays cold. The answer
	// is given to Pool.Probed.
	Probe bool
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter time.Duration
}

// Result describes how a granted request ended.
type Result struct {
	// ServiceTime is the time from sending the request to receiving the end of
	// the response header; 0 if there was no response.
	ServiceTime time.Duration
	// Full is set if the server refused the request without running it
	// because it had no capacity. A refusal for another reason says nothing
	// about the number of requests that the server can run.
	Full bool
	// Failed is set if the server could not be reached or did not answer.
	Failed bool
	// Work is the expected service time of the request; 0 if it is not known.
	Work time.Duration
	// Slowdown is how long work takes at the server at present, relative to the usual
	// time; 0 if the server did not report it.
	Slowdown float64
	// TimedOut is set if the server had the request until its deadline and did not
	// respond.
	TimedOut bool
}

// Pool is a set of interchangeable servers with one queue.
type Pool struct {
	servers map[topo.ServerID]*server
	// runningAt holds the server of each granted request.
	runningAt map[uint64]*server
	queue     *queue
	usage     *customerUsage
	// arrivalRate is the rate of offered requests.
	arrivalRate arrivalRate
	// lastSweep is the time of the last pass over all queued requests.
	lastSweep time.Time
	// lastExpiry is the time of the last pass over all granted requests.
	lastExpiry  time.Time
	rng         *rand.Rand
	slotDivisor int
}

// New returns a pool without servers. slotDivisor divides the slots and the cold
// rate of each server: it is 1 at the home VM of the servers, and greater at a
// VM that cannot reach the home VM and grants only a share of the slots.
func New(rng *rand.Rand, slotDivisor int) *Pool {
	usage := newUsage()
	return &Pool{
		servers: make(map[topo.ServerID]*server), runningAt: make(map[uint64]*server), queue: newQueue(usage), usage: usage, rng: rng, slotDivisor: slotDivisor,
	}
}

// SetServers replaces the servers of the pool. Servers that were in the pool
// before keep their state.
func (p *Pool) SetServers(now time.Time, list []Server) {
	keep := make(map[topo.ServerID]bool, len(list))
	for _, e := range list {
		e.Slots = max(1, e.Slots/p.slotDivisor)
		e.ColdRate /= float64(p.slotDivisor)
		if e.WarmBudget > 0 {
			e.WarmBudget = max(1, e.WarmBudget/p.slotDivisor)
		}
		keep[e.ID] = true
		if s := p.servers[e.ID]; s != nil {
			s.update(e)
			continue
		}
		added := newServer(e, now)
		added.standIn = p.slotDivisor > 1
		p.servers[e.ID] = added
	}
	for id, s := range p.servers {
		if !keep[id] {
			delete(p.servers, id)
			for request := range s.running {
				delete(p.runningAt, request)
			}
		}
	}
}

// Idle reports whether the pool has neither running nor queued requests.
func (p *Pool) Idle() bool {
	return len(p.runningAt) == 0 && p.queue.Len() == 0
}

// Running returns the number of slots in use.
func (p *Pool) Running() int {
	return len(p.runningAt)
}

// Waiting returns the number of queued requests.
func (p *Pool) Waiting() int { return p.queue.Len() }

// Offer grants, queues or refuses a new request. A later Tick decides on a
// queued request.
func (p *Pool) Offer(now time.Time, r Request) Decision {
	p.expire(now)
	p.arrivalRate.add(now)
	if len(p.servers) == 0 {
		return p.refuse(now, r, 0)
	}
	if p.queue.Len() == 0 {
		if s := p.choose(now, r); s != nil {
			return p.grant(now, r, s)
		}
	}
	wait, ok := p.estimateWait(now, r)
	if !ok || now.Add(wait).After(r.StartBy) || p.queue.Len() >= maxWaiting {
		return p.refuse(now, r, wait)
	}
	p.queue.push(now, r)
	return Decision{ID: r.ID, Verdict: Queued}
}

// Cancel removes a queued request, or frees the slot of a granted one without
// recording a result for its server.
func (p *Pool) Cancel(now time.Time, id uint64) {
	if p.queue.remove(id) {
		return
	}
	p.Finish(now, id, Result{})
}

// Finish frees the slot of a granted request and records its result.
func (p *Pool) Finish(now time.Time, id uint64, r Result) {
	if s := p.runningAt[id]; s != nil {
		delete(p.runningAt, id)
		s.finish(now, id, r)
	}
}

// Tick grants free slots to queued requests and refuses those that can no longer
// start in time.
func (p *Pool) Tick(now time.Time) []Decision {
	p.expire(now)
	if p.queue.Len() == 0 {
		return nil
	}
	due := now.Sub(p.lastSweep) >= sweepInterval
	if due {
		p.lastSweep = now
		p.queue.demoteLate(now)
	}
	var out []Decision
	for p.canStart(now) {
		var s *server
		r, ok := p.queue.next(func(r Request) bool {
			s = p.choose(now, r)
			return s != nil
		})
		if !ok {
			break
		}
		out = append(out, p.grant(now, r, s))
	}
	if due {
		out = append(out, p.shedQueue(now)...)
	}
	return out
}

// shedQueue refuses the queued requests that are not expected to start in time:
// every server is stalled, or half of the estimated wait already ends after
// StartBy.
func (p *Pool) shedQueue(now time.Time) []Decision {
	var out []Decision
	t := p.throughput(now)
	p.queue.removeIf(func(r Request, late bool, ahead int) bool {
		wait, ok := t.wait(late, ahead)
		if ok && !now.Add(wait/2).After(r.StartBy) {
			return false
		}
		out = append(out, p.refuse(now, r, wait))
		return true
	})
	return out
}

func (p *Pool) expire(now time.Time) {
	if now.Sub(p.lastExpiry) < sweepInterval {
		return
	}
	p.lastExpiry = now
	for _, s := range p.servers {
		s.expire(now, func(id uint64) { delete(p.runningAt, id) })
	}
	p.usage.decay(now)
}

// canStart reports whether any server can start a request at now.
func (p *Pool) canStart(now time.Time) bool {
	for _, s := range p.servers {
		if s.canStart(now) {
			return true
		}
	}
	return false
}

// choose returns the server with the lowest cost among those that can start the
// request at now; nil if there is none.
func (p *Pool) choose(now time.Time, r Request) *server {
	var best *server
	var bestCost float64
	for _, s := range p.servers {
		if !s.canStart(now) || slices.Contains(r.Excluded, s.ID) || slices.Contains(r.Avoid, s.ID) && len(p.servers) > len(r.Avoid) {
			continue
		}
		if cost := s.cost(now, r); best == nil || cost < bestCost || cost == bestCost && s.ID < best.ID {
			best, bestCost = s, cost
		}
	}
	return best
}

// crossDataCentreCostFactor multiplies the cost of a server in another data
// centre. Pooled services send long responses, and traffic between data centres
// is expensive, so a request leaves its data centre only if the servers there
// are busy or much slower.
const crossDataCentreCostFactor = 3

// cost returns the expected time of a request at the server, in seconds,
// weighted for servers that are cold or in another data centre.
func (s *server) cost(now time.Time, r Request) float64 {
	c := s.serviceTime.Seconds() * (1 + float64(len(s.running))/float64(s.slots()))
	if s.DataCentre != r.DataCentre {
		c *= crossDataCentreCostFactor
	}
	if s.isCold(now) {
		c *= 2
	}
	return c
}

// estimateWait returns the estimated time until a new request starts; false if
// every server is stalled. A request that will not start by PromptBy is
// estimated as late, because prompt requests that arrive after it start before
// it.
func (p *Pool) estimateWait(now time.Time, r Request) (time.Duration, bool) {
	t := p.throughput(now)
	if !now.After(r.PromptBy) {
		wait, ok := t.wait(false, p.queue.ahead(false, r))
		if !ok || !now.Add(wait).After(r.PromptBy) {
			return wait, ok
		}
	}
	return t.wait(true, p.queue.ahead(true, r))
}

func (p *Pool) grant(now time.Time, r Request, s *server) Decision {
	probe := s.start(now, r.ID, r.Lease)
	p.runningAt[r.ID] = s
	p.usage.add(r.Customer, s.serviceTime)
	return Decision{ID: r.ID, Verdict: Granted, Server: s.ID, Probe: probe}
}

// refuse returns a refusal with a retry delay. The delay follows the estimated
// wait, so that the queue is shorter at the retry. It is randomised, so that
// callers do not retry together, and bounded, so that a caller has most of its
// time left.
func (p *Pool) refuse(now time.Time, r Request, wait time.Duration) Decision {
	latest := min(max(r.StartBy.Sub(now)/retryAfterDivisor, minRetryAfter), maxRetryAfter)
	// The delay is uniform between 1/2 and 3/2 of the mean, so the mean may be
	// at most 2/3 of the latest delay.
	mean := min(max(wait, minRetryAfter), latest*2/3)
	after := mean/2 + time.Duration(p.rng.Int64N(int64(mean)))
	return Decision{ID: r.ID, Verdict: Refused, RetryAfter: max(after, minRetryAfter)}
}
