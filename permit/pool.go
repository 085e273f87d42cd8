package permit

import (
	"math/rand/v2"
	"slices"
	"time"

	"godwitlock.example/godwitlock/health"
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
	// is late. The pool computes both itself if Work, ObjectiveBy and AnswerBy
	// are known.
	StartBy, PromptBy time.Time
	// Route is the name of the request's route.
	Route string
	// Work is the expected service time of the request; its zero value means that it
	// is not known.
	Work workload.Estimate
	// ObjectiveBy is when the response is due for its full value, and AnswerBy when it
	// is due at all. A zero time means that it is not known.
	ObjectiveBy, AnswerBy time.Time
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Bytes is the size of the request's body.
	Bytes int64
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

// workKnown reports whether the pool can compute the latest starts of the request.
func (r Request) workKnown() bool {
	return r.Work.Mean > 0 && !r.ObjectiveBy.IsZero() && !r.AnswerBy.IsZero()
}

func (r Request) withStartBy(t time.Time) Request {
	r.StartBy = t
	return r
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
	// Cause tells why the request was refused.
	Cause Cause
	// Late says that a granted request starts after its latest prompt start.
	Late bool
	// Probe says that the server is to be asked now how long it stays cold. The answer
	// is given to Pool.Probed.
	Probe bool
	// Server is the server whose slot was granted.
	Server topo.ServerID
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter time.Duration
	// Waited is the time that a granted or refused request was queued.
	Waited time.Duration
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
	// Slowdown is how long work takes at the server at present, relative to the usual
	// time; 0 if the server did not report it.
	Slowdown float64
}

// Pool is a set of interchangeable servers with one queue.
type Pool struct {
	servers map[topo.ServerID]*server
	// runningAt holds the server of each granted request.
	runningAt map[uint64]*server
	queue     *queue
	usage     *customerUsage
	// health judges the servers beside each other, and meanWork is the mean service
	// time of their requests.
	health   *health.Set
	meanWork time.Duration
	// arrivalRate is the rate of offered requests.
	arrivalRate arrivalRate
	// lastSweep is the time of the last pass over all queued requests.
	lastSweep time.Time
	// lastExpiry is the time of the last pass over all granted requests.
	lastExpiry  time.Time
	rng         *rand.Rand
	slotDivisor int
	// maxHeldBytes is the bound of each server; 0 for none.
	maxHeldBytes int64

	// onEjection is called when a server is ejected or readmitted.
	onEjection func(topo.ServerID, health.State)
	// kinds and pace serve the requests whose work is known.
	kinds kinds
	pace  pace
	// proofWanted says that a server was left out because it has not been shown to be
	// warm, since ProbesDue was called last.
	proofWanted bool
	// blocked is why the last request that found free slots could use none of them, and
	// blockedAt when that was.
	blocked   Cause
	blockedAt time.Time
}

// BoundHeldBytes bounds the size of the bodies that the requests at one server may have
// together, so that the server does not run out of memory. It must be called before
// SetServers.
func (p *Pool) BoundHeldBytes(perServer int64) { p.maxHeldBytes = perServer / int64(p.slotDivisor) }

// EjectServers makes the pool eject servers that fail much more often than their peers.
// It calls onEjection when the ejection of a server begins or ends.
func (p *Pool) EjectServers(onEjection func(topo.ServerID, health.State)) {
	p.health.Ejects, p.onEjection = true, onEjection
}

// New returns a pool without servers. slotDivisor divides the slots and the cold
// rate of each server: it is 1 at the home VM of the servers, and greater at a
// VM that cannot reach the home VM and grants only a share of the slots.
func New(rng *rand.Rand, slotDivisor int) *Pool {
	usage := newUsage()
	return &Pool{
		servers: make(map[topo.ServerID]*server), runningAt: make(map[uint64]*server), queue: newQueue(usage), usage: usage, rng: rng, slotDivisor: slotDivisor,
		health: health.NewSet(), meanWork: initialServiceTime,
		kinds: make(kinds), pace: newPace(),
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
		added.standIn, added.maxHeldBytes = p.slotDivisor > 1, p.maxHeldBytes
		p.servers[e.ID] = added
		p.health.Add(e.ID)
	}
	p.pace.valid = false
	for id, s := range p.servers {
		if !keep[id] {
			delete(p.servers, id)
			p.health.Remove(id)
			delete(p.pace.slowness, id)
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

// HeldBytes returns the size of the bodies of the requests that hold slots.
func (p *Pool) HeldBytes() int64 {
	n := int64(0)
	for _, s := range p.servers {
		n += s.heldBytes
	}
	return n
}

// Waiting returns the number of queued requests.
func (p *Pool) Waiting() int { return p.queue.Len() }

// Offer grants, queues or refuses a new request. A later Tick decides on a
// queued request.
func (p *Pool) Offer(now time.Time, r Request) Decision {
	p.expire(now)
	p.arrivalRate.add(now)
	p.kinds.complete(&r)
	if r.workKnown() {
		return p.offerKnown(now, r)
	}
	if len(p.servers) == 0 {
		return p.refuse(now, r, 0, NoServer)
	}
	if p.queue.Len() == 0 {
		if s := p.choose(now, r); s != nil {
			p.kinds.ofUnknown(r).decide(now, true)
			return p.grant(now, now, r, s)
		}
	}
	if p.queue.Len() < maxWaiting && p.queueForFloor(now, r, p.kinds.ofUnknown(r)) {
		return Decision{ID: r.ID, Verdict: Queued}
	}
	wait, ok := p.estimateWait(now, r)
	switch {
	case !ok:
		return p.refuse(now, r, wait, Stalled)
	case p.queue.Len() >= maxWaiting:
		return p.refuse(now, r, wait, QueueFull)
	case now.Add(wait).After(r.StartBy):
		return p.refuse(now, r, wait, p.refusalCause(now, r, NoRoom))
	}
	p.queue.push(now, r)
	return Decision{ID: r.ID, Verdict: Queued}
}

// offerKnown is Offer for a request whose work is known.
func (p *Pool) offerKnown(now time.Time, r Request) Decision {
	p.measure(now)
	kind := p.kinds.of(r)
	floorStartBy := r.StartBy
	r.PromptBy, r.StartBy = p.latestStarts(r)
	kind.offer(now, r)
	if len(p.servers) == 0 {
		return p.refuse(now, r, 0, NoServer)
	}
	if p.queue.Len() == 0 {
		if s := p.choose(now, r); s != nil {
			kind.decide(now, true)
			return p.grant(now, now, r, s)
		}
	}
	if p.pace.workPerSecond <= 0 {
		return p.refuse(now, r, 0, Stalled)
	}
	if p.queue.Len() >= maxWaiting {
		return p.refuse(now, r, 0, QueueFull)
	}
	queued := Decision{ID: r.ID, Verdict: Queued}
	if atFloor := r.withStartBy(floorStartBy); p.queueForFloor(now, atFloor, kind) {
		return queued
	}
	ahead, most := p.queue.workAhead(false, r.Priority, r, p.pace.typical)
	prompt := p.promptWait(now, r, ahead)
	if !now.Add(prompt).After(r.PromptBy) || most > r.Work.Mean && !now.Add(p.promptWait(now, r, ahead-most)).After(r.PromptBy) {
		// In the second case, the next sweep puts the request with the most work last.
		p.queue.add(now, r, false, r.Priority)
		return queued
	}
	ahead, _ = p.queue.workAhead(true, r.Priority, r, p.pace.typical)
	late := p.lateWait(now, r, ahead)
	if now.Add(late).After(r.StartBy) {
		return p.refuse(now, r, prompt, p.refusalCause(now, r, NoRoom))
	}
	p.queue.add(now, r, true, r.Priority)
	return queued
}

// queueForFloor queues a request before all others if its kind is below its floor, and
// reports whether it did. A kind whose work is over-estimated is served too, so that its
// estimate is corrected: its own work does not count for the wait.
func (p *Pool) queueForFloor(now time.Time, r Request, k *kind) bool {
	if !p.kinds.belowFloor(now, k) {
		return false
	}
	p.measure(now)
	ahead, _ := p.queue.workAhead(false, floorPriority, r, p.pace.typical)
	if p.pace.workPerSecond <= 0 || now.Add(p.workTime(ahead, p.pace.workPerSecond)).After(r.StartBy) {
		return false
	}
	k.decide(now, true)
	p.queue.add(now, r, false, floorPriority)
	return true
}

// latestStarts returns the latest start at which the response is still expected to
// have its full value, and the latest at which it is expected in time at all, on
// servers of the mean slowness of the pool.
func (p *Pool) latestStarts(r Request) (promptBy, startBy time.Time) {
	mean := float64(r.Work.Mean) * p.pace.mean
	margin := promptMargin * float64(r.Work.Deviation) * p.pace.mean
	return r.ObjectiveBy.Add(-time.Duration(mean + margin)), r.AnswerBy.Add(-time.Duration(mean))
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
	s := p.runningAt[id]
	if s == nil {
		return
	}
	delete(p.runningAt, id)
	if r.Failed || r.ServiceTime > 0 {
		p.observe(now, s, s.running[id], r)
	}
	s.finish(now, id, r)
}

// observe records what the outcome of a request says about its server.
func (p *Pool) observe(now time.Time, s *server, lease slotLease, r Result) {
	o := health.Observation{Sent: lease.since, Failed: r.Failed, Slowdown: r.Slowdown}
	if r.ServiceTime > 0 {
		o.Relative = r.ServiceTime.Seconds() / lease.work.Seconds()
		p.meanWork += time.Duration(meanWorkWeight * float64(r.ServiceTime-p.meanWork))
		if lease.workKnown {
			p.pace.record(s.ID, lease.work, r.ServiceTime)
		}
	}
	if p.health.Record(now, s.ID, o) && p.onEjection != nil {
		p.onEjection(s.ID, p.health.State(now, s.ID, health.Running{}))
	}
}

// work returns the expected service time of a request at a server of average speed.
func (p *Pool) work(r Request) time.Duration {
	if r.Work.Mean > 0 {
		return r.Work.Mean
	}
	return p.meanWork
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
		w, ok := p.queue.nextWaiter(func(r Request) bool {
			s = p.choose(now, r)
			return s != nil
		})
		if !ok {
			break
		}
		if w.rank.priority != floorPriority {
			p.kinds.ofRequest(w.Request).decide(now, true)
		}
		out = append(out, p.grant(now, w.since, w.Request, s))
	}
	if due {
		out = append(out, p.shedQueue(now)...)
	}
	return out
}

// shedQueue refuses the queued requests that are not expected to start in time:
// every server is stalled, or half of the estimated wait already ends after
// StartBy. Among requests whose work is known, those with the most work are queued as
// late, or refused, until the others are in time (Moore and Hodgson).
func (p *Pool) shedQueue(now time.Time) []Decision {
	t := p.throughput(now)
	p.measure(now)
	plan := sweepPlan{p: p, now: now, t: t}
	p.queue.each(plan.visit)
	for _, w := range plan.demoted {
		p.queue.demote(w)
	}
	return plan.out
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
// request at now; nil if there is none. A server that is in doubt is chosen only if it
// is due for a probe; since at most a third of the servers are ejected, the others carry
// the load.
func (p *Pool) choose(now time.Time, r Request) *server {
	var best *server
	var bestCost float64
	blocked := NoCause
	work := p.work(r)
	for _, s := range p.servers {
		if !s.canStart(now) {
			p.proofWanted = p.proofWanted || s.unproved(now)
			continue
		}
		if slices.Contains(r.Excluded, s.ID) || slices.Contains(r.Avoid, s.ID) && len(p.servers) > len(r.Avoid) {
			continue
		}
		if !s.fits(r.Bytes) {
			blocked = HeldBytes
			continue
		}
		state := p.health.State(now, s.ID, s.load(now))
		if state.Ejected && !state.MayProbe(now, r.Repeatable) {
			blocked = Ejected
			continue
		}
		cost := s.cost(now, r, work, state.Slowness)
		if state.Ejected {
			// A probe that is due goes first.
			cost = 0
		}
		if best == nil || cost < bestCost || cost == bestCost && s.ID < best.ID {
			best, bestCost = s, cost
		}
	}
	if best == nil && blocked != NoCause {
		p.blocked, p.blockedAt = blocked, now
	}
	return best
}

// crossDataCentreCostFactor multiplies the cost of a server in another data
// centre. Pooled services send long responses, and traffic between data centres
// is expensive, so a request leaves its data centre only if the servers there
// are busy or much slower.
const crossDataCentreCostFactor = 3

// meanWorkWeight is the weight of a new response in the mean service time of a pool.
const meanWorkWeight = 0.02

// cost returns the expected time of a request at the server, in seconds, weighted for
// servers that are cold or in another data centre. work is the expected service time of
// the request at a server of average speed, and slowness that of the server relative to it.
func (s *server) cost(now time.Time, r Request, work time.Duration, slowness float64) float64 {
	c := work.Seconds() * slowness * (1 + float64(len(s.running))/float64(s.slots()))
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

// grant grants a slot of a server to a request that was offered at a time.
func (p *Pool) grant(now, offered time.Time, r Request, s *server) Decision {
	probe := s.start(now, r, p.work(r))
	p.health.ProbeStarted(now, s.ID)
	p.runningAt[r.ID] = s
	if r.workKnown() {
		p.pace.typical += time.Duration(paceWeight * float64(r.Work.Mean-p.pace.typical))
	}
	p.usage.add(r.Customer, s.serviceTime)
	return Decision{
		ID: r.ID, Verdict: Granted, Server: s.ID, Probe: probe, Waited: now.Sub(offered), Late: startsLate(offered, now, r),
	}
}

// refuse returns a refusal with a retry delay. The delay follows the estimated
// wait, so that the queue is shorter at the retry. It is randomised, so that
// callers do not retry together, and bounded, so that a caller has most of its
// time left.
func (p *Pool) refuse(now time.Time, r Request, wait time.Duration, cause Cause) Decision {
	p.kinds.ofRequest(r).decide(now, false)
	if r.workKnown() {
		return Decision{ID: r.ID, Verdict: Refused, RetryAfter: p.roomAfter(now, r, wait), Cause: cause}
	}
	latest := min(max(r.StartBy.Sub(now)/retryAfterDivisor, minRetryAfter), maxRetryAfter)
	// The delay is uniform between 1/2 and 3/2 of the mean, so the mean may be
	// at most 2/3 of the latest delay.
	mean := min(max(wait, minRetryAfter), latest*2/3)
	after := mean/2 + time.Duration(p.rng.Int64N(int64(mean)))
	return Decision{ID: r.ID, Verdict: Refused, RetryAfter: max(after, minRetryAfter), Cause: cause}
}

// roomAfter returns the delay after which the pool is expected to have room for a
// request that could start promptly only after wait: when so much of the queue has been
// served that it could. Callers get different delays, up to twice that time. Those who would
// return too late get delays in the second half of the time for which they wait.
func (p *Pool) roomAfter(now time.Time, r Request, wait time.Duration) time.Duration {
	latest := min(max(r.AnswerBy.Sub(now)/retryAfterDivisor, minRetryAfter), maxRetryAfter)
	room := max(minRetryAfter, wait-max(0, r.PromptBy.Sub(now)))
	if 2*room > latest {
		room = max(minRetryAfter, latest/2)
	}
	return room + time.Duration(p.rng.Int64N(int64(room)))
}
