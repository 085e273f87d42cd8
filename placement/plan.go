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
	saturationUtilisation, overloadWaitSeconds = 0.9, 6.0
	// goodLoad is the utilisation up to which a server takes over keys at once.
	targetUtilisation = 0.75
	// minGain is the least part of its expected time that a moved request has
	// to gain. Measured times scatter by about that much.
	minRelativeGain = 0.3
	// minLoad is the least load worth moving, in requests per second.
	minMoveRate = 0.5
	// minMoves and minMoving bound the moves of one plan and those under way in
	// a small service; in a large one it is a part of the servers.
	minMovesPerPlan, minConcurrentMoves          = 6, 16
	serversPerMove, serversPerConcurrentMove int = 12, 4
	// givers and takers bound the servers that a plan compares.
	maxSources, maxDestinations = 6, 4
	// coldShare is the part of a cold server's bound that its keys may bring,
	// and coldWork how much longer work takes there.
	coldRateShare, coldServiceTimeFactor = 0.6, 2
	// pieces is the number of parts in which a leaving server's keys move, so
	// that no single server gets all of them.
	drainParts = 3
	// minPiece is the load below which keys are not divided further, in
	// requests per second.
	minSplitRate = 0.5
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
type Range struct {
	First, Last keyrange.Key
	Owner       topo.ServerID
	// Moving pieces are between two owners and count for the owner to be.
	// Neither they nor Fixed ones can be moved now.
	Moving, Fixed bool
}

// movable reports whether the piece, or a part of it, can be moved now.
func (r Range) movable() bool { return !r.Moving && !r.Fixed && r.keyCount() >= 2 }

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
	movableRanges []Range
	// marginal is what one more request per second costs.
	marginalCost float64
}

// time returns the expected time of a request, in seconds, when the server's
// keys bring the given load: work, and the wait for one of its slots (the
// approximation of Sakasegawa for a queue with several servers).
func (s *share) expectedTime(load float64) float64 {
	slots := float64(s.Slots)
	utilisation := load / s.capacity()
	excess := max(0, utilisation-saturationUtilisation)
	utilisation = min(utilisation, saturationUtilisation)
	wait := math.Pow(utilisation, math.Sqrt(2*(slots+1))-1) / (slots * (1 - utilisation))
	return s.work*(1+wait) + excess*overloadWaitSeconds
}

// capacity returns the requests per second that the server can do.
func (s *share) capacity() float64 {
	if s.ColdRate > 0 {
		return min(float64(s.Slots)/s.work, s.ColdRate*coldRateShare)
	}
	return float64(s.Slots) / s.work
}

// room returns the load that the server can take over without long waits.
func (s *share) headroom() float64 { return max(minMoveRate, targetUtilisation*s.capacity()-s.load) }

// cost is the sum of the expected times of a second's requests.
func (s *share) cost(load float64) float64 { return load * s.expectedTime(load) }

// change adds load and keys to the server.
func (s *share) addLoad(load float64, keys int) {
	s.load, s.keys = s.load+load, s.keys+keys
	s.marginalCost = s.cost(s.load+1) - s.cost(s.load)
}

// state is the load of all servers.
type planState struct {
	load   *Load
	shares []*share
	byID   map[topo.ServerID]*share
}

func newPlanState(load *Load, servers []Server, table []Range) *planState {
	st := &planState{load: load, byID: make(map[topo.ServerID]*share, len(servers))}
	for _, s := range servers {
		server := &share{Server: s, work: load.ServiceTime(s.ID)}
		if s.ColdRate > 0 {
			server.work *= coldServiceTimeFactor
		}
		st.byID[s.ID] = server
		st.shares = append(st.shares, server)
	}
	for _, r := range table {
		server := st.byID[r.Owner]
		if server == nil {
			continue
		}
		server.load += load.RangeLoad(r.First, r.Last)
		server.keys += r.keyCount()
		if r.movable() {
			server.movableRanges = append(server.movableRanges, r)
		}
	}
	for _, server := range st.shares {
		server.addLoad(0, 0)
	}
	return st
}

