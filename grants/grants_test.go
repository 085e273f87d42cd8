package grants

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

var testStart = time.Unix(1_700_000_000, 0)

type running map[topo.SliceID]int

func (r running) Running(id topo.SliceID) int { return r[id] }
func (r running) Total() (n int) {
	for _, k := range r {
		n += k
	}
	return n
}

// fixture is a machine with a simulated server and clock. The server's clock
// runs at rate times the speed of the machine's.
type fixture struct {
	m       *Machine
	t       time.Duration
	rate    float64
	boot    string
	held    map[topo.SliceID]topo.Fence
	expires uint64
	run     running
	version slicemap.Version
	down    bool
	calls   []Call
}

// newFixture returns a fixture whose VM is the home VM of a server that owns all
// 4 slices, 0 to 3. checks is whether the server checks grants.
func newFixture(checks bool) *fixture {
	r := &fixture{m: New("vm1", "s1"), rate: 1, boot: "b1", held: map[topo.SliceID]topo.Fence{}, run: running{},
		version: slicemap.Version{Term: 2, Seq: 1}}
	r.table(checks, func(b *slicemap.Builder) {})
	r.lease(ServerTTL)
	return r
}

// table passes the next version of the table, modified by change, to the machine.
func (r *fixture) table(checks bool, change func(*slicemap.Builder)) {
	b := slicemap.NewBuilder(slicemap.Empty())
	if r.m.desired != nil {
		b = slicemap.NewBuilder(r.m.desired.Table)
		r.version.Seq++
	} else {
		b.AddService("ledger", topo.Keyed, 4)
		b.SetServer("ledger", 0, slicemap.Server{ID: "s1", State: slicemap.ServerServing, ChecksGrants: checks,
			Home: "vm1", HomeSince: r.version, NoPriorLease: true})
		b.SetServer("ledger", 1, slicemap.Server{ID: "s2", State: slicemap.ServerServing, Home: "vm2"})
		for id := range topo.SliceID(4) {
			b.SetEntry("ledger", id, r.entry(0, slicemap.Serving))
		}
	}
	change(b)
	t, _ := b.Build(r.version)
	r.m.SetTable(r.now(), DesiredOf(t, "vm1")["s1"])
}

func (r *fixture) entry(owner uint16, p slicemap.Phase) slicemap.Entry {
	return slicemap.Entry{Fence: r.version, Owner: owner, Next: slicemap.NoOwner, Phase: p}
}

func (r *fixture) now() time.Time { return testStart.Add(r.t) }
func (r *fixture) ms() uint64     { return 5000 + uint64(float64(r.t)*r.rate/float64(time.Millisecond)) }
func (r *fixture) lease(d time.Duration) {
	r.m.SetVMLease(r.now(), VMLease{End: r.now().Add(d), Term: 2, Required: slicemap.Version{Term: 2, Seq: 1}})
}

func (r *fixture) serve(c Call) Reply {
	if c.BootID != "" && c.BootID != r.boot || c.ExpiresMs > 0 && c.ExpiresMs <= r.ms() {
		return Reply{BootID: r.boot, ClockMs: r.ms(), Term: c.Term}
	}
	r.expires = max(r.expires, c.ExpiresMs)
	out := Reply{BootID: r.boot, ClockMs: r.ms(), Term: c.Term, Accepted: true}
	for _, id := range c.Slices {
		if delete(r.held, id); c.Op == OpGrant {
			r.held[id] = c.Fence()
		}
	}
	for id, f := range r.held {
		if c.Op == OpClaims {
			out.Slices = append(out.Slices, Claim{id, f})
		}
	}
	return out
}

func (r *fixture) owns(id topo.SliceID) bool {
	_, ok := r.held[id]
	return ok && r.ms() < r.expires
}

// step runs the machine for d and renews the VM lease every 10 ms. Each call
// takes 2 ms.
func (r *fixture) step(d time.Duration) {
	for end := r.t + d; r.t < end; r.t += 10 * time.Millisecond {
		r.lease(ServerTTL)
		c, ok := r.m.Step(r.now(), r.run)
		if !ok {
			continue
		}
		r.calls = append(r.calls, c)
		if !r.down {
			r.t += time.Millisecond
			reply := r.serve(c)
			r.t += time.Millisecond
			r.m.Reply(r.now(), c.ID, reply)
		}
	}
}

