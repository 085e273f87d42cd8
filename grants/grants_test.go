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
// 4 slices, 0 to 3. checks says whether the server checks grants.
func newFixture(checks bool) *fixture {
	f := &fixture{m: New("vm1", "s1"), rate: 1, boot: "b1", held: map[topo.SliceID]topo.Fence{}, run: running{},
		version: slicemap.Version{Term: 2, Seq: 1}}
	f.table(checks, func(b *slicemap.Builder) {})
	f.lease(ServerTTL)
	return f
}

// table passes the next version of the table, modified by change, to the machine.
func (f *fixture) table(checks bool, change func(*slicemap.Builder)) {
	b := slicemap.NewBuilder(slicemap.Empty())
	if f.m.desired != nil {
		b = slicemap.NewBuilder(f.m.desired.Table)
		f.version.Seq++
	} else {
		b.AddService("ledger", topo.Keyed, 4)
		b.SetServer("ledger", 0, slicemap.Server{ID: "s1", State: slicemap.ServerServing, ChecksGrants: checks,
			Home: "vm1", HomeSince: f.version, NoPriorLease: true})
		b.SetServer("ledger", 1, slicemap.Server{ID: "s2", State: slicemap.ServerServing, Home: "vm2"})
		for id := range topo.SliceID(4) {
			b.SetEntry("ledger", id, f.entry(0, slicemap.Serving))
		}
	}
	change(b)
	t, _ := b.Build(f.version)
	f.m.SetTable(f.now(), DesiredOf(t, "vm1")["s1"])
}

func (f *fixture) entry(owner uint16, p slicemap.Phase) slicemap.Entry {
	return slicemap.Entry{Fence: f.version, Owner: owner, Next: slicemap.NoOwner, Phase: p}
}

func (f *fixture) now() time.Time { return testStart.Add(f.t) }
func (f *fixture) ms() uint64     { return 5000 + uint64(float64(f.t)*f.rate/float64(time.Millisecond)) }
func (f *fixture) lease(d time.Duration) {
	f.m.SetVMLease(f.now(), VMLease{End: f.now().Add(d), Term: 2, Required: slicemap.Version{Term: 2, Seq: 1}})
}

func (f *fixture) serve(c Call) Reply {
	if c.BootID != "" && c.BootID != f.boot || c.ExpiresMs > 0 && c.ExpiresMs <= f.ms() {
		return Reply{BootID: f.boot, ClockMs: f.ms(), Term: c.Term}
	}
	f.expires = max(f.expires, c.ExpiresMs)
	out := Reply{BootID: f.boot, ClockMs: f.ms(), Term: c.Term, Accepted: true}
	for _, id := range c.Slices {
		if delete(f.held, id); c.Op == OpGrant {
			f.held[id] = c.Fence()
		}
	}
	for id, fence := range f.held {
		if c.Op == OpClaims {
			out.Slices = append(out.Slices, Claim{id, fence})
		}
	}
	return out
}

func (f *fixture) owns(id topo.SliceID) bool {
	_, ok := f.held[id]
	return ok && f.ms() < f.expires
}

// step runs the machine for d and renews the VM lease every 10 ms. Each call
// takes 2 ms.
func (f *fixture) step(d time.Duration) {
	for end := f.t + d; f.t < end; f.t += 10 * time.Millisecond {
		f.lease(ServerTTL)
		c, ok := f.m.Step(f.now(), f.run)
		if !ok {
			continue
		}
		f.calls = append(f.calls, c)
		if !f.down {
			f.t += time.Millisecond
			reply := f.serve(c)
			f.t += time.Millisecond
			f.m.Reply(f.now(), c.ID, reply)
		}
	}
}

func (f *fixture) maySend(id topo.SliceID) bool {
	_, ok := f.m.MaySend(f.now(), id, f.m.desired.Entries[id].Fence)
	return ok
}

func (f *fixture) report() Report {
	rep, _ := f.m.Report(f.now())
	return rep
}

