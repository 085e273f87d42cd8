//go:build race

package soak

// raceFlags build the processes with the race detector, too.
var raceFlags = []string{"-race"}