func (r *fixture) maySend(id topo.SliceID) bool {
	_, ok := r.m.MaySend(r.now(), id, r.m.desired.Entries[id].Fence)
	return ok
}

func (r *fixture) report() Report {
	rep, _ := r.m.Report(r.now())
	return rep
}

// Guards against sending before the server holds the slice, under a fence other
// than the table's, or after the end of the VM lease.
func TestMaySend(t *testing.T) {
	r := newFixture(true)
	require.False(t, r.maySend(1))
	r.step(50 * time.Millisecond)
	require.True(t, r.maySend(1))
	require.True(t, r.owns(1))
	_, ok := r.m.MaySend(r.now(), 1, topo.Fence{Term: 2, Seq: 9})
	require.False(t, ok)
	r.t += ServerTTL
	require.False(t, r.maySend(1))
	require.Equal(t, []Op{OpClaims, OpGrant}, []Op{r.calls[0].Op, r.calls[1].Op})
	// The clock reading was 5001. The server lease must not outlast the VM
	// lease, which was renewed 10 ms after the call that took the reading.
	require.LessOrEqual(t, r.calls[1].ExpiresMs, uint64(5001+1200))
	require.Greater(t, r.calls[1].ExpiresMs, uint64(5001+1180))
}

// Guards against a drain that is reported while requests run or before the
// server has accepted the revocation.
func TestDrainIsReportedAfterRevocation(t *testing.T) {
	r := newFixture(true)
	r.step(50 * time.Millisecond)
	r.run[1] = 1
	r.table(true, func(b *slicemap.Builder) { b.SetEntry("ledger", 1, r.entry(0, slicemap.Draining)) })
	require.False(t, r.maySend(1))
	r.step(100 * time.Millisecond)
	require.Empty(t, r.report().Drained)
	require.True(t, r.owns(1), "slice revoked while a request was running")
	delete(r.run, 1)
	r.down = true
	r.step(100 * time.Millisecond)
	require.Empty(t, r.report().Drained)
	r.down = false
	r.step(CallTimeout + 100*time.Millisecond)
	require.Equal(t, []topo.SliceID{1}, r.report().Drained)
	require.False(t, r.owns(1))
}

// Guards against a drain that waits for a response of a server that doesn't
// check grants, or that doesn't wait for the requests in flight.
func TestDrainOfUnfencedServer(t *testing.T) {
	r := newFixture(false)
	r.step(50 * time.Millisecond)
	require.True(t, r.maySend(2))
	r.run[2], r.down = 1, true
	r.table(false, func(b *slicemap.Builder) { b.SetEntry("ledger", 2, r.entry(0, slicemap.Draining)) })
	r.step(100 * time.Millisecond)
	require.False(t, r.maySend(2))
	require.Empty(t, r.report().Drained)
	r.run[2] = 0
	r.step(20 * time.Millisecond)
	require.Equal(t, []topo.SliceID{2}, r.report().Drained)
}

// Guards against treating the slices of a rebooted server as still held: they
// must be granted again, and the server must be reported as cold.
func TestRebootedServer(t *testing.T) {
	r := newFixture(true)
	r.step(50 * time.Millisecond)
	r.boot, r.held, r.expires = "b2", map[topo.SliceID]topo.Fence{}, 0
	r.step(RenewInterval + 100*time.Millisecond)
	require.True(t, r.report().Cold)
	require.True(t, r.owns(3))
	require.True(t, r.maySend(3))
	r.step(ColdPeriod)
	require.False(t, r.report().Cold)
}

// Guards against a loss that is reported before the lease has lapsed, and
// against granting the lost slices again, since the controller may have assigned
// them to other servers.
func TestLostServer(t *testing.T) {
	r := newFixture(true)
	r.step(50 * time.Millisecond)
	r.down = true
	for r.owns(0) {
		require.False(t, r.report().Lost)
		r.step(10 * time.Millisecond)
	}
	r.step(RenewInterval)
	require.True(t, r.report().Lost)
	require.Equal(t, r.version, r.report().LostAt)
	r.down = false
	r.step(time.Second)
	require.True(t, r.report().Lost, "loss must be reported until the table reassigns the slices")
	require.False(t, r.owns(0))
	r.table(true, func(b *slicemap.Builder) {
		for id := range topo.SliceID(3) {
			b.SetEntry("ledger", id, r.entry(1, slicemap.Serving))
		}
		b.SetEntry("ledger", 3, r.entry(0, slicemap.Serving))
	})
	r.step(100 * time.Millisecond)
	require.False(t, r.report().Lost)
	require.False(t, r.owns(0))
	require.True(t, r.maySend(3))
}

