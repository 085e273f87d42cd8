package permit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// queue holds the requests that wait for a slot of a pool. The cost of a
// decision grows with the number of customers that have queued requests, and with
// the logarithm of the number of requests, so that the queue stays cheap at loads
// far above the capacity of the servers.
//
// Requests of a kind that is below its floor precede all others. Prompt requests
// precede late ones. Within each of the two groups, the more urgent priority
// precedes. Within a priority, the customer with the least recent usage is next. The
// requests of one customer whose work is known are in the order of their latest
// start, those whose work is not known in the order of arrival.
type queue struct {
	ranks []*rank
	byID  map[uint64]*waiter
	usage *customerUsage
	// lastSeq is the sequence number of the last request.
	lastSeq uint64
}

// floorPriority is the priority of the rank whose requests precede all others.
const floorPriority = math.MinInt

// waiter is a queued request. A removed one whose work is not known stays in the list
// of its flow until it reaches the head or the flow is compacted.
type waiter struct {
	Request
	rank    *rank
	flow    *flow
	seq     uint64
	since   time.Time
	removed bool
}

// rank holds either the prompt or the late requests of one priority.
type rank struct {
	late     bool
	priority int
	flows    []*flow
	waiting  int
	// work is the expected work of the requests whose work is known, and unknown the
	// number of the others.
	work    time.Duration
	unknown int
}

// flow holds the requests of one customer in a rank, either those whose work is known,
// in timed, or the others, in list in the order of arrival. waiting counts those that
// are not removed.
type flow struct {
	customer topo.CustomerID
	byTime   bool
	list     []*waiter
	timed    timeline
	waiting  int
}

func newQueue(usage *customerUsage) *queue {
	return &queue{byID: make(map[uint64]*waiter), usage: usage}
}

// Len returns the number of queued requests.
func (q *queue) Len() int { return len(q.byID) }

// push adds a request to the flow of its customer in its rank.
func (q *queue) push(now time.Time, r Request) {
	q.add(now, r, now.After(r.PromptBy), r.Priority)
}

// add adds a request that has been queued since a time to a rank.
func (q *queue) add(since time.Time, r Request, late bool, priority int) {
	rk := q.rank(late, priority)
	q.lastSeq++
	w := &waiter{Request: r, rank: rk, flow: rk.flow(r.Customer, r.workKnown()), seq: q.lastSeq, since: since}
	q.byID[r.ID] = w
	if w.flow.byTime {
		w.flow.timed.add(w.latestStart(), w)
		rk.work += r.Work.Mean
	} else {
		w.flow.list = append(w.flow.list, w)
		rk.unknown++
	}
	w.flow.waiting++
	rk.waiting++
}

// latestStart returns the time that orders the request in its flow.
func (w *waiter) latestStart() time.Time {
	if w.rank.late {
		return w.StartBy
	}
	return w.PromptBy
}

// rank returns the rank of a priority and creates it if it does not exist.
func (q *queue) rank(late bool, priority int) *rank {
	i, ok := slices.BinarySearchFunc(q.ranks, rank{late: late, priority: priority}, func(a *rank, b rank) int {
		return compareRanks(a.late, a.priority, b.late, b.priority)
	})
	if !ok {
		q.ranks = slices.Insert(q.ranks, i, &rank{late: late, priority: priority})
	}
	return q.ranks[i]
}

func compareRanks(lateA bool, priorityA int, lateB bool, priorityB int) int {
	if lateA != lateB {
		if lateA {
			return 1
		}
		return -1
	}
	return cmp.Compare(priorityA, priorityB)
}

// flow returns the flow of a customer and creates it if it does not exist.
func (rk *rank) flow(id topo.CustomerID, byTime bool) *flow {
	for _, f := range rk.flows {
		if f.customer == id && f.byTime == byTime {
			return f
		}
	}
	f := &flow{customer: id, byTime: byTime}
	rk.flows = append(rk.flows, f)
	return f
}

// remove removes a request and reports whether it was queued.
func (q *queue) remove(id uint64) bool {
	w := q.byID[id]
	if w == nil {
		return false
	}
	q.drop(w)
	return true
}

func (q *queue) drop(w *waiter) {
	delete(q.byID, w.ID)
	w.removed = true
	w.flow.waiting--
	w.rank.waiting--
	if w.flow.byTime {
		w.flow.timed.remove(w.latestStart(), w)
		w.rank.work -= w.Work.Mean
	} else {
		w.rank.unknown--
	}
}

// demoteLate moves the requests whose PromptBy has passed to the late ranks.
func (q *queue) demoteLate(now time.Time) {
	var late []*waiter
	for _, rk := range q.ranks {
		if rk.late || rk.priority == floorPriority || rk.waiting == 0 {
			continue
		}
		for _, f := range rk.flows {
			f.each(func(w *waiter) {
				if now.After(w.PromptBy) {
					late = append(late, w)
				}
			})
		}
	}
	for _, w := range late {
		q.demote(w)
	}
}

// demote moves a request to the late rank of its priority.
func (q *queue) demote(w *waiter) {
	q.drop(w)
	q.add(w.since, w.Request, true, w.Priority)
}

