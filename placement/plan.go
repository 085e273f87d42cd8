package placement

import (
	"cmp"
	"math"
	"slices"

	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/topo"
)

const (
	// fullLoad is the utilisation from which waits are taken as growing in
	// proportion to the excess, by overloadWait seconds for each unit.
	fullLoad, overloadWait = 0.9, 6.0
	// goodLoad is the utilisation up to which a server takes over keys at once.
	goodLoad = 0.75
	// minGain is the least part of its expected time that a moved request has
	// to gain. Measured times scatter by about that much.
	minGain = 0.3
	// minLoad is the least load worth moving, in requests per second.
	minLoad = 0.5
	// minMoves and minMoving bound the moves of one plan and those under way in
	// a small service; in a large one it is a part of the servers.
	minMoves, minMoving       = 6, 16
	movesPart, movingPart int = 12, 4
	// givers and takers bound the servers that a plan compares.
	givers, takers = 6, 4
	// coldShare is the part of a cold server's bound that its keys may bring,
	// and coldWork how much longer work takes there.
	coldShare, coldWork = 0.6, 2
	// pieces is the number of parts in which a leaving server's keys move, so
	// that no single server gets all of them.
	pieces = 3
	// minPiece is the load below which keys are not divided further, in
	// requests per second.
	minPiece = 0.5
)

// Server is a server that may own keys.
type Server struct {
	ID    topo.ServerID
	Slots int
	// ColdRate is the requests per second that the server bears; 0 when it is
	// warm.
	ColdRate float64
}

// Piece is a range of keys with its owner.
type Piece struct {
	First, Last keyrange.Key
	Owner       topo.ServerID
	// Moving pieces are between two owners and count for the owner to be.
	// Neither they nor Fixed ones can be moved now.
	Moving, Fixed bool
}

// movable reports whether the piece, or a part of it, can be moved now.
func (p Piece) movable() bool { return !p.Moving && !p.Fixed && p.width() >= 2 }

// Move gives keys to another server.
type Move struct {
	First, Last keyrange.Key
	Target      topo.ServerID
}

// share is a server's part of the load.
type share struct {
	Server
	// work is the mean time of work in seconds; load what its keys bring, in
	// requests per second.
	work, load float64
	keys       int
	// held are the pieces that can be moved away, in the order of their keys.
	held []Piece
	// marginal is what one more request per second costs.
	marginal float64
}

// time returns the expected time of a request, in seconds, when the server's
// keys bring the given load: work, and the wait for one of its slots (the
// approximation of Sakasegawa for a queue with several servers).
func (s *share) time(load float64) float64 {
	slots := float64(s.Slots)
	use := load / s.capacity()
	over := max(0, use-fullLoad)
	use = min(use, fullLoad)
	wait := math.Pow(use, math.Sqrt(2*(slots+1))-1) / (slots * (1 - use))
	return s.work*(1+wait) + over*overloadWait
}

// capacity returns the requests per second that the server can do.
func (s *share) capacity() float64 {
	if s.ColdRate > 0 {
		return min(float64(s.Slots)/s.work, s.ColdRate*coldShare)
	}
	return float64(s.Slots) / s.work
}

// room returns the load that the server can take over without long waits.
func (s *share) room() float64 { return max(minLoad, goodLoad*s.capacity()-s.load) }

// cost is the sum of the expected times of a second's requests.
func (s *share) cost(load float64) float64 { return load * s.time(load) }

// change adds load and keys to the server.
func (s *share) change(load float64, keys int) {
	s.load, s.keys = s.load+load, s.keys+keys
	s.marginal = s.cost(s.load+1) - s.cost(s.load)
}

// state is the load of all servers.
type state struct {
	load *Load
	all  []*share
	byID map[topo.ServerID]*share
}

func newState(load *Load, servers []Server, table []Piece) *state {
	st := &state{load: load, byID: make(map[topo.ServerID]*share, len(servers))}
	for _, s := range servers {
		sh := &share{Server: s, work: load.Work(s.ID)}
		if s.ColdRate > 0 {
			sh.work *= coldWork
		}
		st.byID[s.ID] = sh
		st.all = append(st.all, sh)
	}
	for _, p := range table {
		sh := st.byID[p.Owner]
		if sh == nil {
			continue
		}
		sh.load += load.Between(p.First, p.Last)
		sh.keys += p.width()
		if p.movable() {
			sh.held = append(sh.held, p)
		}
	}
	for _, sh := range st.all {
		sh.change(0, 0)
	}
	return st
}

