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
}

// time returns the expected time of a request, in seconds, when the server's
// keys bring the given load: work, and the wait for one of its slots (the
// approximation of Sakasegawa for a queue with several servers).
func (s *share) time(load float64) float64 {
	slots := float64(s.Slots)
	capacity := slots / s.work
	if s.ColdRate > 0 {
		capacity = min(capacity, s.ColdRate*coldShare)
	}
	use := load / capacity
	over := max(0, use-fullLoad)
	use = min(use, fullLoad)
	wait := math.Pow(use, math.Sqrt(2*(slots+1))-1) / (slots * (1 - use))
	return s.work*(1+wait) + over*overloadWait
}

// cost is the sum of the expected times of a second's requests.
func (s *share) cost(load float64) float64 { return load * s.time(load) }

// marginal is what one more request per second costs.
func (s *share) marginal() float64 { return s.cost(s.load+1) - s.cost(s.load) }

// state is the load of all servers.
type state struct {
	load  *Load
	all   []*share
	byID  map[topo.ServerID]*share
	table []Piece
}

func newState(load *Load, servers []Server, table []Piece) *state {
	st := &state{load: load, byID: make(map[topo.ServerID]*share, len(servers)), table: table}
	for _, s := range servers {
		sh := &share{Server: s, work: load.Work(s.ID)}
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
		end := keyrange.Keys * seen / slots
		if end > next {
			out = append(out, Piece{First: keyrange.Key(next), Last: keyrange.Key(end - 1), Owner: s.ID})
			next = end
		}
	}
	return out
}

// Target chooses the server for keys that have no owner: the one where they
// cost least, and of those the one with the fewest keys.
func Target(load *Load, servers []Server, table []Piece, first, last keyrange.Key) (topo.ServerID, bool) {
	st := newState(load, servers, table)
	moved := load.Between(first, last)
	best := st.sorted(func(s *share) float64 {
		return s.cost(s.load) - s.cost(s.load+moved) - float64(s.keys)/keyrange.Keys
	})
	if len(best) == 0 {
		return "", false
	}
	return best[0].ID, true
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

// next returns the most useful move.
func (st *state) next() (Move, bool) {
	if m, ok := st.fillEmpty(); ok {
		return m, true
	}
	from := st.sorted((*share).marginal)
	to := st.sorted(func(s *share) float64 { return -s.marginal() })
	var best Move
	bestGain := 0.0
	for _, f := range from[:min(givers, len(from))] {
		for _, t := range to[:min(takers, len(to))] {
			if f.ID == t.ID || f.marginal() <= t.marginal() {
				continue
			}
			for _, part := range []float64{2, 4, 8} {
				m, gain := st.shed(f, t, f.load/part)
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
		for _, from := range st.sorted((*share).marginal) {
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
func (st *state) shed(from, to *share, want float64) (Move, float64) {
	var best Move
	bestGain := 0.0
	before := from.cost(from.load) + to.cost(to.load)
	for _, p := range st.table {
		if p.Owner != from.ID || !p.movable() {
			continue
		}
		for _, m := range st.candidates(p, want) {
			moved := st.load.Between(m.First, m.Last)
			gain := before - from.cost(from.load-moved) - to.cost(to.load+moved)
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
func (st *state) candidates(p Piece, want float64) []Move {
	var out []Move
	if end, _ := st.load.Cut(p.First, p.Last, want); end < p.Last {
		out = append(out, Move{First: p.First, Last: end})
	}
	if start, ok := st.load.cutBack(p, want); ok {
		out = append(out, Move{First: start, Last: p.Last})
	}
	hot, rate := -1, 0.0
	for b := BucketOf(p.First); b <= BucketOf(p.Last); b++ {
		if st.load.rate[b] > rate {
			hot, rate = b, st.load.rate[b]
		}
	}
	if hot >= 0 {
		m := Move{
			First: max(p.First, keyrange.Key(hot*BucketWidth)),
			Last:  min(p.Last, keyrange.Key(hot*BucketWidth+BucketWidth-1)),
		}
		if m.First > p.First || m.Last < p.Last {
			out = append(out, m)
		}
	}
	return out
}

// cutBack is Cut from the end of a piece.
func (l *Load) cutBack(p Piece, want float64) (keyrange.Key, bool) {
	total := 0.0
	for k := int(p.Last); k >= int(p.First); {
		b := k / BucketWidth
		begin := max(b*BucketWidth, int(p.First))
		total += l.rate[b] * float64(k-begin+1) / BucketWidth
		if total >= want {
			return keyrange.Key(begin), begin > int(p.First)
		}
		k = begin - 1
	}
	return p.First, false
}

// apply changes the state as if the move had been made.
func (st *state) apply(m Move) {
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

func (st *state) account(from, to topo.ServerID, p Piece) {
	load := st.load.Between(p.First, p.Last)
	if s := st.byID[from]; s != nil {
		s.load, s.keys = s.load-load, s.keys-p.width()
	}
	if s := st.byID[to]; s != nil {
		s.load, s.keys = s.load+load, s.keys+p.width()
	}
}
