package dispatch

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/internal/eventsim"
	"godwitlock.example/godwitlock/topo"
)

// scheduler is implemented by the queue under test and by the FIFO baseline.
type scheduler interface {
	offer(now time.Time, it Item) (Ticket, bool)
	next(now time.Time) (Ticket, bool)
	responded(now time.Time, t Ticket, v Verdict)
	refused() []Ticket
}

type queueScheduler struct{ *Queue }

func (s queueScheduler) offer(now time.Time, it Item) (Ticket, bool) {
	t, err := s.Offer(now, it)
	return t, err == nil
}
func (s queueScheduler) next(now time.Time) (Ticket, bool) { return s.Next(now) }
func (s queueScheduler) responded(now time.Time, t Ticket, v Verdict) {
	s.Responded(now, t, v)
	s.Done(now, t)
}
func (s queueScheduler) refused() (ts []Ticket) {
	for _, r := range s.Refusals() {
		ts = append(ts, r.Ticket)
	}
	return ts
}

// fifo is the baseline: a bounded FIFO queue that uses all slots from the start.
type fifo struct {
	slots, bound, running int
	last                  Ticket
	queue                 []Ticket
}

func (f *fifo) offer(time.Time, Item) (Ticket, bool) {
	f.last++
	if len(f.queue) >= f.bound {
		return 0, false
	}
	f.queue = append(f.queue, f.last)
	return f.last, true
}
func (f *fifo) next(time.Time) (Ticket, bool) {
	if len(f.queue) == 0 || f.running >= f.slots {
		return 0, false
	}
	t := f.queue[0]
	f.queue = f.queue[1:]
	f.running++
	return t, true
}
func (f *fifo) responded(time.Time, Ticket, Verdict) { f.running-- }
func (f *fifo) refused() []Ticket                    { return nil }

// rig simulates one server behind one scheduler.
type rig struct {
	sim     *eventsim.Sim
	s       scheduler
	rnd     *rand.Rand
	serve   func(it Item) (time.Duration, Verdict) // called at dispatch
	end     func(it Item)
	running int
	offered map[topo.CustomerID]int
	latency map[topo.CustomerID][]time.Duration
	pending map[Ticket]request
}

type request struct {
	Item
	offeredAt time.Time
}

func newRig(sim *eventsim.Sim, s scheduler) *rig {
	return &rig{sim: sim, s: s, rnd: rand.New(rand.NewSource(7)), end: func(Item) {},
		offered: map[topo.CustomerID]int{}, latency: map[topo.CustomerID][]time.Duration{}, pending: map[Ticket]request{}}
}

func (r *rig) send(it Item) {
	r.offered[it.Customer]++
	if t, ok := r.s.offer(r.sim.Now(), it); ok {
		r.pending[t] = request{it, r.sim.Now()}
	}
	r.pump()
}

func (r *rig) pump() {
	for t, ok := r.s.next(r.sim.Now()); ok; t, ok = r.s.next(r.sim.Now()) {
		req := r.pending[t]
		r.running++
		latency, v := r.serve(req.Item)
		r.sim.After(latency, func() {
			r.running--
			r.end(req.Item)
			delete(r.pending, t)
			if v == Served {
				r.latency[req.Customer] = append(r.latency[req.Customer], r.sim.Now().Sub(req.offeredAt))
			}
			r.s.responded(r.sim.Now(), t, v)
			r.pump()
		})
	}
	for _, t := range r.s.refused() {
		delete(r.pending, t)
	}
}

// stream sends requests with Poisson arrivals at rate requests per second for the
// given duration.
func (r *rig) stream(it Item, rate float64, duration time.Duration) {
	end := r.sim.Now().Add(duration)
	rnd := rand.New(rand.NewSource(int64(len(it.Customer)) + int64(it.Customer[len(it.Customer)-1])*31 + int64(it.Class)))
	var next func()
	next = func() {
		if r.sim.Now().After(end) {
			return
		}
		r.send(it)
		r.sim.After(time.Duration(rnd.ExpFloat64()/rate*float64(time.Second)), next)
	}
	r.sim.After(time.Duration(rnd.ExpFloat64()/rate*float64(time.Second)), next)
}

