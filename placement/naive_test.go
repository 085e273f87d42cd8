package placement

import (
	"cmp"
	"slices"

	"godwitlock.example/godwitlock/topo"
)

// This file keeps the plain form of Plan, which searches all servers and pieces
// for each move and keeps no sums. Tests compare the two.

// naiveShare is a server's part of the load.
type naiveShare struct {
	Server
	// work is the mean time of work in seconds; load what its keys bring, in
	// requests per second.
	work, load float64
	keys       int
}

// cost is the sum of the expected times of a second's requests.
func (s *naiveShare) cost(load float64) float64 { return s.plain().cost(load) }

func (s *naiveShare) time(load float64) float64 { return s.plain().time(load) }

func (s *naiveShare) room() float64 { return s.plain().room() }

// plain is the share for the cost model, which both forms use.
func (s *naiveShare) plain() *share { return &share{Server: s.Server, work: s.work, load: s.load} }

// marginal is what one more request per second costs.
func (s *naiveShare) marginal() float64 { return s.cost(s.load+1) - s.cost(s.load) }

// naiveState is the load of all servers.
type naiveState struct {
	load  *Load
	all   []*naiveShare
	byID  map[topo.ServerID]*naiveShare
	table []Piece
}

func newNaiveState(load *Load, servers []Server, table []Piece) *naiveState {
	st := &naiveState{load: load, byID: make(map[topo.ServerID]*naiveShare, len(servers)), table: table}
	for _, s := range servers {
		sh := &naiveShare{Server: s, work: load.Work(s.ID)}
		if s.ColdRate > 0 {
			sh.work *= coldWork
		}
		st.byID[s.ID] = sh
		st.all = append(st.all, sh)
	}
	for _, p := range table {
		if sh := st.byID[p.Owner]; sh != nil {
			sh.load += load.Between(p.First, p.Last)
			sh.keys += p.width()
		}
	}
	return st
}

// sorted returns the servers by decreasing key, ties by id.
func (st *naiveState) sorted(key func(*naiveShare) float64) []*naiveShare {
	list := slices.Clone(st.all)
	slices.SortFunc(list, func(a, b *naiveShare) int {
		if c := cmp.Compare(key(b), key(a)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return list
}

// naivePlan returns moves that make the expected times of requests shorter: away
// from servers that are slow or have much load. Servers that have no keys get
// some.
func naivePlan(load *Load, servers []Server, table []Piece) []Move {
	moving := 0
	for _, p := range table {
		if p.Moving {
			moving++
		}
	}
	st := newNaiveState(load, servers, table)
	maxMoves, maxMoving := max(minMoves, len(servers)/movesPart), max(minMoving, len(servers)/movingPart)
	var out []Move
	for len(out) < maxMoves && moving+len(out) < maxMoving {
		m, ok := st.next()
		if !ok {
			break
		}
		out = append(out, m)
		st.apply(m)
	}
	return out
}

// next returns the most useful move.
func (st *naiveState) next() (Move, bool) {
	if m, ok := st.fillEmpty(); ok {
		return m, true
	}
	from := st.sorted((*naiveShare).marginal)
	to := st.sorted(func(s *naiveShare) float64 { return -s.marginal() })
	var best Move
	bestGain := 0.0
	for _, f := range from[:min(givers, len(from))] {
		for _, t := range to[:min(takers, len(to))] {
			if f.ID == t.ID || f.marginal() <= t.marginal() {
				continue
			}
			for _, want := range []float64{f.load / 2, f.load / 4, f.load / 8, min(t.room(), f.load/2)} {
				m, gain := st.shed(f, t, want)
				if gain > bestGain {
					best, bestGain = m, gain
				}
			}
		}
	}
	return best, bestGain > 0
}

// fillEmpty gives keys to a server that has none.
func (st *naiveState) fillEmpty() (Move, bool) {
	for _, to := range st.all {
		if to.keys > 0 {
			continue
		}
		for _, from := range st.sorted((*naiveShare).marginal) {
			if from.ID == to.ID || from.keys == 0 {
				continue
			}
			want := from.load / 2
			if to.ColdRate > 0 {
				want = min(want, to.ColdRate*coldShare)
			}
			for _, p := range st.table {
				if p.Owner != from.ID || !p.movable() {
					continue
				}
				if end, _ := st.load.Cut(p.First, p.Last, want); end < p.Last {
					return Move{First: p.First, Last: end, Target: to.ID}, true
				}
			}
		}
	}
	return Move{}, false
}

// shed returns the best move of about the wanted load from one server to
// another, and what it gains in a second, in seconds; 0 when none helps.
func (st *naiveState) shed(from, to *naiveShare, want float64) (Move, float64) {
	var best Move
	bestGain := 0.0
	before := from.cost(from.load) + to.cost(to.load)
	for _, p := range st.table {
		if p.Owner != from.ID || !p.movable() {
			continue
		}
		for _, m := range st.candidates(p, want) {
			moved := st.load.Between(m.First, m.Last)
			gain := before - from.cost(max(0, from.load-moved)) - to.cost(to.load+moved)
			if moved < minLoad || gain < minGain*moved*from.time(from.load) || gain <= bestGain {
				continue
			}
			best, bestGain = m, gain
		}
	}
	best.Target = to.ID
	return best, bestGain
}

// candidates returns the parts with about the wanted load at both ends of a
// piece, and its hottest bucket.
func (st *naiveState) candidates(p Piece, want float64) []Move {
	var out []Move
	if end, _ := st.load.Cut(p.First, p.Last, want); end < p.Last {
		out = append(out, Move{First: p.First, Last: end})
	}
	if start, ok := st.load.cutBack(p, want); ok {
		out = append(out, Move{First: start, Last: p.Last})
	}
	return out
}

// apply changes the naiveState as if the move had been made.
func (st *naiveState) apply(m Move) {
	var out []Piece
	for _, p := range st.table {
		if p.Last < m.First || p.First > m.Last {
			out = append(out, p)
			continue
		}
		if p.First < m.First {
			out = append(out, Piece{First: p.First, Last: m.First - 1, Owner: p.Owner, Moving: p.Moving, Fixed: p.Fixed})
		}
		moved := Piece{First: max(p.First, m.First), Last: min(p.Last, m.Last), Owner: m.Target, Moving: true}
		out = append(out, moved)
		st.account(p.Owner, m.Target, moved)
		if p.Last > m.Last {
			out = append(out, Piece{First: m.Last + 1, Last: p.Last, Owner: p.Owner, Moving: p.Moving, Fixed: p.Fixed})
		}
	}
	st.table = out
}

func (st *naiveState) account(from, to topo.ServerID, p Piece) {
	load := st.load.Between(p.First, p.Last)
	if s := st.byID[from]; s != nil {
		s.load, s.keys = s.load-load, s.keys-p.width()
	}
	if s := st.byID[to]; s != nil {
		s.load, s.keys = s.load+load, s.keys+p.width()
	}
}
