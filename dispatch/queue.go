package dispatch

import (
	"container/heap"
	"time"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/topo"
)

// Config holds the limits of one server's queue. Zero and negative values of the
// fields that have a default constant select that default.
type Config struct {
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// MaxConns is the number of connections available for requests. Each
	// running request uses one.
	MaxConns int
	// MaxQueued bounds the number of queued requests of all customers.
	MaxQueued int
	// MaxQueuedPerCustomer bounds the number of queued requests of one customer
	// in one class.
	MaxQueuedPerCustomer int
	// MaxWait bounds the time that a request spends in the queue.
	MaxWait time.Duration
	// LargeShare is the fraction of the slots that large requests may occupy.
	LargeShare float64
	// WarmLatency is the latency of small requests on the warm server. If it is
	// 0, the ramp learns it.
	WarmLatency time.Duration
}

// Defaults of the limits in Config.
const (
	// DefaultMaxQueued is about 100 times the number of slots of one server.
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

// Ticket identifies a request within one queue. Tickets increase in the order of
// arrival and are not reused.
type Ticket uint64

// Item holds the attributes of a request by which the queue schedules it.
type Item struct {
	Customer topo.CustomerID
	Class    call.Class
	Slice    topo.SliceID
	// Deadline is the zero time if the request has none.
	Deadline time.Time
}

// Refusal reports a request that was removed from the queue without having run,
// with the kind of error to return to its caller.
type Refusal struct {
	Ticket Ticket
	Kind   errkind.Kind
}

// Stats is a snapshot of the queue that the home VM reports. Limit is the number
// of requests that the ramp allows to run at present, and Cold says whether the
// ramp is in progress.
type Stats struct {
	Queued, Running, Limit int
	Cold                   bool
}

// Queue schedules the requests to one backend server. The caller passes in the
// time; Queue does no I/O, starts no goroutines and is not safe for concurrent
// use.
type Queue struct {
	cfg     Config
	ramp    *Ramp
	next    Ticket
	entries map[Ticket]*entry
	classes [call.Large + 1]*class
	// expiries orders the queued entries by the time at which they expire.
	expiries expiryHeap
	// smallSinceLarge is the number of small requests dispatched since the last
	// large one.
	smallSinceLarge int
	running         int
	runningBySlice  map[topo.SliceID]int
	draining        map[topo.SliceID]bool
	leaving         bool
	stopping        bool
	refusals        []Refusal
	// serviceTime is the moving average of the service time by class, or 0 if
	// none has been observed yet.
	serviceTime [call.Large + 1]time.Duration
}

type entry struct {
	Item
	ticket    Ticket
	expiry    time.Time // deadline or end of MaxWait, whichever is earlier
	heapIndex int       // -1 when not queued
	flow      *flow
	started   time.Time
	responded bool
}

// NewQueue returns an empty queue for a server that is assumed to be cold. At
// most cfg.Slots or cfg.MaxConns requests run at once, whichever is lower.
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

// SetWeight sets a customer's weight in all classes; the default is 1. Weights
// outside 0.1 to 10 are clamped.
func (q *Queue) SetWeight(id topo.CustomerID, weight float64) {
	for _, c := range q.classes {
		c.setWeight(id, weight)
	}
}

// Offer queues a request, or returns an error whose kind has the outcome NotRun.
// To make room it may refuse other queued requests, which Refusals returns.
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

// missesDeadline reports whether a request with the given number of requests of
// the same customer ahead of it is expected to end after its deadline even if all
// slots serve this customer. It does not apply the estimate to an idle server, as
// only new requests can show that a temporary slowdown is over.
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

// evictLate refuses the queued requests of flow f, or of all flows if f is nil,
// that are expected to miss their deadlines. It reports whether there were any.
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

// makeRoom refuses the queued requests that are expected to miss their deadlines
// or, if there are none, the newest request of the longest flow, provided that
// this flow stays at least as long as f. It reports whether it made room.
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

// remove deletes a queued entry from the queue.
func (q *Queue) remove(e *entry) {
	q.dequeue(e)
	delete(q.entries, e.ticket)
}

// dequeue removes an entry from the scheduling lists and keeps its ticket valid.
func (q *Queue) dequeue(e *entry) {
	heap.Remove(&q.expiries, e.heapIndex)
	e.flow.remove(e)
}

// Cancel removes a queued request and reports whether it was still queued. It
// does not affect a running request, which ends with Done.
func (q *Queue) Cancel(t Ticket) bool {
	e := q.entries[t]
	if e == nil || e.heapIndex < 0 {
		return false
	}
	q.remove(e)
	return true
}

// Stats returns a snapshot of the queue and the ramp.
func (q *Queue) Stats() Stats {
	return Stats{q.expiries.Len(), q.running, q.ramp.Limit(), q.ramp.Cold()}
}

// expiryHeap is a heap.Interface that orders entries by expiry, then by ticket.
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
