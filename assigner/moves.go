package assigner

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// serverPair is the old and the new owner of a move.
type serverPair struct{ from, to uint16 }

// activeMove is the move of a slice or hot key that drains at its owner.
type activeMove struct {
	from, to  uint16
	startedAt time.Time
	// version is the first table version that contains the drain. A report from
	// a VM with a lower version refers to an earlier drain.
	version slicemap.Version
	cause   Cause
	// drained is true once the old owner is certain not to hold the slice any
	// more. lost is true if that is because the old owner was lost.
	drained, lost bool
	// split is the hot key to separate from the slice once the slice is drained,
	// or nil.
	split *split
	// demote returns the hot key to its slice once it is drained.
	demote bool
}

// startMove starts the drain of a slice or hot key at its owner.
func (a *Assigner) startMove(s *service, id topo.SliceID, m *activeMove) {
	e := a.builder.Entry(s.name, id)
	m.from, m.startedAt, m.version = e.Owner, a.now, a.nextVersion()
	e.Phase, e.Next = slicemap.Draining, m.to
	a.setEntry(s, id, e)
	s.addMove(id, m)
	a.record(s, Started, m.cause, m.from, m.to, id)
}

func (s *service) addMove(id topo.SliceID, m *activeMove) {
	s.activeMoves[id] = m
	s.movesByPair[serverPair{m.from, m.to}]++
}

func (s *service) dropMove(id topo.SliceID) {
	m := s.activeMoves[id]
	delete(s.activeMoves, id)
	p := serverPair{m.from, m.to}
	if s.movesByPair[p]--; s.movesByPair[p] == 0 {
		delete(s.movesByPair, p)
	}
}

// retarget changes the new owner of a slice that is already draining.
func (a *Assigner) retarget(s *service, id topo.SliceID, to uint16) {
	m := s.activeMoves[id]
	s.dropMove(id)
	m.to = to
	s.addMove(id, m)
	e := a.builder.Entry(s.name, id)
	e.Next = to
	a.setEntry(s, id, e)
}

// finishMoves assigns drained slices to their new owners and aborts moves that
// exceed MoveTimeout.
func (a *Assigner) finishMoves(s *service) {
	for _, id := range slices.Sorted(maps.Keys(s.activeMoves)) {
		switch m := s.activeMoves[id]; {
		case m.drained:
			a.finishMove(s, id, m)
		case a.now.Sub(m.startedAt) >= MoveTimeout && !a.keepDraining(s, m):
			a.abortMove(s, id, m)
		}
	}
}

// keepDraining reports whether a move must not be aborted. That is so for a move
// that resolves a claim, as nothing else does, and for a move away from a server that
// has been unavailable for ForcedMoveAbortWindow and must get no new requests.
func (a *Assigner) keepDraining(s *service, m *activeMove) bool {
	from := s.servers[m.from]
	return m.cause == CauseClaim || !from.available && a.now.Sub(from.availabilityChangedAt) >= ForcedMoveAbortWindow
}

func (a *Assigner) finishMove(s *service, id topo.SliceID, m *activeMove) {
	s.dropMove(id)
	cause := m.cause
	if m.lost {
		cause = CauseLost
	}
	if m.demote && !m.lost {
		a.record(s, Finished, cause, m.from, slicemap.NoOwner, id)
		a.builder.SetHot(s.name, int(uint32(id)-s.slices), slicemap.Hot{})
		return
	}
	to := m.to
	if to == slicemap.NoOwner || !s.servers[to].available {
		if to = s.leastPlanned(a.now); to == slicemap.NoOwner {
			a.free(s, id)
			return
		}
	}
	a.record(s, Finished, cause, m.from, to, id)
	a.assign(s, id, to)
	if m.split != nil {
		a.finishSplit(s, m)
	}
}

