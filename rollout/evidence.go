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

// slowBuckets is how many classes above the usual one a response is slow: 2.8 to 4 times
// the usual time or more. The usual time is the one that usualPart of the responses do not
// exceed; a version of which half of the responses are slow has the same as others.
const (
	slowBuckets = 4
	usualPart   = 0.3
)

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
	// most FalseAlarm over the whole roll-out, or that it is likely to be and has had
	// many bad responses. Cause says in which way.
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
	// maxExcess is the excess of bad responses from which a strength of excessStrength is
	// enough: the time that is left after the 50th bad response is too short for more
	// certainty.
	maxExcess, excessStrength = 30, 8
	// tests is the number of tests made on each set of windows: failures without and
	// with the worst server, and slow responses by both usual times, each for all ratios.
	tests = 4
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
//
// A response is slow relative to the usual time on its route. Against a version that is
// slow as a whole, this is the time of the others; because servers differ in speed by a
// factor of three, the rate of slow responses must then be more than twice as high.
// Against a version of which a part of the responses is slow, it is that of the same
// server.
func (e *Evidence) Judge() Finding {
	f := Finding{Limit: math.Log(float64(max(1, len(e.windows))) * tests * float64(len(ratios)) / FalseAlarm)}
	bad := func(_ string, _ topo.ServerID, c *counts) (int, int) { return c.bad, c.answers }
	slow := slowerThan(e.usual(false))
	slowPart := slowerThan(e.usual(true))
	badTotals, slowTotals, partTotals := e.totals(bad), e.totals(slow), e.totals(slowPart)
	f.TargetBad, f.TargetAnswers, f.OtherBad, f.OtherAnswers = badTotals.targetBad, badTotals.target, badTotals.othersBad, badTotals.others
	f.TargetSlow, f.OtherSlow = slowTotals.targetBad, slowTotals.othersBad

	failures := e.strength(test{measure: bad, without: badTotals.worst(1), allowed: 1, earlier: true})
	if all := e.strength(test{measure: bad, allowed: 1, earlier: true}); f.excess(Failures) >= maxFailures {
		failures = max(failures, all)
	}
	slowness := max(
		e.strength(test{measure: slow, without: slowTotals.worstThird(), allowed: allowedSlowRatio, floor: minSlowRate}),
		e.strength(test{measure: slowPart, without: partTotals.worstThird(), allowed: 1, floor: minSlowRate}),
	)
	f.Strength, f.Cause = failures, Failures
	if slowness > failures {
		f.Strength, f.Cause = slowness, Slow
	}
	f.Bad = f.Strength >= f.Limit || f.Strength >= excessStrength && f.excess(f.Cause) >= maxExcess
	f.Enough = f.TargetAnswers >= minAnswers && e.mainRoutesSeen(f.OtherAnswers)
	return f
}

const (
	// allowedSlowRatio is how much more often responses of the target may be slow
	// because its servers are slower hosts.
	allowedSlowRatio = 2
	// minSlowRate is the rate of slow responses that the others are taken to have at
	// least.
	minSlowRate = 0.04
	// minUsual is the number of responses from which a server has a usual time of its own.
	minUsual = 5
)

// excess returns by how much the failures or the slow responses of the target exceed
// those that it would have at the rate of the others.
func (f *Finding) excess(c Cause) float64 {
	if f.OtherAnswers == 0 {
		return 0
	}
	target, others := f.TargetBad, f.OtherBad
	if c == Slow {
		target, others = f.TargetSlow, f.OtherSlow
	}
	return float64(target) - float64(f.TargetAnswers)*float64(others)/float64(f.OtherAnswers)
}

// usualOf identifies the responses of a server of the target, or of all others, on a
// route.
type usualOf struct {
	route  string
	server topo.ServerID
}

// usual returns the classes of the usual service times. If own is false, servers of the
// target have that of the others.
func (e *Evidence) usual(own bool) map[usualOf]int {
	sums := make(map[usualOf]*counts)
	add := func(id usualOf, c *counts) {
		if sums[id] == nil {
			sums[id] = &counts{}
		}
		sums[id].add(Cell{Times: c.times})
	}
	for _, w := range e.windows {
		for route, r := range w.routes {
			add(usualOf{route: route}, &r.others)
			for server, c := range r.target {
				if own {
					add(usualOf{route, server}, c)
				}
			}
		}
	}
	out := make(map[usualOf]int, len(sums))
	for id, c := range sums {
		total, below := 0, 0
		for _, n := range c.times {
			total += n
		}
		for i, n := range c.times {
			if below += n; total >= minUsual && float64(below) >= usualPart*float64(total) {
				out[id] = i
				break
			}
		}
	}
	return out
}

// slowerThan returns the measure of responses that are slow relative to usual times.
func slowerThan(usual map[usualOf]int) measure {
	return func(route string, server topo.ServerID, c *counts) (slow, total int) {
		class, known := usual[usualOf{route, server}]
		if !known {
			class, known = usual[usualOf{route: route}]
		}
		for i, n := range c.times {
			total += n
			if known && i >= class+slowBuckets {
				slow += n
			}
		}
		return slow, total
	}
}

// measure returns the number of bad responses of counts of a server, empty for all
// others, on a route, and of all.
type measure func(route string, server topo.ServerID, c *counts) (bad, total int)

type totals struct {
	target, targetBad, others, othersBad int
	byServer                             map[topo.ServerID]int
}

func (e *Evidence) totals(m measure) totals {
	t := totals{byServer: make(map[topo.ServerID]int)}
	for _, w := range e.windows {
		for route, r := range w.routes {
			bad, n := m(route, "", &r.others)
			t.others, t.othersBad = t.others+n, t.othersBad+bad
			for id, c := range r.target {
				bad, n := m(route, id, c)
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

// worstThird returns the worst third of the servers, but leaves one out.
func (t totals) worstThird() map[topo.ServerID]bool { return t.worst((len(t.byServer) + 2) / 3) }

// test is one way to compare the target with the others.
type test struct {
	measure measure
	// without holds servers of the target that do not count.
	without map[topo.ServerID]bool
	// allowed is the ratio of the rates of bad responses up to which the target is not
	// worse. floor is the rate that the others are taken to have at least.
	allowed, floor float64
	// earlier says that windows in which the target had all requests of a route are
	// compared with the windows before them.
	earlier bool
}

// strength returns the greatest logarithm of the likelihood ratio of a test over all
// numbers of last windows.
func (e *Evidence) strength(t test) float64 {
	terms := make([][len(ratios)]float64, len(e.windows))
	recent := make(map[string]*recentRate)
	for i, w := range e.windows {
		for route, r := range w.routes {
			othersBad, others := t.measure(route, "", &r.others)
			targetBad, target := 0, 0
			for id, c := range r.target {
				if t.without[id] {
					continue
				}
				bad, n := t.measure(route, id, c)
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
				case target == 0 || ratio <= t.allowed:
				case others > 0:
					all := float64(targetBad) + max(float64(othersBad), t.floor*float64(others))
					expected := (float64(others) + ratio*float64(target)) / (float64(others) + t.allowed*float64(target))
					terms[i][j] += float64(targetBad)*math.Log(ratio/t.allowed) - all*math.Log(expected)
				case t.earlier && recent[route].n > 0:
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
