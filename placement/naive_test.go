package placement

import (
	"cmp"
	"slices"

	"godwitlock.example/godwitlock/topo"
)

// This file has a reference implementation of Plan and Relieve, which keeps no queues and
// no sums by server: it searches all servers and all ranges for each move. A test compares
// the two.

// naiveShare is a server with the load of its keys while a plan is made.
type naiveShare struct {
	Server
	// mean is the mean service time in seconds; load is the request rate of the
	// server's keys, in requests per second, of which fixed cannot move now.
	mean, load, fixed float64
	keys              int
	refusing          bool
}

// model returns s as a share, whose cost functions both implementations use.
func (s *naiveShare) model() *share {
	return &share{Server: s.Server, svcTime: s.mean, load: s.load, fixedLoad: s.fixed}
}

func (s *naiveShare) marginalCost() float64 { return s.model().cost(s.load+1) - s.model().cost(s.load) }

// naiveRange is a range with the measure of its load during a plan.
type naiveRange struct {
	Range
	measure
}

func (r naiveRange) part() movablePart { return movablePart(r) }

type naivePlanState struct {
	load   *Load
	shares []*naiveShare
	byID   map[topo.ServerID]*naiveShare
	table  []naiveRange
	moving int
}

func newNaivePlanState(load *Load, servers []Server, table []Range) *naivePlanState {
	st := &naivePlanState{load: load, byID: make(map[topo.ServerID]*naiveShare, len(servers))}
	for _, s := range servers {
		sh := &naiveShare{Server: s, mean: load.ServiceTime(s.ID), refusing: load.Refusing(s.ID)}
		if s.ColdRate > 0 {
			sh.mean *= coldServiceTimeFactor
		}
		st.byID[s.ID] = sh
		st.shares = append(st.shares, sh)
	}
	for i, r := range table {
		nr := naiveRange{r, load.measures(table)[i]}
		st.table = append(st.table, nr)
		if r.Moving {
			st.moving++
		}
		if sh := st.byID[r.Owner]; sh != nil {
			rate := nr.loadOf(r.First, r.Last)
			sh.load += rate
			sh.keys += r.keyCount()
			if !r.movable() || sh.refusing {
				sh.fixed += rate
			}
		}
	}
	return st
}

// movable returns the ranges of a server that can move.
func (st *naivePlanState) movable(s *naiveShare) []movablePart {
	var out []movablePart
	for _, r := range st.table {
		if r.Owner == s.ID && r.movable() && !s.refusing {
			out = append(out, r.part())
		}
	}
	return out
}

