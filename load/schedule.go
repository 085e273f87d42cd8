package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// scheduledRequest is one request of a schedule.
type scheduledRequest struct {
	id                  string
	customer            *Customer
	kind                *Kind
	key                 string
	target, otherTarget string
	repeat              bool
	// idempotencyKey is shared by all attempts of an exactly-once request.
	idempotencyKey string
}

// schedule draws requests in the order of their intended send times. It depends
// only on the plan.
type schedule struct {
	plan       *Plan
	rng        *rand.Rand
	zipf       *rand.Zipf
	nextAt     []time.Duration
	nextKey    []int
	count      int
	totalShare float64
}

func newSchedule(p *Plan) *schedule {
	s := &schedule{plan: p, rng: newRand(p.Seed, 0), nextAt: make([]time.Duration, len(p.Customers)), nextKey: make([]int, len(p.Customers))}
	s.zipf = rand.NewZipf(newRand(p.Seed, 1), p.ZipfS, 1, p.Keys-1)
	for _, k := range p.Kinds {
		s.totalShare += k.Share
	}
	for i := range p.Customers {
		s.nextAt[i] = s.interArrival(i, 0)
	}
	return s
}

// interArrival draws the time between two requests of customer i. It is
// exponentially distributed, so that arrivals form a Poisson process, or
// constant for customers with given keys.
func (s *schedule) interArrival(i int, at time.Duration) time.Duration {
	c := &s.plan.Customers[i]
	rate := c.Rate
	if surge := s.plan.Surge; surge.Customer == c.ID && at >= surge.From && at < surge.To {
		rate *= surge.Factor
	}
	mean := float64(time.Second) / rate
	if c.Keys != nil {
		return time.Duration(mean)
	}
	return time.Duration(mean * s.rng.ExpFloat64())
}

func (s *schedule) next() (time.Duration, scheduledRequest) {
	i := 0
	for k, at := range s.nextAt {
		if at < s.nextAt[i] {
			i = k
		}
	}
	at := s.nextAt[i]
	s.nextAt[i] = at + s.interArrival(i, at)
	c := &s.plan.Customers[i]
	s.count++
	j := scheduledRequest{id: fmt.Sprintf("load-%d", s.count), customer: c}
	if c.Keys != nil {
		j.kind, j.key = &s.plan.Kinds[0], c.Keys[s.nextKey[i]%len(c.Keys)]
		s.nextKey[i]++
	} else {
		j.kind, j.key = s.kind(), s.key(at)
	}
	j.repeat = j.kind.ExactlyOnce && s.rng.Float64() < s.plan.RepeatShare
	n := len(s.plan.Targets)
	first := s.rng.IntN(n)
	j.target, j.otherTarget = s.plan.Targets[first], s.plan.Targets[(first+1)%n]
	return at, j
}

func (s *schedule) kind() *Kind {
	x := s.rng.Float64() * s.totalShare
	for i := range s.plan.Kinds {
		if x -= s.plan.Kinds[i].Share; x < 0 {
			return &s.plan.Kinds[i]
		}
	}
	return &s.plan.Kinds[0]
}

// key draws a key. The ranks of all keys are rotated every HotKeyPeriod, so
// that other keys become the most frequent ones.
func (s *schedule) key(at time.Duration) string {
	rank := s.zipf.Uint64()
	if s.plan.HotKeyPeriod > 0 {
		rank += uint64(at/s.plan.HotKeyPeriod) * (s.plan.Keys/7 + 1)
	}
	return fmt.Sprintf("k%d", rank%s.plan.Keys)
}