// worst returns the highest p99 latency and the lowest success ratio among the
// customers that keep to their rates, which are all but c0.
func (r *rig) worst() (p99 time.Duration, success float64) {
	success = 1
	for c, n := range r.offered {
		if c == "c0" {
			continue
		}
		p99 = max(p99, eventsim.Quantile(r.latency[c], 0.99))
		success = min(success, float64(len(r.latency[c]))/float64(n))
	}
	return p99, success
}

// loadShares are the fractions of the load that 8 customers send. A few of them
// send most of it.
var loadShares = []float64{0.3, 0.2, 0.15, 0.1, 0.1, 0.07, 0.05, 0.03}

// contention simulates 8 customers for a minute. Together they use 60% of the
// server's capacity, except that customer c0 multiplies its rate by rateFactor.
func contention(useFIFO bool, slots int, rateFactor float64) *rig {
	sim := eventsim.New()
	var s scheduler = &fifo{slots: slots, bound: DefaultMaxQueued}
	if !useFIFO {
		q := NewQueue(Config{Slots: slots, MaxConns: 130, WarmLatency: 10 * ms}, sim.Now())
		for i, w := range loadShares {
			q.SetWeight(topo.CustomerID(fmt.Sprint("c", i)), w/loadShares[len(loadShares)-1])
		}
		s = queueScheduler{q}
	}
	r := newRig(sim, s)
	r.serve = func(Item) (time.Duration, Verdict) {
		return 5*ms + time.Duration(r.rnd.Int63n(int64(10*ms))), Served
	}
	for i, w := range loadShares {
		rate := 0.6 * w * float64(slots) * 100
		if i == 0 {
			rate *= rateFactor
		}
		r.stream(Item{Customer: topo.CustomerID(fmt.Sprint("c", i))}, rate, time.Minute)
	}
	sim.Run(2 * time.Minute)
	return r
}

// Guards against one customer slowing down the others when it sends at 8 times its
// rate. In production admission control limits it before the queue; here it is
// not limited.
func TestOneCustomerDoesNotSlowOthers(t *testing.T) {
	for _, slots := range []int{3, 6} {
		alone, aloneSuccess := contention(false, slots, 1).worst()
		flood, floodSuccess := contention(false, slots, 8).worst()
		fifoP99, fifoSuccess := contention(true, slots, 8).worst()
		t.Logf("%d slots: worst-served customer p99 and success: no flood %v %.4f; flood %v %.4f (%.2fx); flood, FIFO baseline %v %.4f",
			slots, alone, aloneSuccess, flood, floodSuccess, float64(flood)/float64(alone), fifoP99, fifoSuccess)
		require.EqualValues(t, 1, floodSuccess)
		require.Less(t, flood, fifoP99)
		require.LessOrEqual(t, float64(flood)/float64(alone), 1.2, "goal: within 1.2x")
	}
}

// Guards against large requests that occupy all slots, and against small requests
// that starve large ones.
func TestLargeAndSmallDoNotStarveEachOther(t *testing.T) {
	for _, slots := range []int{1, 3, 6} {
		sim := eventsim.New()
		r := newRig(sim, queueScheduler{NewQueue(Config{Slots: slots, MaxConns: 130, MaxWait: time.Minute, WarmLatency: 10 * ms}, sim.Now())})
		served := map[call.Class]int{}
		r.serve = func(it Item) (time.Duration, Verdict) {
			served[it.Class]++
			if it.Class == call.Large {
				return 200 * ms, Served
			}
			return 10 * ms, Served
		}
		r.stream(Item{Customer: "c1"}, float64(slots)*150, 10*time.Second)
		r.stream(Item{Customer: "c1", Class: call.Large}, float64(slots)*20, 10*time.Second)
		sim.Run(10 * time.Second)
		t.Logf("%d slots, both classes overloaded for 10 s: %d small, %d large served", slots, served[call.Small], served[call.Large])
		require.Greater(t, served[call.Large], 20)
		require.Greater(t, served[call.Small], 300)
	}
}

// coldServer models a server whose capacity is one concurrent request when cold and
// rises as it warms up with each response. Its latency is inversely proportional
// to its warmth, and it refuses requests beyond its capacity.
type coldServer struct {
	slots       int
	warmth      float64 // 1 is warm
	running     int
	maxOverload float64 // highest ratio of running requests to capacity
	excess      int     // requests received beyond the capacity
}

func (c *coldServer) capacity() int { return max(1, int(float64(c.slots)*c.warmth)) }

