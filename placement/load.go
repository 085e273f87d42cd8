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
	steadyMemory = 6 * time.Second
	// surgeMemory is the time constant of the average that follows keys which
	// turned hot within about a second.
	surgeMemory = time.Second
	// surgeSpreads is how many standard deviations the short average has to
	// differ from the long one to be believed: arrivals alone differ by more
	// once in some thousand looks.
	surgeSpreads = 3.5
	// workMemory is the number of answers over which the time of work of a
	// server is averaged, and usualMemory the same for the whole service.
	workMemory, usualMemory = 32.0, 400.0
	// firstWork is the time of work that is assumed before the first answer,
	// in seconds.
	firstWork = 0.15
)

// series is an average of the requests per second for each key.
type series struct {
	memory time.Duration
	rate   [keyrange.KeyCount]float64
	// before holds the load of all keys before each key, unless it is stale.
	before [keyrange.KeyCount + 1]float64
	stale  bool
	// age is how long the average has been kept.
	age time.Duration
}

func (s *series) add(key keyrange.Key, n float64) {
	s.rate[key] += n / s.memory.Seconds()
	s.stale = true
}

func (s *series) decay(d time.Duration) {
	s.age += d
	f := math.Exp(-d.Seconds() / s.memory.Seconds())
	for i := range s.rate {
		s.rate[i] *= f
	}
	s.stale = true
}

func (s *series) sums() *[keyrange.KeyCount + 1]float64 {
	if s.stale {
		total := 0.0
		for k, v := range s.rate {
			total += v
			s.before[k+1] = total
		}
		s.stale = false
	}
	return &s.before
}

// weight is the part of an average that the time since its beginning makes up.
func (s *series) weight() float64 {
	if s.age == 0 {
		return 1
	}
	return 1 - math.Exp(-s.age.Seconds()/s.memory.Seconds())
}

func (s *series) between(first, last keyrange.Key) float64 {
	sums := s.sums()
	return (sums[int(last)+1] - sums[first]) / s.weight()
}

// Load is the load of one service: requests per second by key, and the speed of
// its servers. It is not safe for concurrent use.
type Load struct {
	// steady and surge average over a long and a short time.
	steady, surge series
	last          time.Time
	// work is the mean time of work by server, usual that of all, in seconds.
	work  map[topo.ServerID]float64
	usual float64
}

// NewLoad returns an empty load.
func NewLoad() *Load {
	return &Load{
		steady: series{memory: steadyMemory}, surge: series{memory: surgeMemory},
		work: make(map[topo.ServerID]float64), usual: firstWork,
	}
}

// Decay ages the averages to now.
func (l *Load) Decay(now time.Time) {
	if !l.last.IsZero() {
		l.steady.decay(now.Sub(l.last))
		l.surge.decay(now.Sub(l.last))
	}
	l.last = now
}

// Count records n requests for a key.
func (l *Load) Count(key keyrange.Key, n float64) {
	l.steady.add(key, n)
	l.surge.add(key, n)
}

// of returns the average to go by for some keys: the short one when the two
// differ by more than arrivals that scatter.
func (l *Load) of(first, last keyrange.Key) *series {
	long := l.steady.between(first, last)
	spread := math.Sqrt(max(long, minLoad) / (2 * surgeMemory.Seconds()))
	if math.Abs(l.surge.between(first, last)-long) > surgeSpreads*spread {
		return &l.surge
	}
	return &l.steady
}

// Answered records the answers of a server: their number and mean time of
// work, without the time in a queue.
func (l *Load) Answered(id topo.ServerID, n int, mean time.Duration) {
	if n <= 0 || mean <= 0 {
		return
	}
	average := func(old, memory float64) float64 {
		return old + (1-math.Exp(-float64(n)/memory))*(mean.Seconds()-old)
	}
	l.work[id] = average(l.Work(id), workMemory)
	l.usual = average(l.usual, usualMemory)
}

// Work returns the mean time of work of a server, in seconds.
func (l *Load) Work(id topo.ServerID) float64 {
	if v, ok := l.work[id]; ok {
		return v
	}
	return l.usual
}

// Between returns the load of the keys from first to last, in requests per
// second.
func (l *Load) Between(first, last keyrange.Key) float64 {
	return l.of(first, last).between(first, last)
}

// Cut returns the last key of the shortest part of first..last, from its
// beginning, that has at least the given load, and the load of that part.
func (l *Load) Cut(first, last keyrange.Key, load float64) (keyrange.Key, float64) {
	s := l.of(first, last)
	sums, want := s.sums(), load*s.weight()
	n := sort.Search(int(last)-int(first), func(i int) bool { return sums[int(first)+i+1]-sums[first] >= want })
	end := first + keyrange.Key(n)
	return end, s.between(first, end)
}

// cutBack returns the first key of the shortest part of a piece, from its end,
// that has at least the given load; false when that is the whole piece.
func (l *Load) cutBack(p Piece, load float64) (keyrange.Key, bool) {
	s := l.of(p.First, p.Last)
	sums, want := s.sums(), load*s.weight()
	end := sums[int(p.Last)+1]
	n := sort.Search(p.width(), func(i int) bool { return end-sums[int(p.Last)-i] >= want })
	return p.Last - keyrange.Key(n), n < p.width()-1
}
