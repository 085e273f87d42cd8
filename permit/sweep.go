package permit

import (
	"container/heap"
	"time"
)

// sweepPlan is a pass over the queued requests in the order in which they are expected
// to start. It finds those that are not expected to start in time.
type sweepPlan struct {
	p   *Pool
	now time.Time
	t   throughput
	// ahead and work are the number and the expected work of the requests that were
	// visited and stay.
	ahead int
	work  time.Duration
	// kept holds the visited requests of each flow that stay and whose work is known.
	kept map[*flow]*byWork
	// demoted holds the requests that are to be queued as late.
	demoted []*waiter
	out     []Decision
}

// visit decides on the next request.
func (s *sweepPlan) visit(w *waiter) {
	if w.rank.priority == floorPriority {
		if s.now.After(w.StartBy) {
			s.refuse(w, 0, TooLate)
			return
		}
		s.keep(w)
		return
	}
	if !w.workKnown() {
		wait, ok := s.t.wait(w.rank.late, s.ahead)
		if ok && !s.now.Add(wait/2).After(w.StartBy) {
			s.ahead++
			s.work += s.p.pace.typical
			return
		}
		cause := Stalled
		if ok {
			cause = s.p.refusalCause(s.now, w.Request, Overtaken)
		}
		s.refuse(w, wait, cause)
		return
	}
	if s.p.pace.workPerSecond <= 0 {
		s.refuse(w, 0, Stalled)
		return
	}
	s.keep(w)
	if w.rank.late {
		wait := s.p.lateWait(s.now, w.Request, s.work-w.Work.Mean)
		if s.now.Add(wait / 2).After(w.StartBy) {
			most := s.removeMost(w.flow)
			s.refuse(most, wait, s.p.refusalCause(s.now, most.Request, Overtaken))
		}
		return
	}
	wait := s.p.promptWait(s.now, w.Request, s.work-w.Work.Mean)
	if s.now.Add(time.Duration(sweepTolerance * float64(wait))).After(w.PromptBy) {
		s.demoted = append(s.demoted, s.removeMost(w.flow))
	}
}

func (s *sweepPlan) keep(w *waiter) {
	s.ahead++
	s.work += w.Work.Mean
	if s.kept == nil {
		s.kept = make(map[*flow]*byWork)
	}
	h := s.kept[w.flow]
	if h == nil {
		h = &byWork{}
		s.kept[w.flow] = h
	}
	heap.Push(h, w)
}

// removeMost takes the request with the most work of a flow out of the plan.
func (s *sweepPlan) removeMost(f *flow) *waiter {
	w := heap.Pop(s.kept[f]).(*waiter)
	s.ahead--
	s.work -= w.Work.Mean
	return w
}

func (s *sweepPlan) refuse(w *waiter, wait time.Duration, cause Cause) {
	s.p.queue.drop(w)
	d := s.p.refuse(s.now, w.Request, wait, cause)
	d.Waited = s.now.Sub(w.since)
	s.out = append(s.out, d)
}

// byWork is a heap of requests. The first one has the most work; of requests with the
// same work it is the one with the latest start.
type byWork []*waiter

func (h byWork) Len() int { return len(h) }
func (h byWork) Less(i, j int) bool {
	if h[i].Work.Mean != h[j].Work.Mean {
		return h[i].Work.Mean > h[j].Work.Mean
	}
	return h[i].latestStart().After(h[j].latestStart())
}
func (h byWork) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *byWork) Push(x any)   { *h = append(*h, x.(*waiter)) }
func (h *byWork) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	return w
}
