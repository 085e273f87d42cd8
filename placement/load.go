package placement

import (
	"math"
	"sort"
	"time"

	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/topo"
)

const (
	// longTimeConstant is the time constant of the long-term average of a load.
	// A server gets a few dozen requests in that time, so random variation of
	// the arrivals causes few moves.
	longTimeConstant = 6 * time.Second
	// shortTimeConstant is the time constant of the short-term average, which
	// detects keys that become hot within about a second.
	shortTimeConstant = time.Second
	// fastTimeConstant is the time constant of the average that tells how much a
	// stretch of neighbouring hot keys draws at present.
	fastTimeConstant = 300 * time.Millisecond
	// surgeThresholdStdDevs is the number of standard deviations by which the
	// short-term average must differ from the long-term one to replace it.
	// Random arrivals alone exceed it about once in a few thousand checks.
	surgeThresholdStdDevs = 3.5
	// serverResponsesAveraged is the number of responses over which the mean
	// service time of a server is averaged; serviceResponsesAveraged is the same
	// for the whole service.
	serverResponsesAveraged, serviceResponsesAveraged = 32.0, 400.0
	// initialServiceTimeSeconds is the service time assumed before the first
	// response.
	initialServiceTimeSeconds = 0.15
)

// keyRates is an exponentially decaying average of the requests per second of
// each key.
type keyRates struct {
	timeConstant time.Duration
	rate         [keyrange.KeyCount]float64
	// cumulative[k] is the rate of all keys below k. It must be recomputed when
	// cumulativeStale is set.
	cumulative      [keyrange.KeyCount + 1]float64
	cumulativeStale bool
	// age is the time over which the average has been kept, and weight the fraction of
	// the average's total weight that falls within it, or 0 if age is 0. Dividing by it
	// corrects the bias towards 0 of an average that has just been started.
	age    time.Duration
	weight float64
}

func (s *keyRates) add(key keyrange.Key, n float64) {
	s.rate[key] += n / s.timeConstant.Seconds()
	s.cumulativeStale = true
}