// abortMove returns a draining slice to its owner. The fence stays the same,
// because the ownership did not end. If the home VM had already revoked the slice,
// it grants it again.
func (a *Assigner) abortMove(s *service, id topo.SliceID, m *activeMove) {
	s.dropMove(id)
	a.record(s, Aborted, m.cause, m.from, m.to, id)
	e := a.builder.Entry(s.name, id)
	e.Phase, e.Next = slicemap.Serving, slicemap.NoOwner
	a.setEntry(s, id, e)
	wait := MoveRetryDelay
	if !s.servers[m.from].available {
		wait = ForcedMoveRetryDelay
	}
	s.retryAt[id] = a.now.Add(wait)
}

// movable reports whether a move of the slice may start now.
func (s *service) movable(id topo.SliceID, now time.Time) bool {
	if s.activeMoves[id] != nil {
		return false
	}
	t, waiting := s.retryAt[id]
	if waiting && !now.Before(t) {
		delete(s.retryAt, id)
		waiting = false
	}
	return !waiting
}

// placeFree assigns slices without an owner to the available servers with the
// fewest slices relative to their weight.
func (a *Assigner) placeFree(s *service) {
	if free := s.owned.slicesOf(slicemap.NoOwner); len(free) > 0 {
		initial := len(free) == int(s.slices)
		if initial {
			s.skipRampUp(a.now)
		}
		h := s.newTargets(a.now)
		ids := slices.Clone(free)
		slices.Sort(ids)
		for _, id := range ids {
			to, ok := h.best()
			if !ok {
				return
			}
			cause := CauseLost
			if initial {
				cause = CauseInitial
			}
			a.record(s, Assigned, cause, slicemap.NoOwner, to, id)
			a.assign(s, id, to)
			h.fix()
		}
	}
	a.placeFreeHotKeys(s)
}

// skipRampUp gives all available servers their full weight for the initial
// assignment, as no server is returning then.
func (s *service) skipRampUp(now time.Time) {
	for _, v := range s.servers {
		if v.available {
			v.availabilityChangedAt = now.Add(-RampUpPeriod)
		}
	}
}

// drainUnavailableServers starts to drain all slices of servers that must get no
// new requests. MoveBudget doesn't apply, because the drain must end new requests
// within 3 s.
func (a *Assigner) drainUnavailableServers(s *service) {
	var h *targetHeap
	for i, v := range s.servers {
		ids := s.owned.slicesOf(uint16(i))
		if v.available || v.lost || len(ids) == 0 {
			continue
		}
		if h == nil {
			h = s.newTargets(a.now)
		}
		for _, id := range slices.Clone(ids) {
			if !s.movable(id, a.now) {
				continue
			}
			to, ok := h.best()
			if !ok {
				return
			}
			a.startMove(s, id, &activeMove{to: to, cause: CauseLeaving})
			h.fix()
		}
	}
}

// targetHeap is a heap of the available servers. The server with the fewest
// slices relative to its weight is first.
type targetHeap struct {
	s     *service
	now   time.Time
	index []uint16
}

func (s *service) newTargets(now time.Time) *targetHeap {
	h := &targetHeap{s: s, now: now}
	for i, v := range s.servers {
		if v.available {
			h.index = append(h.index, uint16(i))
		}
	}
	heap.Init(h)
	return h
}

// best returns the first server of the heap, or false if the heap is empty.
func (h *targetHeap) best() (uint16, bool) {
	if len(h.index) == 0 {
		return slicemap.NoOwner, false
	}
	return h.index[0], true
}

// fix restores the heap order after the first server got a slice.
func (h *targetHeap) fix() { heap.Fix(h, 0) }

func (h *targetHeap) Len() int      { return len(h.index) }
func (h *targetHeap) Swap(i, j int) { h.index[i], h.index[j] = h.index[j], h.index[i] }
func (h *targetHeap) Push(any)      {}
func (h *targetHeap) Pop() any      { return nil }
func (h *targetHeap) Less(i, j int) bool {
	a, b := h.s.servers[h.index[i]], h.s.servers[h.index[j]]
	x := float64(a.planned+1) / a.weight(h.now)
	y := float64(b.planned+1) / b.weight(h.now)
	if x != y {
		return x < y
	}
	return h.index[i] < h.index[j]
}

func (s *service) leastPlanned(now time.Time) uint16 {
	to, _ := s.newTargets(now).best()
	return to
}
