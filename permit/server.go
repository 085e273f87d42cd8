package permit

import (
	"time"

	"godwitlock.example/godwitlock/health"
	"godwitlock.example/godwitlock/topo"
)

const (
	// initialServiceTime is assumed until the first answer of a server.
	initialServiceTime = 150 * time.Millisecond
	// serviceTimeWeight is the weight of a new answer in the moving average of
	// the service time.
	serviceTimeWeight = 0.1
	// A server whose slots are all taken counts as stalled after stallFactor
	// times its mean service time without an answer, but not before
	// minStallTime.
	stallFactor  = 6
	minStallTime = time.Second
	// suspectAfterFailures is the number of consecutive failures after which a
	// server is suspect, unless it has answered within recentAnswer: a server that
	// fails only a part of its requests serves its keys better than a refusal does.
	// With suspectDespiteAnswers failures in a row it is suspect in any case.
	suspectAfterFailures, suspectDespiteAnswers = 2, 6
	recentAnswer                                = 400 * time.Millisecond
	// probeInterval is the minimum time between two requests to a suspect
	// server.
	probeInterval = 400 * time.Millisecond
	// limitDecrease and limitIncrease adjust the in-flight limit of a server
	// that refuses requests although it should have free slots: the limit
	// decreases per refusal and increases per answer, both additively.
	limitDecrease, limitIncrease = 1.0, 0.15
	// coldBurst is the burst of a cold server's token bucket, in requests.
	coldBurst = 1
)

// Server is a backend server as its directory entry describes it.
type Server struct {
	ID         topo.ServerID
	DataCentre topo.DataCentreName
	Slots      int
	// ColdRate is the maximum number of requests per second while the server
	// is cold, which it is until ColdUntil. 0 means no limit.
	ColdRate  float64
	ColdUntil time.Time
	// WarmBudget is the number of requests that may start without a proof that the
	// server was still warm, within a window; see WarmBudget. 0 means that no proof is needed.
	WarmBudget int
}

// slotLease is a slot in use.
type slotLease struct {
	since time.Time
	// expiry is when the slot is freed even if the request was not reported as
	// finished.
	expiry time.Time
	// work is the expected service time at a server of average speed; workKnown says that
	// it is that of the request's route and not only of the pool.
	work      time.Duration
	workKnown bool
	// bytes is the size of the request's body.
	bytes int64
}

// server is the state of a backend server: its running requests and its observed
// behaviour.
type server struct {
	Server
	running map[uint64]slotLease
	// heldBytes is the size of the bodies of the running requests, and maxHeldBytes its
	// bound; 0 means no bound.
	heldBytes, maxHeldBytes int64
	inFlightLimit           float64
	serviceTime             time.Duration
	lastAnswer              time.Time
	// lastSuccess is when the server last answered a request; unlike lastAnswer, the
	// start of a request does not change it.
	lastSuccess time.Time
	failures    int
	lastStart   time.Time
	// coldBucket is the number of tokens that the bucket of a cold server had
	// at coldRefilledAt.
	coldBucket     float64
	coldRefilledAt time.Time
	warmth         warmth
	// standIn says that this VM stands in for a home VM that does not answer.
	standIn bool
}

func newServer(s Server, now time.Time) *server {
	return &server{
		Server: s, running: make(map[uint64]slotLease), inFlightLimit: float64(s.Slots),
		serviceTime: initialServiceTime, lastAnswer: now, coldBucket: coldBurst, coldRefilledAt: now,
	}
}

// update applies a newer directory entry and resets the in-flight limit if the
// number of slots has changed.
func (s *server) update(e Server) {
	if e.Slots != s.Slots {
		s.inFlightLimit = float64(e.Slots)
	}
	s.Server = e
}

// suspect reports whether the server has failed its last requests and should get only
// probes.
func (s *server) suspect(now time.Time) bool {
	return s.failures >= suspectDespiteAnswers || s.failures >= suspectAfterFailures && now.Sub(s.lastSuccess) > recentAnswer
}

// isCold reports whether the server is cold by its entry or by its own answer.
func (s *server) isCold(now time.Time) bool {
	return s.ColdRate > 0 && (now.Before(s.ColdUntil) || now.Before(s.warmth.coldUntil))
}

// slots returns the number of requests that may run at the same time.
func (s *server) slots() int { return max(1, int(s.inFlightLimit+0.5)) }

