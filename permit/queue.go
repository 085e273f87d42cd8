package permit

import (
	"cmp"
	"slices"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// queue holds the requests that wait for a slot of a pool. The cost of a
// decision grows with the number of customers that have queued requests, not
// with the number of requests, so that the queue stays cheap at loads far above
// the capacity of the servers.
//
// Prompt requests precede late ones. Within each of the two groups, the more
// urgent priority precedes. Within a priority, the customer with the least
// recent usage is next, and the requests of one customer are in the order of
// arrival.
type queue struct {
	ranks []*rank
	byID  map[uint64]*waiter
	usage *customerUsage
}

// waiter is a queued request. A removed one stays in the list of its flow until
// it reaches the head or the flow is compacted.
type waiter struct {
	Request
	rank    *rank
	flow    *flow
	removed bool
}

// rank holds either the prompt or the late requests of one priority.
type rank struct {
	late     bool
	priority int
	flows    []*flow
	waiting  int
}

// flow holds the requests of one customer in a rank, in the order of arrival.
// waiting counts those that are not removed.
type flow struct {
	customer topo.CustomerID
	list     []*waiter
	waiting  int
}

func newQueue(usage *customerUsage) *queue {
	return &queue{byID: make(map[uint64]*waiter), usage: usage}
}

// Len returns the number of queued requests.
func (q *queue) Len() int { return len(q.byID) }

// push appends a request to the flow of its customer in its rank.
func (q *queue) push(now time.Time, r Request) {
	rk := q.rank(now.After(r.PromptBy), r.Priority)
	w := &waiter{Request: r, rank: rk, flow: rk.flow(r.Customer)}
	q.byID[r.ID] = w
	w.flow.list = append(w.flow.list, w)
	w.flow.waiting++
	rk.waiting++
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
func (rk *rank) flow(id topo.CustomerID) *flow {
	for _, f := range rk.flows {
		if f.customer == id {
			return f
		}
	}
	f := &flow{customer: id}
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
}

// demoteLate moves the requests whose PromptBy has passed to the late ranks.
func (q *queue) demoteLate(now time.Time) {
	var late []*waiter
	for _, rk := range q.ranks {
		if rk.late || rk.waiting == 0 {
			continue
		}
		for _, f := range rk.flows {
			for _, w := range f.list {
				if !w.removed && now.After(w.PromptBy) {
					late = append(late, w)
				}
			}
		}
	}
	for _, w := range late {
		q.drop(w)
		q.push(now, w.Request)
	}
}

// next removes and returns the first request for which fits returns true. It
// calls fits in the order of the queue, and only for the first request of each
// flow.
func (q *queue) next(fits func(Request) bool) (Request, bool) {
	for _, rk := range q.ranks {
		if rk.waiting == 0 {
			continue
		}
		rk.sort(q.usage)
		for _, f := range rk.flows {
			if w := f.first(); fits(w.Request) {
				q.drop(w)
				return w.Request, true
			}
		}
	}
	return Request{}, false
}

// sort removes empty flows and orders the others by the recent usage of their
// customers.
func (rk *rank) sort(usage *customerUsage) {
	rk.flows = slices.DeleteFunc(rk.flows, func(f *flow) bool { return f.waiting == 0 })
	slices.SortStableFunc(rk.flows, func(a, b *flow) int {
		return cmp.Compare(usage.of(a.customer), usage.of(b.customer))
	})
}

// first drops removed requests from the head of the flow and returns the first
// remaining one. The flow must have a queued request.
func (f *flow) first() *waiter {
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
			n += rk.aheadInRank(r.Customer)
		}
	}
	return n
}

// aheadInRank returns how many requests of the rank would start before a new one
// of a customer, assuming that customers are served in round-robin order.
func (rk *rank) aheadInRank(id topo.CustomerID) int {
	own := 0
	for _, f := range rk.flows {
		if f.customer == id {
			own = f.waiting
			break
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

// removeIf removes the requests for which shouldRefuse returns true. It calls
// shouldRefuse with each request, whether the request is late, and how many
// requests start before it.
func (q *queue) removeIf(shouldRefuse func(r Request, late bool, ahead int) bool) {
	ahead := 0
	for _, rk := range q.ranks {
		rk.sort(q.usage)
		for _, f := range rk.flows {
			f.compact()
		}
		for turn, left := 0, rk.waiting; left > 0; turn++ {
			for _, f := range rk.flows {
				if turn >= len(f.list) {
					continue
				}
				left--
				if w := f.list[turn]; shouldRefuse(w.Request, rk.late, ahead) {
					q.drop(w)
				} else {
					ahead++
				}
			}
		}
	}
}
