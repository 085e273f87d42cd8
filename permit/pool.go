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
	// minRetryAfter and maxRetryAfter bound when a refused caller should come
	// back.
	minRetryAfter = 60 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
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
	// Work is the time from sending to the end of the answer's head; 0 when
	// there was no answer.
	Work time.Duration
	// Full says that the server refused the request without running it
	// because it has no room. A refusal for another reason says nothing about
	// the number of requests that it can do.
	Full bool
	// Failed says that the server could not be reached or did not answer.
	Failed bool
}

// Pool is a set of interchangeable servers with one queue.
type Pool struct {
	servers map[topo.ServerID]*server
	waiting []Request
	// served is each customer's work within a window, which orders customers
	// of the same priority.
	served  map[topo.CustomerID]float64
	agedAt  time.Time
	rng     *rand.Rand
	divisor int
}

// servedMemory is the half-life of a customer's served work.
const servedMemory = 2 * time.Second

// New returns a pool without servers. Divisor divides the slots of the
// servers: 1 at their home VM, more at a VM that cannot reach it.
func New(rng *rand.Rand, divisor int) *Pool {
	return &Pool{
		servers: make(map[topo.ServerID]*server), served: make(map[topo.CustomerID]float64),
		rng: rng, divisor: divisor,
	}
}

// SetServers replaces the servers. Those that stay keep their state.
func (p *Pool) SetServers(now time.Time, list []Server) {
	keep := make(map[topo.ServerID]bool, len(list))
	for _, e := range list {
		e.Slots = max(1, e.Slots/p.divisor)
		e.ColdRate /= float64(p.divisor)
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
	return len(p.waiting) == 0
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
func (p *Pool) Waiting() int { return len(p.waiting) }

// Offer decides on a request. A queued one is decided by a later Tick.
func (p *Pool) Offer(now time.Time, r Request) Decision {
	p.expire(now)
	if len(p.servers) == 0 {
		return p.refuse(r.ID, 0)
	}
	if p.firstInLine(r, now) {
		if s := p.choose(now, r); s != nil {
			return p.grant(now, r, s)
		}
	}
	wait, ok := p.estimate(now, r)
	if !ok || now.Add(wait).After(r.StartBy) || len(p.waiting) >= maxWaiting {
		return p.refuse(r.ID, wait)
	}
	p.waiting = append(p.waiting, r)
	return Decision{ID: r.ID, Verdict: Queued}
}

// Cancel removes a waiting request, or frees the slot of a granted one.
func (p *Pool) Cancel(now time.Time, id uint64) {
	for i, r := range p.waiting {
		if r.ID == id {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
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
	var out []Decision
	for len(p.waiting) > 0 {
		i, s := p.next(now)
		if s == nil {
			break
		}
		r := p.waiting[i]
		p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
		out = append(out, p.grant(now, r, s))
	}
	return append(out, p.giveUp(now)...)
}

// giveUp refuses waiting requests that will not start in time.
func (p *Pool) giveUp(now time.Time) []Decision {
	var out []Decision
	kept := p.waiting[:0]
	for _, r := range p.waiting {
		wait, ok := p.estimate(now, r)
		if !ok || now.Add(wait/2).After(r.StartBy) {
			out = append(out, p.refuse(r.ID, wait))
			continue
		}
		kept = append(kept, r)
	}
	p.waiting = kept
	return out
}

func (p *Pool) expire(now time.Time) {
	for _, s := range p.servers {
		s.expire(now)
	}
	if now.Sub(p.agedAt) >= servedMemory {
		p.agedAt = now
		for id, v := range p.served {
			if v /= 2; v < 0.01 {
				delete(p.served, id)
			} else {
				p.served[id] = v
			}
		}
	}
}

// before orders requests: those that can still be prompt, then by priority,
// then the customer that was served least, then the one that came first.
func (p *Pool) before(now time.Time, a, b Request) bool {
	if la, lb := now.After(a.PromptBy), now.After(b.PromptBy); la != lb {
		return lb
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return p.served[a.Customer] < p.served[b.Customer]
}

// firstInLine reports whether no waiting request goes before r.
func (p *Pool) firstInLine(r Request, now time.Time) bool {
	for _, w := range p.waiting {
		if !p.before(now, r, w) && p.choose(now, w) != nil {
			return false
		}
	}
	return true
}

// next returns the waiting request to grant, and its server.
func (p *Pool) next(now time.Time) (int, *server) {
	best := -1
	var chosen *server
	for i, r := range p.waiting {
		if best >= 0 && !p.before(now, r, p.waiting[best]) {
			continue
		}
		if s := p.choose(now, r); s != nil {
			best, chosen = i, s
		}
	}
	return best, chosen
}

// choose returns the server with room that should do the request soonest.
func (p *Pool) choose(now time.Time, r Request) *server {
	var best *server
	var bestCost float64
	for _, s := range p.servers {
		if !s.room(now) || avoided(r, s) && len(p.servers) > len(r.Avoid) {
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
const farCost = 3

// cost is the expected time of a request at a server, in seconds.
func (s *server) cost(now time.Time, r Request) float64 {
	c := s.work.Seconds() * (1 + float64(len(s.running))/float64(s.slots()))
	if s.DataCentre != r.DataCentre {
		c *= farCost
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

// estimate returns the time until the request starts; false when no server
// answers.
func (p *Pool) estimate(now time.Time, r Request) (time.Duration, bool) {
	ahead := 0
	for _, w := range p.waiting {
		if w.ID != r.ID && (w.Priority < r.Priority || w.Priority == r.Priority && !p.before(now, r, w)) {
			ahead++
		}
	}
	best, ok := time.Duration(0), false
	n := ahead / max(1, len(p.servers))
	for _, s := range p.servers {
		if s.stalled(now) {
			continue
		}
		if w := s.wait(now, n); !ok || w < best {
			best, ok = w, true
		}
	}
	return best, ok
}

func (p *Pool) grant(now time.Time, r Request, s *server) Decision {
	s.start(now, r.ID, r.Lease)
	p.served[r.Customer] += s.work.Seconds()
	return Decision{ID: r.ID, Verdict: Granted, Server: s.ID}
}

// refuse tells the caller to come back when the queue should be shorter, at a
// time that differs between callers.
func (p *Pool) refuse(id uint64, wait time.Duration) Decision {
	after := wait/2 + time.Duration(p.rng.Int64N(int64(max(wait, minRetryAfter))))
	return Decision{ID: id, Verdict: Refused, RetryAfter: min(max(after, minRetryAfter), maxRetryAfter)}
}