func (c *coldServer) serve(Item) (time.Duration, Verdict) {
	c.running++
	over := float64(c.running) / float64(c.capacity())
	c.maxOverload = max(c.maxOverload, over)
	if over > 1 {
		c.excess++
		return ms, Refused
	}
	return time.Duration(float64(10*ms) / c.warmth), Served
}

func (c *coldServer) end(Item) {
	c.running--
	if c.running < c.capacity() {
		c.warmth = min(1, c.warmth+0.004)
	}
}

// coldStart offers the load of a warm server to a cold one for 20 s and returns the
// time until the ramp completed. With turnsCold, the server runs for 8 s before it
// turns cold without a signal, and excess counts only from then on.
func coldStart(useFIFO bool, slots int, warm time.Duration, turnsCold bool) (c *coldServer, r *rig, warmAt time.Duration) {
	sim := eventsim.New()
	var s scheduler = &fifo{slots: slots, bound: DefaultMaxQueued}
	q := NewQueue(Config{Slots: slots, MaxConns: 130, WarmLatency: warm}, sim.Now())
	if !useFIFO {
		s = queueScheduler{q}
	}
	c = &coldServer{slots: slots, warmth: 0.1}
	r = newRig(sim, s)
	r.serve, r.end = c.serve, c.end
	start := sim.Now()
	for i, w := range loadShares {
		r.stream(Item{Customer: topo.CustomerID(fmt.Sprint("c", i))}, 0.6*w*float64(slots)*100, 20*time.Second)
	}
	if turnsCold {
		sim.Run(8 * time.Second)
		c.warmth, c.excess, start = 0.1, 0, sim.Now()
	}
	sim.Run(200 * ms)
	for i := 0; i < 1000 && q.Stats().Cold; i++ {
		sim.Run(10 * ms)
	}
	warmAt = sim.Now().Sub(start)
	sim.Run(20 * time.Second)
	return c, r, warmAt
}

// Guards against load beyond the capacity of a cold server, both with a known warm
// latency and when the ramp has to learn it, and against a ramp that never
// completes.
func TestColdServerIsNotOverloaded(t *testing.T) {
	for _, slots := range []int{3, 6} {
		for _, warm := range []time.Duration{10 * ms, 0} {
			c, r, warmAt := coldStart(false, slots, warm, false)
			fifoServer, fifoRig, _ := coldStart(true, slots, warm, false)
			_, success := r.worst()
			_, fifoSuccess := fifoRig.worst()
			t.Logf("%d slots, warm latency known %v: highest ratio of load to capacity %.2f, warm after %v, worst success %.3f; FIFO baseline without a ramp %.2f, %.3f",
				slots, warm > 0, c.maxOverload, warmAt, success, fifoServer.maxOverload, fifoSuccess)
			require.LessOrEqual(t, c.maxOverload, 1.0, "goal: at most 1")
			require.Less(t, warmAt, 10*time.Second, "the ramp does not end")
		}
	}
}

// Guards against keeping full load on a server that turned cold without a signal.
// Requests that are running at that moment can't be recalled. Until the slow
// responses are detected, at most slowWindow requests may exceed the capacity.
func TestServerThatTurnsColdIsDetected(t *testing.T) {
	for _, slots := range []int{3, 6} {
		c, _, warmAt := coldStart(false, slots, 10*ms, true)
		fifoServer, _, _ := coldStart(true, slots, 10*ms, true)
		t.Logf("%d slots: warm again after %v; requests received beyond its capacity: %d; FIFO baseline without a ramp %d", slots, warmAt, c.excess, fifoServer.excess)
		require.LessOrEqual(t, c.excess, slowWindow)
		require.Less(t, warmAt, 15*time.Second, "the ramp does not end")
	}
}

// Guards against a warm server that counts as cold because its latency has a wide
// distribution.
func TestWarmServerWithSpreadLatencyStaysWarm(t *testing.T) {
	now := time.Unix(0, 0)
	rnd := rand.New(rand.NewSource(3))
	r := NewRamp(6, 0, now)
	cold := 0
	for i := range 100_000 {
		took := time.Duration(rnd.ExpFloat64() * float64(10*ms))
		r.Response(now.Add(took), now, took)
		now = now.Add(20 * ms)
		if r.Cold() && i > 1000 {
			cold++
		}
	}
	require.False(t, r.Cold())
	require.LessOrEqual(t, cold, 200, "responses that arrived while the server counted as cold, of 99,000")
}
