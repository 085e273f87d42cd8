package dispatch

import (
	"time"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/topo"
)

const (
	// maxSmallSinceLarge is the number of small requests that may be dispatched
	// ahead of a waiting large one when the share of large requests is less
	// than one slot.
	maxSmallSinceLarge = 16
	// serviceTimeGain is the weight of a new observation in the moving average
	// of the service time.
	serviceTimeGain = 1.0 / 8
)

// Verdict classifies the result of a request by what it shows about the state of
// the server.
type Verdict uint8

// Verdicts for Queue.Responded.
const (
	// Served means that the server responded without a sign of overload.
	Served Verdict = iota
	// Refused means that the server rejected the request without running it.
	Refused
	// Failed means that there was no connection or no response, or that the
	// response indicates a server error.
	Failed
	// Cancelled means that the caller disconnected or its deadline passed.
	Cancelled
	// Unsent means that the request was not sent, which shows nothing about the
	// server.
	Unsent
)

// Next dequeues the request to send now and marks it as running. It returns false
// if no request may be sent. Requests that are expected to miss their deadlines
// are refused instead of being sent.
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

// peek returns the next entry to run, or nil if there is no free slot or no
// eligible entry. Large requests have priority up to their share of the slots.
// If the share is less than one slot, one large request may run when no small
// request waits or after maxSmallSinceLarge small ones.
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

// Responded records the verdict on a running request when its response head
// arrives or it fails. The slot stays occupied until Done. Only the first call
// for a request has an effect.
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
		// The elapsed time is a lower bound of the service time.
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

// Done frees the slot of a running request after its response was read to its end
// or abandoned. A request without a verdict counts as Unsent.
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

// Tick refuses the queued requests that have expired and lets the ramp check for
// overdue responses.
func (q *Queue) Tick(now time.Time) {
	for q.expiries.Len() > 0 && !q.expiries[0].expiry.After(now) {
		q.refuse(q.expiries[0], errkind.DeadlineBeforeRun)
	}
	q.ramp.Tick(now)
}

// Refusals returns the requests that were refused after they had been queued,
// since the last call.
func (q *Queue) Refusals() []Refusal {
	r := q.refusals
	q.refusals = nil
	return r
}

// Wake returns the time at which Next must be called again if no event occurs
// before, and false if nothing is queued.
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

// ColdStart begins a new cold-start ramp. It is called when the server reports
// that it starts cold.
func (q *Queue) ColdStart(now time.Time) { q.ramp.Start(now) }

// Drain stops dispatch of a slice. Its queued requests are refused as not run, so
// that their callers can route them again.
func (q *Queue) Drain(s topo.SliceID) {
	q.draining[s] = true
	q.refuseQueued(func(e *entry) bool { return e.Slice == s })
}

// Undrain resumes dispatch of a slice whose move was aborted or that was assigned
// to the server again.
func (q *Queue) Undrain(s topo.SliceID) { delete(q.draining, s) }

// Drained reports whether the slice is draining, or the whole server is, and none
// of its requests is running.
func (q *Queue) Drained(s topo.SliceID) bool {
	return (q.draining[s] || q.leaving) && q.runningBySlice[s] == 0
}

// Leave stops dispatch to a server that is being removed or is moving to another
// home VM. Queued requests are refused as not run, running ones continue.
func (q *Queue) Leave() {
	q.leaving = true
	q.refuseQueued(func(*entry) bool { return true })
}

// Stop refuses new requests. Queued and running requests continue.
func (q *Queue) Stop() { q.stopping = true }

// Idle reports whether no request is queued or running.
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
