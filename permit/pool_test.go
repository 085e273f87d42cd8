package permit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitlock.example/godwitlock/topo"
)

var start = time.Unix(1000, 0)

func newPool(servers ...Server) *Pool {
	p := New(rand.New(rand.NewPCG(1, 2)), 1)
	p.SetServers(start, servers)
	return p
}

func request(id uint64, now time.Time) Request {
	return Request{
		ID: id, Customer: "c", Priority: 1, StartBy: now.Add(time.Second), PromptBy: now.Add(300 * time.Millisecond),
		Lease: 2 * time.Second,
	}
}

// Guards against more requests in flight at a server than it has slots. Some
// servers never answer a request that does not fit into their queue.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		p := newPool(Server{ID: "s", Slots: slots})
		now, running := start, map[uint64]bool{}
		grant := func(d Decision) {
			if d.Verdict == Granted {
				running[d.ID] = true
			}
		}
		for id := uint64(1); id < 200; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			r := request(id, now)
			r.Lease = time.Hour
			grant(p.Offer(now, r))
			for done := range running {
				if rapid.Bool().Draw(t, "done") {
					delete(running, done)
					p.Finish(now, done, Result{ServiceTime: 100 * time.Millisecond})
				}
				break
			}
			for _, d := range p.Tick(now) {
				grant(d)
			}
			if len(running) > slots {
				t.Fatalf("%d requests in flight, want at most %d", len(running), slots)
			}
		}
	})
}

// Guards against a cold server that gets more requests than its rate limit
// allows in any second.
func TestColdServerGetsItsRate(t *testing.T) {
	const rate = 3.8
	p := newPool(Server{ID: "s", Slots: 8, ColdRate: rate, ColdUntil: start.Add(time.Minute)})
	var granted []time.Time
	for ms := 0; ms < 10000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		d := p.Offer(now, request(uint64(ms+1), now))
		list := append(p.Tick(now), d)
		for _, d := range list {
			if d.Verdict == Granted {
				granted = append(granted, now)
				p.Finish(now, d.ID, Result{ServiceTime: time.Millisecond})
			}
		}
	}
	for i := range granted {
		n := 0
		for _, at := range granted[i:] {
			if at.Sub(granted[i]) < time.Second {
				n++
			}
		}
		require.LessOrEqual(t, float64(n), rate+coldBurst+1)
	}
	require.Greater(t, len(granted), 30)
}

// Guards against urgent requests that wait behind less urgent ones.
func TestUrgentRequestsGoFirst(t *testing.T) {
	p := newPool(Server{ID: "s", Slots: 1})
	require.Equal(t, Granted, p.Offer(start, request(1, start)).Verdict)
	lessUrgent, urgent := request(2, start), request(3, start)
	lessUrgent.Priority, urgent.Priority = 5, 0
	require.Equal(t, Queued, p.Offer(start, lessUrgent).Verdict)
	require.Equal(t, Queued, p.Offer(start, urgent).Verdict)
	p.Finish(start, 1, Result{ServiceTime: time.Millisecond})
	out := p.Tick(start)
	require.Len(t, out, 1)
	require.Equal(t, uint64(3), out[0].ID)
}

// Guards against a customer with a high load that crowds out the requests of
// another customer with a low load.
func TestCustomersShareSlotsFairly(t *testing.T) {
	p := newPool(Server{ID: "s", Slots: 1})
	granted := map[topo.CustomerID]int{}
	customers := map[uint64]topo.CustomerID{}
	id, running := uint64(0), uint64(0)
	offer := func(now time.Time, c topo.CustomerID) {
		id++
		r := request(id, now)
		r.Customer = c
		customers[id] = c
		if d := p.Offer(now, r); d.Verdict == Granted {
			running = d.ID
			granted[c]++
		}
	}
	for step := range 400 {
		now := start.Add(time.Duration(step) * 50 * time.Millisecond)
		if running != 0 {
			p.Finish(now, running, Result{ServiceTime: 50 * time.Millisecond})
			running = 0
		}
		for _, d := range p.Tick(now) {
			if d.Verdict == Granted {
				running = d.ID
				granted[customers[d.ID]]++
			}
		}
		for range 7 {
			offer(now, "flood")
		}
		if step%2 == 0 {
			offer(now, "small")
		}
	}
	require.Greater(t, granted["small"], 150, "granted of 200 requests, which need half of the capacity")
}

