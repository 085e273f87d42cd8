package permit

import (
	"time"

	"godwitlock.example/godwitlock/topo"
)

const (
	// firstWork is the time of work that is assumed before the first answer.
	initialServiceTime = 150 * time.Millisecond
	// workMemory is the weight of a new answer in the mean time of work.
	serviceTimeWeight = 0.1
	// stallFactor times the mean time of work without any answer, while all
	// slots are taken, makes a server count as stalled; stallMin is the least.
	stallFactor  = 6
	minStallTime = time.Second
	// suspectAfter failures in a row make a server suspect.
	suspectAfterFailures = 2
	// probeInterval is the time between two requests to a suspect server.
	probeInterval = 400 * time.Millisecond
	// shedStep and regainStep move the limit of a server that refuses work
	// although it should have room: additive increase per answer, decrease
	// per refusal.
	limitDecrease, limitIncrease = 1.0, 0.15
	// coldBurst is the number of requests that a cold server gets at once.
	coldBurst = 1
)

// Server is a backend server as its directory entry describes it.
type Server struct {
	ID         topo.ServerID
	DataCentre topo.DataCentreName
	Slots      int
	// ColdRate is the requests per second that the server bears while it is
	// cold, until ColdUntil. 0 means no bound.
	ColdRate  float64
	ColdUntil time.Time
}

// grant is a slot in use.
type slotLease struct {
	since time.Time
	// until frees the slot though nobody gave it back.
	expiry time.Time
}

// server is the state of one server.
type server struct {
	Server
	running     map[uint64]slotLease
	limit       float64
	serviceTime time.Duration
	lastAnswer  time.Time
	failures    int
	lastStart   time.Time
	// cold is the token bucket of a cold server.
	coldBucket     float64
	coldRefilledAt time.Time
}

func newServer(s Server, now time.Time) *server {
	return &server{
		Server: s, running: make(map[uint64]slotLease), limit: float64(s.Slots),
		serviceTime: initialServiceTime, lastAnswer: now, coldBucket: coldBurst, coldRefilledAt: now,
	}
}

// update takes over a newer entry.
func (s *server) update(e Server) {
	if e.Slots != s.Slots {
		s.limit = float64(e.Slots)
	}
	s.Server = e
}

// isCold reports whether the server's cold bound applies.
func (s *server) isCold(now time.Time) bool { return s.ColdRate > 0 && now.Before(s.ColdUntil) }

// slots returns the number of requests that may run.
func (s *server) slots() int { return max(1, int(s.limit+0.5)) }

// room reports whether a request may start at now.
func (s *server) hasRoom(now time.Time) bool {
	if len(s.running) >= s.slots() {
		return false
	}
	if s.failures >= suspectAfterFailures && now.Sub(s.lastStart) < probeInterval {
		return false
	}
	return !s.isCold(now) || s.coldTokens(now) >= 1
}

func (s *server) coldTokens(now time.Time) float64 {
	return min(coldBurst, s.coldBucket+s.ColdRate*max(0, now.Sub(s.coldRefilledAt).Seconds()))
}

// start takes a slot.
func (s *server) start(now time.Time, id uint64, lease time.Duration) {
	if s.isCold(now) {
		s.coldBucket, s.coldRefilledAt = s.coldTokens(now)-1, now
	}
	if len(s.running) == 0 {
		s.lastAnswer = now
	}
	s.lastStart = now
	s.running[id] = slotLease{since: now, expiry: now.Add(lease)}
}

// stalled reports whether the server takes work and answers none.
func (s *server) stalled(now time.Time) bool {
	if s.failures >= suspectAfterFailures {
		return true
	}
	stallTime := max(minStallTime, stallFactor*s.serviceTime)
	return len(s.running) >= s.slots() && now.Sub(s.lastAnswer) > stallTime
}

// finish frees a slot and learns from what became of the request.
func (s *server) finish(now time.Time, id uint64, r Result) {
	if _, ok := s.running[id]; !ok {
		return
	}
	delete(s.running, id)
	switch {
	case r.Failed:
		s.failures++
	case r.AtCapacity:
		s.failures = 0
		s.limit = max(1, s.limit-limitDecrease)
	case r.ServiceTime > 0:
		s.failures, s.lastAnswer = 0, now
		s.limit = min(float64(s.Slots), s.limit+limitIncrease)
		s.serviceTime += time.Duration(serviceTimeWeight * float64(r.ServiceTime-s.serviceTime))
	}
}

// expire frees slots whose lease ran out.
func (s *server) expire(now time.Time) {
	for id, g := range s.running {
		if now.After(g.expiry) {
			delete(s.running, id)
			s.failures++
		}
	}
}

// startRate is the number of requests that the server begins in a second while its
// slots are taken.
func (s *server) startRate(now time.Time) float64 {
	perSecond := float64(s.slots()) / s.serviceTime.Seconds()
	if s.isCold(now) {
		perSecond = min(perSecond, s.ColdRate)
	}
	return perSecond
}

// freeSlots is the number of requests that the server could begin at once.
func (s *server) freeSlots(now time.Time) float64 {
	n := float64(s.slots() - len(s.running))
	if s.isCold(now) {
		n = min(n, s.coldTokens(now))
	}
	return max(0, n)
}
