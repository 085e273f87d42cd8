// Package workload learns how long the requests of a route take at a backend server
// of average speed.
package workload

import (
	"sync"
	"time"
)

const (
	// maxRoutes bounds the routes of a table. Configurations have tens of routes.
	maxRoutes = 512
	// minSamples is the number of responses from which an estimate is used. The mean
	// of fewer is off by more than a third when service times differ by a factor of 3.
	minSamples = 8
	// meanWeight is the weight of a new response in the moving averages, once there
	// are 1/meanWeight responses. Until then all responses weigh the same.
	meanWeight = 1.0 / 32
	// maxServiceTime bounds a recorded service time: longer ones come from a server
	// in trouble and say nothing about the route.
	maxServiceTime = time.Minute
)

// Estimate is the expected service time of a request. The zero value means that it is
// not known.
type Estimate struct {
	// Mean is the mean service time, and Deviation the mean absolute deviation from it.
	Mean, Deviation time.Duration
	// Samples is the number of responses behind the estimate.
	Samples int
}

// Table holds the estimates of routes. It is safe for concurrent use. A nil Table has no
// estimates and ignores what is recorded.
type Table struct {
	mu     sync.RWMutex
	routes map[string]*average
	// recorded is the number of recorded responses.
	recorded uint64
}

// average holds the moving averages of a route, in seconds.
type average struct {
	mean, deviation float64
	samples         int
	// last is the value of recorded at the last response.
	last uint64
}

// New returns an empty table.
func New() *Table { return &Table{routes: make(map[string]*average)} }

// Record adds the service time of a completed request. When the table is full, a new
// route replaces the one without responses for the longest time.
func (t *Table) Record(route string, d time.Duration) {
	if t == nil || d <= 0 || d > maxServiceTime {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.routes[route]
	if a == nil {
		if len(t.routes) >= maxRoutes {
			t.evict()
		}
		a = &average{}
		t.routes[route] = a
	}
	t.recorded++
	a.last = t.recorded
	a.add(d.Seconds())
}

// evict deletes the route whose last response came first.
func (t *Table) evict() {
	var oldest string
	var at uint64
	for name, a := range t.routes {
		if at == 0 || a.last < at {
			oldest, at = name, a.last
		}
	}
	delete(t.routes, oldest)
}

// Of returns the estimate of a route; its zero value until there are enough samples.
func (t *Table) Of(route string) Estimate {
	if t == nil {
		return Estimate{}
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	a := t.routes[route]
	if a == nil || a.samples < minSamples {
		return Estimate{}
	}
	return Estimate{Mean: seconds(a.mean), Deviation: seconds(a.deviation), Samples: a.samples}
}

func (a *average) add(x float64) {
	a.samples++
	if a.samples == 1 {
		a.mean = x
		return
	}
	weight := max(1/float64(a.samples), meanWeight)
	off := x - a.mean
	a.mean += weight * off
	a.deviation += weight * (max(off, -off) - a.deviation)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
