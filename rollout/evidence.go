package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// TimeBuckets is the number of classes of service times. Each class is wider than the
// one before by the square root of two, the first one begins at 1 ms.
const TimeBuckets = 32

// slowBuckets is how many classes above the median of the other versions a response is
// slow: 2.4 times the median or more. Servers whose speed is 0.6 to 2 times the usual
// one are below it.
const slowBuckets = 3

// Bucket returns the class of a service time.
func Bucket(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(2*math.Log2(ms)), TimeBuckets-1)
}

// Cell holds the outcomes of requests of one route.
type Cell struct {
	Route string
	// Server is the server of the target version that ran the requests; it is empty
	// for all servers of other versions together.
	Server topo.ServerID
	// Good and Bad are the numbers of responses and of failures.
	Good, Bad int
	// Times counts responses by the class of their service time. Those of cold
	// servers are left out.
	Times [TimeBuckets]int
}

// counts are the outcomes of one server, or of all servers of other versions, on a
// route within a window.
type counts struct {
	answers, bad int
	times        [TimeBuckets]int
}

func (c *counts) add(o Cell) {
	c.answers += o.Good + o.Bad
	c.bad += o.Bad
	for i, n := range o.Times {
		c.times[i] += n
	}
}

// routeWindow holds the outcomes on one route within a window.
type routeWindow struct {
	others counts
	target map[topo.ServerID]*counts
}

type window struct {
	start  time.Time
	routes map[string]*routeWindow
}

// Evidence holds the outcomes of a roll-out by window and route. It is not safe for
// concurrent use.
type Evidence struct {
	length  time.Duration
	windows []window
}

const (
	// minWindow is the shortest window. VMs report about three times a second.
	minWindow = time.Second
	// maxWindows bounds the number of windows of a roll-out.
	maxWindows = 240
)

// NewEvidence returns the evidence of a roll-out that lasts for d.
func NewEvidence(d time.Duration) *Evidence {
	return &Evidence{length: max(minWindow, d/maxWindows)}
}

// Add records the outcomes of a cell that were reported at now.
func (e *Evidence) Add(now time.Time, c Cell) {
	if n := len(e.windows); n == 0 || now.Sub(e.windows[n-1].start) >= e.length {
		if n >= maxWindows {
			e.windows = slices.Delete(e.windows, 0, 1)
		}
		e.windows = append(e.windows, window{start: now, routes: make(map[string]*routeWindow)})
	}
	w := e.windows[len(e.windows)-1]
	r := w.routes[c.Route]
	if r == nil {
		r = &routeWindow{target: make(map[topo.ServerID]*counts)}
		w.routes[c.Route] = r
	}
	if c.Server == "" {
		r.others.add(c)
		return
	}
	t := r.target[c.Server]
	if t == nil {
		t = &counts{}
		r.target[c.Server] = t
	}
	t.add(c)
}

// Cause says why a version is judged bad.
type Cause string

// The causes of a judgement.
const (
	Failures Cause = "failures"
	Slow     Cause = "slow"
)

// Finding is what the evidence shows at one moment.
type Finding struct {
	// Bad says that the target is worse than the other versions, with an error of at
	// most FalseAlarm over the whole roll-out. Cause says in which way.
	Bad   bool
	Cause Cause
	// Strength is the logarithm of the likelihood ratio of the stronger test, and
	// Limit the one from which the target is judged bad.
	Strength, Limit float64
	// Enough says that the target has run enough requests, on each route that the
	// service mainly serves.
	Enough bool
	// TargetAnswers and the others are the numbers of responses, failures and slow
	// responses of both sides.
	TargetAnswers, TargetBad, TargetSlow, OtherAnswers, OtherBad, OtherSlow int
}

