package placement

import (
	"cmp"
	"math"
	"slices"

	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/topo"
)

const (
	// saturationUtilisation is the utilisation above which the expected wait
	// grows linearly with the excess, by overloadWaitSeconds per unit of
	// utilisation.
	saturationUtilisation, overloadWaitSeconds = 0.9, 6.0
	// targetUtilisation is the utilisation up to which a server has headroom
	// for further keys.
	targetUtilisation = 0.75
	// minRelativeGain is the minimum gain of a move, as a fraction of the
	// expected response times that the moved requests have at their present
	// server. Measured times vary by about that much.
	minRelativeGain = 0.3
	// minMoveRate is the minimum load of a move, in requests per second.
	minMoveRate = 0.5
	// moveLimit limits the moves of one plan, and concurrentMoveLimit the moves
	// in progress. For a large service, the limits are higher: one move of a
	// plan per serversPerMove servers, and one move in progress per
	// serversPerConcurrentMove servers.
	moveLimit, concurrentMoveLimit               = 6, 16
	serversPerMove, serversPerConcurrentMove int = 12, 4
	// maxSources and maxDestinations bound the servers that are compared to
	// find a move.
	maxSources, maxDestinations = 6, 4
	// coldRateShare is the fraction of a cold server's ColdRate that the load of
	// its keys may reach. coldServiceTimeFactor multiplies its service time.
	coldRateShare, coldServiceTimeFactor = 0.6, 2
	// drainParts is the number of parts in which a leaving server's keys move,
	// so that no single server gets all of them.
	drainParts = 3
	// minSplitRate is the load up to which a range is not divided further, in
	// requests per second.
	minSplitRate = 0.5
)

// Server is a backend server that may own keys.
type Server struct {
	ID    topo.ServerID
	Slots int
	// ColdRate is the load that a cold server can take, in requests per second;
	// 0 when the server is warm or its service sets no limit.
	ColdRate float64
}

// Range is a contiguous range of keys with its owner. First and Last are
// inclusive.
type Range struct {
	First, Last keyrange.Key
	Owner       topo.ServerID
	// Moving is set while the range is being handed over; Owner is then the new
	// owner, and the range counts as its load. Fixed is set if the range must
	// stay with its owner for now. Neither kind of range can be moved.
	Moving, Fixed bool
}

// movable reports whether the range, or a part of it, can be moved now.
func (r Range) movable() bool { return !r.Moving && !r.Fixed && r.keyCount() >= 2 }

// Move is the handover of the keys from First to Last, inclusive, to the
// server Target.
type Move struct {
	First, Last keyrange.Key
	Target      topo.ServerID
}

// share is a server with its keys and their load while a plan is made.
type share struct {
	Server
	// svcTime is the mean service time in seconds; load is the request rate of
	// the server's keys, in requests per second.
	svcTime, load float64
	keys          int
	// movableRanges are the ranges that can be moved away, in the order of
	// their keys.
	movableRanges []Range
	// marginalCost is the cost of one more request per second.
	marginalCost float64
}

// expectedTime returns the expected response time of a request, in seconds,
// when the server's keys have the given load: the service time plus the wait
// for one of the server's slots (Sakasegawa's approximation for a queue with
// several servers).
func (s *share) expectedTime(load float64) float64 {
	slots := float64(s.Slots)
	utilisation := load / s.capacity()
	excess := max(0, utilisation-saturationUtilisation)
	utilisation = min(utilisation, saturationUtilisation)
	wait := math.Pow(utilisation, math.Sqrt(2*(slots+1))-1) / (slots * (1 - utilisation))
	return s.svcTime*(1+wait) + excess*overloadWaitSeconds
}

// capacity returns the highest load that the server can serve, in requests per
// second. For a cold server it is at most coldRateShare of its ColdRate.
func (s *share) capacity() float64 {
	if s.ColdRate > 0 {
		return min(float64(s.Slots)/s.svcTime, s.ColdRate*coldRateShare)
	}
	return float64(s.Slots) / s.svcTime
}

// headroom returns the load that the server can take over before it exceeds
// targetUtilisation, but at least minMoveRate.
func (s *share) headroom() float64 { return max(minMoveRate, targetUtilisation*s.capacity()-s.load) }

// cost returns the sum of the expected response times of the requests that
// arrive in one second.
func (s *share) cost(load float64) float64 { return load * s.expectedTime(load) }

