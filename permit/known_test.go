package permit

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitlock.example/godwitlock/workload"
)

// known returns a request of a route whose work is known.
func known(id uint64, now time.Time, route string, work, objective, deadline time.Duration) Request {
	return Request{
		ID: id, Route: route, Priority: 1, Work: workload.Estimate{Mean: work, Samples: 100},
		ObjectiveBy: now.Add(objective), AnswerBy: now.Add(deadline),
		StartBy: now.Add(deadline * 85 / 100), PromptBy: now.Add(objective / 2), Lease: 2 * deadline,
	}
}

// fill occupies the slots of a pool with n requests.
func fill(t *testing.T, p *Pool, n int) {
	t.Helper()
	for id := range n {
		require.Equal(t, Granted, p.Offer(start, known(uint64(1000+id), start, "fill", 100*time.Millisecond, time.Second, 4*time.Second)).Verdict)
	}
}

// served finishes running requests one at a time and returns the IDs that get their
// slot.
func served(p *Pool, now time.Time, n int) []uint64 {
	var out []uint64
	running := uint64(1000)
	for range n {
		p.Finish(now, running, Result{ServiceTime: 100 * time.Millisecond})
		for _, d := range p.Tick(now) {
			if d.Verdict == Granted {
				out = append(out, d.ID)
				running = d.ID
			}
		}
	}
	return out
}

// Guards against an order of arrival, or of objectives, within a priority: the request
// that must start first, since its work is long, comes first.
func TestLatestPromptStartGoesFirst(t *testing.T) {
	p := newPool(Server{ID: "s", Slots: 1})
	fill(t, p, 1)
	require.Equal(t, Queued, p.Offer(start, known(1, start, "short", 50*time.Millisecond, 700*time.Millisecond, 4*time.Second)).Verdict)
	require.Equal(t, Queued, p.Offer(start, known(2, start, "long", 600*time.Millisecond, 900*time.Millisecond, 4*time.Second)).Verdict)
	require.Equal(t, []uint64{2, 1}, served(p, start, 2))
}

// Guards against a request of a slow server that counts as prompt although the server's
// response will come after the objective.
func TestLatestPromptStartFollowsTheSlowness(t *testing.T) {
	offer := func(slowness time.Duration) int {
		p := newPool(Server{ID: "s", Slots: 1})
		for id := range uint64(100) {
			p.Offer(start, known(id, start, "r", 100*time.Millisecond, time.Second, 4*time.Second))
			p.Finish(start, id, Result{ServiceTime: slowness * 100 * time.Millisecond})
		}
		fill(t, p, 1)
		p.measure(start.Add(sweepInterval))
		for id := range uint64(20) {
			p.Offer(start.Add(sweepInterval), known(id, start, "r", 100*time.Millisecond, time.Second, 4*time.Second))
		}
		return p.queue.rank(false, 1).waiting
	}
	usual, slow := offer(1), offer(3)
	require.InDelta(t, 9, usual, 1, "prompt requests of 100 ms within an objective of 1 s")
	require.InDelta(t, 2, slow, 1, "prompt requests that take 300 ms")
}

// Guards against latest starts for servers of usual speed: on servers that are three times
// slower, a response of 100 ms takes 300 ms, which has to fit into the objective.
func TestLatestStartsUseTheSlowness(t *testing.T) {
	for slowness, prompt := range map[time.Duration]int{1: 1, 3: 0} {
		p := newPool(Server{ID: "s", Slots: 1})
		for id := range uint64(200) {
			p.Offer(start, known(id, start, "r", 100*time.Millisecond, time.Second, 4*time.Second))
			p.Finish(start, id, Result{ServiceTime: slowness * 100 * time.Millisecond})
		}
		fill(t, p, 1)
		now := start.Add(sweepInterval)
		p.measure(now)
		r := known(1, now, "r", 100*time.Millisecond, 350*time.Millisecond, 4*time.Second)
		promptBy, startBy := p.latestStarts(r)
		require.WithinDuration(t, r.ObjectiveBy.Add(-slowness*100*time.Millisecond), promptBy, time.Millisecond)
		require.WithinDuration(t, r.AnswerBy.Add(-slowness*100*time.Millisecond), startBy, time.Millisecond)
		require.Equal(t, Queued, p.Offer(now, r).Verdict)
		require.Equal(t, prompt, p.queue.rank(false, 1).waiting, "slowness %d", slowness)
	}
}

