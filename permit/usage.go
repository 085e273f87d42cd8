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

// customerUsage records how many seconds of service time each customer used
// recently. The queue serves the customers with the least usage first.
type customerUsage struct {
	seconds   map[topo.CustomerID]float64
	decayedAt time.Time
}

func newUsage() *customerUsage { return &customerUsage{seconds: make(map[topo.CustomerID]float64)} }

func (u *customerUsage) of(id topo.CustomerID) float64 { return u.seconds[id] }

func (u *customerUsage) add(id topo.CustomerID, d time.Duration) { u.seconds[id] += d.Seconds() }

// decay halves all usage once per half-life.
func (u *customerUsage) decay(now time.Time) {
	if now.Sub(u.decayedAt) < usageHalfLife {
		return
	}
	u.decayedAt = now
	for id, v := range u.seconds {
		if v /= 2; v < minUsageSeconds {
			delete(u.seconds, id)
		} else {
			u.seconds[id] = v
		}
	}
}
