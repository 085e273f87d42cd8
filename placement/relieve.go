package placement

import "math"

const (
	// overloadUtilisation is the utilisation above which a server is relieved. Down to
	// relievedUtilisation it is then relieved, and up to filledUtilisation others take
	// its load. When the whole service has more load, the three are overloadMargin,
	// relievedMargin and filledMargin above the utilisation of all servers together.
	overloadUtilisation, overloadMargin = 1.0, 0.35
	relievedUtilisation, relievedMargin = 0.75, 0.25
	filledUtilisation, filledMargin     = 0.6, 0.1
	// maxReliefMoving bounds the moves in progress with which further ones are planned,
	// so that the orders of a plan do not delay renewals.
	maxReliefMoving = 256
)

// levels are the utilisations by which a plan relieves servers.
type levels struct{ overload, relieved, filled float64 }

// levels derives the levels from the utilisation of all servers together.
func (st *planState) levels() levels {
	load, capacity := 0.0, 0.0
	for _, s := range st.shares {
		if !s.refusing {
			load, capacity = load+s.load, capacity+s.capacity()
		}
	}
	balanced := load / max(capacity, math.SmallestNonzeroFloat64)
	return levels{
		overload: max(overloadUtilisation, balanced+overloadMargin),
		relieved: max(relievedUtilisation, balanced+relievedMargin),
		filled:   max(filledUtilisation, balanced+filledMargin),
	}
}

// relieve returns moves from overloaded servers to those to which another request costs
// least, until none is overloaded or no move is worth its price. A server that gets a hot
// range is relieved of others if necessary.
func (st *planState) relieve() []Move {
	if st.refusing || st.load.justStarted() {
		return nil
	}
	level := st.levels()
	var sources []*share
	for _, s := range st.shares {
		if s.utilisation() > level.overload {
			sources = append(sources, s)
		}
	}
	if len(sources) == 0 {
		return nil
	}
	st.queueServers(sources)
	exhausted := make(map[*share]bool)
	var out []Move
	for st.moving < maxReliefMoving {
		from := st.sources.first()
		if from == nil {
			break
		}
		m, ok := st.reliefMove(from, level)
		if from.utilisation() <= level.relieved || !ok {
			exhausted[from] = true
			st.sources.remove(from)
			continue
		}
		st.apply(from, m)
		out = append(out, m)
		if to := st.byID[m.Target]; to.utilisation() > level.overload && !exhausted[to] {
			st.sources.add(to)
		}
	}
	return out
}

// reliefMove returns the move that best relieves a server. It returns false if none is
// worth its price.
func (st *planState) reliefMove(from *share, level levels) (Move, bool) {
	to := st.coolest(from)
	if to == nil {
		return Move{}, false
	}
	headroom := max(level.filled*to.capacity()-to.load, minMoveRate)
	wanted := min(from.load-level.relieved*from.capacity(), headroom)
	var best Move
	bestScore, bestLoad := 0.0, 0.0
	for _, r := range from.movable {
		for _, c := range r.reliefCandidates(wanted) {
			load := r.loadOf(c.First, c.Last)
			score := min(load, wanted) - 2*max(0, load-wanted)
			if load >= minMoveRate && (bestLoad == 0 || score > bestScore) {
				best, bestScore, bestLoad = c, score, load
			}
		}
	}
	if bestLoad == 0 {
		return Move{}, false
	}
	costOf := func(s *share) float64 { return s.cost(s.load+bestLoad) - s.cost(s.load) }
	if bestLoad > headroom {
		// A key that no server can take beside its other keys goes to the one on which
		// it is served best alone. The others then move away.
		costOf = func(s *share) float64 {
			shed := max(0, s.load+bestLoad-max(level.relieved*s.capacity(), s.fixedLoad+bestLoad))
			return s.cost(s.fixedLoad+bestLoad) - s.cost(s.fixedLoad) + shed*(s.svcTime+handoverOverheadSeconds)
		}
		lowest := costOf(to)
		for _, s := range st.destinations.list {
			if s == from {
				continue
			}
			if cost := costOf(s); cost < lowest || cost == lowest && s.ID < to.ID {
				to, lowest = s, cost
			}
		}
	}
	gain := from.cost(from.load) - from.cost(max(0, from.load-bestLoad)) - costOf(to)
	best.Target = to.ID
	return best, worthMoving(from, bestLoad, gain)
}

// coolest returns the server other than from to which another request costs least.
func (st *planState) coolest(from *share) *share {
	for _, s := range st.destinations.firstN(2) {
		if s != from {
			return s
		}
	}
	return nil
}

// reliefCandidates returns moves, without a target, of up to about wanted from a range:
// the whole range, or a part at one of its ends with slightly more or less load.
func (r movablePart) reliefCandidates(wanted float64) []Move {
	if r.loadOf(r.First, r.Last) <= wholeRangeFactor*wanted || r.First == r.Last {
		return []Move{{First: r.First, Last: r.Last}}
	}
	var out []Move
	end := r.prefixWithLoad(r.First, r.Last, wanted)
	out = append(out, Move{First: r.First, Last: end})
	if end > r.First {
		out = append(out, Move{First: r.First, Last: end - 1})
	}
	start := r.suffixWithLoad(r.First, r.Last, wanted)
	out = append(out, Move{First: start, Last: r.Last})
	if start < r.Last {
		out = append(out, Move{First: start + 1, Last: r.Last})
	}
	return out
}