// Guards against a long request that makes several short ones late when not all of them
// can be on time.
func TestMostWorkIsPutLast(t *testing.T) {
	p := newPool(Server{ID: "s", Slots: 1})
	fill(t, p, 1)
	// It is first by its latest prompt start.
	require.Equal(t, Queued, p.Offer(start, known(1, start, "long", 500*time.Millisecond, 900*time.Millisecond, 4*time.Second)).Verdict)
	for id := uint64(2); id < 6; id++ {
		require.Equal(t, Queued, p.Offer(start, known(id, start, "short", 150*time.Millisecond, 800*time.Millisecond, 4*time.Second)).Verdict)
	}
	p.Tick(start.Add(sweepInterval))
	require.Equal(t, []uint64{2, 3, 4, 5, 1}, served(p, start.Add(sweepInterval), 5))
}

// Guards against a kind that gets nothing while others of its priority, or more urgent
// ones, exceed the capacity.
func TestNoKindStarves(t *testing.T) {
	got, all := overload(func(id uint64, now time.Time) (Request, string) {
		r := known(id, now, "urgent", 50*time.Millisecond, 300*time.Millisecond, time.Second)
		if id%4 == 0 {
			r.Route, r.Priority = "rest", 2
		}
		return r, r.Route
	})
	t.Log(got, all)
	require.Greater(t, got["rest"], all/4)
	require.Greater(t, got["urgent"], got["rest"])
}

// Guards against a route that is refused for ever because its work is over-estimated, so
// that no response corrects the estimate.
func TestOverestimatedKindIsServed(t *testing.T) {
	p := newPool(Server{ID: "s", Slots: 1})
	var running uint64
	wrong := 0
	for id := uint64(1); id < 800; id++ {
		now := start.Add(time.Duration(id) * 25 * time.Millisecond)
		r := known(id, now, "right", 50*time.Millisecond, 300*time.Millisecond, time.Second)
		if id%4 == 0 {
			r = known(id, now, "wrong", 5*time.Second, 300*time.Millisecond, time.Second)
		}
		if id%2 == 0 && running != 0 {
			p.Finish(now, running, Result{ServiceTime: 50 * time.Millisecond})
			running = 0
		}
		for _, d := range append(p.Tick(now), p.Offer(now, r)) {
			if d.Verdict == Granted {
				running = d.ID
				if d.ID%4 == 0 {
					wrong++
				}
			}
		}
	}
	require.Greater(t, wrong, 5)
}

// Guards against a request that waits although it cannot be answered in time. The limit
// of a request whose work is not known would admit it.
func TestRequestThatCannotBeAnsweredInTimeIsRefused(t *testing.T) {
	p := newPool(Server{ID: "s", Slots: 1})
	fill(t, p, 1)
	r := known(1, start, "r", 950*time.Millisecond, 500*time.Millisecond, time.Second)
	require.Equal(t, Refused, p.Offer(start, r).Verdict)
	r.Work, r.ObjectiveBy, r.AnswerBy = workload.Estimate{}, time.Time{}, time.Time{}
	require.Equal(t, Queued, p.Offer(start, r).Verdict)
}

// Guards against a latest start that does not follow from the work: a request that would
// start within most of its time, but end after it, waits in vain.
func TestLatestStartFollowsTheWork(t *testing.T) {
	offer := func(work time.Duration) Verdict {
		p := newPool(Server{ID: "s", Slots: 10})
		fill(t, p, 10)
		return p.Offer(start, known(1, start, "r", work, 500*time.Millisecond, time.Second)).Verdict
	}
	require.Equal(t, Queued, offer(700*time.Millisecond))
	require.Equal(t, Refused, offer(980*time.Millisecond))
}

// Guards against a request of varying work that starts as late as one whose work is
// always the same.
func TestDeviationIsAMargin(t *testing.T) {
	p := newPool(Server{ID: "s", Slots: 1})
	r := known(1, start, "r", 300*time.Millisecond, time.Second, 4*time.Second)
	p.measure(start)
	steady, _ := p.latestStarts(r)
	r.Work.Deviation = 100 * time.Millisecond
	varying, _ := p.latestStarts(r)
	require.Equal(t, start.Add(700*time.Millisecond), steady)
	require.Positive(t, steady.Sub(varying))
	require.Equal(t, time.Duration(promptMargin*100)*time.Millisecond, steady.Sub(varying))
}

