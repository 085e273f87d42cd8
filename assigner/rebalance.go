package assigner

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// scanLimit is the maximum number of slices that pickSlice examines.
const scanLimit = 256

// deviation is the number of slices that a server has above its share; it is
// negative below the share.
type deviation struct {
	index  uint16
	excess float64
}

// rebalance starts voluntary moves from servers above their share to servers below
// it. Every move lowers the sum of squared deviations, so no move undoes an earlier
// one and a balanced service has no moves. Slices start to move between a pair of
// servers only if no earlier batch is still moving between them.
func (a *Assigner) rebalance(s *service) {
	a.refillTokens(s)
	if s.tokens < 1 {
		return
	}
	devs := a.deviations(s)
	donors := &devHeap{devs: devs, sign: -1}
	recipients := &devHeap{devs: slices.Clone(devs), sign: 1}
	heap.Init(donors)
	heap.Init(recipients)
	started := map[serverPair]bool{}
	for s.tokens >= 1 && donors.Len() > 0 && donors.devs[0].excess-recipients.devs[0].excess > 1 {
		from, to := &donors.devs[0], &recipients.devs[0]
		p := serverPair{from.index, to.index}
		id, ok := s.pickSlice(from.index, a.now)
		if !ok || s.movesByPair[p] > 0 && !started[p] {
			heap.Pop(donors)
			continue
		}
		started[p] = true
		a.startMove(s, id, &activeMove{to: to.index, cause: CauseRebalance})
		s.tokens--
		from.excess--
		to.excess++
		heap.Fix(donors, 0)
		heap.Fix(recipients, 0)
	}
}

// pickSlice returns a slice of the server for which a move may start. It examines
// at most scanLimit slices.
func (s *service) pickSlice(i uint16, now time.Time) (topo.SliceID, bool) {
	ids := s.owned.slicesOf(i)
	for n := len(ids) - 1; n >= max(0, len(ids)-scanLimit); n-- {
		if s.movable(ids[n], now) {
			return ids[n], true
		}
	}
	return 0, false
}

// devHeap is a heap of servers by deviation, in ascending order if sign is 1 and
// in descending order if it is -1.
type devHeap struct {
	devs []deviation
	sign float64
}

func (h *devHeap) Len() int      { return len(h.devs) }
func (h *devHeap) Swap(i, j int) { h.devs[i], h.devs[j] = h.devs[j], h.devs[i] }
func (h *devHeap) Push(x any)    { h.devs = append(h.devs, x.(deviation)) }
func (h *devHeap) Less(i, j int) bool {
	x, y := h.devs[i], h.devs[j]
	return cmp.Or(cmp.Compare(x.excess*h.sign, y.excess*h.sign), cmp.Compare(x.index, y.index)) < 0
}
func (h *devHeap) Pop() any {
	last := h.devs[len(h.devs)-1]
	h.devs = h.devs[:len(h.devs)-1]
	return last
}

func (a *Assigner) refillTokens(s *service) {
	rate := MoveBudget * float64(s.slices)
	if s.tokensUpdatedAt.IsZero() {
		s.tokensUpdatedAt = a.now
	}
	s.tokens = min(max(1, rate), s.tokens+rate*a.now.Sub(s.tokensUpdatedAt).Seconds())
	s.tokensUpdatedAt = a.now
}

// deviations returns the deviations of the available servers, or nil if no move
// would improve the balance.
func (a *Assigner) deviations(s *service) []deviation {
	total := 0.0
	slicesPlanned := 0
	for _, v := range s.servers {
		if v.available {
			total += v.weight(a.now)
			slicesPlanned += v.planned
		}
	}
	if total == 0 {
		return nil
	}
	devs := make([]deviation, 0, len(s.servers))
	lowest, highest := 0.0, 0.0
	for i, v := range s.servers {
		if !v.available {
			continue
		}
		excess := float64(v.planned) - float64(slicesPlanned)*v.weight(a.now)/total
		lowest, highest = min(lowest, excess), max(highest, excess)
		devs = append(devs, deviation{uint16(i), excess})
	}
	if highest-lowest <= 1 {
		return nil
	}
	return devs
}
