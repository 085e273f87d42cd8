package permit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"godwitlock.example/godwitlock/internal/eventsim"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/workload"
)

// The load test measures what callers get from a pool under overload. It simulates
// servers, arrivals and callers with a virtual clock and fixed seeds; the queue of
// the pool is the only real part.

// loadRoute is a kind of requests. Work is the mean service time at a server of
// speed 1, share the part of all requests.
type loadRoute struct {
	name                      string
	priority                  int
	work, objective, deadline time.Duration
	share                     float64
}

// loadScenario is a load on one pool. Loads are multiples of the pool's capacity;
// the load changes to the next one after loadPhase, and to the first after the last.
type loadScenario struct {
	name    string
	slots   []int
	routes  []loadRoute
	loads   []float64
	overall time.Duration
}

const (
	// loadPhase is the length of a phase of a load that changes.
	loadPhase = 1500 * time.Millisecond
	// slowedEvery and slowedFor say how often a slowed server slows down, on
	// average, and for how long; slowedSpeed is its speed then, relative to its own.
	slowedEvery, slowedFor, slowedSpeed = time.Second, 400 * time.Millisecond, 1.0 / 3
	// lateValue is the value of a response after its objective.
	lateValue = 0.5
	loadSeeds = 3
	// loadNoise is the part of the value by which two queues that are equally good may
	// differ where the load is below the capacity. Two seeds differ by more.
	loadNoise = 0.002
)

// loadRoutes are the routes of the two deployments of docs/hard-load.md.
var (
	keyedFirst  = loadRoute{"keyed-370", 1, 370 * time.Millisecond, time.Second, 4 * time.Second, 1}
	keyedSecond = loadRoute{"keyed-180", 2, 180 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond, 1}
	mixedFirst  = []loadRoute{
		{"a-480", 2, 480 * time.Millisecond, 3 * time.Second, 6 * time.Second, 0.42},
		{"a-260", 1, 260 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second, 0.31},
		{"a-150", 0, 150 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond, 0.27},
	}
	mixedSecond = []loadRoute{
		{"b-180", 2, 180 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond, 0.3},
		{"b-230", 1, 230 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second, 0.3},
		{"b-120", 0, 120 * time.Millisecond, 400 * time.Millisecond, time.Second, 0.2},
		{"b-700", 2, 700 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second, 0.2},
	}
	// keyedWithSplit is a keyed service that gets a part of another kind by split.
	keyedWithSplit = []loadRoute{
		withShare(keyedFirst, 0.75),
		{"a-260", 1, 260 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second, 0.25},
	}
)

func withShare(r loadRoute, share float64) loadRoute {
	r.share = share
	return r
}

func loadScenarios() []loadScenario {
	var out []loadScenario
	for _, shape := range []struct {
		name   string
		slots  []int
		routes []loadRoute
	}{
		{"keyed server, 6 slots", []int{6}, []loadRoute{keyedFirst}},
		{"keyed server, 4 slots", []int{4}, []loadRoute{keyedSecond}},
		{"keyed server, 6 slots, two routes", []int{6}, keyedWithSplit},
		{"pool of first", []int{3, 3, 3, 3, 3, 3, 3, 3}, mixedFirst},
		{"pool of second", []int{2, 2, 2, 2, 2, 2, 2, 2, 2, 2}, mixedSecond},
	} {
		for _, load := range []struct {
			name  string
			loads []float64
		}{{"0.8", []float64{0.8}}, {"1.2", []float64{1.2}}, {"2", []float64{2}}, {"bursts", []float64{2.5, 0.4}}} {
			out = append(out, loadScenario{
				name: shape.name + ", load " + load.name, slots: shape.slots, routes: shape.routes, loads: load.loads,
				overall: 45 * time.Second,
			})
		}
	}
	return out
}

// loadCount is what the callers of a route got.
type loadCount struct {
	requests, full, late, refused, unanswered int
	// waitBeforeRefusal sums up the time until the first refusal.
	waitBeforeRefusal time.Duration
	refusals          int
}

// loadResult is what callers got, by route, and the value that was lost, as a part of
// the value of all requests.
type loadResult struct {
	routes map[string]*loadCount
	cost   float64
}

// loadWeight is the value of a response within the objective. Each priority is worth
// twice the next less urgent one.
func loadWeight(priority int) float64 { return 1 / float64(int(1)<<priority) }

