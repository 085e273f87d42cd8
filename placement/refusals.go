package placement

import (
	"math"
	"time"

	"godwitlock.example/godwitlock/topo"
)

const (
	// refusalTimeConstant is the time constant over which refusals are averaged.
	refusalTimeConstant = 1500 * time.Millisecond
	// A server refuses regardless of its load if it turned away at least
	// minRefusals requests and maxRefusedShare of all that it got.
	minRefusals, maxRefusedShare = 3.0, 0.2
	// maxRefusingShare is the part of the servers from which on the whole service
	// counts as refusing: a third is the most that may be ejected elsewhere as well.
	maxRefusingShare = 1.0 / 3
)

// refusals holds exponentially decaying numbers of requests that a server ran, and that
// it turned away although it had free slots.
type refusals struct{ ran, turnedAway float64 }

func (r refusals) refusing() bool {
	return r.turnedAway >= minRefusals && r.turnedAway > maxRefusedShare*(r.ran+r.turnedAway)
}

func (l *Load) decayRefusals(d time.Duration) {
	factor := math.Exp(-d.Seconds() / refusalTimeConstant.Seconds())
	for id, r := range l.refusals {
		r.ran, r.turnedAway = r.ran*factor, r.turnedAway*factor
		if r.ran+r.turnedAway < 0.01 {
			delete(l.refusals, id)
			continue
		}
		l.refusals[id] = r
	}
}

// RecordTurnedAway records n requests that a server refused although it had free slots.
func (l *Load) RecordTurnedAway(id topo.ServerID, n int) {
	r := l.refusals[id]
	r.turnedAway += float64(n)
	l.refusals[id] = r
}

// Refusing reports whether a server refuses requests regardless of its load. Its refusals
// say nothing about the load of its keys, and another server need not be better.
func (l *Load) Refusing(id topo.ServerID) bool { return l.refusals[id].refusing() }