// sorted returns the servers that do not refuse by decreasing rank, with ties ordered by
// ID.
func (st *naivePlanState) sorted(rank func(*naiveShare) float64) []*naiveShare {
	list := slices.DeleteFunc(slices.Clone(st.shares), func(s *naiveShare) bool { return s.refusing })
	slices.SortFunc(list, func(a, b *naiveShare) int {
		if c := cmp.Compare(rank(b), rank(a)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return list
}

func (st *naivePlanState) refusing() bool {
	n, turnedAway := 0, 0.0
	for _, s := range st.shares {
		r := st.load.refusals[s.ID]
		turnedAway += r.turnedAway
		if r.turnedAway > maxRefusedShare*(r.ran+r.turnedAway) {
			n++
		}
	}
	return turnedAway >= minServiceRefusals && 3*n >= len(st.shares)
}

// naivePlan returns the same moves as Plan.
func naivePlan(load *Load, servers []Server, table []Range) []Move {
	st := newNaivePlanState(load, servers, table)
	if out := st.relieve(); len(out) > 0 || st.refusing() {
		return out
	}
	return st.evenOut()
}

// naiveRelieve returns the same moves as Relieve.
func naiveRelieve(load *Load, servers []Server, table []Range) []Move {
	return newNaivePlanState(load, servers, table).relieve()
}

func (st *naivePlanState) relieve() []Move {
	if st.refusing() || st.load.justStarted() {
		return nil
	}
	load, capacity := 0.0, 0.0
	for _, s := range st.shares {
		if !s.refusing {
			load, capacity = load+s.load, capacity+s.model().capacity()
		}
	}
	if capacity == 0 {
		return nil
	}
	overload, relieved := max(overloadUtilisation, load/capacity+overloadMargin), max(relievedUtilisation, load/capacity+relievedMargin)
	filled := max(filledUtilisation, load/capacity+filledMargin)
	source, exhausted := make(map[*naiveShare]bool), make(map[*naiveShare]bool)
	for _, s := range st.shares {
		source[s] = !s.refusing && s.model().utilisation() > overload
	}
	var out []Move
	for st.moving < maxReliefMoving {
		var from *naiveShare
		for _, s := range st.sorted((*naiveShare).marginalCost) {
			if source[s] && !exhausted[s] {
				from = s
				break
			}
		}
		if from == nil {
			break
		}
		m, ok := st.reliefMove(from, relieved, filled)
		if from.model().utilisation() <= relieved || !ok {
			exhausted[from] = true
			continue
		}
		st.apply(m)
		out = append(out, m)
		if to := st.byID[m.Target]; to.model().utilisation() > overload {
			source[to] = true
		}
	}
	return out
}

func (st *naivePlanState) reliefMove(from *naiveShare, relieved, filled float64) (Move, bool) {
	others := slices.DeleteFunc(st.sorted(func(s *naiveShare) float64 { return -s.marginalCost() }), func(s *naiveShare) bool { return s == from })
	if len(others) == 0 {
		return Move{}, false
	}
	to := others[0]
	headroom := max(filled*to.model().capacity()-to.load, minMoveRate)
	wanted := min(from.load-relieved*from.model().capacity(), headroom)
	var best Move
	bestScore, bestLoad := 0.0, 0.0
	for _, r := range st.movable(from) {
		for _, c := range r.reliefCandidates(wanted) {
			moved := r.loadOf(c.First, c.Last)
			score := min(moved, wanted) - 2*max(0, moved-wanted)
			if moved >= minMoveRate && (bestLoad == 0 || score > bestScore) {
				best, bestScore, bestLoad = c, score, moved
			}
		}
	}
	if bestLoad == 0 {
		return Move{}, false
	}
	cost := func(s *naiveShare, l float64) float64 { return s.model().cost(l) }
	added := cost(to, to.load+bestLoad) - cost(to, to.load)
	if bestLoad > headroom {
		alone := func(s *naiveShare) float64 {
			shed := max(0, s.load+bestLoad-max(relieved*s.model().capacity(), s.fixed+bestLoad))
			return cost(s, s.fixed+bestLoad) - cost(s, s.fixed) + shed*(s.mean+handoverOverheadSeconds)
		}
		for _, s := range others {
			if alone(s) < alone(to) || alone(s) == alone(to) && s.ID < to.ID {
				to = s
			}
		}
		added = alone(to)
	}
	best.Target = to.ID
	gain := cost(from, from.load) - cost(from, max(0, from.load-bestLoad)) - added
	return best, worthMoving(from.model(), bestLoad, gain)
}

func (st *naivePlanState) evenOut() []Move {
	n := len(st.shares)
	maxMoves, maxMoving := max(moveLimit, n/serversPerMove), max(concurrentMoveLimit, n/serversPerConcurrentMove)
	failed := make(map[*naiveShare]bool)
	var out []Move
	for len(out) < maxMoves && st.moving < maxMoving {
		m, ok := st.fillEmptyServer()
		if !ok {
			var from *naiveShare
			for _, s := range st.sorted((*naiveShare).marginalCost) {
				if !failed[s] {
					from = s
					break
				}
			}
			if from == nil || len(failed) == maxSources {
				break
			}
			if m, ok = st.bestMove(from); !ok {
				failed[from] = true
				continue
			}
		}
		st.apply(m)
		out = append(out, m)
	}
	return out
}

func (st *naivePlanState) bestMove(from *naiveShare) (Move, bool) {
	var best Move
	bestGain := 0.0
	destinations := st.sorted(func(s *naiveShare) float64 { return -s.marginalCost() })
	for _, to := range destinations[:min(maxDestinations, len(destinations))] {
		if to == from || from.marginalCost() <= to.marginalCost() {
			continue
		}
		for _, targetLoad := range []float64{from.load / 2, from.load / 4, from.load / 8, min(to.model().headroom(), from.load/2)} {
			for _, r := range st.movable(from) {
				for _, m := range r.candidates(targetLoad) {
					moved := r.loadOf(m.First, m.Last)
					f, t := from.model(), to.model()
					gain := f.cost(f.load) + t.cost(t.load) - f.cost(max(0, f.load-moved)) - t.cost(t.load+moved)
					if gain > bestGain && worthMoving(f, moved, gain) {
						best, bestGain = m, gain
						best.Target = to.ID
					}
				}
			}
		}
	}
	return best, bestGain > 0
}

func (st *naivePlanState) fillEmptyServer() (Move, bool) {
	for _, to := range st.shares {
		if to.keys > 0 || to.refusing {
			continue
		}
		all := slices.Clone(st.shares)
		slices.SortFunc(all, func(a, b *naiveShare) int {
			if c := cmp.Compare(b.marginalCost(), a.marginalCost()); c != 0 {
				return c
			}
			return cmp.Compare(a.ID, b.ID)
		})
		for _, from := range all {
			targetLoad := from.load / 2
			if to.ColdRate > 0 {
				targetLoad = min(targetLoad, to.ColdRate*coldRateShare)
			}
			for _, r := range st.movable(from) {
				if end := r.prefixWithLoad(r.First, r.Last, targetLoad); from != to && end < r.Last {
					return Move{First: r.First, Last: end, Target: to.ID}, true
				}
			}
		}
	}
	return Move{}, false
}

// apply changes the state as if the move had been made.
func (st *naivePlanState) apply(m Move) {
	var out []naiveRange
	for _, r := range st.table {
		if r.Last < m.First || r.First > m.Last {
			out = append(out, r)
			continue
		}
		load := r.loadOf(m.First, m.Last)
		for _, p := range splitByMove(r.Range, m) {
			out = append(out, naiveRange{p, r.measure})
		}
		keys := int(m.Last) - int(m.First) + 1
		if s := st.byID[r.Owner]; s != nil {
			s.load, s.keys = s.load-load, s.keys-keys
		}
		if s := st.byID[m.Target]; s != nil {
			s.load, s.fixed, s.keys = s.load+load, s.fixed+load, s.keys+keys
		}
	}
	st.table, st.moving = out, st.moving+1
}

// splitByMove returns the parts of a range that contains the keys of a move.
func splitByMove(r Range, m Move) []Range {
	var out []Range
	if r.First < m.First {
		out = append(out, Range{First: r.First, Last: m.First - 1, Owner: r.Owner, Moving: r.Moving, Fixed: r.Fixed})
	}
	out = append(out, Range{First: m.First, Last: m.Last, Owner: m.Target, Moving: true})
	if r.Last > m.Last {
		out = append(out, Range{First: m.Last + 1, Last: r.Last, Owner: r.Owner, Moving: r.Moving, Fixed: r.Fixed})
	}
	return out
}

// applyMoves returns the table in which the keys of the moves are on their way to their
// new owners.
func applyMoves(table []Range, moves []Move) []Range {
	for _, m := range moves {
		var out []Range
		for _, r := range table {
			if r.Last < m.First || r.First > m.Last {
				out = append(out, r)
			} else {
				out = append(out, splitByMove(r, m)...)
			}
		}
		table = out
	}
	return table
}