// each calls f with the requests of the flow that are not removed, in order.
func (f *flow) each(visit func(*waiter)) {
	if f.byTime {
		f.timed.each(visit)
		return
	}
	for _, w := range f.list {
		if !w.removed {
			visit(w)
		}
	}
}

// next removes and returns the first request for which fits returns true. It
// calls fits in the order of the queue, and only for the first request of each
// flow.
func (q *queue) next(fits func(Request) bool) (Request, bool) {
	w, ok := q.nextWaiter(fits)
	if !ok {
		return Request{}, false
	}
	return w.Request, true
}

func (q *queue) nextWaiter(fits func(Request) bool) (*waiter, bool) {
	for _, rk := range q.ranks {
		if rk.waiting == 0 {
			continue
		}
		rk.sort(q.usage)
		for _, f := range rk.flows {
			if w := f.first(); fits(w.Request) {
				q.drop(w)
				return w, true
			}
		}
	}
	return nil, false
}

// sort removes empty flows and orders the others by the recent usage of their
// customers. The two flows of one customer are in the order of the latest prompt
// start of their first requests.
func (rk *rank) sort(usage *customerUsage) {
	rk.flows = slices.DeleteFunc(rk.flows, func(f *flow) bool { return f.waiting == 0 })
	slices.SortStableFunc(rk.flows, func(a, b *flow) int {
		if c := cmp.Compare(usage.of(a.customer), usage.of(b.customer)); c != 0 || a.customer != b.customer {
			return c
		}
		return a.first().PromptBy.Compare(b.first().PromptBy)
	})
}

// first drops removed requests from the head of the flow and returns the first
// remaining one. The flow must have a queued request.
func (f *flow) first() *waiter {
	if f.byTime {
		return f.timed.first()
	}
	for f.list[0].removed {
		f.list[0] = nil
		f.list = f.list[1:]
	}
	return f.list[0]
}

// compact deletes the removed requests from the list.
func (f *flow) compact() {
	f.list = slices.DeleteFunc(f.list, func(w *waiter) bool { return w.removed })
}

// ahead returns how many queued requests would start before a new request r that
// is queued as late or as prompt.
func (q *queue) ahead(late bool, r Request) int {
	n := 0
	for _, rk := range q.ranks {
		switch c := compareRanks(rk.late, rk.priority, late, r.Priority); {
		case c < 0:
			n += rk.waiting
		case c == 0:
			n += rk.aheadInRank(r)
		}
	}
	return n
}

// aheadInRank returns how many requests of the rank would start before a new one
// whose work is not known, assuming that customers are served in round-robin order.
func (rk *rank) aheadInRank(r Request) int {
	id, own := r.Customer, 0
	for _, f := range rk.flows {
		switch {
		case f.customer != id:
		case f.byTime:
			before, _, _ := f.timed.before(r.PromptBy)
			own += before
		default:
			own += f.waiting
		}
	}
	n := own
	for _, f := range rk.flows {
		if f.customer != id {
			n += min(own+1, f.waiting)
		}
	}
	return n
}

// workAhead returns the expected work of the queued requests that would start before
// a new request r whose work is known, and the greatest work among those of its own
// customer in its rank. A request whose work is not known counts as typical.
func (q *queue) workAhead(late bool, priority int, r Request, typical time.Duration) (work, most time.Duration) {
	for _, rk := range q.ranks {
		switch c := compareRanks(rk.late, rk.priority, late, priority); {
		case c < 0:
			work += rk.work + time.Duration(rk.unknown)*typical
		case c == 0:
			var inRank time.Duration
			inRank, most = rk.workAheadInRank(late, r, typical)
			work += inRank
		}
	}
	return work, most
}

// workAheadInRank is workAhead within the rank of the request, assuming that customers
// are served in turn.
func (rk *rank) workAheadInRank(late bool, r Request, typical time.Duration) (work, most time.Duration) {
	at := r.PromptBy
	if late {
		at = r.StartBy
	}
	for _, f := range rk.flows {
		if f.customer == r.Customer && f.byTime {
			_, work, most = f.timed.before(at)
		}
	}
	own := work + r.Work.Mean
	for _, f := range rk.flows {
		switch {
		case f.customer != r.Customer:
			work += min(own, f.workOf(typical))
		case !f.byTime:
			work += f.workOf(typical)
		}
	}
	return work, most
}

// workOf returns the expected work of the flow.
func (f *flow) workOf(typical time.Duration) time.Duration {
	if f.byTime {
		return f.timed.work()
	}
	return time.Duration(f.waiting) * typical
}

// each calls visit with all queued requests in the order in which they are expected to
// start. visit may remove the requests that it has got.
func (q *queue) each(visit func(w *waiter)) {
	for _, rk := range q.ranks {
		if rk.waiting == 0 {
			continue
		}
		rk.sort(q.usage)
		lists := make([][]*waiter, len(rk.flows))
		for i, f := range rk.flows {
			f.compact()
			lists[i] = f.list
			if f.byTime {
				lists[i] = make([]*waiter, 0, f.waiting)
				f.each(func(w *waiter) { lists[i] = append(lists[i], w) })
			}
		}
		for turn, left := 0, rk.waiting; left > 0; turn++ {
			for _, list := range lists {
				if turn < len(list) {
					left--
					visit(list[turn])
				}
			}
		}
	}
}