func (s *keyRates) decay(d time.Duration) {
	s.age += d
	s.weight = 1 - math.Exp(-s.age.Seconds()/s.timeConstant.Seconds())
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

// observedWeight returns what the sums are divided by.
func (s *keyRates) observedWeight() float64 {
	if s.age == 0 {
		return 1
	}
	return s.weight
}

func (s *keyRates) rangeRate(first, last keyrange.Key) float64 {
	sums := s.sums()
	return (sums[int(last)+1] - sums[first]) / s.observedWeight()
}

// Load tracks the load of one service: the request rate of each key and the
// mean service time of each server. It is not safe for concurrent use.
type Load struct {
	// longTerm, shortTerm and fast hold the request rates, averaged over a long, a
	// short and a very short time.
	longTerm, shortTerm, fast keyRates
	lastDecay                 time.Time
	// serviceTimes holds the mean service time of each server, and
	// meanServiceTime that of the whole service, both in seconds.
	serviceTimes    map[topo.ServerID]float64
	meanServiceTime float64
	// refusals holds what each server refused lately regardless of its load.
	refusals map[topo.ServerID]refusals
}

// NewLoad returns a Load without requests. All servers have the same assumed
// service time until they respond.
func NewLoad() *Load {
	return &Load{
		longTerm: keyRates{timeConstant: longTimeConstant}, shortTerm: keyRates{timeConstant: shortTimeConstant},
		fast: keyRates{timeConstant: fastTimeConstant}, refusals: make(map[topo.ServerID]refusals),
		serviceTimes: make(map[topo.ServerID]float64), meanServiceTime: initialServiceTimeSeconds,
	}
}

// Decay decays the request rates to now. The first call only sets the start
// time.
func (l *Load) Decay(now time.Time) {
	if !l.lastDecay.IsZero() {
		d := now.Sub(l.lastDecay)
		l.longTerm.decay(d)
		l.shortTerm.decay(d)
		l.fast.decay(d)
		l.decayRefusals(d)
	}
	l.lastDecay = now
}

// Count records n requests for a key at the time of the last call of Decay.
func (l *Load) Count(key keyrange.Key, n float64) {
	l.longTerm.add(key, n)
	l.shortTerm.add(key, n)
	l.fast.add(key, n)
}

// justStarted reports whether the load has been tracked for so short a time that a few
// arrivals look like a surge, as with a new leader.
func (l *Load) justStarted() bool {
	return l.shortTerm.age > 0 && l.shortTerm.age < shortTimeConstant
}

// averageFor returns the average to use for the keys from first to last: the
// short-term one when it differs from the long-term one by more than random
// arrivals explain, else the long-term one.
func (l *Load) averageFor(first, last keyrange.Key) *keyRates {
	if rate := l.longTerm.rangeRate(first, last); differs(l.shortTerm.rangeRate(first, last), rate, shortTimeConstant) {
		return &l.shortTerm
	}
	return &l.longTerm
}

// differs reports whether an average over the given time constant differs from rate by
// more than random arrivals explain.
func differs(average, rate float64, timeConstant time.Duration) bool {
	stdDev := math.Sqrt(max(rate, minMoveRate) / (2 * timeConstant.Seconds()))
	return math.Abs(average-rate) > surgeThresholdStdDevs*stdDev
}

// RecordResponses records n responses of a server with the given mean service
// time, which excludes the time in a queue. It does nothing if n or mean is not
// positive.
func (l *Load) RecordResponses(id topo.ServerID, n int, mean time.Duration) {
	if n <= 0 || mean <= 0 {
		return
	}
	average := func(old, responsesAveraged float64) float64 {
		return old + (1-math.Exp(-float64(n)/responsesAveraged))*(mean.Seconds()-old)
	}
	l.serviceTimes[id] = average(l.ServiceTime(id), serverResponsesAveraged)
	l.meanServiceTime = average(l.meanServiceTime, serviceResponsesAveraged)
	r := l.refusals[id]
	r.ran += float64(n)
	l.refusals[id] = r
}

// ServiceTime returns the mean service time of a server, in seconds. For a
// server that has not responded yet it is the mean of the whole service.
func (l *Load) ServiceTime(id topo.ServerID) float64 {
	if v, ok := l.serviceTimes[id]; ok {
		return v
	}
	return l.meanServiceTime
}

// RangeLoad returns the load of the keys from first to last, inclusive, in
// requests per second.
func (l *Load) RangeLoad(first, last keyrange.Key) float64 {
	return l.averageFor(first, last).rangeRate(first, last)
}

// PrefixWithLoad returns the last key of the shortest prefix of first..last
// that has at least the given load in requests per second, and the load of that
// prefix. If the whole range has less load, the prefix is the whole range.
func (l *Load) PrefixWithLoad(first, last keyrange.Key, load float64) (keyrange.Key, float64) {
	avg := l.averageFor(first, last)
	end := avg.prefixWithLoad(first, last, load)
	return end, avg.rangeRate(first, end)
}

// prefixWithLoad returns the last key of the shortest prefix of first..last that has at
// least the given load, or last.
func (s *keyRates) prefixWithLoad(first, last keyrange.Key, load float64) keyrange.Key {
	sums, targetSum := s.sums(), load*s.observedWeight()
	n := sort.Search(int(last)-int(first), func(i int) bool { return sums[int(first)+i+1]-sums[first] >= targetSum })
	return first + keyrange.Key(n)
}

// suffixWithLoad returns the first key of the shortest suffix of first..last that has at
// least the given load, or first.
func (s *keyRates) suffixWithLoad(first, last keyrange.Key, load float64) keyrange.Key {
	sums, targetSum := s.sums(), load*s.observedWeight()
	end := sums[int(last)+1]
	n := sort.Search(int(last)-int(first), func(i int) bool { return end-sums[int(last)-i] >= targetSum })
	return last - keyrange.Key(n)
}
