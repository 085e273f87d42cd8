// Package workload learns how long the requests of a route take at a backend server
// of average speed.
package workload

import "time"

// Estimate is the expected service time of a request. The zero value means that it is
// not known.
type Estimate struct {
	// Mean is the mean service time, and Deviation the mean absolute deviation from it.
	Mean, Deviation time.Duration
	// Samples is the number of responses behind the estimate.
	Samples int
}
