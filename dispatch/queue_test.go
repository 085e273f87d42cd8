package dispatch

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/topo"
)

// TestMain fixes the seed and the number of cases of rapid, so that CI runs the
// same cases every time.
func TestMain(m *testing.M) {
	for k, v := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const ms = time.Millisecond

// model is the reference model of a queue. It tracks which requests are queued and
// which are running.
type model struct {
	q        *Queue
	cfg      Config
	now      time.Time
	waiting  map[Ticket]Item
	offered  map[Ticket]time.Time
	running  map[Ticket]Item
	draining map[topo.SliceID]bool
	closed   bool // after Leave or Stop
}

func (m *model) collect(t *rapid.T) {
	for _, r := range m.q.Refusals() {
		_, ok := m.waiting[r.Ticket]
		require.True(t, ok, "refused a request that was not queued")
		require.Equal(t, errkind.NotRun, r.Kind.Answer().Outcome)
		delete(m.waiting, r.Ticket)
	}
}

func (m *model) offer(t *rapid.T) {
	it := Item{
		Customer: rapid.SampledFrom([]topo.CustomerID{"a", "b", "c"}).Draw(t, "customer"),
		Class:    rapid.SampledFrom([]call.Class{call.Small, call.Small, call.Large}).Draw(t, "class"),
		Slice:    topo.SliceID(rapid.IntRange(0, 3).Draw(t, "slice")),
	}
	if d := rapid.SampledFrom([]int{0, 5, 50, 3000}).Draw(t, "deadline"); d > 0 {
		it.Deadline = m.now.Add(time.Duration(d) * ms)
	}
	tk, err := m.q.Offer(m.now, it)
	if err != nil {
		require.Equal(t, errkind.NotRun, err.Kind.Answer().Outcome)
		m.collect(t)
		return
	}
	require.False(t, m.closed || m.draining[it.Slice], "accepted a request for a draining slice or after Stop")
	m.waiting[tk], m.offered[tk] = it, m.now
	m.collect(t)
}

func (m *model) next(t *rapid.T) {
	tk, ok := m.q.Next(m.now)
	m.collect(t)
	if !ok {
		return
	}
	it, waiting := m.waiting[tk]
	require.True(t, waiting, "dispatched a request that was not queued")
	require.True(t, it.Deadline.IsZero() || it.Deadline.After(m.now), "dispatched a request after its deadline")
	require.Less(t, m.now.Sub(m.offered[tk]), m.cfg.MaxWait)
	require.False(t, m.draining[it.Slice], "dispatched a request of a draining slice")
	delete(m.waiting, tk)
	m.running[tk] = it
}

func (m *model) done(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	var ts []Ticket
	for tk := range m.running {
		ts = append(ts, tk)
	}
	slices.Sort(ts)
	tk := rapid.SampledFrom(ts).Draw(t, "done")
	if rapid.Bool().Draw(t, "head first") {
		m.q.Responded(m.now, tk, rapid.SampledFrom([]Verdict{Served, Served, Served, Refused, Failed, Cancelled, Unsent}).Draw(t, "verdict"))
	}
	m.q.Done(m.now, tk)
	delete(m.running, tk)
}

func (m *model) check(t *rapid.T) {
	s := m.q.Stats()
	require.Len(t, m.waiting, s.Queued, "a request was lost or counted twice")
	require.Len(t, m.running, s.Running)
	require.LessOrEqual(t, s.Running, min(m.cfg.Slots, m.cfg.MaxConns))
	require.LessOrEqual(t, s.Queued, m.cfg.MaxQueued)
	perFlow, perSlice, large := map[Item]int{}, map[topo.SliceID]int{}, 0
	for _, it := range m.waiting {
		perFlow[Item{Customer: it.Customer, Class: it.Class}]++
		require.False(t, m.draining[it.Slice], "a request of a draining slice is still queued")
	}
	for _, n := range perFlow {
		require.LessOrEqual(t, n, m.cfg.MaxQueuedPerCustomer)
	}
	for _, it := range m.running {
		perSlice[it.Slice]++
		if it.Class == call.Large {
			large++
		}
	}
	require.LessOrEqual(t, large, max(1, int(float64(m.cfg.Slots)*m.cfg.LargeShare)))
	for s := range m.draining {
		require.Equal(t, perSlice[s] == 0, m.q.Drained(s))
	}
	require.Equal(t, len(m.waiting)+len(m.running) == 0, m.q.Idle())
}

// Guards against lost or duplicated requests, more running requests than slots or
// connections, queues that exceed their bounds, dispatch to draining slices and
// dispatch after a deadline, under random sequences of events.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: time.Unix(0, 0), waiting: map[Ticket]Item{}, offered: map[Ticket]time.Time{},
			running: map[Ticket]Item{}, draining: map[topo.SliceID]bool{}}
		m.cfg = Config{Slots: rapid.IntRange(1, 6).Draw(t, "slots"), MaxConns: rapid.IntRange(2, 130).Draw(t, "conns"),
			MaxQueued: 12, MaxQueuedPerCustomer: 5, MaxWait: 200 * ms, LargeShare: DefaultLargeShare}
		m.q = NewQueue(m.cfg, m.now)
		slice := func(t *rapid.T) topo.SliceID { return topo.SliceID(rapid.IntRange(0, 3).Draw(t, "slice")) }
		t.Repeat(map[string]func(*rapid.T){
			"":       m.check,
			"offer":  m.offer,
			"offer2": m.offer,
			"next":   m.next,
			"next2":  m.next,
			"done":   m.done,
			"done2":  m.done,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 3, 10, 100}).Draw(t, "ms")) * ms)
				m.q.Tick(m.now)
				m.collect(t)
			},
			"cancel": func(t *rapid.T) {
				tk := Ticket(rapid.IntRange(0, 40).Draw(t, "ticket"))
				_, waiting := m.waiting[tk]
				require.Equal(t, waiting, m.q.Cancel(tk))
				delete(m.waiting, tk)
			},
			"drain": func(t *rapid.T) {
				s := slice(t)
				m.q.Drain(s)
				m.draining[s] = true
				m.collect(t)
			},
			"undrain": func(t *rapid.T) { s := slice(t); m.q.Undrain(s); delete(m.draining, s) },
			"cold":    func(*rapid.T) { m.q.ColdStart(m.now) },
			"weight":  func(t *rapid.T) { m.q.SetWeight("a", rapid.Float64Range(0, 20).Draw(t, "weight")) },
			"stop": func(t *rapid.T) {
				if rapid.IntRange(0, 40).Draw(t, "stop") == 0 {
					m.q.Stop()
					m.closed = true
				}
			},
		})
		m.finish(t)
	})
}

