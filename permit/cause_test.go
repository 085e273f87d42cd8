package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/health"
	"godwitlock.example/godwitlock/topo"
)

// knownUrgent returns a request of 100 ms that precedes those of known with the same
// times.
func knownUrgent(id uint64, now time.Time) Request {
	r := known(id, now, "urgent", 100*time.Millisecond, time.Second, 4*time.Second)
	r.Priority = 0
	return r
}

// decisionOf ticks the pool until it decides on a request, for 10 s at most.
func decisionOf(t *testing.T, p *Pool, from time.Time, id uint64) Decision {
	t.Helper()
	for now := from; now.Before(from.Add(10 * time.Second)); now = now.Add(sweepInterval) {
		for _, d := range p.Tick(now) {
			if d.ID == id {
				return d
			}
		}
	}
	t.Fatal("no decision within 10 s")
	return Decision{}
}

// Guards against refusals whose cause misleads an operator: each cause is that of the
// condition which makes the pool refuse the request.
func TestCauseOfARefusal(t *testing.T) {
	short := func(id uint64, now time.Time) Request {
		return known(id, now, "r", 100*time.Millisecond, 300*time.Millisecond, 500*time.Millisecond)
	}
	for _, tc := range []struct {
		want  Cause
		known func(t *testing.T) Decision
		// unknown is the same for requests whose work is not known, unless nil.
		unknown func(t *testing.T) Decision
	}{
		{
			NoServer,
			func(*testing.T) Decision { return newPool().Offer(start, short(1, start)) },
			func(*testing.T) Decision { return newPool().Offer(start, request(1, start)) },
		},
		{
			Stalled,
			func(t *testing.T) Decision { p, now := stalledPool(t); return p.Offer(now, short(1, now)) },
			func(t *testing.T) Decision { p, now := stalledPool(t); return p.Offer(now, request(1, now)) },
		},
		{
			QueueFull,
			func(t *testing.T) Decision {
				p := newPool(Server{ID: "s", Slots: 1})
				fill(t, p, 1)
				offer := func(id uint64) Decision {
					return p.Offer(start, known(id, start, "r", time.Millisecond, time.Minute, time.Minute))
				}
				for id := uint64(1); id <= maxWaiting; id++ {
					require.Equal(t, Queued, offer(id).Verdict)
				}
				return offer(maxWaiting + 1)
			},
			func(t *testing.T) Decision {
				p := newPool(Server{ID: "s", Slots: 1})
				fill(t, p, 1)
				offer := func(id uint64) Decision {
					r := request(id, start)
					r.StartBy, r.PromptBy = start.Add(time.Hour), start.Add(time.Hour)
					return p.Offer(start, r)
				}
				for id := uint64(1); id <= maxWaiting; id++ {
					require.Equal(t, Queued, offer(id).Verdict)
				}
				return offer(maxWaiting + 1)
			},
		},
		{
			NoRoom,
			func(t *testing.T) Decision { return firstRefusal(t, short) },
			func(t *testing.T) Decision { return firstRefusal(t, request) },
		},
		{
			TooLate,
			func(t *testing.T) Decision {
				p := newPool(Server{ID: "s", Slots: 1})
				fill(t, p, 1)
				return p.Offer(start, known(1, start, "r", time.Second, 300*time.Millisecond, 500*time.Millisecond))
			},
			func(t *testing.T) Decision {
				p := newPool(Server{ID: "s", Slots: 1})
				fill(t, p, 1)
				r := request(1, start)
				r.StartBy = start.Add(-time.Millisecond)
				return p.Offer(start, r)
			},
		},
		{
			Overtaken,
			func(t *testing.T) Decision {
				p := newPool(Server{ID: "s", Slots: 1})
				fill(t, p, 1)
				require.Equal(t, Queued, p.Offer(start, known(1, start, "r", 100*time.Millisecond, time.Second, 1200*time.Millisecond)).Verdict)
				for id := uint64(2); id < 60; id++ {
					require.NotEqual(t, Granted, p.Offer(start, knownUrgent(id, start)).Verdict)
				}
				return decisionOf(t, p, start.Add(sweepInterval), 1)
			},
			func(t *testing.T) Decision {
				p := newPool(Server{ID: "s", Slots: 1})
				fill(t, p, 1)
				require.Equal(t, Queued, p.Offer(start, request(1, start)).Verdict)
				for id := uint64(2); id < 60; id++ {
					r := request(id, start)
					r.Priority, r.StartBy, r.PromptBy = 0, start.Add(time.Hour), start.Add(time.Hour)
					require.Equal(t, Queued, p.Offer(start, r).Verdict)
				}
				return decisionOf(t, p, start.Add(sweepInterval), 1)
			},
		},
		{
			HeldBytes,
			func(t *testing.T) Decision { return withoutRoomForBytes(t, short) },
			func(t *testing.T) Decision { return withoutRoomForBytes(t, request) },
		},
		{
			Ejected,
			func(t *testing.T) Decision { return withEjectedServer(t, short) },
			func(t *testing.T) Decision { return withEjectedServer(t, request) },
		},
	} {
		for name, refused := range map[string]func(*testing.T) Decision{"known": tc.known, "unknown": tc.unknown} {
			t.Run(tc.want.String()+"/"+name, func(t *testing.T) {
				d := refused(t)
				require.Equal(t, Refused, d.Verdict)
				require.Equal(t, tc.want.String(), d.Cause.String())
			})
		}
	}
}

