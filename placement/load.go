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
	loadMemory = 1500 * time.Millisecond
	// speedMemory is the weight of a new report in a server's speed.
	speedMemory = 0.2
	// minSpeed and maxSpeed bound the measured speed of a server.
	minSpeed, maxSpeed = 0.25, 2
	// minReport is the number of answers from which a report tells a speed.
	minReport = 2
)

// BucketOf returns the bucket of a key.
func BucketOf(k keyrange.Key) int { return int(k) / BucketWidth }

// Load is the load of one service: requests per second by bucket, and the
// speed of its servers. It is not safe for concurrent use.
type Load struct {
	rate   [Buckets]float64
	last   time.Time
	speed  map[topo.ServerID]float64
	usual  float64
	weight float64
}

// NewLoad returns an empty load.
func NewLoad() *Load { return &Load{speed: make(map[topo.ServerID]float64)} }

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
	if n < minReport || mean <= 0 {
		return
	}
	w := float64(n)
	l.usual += w * mean.Seconds()
	l.weight += w
	const memory = 400 // requests over which the usual time is averaged
	if l.weight > memory {
		l.usual *= memory / l.weight
		l.weight = memory
	}
	speed := min(max(l.usual/l.weight/mean.Seconds(), minSpeed), maxSpeed)
	old, ok := l.speed[id]
	if !ok {
		old = 1
	}
	l.speed[id] = old + speedMemory*(speed-old)
}

// Speed returns the speed of a server relative to its peers.
func (l *Load) Speed(id topo.ServerID) float64 {
	if v, ok := l.speed[id]; ok {
		return v
	}
	return 1
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