// Guards against a floor of a less urgent kind at the cost of a more urgent one that is
// served even less often.
func TestFloorDoesNotPassAMoreUrgentKind(t *testing.T) {
	ks := kinds{}
	count := func(route string, priority, served, decided int) *kind {
		k := ks.of(Request{Route: route, Priority: priority})
		for i := range decided {
			k.decide(start, i < served)
		}
		return k
	}
	count("most", 1, 90, 100)
	rest := count("rest", 2, 5, 100)
	require.True(t, ks.belowFloor(start, rest))
	count("urgent", 0, 2, 100)
	require.False(t, ks.belowFloor(start, rest))
}

// Guards against a VM that rarely sends a route, and so has no estimate of its work,
// whose requests are ordered as if nothing were known of them.
func TestWorkIsKnownFromOtherVMs(t *testing.T) {
	p := newPool(Server{ID: "s", Slots: 1})
	fill(t, p, 1)
	r := known(1, start, "fill", 0, time.Second, 4*time.Second)
	r.Work = workload.Estimate{}
	require.Equal(t, Queued, p.Offer(start, r).Verdict)
	require.Equal(t, 100*time.Millisecond, p.queue.byID[1].Work.Mean)
}

// Guards against a Retry-After that does not tell when there is room: a caller behind a
// longer queue of more urgent requests must wait longer, and callers must not return
// together or when too little of their time is left.
func TestRetryAfterIsWhenThereIsRoom(t *testing.T) {
	delays := func(ahead int, deadline time.Duration) (earliest, latest time.Duration) {
		p := newPool(Server{ID: "s", Slots: 4})
		fill(t, p, 4)
		for id := range uint64(ahead) {
			r := known(id, start, "urgent", 100*time.Millisecond, 10*time.Second, 20*time.Second)
			r.Priority = 0
			require.Equal(t, Queued, p.Offer(start, r).Verdict)
		}
		for id := range uint64(200) {
			d := p.Offer(start, known(10_000+id, start, "r", 100*time.Millisecond, 200*time.Millisecond, deadline))
			if d.Verdict != Refused {
				continue
			}
			if earliest == 0 {
				earliest = d.RetryAfter
			}
			earliest, latest = min(earliest, d.RetryAfter), max(latest, d.RetryAfter)
		}
		require.Positive(t, latest)
		return earliest, latest
	}
	fewFrom, fewTo := delays(5, 3*time.Second)
	manyFrom, manyTo := delays(15, 3*time.Second)
	t.Logf("delays %v to %v behind 5, %v to %v behind 15", fewFrom, fewTo, manyFrom, manyTo)
	require.Greater(t, manyFrom, fewFrom)
	require.Greater(t, manyTo, fewTo)
	require.Greater(t, float64(manyTo), 1.5*float64(manyFrom))
	_, shortTo := delays(15, 600*time.Millisecond)
	require.LessOrEqual(t, shortTo, 200*time.Millisecond, "a third of the time left")
}

// Guards against a pass over all servers for every decision on a request.
func TestCapacityIsMeasuredAtIntervals(t *testing.T) {
	p := newPool(Server{ID: "s", Slots: 1})
	fill(t, p, 1)
	for id := range uint64(10) {
		p.Offer(start.Add(time.Millisecond), known(id, start, "r", 100*time.Millisecond, time.Second, 4*time.Second))
	}
	require.Equal(t, start, p.pace.measuredAt)
}

