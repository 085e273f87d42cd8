package assigner

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// pair is a pair of servers between which a move runs.
type serverPair struct{ from, to uint16 }

// moving is a slice or hot key that drains at its owner.
type activeMove struct {
	from, to  uint16
	startedAt time.Time
	// version is the first table that shows the drain. Reports that were made
	// under a lower one are about an earlier drain.
	version slicemap.Version
	cause   Cause
	// drained says that the owner certainly doesn't hold it any more; lost
	// says that the reason is the owner's loss.
	drained, lost bool
	// split is the hot key that leaves the slice once it is drained.
	split *split
	// demote ends a hot key once it is drained.
	demote bool
}

// startMove begins to drain a slice or hot key at its owner.
func (a *Assigner) startMove(s *service, id topo.SliceID, m *activeMove) {
	e := a.b.Entry(s.name, id)
	m.from, m.startedAt, m.version = e.Owner, a.now, a.nextVersion()
	e.Phase, e.Next = slicemap.Draining, m.to
	a.setEntry(s, id, e)
	s.addMove(id, m)
	a.record(s, Started, m.cause, m.from, m.to, id)
}

func (s *service) addMove(id topo.SliceID, m *activeMove) {
	s.activeMove[id] = m
	s.movesByPair[serverPair{m.from, m.to}]++
}

func (s *service) dropMove(id topo.SliceID) {
	m := s.activeMove[id]
	delete(s.activeMove, id)
	p := serverPair{m.from, m.to}
	if s.movesByPair[p]--; s.movesByPair[p] == 0 {
		delete(s.movesByPair, p)
	}
}

// retarget changes the planned owner of a draining slice.
func (a *Assigner) retarget(s *service, id topo.SliceID, to uint16) {
	m := s.activeMove[id]
	s.dropMove(id)
	m.to = to
	s.addMove(id, m)
	e := a.b.Entry(s.name, id)
	e.Next = to
	a.setEntry(s, id, e)
}

// finishMoves gives drained slices to their new owners and gives up moves that
// take too long.
func (a *Assigner) finishMoves(s *service) {
	for _, id := range slices.Sorted(maps.Keys(s.activeMove)) {
		switch m := s.activeMove[id]; {
		case m.drained:
			a.finishMove(s, id, m)
		case a.now.Sub(m.startedAt) >= MoveTimeout && !a.keepDraining(s, m):
			a.abortMove(s, id, m)
		}
	}
}

// keepDraining reports whether a move is never given up: a claim is settled by
// nothing else, and a server that leaves must get no new work.
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
		a.b.SetHot(s.name, int(uint32(id)-s.slices), slicemap.Hot{})
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

// giveUp returns a slice to its owner. The fence stays, as the ownership did
// not end; the home VM grants the slice again if it had revoked it.
func (a *Assigner) abortMove(s *service, id topo.SliceID, m *activeMove) {
	s.dropMove(id)
	a.record(s, Aborted, m.cause, m.from, m.to, id)
	e := a.b.Entry(s.name, id)
	e.Phase, e.Next = slicemap.Serving, slicemap.NoOwner
	a.setEntry(s, id, e)
	wait := MoveRetryDelay
	if !s.servers[m.from].available {
		wait = ForcedMoveRetryDelay
	}
	s.retryAt[id] = a.now.Add(wait)
}

// movable reports whether a move of the slice may begin.
func (s *service) movable(id topo.SliceID, now time.Time) bool {
	if s.activeMove[id] != nil {
		return false
	}
	t, waiting := s.retryAt[id]
	if waiting && !now.Before(t) {
		delete(s.retryAt, id)
		waiting = false
	}
	return !waiting
}

// placeFree gives slices without an owner to the servers with the fewest
// slices for their weight.
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

// skipRamp makes all servers count fully, as none was refilled before.
func (s *service) skipRampUp(now time.Time) {
	for _, v := range s.servers {
		if v.available {
			v.availabilityChangedAt = now.Add(-RampUpPeriod)
		}
	}
}

// leaveServers begins to drain all slices of servers that must get no new
// work. The move budget doesn't apply: the bound of 3 s does.
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

// targets is a heap of the available servers, the one with the fewest slices
// for its weight first.
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

// best returns the first server.
func (h *targetHeap) best() (uint16, bool) {
	if len(h.index) == 0 {
		return slicemap.NoOwner, false
	}
	return h.index[0], true
}

// fix restores the order after the first server got a slice.
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
