// Package health judges the backend servers of a pool by what happened to the requests
// that were sent to them: how long work takes at a server at present, and whether the
// server should be ejected, that is, get only a few requests to find out whether it has
// recovered.
//
// It responds to loads on which servers differ: servers of different speed, servers whose
// host is busy for some hundred milliseconds at a time, and servers that fail or never
// answer a part of their requests. A server is compared with its peers, so that a fault
// that affects all of them, such as one of the network of this VM, ejects none.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package health

import (
	"math"
	"time"

	"godwitlock.example/godwitlock/topo"
)

const (
	// speedWeight is the weight of a new response in the moving average of a server's
	// relative service time.
	speedWeight = 0.1
	// minRelative and maxRelative bound the relative service time of one response, so
	// that a single request with unusual work does not decide.
	minRelative, maxRelative = 0.1, 8.0
	// slowdownTimeConstant is how fast a reported slowdown loses its significance. It
	// changes several times per second.
	slowdownTimeConstant = 300 * time.Millisecond
	// runningWeight is the number of responses that the average counts for beside the
	// requests that are running.
	runningWeight = 8.0
	// failureWeight is the weight of a new outcome in the moving average of a server's
	// share of failures, and failureHalfLife the time in which the average halves
	// without outcomes.
	failureWeight   = 0.15
	failureHalfLife = 4 * time.Second
	// A server is ejected if its share of failures is at least minFailureShare and
	// peerFactor times the mean share of its peers. Two failures among successes, such as
	// requests with unusually much work, do not reach minFailureShare.
	minFailureShare, peerFactor = 0.35, 3.0
	// maxEjectedShare bounds the ejected servers, as a fraction of the pool, so that
	// the others can carry the load.
	maxEjectedShare = 1.0 / 3
	// minEjection is the time for which a server is ejected at first. The time doubles
	// with each relapse, up to maxEjection; a server without a relapse for relapseMemory
	// starts anew.
	minEjection, maxEjection, relapseMemory = time.Second, 8 * time.Second, 15 * time.Second
	// probationSuccesses is the number of successes in a row that end a probation.
	probationSuccesses = 3
	// nonRepeatableDelay is how much later a probe may be a request that must not be
	// repeated: a repeatable one that comes before costs its caller less.
	nonRepeatableDelay = time.Second
)

// Observation is the outcome of a request at a server.
type Observation struct {
	// Sent is when the request was sent.
	Sent time.Time
	// Failed is set if there was no response, or the server failed the request.
	Failed bool
	// Relative is the service time divided by the expected one; 0 if it is not known.
	Relative float64
	// Slowdown is how long work takes at the server at present, relative to the usual
	// time, as the server reported it; 0 if it did not.
	Slowdown float64
}

// State is the judgement on a server.
type State struct {
	// Slowness is the expected service time of a request relative to that at a server of
	// average speed.
	Slowness float64
	// FailureShare is the recent share of requests that failed.
	FailureShare float64
	// Ejected is set while the server gets probes only.
	Ejected bool
	// NextProbe is when an ejected server may get a request. One that must not be
	// repeated waits longer; see MayProbe.
	NextProbe time.Time
}

// MayProbe reports whether a request may be sent to an ejected server.
func (s State) MayProbe(now time.Time, repeatable bool) bool {
	if !repeatable {
		return !now.Before(s.NextProbe.Add(nonRepeatableDelay))
	}
	return !now.Before(s.NextProbe)
}

// record is what is known of one server.
type record struct {
	// relative is the average relative service time without the slowdowns that the
	// server reported.
	relative float64
	// slowdown was reported at slowdownAt.
	slowdown   float64
	slowdownAt time.Time
	// failures is the average share of failures, as of failuresAt.
	failures   float64
	failuresAt time.Time
	// nextProbe is when the server may be probed while it is ejected.
	ejected   bool
	nextProbe time.Time
	// ejections counts the ejections of a row of relapses; lastEjection is the time of
	// the last one.
	ejections    int
	lastEjection time.Time
	// successes counts the successes in a row since the ejection.
	successes int
}

// Set judges the servers of one pool beside each other.
type Set struct {
	// Ejects says that servers are ejected. Otherwise the Set only tells how slow they
	// are.
	Ejects bool

	records map[topo.ServerID]*record
	ejected int
}

// NewSet returns a Set without servers.
func NewSet() *Set { return &Set{records: make(map[topo.ServerID]*record)} }

// Add adds a server of average speed. It does nothing for a known one.
func (s *Set) Add(id topo.ServerID) {
	if s.records[id] == nil {
		s.records[id] = &record{relative: 1}
	}
}

