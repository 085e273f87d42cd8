// Package dispatch orders the work of one backend server at its home VM
// (sections 4.1 and 4.5 of docs/design.md). Queue is the pure state machine:
// slots, weighted fair queueing by customer, deadlines, drain and the
// cold-start ramp. Dispatcher is its driver, a call.Doer.
package dispatch

import (
	"container/heap"
	"time"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/topo"
)

// Config are the limits of one server's queue.
type Config struct {
	// Slots is the number of requests that the server runs at once.
	Slots int
	// MaxConns is the number of connections for requests; each running
	// request uses one.
	MaxConns int
	// MaxQueued bounds the queued requests of all customers.
	MaxQueued int
	// MaxQueuedPerCustomer bounds the queued requests of one customer in one
	// class.
	MaxQueuedPerCustomer int
	// MaxWait bounds the time that a request is queued.
	MaxWait time.Duration
	// LargeShare is the part of the slots that large requests may take.
	LargeShare float64
	// WarmLatency is the small requests' latency on the warm server, or 0
	// when it is not known and has to be learnt.
	WarmLatency time.Duration
}

// Default limits.
const (
	// DefaultMaxQueued is about 100 times the slots of one server.
	DefaultMaxQueued            = 512
	DefaultMaxQueuedPerCustomer = 128
	DefaultMaxWait              = 2 * time.Second
	DefaultLargeShare           = 1.0 / 3
)

