package balance

import (
	"flag"
	"fmt"
	"math/rand"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitlock.example/godwitlock/topo"
)

// TestMain fixes the seed so that CI runs the same cases every time.
func TestMain(m *testing.M) {
	for k, v := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.steps": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const ms = time.Millisecond

func servers(n int) []topo.ServerID {
	ids := make([]topo.ServerID, n)
	for i := range ids {
		ids[i] = topo.ServerID(fmt.Sprint("s", i))
	}
	return ids
}

func (p *Pool) state(id topo.ServerID) State {
	for _, s := range p.States() {
		if s.Server == id {
			return s
		}
	}
	return State{}
}

// TestPoolKeepsItsBounds guards, under any order of events, against ejecting more
// than 30% of a pool, hedging more than 5% of the requests, choosing an excluded or
// removed server, and finding no server for a request although the pool has one.
func TestPoolKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 10).Draw(t, "servers")
		now := time.Unix(0, 0)
		p := NewPool(servers(n), rand.New(rand.NewSource(1)))
		var open []InFlight
		requested, hedged := 0, 0
		pick := func(t *rapid.T) {
			if s, ok := p.Pick(now, rapid.Bool().Draw(t, "idempotent")); ok {
				open = append(open, s)
			} else {
				require.Zero(t, len(p.servers), "Pick found no server although the pool is not empty")
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				ejected, outstanding := 0, 0
				for _, s := range p.States() {
					outstanding += s.Outstanding
					if s.Ejected {
						ejected++
						require.True(t, s.Straggler)
					}
				}
				require.LessOrEqual(t, float64(ejected), maxEjectedShare*float64(len(p.servers)))
				require.LessOrEqual(t, float64(hedged), HedgeShare*float64(requested))
				require.LessOrEqual(t, outstanding, len(open))
			},
			"pick": pick, "pick2": pick, "pick3": pick,
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "i")
				outcome := rapid.SampledFrom([]Outcome{Served, Served, Served, Refused, Failed, Cancelled, Inconclusive}).Draw(t, "verdict")
				p.End(now, open[i], outcome)
				p.End(now, open[i], outcome)
				open = append(open[:i], open[i+1:]...)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 5, 50, 2000}).Draw(t, "ms")) * ms)
			},
			"hedge": func(t *rapid.T) {
				p.HedgeDelay(InFlight{})
				requested++
				if p.TakeHedge(now, InFlight{probe: rapid.Bool().Draw(t, "probe")}) {
					hedged++
				}
			},
			"exclude": func(t *rapid.T) {
				id := topo.ServerID(fmt.Sprint("s", rapid.IntRange(0, n-1).Draw(t, "id")))
				if s, ok := p.Pick(now, true, id); ok {
					require.NotEqual(t, id, s.Server)
					open = append(open, s)
				}
			},
			"resize": func(t *rapid.T) { p.SetServers(servers(rapid.IntRange(1, n).Draw(t, "n"))) },
			"report": func(t *rapid.T) { p.Report(now, "s0", rapid.IntRange(0, 1000).Draw(t, "queued")) },
		})
	})
}

// drive sends n requests one after another, each of which takes took(server), and
// returns the number of requests per server.
func drive(p *Pool, now *time.Time, n int, idempotent bool, took func(topo.ServerID) time.Duration) map[topo.ServerID]int {
	got := map[topo.ServerID]int{}
	for range n {
		s, _ := p.Pick(*now, idempotent)
		got[s.Server]++
		*now = now.Add(took(s.Server))
		p.End(*now, s, Served)
	}
	return got
}

// TestBriefPauseDoesNotCondemn guards against treating a server as a straggler
// because of one brief pause that delays several requests at once.
func TestBriefPauseDoesNotCondemn(t *testing.T) {
	now := time.Unix(0, 0)
	p := NewPool(servers(8), rand.New(rand.NewSource(1)))
	even := func(topo.ServerID) time.Duration { return 10 * ms }
	drive(p, &now, 200, true, even)
	var paused, others []InFlight
	for len(paused) < 4 {
		if s, _ := p.Pick(now, true); s.Server == "s3" {
			paused = append(paused, s)
		} else {
			others = append(others, s)
		}
	}
	for _, s := range others {
		p.End(now.Add(10*ms), s, Served)
	}
	now = now.Add(200 * ms)
	for _, s := range paused {
		p.End(now, s, Served)
	}
	require.False(t, p.state("s3").Straggler)
	got := drive(p, &now, 2000, true, even)
	require.False(t, p.state("s3").Straggler)
	require.Greater(t, got["s3"], 100, "the server must get its share of the requests again")
}

