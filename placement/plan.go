package placement

import (
	"cmp"
	"slices"

	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/topo"
)

const (
	// overload is how far above its part of the load a server may be before
	// keys move. Measured loads of a second or two scatter by about a third.
	overload = 1.5
	// minExcess is the excess in requests per second below which no keys move.
	minExcess = 1.5
	// maxMoves bounds the moves of one plan, maxMoving those under way.
	maxMoves, maxMoving = 4, 10
	// coldShare is the part of a cold server's bound that its keys may bring.
	coldShare = 0.6
	// pieces is the number of parts in which a leaving server's keys move, so
	// that no single server gets all of them.
	pieces = 3
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
	weight float64
	// load and part are in requests per second: what it has and should have.
	load, part float64
	keys       int
}

// deficit is how much more load the server should have.
func (s *share) deficit() float64 { return s.part - s.load }

// shares computes every server's load and part.
func shares(load *Load, servers []Server, table []Piece) map[topo.ServerID]*share {
	out := make(map[topo.ServerID]*share, len(servers))
	total, weights := 0.0, 0.0
	for _, s := range servers {
		sh := &share{Server: s, weight: float64(s.Slots) * load.Speed(s.ID)}
		out[s.ID] = sh
		if s.ColdRate == 0 {
			weights += sh.weight
		}
	}
	for _, p := range table {
		l := load.Between(p.First, p.Last)
		total += l
		if sh := out[p.Owner]; sh != nil {
			sh.load += l
			sh.keys += int(p.Last) - int(p.First) + 1
		}
	}
	for _, sh := range out {
		if sh.ColdRate > 0 {
			sh.part = min(sh.ColdRate*coldShare, total/float64(len(out)))
			continue
		}
		if weights > 0 {
			sh.part = total * sh.weight / weights
		}
	}
	return out
}

// sorted returns the shares by decreasing key, ties by id.
func sorted(all map[topo.ServerID]*share, key func(*share) float64) []*share {
	list := make([]*share, 0, len(all))
	for _, s := range all {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *share) int {
		if c := cmp.Compare(key(b), key(a)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return list
}

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

// Target chooses the server for keys that have no owner.
func Target(load *Load, servers []Server, table []Piece, first, last keyrange.Key) (topo.ServerID, bool) {
	all := shares(load, servers, table)
	moved := load.Between(first, last)
	best := sorted(all, func(s *share) float64 {
		if s.ColdRate > 0 && s.load+moved > s.part {
			return s.deficit() - moved - s.weight
		}
		// Between equal loads, the server with fewer keys for its slots.
		return s.deficit()/max(s.weight, 1) - float64(s.keys)/keyrange.Keys
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
	for i := pieces; i > 1 && total > minExcess; i-- {
		end, part := load.Cut(first, last, total/float64(i))
		if end >= last {
			break
		}
		out = append(out, Piece{First: first, Last: end})
		first, total = end+1, total-part
	}
	return append(out, Piece{First: first, Last: last})
}

// Plan returns moves that bring the servers' loads closer to their parts.
func Plan(load *Load, servers []Server, table []Piece) []Move {
	moving := 0
	for _, p := range table {
		if p.Fixed {
			moving++
		}
	}
	all := shares(load, servers, table)
	var out []Move
	for len(out) < maxMoves && moving+len(out) < maxMoving {
		m, ok := next(load, all, table)
		if !ok {
			break
		}
		out = append(out, m)
		table = apply(table, m)
	}
	return out
}

// next returns the most useful move.
func next(load *Load, all map[topo.ServerID]*share, table []Piece) (Move, bool) {
	if m, ok := first(load, all, table); ok {
		return m, true
	}
	targets := sorted(all, (*share).deficit)
	for _, from := range sorted(all, func(s *share) float64 { return -s.deficit() }) {
		excess := -from.deficit()
		if excess < minExcess || from.load < overload*from.part {
			return Move{}, false
		}
		for _, to := range targets[:min(3, len(targets))] {
			if to.ID == from.ID || to.deficit() <= 0 {
				continue
			}
			if m, ok := shed(load, table, from, to, min(excess, to.deficit())); ok {
				return m, true
			}
		}
	}
	return Move{}, false
}

// first gives keys to a server that has none.
func first(load *Load, all map[topo.ServerID]*share, table []Piece) (Move, bool) {
	for _, to := range sorted(all, (*share).deficit) {
		if to.keys > 0 || to.part <= 0 {
			continue
		}
		for _, from := range sorted(all, func(s *share) float64 { return s.load / max(s.weight, 1) }) {
			if from.ID == to.ID || from.keys == 0 {
				continue
			}
			if m, ok := shed(load, table, from, to, min(to.part, from.load/2)); ok {
				return m, true
			}
		}
	}
	return Move{}, false
}

// shed cuts keys with about the given load off one of the server's pieces, at
// the end that moves fewer keys.
func shed(load *Load, table []Piece, from, to *share, want float64) (Move, bool) {
	var best Move
	bestCost := -1.0
	for _, p := range table {
		if p.Owner != from.ID || p.Fixed || p.Last-p.First < 1 {
			continue
		}
		for _, m := range candidates(load, p, want) {
			got := load.Between(m.First, m.Last)
			if got > want*1.5 && got > from.load/2 || got < want*0.3 {
				continue
			}
			if to.ColdRate > 0 && to.load+got > to.part*1.3 {
				continue
			}
			if cost := float64(m.Last-m.First) + 1; bestCost < 0 || cost < bestCost {
				best, bestCost = m, cost
			}
		}
	}
	if bestCost < 0 {
		return Move{}, false
	}
	best.Target = to.ID
	moved := load.Between(best.First, best.Last)
	from.load -= moved
	to.load += moved
	to.keys += int(bestCost)
	from.keys -= int(bestCost)
	return best, true
}

// candidates returns the parts with about the wanted load at both ends of a
// piece, and its hottest bucket.
func candidates(load *Load, p Piece, want float64) []Move {
	var out []Move
	if end, _ := load.Cut(p.First, p.Last, want); end < p.Last {
		out = append(out, Move{First: p.First, Last: end})
	}
	if start, ok := cutBack(load, p, want); ok {
		out = append(out, Move{First: start, Last: p.Last})
	}
	hot, rate := -1, 0.0
	for b := BucketOf(p.First); b <= BucketOf(p.Last); b++ {
		if load.rate[b] > rate {
			hot, rate = b, load.rate[b]
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
func cutBack(load *Load, p Piece, want float64) (keyrange.Key, bool) {
	total := 0.0
	for k := int(p.Last); k >= int(p.First); {
		b := k / BucketWidth
		begin := max(b*BucketWidth, int(p.First))
		total += load.rate[b] * float64(k-begin+1) / BucketWidth
		if total >= want {
			return keyrange.Key(begin), begin > int(p.First)
		}
		k = begin - 1
	}
	return p.First, false
}

// apply returns the table after a move.
func apply(table []Piece, m Move) []Piece {
	var out []Piece
	for _, p := range table {
		if p.Last < m.First || p.First > m.Last {
			out = append(out, p)
			continue
		}
		if p.First < m.First {
			out = append(out, Piece{First: p.First, Last: m.First - 1, Owner: p.Owner, Fixed: p.Fixed})
		}
		out = append(out, Piece{First: m.First, Last: m.Last, Owner: m.Target, Fixed: true})
		if p.Last > m.Last {
			out = append(out, Piece{First: m.Last + 1, Last: p.Last, Owner: p.Owner, Fixed: p.Fixed})
		}
	}
	return out
}