// Guards against sending before the server holds the slice, under a fence other
// than the table's, or after the end of the VM lease.
func TestMaySend(t *testing.T) {
	f := newFixture(true)
	require.False(t, f.maySend(1))
	f.step(50 * time.Millisecond)
	require.True(t, f.maySend(1))
	require.True(t, f.owns(1))
	_, ok := f.m.MaySend(f.now(), 1, topo.Fence{Term: 2, Seq: 9})
	require.False(t, ok)
	f.t += ServerTTL
	require.False(t, f.maySend(1))
	require.Equal(t, []Op{OpClaims, OpGrant}, []Op{f.calls[0].Op, f.calls[1].Op})
	// The clock reading was 5001. The server lease must not outlast the VM
	// lease, which was renewed 10 ms after the call that took the reading.
	require.LessOrEqual(t, f.calls[1].ExpiresMs, uint64(5001+1200))
	require.Greater(t, f.calls[1].ExpiresMs, uint64(5001+1180))
}

// Guards against a drain that is reported while requests run or before the
// server has accepted the revocation.
func TestDrainIsReportedAfterRevocation(t *testing.T) {
	f := newFixture(true)
	f.step(50 * time.Millisecond)
	f.run[1] = 1
	f.table(true, func(b *slicemap.Builder) { b.SetEntry("ledger", 1, f.entry(0, slicemap.Draining)) })
	require.False(t, f.maySend(1))
	f.step(100 * time.Millisecond)
	require.Empty(t, f.report().Drained)
	require.True(t, f.owns(1), "slice revoked while a request was running")
	delete(f.run, 1)
	f.down = true
	f.step(100 * time.Millisecond)
	require.Empty(t, f.report().Drained)
	f.down = false
	f.step(CallTimeout + 100*time.Millisecond)
	require.Equal(t, []topo.SliceID{1}, f.report().Drained)
	require.False(t, f.owns(1))
}

// Guards against a drain that waits for a response of a server that doesn't
// check grants, or that doesn't wait for the requests in flight.
func TestDrainOfServerWithoutGrantChecks(t *testing.T) {
	f := newFixture(false)
	f.step(50 * time.Millisecond)
	require.True(t, f.maySend(2))
	f.run[2], f.down = 1, true
	f.table(false, func(b *slicemap.Builder) { b.SetEntry("ledger", 2, f.entry(0, slicemap.Draining)) })
	f.step(100 * time.Millisecond)
	require.False(t, f.maySend(2))
	require.Empty(t, f.report().Drained)
	f.run[2] = 0
	f.step(20 * time.Millisecond)
	require.Equal(t, []topo.SliceID{2}, f.report().Drained)
}

// Guards against treating the slices of a rebooted server as still held: they
// must be granted again, and the server must be reported as cold.
func TestRebootedServer(t *testing.T) {
	f := newFixture(true)
	f.step(50 * time.Millisecond)
	f.boot, f.held, f.expires = "b2", map[topo.SliceID]topo.Fence{}, 0
	f.step(RenewInterval + 100*time.Millisecond)
	require.True(t, f.report().Cold)
	require.True(t, f.owns(3))
	require.True(t, f.maySend(3))
	f.step(ColdPeriod)
	require.False(t, f.report().Cold)
}

// Guards against a loss that is reported before the lease has lapsed, and
// against granting the lost slices again, since the controller may have assigned
// them to other servers.
func TestLostServer(t *testing.T) {
	f := newFixture(true)
	f.step(50 * time.Millisecond)
	f.down = true
	for f.owns(0) {
		require.False(t, f.report().Lost)
		f.step(10 * time.Millisecond)
	}
	f.step(RenewInterval)
	require.True(t, f.report().Lost)
	require.Equal(t, f.version, f.report().LostAt)
	f.down = false
	f.step(time.Second)
	require.True(t, f.report().Lost, "loss must be reported until the table reassigns the slices")
	require.False(t, f.owns(0))
	f.table(true, func(b *slicemap.Builder) {
		for id := range topo.SliceID(3) {
			b.SetEntry("ledger", id, f.entry(1, slicemap.Serving))
		}
		b.SetEntry("ledger", 3, f.entry(0, slicemap.Serving))
	})
	f.step(100 * time.Millisecond)
	require.False(t, f.report().Lost)
	require.False(t, f.owns(0))
	require.True(t, f.maySend(3))
}

