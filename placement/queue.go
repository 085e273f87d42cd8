package placement

import (
	"container/heap"
	"slices"
)

// shareQueue is a priority queue of servers whose loads change while they are queued.
type shareQueue struct {
	list []*share
	// before is the order of the queue, and position returns where a server keeps its
	// position in it.
	before   func(a, b *share) bool
	position func(*share) *int
}

func (q *shareQueue) Len() int           { return len(q.list) }
func (q *shareQueue) Less(i, j int) bool { return q.before(q.list[i], q.list[j]) }

func (q *shareQueue) Swap(i, j int) {
	q.list[i], q.list[j] = q.list[j], q.list[i]
	*q.position(q.list[i]), *q.position(q.list[j]) = i, j
}

func (q *shareQueue) Push(x any) {
	s := x.(*share)
	*q.position(s) = len(q.list)
	q.list = append(q.list, s)
}

func (q *shareQueue) Pop() any {
	s := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	*q.position(s) = -1
	return s
}

// first returns the first server, or nil.
func (q *shareQueue) first() *share {
	if len(q.list) == 0 {
		return nil
	}
	return q.list[0]
}

// firstN returns the first n servers in order.
func (q *shareQueue) firstN(n int) []*share {
	var out []*share
	// The children of a server are the only ones that can follow it directly.
	open := []int{0}
	for len(out) < n && len(open) > 0 {
		best := 0
		for i := range open {
			if open[i] < len(q.list) && (open[best] >= len(q.list) || q.Less(open[i], open[best])) {
				best = i
			}
		}
		at := open[best]
		if at >= len(q.list) {
			break
		}
		out = append(out, q.list[at])
		open = append(slices.Delete(open, best, best+1), 2*at+1, 2*at+2)
	}
	return out
}

func (q *shareQueue) add(s *share) {
	if *q.position(s) < 0 {
		heap.Push(q, s)
	}
}

func (q *shareQueue) remove(s *share) {
	if i := *q.position(s); i >= 0 {
		heap.Remove(q, i)
	}
}

func (q *shareQueue) fix(s *share) {
	if i := *q.position(s); i >= 0 {
		heap.Fix(q, i)
	}
}

// queueServers queues the given servers as sources, those of the highest marginal cost
// first, and all servers as destinations, those of the lowest first.
func (st *planState) queueServers(sources []*share) {
	st.sources = shareQueue{before: func(a, b *share) bool { return higherCost(a, b) }, position: func(s *share) *int { return &s.asSource }}
	st.destinations = shareQueue{before: func(a, b *share) bool { return lowerCost(a, b) }, position: func(s *share) *int { return &s.asDestination }}
	for _, s := range st.shares {
		s.asSource, s.asDestination = -1, -1
	}
	for _, s := range sources {
		if !s.refusing {
			st.sources.add(s)
		}
	}
	for _, s := range st.shares {
		if !s.refusing {
			st.destinations.add(s)
		}
	}
}

func higherCost(a, b *share) bool {
	return a.marginalCost > b.marginalCost || a.marginalCost == b.marginalCost && a.ID < b.ID
}

func lowerCost(a, b *share) bool {
	return a.marginalCost < b.marginalCost || a.marginalCost == b.marginalCost && a.ID < b.ID
}

// reorder moves a server to its place in the queues after its load has changed.
func (st *planState) reorder(s *share) {
	st.sources.fix(s)
	st.destinations.fix(s)
}