func (r loadResult) String() string {
	var names []string
	for name := range r.routes {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	fmt.Fprintf(&b, "lost %.3f", r.cost)
	for _, name := range names {
		c := r.routes[name]
		n := float64(max(1, c.requests))
		fmt.Fprintf(&b, "; %s full %.2f late %.2f refused %.2f unanswered %.2f", name,
			float64(c.full)/n, float64(c.late)/n, float64(c.refused)/n, float64(c.unanswered)/n)
	}
	return b.String()
}

// scheduler is what the load test drives: a Pool, or a queue in order of arrival.
type scheduler interface {
	SetServers(now time.Time, list []Server)
	Offer(now time.Time, r Request) Decision
	Tick(now time.Time) []Decision
	Finish(now time.Time, id uint64, r Result)
}

// arrivalOrder serves requests in the order of arrival and refuses none. Requests
// whose deadline has passed are dropped when they are next.
type arrivalOrder struct {
	servers []Server
	running map[topo.ServerID]int
	at      map[uint64]topo.ServerID
	list    []Request
}

func newArrivalOrder() *arrivalOrder {
	return &arrivalOrder{running: make(map[topo.ServerID]int), at: make(map[uint64]topo.ServerID)}
}

func (a *arrivalOrder) SetServers(_ time.Time, list []Server) { a.servers = list }

func (a *arrivalOrder) Offer(now time.Time, r Request) Decision {
	a.list = append(a.list, r)
	return Decision{ID: r.ID, Verdict: Queued}
}

func (a *arrivalOrder) Tick(now time.Time) []Decision {
	var out []Decision
	for len(a.list) > 0 {
		r := a.list[0]
		if now.After(r.AnswerBy) {
			a.list = a.list[1:]
			continue
		}
		best := -1
		for i, s := range a.servers {
			if a.running[s.ID] < s.Slots && (best < 0 || a.running[s.ID]*a.servers[best].Slots < a.running[a.servers[best].ID]*s.Slots) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		a.list = a.list[1:]
		a.running[a.servers[best].ID]++
		a.at[r.ID] = a.servers[best].ID
		out = append(out, Decision{ID: r.ID, Verdict: Granted, Server: a.servers[best].ID})
	}
	return out
}

func (a *arrivalOrder) Finish(_ time.Time, id uint64, _ Result) {
	a.running[a.at[id]]--
	delete(a.at, id)
}

// loadServer is a simulated backend server.
type loadServer struct {
	speed float64
	// slowed holds the starts of the periods in which it is slowed.
	slowed []time.Duration
}

// ends returns when work that begins at a time since the start ends.
func (s *loadServer) ends(begin, work time.Duration) time.Duration {
	at, left := begin, float64(work)/s.speed
	for _, from := range s.slowed {
		to := from + slowedFor
		if to <= at {
			continue
		}
		if free := float64(from - at); free > 0 {
			if left <= free {
				return at + time.Duration(left)
			}
			left -= free
			at = from
		}
		done := float64(to-at) * slowedSpeed
		if left <= done {
			return at + time.Duration(left/slowedSpeed)
		}
		left -= done
		at = to
	}
	return at + time.Duration(left)
}

// loadRun is one run of a scenario.
type loadRun struct {
	sc      loadScenario
	sim     *eventsim.Sim
	begin   time.Time
	sched   scheduler
	rng     *rand.Rand
	servers map[topo.ServerID]*loadServer
	open    map[uint64]*loadRequest
	lastID  uint64
	out     loadResult
	// complete fills in what the sender knows of the request.
	complete func(r *Request, route loadRoute)
	// completed is called with each service time.
	completed func(route string, d time.Duration)
}

// loadRequest is a request of a caller.
type loadRequest struct {
	route   loadRoute
	arrived time.Time
	work    time.Duration
	again   bool
}

func loadServerID(i int) topo.ServerID { return topo.ServerID(fmt.Sprint("s", i)) }

func (l *loadRun) addServers() {
	var list []Server
	for i, slots := range l.sc.slots {
		s := &loadServer{speed: 0.5 + 1.1*float64(i)/float64(max(1, len(l.sc.slots)-1))}
		if len(l.sc.slots) == 1 {
			s.speed = 1
		}
		if i%5 == 0 {
			for at := time.Duration(0); at < l.sc.overall; {
				at += slowedFor + time.Duration(l.rng.ExpFloat64()*float64(slowedEvery-slowedFor))
				s.slowed = append(s.slowed, at)
			}
		}
		id := loadServerID(i)
		l.servers[id] = s
		list = append(list, Server{ID: id, Slots: slots})
	}
	l.sched.SetServers(l.sim.Now(), list)
}

// capacity returns the number of requests per second that the servers can run.
func (l *loadRun) capacity() float64 {
	var work, rate float64
	for _, r := range l.sc.routes {
		work += r.share * r.work.Seconds()
	}
	for i, slots := range l.sc.slots {
		s := l.servers[loadServerID(i)]
		speed := s.speed
		if len(s.slowed) > 0 {
			speed *= 1 - slowedFor.Seconds()/slowedEvery.Seconds()*(1-slowedSpeed)
		}
		rate += float64(slots) * speed
	}
	return rate / work
}

func (l *loadRun) arrivals(capacity float64) {
	since := l.sim.Now().Sub(l.begin)
	if since > l.sc.overall {
		return
	}
	load := l.sc.loads[int(since/loadPhase)%len(l.sc.loads)]
	next := time.Duration(l.rng.ExpFloat64() / (load * capacity) * float64(time.Second))
	l.sim.After(next, func() {
		x := l.rng.Float64()
		route := l.sc.routes[len(l.sc.routes)-1]
		for _, r := range l.sc.routes {
			if x -= r.share; x < 0 {
				route = r
				break
			}
		}
		// Service times differ by a factor of 3 within a route.
		work := time.Duration(float64(route.work) * (0.5 + l.rng.Float64()))
		l.out.routes[route.name].requests++
		l.offer(&loadRequest{route: route, arrived: l.sim.Now(), work: work})
		l.arrivals(capacity)
	})
}

func (l *loadRun) offer(q *loadRequest) {
	now := l.sim.Now()
	l.lastID++
	left := q.arrived.Add(q.route.deadline).Sub(now)
	// As forward/acquire.go does for a sender that has no estimate. A sender does not
	// know that a caller has come back: the objective of its request begins anew.
	r := Request{
		ID: l.lastID, Priority: q.route.priority, StartBy: now.Add(left * 85 / 100),
		PromptBy: now.Add(q.route.objective / 2), Lease: left + 300*time.Millisecond,
		AnswerBy: now.Add(left), ObjectiveBy: now.Add(q.route.objective), Route: q.route.name,
	}
	l.complete(&r, q.route)
	l.open[r.ID] = q
	l.decide(l.sched.Offer(now, r))
	l.tick()
}

func (l *loadRun) tick() {
	for _, d := range l.sched.Tick(l.sim.Now()) {
		l.decide(d)
	}
}

func (l *loadRun) decide(d Decision) {
	q, now := l.open[d.ID], l.sim.Now()
	c := l.out.routes[q.route.name]
	switch d.Verdict {
	case Granted:
		begin := now.Sub(l.begin)
		took := l.servers[d.Server].ends(begin, q.work) - begin
		l.sim.After(took, func() {
			l.completed(q.route.name, took)
			l.sched.Finish(l.sim.Now(), d.ID, Result{ServiceTime: took})
			l.answered(q)
			l.tick()
		})
	case Refused:
		c.refusals++
		left := q.arrived.Add(q.route.deadline).Sub(now)
		if q.again {
			c.refused++
			l.lost(q, 1)
			return
		}
		c.waitBeforeRefusal += now.Sub(q.arrived)
		q.again = true
		l.sim.After(min(d.RetryAfter, left/3), func() { l.offer(q) })
	}
}

func (l *loadRun) answered(q *loadRequest) {
	c := l.out.routes[q.route.name]
	switch took := l.sim.Now().Sub(q.arrived); {
	case took <= q.route.objective:
		c.full++
	case took <= q.route.deadline:
		c.late++
		l.lost(q, 1-lateValue)
	default:
		c.unanswered++
		l.lost(q, 1)
	}
}

func (l *loadRun) lost(q *loadRequest, part float64) {
	l.out.cost += part * loadWeight(q.route.priority)
}

// run simulates the scenario once. Requests that get no decision until the end of
// the run are counted as unanswered.
func (l *loadRun) run() {
	l.addServers()
	l.arrivals(l.capacity())
	var ticker func()
	ticker = func() { l.tick(); l.sim.After(sweepInterval, ticker) }
	ticker()
	l.sim.Run(l.sc.overall + 15*time.Second)
}

// runLoad simulates a scenario with all seeds and sums up what callers got. The same
// seed gives the same arrivals, whatever the scheduler decides.
func runLoad(sc loadScenario, newSched func() scheduler, newSender func() (func(*Request, loadRoute), func(string, time.Duration))) loadResult {
	sum := loadResult{routes: make(map[string]*loadCount)}
	for _, r := range sc.routes {
		sum.routes[r.name] = new(loadCount)
	}
	for seed := range uint64(loadSeeds) {
		complete, completed := newSender()
		sim := eventsim.New()
		l := &loadRun{
			sc: sc, sim: sim, begin: sim.Now(), sched: newSched(), rng: rand.New(rand.NewPCG(seed, 7)), out: sum,
			servers: make(map[topo.ServerID]*loadServer), open: make(map[uint64]*loadRequest),
			complete: complete, completed: completed,
		}
		l.run()
		sum.cost = l.out.cost
	}
	total := 0.0
	for _, r := range sc.routes {
		c := sum.routes[r.name]
		total += float64(c.requests) * loadWeight(r.priority)
		if missing := c.requests - c.full - c.late - c.refused - c.unanswered; missing > 0 {
			c.unanswered += missing
			sum.cost += float64(missing) * loadWeight(r.priority)
		}
	}
	sum.cost /= total
	return sum
}

func newLoadPool() scheduler { return New(rand.New(rand.NewPCG(1, 2)), 1) }

// withoutEstimate is a sender that does not know the work of routes.
func withoutEstimate() (func(*Request, loadRoute), func(string, time.Duration)) {
	return func(*Request, loadRoute) {}, func(string, time.Duration) {}
}

// withEstimates is a sender that learns the work of routes.
func withEstimates() (func(*Request, loadRoute), func(string, time.Duration)) {
	table := workload.New()
	return func(r *Request, route loadRoute) { r.Work = table.Of(route.name) }, table.Record
}

// checkFloors checks that no route is served less than a quarter as often as all
// requests together, nor a more urgent one less often than a less urgent one. Responses
// after the objective count as served.
func (r loadResult) checkFloors(t *testing.T, sc loadScenario) {
	t.Helper()
	var requests, served int
	for _, c := range r.routes {
		requests += c.requests
		served += c.full + c.late
	}
	share := func(name string) float64 {
		c := r.routes[name]
		return float64(c.full+c.late) / float64(max(1, c.requests))
	}
	for _, a := range sc.routes {
		if least := float64(served) / float64(requests) / 4; share(a.name) < least {
			t.Errorf("route %s is served at a share of %.3f, want at least %.3f", a.name, share(a.name), least)
		}
		for _, b := range sc.routes {
			if a.priority < b.priority && share(a.name) < share(b.name)-loadNoise {
				t.Errorf("route %s is served at a share of %.3f, less urgent %s at %.3f", a.name, share(a.name), b.name, share(b.name))
			}
		}
	}
}

// Guards against a queue that serves callers worse than the order of arrival does, and
// against estimates of the work that make it worse than a queue without them.
func TestLoadQueueServesBetter(t *testing.T) {
	for _, sc := range loadScenarios() {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			arrival := runLoad(sc, func() scheduler { return newArrivalOrder() }, withoutEstimate)
			without := runLoad(sc, newLoadPool, withoutEstimate)
			with := runLoad(sc, newLoadPool, withEstimates)
			t.Logf("arrival order:  %v", arrival)
			t.Logf("no estimates:   %v", without)
			t.Logf("with estimates: %v", with)
			if without.cost > arrival.cost {
				t.Errorf("value lost without estimates %.3f, in order of arrival %.3f", without.cost, arrival.cost)
			}
			limit := without.cost
			if slices.Max(sc.loads) < 1 {
				limit += loadNoise
			}
			if with.cost > limit {
				t.Errorf("value lost with estimates %.4f, without %.4f", with.cost, without.cost)
			}
			with.checkFloors(t, sc)
		})
	}
}