// Guards against granting or revoking while a new controller collects claims,
// and against claims and missing slices that are not reported to it.
func TestRebuild(t *testing.T) {
	f := newFixture(true)
	f.table(true, func(b *slicemap.Builder) { b.SetEntry("ledger", 2, f.entry(1, slicemap.Serving)) })
	for id, seq := range map[topo.SliceID]uint64{0: 1, 2: 9, 3: 1} {
		f.held[id] = topo.Fence{Term: 2, Seq: seq}
	}
	f.m.SetVMLease(f.now(), VMLease{End: f.now().Add(time.Hour), Term: 3, Required: f.version})
	f.step(time.Second)
	rep := f.report()
	require.Equal(t, topo.Term(3), rep.ClaimsTerm)
	require.Equal(t, []Claim{{2, topo.Fence{Term: 2, Seq: 9}}}, rep.Claims)
	require.Equal(t, []topo.SliceID{1}, rep.Missing)
	for _, c := range f.calls {
		require.Contains(t, []Op{OpClaims, OpRenew}, c.Op)
	}
	require.Len(t, f.held, 3)
}

// Guards against reporting a release while requests run, and against any request or
// control call to the server afterwards.
func TestRelease(t *testing.T) {
	f := newFixture(true)
	f.step(50 * time.Millisecond)
	f.run[0] = 1
	f.table(true, func(b *slicemap.Builder) {
		srv := f.m.desired.Server
		srv.Releasing, srv.ReleasingSince = true, f.version
		b.SetServer("ledger", 0, srv)
	})
	f.step(50 * time.Millisecond)
	require.False(t, f.maySend(0) || f.report().Released)
	f.run[0] = 0
	f.step(50 * time.Millisecond)
	require.True(t, f.report().Released)
	n := len(f.calls)
	f.step(time.Second)
	require.Len(t, f.calls, n)
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
		f := newFixture(true)
		f.rate = 1 + rapid.Float64Range(-0.99, 0.99).Draw(t, "drift")*MaxDrift
		ms := func(name string, limit int) time.Duration {
			return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
		}
		var sent *Call
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				if c, ok := f.m.Step(f.now(), f.run); ok {
					sent = &c
				}
			},
			"wait":  func(t *rapid.T) { f.t += ms("wait", 700) },
			"lease": func(t *rapid.T) { f.lease(ms("lease", 1200)) },
			"exchange": func(t *rapid.T) {
				f.lease(ServerTTL)
				f.step(ms("good", 500))
				sent = nil
			},
			"arrive": func(t *rapid.T) {
				if sent == nil {
					return
				}
				c := *sent
				sent = nil
				f.t += ms("there", 300)
				reply := f.serve(c)
				f.t += ms("back", 300)
				if rapid.Bool().Draw(t, "answered") {
					f.m.Reply(f.now(), c.ID, reply)
				}
			},
			"down": func(t *rapid.T) {
				f.down = true
				f.step(ms("down", 2500))
				f.down = false
			},
			"": func(t *rapid.T) {
				for id := range topo.SliceID(4) {
					if f.maySend(id) {
						sends++
						require.True(t, f.owns(id), "VM may send for slice %d without a server lease at %s", id, f.t)
					}
					if f.m.lost {
						losses++
						require.False(t, f.owns(id), "lost server still holds slice %d at %s", id, f.t)
					}
				}
			},
		})
	})
	require.Positive(t, losses)
	require.Positive(t, sends)
}