const (
	// FalseAlarm is the largest probability with which a version that is not worse
	// than the others is judged bad within a roll-out, if failures are independent.
	FalseAlarm = 0.001
	// minAnswers is the number of responses below which a version is not judged
	// good, and minRouteAnswers the same for each route that has at least
	// mainRouteShare of the service's responses.
	minAnswers, minRouteAnswers, mainRouteShare = 30, 5, 0.1
	// maxFailures is the excess of failures from which they count even if a single
	// server had them all. The limit on exposure counts from the 50th.
	maxFailures = 25
	// tests is the number of tests made on each set of windows: failures without and
	// with the worst server, and slow responses, each for all ratios.
	tests = 3
)

// ratios are the rates of bad responses, relative to the other versions, for which
// the tests look.
var ratios = [...]float64{2, 4, 8}

// Judge compares the target with the other versions.
//
// Given how many bad responses a route has in a window, and how many responses each
// side has, the bad ones fall on both sides in proportion if the versions are alike.
// The test is the likelihood ratio of a target whose rate is higher by one of ratios.
// In the last step, the target has all requests. Failures, but not slow responses, are
// then compared with the failures of the others just before.
//
// Windows and routes only add up, so a change of the load, of the day or of the mix of
// routes concerns both sides alike. Because a version may become bad later, each
// number of last windows is tested, and the limit is raised by their number.
//
// A server may be bad on its own, because it is cold or its host is noisy. Failures
// of the worst server, and slow responses of the worst third of the servers, do not
// count, except that failures count in any case from maxFailures on.
func (e *Evidence) Judge() Finding {
	f := Finding{Limit: math.Log(float64(max(1, len(e.windows))) * tests * float64(len(ratios)) / FalseAlarm)}
	thresholds := e.slowThresholds()
	bad := func(_ string, c *counts) (int, int) { return c.bad, c.answers }
	slow := func(route string, c *counts) (int, int) {
		n, total := 0, 0
		for i, k := range c.times {
			total += k
			if i >= thresholds[route] {
				n += k
			}
		}
		return n, total
	}
	badTotals, slowTotals := e.totals(bad), e.totals(slow)
	f.TargetBad, f.TargetAnswers, f.OtherBad, f.OtherAnswers = badTotals.targetBad, badTotals.target, badTotals.othersBad, badTotals.others
	f.TargetSlow, f.OtherSlow = slowTotals.targetBad, slowTotals.othersBad

	failures := e.strength(bad, badTotals.worst(1), true)
	if all := e.strength(bad, nil, true); f.excessFailures() >= maxFailures {
		failures = max(failures, all)
	}
	slowness := e.strength(slow, slowTotals.worst((len(slowTotals.byServer)+2)/3), false)
	f.Strength, f.Cause = failures, Failures
	if slowness > failures {
		f.Strength, f.Cause = slowness, Slow
	}
	f.Bad = f.Strength >= f.Limit
	f.Enough = f.TargetAnswers >= minAnswers && e.mainRoutesSeen(f.OtherAnswers)
	return f
}

// excessFailures returns by how much the failures of the target exceed those that it
// would have at the rate of the others.
func (f *Finding) excessFailures() float64 {
	if f.OtherAnswers == 0 {
		return 0
	}
	return float64(f.TargetBad) - float64(f.TargetAnswers)*float64(f.OtherBad)/float64(f.OtherAnswers)
}

// slowThresholds returns the class from which a response of a route is slow.
func (e *Evidence) slowThresholds() map[string]int {
	sums := make(map[string]*counts)
	for _, w := range e.windows {
		for route, r := range w.routes {
			if sums[route] == nil {
				sums[route] = &counts{}
			}
			sums[route].add(Cell{Times: r.others.times})
		}
	}
	out := make(map[string]int, len(sums))
	for route, c := range sums {
		total, below := 0, 0
		for _, n := range c.times {
			total += n
		}
		out[route] = TimeBuckets
		for i, n := range c.times {
			if below += n; total > 0 && 2*below >= total {
				out[route] = i + slowBuckets
				break
			}
		}
	}
	return out
}

// measure returns the number of bad responses of counts on a route, and of all.
type measure func(route string, c *counts) (bad, total int)

