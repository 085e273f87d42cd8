package grants

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// droppingServer is a server that drops its slices when its lease lapses, as
// standin/server does, and lists them only in the response to claims.
type droppingServer struct {
	now     time.Duration
	expires uint64
	held    map[topo.SliceID]topo.Fence
}

func (s *droppingServer) clock() uint64 { return 5000 + uint64(s.now.Milliseconds()) }

func (s *droppingServer) serve(c Call) Reply {
	if s.clock() >= s.expires {
		s.held, s.expires = map[topo.SliceID]topo.Fence{}, 0
	}
	r := Reply{BootID: "b", ClockMs: s.clock(), Term: c.Term}
	if c.Op == OpRenew && s.expires == 0 || c.ExpiresMs > 0 && c.ExpiresMs <= s.clock() {
		return r
	}
	r.Accepted = true
	s.expires = max(s.expires, c.ExpiresMs)
	for _, id := range c.Slices {
		if delete(s.held, id); c.Op == OpGrant {
			s.held[id] = c.Fence()
		}
	}
	for id, f := range s.held {
		if c.Op == OpClaims {
			r.Slices = append(r.Slices, Claim{id, f})
		}
	}
	return r
}

type noRequests struct{}

func (noRequests) Running(topo.SliceID) int { return 0 }
func (noRequests) Total() int               { return 0 }

// Guards against slices that count as held although the server has dropped
// them. This happens if the home VM is stalled until the server's lease lapses,
// and the next call that reaches the server is the grant of another slice.
func TestSlicesAreGrantedAgainAfterAnUnnoticedLapse(t *testing.T) {
	start, srv, m := time.Unix(1_700_000_000, 0), &droppingServer{}, New("vm", "s")
	b := slicemap.NewBuilder(slicemap.Empty())
	v := slicemap.Version{Term: 1, Seq: 1}
	b.AddService("ledger", topo.Keyed, 4)
	b.SetServer("ledger", 0, slicemap.Server{ID: "s", State: slicemap.ServerServing, ChecksGrants: true, Home: "vm", HomeSince: v, NoPriorLease: true})
	assign := func(b *slicemap.Builder, id topo.SliceID, v slicemap.Version) {
		b.SetEntry("ledger", id, slicemap.Entry{Fence: v, Next: slicemap.NoOwner, Phase: slicemap.Serving})
	}
	for id := range topo.SliceID(3) {
		assign(b, id, v)
	}
	table, _ := b.Build(v)
	m.SetTable(start, DesiredOf(table, "vm")["s"])
	now := func() time.Time { return start.Add(srv.now) }
	run := func(d time.Duration) {
		for end := srv.now + d; srv.now < end; srv.now += 10 * time.Millisecond {
			m.SetVMLease(now(), VMLease{End: now().Add(ServerTTL), Term: 1, Required: v})
			if c, ok := m.Step(now(), noRequests{}); ok {
				m.Reply(now(), c.ID, srv.serve(c))
			}
		}
	}
	run(2 * time.Second)
	require.Len(t, srv.held, 3)

	// The grant of slice 3 is sent before the lease lapses and arrives after.
	late := Call{Op: OpGrant, Term: 1, Seq: 2, Slices: []topo.SliceID{3}, BootID: "b"}
	next := slicemap.NewBuilder(table)
	v2 := slicemap.Version{Term: 1, Seq: 2}
	assign(next, 3, v2)
	table2, _ := next.Build(v2)
	m.SetTable(now(), DesiredOf(table2, "vm")["s"])
	var c Call
	for ok := false; !ok || c.Op != late.Op; srv.now += 10 * time.Millisecond {
		if c, ok = m.Step(now(), noRequests{}); ok && c.Op != late.Op {
			m.Reply(now(), c.ID, srv.serve(c))
		}
	}
	// The server's clock reaches the end of the lease before the grant arrives.
	c.ExpiresMs = srv.expires + 100
	srv.now = time.Duration(srv.expires-5000) * time.Millisecond
	m.pending.sent = now()
	m.pending.ExpiresMs = c.ExpiresMs
	m.Reply(now(), c.ID, srv.serve(c))
	require.Len(t, srv.held, 1, "the server must have dropped its earlier slices")
	run(time.Second)
	require.Len(t, srv.held, 4)
}