// TestStragglerLosesWorkAndReturnsGently guards against a straggler that still gets
// more than a few requests, against ejecting more than 30% of the pool, and against
// a recovered server that never returns or gets its full share at once.
func TestStragglerLosesWorkAndReturnsGently(t *testing.T) {
	now := time.Unix(0, 0)
	p := NewPool(servers(8), rand.New(rand.NewSource(1)))
	slow := map[topo.ServerID]bool{}
	took := func(id topo.ServerID) time.Duration {
		if slow[id] {
			return 100 * ms
		}
		return 10 * ms
	}
	drive(p, &now, 400, true, took)
	slow["s1"], slow["s2"], slow["s3"] = true, true, true
	got := drive(p, &now, 100, true, took)
	for id := range slow {
		require.LessOrEqual(t, got[id], 4, "requests sent to %s after it became slow", id)
	}
	drive(p, &now, 900, true, took)
	for id := range slow {
		require.True(t, p.state(id).Straggler, id)
	}
	ejected := 0
	for id := range slow {
		if p.state(id).Ejected {
			ejected++
		}
	}
	require.Equal(t, 2, ejected, "30%% of 8")
	delete(slow, "s1")
	for i := 0; p.state("s1").Straggler; i++ {
		require.Less(t, i, 4000, "the recovered server is still a straggler")
		drive(p, &now, 1, true, took)
	}
	require.Equal(t, initialReturnShare, p.state("s1").Share, "the server must return with a reduced share")
	drive(p, &now, 2000, true, took)
	require.EqualValues(t, 1, p.state("s1").Share)
	last := drive(p, &now, 1200, true, took)["s1"]
	require.Greater(t, last, 120)
}

// TestLostRacesShowAStraggler guards against hedges that hide a straggler by
// cancelling its requests before they count as slow.
func TestLostRacesShowAStraggler(t *testing.T) {
	now := time.Unix(0, 0)
	p := NewPool(servers(4), rand.New(rand.NewSource(1)))
	drive(p, &now, 200, true, func(topo.ServerID) time.Duration { return 10 * ms })
	for range stragglerScore {
		s, _ := p.Pick(now, true, "s1", "s2", "s3")
		now = now.Add(25 * ms)
		p.End(now, s, Cancelled)
	}
	require.True(t, p.state("s0").Straggler)
}

// TestRefusalsMakeDearerButNoStraggler guards against a customer that gets servers
// ejected with requests that are refused because of that customer's own load, and
// against a server that refuses at once and therefore attracts all requests, because
// it looks idle.
func TestRefusalsMakeDearerButNoStraggler(t *testing.T) {
	now := time.Unix(0, 0)
	p := NewPool(servers(4), rand.New(rand.NewSource(1)))
	refused := 0
	for range 1000 {
		s, _ := p.Pick(now, true)
		now = now.Add(ms)
		if s.Server == "s0" {
			refused++
			p.End(now, s, Refused)
			continue
		}
		p.End(now.Add(9*ms), s, Served)
	}
	require.False(t, p.state("s0").Straggler)
	require.Less(t, refused, 1000/4/4)
}

// TestNoHedgeInAnOutage guards against hedges that add load while the servers are
// failing.
func TestNoHedgeInAnOutage(t *testing.T) {
	now := time.Unix(0, 0)
	p := NewPool(servers(4), rand.New(rand.NewSource(1)))
	for range 400 {
		p.HedgeDelay(InFlight{})
	}
	late := InFlight{Server: "s0"}
	require.True(t, p.TakeHedge(now, late))
	for range 4 {
		s, _ := p.Pick(now, true)
		p.End(now, s, Failed)
	}
	require.False(t, p.TakeHedge(now, late))
}

// TestReportsCountLessThanResponses guards against reported queues that outweigh
// observed latencies: s0 reports an idle queue but answers slowly, and s1 reports a
// full queue but answers fast.
func TestReportsCountLessThanResponses(t *testing.T) {
	now := time.Unix(0, 0)
	p := NewPool(servers(4), rand.New(rand.NewSource(1)))
	took := func(id topo.ServerID) time.Duration {
		for _, s := range servers(4) {
			p.Report(now, s, map[topo.ServerID]int{"s0": 0, "s1": 100}[s])
		}
		if id == "s0" {
			return 25 * ms // below three times the median, so not a straggler
		}
		return 10 * ms
	}
	got := drive(p, &now, 4000, true, took)
	require.Less(t, got["s0"], got["s2"]*6/10)
	require.Greater(t, got["s1"], 40, "a report alone must not eject a server")
}
