// Package permit hands out the slots of backend servers at their home VM. It
// answers loads above what the servers can do: who waits, in which order, who
// is refused at once, and when a refused caller should come back. It also keeps
// the bound of cold servers and the in-flight limit of servers that never
// answer a request that they cannot queue.
//
// A Pool is pure: time comes in as an argument. It is not safe for concurrent
// use. The slots of a keyed server form a pool of their own; the servers of a
// pooled service share one.
package permit

import (
	"math/rand/v2"
	"time"

	"godwitlock.example/godwitlock/topo"
)

const (
	// maxWaiting bounds the waiting requests of a pool.
	maxWaiting = 256
	// checkInterval is the least time between two looks at all waiting
	// requests.
	sweepInterval = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound when a refused caller should come
	// back.
	minRetryAfter = 60 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// comeBackPart divides the time that a caller has left: callers come back
	// after a third of it at the latest, whatever they are told.
	retryAfterDivisor = 3
)

// Request asks for a slot.
type Request struct {
	ID       uint64
	Customer topo.CustomerID
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// StartBy is when the request must have started to be answered at all,
	// and PromptBy to have its full value.
	StartBy, PromptBy time.Time
	// Lease is how long the slot may stay taken.
	Lease time.Duration
	// Avoid are servers that were tried already.
	Avoid []topo.ServerID
	// DataCentre is where the request entered; servers there are preferred.
	DataCentre topo.DataCentreName
}

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts.
const (
	// Queued requests get a Decision later.
	Queued Verdict = iota
	Granted
	Refused
)

// Decision is what became of a request.
type Decision struct {
	ID      uint64
	Verdict Verdict
	// Server is the server whose slot was granted.
	Server topo.ServerID
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
}

// Result is what became of a granted request.
type Result struct {
	// ServiceTime is the time from sending to the end of the answer's head; 0 when
	// there was no answer.
	ServiceTime time.Duration
	// AtCapacity says that the server refused the request without running it
	// because it has no room. A refusal for another reason says nothing about
	// the number of requests that it can do.
	AtCapacity bool
	// Failed says that the server could not be reached or did not answer.
	Failed bool
}

// Pool is a set of interchangeable servers with one queue.
type Pool struct {
	servers map[topo.ServerID]*server
	queue   *queue
	usage   *customerUsage
	// arrivals counts the requests that were offered.
	arrivals arrivalRate
	// checked is when the requests that wait were last looked at.
	lastSweep   time.Time
	rng         *rand.Rand
	slotDivisor int
}

// New returns a pool without servers. Divisor divides the slots of the
// servers: 1 at their home VM, more at a VM that cannot reach it.
func New(rng *rand.Rand, slotDivisor int) *Pool {
	usage := newCustomerUsage()
	return &Pool{
		servers: make(map[topo.ServerID]*server), queue: newQueue(usage), usage: usage, rng: rng, slotDivisor: slotDivisor,
	}
}

// SetServers replaces the servers. Those that stay keep their state.
func (p *Pool) SetServers(now time.Time, list []Server) {
	keep := make(map[topo.ServerID]bool, len(list))
	for _, e := range list {
		e.Slots = max(1, e.Slots/p.slotDivisor)
		e.ColdRate /= float64(p.slotDivisor)
		keep[e.ID] = true
		if s := p.servers[e.ID]; s != nil {
			s.update(e)
			continue
		}
		p.servers[e.ID] = newServer(e, now)
	}
	for id := range p.servers {
		if !keep[id] {
			delete(p.servers, id)
		}
	}
}

// Idle reports whether the pool has neither running nor waiting requests.
func (p *Pool) Idle() bool {
	for _, s := range p.servers {
		if len(s.running) > 0 {
			return false
		}
	}
	return p.queue.Len() == 0
}

// Running returns the slots in use.
func (p *Pool) Running() int {
	n := 0
	for _, s := range p.servers {
		n += len(s.running)
	}
	return n
}

// Waiting returns the number of requests that wait.
func (p *Pool) Waiting() int { return p.queue.Len() }

// Offer decides on a request. A queued one is decided by a later Tick.
func (p *Pool) Offer(now time.Time, r Request) Decision {
	p.expire(now)
	p.arrivals.add(now)
	if len(p.servers) == 0 {
		return p.refuse(now, r, 0)
	}
	if p.queue.Len() == 0 {
		if s := p.choose(now, r); s != nil {
			return p.grant(now, r, s)
		}
	}
	wait, ok := p.estimate(now, r)
	if !ok || now.Add(wait).After(r.StartBy) || p.queue.Len() >= maxWaiting {
		return p.refuse(now, r, wait)
	}
	p.queue.push(now, r)
	return Decision{ID: r.ID, Verdict: Queued}
}