// stalledPool returns a pool whose only server has not answered for longer than the
// stall time, and the time then.
func stalledPool(t *testing.T) (*Pool, time.Time) {
	p := newPool(Server{ID: "s", Slots: 1})
	r := request(1000, start)
	r.Lease = time.Hour
	require.Equal(t, Granted, p.Offer(start, r).Verdict)
	return p, start.Add(time.Minute)
}

// firstRefusal offers requests to a pool with one slot until one is refused.
func firstRefusal(t *testing.T, newRequest func(uint64, time.Time) Request) Decision {
	p := newPool(Server{ID: "s", Slots: 1})
	fill(t, p, 1)
	for id := uint64(1); id < maxWaiting; id++ {
		if d := p.Offer(start, newRequest(id, start)); d.Verdict == Refused {
			return d
		}
	}
	t.Fatal("no request was refused")
	return Decision{}
}

// withoutRoomForBytes returns the decision on a request that waits for a server which
// has free slots and no room for its body.
func withoutRoomForBytes(t *testing.T, newRequest func(uint64, time.Time) Request) Decision {
	p := New(newPool().rng, 1)
	p.BoundHeldBytes(100)
	p.SetServers(start, []Server{{ID: "s", Slots: 2}})
	first, second := newRequest(1, start), newRequest(2, start)
	first.Bytes, first.Lease, second.Bytes = 80, time.Hour, 80
	require.Equal(t, Granted, p.Offer(start, first).Verdict)
	require.Equal(t, Queued, p.Offer(start, second).Verdict)
	return decisionOf(t, p, start.Add(sweepInterval), 2)
}

// withEjectedServer returns the decision on a request that waits while the only server
// with free slots is ejected and no probe is due.
func withEjectedServer(t *testing.T, newRequest func(uint64, time.Time) Request) Decision {
	p := newPool(Server{ID: "bad", Slots: 4}, Server{ID: "a", Slots: 1}, Server{ID: "b", Slots: 1})
	ejected := topo.ServerID("")
	p.EjectServers(func(id topo.ServerID, s health.State) {
		if s.Ejected {
			ejected = id
		}
	})
	now, id := start, uint64(0)
	offer := func(lease time.Duration, excluded ...topo.ServerID) Decision {
		now, id = now.Add(20*time.Millisecond), id+1
		r := newRequest(id, now)
		r.Excluded, r.Lease = excluded, lease
		return p.Offer(now, r)
	}
	for i := 0; ejected == "" && i < 200; i++ {
		for _, others := range [][]topo.ServerID{{"a", "b"}, {"bad", "b"}, {"bad", "a"}} {
			d := offer(time.Hour, others...)
			require.Equal(t, Granted, d.Verdict)
			p.Finish(now, id, Result{Failed: d.Server == "bad" && i%5 != 0, ServiceTime: 100 * time.Millisecond})
		}
	}
	require.Equal(t, topo.ServerID("bad"), ejected)
	for range 2 {
		require.Equal(t, Granted, offer(time.Hour).Verdict)
	}
	if d := offer(time.Hour); d.Verdict == Refused {
		return d
	}
	return decisionOf(t, p, now.Add(sweepInterval), id)
}

