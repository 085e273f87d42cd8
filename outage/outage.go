// Package outage tells when the store was unavailable to all VMs for so long that entries
// of live servers may have expired. Calls that fail on one VM do not show that: its own
// link may be cut. The package does no I/O and reads no clock.
package outage

import (
	"slices"
	"time"
)

const (
	// expiryHeartbeats is the number of heartbeat intervals without a write after which
	// the store removes the entry of a server.
	expiryHeartbeats = 3
	// missedHeartbeats is the number of intervals for which the store must be unavailable
	// for that: a live server wrote up to an interval before, and writes again up to an
	// interval after.
	missedHeartbeats = expiryHeartbeats - 2
	// maxWait is the longest time between two answers to a VM that reads a store which is
	// available: a watch is answered at least every 0.8 s.
	maxWait = 850 * time.Millisecond
	// maxQuiet is the longest time without an answer to any VM while the store is
	// available. A VM that waits for longer than maxWait asks others to call the store.
	maxQuiet = maxWait + 250*time.Millisecond
	// retention is how long a Record remembers answers and failures in addition to the
	// time in which an entry expires.
	retention = 10 * time.Second
	// resolution is the shortest time between two answers that a Record tells apart.
	resolution = 50 * time.Millisecond
)

// Record holds when the store answered calls and when calls to it failed. It is not safe
// for concurrent use.
type Record struct {
	heartbeat time.Duration
	// answers, failures and pauses are in ascending order.
	answers, failures []time.Time
	pauses            []pause
}

// pause is a time in which the process of this VM did not run.
type pause struct{ from, to time.Time }

// NewRecord returns an empty Record. Live servers write their entries once in each
// heartbeat interval.
func NewRecord(heartbeat time.Duration) *Record { return &Record{heartbeat: heartbeat} }

// Answered records that the store answered a call at the given time, which may be earlier
// than other times that are recorded.
func (r *Record) Answered(at time.Time) {
	r.answers = insert(r.answers, at)
	// The last answer before the retention time is kept: it is where an outage that lasts
	// until now began.
	r.answers = r.answers[max(0, r.olderThanRetention(r.answers)-1):]
}

// Failed records that a call failed at the given time.
func (r *Record) Failed(at time.Time) {
	r.failures = insert(r.failures, at)
	r.failures = r.failures[r.olderThanRetention(r.failures):]
}

// Paused records that the process of this VM did not run from one time to another, so that
// it had no answers then, whether the store was available or not.
func (r *Record) Paused(from, to time.Time) {
	r.pauses = append(r.pauses, pause{from, to})
	for to.Sub(r.pauses[0].to) > retention+expiryHeartbeats*r.heartbeat {
		r.pauses = r.pauses[1:]
	}
}

// olderThanRetention returns how many of the times are no longer needed.
func (r *Record) olderThanRetention(times []time.Time) int {
	oldest := times[len(times)-1].Add(-retention - expiryHeartbeats*r.heartbeat)
	i, _ := slices.BinarySearchFunc(times, oldest, time.Time.Compare)
	return i
}

// insert adds a time, unless one within the resolution before or after it is known.
func insert(times []time.Time, at time.Time) []time.Time {
	i, _ := slices.BinarySearchFunc(times, at, time.Time.Compare)
	if i > 0 && at.Sub(times[i-1]) < resolution || i < len(times) && times[i].Sub(at) < resolution {
		return times
	}
	return slices.Insert(times, i, at)
}

// LastAnswer and LastFailure return the latest times; zero if there are none.
func (r *Record) LastAnswer() time.Time  { return last(r.answers) }
func (r *Record) LastFailure() time.Time { return last(r.failures) }

func last(times []time.Time) time.Time {
	if len(times) == 0 {
		return time.Time{}
	}
	return times[len(times)-1]
}

// AnswersSince returns the answers that are recorded after a time, in ascending order.
func (r *Record) AnswersSince(at time.Time) []time.Time {
	i, found := slices.BinarySearchFunc(r.answers, at, time.Time.Compare)
	if found {
		i++
	}
	return slices.Clone(r.answers[i:])
}

// Failing reports whether the store does not answer at present: a call failed after the
// last answer, or the last answer was too long ago.
func (r *Record) Failing(now time.Time) bool {
	answer := r.LastAnswer()
	return r.LastFailure().After(answer) || !answer.IsZero() && now.Sub(answer) > maxWait
}

// End returns when the last outage ended in which entries of live servers may have
// expired; zero if none is known. An answer that becomes known later may show that there
// was no such outage.
func (r *Record) End() time.Time {
	for i := len(r.answers) - 1; i > 0; i-- {
		if r.silent(i) && r.silenceUntil(i) >= missedHeartbeats*r.heartbeat {
			return r.answers[i]
		}
	}
	return time.Time{}
}

// silent reports whether the store was unavailable between an answer and the one before
// it: nobody is known to have had an answer, and a call failed.
func (r *Record) silent(i int) bool {
	from, to := r.answers[i-1], r.answers[i]
	if to.Sub(from) <= maxQuiet || r.ranFor(from, to) <= maxQuiet {
		return false
	}
	f, _ := slices.BinarySearchFunc(r.failures, from, time.Time.Compare)
	return f < len(r.failures) && !r.failures[f].After(to)
}

// silenceUntil returns for how long the store was unavailable, within the time in which an
// entry expires, until an answer. Short outages add up: a server that misses each of the
// moments between them does not write its entry.
func (r *Record) silenceUntil(i int) time.Duration {
	begin := r.answers[i].Add(-expiryHeartbeats * r.heartbeat)
	total := time.Duration(0)
	for ; i > 0 && r.answers[i].After(begin); i-- {
		if r.silent(i) {
			from := r.answers[i-1]
			if from.Before(begin) {
				from = begin
			}
			total += r.ranFor(from, r.answers[i])
		}
	}
	return total
}

// ranFor returns for how long the process of this VM ran between two times.
func (r *Record) ranFor(from, to time.Time) time.Duration {
	ran := to.Sub(from)
	for _, p := range r.pauses {
		begin, end := p.from, p.to
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		ran -= max(0, end.Sub(begin))
	}
	return ran
}