// Guards against granting or revoking while a new controller collects claims,
// and against claims and missing slices that are not reported to it.
func TestRebuild(t *testing.T) {
	r := newFixture(true)
	r.table(true, func(b *slicemap.Builder) { b.SetEntry("ledger", 2, r.entry(1, slicemap.Serving)) })
	for id, seq := range map[topo.SliceID]uint64{0: 1, 2: 9, 3: 1} {
		r.held[id] = topo.Fence{Term: 2, Seq: seq}
	}
	r.m.SetVMLease(r.now(), VMLease{End: r.now().Add(time.Hour), Term: 3, Required: r.version})
	r.step(time.Second)
	rep := r.report()
	require.Equal(t, topo.Term(3), rep.ClaimsTerm)
	require.Equal(t, []Claim{{2, topo.Fence{Term: 2, Seq: 9}}}, rep.Claims)
	require.Equal(t, []topo.SliceID{1}, rep.Missing)
	for _, c := range r.calls {
		require.Contains(t, []Op{OpClaims, OpRenew}, c.Op)
	}
	require.Len(t, r.held, 3)
}

// Guards against reporting a release while requests run, and against any request or
// control call to the server afterwards.
func TestRelease(t *testing.T) {
	r := newFixture(true)
	r.step(50 * time.Millisecond)
	r.run[0] = 1
	r.table(true, func(b *slicemap.Builder) {
		srv := r.m.desired.Server
		srv.Releasing, srv.ReleasingSince = true, r.version
		b.SetServer("ledger", 0, srv)
	})
	r.step(50 * time.Millisecond)
	require.False(t, r.maySend(0) || r.report().Released)
	r.run[0] = 0
	r.step(50 * time.Millisecond)
	require.True(t, r.report().Released)
	n := len(r.calls)
	r.step(time.Second)
	require.Len(t, r.calls, n)
}

// Guards against errors in the lease arithmetic. With any clock drift, delay
// and loss of calls, a server that checks grants must hold a lease whenever the
// home VM may send, and must hold none when it is reported as lost.
func TestLeaseArithmetic(t *testing.T) {
	for name, v := range map[string]string{"rapid.checks": "200", "rapid.steps": "60", "rapid.seed": "1", "rapid.nofailfile": "true"} {
		require.NoError(t, flag.Set(name, v))
	}
	losses, sends := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		r := newFixture(true)
		r.rate = 1 + rapid.Float64Range(-0.99, 0.99).Draw(t, "drift")*MaxDrift
		ms := func(name string, limit int) time.Duration {
			return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
		}
		var sent *Call
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				if c, ok := r.m.Step(r.now(), r.run); ok {
					sent = &c
				}
			},
			"wait":  func(t *rapid.T) { r.t += ms("wait", 700) },
			"lease": func(t *rapid.T) { r.lease(ms("lease", 1200)) },
			"exchange": func(t *rapid.T) {
				r.lease(ServerTTL)
				r.step(ms("good", 500))
				sent = nil
			},
			"arrive": func(t *rapid.T) {
				if sent == nil {
					return
				}
				c := *sent
				sent = nil
				r.t += ms("there", 300)
				reply := r.serve(c)
				r.t += ms("back", 300)
				if rapid.Bool().Draw(t, "answered") {
					r.m.Reply(r.now(), c.ID, reply)
				}
			},
			"down": func(t *rapid.T) {
				r.down = true
				r.step(ms("down", 2500))
				r.down = false
			},
			"": func(t *rapid.T) {
				for id := range topo.SliceID(4) {
					if r.maySend(id) {
						sends++
						require.True(t, r.owns(id), "VM may send for slice %d without a server lease at %s", id, r.t)
					}
					if r.m.lost {
						losses++
						require.False(t, r.owns(id), "lost server still holds slice %d at %s", id, r.t)
					}
				}
			},
		})
	})
	require.Positive(t, losses)
	require.Positive(t, sends)
}
