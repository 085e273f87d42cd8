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
	minRelativeGain = 0.4
	// minMoveRate is the minimum load of a move, in requests per second.
	minMoveRate = 0.5
	// moveLimit limits the moves of one plan that only even out load, and
	// concurrentMoveLimit the moves in progress with which such moves are planned. For a
	// large service, the limits are higher: one move of a plan per serversPerMove
	// servers, and one move in progress per serversPerConcurrentMove servers. The moves
	// that relieve overloaded servers follow the load that has to move.
	moveLimit, concurrentMoveLimit               = 6, 16
	serversPerMove, serversPerConcurrentMove int = 12, 4
	// maxSources bounds the sources without a worthwhile move that are tried in a plan
	// that evens out load, and maxDestinations the servers with which each is compared.
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
	// wholeRangeFactor is the load of a range, as a multiple of the load that is to move,
	// up to which it moves undivided: each range costs the leader an order a second.
	wholeRangeFactor = 1.25
	// gainHorizonSeconds is the time for which the gain of a move counts: load that
	// concentrates on a few keys stays for some seconds.
	gainHorizonSeconds = 3.0
	// handoverOverheadSeconds is the part of a handover that does not depend on the
	// running work: two orders and a write of the table.
	handoverOverheadSeconds = 0.15
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
func (r Range) movable() bool { return !r.Moving && !r.Fixed }

// Move is the handover of the keys from First to Last, inclusive, to the
// server Target.
type Move struct {
	First, Last keyrange.Key
	Target      topo.ServerID
}

// movablePart is a range, or a part of one, that can be moved away from its owner.
type movablePart struct {
	Range
	measure
}

