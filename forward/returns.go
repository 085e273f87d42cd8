package forward

import (
	"sync"
	"time"
)

const (
	// returnedTimeShare is the part of the usual time up to which a caller seems to
	// have been refused before.
	returnedTimeShare = 0.9
	// usualTimeDecay lets the usual time of a route follow callers that begin to allow
	// less time: it halves within some thousand requests.
	usualTimeDecay = 0.9998
	// maxReturnRoutes bounds the routes that are tracked.
	maxReturnRoutes = 4096
)

// returnDetector tells callers that return after a refusal from new ones: they keep their
// deadline, so that they allow less time than the callers of their route usually do. It is
// safe for concurrent use.
type returnDetector struct {
	mu sync.Mutex
	// usual is the longest time that callers allowed recently, by route.
	usual map[string]time.Duration
}

func newReturnDetector() *returnDetector {
	return &returnDetector{usual: make(map[string]time.Duration)}
}

// Returned reports whether a caller that allows the given time seems to have been refused
// before. A caller without a deadline seems new.
func (d *returnDetector) Returned(route string, allowed time.Duration) bool {
	if allowed <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	usual, known := d.usual[route]
	if !known && len(d.usual) >= maxReturnRoutes {
		clear(d.usual)
	}
	d.usual[route] = max(allowed, time.Duration(float64(usual)*usualTimeDecay))
	return float64(allowed) < returnedTimeShare*float64(usual)
}
