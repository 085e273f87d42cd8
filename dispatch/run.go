package dispatch

import (
	"time"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/topo"
)

const (
	// maxSmallSinceLarge is how many small requests go before a large one when the
	// server has too few slots for a share of their own.
	maxSmallSinceLarge = 16
	// serviceTimeGain is the weight of a new observation in the expected
	// service time.
	serviceTimeGain = 1.0 / 8
)

// Verdict is what a response shows about the server.
type Verdict uint8

// The verdicts.
const (
	// Served: the server answered.
	Served Verdict = iota
	// Refused: the server answered that it did not run the request.
	Refused
	// Failed: no connection, no answer, or an error of the server.
	Failed
	// Cancelled: the caller left or its deadline passed.
	Cancelled
	// Unsent: the request was not sent; nothing is learnt.
	Unsent
)

// Next takes the request to send now, or reports that there is none.
func (q *Queue) Next(now time.Time) (Ticket, bool) {
	q.Tick(now)
	for {
		e := q.peek(now)
		if e == nil {
			return 0, false
		}
		if q.missesDeadline(now, e.Item, 0) {
			q.refuse(e, errkind.DeadlineBeforeRun)
			continue
		}
		q.start(now, e)
		return e.ticket, true
	}
}

// peek returns the next entry for which there is a slot. Large requests come
// first, up to their share of the slots; with less than one slot for them, one
// goes when nothing small waits or after maxSmallRun small ones.
func (q *Queue) peek(now time.Time) *entry {
	limit := q.ramp.Limit()
	if q.running >= limit || q.ramp.PausedUntil().After(now) {
		return nil
	}
	small, large := q.classes[call.Small], q.classes[call.Large]
	share := int(float64(limit) * q.cfg.LargeShare)
	largeMayRun := share == 0 && large.running == 0 && (small.queued == 0 || q.smallSinceLarge >= maxSmallSinceLarge)
	if large.queued > 0 && (large.running < share || largeMayRun) {
		return large.peek()
	}
	return small.peek()
}

func (q *Queue) start(now time.Time, e *entry) {
	q.dequeue(e)
	e.flow.deficit--
	e.flow.class.running++
	e.started = now
	q.running++
	q.runningBySlice[e.Slice]++
	q.smallSinceLarge++
	if e.Class == call.Large {
		q.smallSinceLarge = 0
	} else {
		q.ramp.Sent(e.ticket, now)
	}
}

// Responded records what the head of the response, or its absence, shows. It
// is called at most once for a running request.
func (q *Queue) Responded(now time.Time, t Ticket, v Verdict) {
	e := q.entries[t]
	if e == nil || e.heapIndex >= 0 || e.responded {
		return
	}
	e.responded = true
	latency := now.Sub(e.started)
	small := e.Class == call.Small
	if small {
		q.ramp.Ended(t)
	}
	switch v {
	case Served:
		q.observeServiceTime(e.Class, latency)
		if small {
			q.ramp.Response(now, e.started, latency)
		}
	case Refused, Failed:
		q.ramp.Failure(now, e.started)
	case Cancelled:
		// The response would have taken at least this long.
		if latency > q.serviceTime[e.Class] {
			q.observeServiceTime(e.Class, latency)
		}
		if small {
			q.ramp.Abandoned(now, e.started, latency)
		}
	case Unsent:
	}
}

func (q *Queue) observeServiceTime(c call.Class, latency time.Duration) {
	if q.serviceTime[c] == 0 {
		q.serviceTime[c] = latency
		return
	}
	q.serviceTime[c] += time.Duration(serviceTimeGain * float64(latency-q.serviceTime[c]))
}

// Done frees the slot of a running request, whose response was read to its end
// or given up.
func (q *Queue) Done(now time.Time, t Ticket) {
	e := q.entries[t]
	if e == nil || e.heapIndex >= 0 {
		return
	}
	q.Responded(now, t, Unsent)
	delete(q.entries, t)
	q.running--
	e.flow.class.running--
	if q.runningBySlice[e.Slice]--; q.runningBySlice[e.Slice] == 0 {
		delete(q.runningBySlice, e.Slice)
	}
}

// Tick refuses what waited too long and lets the ramp judge what is overdue.
func (q *Queue) Tick(now time.Time) {
	for q.expiries.Len() > 0 && !q.expiries[0].expiry.After(now) {
		q.refuse(q.expiries[0], errkind.DeadlineBeforeRun)
	}
	q.ramp.Tick(now)
}

// Refusals returns the refusals since the last call.
func (q *Queue) Refusals() []Refusal {
	r := q.refusals
	q.refusals = nil
	return r
}

// Wake returns when Next has to be called again though nothing happens, or
// false.
func (q *Queue) Wake(now time.Time) (time.Time, bool) {
	if q.expiries.Len() == 0 {
		return time.Time{}, false
	}
	wake := q.expiries[0].expiry
	if p := q.ramp.PausedUntil(); p.After(now) && p.Before(wake) {
		wake = p
	}
	return wake, true
}

// ColdStart starts the ramp again: the server said that it starts cold.
func (q *Queue) ColdStart(now time.Time) { q.ramp.Start(now) }

// Drain stops dispatch of a slice. Its queued requests are refused as not run,
// so that they are routed anew.
func (q *Queue) Drain(s topo.SliceID) {
	q.draining[s] = true
	q.refuseQueued(func(e *entry) bool { return e.Slice == s })
}

// Undrain takes a slice up again: its move was given up, or it came back.
func (q *Queue) Undrain(s topo.SliceID) { delete(q.draining, s) }

// Drained reports that no request of a draining slice is running.
func (q *Queue) Drained(s topo.SliceID) bool {
	return (q.draining[s] || q.leaving) && q.runningBySlice[s] == 0
}

// Leave stops dispatch to the server: it leaves or gets a new home VM. Queued
// requests are refused as not run.
func (q *Queue) Leave() {
	q.leaving = true
	q.refuseQueued(func(*entry) bool { return true })
}

// Stop refuses new requests; what is queued and running goes on.
func (q *Queue) Stop() { q.stopping = true }

// Idle reports that nothing is queued or running.
func (q *Queue) Idle() bool { return len(q.entries) == 0 }

func (q *Queue) refuseQueued(match func(*entry) bool) {
	var found []*entry
	for _, e := range q.expiries {
		if match(e) {
			found = append(found, e)
		}
	}
	for _, e := range found {
		q.refuse(e, errkind.NotHome)
	}
}