// Remove forgets a server.
func (s *Set) Remove(id topo.ServerID) {
	if r := s.records[id]; r != nil && r.ejected {
		s.ejected--
	}
	delete(s.records, id)
}

// Record records the outcome of a request and ejects or readmits the server. It reports
// whether the server's ejection began or ended.
func (s *Set) Record(now time.Time, id topo.ServerID, o Observation) (changed bool) {
	r := s.records[id]
	if r == nil {
		return false
	}
	if o.Slowdown > 0 {
		r.slowdown, r.slowdownAt = o.Slowdown, now
	}
	if o.Relative > 0 {
		usual := o.Relative
		if o.Slowdown > 0 {
			usual /= o.Slowdown
		}
		r.relative += speedWeight * (min(max(usual, minRelative), maxRelative) - r.relative)
	}
	outcome := 0.0
	if o.Failed {
		outcome = 1
	}
	r.failures, r.failuresAt = r.failureShare(now), now
	r.failures += failureWeight * (outcome - r.failures)
	if r.ejected {
		return s.judgeProbe(now, r, o)
	}
	if s.Ejects && o.Failed && s.standsOut(now, r) && float64(s.ejected+1) <= maxEjectedShare*float64(len(s.records)) {
		s.eject(now, r)
		return true
	}
	return false
}

// judgeProbe applies the outcome of a request at an ejected server. Requests that were
// sent before the ejection say nothing new: the slow and failing ones end last.
func (s *Set) judgeProbe(now time.Time, r *record, o Observation) (readmitted bool) {
	if o.Sent.Before(r.lastEjection) {
		return false
	}
	if o.Failed {
		r.successes, r.nextProbe = 0, now.Add(r.ejectionTime())
		return false
	}
	if r.successes++; r.successes < probationSuccesses {
		return false
	}
	r.ejected, r.failures = false, 0
	s.ejected--
	return true
}

func (s *Set) eject(now time.Time, r *record) {
	if now.Sub(r.lastEjection) > relapseMemory {
		r.ejections = 0
	}
	r.ejected, r.successes, r.lastEjection = true, 0, now
	r.ejections++
	s.ejected++
	r.nextProbe = now.Add(r.ejectionTime())
}

// ejectionTime returns the time until the next probe.
func (r *record) ejectionTime() time.Duration {
	return min(minEjection<<min(max(r.ejections-1, 0), 10), maxEjection)
}

// standsOut reports whether a server fails much more often than its peers.
func (s *Set) standsOut(now time.Time, r *record) bool {
	if r.failures < minFailureShare || len(s.records) < 2 {
		return false
	}
	peers := -r.failures
	for _, p := range s.records {
		peers += p.failureShare(now)
	}
	return r.failures >= peerFactor*peers/float64(len(s.records)-1)
}

// failureShare returns the average share of failures at now.
func (r *record) failureShare(now time.Time) float64 {
	if r.failures == 0 {
		return 0
	}
	return r.failures * math.Exp2(-now.Sub(r.failuresAt).Seconds()/failureHalfLife.Seconds())
}

// Running sums up the requests that run at a server.
type Running struct {
	// Expected is the sum of their expected service times, Elapsed that of the times
	// since they were sent. Both are 0 if the expected times are not known.
	Expected, Elapsed time.Duration
	Count             int
}

// State returns the judgement on a server. A server that has not answered its running
// requests for longer than they should take counts as slower than its responses say.
func (s *Set) State(now time.Time, id topo.ServerID, running Running) State {
	r := s.records[id]
	if r == nil {
		return State{Slowness: 1}
	}
	slowness := r.relative
	if r.slowdown > 0 {
		slowness *= 1 + (r.slowdown-1)*math.Exp(-now.Sub(r.slowdownAt).Seconds()/slowdownTimeConstant.Seconds())
	}
	if running.Expected > 0 {
		// The mean of service times of which some have not ended yet: the elapsed
		// times add to the sum, but not to the number of responses.
		mean := running.Expected.Seconds() / float64(running.Count)
		slowness += max(0, running.Elapsed.Seconds()/mean-slowness*float64(running.Count)) / runningWeight
	}
	return State{Slowness: slowness, FailureShare: r.failureShare(now), Ejected: r.ejected, NextProbe: r.nextProbe}
}

// ProbeStarted records that a request was sent to an ejected server, so that the next one
// waits until its outcome can be known.
func (s *Set) ProbeStarted(now time.Time, id topo.ServerID) {
	if r := s.records[id]; r != nil && r.ejected {
		r.nextProbe = now.Add(minEjection / 2)
	}
}

// Ejected returns the number of ejected servers.
func (s *Set) Ejected() int { return s.ejected }
