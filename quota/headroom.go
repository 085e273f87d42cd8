package quota

import (
	"slices"
	"time"
)

const (
	// headroomResolution is the shortest time between two recorded lows: returned
	// tokens may be worth too much by what a bucket gains in it. maxLows bounds the
	// number of lows. Together they cover the longest wait of most requests, even of a
	// customer that empties its bucket slowly.
	headroomResolution = 20 * time.Millisecond
	maxLows            = 512
)

// headroom records how far a bucket was below its burst in the past. A token that is
// returned fills the bucket only as if it had never been taken: in that case the part of
// it for which the bucket had no room at some time since would have been lost.
type headroom struct {
	// since is the time from which on the lows are known.
	since time.Time
	// lows are the least headroom since their predecessor. Each is smaller than all
	// later ones.
	lows []low
}

// low is the headroom at a time, in tokens.
type low struct {
	at   time.Time
	room float64
}

// record records the headroom at a time. Tokens only grow between two calls, so it is
// called before each change.
func (h *headroom) record(at time.Time, room float64) {
	n := len(h.lows)
	for n > 0 && h.lows[n-1].room >= room {
		n--
	}
	h.lows = h.lows[:n]
	if n > 0 && at.Sub(h.lows[n-1].at) < headroomResolution {
		return
	}
	if n == maxLows {
		h.since, h.lows = h.lows[0].at, slices.Delete(h.lows, 0, 1)
	}
	h.lows = append(h.lows, low{at: at, room: room})
}

// withdraw returns which part of a token that was taken at the given time may be put
// back, and records that it was never taken.
func (h *headroom) withdraw(taken time.Time) float64 {
	if taken.Before(h.since) {
		return 0
	}
	first := len(h.lows)
	for first > 0 && h.lows[first-1].at.After(taken) {
		first--
	}
	if first == len(h.lows) {
		return 1
	}
	part := min(1, h.lows[first].room)
	for i := first; i < len(h.lows); i++ {
		h.lows[i].room -= part
	}
	kept := first
	for kept > 0 && h.lows[kept-1].room >= h.lows[first].room {
		kept--
	}
	h.lows = slices.Delete(h.lows, kept, first)
	return part
}
