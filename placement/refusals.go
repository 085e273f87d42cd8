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
	minRefusals, maxRefusedShare = 3.0, 0.1
	// The whole service refuses if a third of its servers turned away maxRefusedShare of
	// what they got, whatever that was, and all together minServiceRefusals: for a single
	// server, two refusals say little, but many servers rarely have two by chance.
	maxRefusingShare, minServiceRefusals = 1.0 / 3, 10.0
)

// refusals holds exponentially decaying numbers of requests that a server ran, and that
// it turned away although it had free slots.
type refusals struct{ ran, turnedAway float64 }

func (r refusals) refusing() bool { return r.turnedAway >= minRefusals && r.mostly() }

// mostly reports whether a large part of what the server got was turned away.
func (r refusals) mostly() bool { return r.turnedAway > maxRefusedShare*(r.ran+r.turnedAway) }

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

// ServiceRefusing reports whether so many of the servers refuse requests regardless of
// their load that the cause is in the service as a whole.
func (l *Load) ServiceRefusing(servers []Server) bool {
	n, turnedAway := 0, 0.0
	for _, s := range servers {
		r := l.refusals[s.ID]
		turnedAway += r.turnedAway
		if r.mostly() {
			n++
		}
	}
	return turnedAway >= minServiceRefusals && float64(n) >= maxRefusingShare*float64(len(servers))
}

// Refusing reports whether a server refuses requests regardless of its load. Its refusals
// say nothing about the load of its keys, and another server need not be better.
func (l *Load) Refusing(id topo.ServerID) bool { return l.refusals[id].refusing() }
