package placement

import (
	"cmp"
	"slices"

	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/topo"
)

const (
	// high is the utilisation from which keys move away from a server: above
	// it requests wait for slots. target is what moves aim at.
	high, target = 0.65, 0.45
	// highRatio and targetRatio are the same relative to the mean utilisation,
	// when that is high itself.
	highRatio, targetRatio = 1.5, 1.1
	// maxMoves bounds the moves of one plan, maxMoving those under way.
	maxMoves, maxMoving = 6, 16
	// coldShare is the part of a cold server's bound that its keys may bring.
	coldShare = 0.6
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
	// Fixed pieces are between two owners and count for the owner to be.
	Fixed bool
}

// Move gives keys to another server.
type Move struct {
	First, Last keyrange.Key
	Target      topo.ServerID
}

// share is a server's part of the load.
type share struct {
	Server
	// capacity is the requests per second that the server can do, load what
	// its keys bring.
	capacity, load float64
	keys           int
}

// utilisation is the part of the capacity that is in use.
func (s *share) utilisation() float64 { return s.load / s.capacity }

// room is the load that the server may take on up to a utilisation.
func (s *share) room(level float64) float64 { return level*s.capacity - s.load }

// state is the load of all servers.
type state struct {
	load  *Load
	all   []*share
	byID  map[topo.ServerID]*share
	table []Piece
	// mean is the mean utilisation.
	mean float64
}

func newState(load *Load, servers []Server, table []Piece) *state {
	st := &state{load: load, byID: make(map[topo.ServerID]*share, len(servers)), table: table}
	total, capacity := 0.0, 0.0
	for _, s := range servers {
		sh := &share{Server: s, capacity: float64(s.Slots) / load.Work(s.ID)}
		if s.ColdRate > 0 {
			sh.capacity = min(sh.capacity, s.ColdRate*coldShare)
		}
		capacity += sh.capacity
		st.byID[s.ID] = sh
		st.all = append(st.all, sh)
	}
	for _, p := range table {
		l := load.Between(p.First, p.Last)
		total += l
		if sh := st.byID[p.Owner]; sh != nil {
			sh.load += l
			sh.keys += p.width()
		}
	}
	if capacity > 0 {
		st.mean = total / capacity
	}
	return st
}

// high and target are the levels of utilisation in force.
func (st *state) high() float64   { return max(high, highRatio*st.mean) }
func (st *state) target() float64 { return max(target, targetRatio*st.mean) }

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

// Target chooses the server for keys that have no owner: the one that is left
// with the most room, by its share of the capacity and of the keys.
func Target(load *Load, servers []Server, table []Piece, first, last keyrange.Key) (topo.ServerID, bool) {
	st := newState(load, servers, table)
	moved := load.Between(first, last)
	best := st.sorted(func(s *share) float64 {
		return -(s.load+moved)/s.capacity - float64(s.keys)/keyrange.Keys
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

// Plan returns moves that take load off servers that have too much, and give
// keys to servers that have none.
func Plan(load *Load, servers []Server, table []Piece) []Move {
	moving := 0
	for _, p := range table {
		if p.Fixed {
			moving++
		}
	}
	st := newState(load, servers, table)
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
	targets := st.sorted(func(s *share) float64 { return s.room(st.target()) })
	for _, from := range st.sorted((*share).utilisation) {
		if from.utilisation() < st.high() {
			return Move{}, false
		}
		for _, to := range targets[:min(3, len(targets))] {
			want := min(-from.room(st.target()), to.room(st.target()))
			if to.ID == from.ID || want <= 0 {
				continue
			}
			if m, ok := st.shed(from, to, want); ok {
				return m, true
			}
		}
	}
	return Move{}, false
}

// fillEmpty gives keys to a server that has none.
func (st *state) fillEmpty() (Move, bool) {
	for _, to := range st.all {
		if to.keys > 0 {
			continue
		}
		for _, from := range st.sorted((*share).utilisation) {
			if from.ID == to.ID || from.keys == 0 {
				continue
			}
			if m, ok := st.shed(from, to, min(st.mean*to.capacity, from.load/2)); ok {
				return m, true
			}
		}
	}
	return Move{}, false
}

// shed cuts keys with about the wanted load off one of the server's pieces.
// Of those that fit, it takes the part with the fewest keys.
func (st *state) shed(from, to *share, want float64) (Move, bool) {
	var best Move
	width := 0
	for _, p := range st.table {
		if p.Owner != from.ID || p.Fixed || p.width() < 2 {
			continue
		}
		for _, m := range st.candidates(p, want) {
			got := st.load.Between(m.First, m.Last)
			if !fits(from, to, got, want) {
				continue
			}
			if w := int(m.Last) - int(m.First) + 1; width == 0 || w < width {
				best, width = m, w
			}
		}
	}
	best.Target = to.ID
	return best, width > 0
}

// fits reports whether moving a load helps: it is not much less than wanted,
// and the server that takes it is left with a lower utilisation than the one
// that gives it had.
func fits(from, to *share, got, want float64) bool {
	if got < want*0.3 {
		return false
	}
	after := (to.load + got) / to.capacity
	if to.ColdRate > 0 && after > 1.3 {
		return false
	}
	return got <= want*1.5 || after < 0.8*from.utilisation()
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
			out = append(out, Piece{First: p.First, Last: m.First - 1, Owner: p.Owner, Fixed: p.Fixed})
		}
		moved := Piece{First: max(p.First, m.First), Last: min(p.Last, m.Last), Owner: m.Target, Fixed: true}
		out = append(out, moved)
		st.account(p.Owner, m.Target, moved)
		if p.Last > m.Last {
			out = append(out, Piece{First: m.Last + 1, Last: p.Last, Owner: p.Owner, Fixed: p.Fixed})
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
