package permit

import (
	"cmp"
	"slices"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// queue holds the requests that wait for a slot of a pool. It answers loads
// far above what the servers can do: its work for one request grows with the
// customers that wait, not with the requests.
//
// Requests that can still be answered promptly go first, then those of the
// more urgent priority. Within a priority customers take turns by the work
// that was done for them, and each customer's requests go in the order in which
// they came.
type queue struct {
	ranks []*rank
	byID  map[uint64]*waiter
	usage *customerUsage
}

// waiter is a request that waits.
type waiter struct {
	Request
	rank    *rank
	flow    *flow
	removed bool
}

// rank holds the waiting requests of one priority, prompt or late.
type rank struct {
	late     bool
	priority int
	flows    []*flow
	waiting  int
}

// lane holds one customer's requests of a rank in the order of arrival. Those
// that are gone are skipped at its head.
type flow struct {
	customer topo.CustomerID
	list     []*waiter
	waiting  int
}

func newQueue(usage *customerUsage) *queue {
	return &queue{byID: make(map[uint64]*waiter), usage: usage}
}

// Len returns the number of requests that wait.
func (q *queue) Len() int { return len(q.byID) }

// push adds a request behind those of its rank and customer.
func (q *queue) push(now time.Time, r Request) {
	g := q.rank(now.After(r.PromptBy), r.Priority)
	w := &waiter{Request: r, rank: g, flow: g.flow(r.Customer)}
	q.byID[r.ID] = w
	w.flow.list = append(w.flow.list, w)
	w.flow.waiting++
	g.waiting++
}

// rank returns the rank of a priority, which it adds if there is none.
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

// lane returns the lane of a customer, which it adds if there is none.
func (g *rank) flow(id topo.CustomerID) *flow {
	for _, f := range g.flows {
		if f.customer == id {
			return f
		}
	}
	f := &flow{customer: id}
	g.flows = append(g.flows, f)
	return f
}

// remove takes a request out of the queue. It reports whether it was there.
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

// demoteLate moves the requests that can no longer be prompt to the late ranks.
func (q *queue) demoteLate(now time.Time) {
	var late []*waiter
	for _, g := range q.ranks {
		if g.late || g.waiting == 0 {
			continue
		}
		for _, f := range g.flows {
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

// next removes and returns the first request that fits; fits is asked in the
// order in which requests are to start, once for the first of each customer.
func (q *queue) next(fits func(Request) bool) (Request, bool) {
	for _, g := range q.ranks {
		if g.waiting == 0 {
			continue
		}
		g.sort(q.usage)
		for _, f := range g.flows {
			if w := f.first(); fits(w.Request) {
				q.drop(w)
				return w.Request, true
			}
		}
	}
	return Request{}, false
}

// sort drops empty lanes and orders the customers by the work that was done
// for them.
func (g *rank) sort(usage *customerUsage) {
	g.flows = slices.DeleteFunc(g.flows, func(f *flow) bool { return f.waiting == 0 })
	slices.SortStableFunc(g.flows, func(a, b *flow) int {
		return cmp.Compare(usage.of(a.customer), usage.of(b.customer))
	})
}

// first returns the first request of a lane that has one.
func (f *flow) first() *waiter {
	for f.list[0].removed {
		f.list[0] = nil
		f.list = f.list[1:]
	}
	return f.list[0]
}

// compact drops the requests that are gone.
func (f *flow) compact() {
	f.list = slices.DeleteFunc(f.list, func(w *waiter) bool { return w.removed })
}

// ahead returns how many requests start before a new one, which is late or
// still prompt.
func (q *queue) ahead(late bool, r Request) int {
	n := 0
	for _, g := range q.ranks {
		switch c := compareRanks(g.late, g.priority, late, r.Priority); {
		case c < 0:
			n += g.waiting
		case c == 0:
			n += g.aheadInRank(r.Customer)
		}
	}
	return n
}

// turns returns how many requests of the rank start before a further one of a
// customer, when customers take turns.
func (g *rank) aheadInRank(id topo.CustomerID) int {
	own := 0
	for _, f := range g.flows {
		if f.customer == id {
			own = f.waiting
			break
		}
	}
	n := own
	for _, f := range g.flows {
		if f.customer != id {
			n += min(own+1, f.waiting)
		}
	}
	return n
}

// removeIf removes the requests for which hopeless is true. It is told whether
// each is late and how many requests start before it.
func (q *queue) removeIf(shouldRemove func(r Request, late bool, ahead int) bool) {
	ahead := 0
	for _, g := range q.ranks {
		g.sort(q.usage)
		for _, f := range g.flows {
			f.compact()
		}
		for turn, left := 0, g.waiting; left > 0; turn++ {
			for _, f := range g.flows {
				if turn >= len(f.list) {
					continue
				}
				left--
				if w := f.list[turn]; shouldRemove(w.Request, g.late, ahead) {
					q.drop(w)
				} else {
					ahead++
				}
			}
		}
	}
}