// Guards against a request that is queued although it cannot start in time.
func TestRequestThatCannotStartInTimeIsRefused(t *testing.T) {
	p := newPool(Server{ID: "s", Slots: 1})
	now := start
	for id := uint64(1); ; id++ {
		d := p.Offer(now, request(id, now))
		if d.Verdict == Refused {
			require.Positive(t, d.RetryAfter)
			require.Less(t, id, uint64(20))
			return
		}
	}
}

// Guards against requests that are queued for a server that has stopped
// answering.
func TestRequestForStalledServerIsRefused(t *testing.T) {
	p := newPool(Server{ID: "s", Slots: 1})
	p.Offer(start, request(1, start))
	now := start.Add(1500 * time.Millisecond)
	require.Equal(t, Refused, p.Offer(now, request(2, now)).Verdict)
}

// Guards against an in-flight limit that falls when a server with free slots
// refuses requests at random. Only a refusal for lack of capacity lowers it.
func TestOnlyCapacityRefusalsLowerTheLimit(t *testing.T) {
	p := newPool(Server{ID: "s", Slots: 6})
	for id := uint64(1); id <= 40; id++ {
		require.Equal(t, Granted, p.Offer(start, request(id, start)).Verdict)
		p.Finish(start, id, Result{})
	}
	for id := uint64(100); id < 106; id++ {
		require.Equal(t, Granted, p.Offer(start, request(id, start)).Verdict)
	}
	p.Finish(start, 100, Result{Full: true})
	require.Equal(t, Queued, p.Offer(start, request(200, start)).Verdict)
}

// Guards against a slot that stays taken after the VM that used it has crashed.
func TestExpiredLeaseFreesSlot(t *testing.T) {
	p := newPool(Server{ID: "s", Slots: 1})
	r := request(1, start)
	p.Offer(start, r)
	now := start.Add(r.Lease + time.Millisecond)
	require.Equal(t, Granted, p.Offer(now, request(2, now)).Verdict)
}

// Guards against a pooled request that goes to another data centre while a server
// in its own is free, and against a retry at a server that was already tried.
func TestPoolPrefersUntriedServerInSameDataCentre(t *testing.T) {
	p := newPool(Server{ID: "far", DataCentre: "x", Slots: 2}, Server{ID: "near", DataCentre: "y", Slots: 2})
	r := request(1, start)
	r.DataCentre = "y"
	require.Equal(t, topo.ServerID("near"), p.Offer(start, r).Server)
	r = request(2, start)
	r.DataCentre, r.Avoid = "y", []topo.ServerID{"near"}
	require.Equal(t, topo.ServerID("far"), p.Offer(start, r).Server)
}

// outcome summarises what the callers of a simulated load received.
type outcome struct {
	// prompt and late count answers within the objective and after it.
	prompt, late int
	// refused counts refusals; waitBeforeRefusal is the sum of the times that
	// refused requests were queued.
	refused           int
	waitBeforeRefusal time.Duration
}

