package placement

import (
	"cmp"
	"slices"

	"godwitlock.example/godwitlock/topo"
)

// This file has a reference implementation of Plan, which searches all servers
// and ranges for each move and caches no sums. A test compares the two.

// naiveShare is a server with its keys and their load while a plan is made.
type naiveShare struct {
	Server
	// mean is the mean service time in seconds; load is the request rate of the
	// server's keys, in requests per second.
	mean, load float64
	keys       int
}

// cost returns the sum of the expected response times of the requests that
// arrive in one second.
func (s *naiveShare) cost(load float64) float64 { return s.model().cost(load) }

func (s *naiveShare) expectedTime(load float64) float64 { return s.model().expectedTime(load) }

func (s *naiveShare) headroom() float64 { return s.model().headroom() }

// model returns s as a share, whose cost functions both implementations use.
func (s *naiveShare) model() *share { return &share{Server: s.Server, svcTime: s.mean, load: s.load} }

// marginalCost returns the cost of one more request per second.
func (s *naiveShare) marginalCost() float64 { return s.cost(s.load+1) - s.cost(s.load) }

// naivePlanState is the load of all servers while a plan is made.
type naivePlanState struct {
	load   *Load
	shares []*naiveShare
	byID   map[topo.ServerID]*naiveShare
	table  []Range
}

func newNaivePlanState(load *Load, servers []Server, table []Range) *naivePlanState {
	st := &naivePlanState{load: load, byID: make(map[topo.ServerID]*naiveShare, len(servers)), table: table}
	for _, s := range servers {
		sh := &naiveShare{Server: s, mean: load.ServiceTime(s.ID)}
		if s.ColdRate > 0 {
			sh.mean *= coldServiceTimeFactor
		}
		st.byID[s.ID] = sh
		st.shares = append(st.shares, sh)
	}
	for _, r := range table {
		if sh := st.byID[r.Owner]; sh != nil {
			sh.load += load.RangeLoad(r.First, r.Last)
			sh.keys += r.keyCount()
		}
	}
	return st
}

// sortedServers returns the servers by decreasing rank, with ties ordered by ID.
func (st *naivePlanState) sortedServers(rank func(*naiveShare) float64) []*naiveShare {
	list := slices.Clone(st.shares)
	slices.SortFunc(list, func(a, b *naiveShare) int {
		if c := cmp.Compare(rank(b), rank(a)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return list
}

// naivePlan returns the same moves as Plan.
func naivePlan(load *Load, servers []Server, table []Range) []Move {
	moving := 0
	for _, r := range table {
		if r.Moving {
			moving++
		}
	}
	st := newNaivePlanState(load, servers, table)
	maxMoves, maxMoving := max(moveLimit, len(servers)/serversPerMove), max(concurrentMoveLimit, len(servers)/serversPerConcurrentMove)
	var out []Move
	for len(out) < maxMoves && moving+len(out) < maxMoving {
		m, ok := st.bestMove()
		if !ok {
			break
		}
		out = append(out, m)
		st.apply(m)
	}
	return out
}

// bestMove returns the next move of the plan: keys for a server that has none,
// else the move with the greatest gain.
func (st *naivePlanState) bestMove() (Move, bool) {
	if m, ok := st.fillEmptyServer(); ok {
		return m, true
	}
	from := st.sortedServers((*naiveShare).marginalCost)
	to := st.sortedServers(func(s *naiveShare) float64 { return -s.marginalCost() })
	var best Move
	bestGain := 0.0
	for _, f := range from[:min(maxSources, len(from))] {
		for _, t := range to[:min(maxDestinations, len(to))] {
			if f.ID == t.ID || f.marginalCost() <= t.marginalCost() {
				continue
			}
			for _, targetLoad := range []float64{f.load / 2, f.load / 4, f.load / 8, min(t.headroom(), f.load/2)} {
				m, gain := st.bestTransfer(f, t, targetLoad)
				if gain > bestGain {
					best, bestGain = m, gain
				}
			}
		}
	}
	return best, bestGain > 0
}

// fillEmptyServer returns a move that gives keys to a server without any.
func (st *naivePlanState) fillEmptyServer() (Move, bool) {
	for _, to := range st.shares {
		if to.keys > 0 {
			continue
		}
		for _, from := range st.sortedServers((*naiveShare).marginalCost) {
			if from.ID == to.ID || from.keys == 0 {
				continue
			}
			targetLoad := from.load / 2
			if to.ColdRate > 0 {
				targetLoad = min(targetLoad, to.ColdRate*coldRateShare)
			}
			for _, r := range st.table {
				if r.Owner != from.ID || !r.movable() {
					continue
				}
				if end, _ := st.load.PrefixWithLoad(r.First, r.Last, targetLoad); end < r.Last {
					return Move{First: r.First, Last: end, Target: to.ID}, true
				}
			}
		}
	}
	return Move{}, false
}

// bestTransfer returns the best move of about targetLoad from one server
// to another, and its gain, which is the reduction of the cost. The gain is 0
// if no move reduces the cost enough.
func (st *naivePlanState) bestTransfer(from, to *naiveShare, targetLoad float64) (Move, float64) {
	var best Move
	bestGain := 0.0
	currentCost := from.cost(from.load) + to.cost(to.load)
	for _, r := range st.table {
		if r.Owner != from.ID || !r.movable() {
			continue
		}
		for _, m := range st.candidates(r, targetLoad) {
			moved := st.load.RangeLoad(m.First, m.Last)
			gain := currentCost - from.cost(max(0, from.load-moved)) - to.cost(to.load+moved)
			if moved < minMoveRate || gain < minRelativeGain*moved*from.expectedTime(from.load) || gain <= bestGain {
				continue
			}
			best, bestGain = m, gain
		}
	}
	best.Target = to.ID
	return best, bestGain
}

// candidates returns moves, without a target, of about targetLoad from
// both ends of a range.
func (st *naivePlanState) candidates(r Range, targetLoad float64) []Move {
	var out []Move
	if end, _ := st.load.PrefixWithLoad(r.First, r.Last, targetLoad); end < r.Last {
		out = append(out, Move{First: r.First, Last: end})
	}
	if start, ok := st.load.suffixWithLoad(r, targetLoad); ok {
		out = append(out, Move{First: start, Last: r.Last})
	}
	return out
}

// apply changes the state as if the move had been made.
func (st *naivePlanState) apply(m Move) {
	var out []Range
	for _, r := range st.table {
		if r.Last < m.First || r.First > m.Last {
			out = append(out, r)
			continue
		}
		if r.First < m.First {
			out = append(out, Range{First: r.First, Last: m.First - 1, Owner: r.Owner, Moving: r.Moving, Fixed: r.Fixed})
		}
		moved := Range{First: max(r.First, m.First), Last: min(r.Last, m.Last), Owner: m.Target, Moving: true}
		out = append(out, moved)
		st.recordTransfer(r.Owner, m.Target, moved)
		if r.Last > m.Last {
			out = append(out, Range{First: m.Last + 1, Last: r.Last, Owner: r.Owner, Moving: r.Moving, Fixed: r.Fixed})
		}
	}
	st.table = out
}

func (st *naivePlanState) recordTransfer(from, to topo.ServerID, r Range) {
	load := st.load.RangeLoad(r.First, r.Last)
	if s := st.byID[from]; s != nil {
		s.load, s.keys = s.load-load, s.keys-r.keyCount()
	}
	if s := st.byID[to]; s != nil {
		s.load, s.keys = s.load+load, s.keys+r.keyCount()
	}
}