func (c Config) withDefaults() Config {
	if c.MaxQueued <= 0 {
		c.MaxQueued = DefaultMaxQueued
	}
	if c.MaxQueuedPerCustomer <= 0 {
		c.MaxQueuedPerCustomer = DefaultMaxQueuedPerCustomer
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.LargeShare <= 0 {
		c.LargeShare = DefaultLargeShare
	}
	return c
}

// Ticket names a request in a queue.
type Ticket uint64

// Item is what the queue needs to know of a request.
type Item struct {
	Customer topo.CustomerID
	Class    call.Class
	Slice    topo.SliceID
	// Deadline is zero when there is none.
	Deadline time.Time
}

// Refusal ends a queued request, which did not run.
type Refusal struct {
	Ticket Ticket
	Kind   errkind.Kind
}

// Stats is the state that a home VM reports.
type Stats struct {
	Queued, Running, Limit int
	Cold                   bool
}

// Queue is the queue of one backend server. It is pure and not safe for
// concurrent use.
type Queue struct {
	cfg     Config
	ramp    *Ramp
	next    Ticket
	entries map[Ticket]*entry
	classes [call.Large + 1]*class
	// expiries orders the queued entries by the time at which they are refused.
	expiries expiryHeap
	// smallSinceLarge counts the small requests dispatched since the last large one.
	smallSinceLarge int
	running         int
	runningBySlice  map[topo.SliceID]int
	draining        map[topo.SliceID]bool
	leaving         bool
	stopping        bool
	refusals        []Refusal
	// serviceTime is the mean service time by class, 0 when not yet observed.
	serviceTime [call.Large + 1]time.Duration
}

type entry struct {
	Item
	ticket    Ticket
	expiry    time.Time
	heapIndex int // -1 when not queued
	flow      *flow
	started   time.Time
	responded bool
}

// NewQueue returns an empty queue of a server that counts as cold.
func NewQueue(cfg Config, now time.Time) *Queue {
	cfg = cfg.withDefaults()
	q := &Queue{
		cfg:            cfg,
		ramp:           NewRamp(min(cfg.Slots, cfg.MaxConns), cfg.WarmLatency, now),
		entries:        make(map[Ticket]*entry),
		runningBySlice: make(map[topo.SliceID]int),
		draining:       make(map[topo.SliceID]bool),
	}
	for i := range q.classes {
		q.classes[i] = newClass()
	}
	return q
}

// SetWeight sets a customer's weight; the default is 1.
func (q *Queue) SetWeight(id topo.CustomerID, weight float64) {
	for _, c := range q.classes {
		c.setWeight(id, weight)
	}
}

// Offer queues a request. An error is of a kind with outcome NotRun.
func (q *Queue) Offer(now time.Time, it Item) (Ticket, *errkind.Error) {
	if err := q.refusalReason(it.Slice); err != nil {
		return 0, err
	}
	c := q.classes[it.Class]
	f := c.flow(it.Customer)
	defer c.removeIfIdle(f)
	if q.missesDeadline(now, it, f.len()) {
		return 0, errkind.New(errkind.DeadlineBeforeRun, "the deadline cannot be met")
	}
	if f.len() >= q.cfg.MaxQueuedPerCustomer && !q.evictLate(now, f) {
		return 0, errkind.New(errkind.QueueFull, "too many requests of the customer are queued")
	}
	if q.expiries.Len() >= q.cfg.MaxQueued && !q.makeRoom(now, f) {
		return 0, errkind.New(errkind.QueueFull, "the server's queue is full")
	}
	q.next++
	e := &entry{Item: it, ticket: q.next, flow: f, expiry: now.Add(q.cfg.MaxWait)}
	if !it.Deadline.IsZero() && it.Deadline.Before(e.expiry) {
		e.expiry = it.Deadline
	}
	q.entries[e.ticket] = e
	heap.Push(&q.expiries, e)
	c.push(f, e)
	return e.ticket, nil
}

func (q *Queue) refusalReason(s topo.SliceID) *errkind.Error {
	switch {
	case q.stopping:
		return errkind.New(errkind.ShuttingDown, "this VM is stopping")
	case q.leaving:
		return errkind.New(errkind.NotHome, "the server is leaving")
	case q.draining[s]:
		return errkind.New(errkind.NotHome, "slice %d is moving", s)
	}
	return nil
}

// missesDeadline reports that a request with ahead requests of its own customer
// before it ends after its deadline even if all slots serve this customer. An
// idle server is always tried, so that a passing slowness is noticed to end.
func (q *Queue) missesDeadline(now time.Time, it Item, ahead int) bool {
	if it.Deadline.IsZero() {
		return false
	}
	if !now.Before(it.Deadline) {
		return true
	}
	if q.running == 0 {
		return false
	}
	rounds := 1 + ahead/max(q.cfg.Slots, 1)
	return now.Add(time.Duration(rounds) * q.serviceTime[it.Class]).After(it.Deadline)
}

// evictLate refuses queued requests that can no longer meet their deadline,
// of flow f or of all if f is nil, and reports whether there were any.
func (q *Queue) evictLate(now time.Time, f *flow) bool {
	var late []*entry
	for _, e := range q.expiries {
		if (f == nil || e.flow == f) && q.missesDeadline(now, e.Item, 0) {
			late = append(late, e)
		}
	}
	for _, e := range late {
		q.refuse(e, errkind.DeadlineBeforeRun)
	}
	return len(late) > 0
}

// makeRoom refuses what cannot be served in time, else the newest request of
// the longest flow, if that is longer than f.
func (q *Queue) makeRoom(now time.Time, f *flow) bool {
	if q.evictLate(now, nil) {
		return true
	}
	longest := f
	for _, c := range q.classes {
		longest = c.longest(longest)
	}
	if longest == f || longest.len() <= f.len()+1 {
		return false
	}
	q.refuse(longest.newest(), errkind.QueueFull)
	return true
}

func (q *Queue) refuse(e *entry, k errkind.Kind) {
	q.remove(e)
	q.refusals = append(q.refusals, Refusal{e.ticket, k})
}

// remove takes a queued entry out of the queue.
func (q *Queue) remove(e *entry) {
	q.dequeue(e)
	delete(q.entries, e.ticket)
}

func (q *Queue) dequeue(e *entry) {
	heap.Remove(&q.expiries, e.heapIndex)
	e.flow.remove(e)
}

// Cancel removes a queued request and reports whether it was still queued. A
// request that is running ends with Done.
func (q *Queue) Cancel(t Ticket) bool {
	e := q.entries[t]
	if e == nil || e.heapIndex < 0 {
		return false
	}
	q.remove(e)
	return true
}

// Stats returns the current state.
func (q *Queue) Stats() Stats {
	return Stats{q.expiries.Len(), q.running, q.ramp.Limit(), q.ramp.Cold()}
}

// expiryHeap orders entries by limit, then by ticket.
type expiryHeap []*entry

func (h expiryHeap) Len() int { return len(h) }
func (h expiryHeap) Less(i, j int) bool {
	if !h[i].expiry.Equal(h[j].expiry) {
		return h[i].expiry.Before(h[j].expiry)
	}
	return h[i].ticket < h[j].ticket
}
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.heapIndex = -1
	return e
}