// simulate runs a load of twice the capacity on one server. If naive is set,
// requests are served in the order of arrival and none is refused.
func simulate(naive bool) (out outcome) {
	const work, objective, deadline = 100 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second
	p := newPool(Server{ID: "s", Slots: 2})
	arrived, ends := map[uint64]time.Time{}, map[uint64]time.Time{}
	var fifo []uint64
	decide := func(now time.Time, d Decision) {
		switch d.Verdict {
		case Granted:
			ends[d.ID] = now.Add(work)
		case Refused:
			out.refused++
			out.waitBeforeRefusal += now.Sub(arrived[d.ID])
		}
	}
	for ms := 0; ms < 20000; ms += 5 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for id, at := range ends {
			if now.Before(at) {
				continue
			}
			delete(ends, id)
			p.Finish(now, id, Result{ServiceTime: work})
			if at.Sub(arrived[id]) <= objective {
				out.prompt++
			} else {
				out.late++
			}
		}
		if ms%25 == 0 {
			id := uint64(ms + 1)
			arrived[id] = now
			r := request(id, now)
			r.StartBy, r.PromptBy = now.Add(deadline), now.Add(objective-work)
			if naive {
				fifo = append(fifo, id)
			} else {
				decide(now, p.Offer(now, r))
			}
		}
		if naive {
			for len(ends) < 2 && len(fifo) > 0 {
				ends[fifo[0]] = now.Add(work)
				fifo = fifo[1:]
			}
			continue
		}
		for _, d := range p.Tick(now) {
			decide(now, d)
		}
	}
	return out
}

// Guards against a queue that serves every request too late when the load
// exceeds the capacity: 800 requests arrive and 400 can be served.
func TestOverloadServesCallersInTime(t *testing.T) {
	pool, naive := simulate(false), simulate(true)
	t.Logf("answered within the objective: %d by the pool, %d in order of arrival", pool.prompt, naive.prompt)
	require.Greater(t, pool.prompt, 320)
	require.Greater(t, pool.prompt, 3*naive.prompt)
}

// Guards against requests that stay queued until shortly before their deadline
// while later arrivals are served first. They must be refused while their
// callers still have time to retry.
func TestOverloadRefusesSoon(t *testing.T) {
	got := simulate(false)
	mean := got.waitBeforeRefusal / time.Duration(got.refused)
	t.Logf("%+v, mean time until refusal %v", got, mean)
	require.Less(t, mean, 400*time.Millisecond, "mean time until refusal must be below the objective")
	require.Greater(t, got.prompt+got.late, 380, "answers, of 400 at full utilisation")
}

// Guards against refused callers that retry together because all got the same
// delay, or that are told to retry shortly before their deadline.
func TestRetryDelaysAreSpread(t *testing.T) {
	p := newPool(Server{ID: "s", Slots: 1})
	left, earliest, latest := 4*time.Second, time.Hour, time.Duration(0)
	for id := uint64(1); id < 400; id++ {
		r := request(id, start)
		r.StartBy = start.Add(left)
		d := p.Offer(start, r)
		if d.Verdict != Refused {
			continue
		}
		earliest, latest = min(earliest, d.RetryAfter), max(latest, d.RetryAfter)
	}
	t.Logf("retry delays from %v to %v", earliest, latest)
	require.LessOrEqual(t, latest, left/3)
	require.Greater(t, latest-earliest, left/6)
}

// Guards against a server that crashes because the bodies of the requests that it holds
// exceed its memory: what does not fit waits or goes to another server.
func TestHeldBytesAreBounded(t *testing.T) {
	p := New(rand.New(rand.NewPCG(1, 2)), 1)
	p.BoundHeldBytes(100)
	p.SetServers(start, []Server{{ID: "a", Slots: 4}, {ID: "b", Slots: 4}})
	body := func(id uint64, bytes int64) Decision {
		r := request(id, start)
		r.Bytes = bytes
		return p.Offer(start, r)
	}
	first, second := body(1, 150), body(2, 60)
	require.Equal(t, Granted, first.Verdict, "a body above the bound is sent alone")
	require.Equal(t, Granted, second.Verdict)
	require.NotEqual(t, first.Server, second.Server)
	require.Equal(t, Queued, body(3, 60).Verdict)
	p.Finish(start, 1, Result{ServiceTime: 10 * time.Millisecond})
	decisions := p.Tick(start.Add(sweepInterval))
	require.Len(t, decisions, 1)
	require.Equal(t, first.Server, decisions[0].Server)
	require.Equal(t, Granted, body(4, 0).Verdict, "a request without a body needs no room")
}