// Guards against a timeline whose order, or whose sums of work, differ from a search of
// all requests.
func TestTimelineMatchesSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tl timeline
		type entry struct {
			at time.Time
			w  *waiter
		}
		var all []entry
		for seq := uint64(1); seq < 60; seq++ {
			at := start.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "at")) * time.Millisecond)
			if len(all) > 0 && rapid.Bool().Draw(t, "remove") {
				i := rapid.IntRange(0, len(all)-1).Draw(t, "index")
				tl.remove(all[i].at, all[i].w)
				all = slices.Delete(all, i, i+1)
			} else {
				w := &waiter{seq: seq, Request: Request{ID: seq, Work: workload.Estimate{Mean: time.Duration(rapid.IntRange(1, 9).Draw(t, "work"))}}}
				tl.add(at, w)
				all = append(all, entry{at, w})
			}
			slices.SortStableFunc(all, func(a, b entry) int {
				if c := a.at.Compare(b.at); c != 0 {
					return c
				}
				return int(a.w.seq) - int(b.w.seq)
			})
			var got, want []uint64
			var work, most, total time.Duration
			count := 0
			for _, e := range all {
				want = append(want, e.w.ID)
				total += e.w.Work.Mean
				if !e.at.After(at) {
					count++
					work += e.w.Work.Mean
					most = max(most, e.w.Work.Mean)
				}
			}
			tl.each(func(w *waiter) { got = append(got, w.ID) })
			require.Equal(t, want, got)
			gotCount, gotWork, gotMost := tl.before(at)
			require.Equal(t, count, gotCount)
			require.Equal(t, []time.Duration{work, most, total}, []time.Duration{gotWork, gotMost, tl.work()})
			if len(all) > 0 {
				require.Equal(t, all[0].w, tl.first())
			} else {
				require.Nil(t, tl.first())
			}
		}
	})
}

// overload offers twice the capacity of a server for 30 s, to which refused callers come
// back once. It returns the share of the callers of each kind that got a slot, and of
// all. request returns the request of a caller, and its kind.
func overload(request func(id uint64, now time.Time) (Request, string)) (got map[string]float64, all float64) {
	p := newPool(Server{ID: "s", Slots: 1})
	sum, offered, kinds := map[string]float64{}, map[string]float64{}, map[uint64]string{}
	again := map[int][]uint64{}
	var running uint64
	step := 0
	const stepTime = 25 * time.Millisecond
	decide := func(r Request, d Decision) {
		switch {
		case d.Verdict == Granted:
			running = d.ID
			sum[kinds[d.ID]]++
		case d.Verdict == Refused && r.ID != 0:
			at := step + 1 + int(d.RetryAfter/stepTime)
			again[at] = append(again[at], r.ID)
		}
	}
	requests := map[uint64]Request{}
	for ; step < 1200; step++ {
		now := start.Add(time.Duration(step) * stepTime)
		if step%2 == 0 && running != 0 {
			p.Finish(now, running, Result{ServiceTime: 2 * stepTime})
			running = 0
		}
		id := uint64(step + 1)
		r, kind := request(id, now)
		kinds[id], kinds[id+1_000_000] = kind, kind
		offered[kind]++
		requests[id] = r
		for _, d := range p.Tick(now) {
			decide(requests[d.ID], d)
		}
		decide(r, p.Offer(now, r))
		for _, id := range again[step] {
			r, _ := request(id, now)
			r.ID += 1_000_000
			decide(Request{}, p.Offer(now, r))
		}
	}
	got = map[string]float64{}
	var served, total float64
	for kind, n := range offered {
		got[kind] = sum[kind] / n
		served += sum[kind]
		total += n
	}
	return got, served / total
}

// Guards against a customer with a high load that crowds out another one when the work
// of requests is known.
func TestCustomersShareSlotsFairlyWithKnownWork(t *testing.T) {
	got, _ := overload(func(id uint64, now time.Time) (Request, string) {
		r := known(id, now, "r", 50*time.Millisecond, 400*time.Millisecond, time.Second)
		r.Customer = "flood"
		if id%8 == 0 {
			r.Customer = "small"
		}
		return r, string(r.Customer)
	})
	t.Log(got)
	require.Greater(t, got["small"], 0.9, "share of the requests of a customer that needs a quarter of the capacity")
}

// Guards against VMs of an earlier version, which send no estimates, whose requests get
// no slots beside those of newer VMs during a roll-out, and the reverse.
func TestRequestsOfBothVersionsAreServed(t *testing.T) {
	got, all := overload(func(id uint64, now time.Time) (Request, string) {
		r := known(id, now, "r", 50*time.Millisecond, 400*time.Millisecond, time.Second)
		if id/2%2 == 0 {
			return r, "new"
		}
		r.Work, r.Route, r.ObjectiveBy, r.AnswerBy = workload.Estimate{}, "", time.Time{}, time.Time{}
		return r, "old"
	})
	t.Log(got, all)
	require.Greater(t, got["old"], all/4)
	require.Greater(t, got["new"], all/4)
}
