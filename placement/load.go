// Package placement decides which keys belong on which backend servers. It
// answers loads in which a few neighbouring keys get much of the traffic,
// servers differ in speed, and servers come and go. It is pure.
package placement

import (
	"math"
	"sort"
	"time"

	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/topo"
)

const (
	// steadyMemory is the time constant of a load's usual average. Over it a
	// server gets some dozens of requests, so that arrivals which scatter move
	// few keys.
	longTimeConstant = 6 * time.Second
	// surgeMemory is the time constant of the average that follows keys which
	// turned hot within about a second.
	shortTimeConstant = time.Second
	// surgeSpreads is how many standard deviations the short average has to
	// differ from the long one to be believed: arrivals alone differ by more
	// once in some thousand looks.
	surgeThresholdStdDevs = 3.5
	// workMemory is the number of answers over which the time of work of a
	// server is averaged, and usualMemory the same for the whole service.
	serverAnswersAveraged, serviceAnswersAveraged = 32.0, 400.0
	// firstWork is the time of work that is assumed before the first answer,
	// in seconds.
	initialServiceTimeSeconds = 0.15
)

// series is an average of the requests per second for each key.
type keyRates struct {
	timeConstant time.Duration
	rate         [keyrange.KeyCount]float64
	// before holds the load of all keys before each key, unless it is stale.
	cumulative      [keyrange.KeyCount + 1]float64
	cumulativeStale bool
	// age is how long the average has been kept.
	age time.Duration
}

func (s *keyRates) add(key keyrange.Key, n float64) {
	s.rate[key] += n / s.timeConstant.Seconds()
	s.cumulativeStale = true
}

func (s *keyRates) decay(d time.Duration) {
	s.age += d
	factor := math.Exp(-d.Seconds() / s.timeConstant.Seconds())
	for i := range s.rate {
		s.rate[i] *= factor
	}
	s.cumulativeStale = true
}

func (s *keyRates) sums() *[keyrange.KeyCount + 1]float64 {
	if s.cumulativeStale {
		total := 0.0
		for k, v := range s.rate {
			total += v
			s.cumulative[k+1] = total
		}
		s.cumulativeStale = false
	}
	return &s.cumulative
}

// weight is the part of an average that the time since its beginning makes up.
func (s *keyRates) observedWeight() float64 {
	if s.age == 0 {
		return 1
	}
	return 1 - math.Exp(-s.age.Seconds()/s.timeConstant.Seconds())
}

func (s *keyRates) rangeRate(first, last keyrange.Key) float64 {
	sums := s.sums()
	return (sums[int(last)+1] - sums[first]) / s.observedWeight()
}

// Load is the load of one service: requests per second by key, and the speed of
// its servers. It is not safe for concurrent use.
type Load struct {
	// steady and surge average over a long and a short time.
	longTerm, shortTerm keyRates
	lastDecay           time.Time
	// work is the mean time of work by server, usual that of all, in seconds.
	work            map[topo.ServerID]float64
	meanServiceTime float64
}

// NewLoad returns an empty load.
func NewLoad() *Load {
	return &Load{
		longTerm: keyRates{timeConstant: longTimeConstant}, shortTerm: keyRates{timeConstant: shortTimeConstant},
		work: make(map[topo.ServerID]float64), meanServiceTime: initialServiceTimeSeconds,
	}
}

// Decay ages the averages to now.
func (l *Load) Decay(now time.Time) {
	if !l.lastDecay.IsZero() {
		l.longTerm.decay(now.Sub(l.lastDecay))
		l.shortTerm.decay(now.Sub(l.lastDecay))
	}
	l.lastDecay = now
}

// Count records n requests for a key.
func (l *Load) Count(key keyrange.Key, n float64) {
	l.longTerm.add(key, n)
	l.shortTerm.add(key, n)
}

// of returns the average to go by for some keys: the short one when the two
// differ by more than arrivals that scatter.
func (l *Load) averageFor(first, last keyrange.Key) *keyRates {
	longRate := l.longTerm.rangeRate(first, last)
	stdDev := math.Sqrt(max(longRate, minMoveRate) / (2 * shortTimeConstant.Seconds()))
	if math.Abs(l.shortTerm.rangeRate(first, last)-longRate) > surgeThresholdStdDevs*stdDev {
		return &l.shortTerm
	}
	return &l.longTerm
}

// Answered records the answers of a server: their number and mean time of
// work, without the time in a queue.
func (l *Load) Answered(id topo.ServerID, n int, mean time.Duration) {
	if n <= 0 || mean <= 0 {
		return
	}
	average := func(old, answersAveraged float64) float64 {
		return old + (1-math.Exp(-float64(n)/answersAveraged))*(mean.Seconds()-old)
	}
	l.work[id] = average(l.ServiceTime(id), serverAnswersAveraged)
	l.meanServiceTime = average(l.meanServiceTime, serviceAnswersAveraged)
}

// Work returns the mean time of work of a server, in seconds.
func (l *Load) ServiceTime(id topo.ServerID) float64 {
	if v, ok := l.work[id]; ok {
		return v
	}
	return l.meanServiceTime
}

// Between returns the load of the keys from first to last, in requests per
// second.
func (l *Load) RangeLoad(first, last keyrange.Key) float64 {
	return l.averageFor(first, last).rangeRate(first, last)
}

// Cut returns the last key of the shortest part of first..last, from its
// beginning, that has at least the given load, and the load of that part.
func (l *Load) PrefixWithLoad(first, last keyrange.Key, load float64) (keyrange.Key, float64) {
	s := l.averageFor(first, last)
	sums, wanted := s.sums(), load*s.observedWeight()
	n := sort.Search(int(last)-int(first), func(i int) bool { return sums[int(first)+i+1]-sums[first] >= wanted })
	end := first + keyrange.Key(n)
	return end, s.rangeRate(first, end)
}

// cutBack returns the first key of the shortest part of a piece, from its end,
// that has at least the given load; false when that is the whole piece.
func (l *Load) suffixWithLoad(r Range, load float64) (keyrange.Key, bool) {
	s := l.averageFor(r.First, r.Last)
	sums, wanted := s.sums(), load*s.observedWeight()
	end := sums[int(r.Last)+1]
	n := sort.Search(r.keyCount(), func(i int) bool { return end-sums[int(r.Last)-i] >= wanted })
	return r.Last - keyrange.Key(n), n < r.keyCount()-1
}