// Cancel removes a waiting request, or frees the slot of a granted one.
func (p *Pool) Cancel(now time.Time, id uint64) {
	if p.queue.remove(id) {
		return
	}
	for _, s := range p.servers {
		s.finish(now, id, Result{})
	}
}

// Finish records the end of a granted request.
func (p *Pool) Finish(now time.Time, id uint64, r Result) {
	for _, s := range p.servers {
		s.finish(now, id, r)
	}
}

// Tick grants free slots to waiting requests and refuses those that cannot
// start in time any more.
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
	for p.hasRoom(now) {
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

// giveUp refuses waiting requests that will not start in time.
func (p *Pool) shedQueue(now time.Time) []Decision {
	var out []Decision
	t := p.throughput(now)
	p.queue.removeIf(func(r Request, late bool, ahead int) bool {
		wait, ok := t.waitTime(late, ahead)
		if ok && !now.Add(wait/2).After(r.StartBy) {
			return false
		}
		out = append(out, p.refuse(now, r, wait))
		return true
	})
	return out
}

func (p *Pool) expire(now time.Time) {
	for _, s := range p.servers {
		s.expire(now)
	}
	p.usage.decay(now)
}

// room reports whether any server has room.
func (p *Pool) hasRoom(now time.Time) bool {
	for _, s := range p.servers {
		if s.hasRoom(now) {
			return true
		}
	}
	return false
}

// choose returns the server with room that should do the request soonest.
func (p *Pool) choose(now time.Time, r Request) *server {
	var best *server
	var bestCost float64
	for _, s := range p.servers {
		if !s.hasRoom(now) || avoided(r, s) && len(p.servers) > len(r.Avoid) {
			continue
		}
		if cost := s.cost(now, r); best == nil || cost < bestCost || cost == bestCost && s.ID < best.ID {
			best, bestCost = s, cost
		}
	}
	return best
}

// farCost is what a server in another data centre counts more. Pooled services
// send long answers, whose bytes between data centres are dear; a request goes
// far when the near servers are busy or much slower.
const crossDataCentreCost = 3

// cost is the expected time of a request at a server, in seconds.
func (s *server) cost(now time.Time, r Request) float64 {
	c := s.serviceTime.Seconds() * (1 + float64(len(s.running))/float64(s.slots()))
	if s.DataCentre != r.DataCentre {
		c *= crossDataCentreCost
	}
	if s.isCold(now) {
		c *= 2
	}
	return c
}

func avoided(r Request, s *server) bool {
	for _, id := range r.Avoid {
		if id == s.ID {
			return true
		}
	}
	return false
}

// estimate returns the time until a new request starts; false when no server
// answers. One that will not start in time to be prompt is overtaken by those
// that come after it.
func (p *Pool) estimate(now time.Time, r Request) (time.Duration, bool) {
	t := p.throughput(now)
	if !now.After(r.PromptBy) {
		wait, ok := t.waitTime(false, p.queue.ahead(false, r))
		if !ok || !now.Add(wait).After(r.PromptBy) {
			return wait, ok
		}
	}
	return t.waitTime(true, p.queue.ahead(true, r))
}

func (p *Pool) grant(now time.Time, r Request, s *server) Decision {
	s.start(now, r.ID, r.Lease)
	p.usage.add(r.Customer, s.serviceTime)
	return Decision{ID: r.ID, Verdict: Granted, Server: s.ID}
}

// refuse tells the caller to come back when the queue should be shorter, at a
// time that differs between callers and leaves it most of its time.
func (p *Pool) refuse(now time.Time, r Request, wait time.Duration) Decision {
	latest := min(max(r.StartBy.Sub(now)/retryAfterDivisor, minRetryAfter), maxRetryAfter)
	// From half of the mean to half more, so that the latest is 3/2 of it.
	mean := min(max(wait, minRetryAfter), latest*2/3)
	after := mean/2 + time.Duration(p.rng.Int64N(int64(mean)))
	return Decision{ID: r.ID, Verdict: Refused, RetryAfter: max(after, minRetryAfter)}
}