// finish stops the queue and checks that all remaining requests complete.
func (m *model) finish(t *rapid.T) {
	m.q.Stop()
	for i := 0; !m.q.Idle(); i++ {
		require.Less(t, i, 2000, "the queue does not become idle")
		m.now = m.now.Add(ms)
		m.next(t)
		for tk := range m.running {
			m.q.Responded(m.now, tk, Served)
			m.q.Done(m.now, tk)
			delete(m.running, tk)
		}
	}
	require.Empty(t, m.waiting)
}

// warmQueue returns an idle queue whose ramp is complete.
func warmQueue(t testing.TB, cfg Config, now time.Time) *Queue {
	cfg.WarmLatency = 10 * ms
	q := NewQueue(cfg, now)
	for i := 0; q.Stats().Cold; i++ {
		require.Less(t, i, 1000, "the ramp does not end")
		_, err := q.Offer(now, Item{Customer: "warm-up"})
		require.Nil(t, err)
		if tk, ok := q.Next(now); ok {
			q.Responded(now.Add(10*ms), tk, Served)
			q.Done(now.Add(10*ms), tk)
		}
		now = now.Add(10 * ms)
	}
	return q
}

// Guards against more running requests than MaxConns allows when there are more
// slots than connections.
func TestConnectionsBoundRunningRequests(t *testing.T) {
	now := time.Unix(0, 0)
	q := warmQueue(t, Config{Slots: 6, MaxConns: 2}, now)
	now = now.Add(time.Minute)
	for range 6 {
		_, err := q.Offer(now, Item{Customer: "a"})
		require.Nil(t, err)
	}
	for _, ok := q.Next(now); ok; _, ok = q.Next(now) {
	}
	require.Equal(t, 2, q.Stats().Running)
}

