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
	// loadMemory is the time constant of the load's average: long enough for
	// some requests a bucket, short enough to follow a key that turned hot
	// within about a second.
	loadMemory = time.Second
	// workMemory is the number of answers over which the time of work of a
	// server is averaged, and usualMemory the same for the whole service.
	workMemory, usualMemory = 32.0, 400.0
	// firstWork is the time of work that is assumed before the first answer,
	// in seconds.
	firstWork = 0.15
)

// Load is the load of one service: requests per second by key, and the
// speed of its servers. It is not safe for concurrent use.
type Load struct {
	rate [keyrange.Keys]float64
	// before holds the sums of rate, unless it is stale.
	before [keyrange.Keys + 1]float64
	stale  bool
	last   time.Time
	// work is the mean time of work by server, usual that of all, in seconds.
	work  map[topo.ServerID]float64
	usual float64
}

// NewLoad returns an empty load.
func NewLoad() *Load { return &Load{work: make(map[topo.ServerID]float64), usual: firstWork} }

// Decay ages the averages to now.
func (l *Load) Decay(now time.Time) {
	if !l.last.IsZero() {
		f := math.Exp(-now.Sub(l.last).Seconds() / loadMemory.Seconds())
		for i := range l.rate {
			l.rate[i] *= f
		}
		l.stale = true
	}
	l.last = now
}

// Count records n requests for a key.
func (l *Load) Count(key keyrange.Key, n float64) {
	l.rate[key] += n / loadMemory.Seconds()
	l.stale = true
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

// sums returns the load of all keys before each key.
func (l *Load) sums() *[keyrange.Keys + 1]float64 {
	if l.stale {
		total := 0.0
		for k, v := range l.rate {
			total += v
			l.before[k+1] = total
		}
		l.stale = false
	}
	return &l.before
}

// Between returns the load of the keys from first to last, in requests per
// second.
func (l *Load) Between(first, last keyrange.Key) float64 {
	s := l.sums()
	return s[int(last)+1] - s[first]
}

// Cut returns the last key of the shortest part of first..last, from its
// beginning, that has at least the given load, and the load of that part.
func (l *Load) Cut(first, last keyrange.Key, load float64) (keyrange.Key, float64) {
	s := l.sums()
	n := sort.Search(int(last)-int(first), func(i int) bool { return s[int(first)+i+1]-s[first] >= load })
	end := first + keyrange.Key(n)
	return end, l.Between(first, end)
}

// cutBack returns the first key of the shortest part of a piece, from its end,
// that has at least the given load; false when that is the whole piece.
func (l *Load) cutBack(p Piece, load float64) (keyrange.Key, bool) {
	s := l.sums()
	end := s[int(p.Last)+1]
	n := sort.Search(p.width(), func(i int) bool { return end-s[int(p.Last)-i] >= load })
	return p.Last - keyrange.Key(n), n < p.width()-1
}
