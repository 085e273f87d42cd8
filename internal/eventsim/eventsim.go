// Package eventsim is a discrete-event simulator: it runs functions in the order
// of a virtual clock, for tests and benchmarks of packages that do no I/O. It does
// not model VMs, networks or servers.
package eventsim

import (
	"container/heap"
	"slices"
	"time"
)

// Sim is a simulation with a virtual clock and a queue of events. Events that are
// due at the same time run in the order in which they were added. A Sim is not
// safe for concurrent use.
type Sim struct {
	now    time.Time
	seq    int
	events events
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

// New returns a simulation without events. Its clock starts at the same time in
// every run, so that runs are reproducible.
func New() *Sim { return &Sim{now: time.Unix(1_000_000, 0)} }

// Now returns the time of the virtual clock.
func (s *Sim) Now() time.Time { return s.now }

// After schedules do to run once the virtual clock has advanced by d.
func (s *Sim) After(d time.Duration, do func()) { s.At(s.now.Add(d), do) }

// At schedules do to run at t, or at the current virtual time if t has passed.
// Functions run only during Run.
func (s *Sim) At(t time.Time, do func()) {
	if t.Before(s.now) {
		t = s.now
	}
	s.seq++
	heap.Push(&s.events, event{t, s.seq, do})
}

// Run advances the virtual clock by d and runs all events that are due up to
// then, including those that these events add.
func (s *Sim) Run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// Quantile returns the q-quantile of d by nearest rank, with q from 0 to 1, or 0
// if d is empty. It sorts d.
func Quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[int(q*float64(len(d)-1)+0.5)]
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
