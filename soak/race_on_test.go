//go:build race

package soak

// raceFlags build the router processes with the race detector if the test itself
// uses it.
var raceFlags = []string{"-race"}