// addLoad adds load and keys, which may be negative, and updates the marginal
// cost.
func (s *share) addLoad(load float64, keys int) {
	s.load, s.keys = s.load+load, s.keys+keys
	s.marginalCost = s.cost(s.load+1) - s.cost(s.load)
}

// planState is the load of all servers while a plan is made.
type planState struct {
	load   *Load
	shares []*share
	byID   map[topo.ServerID]*share
}

func newPlanState(load *Load, servers []Server, table []Range) *planState {
	st := &planState{load: load, byID: make(map[topo.ServerID]*share, len(servers))}
	for _, s := range servers {
		server := &share{Server: s, svcTime: load.ServiceTime(s.ID)}
		if s.ColdRate > 0 {
			server.svcTime *= coldServiceTimeFactor
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

// sortedServers returns the servers by decreasing rank, with ties ordered by ID.
func (st *planState) sortedServers(rank func(*share) float64) []*share {
	list := slices.Clone(st.shares)
	slices.SortFunc(list, func(a, b *share) int {
		if c := cmp.Compare(rank(b), rank(a)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return list
}

func (r Range) keyCount() int { return int(r.Last) - int(r.First) + 1 }

// Targets chooses a server for each of the unowned ranges: the one whose cost
// grows least, where the fraction of all keys that a server owns counts as a
// small extra cost. Each range counts as load of its new server before the next
// one is placed. Targets returns nil without servers.
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

// Divide splits the keys from first to last, which a leaving server owns, into
// ranges of about the same load that can be moved to different servers. The
// ranges have no owner.
func Divide(load *Load, first, last keyrange.Key) []Range {
	total := load.RangeLoad(first, last)
	var out []Range
	for i := drainParts; i > 1 && total > minSplitRate; i-- {
		end, partLoad := load.PrefixWithLoad(first, last, total/float64(i))
		if end >= last {
			break
		}
		out = append(out, Range{First: first, Last: end})
		first, total = end+1, total-partLoad
	}
	return append(out, Range{First: first, Last: last})
}

// Plan returns moves that shorten the expected response times by moving keys
// away from servers that are slow or heavily loaded. Servers without keys get
// some first. The limits on the moves of a plan and on the moves in progress
// grow with the number of servers.
func Plan(load *Load, servers []Server, table []Range) []Move {
	moving := 0
	for _, r := range table {
		if r.Moving {
			moving++
		}
	}
	st := newPlanState(load, servers, table)
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

func marginalCostOf(s *share) float64 { return s.marginalCost }

// topServers returns the n servers of the highest rank in decreasing order, with
// ties ordered by ID.
func (st *planState) topServers(n int, rank func(*share) float64) []*share {
	out := make([]*share, 0, n+1)
	for _, s := range st.shares {
		i, _ := slices.BinarySearchFunc(out, s, func(a, b *share) int {
			if c := cmp.Compare(rank(b), rank(a)); c != 0 {
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

// bestMove returns the next move of the plan: keys for a server that has none,
// else the move with the greatest gain. It returns false if no
// move reduces the cost enough.
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

// fillEmptyServer returns a move that gives keys to a server without any. It
// returns false if there is no such server, or no range to take keys from.
func (st *planState) fillEmptyServer() (Move, bool) {
	for _, to := range st.shares {
		if to.keys > 0 {
			continue
		}
		for _, from := range st.sortedServers(marginalCostOf) {
			if from.ID == to.ID || from.keys == 0 {
				continue
			}
			targetLoad := from.load / 2
			if to.ColdRate > 0 {
				targetLoad = min(targetLoad, to.ColdRate*coldRateShare)
			}
			for _, r := range from.movableRanges {
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
func (st *planState) bestTransfer(from, to *share, targetLoad float64) (Move, float64) {
	var best Move
	bestGain := 0.0
	currentCost, currentTime := from.cost(from.load)+to.cost(to.load), from.expectedTime(from.load)
	for _, r := range from.movableRanges {
		for _, m := range st.candidates(r, targetLoad) {
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

// candidates returns moves, without a target, of about targetLoad from
// both ends of a range.
func (st *planState) candidates(r Range, targetLoad float64) []Move {
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

// remainderAfter returns the movable parts of a range that a move leaves
// behind.
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
