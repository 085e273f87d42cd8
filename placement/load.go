// Package placement decides which keys belong on which backend servers. It
// answers loads in which a few neighbouring keys get much of the traffic,
// servers differ in speed, and servers come and go. It is pure.
package placement

import (
	"math"
	"time"

	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/topo"
)

const (
	// BucketWidth is the number of neighbouring keys whose load is counted
	// together. It divides a stretch of a few dozen hot keys into several
	// parts.
	BucketWidth = 16
	// Buckets is the number of buckets.
	Buckets = keyrange.Keys / BucketWidth
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

// BucketOf returns the bucket of a key.
func BucketOf(k keyrange.Key) int { return int(k) / BucketWidth }

// Load is the load of one service: requests per second by bucket, and the
// speed of its servers. It is not safe for concurrent use.
type Load struct {
	rate [Buckets]float64
	last time.Time
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
	}
	l.last = now
}

// Count records n requests for keys of a bucket.
func (l *Load) Count(bucket int, n float64) {
	if bucket >= 0 && bucket < Buckets {
		l.rate[bucket] += n / loadMemory.Seconds()
	}
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
// second. A bucket that is only partly inside counts by its share.
func (l *Load) Between(first, last keyrange.Key) float64 {
	total := 0.0
	for k := int(first); k <= int(last); {
		b := k / BucketWidth
		end := min((b+1)*BucketWidth-1, int(last))
		total += l.rate[b] * float64(end-k+1) / BucketWidth
		k = end + 1
	}
	return total
}

// Cut returns the last key of the shortest part of first..last, from its
// beginning, that has at least the given load, and the load of that part.
func (l *Load) Cut(first, last keyrange.Key, load float64) (keyrange.Key, float64) {
	total := 0.0
	for k := int(first); k <= int(last); {
		b := k / BucketWidth
		end := min((b+1)*BucketWidth-1, int(last))
		total += l.rate[b] * float64(end-k+1) / BucketWidth
		if total >= load {
			return keyrange.Key(end), total
		}
		k = end + 1
	}
	return last, total
}