// sorted returns the servers by decreasing key, ties by id.
func (st *state) sorted(key func(*share) float64) []*share {
	list := slices.Clone(st.all)
	slices.SortFunc(list, func(a, b *share) int {
		if c := cmp.Compare(key(b), key(a)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return list
}

func (p Piece) width() int { return int(p.Last) - int(p.First) + 1 }

// Initial divides all keys among servers by their slots, in the order of the
// servers' ids.
func Initial(servers []Server) []Piece {
	servers = slices.Clone(servers)
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	slots := 0
	for _, s := range servers {
		slots += s.Slots
	}
	var out []Piece
	next, seen := 0, 0
	for _, s := range servers {
		seen += s.Slots
		end := keyrange.KeyCount * seen / slots
		if end > next {
			out = append(out, Piece{First: keyrange.Key(next), Last: keyrange.Key(end - 1), Owner: s.ID})
			next = end
		}
	}
	return out
}

// Targets chooses the servers for keys that have no owner, one for each range:
// where the keys cost least, and of those the one with the fewest keys. It
// returns nil without servers.
func Targets(load *Load, servers []Server, table, free []Piece) []topo.ServerID {
	st := newState(load, servers, table)
	if len(st.all) == 0 {
		return nil
	}
	out := make([]topo.ServerID, 0, len(free))
	for _, p := range free {
		moved := load.Between(p.First, p.Last)
		best := st.first(1, func(s *share) float64 {
			return s.cost(s.load) - s.cost(s.load+moved) - float64(s.keys)/keyrange.KeyCount
		})[0]
		best.change(moved, p.width())
		out = append(out, best.ID)
	}
	return out
}

// Divide returns the parts of first..last in which a leaving server's keys
// move: parts of about the same load.
func Divide(load *Load, first, last keyrange.Key) []Piece {
	total := load.Between(first, last)
	var out []Piece
	for i := pieces; i > 1 && total > minPiece; i-- {
		end, part := load.Cut(first, last, total/float64(i))
		if end >= last {
			break
		}
		out = append(out, Piece{First: first, Last: end})
		first, total = end+1, total-part
	}
	return append(out, Piece{First: first, Last: last})
}

// Plan returns moves that make the expected times of requests shorter: away
// from servers that are slow or have much load. Servers that have no keys get
// some.
func Plan(load *Load, servers []Server, table []Piece) []Move {
	moving := 0
	for _, p := range table {
		if p.Moving {
			moving++
		}
	}
	st := newState(load, servers, table)
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

// margin is the marginal cost of a server.
func margin(s *share) float64 { return s.marginal }

// first returns the n servers with the largest key in decreasing order, ties
// by id.
func (st *state) first(n int, key func(*share) float64) []*share {
	out := make([]*share, 0, n+1)
	for _, s := range st.all {
		i, _ := slices.BinarySearchFunc(out, s, func(a, b *share) int {
			if c := cmp.Compare(key(b), key(a)); c != 0 {
				return c
			}
			return cmp.Compare(a.ID, b.ID)
		})
		if i == n {
			continue
		}
		if out = slices.Insert(out, i, s); len(out) > n {
			out = out[:n]
		}
	}
	return out
}

// next returns the most useful move.
func (st *state) next() (Move, bool) {
	if m, ok := st.fillEmpty(); ok {
		return m, true
	}
	from := st.first(givers, margin)
	to := st.first(takers, func(s *share) float64 { return -s.marginal })
	var best Move
	bestGain := 0.0
	for _, f := range from {
		for _, t := range to {
			if f.ID == t.ID || f.marginal <= t.marginal {
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
func (st *state) fillEmpty() (Move, bool) {
	for _, to := range st.all {
		if to.keys > 0 {
			continue
		}
		for _, from := range st.sorted(margin) {
			if from.ID == to.ID || from.keys == 0 {
				continue
			}
			want := from.load / 2
			if to.ColdRate > 0 {
				want = min(want, to.ColdRate*coldShare)
			}
			for _, p := range from.held {
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
func (st *state) shed(from, to *share, want float64) (Move, float64) {
	var best Move
	bestGain := 0.0
	before, usual := from.cost(from.load)+to.cost(to.load), from.time(from.load)
	for _, p := range from.held {
		for _, m := range st.candidates(p, want) {
			moved := st.load.Between(m.First, m.Last)
			gain := before - from.cost(max(0, from.load-moved)) - to.cost(to.load+moved)
			if moved < minLoad || gain < minGain*moved*usual || gain <= bestGain {
				continue
			}
			best, bestGain = m, gain
		}
	}
	best.Target = to.ID
	return best, bestGain
}

// candidates returns the parts with about the wanted load at both ends of a
// piece.
func (st *state) candidates(p Piece, want float64) []Move {
	var out []Move
	if end, _ := st.load.Cut(p.First, p.Last, want); end < p.Last {
		out = append(out, Move{First: p.First, Last: end})
	}
	if start, ok := st.load.cutBack(p, want); ok {
		out = append(out, Move{First: start, Last: p.Last})
	}
	return out
}

// apply changes the state as if the move had been made.
func (st *state) apply(m Move) {
	for _, from := range st.all {
		i := slices.IndexFunc(from.held, func(p Piece) bool { return p.First <= m.First && m.Last <= p.Last })
		if i < 0 {
			continue
		}
		load, keys := st.load.Between(m.First, m.Last), int(m.Last)-int(m.First)+1
		from.held = slices.Replace(from.held, i, i+1, from.held[i].without(m)...)
		from.change(-load, -keys)
		if to := st.byID[m.Target]; to != nil {
			to.change(load, keys)
		}
		return
	}
}

// without returns the movable parts of a piece that a move leaves.
func (p Piece) without(m Move) []Piece {
	var out []Piece
	if p.First < m.First {
		left := p
		left.Last = m.First - 1
		out = append(out, left)
	}
	if p.Last > m.Last {
		right := p
		right.First = m.Last + 1
		out = append(out, right)
	}
	return slices.DeleteFunc(out, func(p Piece) bool { return !p.movable() })
}
