package permit

import (
	"time"

	"godwitlock.example/godwitlock/topo"
)

const (
	// servedMemory is the half-life of the work that was done for a customer.
	usageHalfLife = 2 * time.Second
	// servedLeast is the work in seconds below which a customer is forgotten.
	minUsageSeconds = 0.01
)

// shares is the work that was done for each customer lately, in seconds. It
// orders customers of the same priority.
type customerUsage struct {
	seconds   map[topo.CustomerID]float64
	decayedAt time.Time
}

func newCustomerUsage() *customerUsage {
	return &customerUsage{seconds: make(map[topo.CustomerID]float64)}
}

func (s *customerUsage) of(id topo.CustomerID) float64 { return s.seconds[id] }

func (s *customerUsage) add(id topo.CustomerID, serviceTime time.Duration) {
	s.seconds[id] += serviceTime.Seconds()
}

// decay halves all shares once in a half-life.
func (s *customerUsage) decay(now time.Time) {
	if now.Sub(s.decayedAt) < usageHalfLife {
		return
	}
	s.decayedAt = now
	for id, v := range s.seconds {
		if v /= 2; v < minUsageSeconds {
			delete(s.seconds, id)
		} else {
			s.seconds[id] = v
		}
	}
}