// share is a server with its keys and their load while a plan is made.
type share struct {
	Server
	// svcTime is the mean service time in seconds; load is the request rate of
	// the server's keys, in requests per second, of which fixedLoad cannot move now.
	svcTime, load, fixedLoad float64
	keys                     int
	// movable are the ranges that can be moved away, in the order of their keys.
	movable []movablePart
	// marginalCost is the cost of one more request per second.
	marginalCost float64
	// refusing is set if the server refuses requests regardless of its load. It neither
	// gets keys nor loses any.
	refusing bool
	// asSource and asDestination are the positions in the queues of a plan, or -1.
	asSource, asDestination int
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

func (s *share) utilisation() float64 { return s.load / s.capacity() }

// planState is the load of all servers while a plan is made.
type planState struct {
	load   *Load
	shares []*share
	byID   map[topo.ServerID]*share
	// moving is the number of moves in progress.
	moving int
	// refusing is set if the service as a whole refuses requests regardless of its load.
	refusing bool
	// sources and destinations are the servers from which and to which keys may move.
	sources, destinations shareQueue
}

func newPlanState(load *Load, servers []Server, table []Range) *planState {
	st := &planState{load: load, refusing: load.ServiceRefusing(servers), byID: make(map[topo.ServerID]*share, len(servers))}
	for _, s := range servers {
		server := &share{Server: s, svcTime: load.ServiceTime(s.ID), refusing: load.Refusing(s.ID), asSource: -1, asDestination: -1}
		if s.ColdRate > 0 {
			server.svcTime *= coldServiceTimeFactor
		}
		st.byID[s.ID] = server
		st.shares = append(st.shares, server)
	}
	measures := load.measures(table)
	for i, r := range table {
		if r.Moving {
			st.moving++
		}
		server := st.byID[r.Owner]
		if server == nil {
			continue
		}
		rate := measures[i].loadOf(r.First, r.Last)
		server.load += rate
		server.keys += r.keyCount()
		if r.movable() && !server.refusing {
			server.movable = append(server.movable, movablePart{r, measures[i]})
		} else {
			server.fixedLoad += rate
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
// away from servers that are slow or heavily loaded. Overloaded servers are relieved
// first, as by Relieve. Servers without keys get some first. The limits on the other moves
// of a plan and on the moves in progress grow with the number of servers.
func Plan(load *Load, servers []Server, table []Range) []Move {
	st := newPlanState(load, servers, table)
	if out := st.relieve(); len(out) > 0 || st.refusing {
		return out
	}
	return st.evenOut()
}

// Relieve returns moves that bring overloaded servers down to a suitable utilisation. It
// returns none if no server is overloaded, so it can be called often.
func Relieve(load *Load, servers []Server, table []Range) []Move {
	return newPlanState(load, servers, table).relieve()
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

// evenOut returns moves with the greatest gains.
func (st *planState) evenOut() []Move {
	n := len(st.shares)
	maxMoves, maxMoving := max(moveLimit, n/serversPerMove), max(concurrentMoveLimit, n/serversPerConcurrentMove)
	st.queueServers(st.shares)
	var out []Move
	for tried := 0; len(out) < maxMoves && st.moving < maxMoving; {
		if from, m, ok := st.fillEmptyServer(); ok {
			st.apply(from, m)
			out = append(out, m)
			continue
		}
		from := st.sources.first()
		if from == nil || tried == maxSources {
			break
		}
		m, gain := st.bestMove(from)
		if gain == 0 {
			tried++
			st.sources.remove(from)
			continue
		}
		st.apply(from, m)
		out = append(out, m)
	}
	return out
}

// bestMove returns the move with the greatest gain from a server to one of those to which
// another request costs least. The gain is 0 if no move reduces the cost enough.
func (st *planState) bestMove(from *share) (Move, float64) {
	var best Move
	bestGain := 0.0
	for _, to := range st.destinations.firstN(maxDestinations) {
		if to == from || from.marginalCost <= to.marginalCost {
			continue
		}
		for _, targetLoad := range []float64{from.load / 2, from.load / 4, from.load / 8, min(to.headroom(), from.load/2)} {
			if m, gain := bestTransfer(from, to, targetLoad); gain > bestGain {
				best, bestGain = m, gain
			}
		}
	}
	return best, bestGain
}

// fillEmptyServer returns a move that gives keys to a server without any, and the server
// that they leave. It returns false if there is no such server, or no range to take keys
// from.
func (st *planState) fillEmptyServer() (*share, Move, bool) {
	for _, to := range st.shares {
		if to.keys > 0 || to.refusing {
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
			for _, r := range from.movable {
				if end := r.prefixWithLoad(r.First, r.Last, targetLoad); end < r.Last {
					return from, Move{First: r.First, Last: end, Target: to.ID}, true
				}
			}
		}
	}
	return nil, Move{}, false
}

// bestTransfer returns the best move of about targetLoad from one server
// to another, and its gain, which is the reduction of the cost. The gain is 0
// if no move reduces the cost enough.
func bestTransfer(from, to *share, targetLoad float64) (Move, float64) {
	var best Move
	bestGain := 0.0
	currentCost := from.cost(from.load) + to.cost(to.load)
	for _, r := range from.movable {
		for _, m := range r.candidates(targetLoad) {
			moved := r.loadOf(m.First, m.Last)
			gain := currentCost - from.cost(max(0, from.load-moved)) - to.cost(to.load+moved)
			if gain <= bestGain || !worthMoving(from, moved, gain) {
				continue
			}
			best, bestGain = m, gain
		}
	}
	best.Target = to.ID
	return best, bestGain
}

// worthMoving reports whether a move of the given load is worth its price. During the
// handover, which lasts until the running work has ended, the requests for the keys wait.
func worthMoving(from *share, moved, gain float64) bool {
	handover := from.svcTime + handoverOverheadSeconds
	price := moved * handover * handover / 2
	return moved >= minMoveRate && gain >= minRelativeGain*moved*from.expectedTime(from.load) && gain*gainHorizonSeconds >= price
}

// candidates returns moves, without a target, of about targetLoad from
// both ends of a range, and the whole range if it has about that load.
func (r movablePart) candidates(targetLoad float64) []Move {
	var out []Move
	if rate := r.loadOf(r.First, r.Last); rate <= wholeRangeFactor*targetLoad {
		return append(out, Move{First: r.First, Last: r.Last})
	}
	if end := r.prefixWithLoad(r.First, r.Last, targetLoad); end < r.Last {
		out = append(out, Move{First: r.First, Last: end})
	}
	if start := r.suffixWithLoad(r.First, r.Last, targetLoad); start > r.First {
		out = append(out, Move{First: start, Last: r.Last})
	}
	return out
}

// apply changes the state as if the move had been made.
func (st *planState) apply(from *share, m Move) {
	i := slices.IndexFunc(from.movable, func(r movablePart) bool { return r.First <= m.First && m.Last <= r.Last })
	r := from.movable[i]
	load, keys := r.loadOf(m.First, m.Last), int(m.Last)-int(m.First)+1
	from.movable = slices.Replace(from.movable, i, i+1, r.remainderAfter(m)...)
	from.addLoad(-load, -keys)
	st.reorder(from)
	st.moving++
	if to := st.byID[m.Target]; to != nil {
		to.fixedLoad += load
		to.addLoad(load, keys)
		st.reorder(to)
	}
}

// remainderAfter returns the parts of a range that a move leaves behind.
func (r movablePart) remainderAfter(m Move) []movablePart {
	var out []movablePart
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
	return out
}