type totals struct {
	target, targetBad, others, othersBad int
	byServer                             map[topo.ServerID]int
}

func (e *Evidence) totals(m measure) totals {
	t := totals{byServer: make(map[topo.ServerID]int)}
	for _, w := range e.windows {
		for route, r := range w.routes {
			bad, n := m(route, &r.others)
			t.others, t.othersBad = t.others+n, t.othersBad+bad
			for id, c := range r.target {
				bad, n := m(route, c)
				t.target, t.targetBad = t.target+n, t.targetBad+bad
				if n > 0 {
					t.byServer[id] += bad
				}
			}
		}
	}
	return t
}

// worst returns the n servers with the most bad responses, but leaves one out.
func (t totals) worst(n int) map[topo.ServerID]bool {
	ids := make([]topo.ServerID, 0, len(t.byServer))
	for id := range t.byServer {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b topo.ServerID) int {
		return cmp.Or(cmp.Compare(t.byServer[b], t.byServer[a]), cmp.Compare(a, b))
	})
	out := make(map[topo.ServerID]bool)
	for _, id := range ids[:max(0, min(n, len(ids)-1))] {
		out[id] = true
	}
	return out
}

// strength returns the greatest logarithm of the likelihood ratio over all numbers of
// last windows, without the given servers. If earlier is true, windows in which the
// target had all requests of a route are compared with the windows before them.
func (e *Evidence) strength(m measure, without map[topo.ServerID]bool, earlier bool) float64 {
	terms := make([][len(ratios)]float64, len(e.windows))
	recent := make(map[string]*recentRate)
	for i, w := range e.windows {
		for route, r := range w.routes {
			othersBad, others := m(route, &r.others)
			targetBad, target := 0, 0
			for id, c := range r.target {
				if without[id] {
					continue
				}
				bad, n := m(route, c)
				targetBad, target = targetBad+bad, target+n
			}
			if recent[route] == nil {
				recent[route] = &recentRate{}
			}
			if others > 0 {
				recent[route].add(othersBad, others)
			}
			for j, ratio := range ratios {
				switch {
				case target == 0:
				case others > 0:
					expected := (float64(others) + ratio*float64(target)) / float64(others+target)
					terms[i][j] += float64(targetBad)*math.Log(ratio) - float64(targetBad+othersBad)*math.Log(expected)
				case earlier && recent[route].n > 0:
					terms[i][j] += float64(targetBad)*math.Log(ratio) - float64(target)*recent[route].upper()*(ratio-1)
				}
			}
		}
	}
	var sums [len(ratios)]float64
	best := 0.0
	for i := len(terms) - 1; i >= 0; i-- {
		for j := range sums {
			sums[j] += terms[i][j]
			best = max(best, sums[j])
		}
	}
	return best
}

// recentRate is the rate of bad responses of the other versions in the latest windows.
type recentRate struct{ bad, n float64 }

// recentKept is the part of the earlier counts that each window keeps.
const recentKept = 0.8

func (r *recentRate) add(bad, n int) {
	r.bad, r.n = r.bad*recentKept+float64(bad), r.n*recentKept+float64(n)
}

// upper returns a rate that the other versions hardly exceed: two standard deviations
// and two responses above the measured one, but at least minUpperRate.
func (r *recentRate) upper() float64 {
	return max(minUpperRate, (r.bad+2*math.Sqrt(r.bad)+2)/r.n)
}

const minUpperRate = 0.02

// mainRoutesSeen reports whether the target has run requests of each main route.
func (e *Evidence) mainRoutesSeen(otherAnswers int) bool {
	others, target := make(map[string]int), make(map[string]int)
	for _, w := range e.windows {
		for route, r := range w.routes {
			others[route] += r.others.answers
			for _, c := range r.target {
				target[route] += c.answers
			}
		}
	}
	for route, n := range others {
		if float64(n) >= mainRouteShare*float64(otherAnswers) && target[route] < minRouteAnswers {
			return false
		}
	}
	return true
}