// Guards against a wait that is not reported, or that begins anew when a request is
// put last, and against late starts that go uncounted.
func TestDecisionTellsTheWait(t *testing.T) {
	p := newPool(Server{ID: "s", Slots: 1})
	fill(t, p, 1)
	require.Equal(t, Queued, p.Offer(start, known(1, start, "r", 100*time.Millisecond, 400*time.Millisecond, 4*time.Second)).Verdict)
	require.Equal(t, Queued, p.Offer(start, known(2, start, "r", 100*time.Millisecond, 2*time.Second, 4*time.Second)).Verdict)
	p.Finish(start.Add(100*time.Millisecond), 1000, Result{ServiceTime: 100 * time.Millisecond})
	require.Equal(t, []Decision{{ID: 1, Verdict: Granted, Server: "s", Waited: 100 * time.Millisecond}}, p.Tick(start.Add(100*time.Millisecond)))

	require.Equal(t, Queued, p.Offer(start.Add(100*time.Millisecond), known(3, start, "r", 100*time.Millisecond, 400*time.Millisecond, 4*time.Second)).Verdict)
	p.Finish(start.Add(200*time.Millisecond), 1, Result{ServiceTime: 100 * time.Millisecond})
	require.Equal(t, uint64(3), p.Tick(start.Add(200 * time.Millisecond))[0].ID)
	require.Equal(t, Queued, p.Offer(start.Add(200*time.Millisecond), known(4, start, "r", 100*time.Millisecond, 420*time.Millisecond, 4*time.Second)).Verdict)
	// Its prompt start passes, and a sweep moves it to the late requests.
	p.Tick(start.Add(600 * time.Millisecond))
	p.Finish(start.Add(600*time.Millisecond), 3, Result{ServiceTime: 100 * time.Millisecond})
	p.Tick(start.Add(600 * time.Millisecond))
	p.Finish(start.Add(700*time.Millisecond), 2, Result{ServiceTime: 100 * time.Millisecond})
	require.Equal(t, []Decision{{ID: 4, Verdict: Granted, Server: "s", Waited: 500 * time.Millisecond, Late: true}}, p.Tick(start.Add(700*time.Millisecond)))
}

// Guards against refusals after a wait that look like refusals at once.
func TestRefusalTellsTheWait(t *testing.T) {
	p := newPool(Server{ID: "s", Slots: 1})
	fill(t, p, 1)
	require.Equal(t, Queued, p.Offer(start, known(1, start, "r", 100*time.Millisecond, 500*time.Millisecond, 700*time.Millisecond)).Verdict)
	for now := start; ; now = now.Add(sweepInterval) {
		require.True(t, now.Before(start.Add(time.Minute)), "no decision")
		if out := p.Tick(now); len(out) > 0 {
			require.Equal(t, Refused, out[0].Verdict)
			require.Equal(t, now.Sub(start), out[0].Waited)
			require.Positive(t, out[0].Waited)
			return
		}
	}
}

// Guards against requests of routes without an objective that all count as late.
func TestRequestWithoutAnObjectiveIsNotLate(t *testing.T) {
	r := request(1, start)
	r.PromptBy = start.Add(-time.Millisecond)
	require.False(t, newPool(Server{ID: "s", Slots: 1}).Offer(start, r).Late)
	// The VM that sends a request of known work says when its objective ends.
	r = known(2, start, "r", 100*time.Millisecond, 50*time.Millisecond, 4*time.Second)
	require.True(t, newPool(Server{ID: "s", Slots: 1}).Offer(start, r).Late)
}

// Guards against causes without a name, or that are lost on the way to another VM.
func TestCauseNames(t *testing.T) {
	seen := map[string]bool{}
	for c := range Cause(Causes) {
		require.Equal(t, c, ParseCause(c.String()))
		require.False(t, seen[c.String()])
		seen[c.String()] = true
	}
	require.Equal(t, NoCause, ParseCause("of a later version"))
	require.Empty(t, Cause(Causes).String())
}

// Guards against decisions that allocate memory for what only operators read.
func TestRefusalAllocatesNothing(t *testing.T) {
	p := newPool(Server{ID: "s", Slots: 1})
	require.Equal(t, Granted, p.Offer(start, request(1, start)).Verdict)
	late := request(2, start)
	late.StartBy = start.Add(-time.Millisecond)
	empty, r := newPool(), known(1, start, "r", 100*time.Millisecond, time.Second, 4*time.Second)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		if p.Offer(start, late).Cause != TooLate || empty.Offer(start, r).Cause != NoServer {
			panic("another cause")
		}
	}))
}
