package placement

import (
	"godwitlock.example/godwitlock/keyrange"
)

const (
	// surgeNeighbours is the number of keys on each side of a range of up to narrowRange
	// keys that are looked at as well to tell whether it is in a surge. Busy keys lie
	// close to one another, and a few keys have too few arrivals to show that at once.
	surgeNeighbours, narrowRange = 16, 64
	// maxSurgeFactor bounds the factor by which a stretch may draw more at present than
	// its average over a second says.
	maxSurgeFactor = 5.0
	// maxSurgeTrend bounds the further factor by which the load of a stretch that is
	// rising is taken to rise until a handover has ended.
	maxSurgeTrend = 2.0
)

// measure tells how the load of a range and of its parts is measured while a plan is made,
// so that the parts of a range have the load of the range.
type measure struct {
	average *keyRates
	// factor is what the average is multiplied by. It is not 1 in a stretch of
	// neighbouring keys that draws more or less at present than over the last second: the
	// short-term average tells how the load of the stretch is distributed, and the fast
	// one its size.
	factor float64
}

func (m measure) loadOf(first, last keyrange.Key) float64 {
	return m.factor * m.average.rangeRate(first, last)
}

func (m measure) prefixWithLoad(first, last keyrange.Key, load float64) keyrange.Key {
	return m.average.prefixWithLoad(first, last, load/m.factor)
}

func (m measure) suffixWithLoad(first, last keyrange.Key, load float64) keyrange.Key {
	return m.average.suffixWithLoad(first, last, load/m.factor)
}

// measures returns how the load of each range of a table is measured.
func (l *Load) measures(table []Range) []measure {
	out := make([]measure, len(table))
	for i, r := range table {
		out[i] = measure{l.averageOf(r), 1}
	}
	for i := 0; i < len(table); {
		j := i
		for j < len(table) && out[j].average == &l.shortTerm {
			j++
		}
		if j > i {
			l.setFactor(table[i:j], out[i:j])
		}
		i = max(j, i+1)
	}
	return out
}

// averageOf returns the average to use for a range: as averageFor, but for a narrow range
// also the short-term one if its neighbourhood is in a surge.
func (l *Load) averageOf(r Range) *keyRates {
	avg := l.averageFor(r.First, r.Last)
	if avg == &l.longTerm && r.keyCount() <= narrowRange {
		return l.averageFor(keyrange.Key(max(0, int(r.First)-surgeNeighbours)), keyrange.Key(min(int(keyrange.MaxKey), int(r.Last)+surgeNeighbours)))
	}
	return avg
}

// setFactor sets the factor of neighbouring ranges in a surge.
func (l *Load) setFactor(stretch []Range, out []measure) {
	first, last := stretch[0].First, stretch[len(stretch)-1].Last
	short, fast := l.shortTerm.rangeRate(first, last), l.fast.rangeRate(first, last)
	if short <= 0 || !differs(fast, short, fastTimeConstant) {
		return
	}
	factor := fast / short
	if factor > 1 {
		factor *= min(factor, maxSurgeTrend)
	}
	factor = min(max(factor, 1/maxSurgeFactor), maxSurgeFactor)
	for i := range out {
		out[i].factor = factor
	}
}
