package broker

import (
	"strconv"
	"sync/atomic"
	"time"

	"godwitlock.example/godwitlock/permit"
)

// Priorities is the number of priorities that Stats tells apart. The last one stands for
// all less urgent ones too.
const Priorities = 5

// Outcome is how the wait of a request for a slot ended.
type Outcome uint8

const (
	Granted Outcome = iota
	Refused
	// Withdrawn requests were cancelled by their senders while they were queued.
	Withdrawn
	// Outcomes is the number of outcomes.
	Outcomes = int(Withdrawn) + 1
)

// String returns the name of the outcome in metrics.
func (o Outcome) String() string {
	return [Outcomes]string{"granted", "refused", "withdrawn"}[o]
}

// Stats counts the decisions of a broker by priority. Recording one takes no lock and
// allocates nothing.
type Stats struct {
	rows [Priorities]statsRow
}

type statsRow struct {
	refusals [permit.Causes]atomic.Uint64
	ended    [Outcomes]waitSum
	late     atomic.Uint64
}

// waitSum is the number of requests and the sum of their waits.
type waitSum struct {
	count, nanoseconds atomic.Uint64
}

func (w *waitSum) add(d time.Duration) {
	w.count.Add(1)
	w.nanoseconds.Add(uint64(max(0, d)))
}

// PriorityLabel returns the name of a row of Stats in metrics.
func PriorityLabel(row int) string {
	if row == Priorities-1 {
		return strconv.Itoa(row) + "+"
	}
	return strconv.Itoa(row)
}

// row returns the row of a priority, which may be any number that another VM sent.
func (s *Stats) row(priority int) *statsRow {
	return &s.rows[min(max(priority, 0), Priorities-1)]
}

// record counts a decision that grants or refuses a slot.
func (s *Stats) record(priority int, d permit.Decision) {
	row := s.row(priority)
	if d.Verdict == permit.Refused {
		row.refusals[d.Cause].Add(1)
		row.ended[Refused].add(d.Waited)
		return
	}
	row.ended[Granted].add(d.Waited)
	if d.Late {
		row.late.Add(1)
	}
}

// withdraw counts a request that was cancelled while it was queued.
func (s *Stats) withdraw(priority int, waited time.Duration) {
	s.row(priority).ended[Withdrawn].add(waited)
}

// Refusals returns the number of refusals of a row for a cause.
func (s *Stats) Refusals(row int, cause permit.Cause) uint64 {
	return s.rows[row].refusals[cause].Load()
}

// Waits returns the number of requests of a row with an outcome, and the sum of the
// times for which they were queued. A request that got its slot at once counts with 0.
func (s *Stats) Waits(row int, o Outcome) (count uint64, sum time.Duration) {
	w := &s.rows[row].ended[o]
	return w.count.Load(), time.Duration(w.nanoseconds.Load())
}

// LateStarts returns the number of requests of a row that got their slot after their
// latest prompt start.
func (s *Stats) LateStarts(row int) uint64 { return s.rows[row].late.Load() }