// sorted returns the servers by decreasing key, ties by id.
func (st *planState) sortedServers(key func(*share) float64) []*share {
	list := slices.Clone(st.shares)
	slices.SortFunc(list, func(a, b *share) int {
		if c := cmp.Compare(key(b), key(a)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return list
}

func (r Range) keyCount() int { return int(r.Last) - int(r.First) + 1 }

// Initial divides all keys among servers by their slots, in the order of the
// servers' ids.
func Initial(servers []Server) []Range {
	servers = slices.Clone(servers)
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	slots := 0
	for _, s := range servers {
		slots += s.Slots
	}
	var out []Range
	next, slotsBefore := 0, 0
	for _, s := range servers {
		slotsBefore += s.Slots
		end := keyrange.KeyCount * slotsBefore / slots
		if end > next {
			out = append(out, Range{First: keyrange.Key(next), Last: keyrange.Key(end - 1), Owner: s.ID})
			next = end
		}
	}
	return out
}

// Targets chooses the servers for keys that have no owner, one for each range:
// where the keys cost least, and of those the one with the fewest keys. It
// returns nil without servers.
func Targets(load *Load, servers []Server, table, unowned []Range) []topo.ServerID {
	st := newPlanState(load, servers, table)
	if len(st.shares) == 0 {
		return nil
	}
	out := make([]topo.ServerID, 0, len(unowned))
	for _, r := range unowned {
		moved := load.RangeLoad(r.First, r.Last)
		best := st.topServers(1, func(s *share) float64 {
			return s.cost(s.load) - s.cost(s.load+moved) - float64(s.keys)/keyrange.KeyCount
		})[0]
		best.addLoad(moved, r.keyCount())
		out = append(out, best.ID)
	}
	return out
}

// Divide returns the parts of first..last in which a leaving server's keys
// move: parts of about the same load.
func Divide(load *Load, first, last keyrange.Key) []Range {
	total := load.RangeLoad(first, last)
	var out []Range
	for i := drainParts; i > 1 && total > minSplitRate; i-- {
		end, part := load.PrefixWithLoad(first, last, total/float64(i))
		if end >= last {
			break
		}
		out = append(out, Range{First: first, Last: end})
		first, total = end+1, total-part
	}
	return append(out, Range{First: first, Last: last})
}

// Plan returns moves that make the expected times of requests shorter: away
// from servers that are slow or have much load. Servers that have no keys get
// some.
func Plan(load *Load, servers []Server, table []Range) []Move {
	moving := 0
	for _, r := range table {
		if r.Moving {
			moving++
		}
	}
	st := newPlanState(load, servers, table)
	maxMoves, maxMoving := max(minMovesPerPlan, len(servers)/serversPerMove), max(minConcurrentMoves, len(servers)/serversPerConcurrentMove)
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

// margin is the marginal cost of a server.
func marginalCostOf(s *share) float64 { return s.marginalCost }

// first returns the n servers with the largest key in decreasing order, ties
// by id.
func (st *planState) topServers(n int, key func(*share) float64) []*share {
	out := make([]*share, 0, n+1)
	for _, s := range st.shares {
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
func (st *planState) bestMove() (Move, bool) {
	if m, ok := st.fillEmptyServer(); ok {
		return m, true
	}
	from := st.topServers(maxSources, marginalCostOf)
	to := st.topServers(maxDestinations, func(s *share) float64 { return -s.marginalCost })
	var best Move
	bestGain := 0.0
	for _, f := range from {
		for _, t := range to {
			if f.ID == t.ID || f.marginalCost <= t.marginalCost {
				continue
			}
			for _, want := range []float64{f.load / 2, f.load / 4, f.load / 8, min(t.headroom(), f.load/2)} {
				m, gain := st.bestTransfer(f, t, want)
				if gain > bestGain {
					best, bestGain = m, gain
				}
			}
		}
	}
	return best, bestGain > 0
}

// fillEmpty gives keys to a server that has none.
func (st *planState) fillEmptyServer() (Move, bool) {
	for _, to := range st.shares {
		if to.keys > 0 {
			continue
		}
		for _, from := range st.sortedServers(marginalCostOf) {
			if from.ID == to.ID || from.keys == 0 {
				continue
			}
			want := from.load / 2
			if to.ColdRate > 0 {
				want = min(want, to.ColdRate*coldRateShare)
			}
			for _, r := range from.movableRanges {
				if end, _ := st.load.PrefixWithLoad(r.First, r.Last, want); end < r.Last {
					return Move{First: r.First, Last: end, Target: to.ID}, true
				}
			}
		}
	}
	return Move{}, false
}

// shed returns the best move of about the wanted load from one server to
// another, and what it gains in a second, in seconds; 0 when none helps.
func (st *planState) bestTransfer(from, to *share, want float64) (Move, float64) {
	var best Move
	bestGain := 0.0
	currentCost, currentTime := from.cost(from.load)+to.cost(to.load), from.expectedTime(from.load)
	for _, r := range from.movableRanges {
		for _, m := range st.candidates(r, want) {
			moved := st.load.RangeLoad(m.First, m.Last)
			gain := currentCost - from.cost(max(0, from.load-moved)) - to.cost(to.load+moved)
			if moved < minMoveRate || gain < minRelativeGain*moved*currentTime || gain <= bestGain {
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
func (st *planState) candidates(r Range, want float64) []Move {
	var out []Move
	if end, _ := st.load.PrefixWithLoad(r.First, r.Last, want); end < r.Last {
		out = append(out, Move{First: r.First, Last: end})
	}
	if start, ok := st.load.suffixWithLoad(r, want); ok {
		out = append(out, Move{First: start, Last: r.Last})
	}
	return out
}

// apply changes the state as if the move had been made.
func (st *planState) apply(m Move) {
	for _, from := range st.shares {
		i := slices.IndexFunc(from.movableRanges, func(r Range) bool { return r.First <= m.First && m.Last <= r.Last })
		if i < 0 {
			continue
		}
		load, keys := st.load.RangeLoad(m.First, m.Last), int(m.Last)-int(m.First)+1
		from.movableRanges = slices.Replace(from.movableRanges, i, i+1, from.movableRanges[i].remainderAfter(m)...)
		from.addLoad(-load, -keys)
		if to := st.byID[m.Target]; to != nil {
			to.addLoad(load, keys)
		}
		return
	}
}

// without returns the movable parts of a piece that a move leaves.
func (r Range) remainderAfter(m Move) []Range {
	var out []Range
	if r.First < m.First {
		left := r
		left.Last = m.First - 1
		out = append(out, left)
	}
	if r.Last > m.Last {
		right := r
		right.First = m.Last + 1
		out = append(out, right)
	}
	return slices.DeleteFunc(out, func(r Range) bool { return !r.movable() })
}
