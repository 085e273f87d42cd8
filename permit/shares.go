package permit

import (
	"time"

	"godwitlock.example/godwitlock/topo"
)

const (
	// servedMemory is the half-life of the work that was done for a customer.
	servedMemory = 2 * time.Second
	// servedLeast is the work in seconds below which a customer is forgotten.
	servedLeast = 0.01
)

// shares is the work that was done for each customer lately, in seconds. It
// orders customers of the same priority.
type shares struct {
	work   map[topo.CustomerID]float64
	agedAt time.Time
}

func newShares() *shares { return &shares{work: make(map[topo.CustomerID]float64)} }

func (s *shares) of(id topo.CustomerID) float64 { return s.work[id] }

func (s *shares) add(id topo.CustomerID, work time.Duration) { s.work[id] += work.Seconds() }

// age halves all shares once in a half-life.
func (s *shares) age(now time.Time) {
	if now.Sub(s.agedAt) < servedMemory {
		return
	}
	s.agedAt = now
	for id, v := range s.work {
		if v /= 2; v < servedLeast {
			delete(s.work, id)
		} else {
			s.work[id] = v
		}
	}
}