// Guards against service shares that are not proportional to the weights while all
// customers have a backlog.
func TestBackloggedCustomersShareByWeight(t *testing.T) {
	now := time.Unix(0, 0)
	q := warmQueue(t, Config{Slots: 3, MaxConns: 130}, now)
	now = now.Add(time.Minute)
	q.SetWeight("a", 3)
	served := map[topo.CustomerID]int{}
	customerOf := map[Ticket]topo.CustomerID{}
	for range 400 {
		for _, c := range []topo.CustomerID{"a", "b", "c"} {
			for {
				tk, err := q.Offer(now, Item{Customer: c})
				if err != nil {
					break
				}
				customerOf[tk] = c
			}
		}
		for tk, ok := q.Next(now); ok; tk, ok = q.Next(now) {
			served[customerOf[tk]]++
			defer q.Done(now, tk)
		}
		now = now.Add(10 * ms)
		for tk := range q.entries {
			q.Responded(now, tk, Served)
			q.Done(now, tk)
		}
	}
	require.InDelta(t, 3, float64(served["a"])/float64(served["b"]), 0.05)
	require.InDelta(t, 1, float64(served["b"])/float64(served["c"]), 0.05)
}

// Guards against refusing a request that can meet its deadline in favour of one that
// can't, against one customer that fills the queue and locks out the others, and
// against a deadline estimate that keeps refusing requests to an idle server after
// a temporary slowdown.
func TestLateRequestsAreRefusedFirst(t *testing.T) {
	now := time.Unix(0, 0)
	q := warmQueue(t, Config{Slots: 1, MaxConns: 9, MaxQueued: 3, MaxQueuedPerCustomer: 3}, now)
	now = now.Add(time.Minute)
	offer := func(c topo.CustomerID, d time.Duration) (Ticket, *errkind.Error) {
		return q.Offer(now, Item{Customer: c, Deadline: now.Add(d)})
	}
	running, err := offer("a", time.Second)
	require.Nil(t, err)
	_, ok := q.Next(now)
	require.True(t, ok)
	late, err := offer("a", 15*ms)
	require.Nil(t, err)
	for range 2 {
		_, err = offer("a", time.Second)
		require.Nil(t, err)
	}
	now = now.Add(6 * ms)
	_, err = offer("a", time.Second)
	require.Nil(t, err, "the request that misses its deadline must make room")
	require.Equal(t, []Refusal{{late, errkind.DeadlineBeforeRun}}, q.Refusals())
	_, err = offer("b", time.Second)
	require.Nil(t, err, "the longest flow must make room")
	require.Equal(t, errkind.QueueFull, q.Refusals()[0].Kind)
	_, err = offer("c", 5*ms)
	require.NotNil(t, err)
	require.Equal(t, errkind.DeadlineBeforeRun, err.Kind)
	q.Done(now, running)
	for _, ok := q.Next(now); ok; _, ok = q.Next(now) {
	}
	for tk := range q.entries {
		q.Cancel(tk)
		q.Done(now, tk)
	}
	_, err = offer("c", 5*ms)
	require.Nil(t, err, "an idle server must be tried regardless of the estimate")
}
