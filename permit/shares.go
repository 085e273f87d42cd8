package permit

import (
	"time"

	"godwitlock.example/godwitlock/topo"
)

const (
	// usageHalfLife is the half-life of a customer's recorded usage.
	usageHalfLife = 2 * time.Second
	// minUsageSeconds is the usage below which a customer's entry is deleted.
	minUsageSeconds = 0.01
)

// customerUsage records the recent service time of each customer, in seconds. It
// orders the customers of a rank for fair sharing.
type customerUsage struct {
	work      map[topo.CustomerID]float64
	decayedAt time.Time
}

func newUsage() *customerUsage { return &customerUsage{work: make(map[topo.CustomerID]float64)} }

func (s *customerUsage) of(id topo.CustomerID) float64 { return s.work[id] }

func (s *customerUsage) add(id topo.CustomerID, work time.Duration) { s.work[id] += work.Seconds() }

// decay halves all usage once per half-life.
func (s *customerUsage) decay(now time.Time) {
	if now.Sub(s.decayedAt) < usageHalfLife {
		return
	}
	s.decayedAt = now
	for id, v := range s.work {
		if v /= 2; v < minUsageSeconds {
			delete(s.work, id)
		} else {
			s.work[id] = v
		}
	}
}