// canStart reports whether a request may start at now.
func (s *server) canStart(now time.Time) bool {
	if len(s.running) >= s.slots() {
		return false
	}
	if s.suspect(now) && now.Sub(s.lastStart) < probeInterval {
		return false
	}
	return !s.unproved(now) && (!s.isCold(now) || !s.barred(now) && s.coldTokens(now) >= 1)
}

// fits reports whether the server has room for a request's body. A body that exceeds the
// bound alone fits while no other one is held.
func (s *server) fits(bytes int64) bool {
	return s.maxHeldBytes == 0 || bytes == 0 || s.heldBytes == 0 || s.heldBytes+bytes <= s.maxHeldBytes
}

// barred reports whether the server is cold and this VM must not use it: as many VMs may
// stand in for its home VM as there are, and each request counts.
func (s *server) barred(now time.Time) bool { return s.standIn && s.isCold(now) }

func (s *server) coldTokens(now time.Time) float64 {
	return min(coldBurst, s.coldBucket+s.ColdRate*max(0, now.Sub(s.coldRefilledAt).Seconds()))
}

// start takes a slot for a request with the given expected service time. It reports
// whether a probe of the server is due.
func (s *server) start(now time.Time, r Request, work time.Duration) (probe bool) {
	if s.isCold(now) {
		s.coldBucket, s.coldRefilledAt = s.coldTokens(now)-1, now
	}
	if len(s.running) == 0 {
		s.lastAnswer = now
	}
	s.lastStart = now
	s.heldBytes += r.Bytes
	s.running[r.ID] = slotLease{since: now, expiry: now.Add(r.Lease), work: work, workKnown: r.workKnown(), bytes: r.Bytes}
	return s.countStart(now, r.ID)
}

// stalled reports whether the server is suspect, or has all slots taken and has
// not answered for the stall time.
func (s *server) stalled(now time.Time) bool {
	if s.suspect(now) || s.barred(now) {
		return true
	}
	stallTime := max(minStallTime, stallFactor*s.serviceTime)
	return len(s.running) >= s.slots() && now.Sub(s.lastAnswer) > stallTime
}

// finish frees the slot of a request and updates the failure count, the
// in-flight limit and the mean service time from its result.
func (s *server) finish(now time.Time, id uint64, r Result) {
	if !s.release(id) {
		return
	}
	if r.Full || r.ServiceTime > 0 {
		s.warmth.answer(now, id)
	}
	switch {
	case r.Failed:
		s.failures++
	case r.Full:
		s.failures = 0
		s.inFlightLimit = max(1, s.inFlightLimit-limitDecrease)
	case r.ServiceTime > 0:
		s.failures, s.lastAnswer, s.lastSuccess = 0, now, now
		s.inFlightLimit = min(float64(s.Slots), s.inFlightLimit+limitIncrease)
		s.serviceTime += time.Duration(serviceTimeWeight * float64(r.ServiceTime-s.serviceTime))
	}
}

// release frees the slot of a request. It returns false if the request has none.
func (s *server) release(id uint64) bool {
	lease, ok := s.running[id]
	if ok {
		delete(s.running, id)
		s.heldBytes -= lease.bytes
	}
	return ok
}

// load sums up the running requests.
func (s *server) load(now time.Time) health.Running {
	r := health.Running{Count: len(s.running)}
	for _, lease := range s.running {
		r.Expected += lease.work
		r.Elapsed += now.Sub(lease.since)
	}
	return r
}

// expire frees the slots whose lease has expired, counts each as a failure and calls
// expired with its request.
func (s *server) expire(now time.Time, expired func(id uint64)) {
	for id, lease := range s.running {
		if now.After(lease.expiry) {
			s.release(id)
			expired(id)
			s.failures++
		}
	}
}

// startRate returns the number of requests per second that the server starts
// while all its slots are in use.
func (s *server) startRate(now time.Time) float64 {
	perSecond := float64(s.slots()) / s.serviceTime.Seconds()
	if s.isCold(now) {
		perSecond = min(perSecond, s.ColdRate)
	}
	return perSecond
}

// freeSlots returns the number of requests that the server could start
// immediately.
func (s *server) freeSlots(now time.Time) float64 {
	n := float64(s.slots() - len(s.running))
	if s.isCold(now) {
		n = min(n, s.coldTokens(now))
	}
	return max(0, n)
}
