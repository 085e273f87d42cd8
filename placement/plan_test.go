package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/topo"
)

var start = time.Unix(1000, 0)

// cluster is a set of servers with a load and a table of their keys, to which
// plans are applied.
type cluster struct {
	load    *Load
	servers []Server
	table   []Range
}

// oneRangeEach divides all keys among servers in proportion to their slots, with one
// range each.
func oneRangeEach(servers []Server) []Range {
	slots, slotsBefore, next := 0, 0, 0
	for _, s := range servers {
		slots += s.Slots
	}
	var out []Range
	for _, s := range servers {
		slotsBefore += s.Slots
		end := keyrange.KeyCount * slotsBefore / slots
		out = append(out, Range{First: keyrange.Key(next), Last: keyrange.Key(end - 1), Owner: s.ID})
		next = end
	}
	return out
}

func newCluster(n int) *cluster {
	s := &cluster{load: NewLoad()}
	for i := range n {
		s.servers = append(s.servers, Server{ID: topo.ServerID(fmt.Sprintf("s%02d", i)), Slots: 3})
	}
	s.table = oneRangeEach(s.servers)
	s.load.Decay(start)
	return s
}

// addLoad spreads a load of rate requests per second evenly over the keys from
// first to last.
func (s *cluster) addLoad(first, last keyrange.Key, rate float64) {
	for k := int(first); k <= int(last); k++ {
		s.load.addRate(keyrange.Key(k), rate/float64(int(last)-int(first)+1))
	}
}

// addRate adds rate to all averages of a key.
func (l *Load) addRate(key keyrange.Key, rate float64) {
	for _, s := range []*keyRates{&l.longTerm, &l.shortTerm, &l.fast} {
		s.rate[key] += rate
		s.cumulativeStale = true
	}
}

// applyPlansUntilStable makes and applies plans until one has no moves. It
// returns the number of moves.
func (s *cluster) applyPlansUntilStable(t *testing.T) (moves int) {
	t.Helper()
	for range 200 {
		plan := Plan(s.load, s.servers, s.table)
		if len(plan) == 0 {
			return moves
		}
		s.applyPlan(plan)
		moves += len(plan)
	}
	t.Fatal("still planning moves after 200 plans")
	return moves
}

// applyPlan applies the moves of a plan and completes them.
func (s *cluster) applyPlan(plan []Move) {
	s.table = applyMoves(s.table, plan)
	for i := range s.table {
		s.table[i].Moving = false
	}
}

// meanExpectedTime returns the mean expected response time of a request, in
// seconds.
func (s *cluster) meanExpectedTime() float64 {
	cost, load := 0.0, 0.0
	for _, sh := range newPlanState(s.load, s.servers, s.table).shares {
		cost += sh.cost(sh.load)
		load += sh.load
	}
	return cost / load
}

// recordServiceTime records enough responses of a server for its mean service
// time to come close to d.
func (s *cluster) recordServiceTime(id string, d time.Duration) {
	for range 40 {
		s.load.RecordResponses(topo.ServerID(id), 4, d)
	}
}

// requireFullCoverage fails the test unless the ranges cover all keys in order,
// without gaps.
func requireFullCoverage(t *testing.T, table []Range) {
	t.Helper()
	next := 0
	for _, r := range table {
		require.Equal(t, next, int(r.First))
		next = int(r.Last) + 1
	}
	require.Equal(t, keyrange.KeyCount, next)
}

// Guards against keys without an owner in an initial table.
func TestInitialCoversAllKeys(t *testing.T) {
	for _, n := range []int{1, 2, 7, 34, 342} {
		requireFullCoverage(t, newCluster(n).table)
		requireFullCoverage(t, Initial(newCluster(n).servers))
	}
}

// Guards against a range of hot keys that stays on one server: 200 keys get 40
// requests per second, three times what a server can serve.
func TestHotRangeIsDivided(t *testing.T) {
	s := newCluster(34)
	for _, srv := range s.servers {
		s.recordServiceTime(string(srv.ID), 220*time.Millisecond)
	}
	s.addLoad(0, keyrange.MaxKey, 100)
	s.addLoad(2928, 3127, 40)
	before := s.meanExpectedTime()
	s.applyPlansUntilStable(t)
	requireFullCoverage(t, s.table)
	t.Logf("expected response time: %.3f s before the plans, %.3f s after", before, s.meanExpectedTime())
	for _, sh := range newPlanState(s.load, s.servers, s.table).shares {
		require.Less(t, sh.load*sh.svcTime/3, 0.95, "server %s is overloaded", sh.ID)
	}
	require.Less(t, s.meanExpectedTime(), 0.3)
}

// Guards against hot neighbouring keys of a large service that are not divided
// far enough, or only after many plans: a few hundred of them may each bring
// more than half of what a server can serve.
func TestHotKeysOfALargeServiceAreDividedSoon(t *testing.T) {
	for _, c := range []struct {
		name           string
		servers        int
		slots          int
		serviceTime    time.Duration
		usual, hot     float64
		keys, maxPlans int
	}{
		{"200 keys, 2 requests a second each", 342, 3, 243 * time.Millisecond, 1700, 412, 200, 5},
		{"60 keys, 8 requests a second each", 375, 6, 500 * time.Millisecond, 2100, 500, 60, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newCluster(c.servers)
			for i := range s.servers {
				s.servers[i].Slots = c.slots
				s.recordServiceTime(string(s.servers[i].ID), c.serviceTime)
			}
			s.addLoad(0, keyrange.MaxKey, c.usual)
			s.addLoad(2930, keyrange.Key(2930+c.keys-1), c.hot)
			for range c.maxPlans {
				s.applyPlan(Plan(s.load, s.servers, s.table))
			}
			requireFullCoverage(t, s.table)
			worst := 0.0
			for _, sh := range newPlanState(s.load, s.servers, s.table).shares {
				worst = max(worst, sh.load*sh.svcTime/float64(sh.Slots))
			}
			t.Logf("busiest server: utilisation %.2f, %d ranges in the table", worst, len(s.table))
			require.Less(t, worst, 1.0)
		})
	}
}

// Guards against slow servers that keep as much load as fast ones. A quarter of
// the servers have twice the usual service time, and a quarter two thirds of it.
func TestFastServersGetMoreLoad(t *testing.T) {
	s := newCluster(32)
	for i, srv := range s.servers {
		serviceTime := []time.Duration{440, 220, 220, 147}[i%4] * time.Millisecond
		s.recordServiceTime(string(srv.ID), serviceTime)
	}
	s.addLoad(0, keyrange.MaxKey, 130)
	before := s.meanExpectedTime()
	s.applyPlansUntilStable(t)
	t.Logf("expected response time: %.3f s before the plans, %.3f s after", before, s.meanExpectedTime())
	require.Less(t, s.meanExpectedTime(), 0.85*before)
}

// Guards against one range that cannot move now and blocks the moves of all
// others.
func TestFixedRangesDoNotBlockOthers(t *testing.T) {
	s := newCluster(34)
	s.addLoad(0, keyrange.MaxKey, 60)
	s.addLoad(2928, 3127, 40)
	for i := 10; i < len(s.table); i++ {
		s.table[i].Fixed = true
	}
	require.NotEmpty(t, Plan(s.load, s.servers, s.table))
}

// Guards against moves that gain nothing, under an even load on servers of equal
// speed.
func TestEvenLoadCausesNoMoves(t *testing.T) {
	s := newCluster(16)
	for _, srv := range s.servers {
		s.recordServiceTime(string(srv.ID), 200*time.Millisecond)
	}
	s.addLoad(0, keyrange.MaxKey, 100)
	require.Zero(t, s.applyPlansUntilStable(t))
}

// Guards against new servers that get no keys, and cold ones that get more load
// than they can take.
func TestNewServersGetKeys(t *testing.T) {
	s := newCluster(8)
	s.addLoad(0, keyrange.MaxKey, 60)
	s.servers = append(s.servers, Server{ID: "new", Slots: 3}, Server{ID: "cold", Slots: 3, ColdRate: 4})
	s.applyPlansUntilStable(t)
	st := newNaivePlanState(s.load, s.servers, s.table)
	require.Positive(t, st.byID["new"].keys)
	require.Positive(t, st.byID["cold"].keys)
	require.LessOrEqual(t, st.byID["cold"].load, 4.0)
}

// Guards against a leaving server whose keys all move to one other server.
func TestKeysOfLeavingServerAreDivided(t *testing.T) {
	l := NewLoad()
	l.Decay(start)
	for k := range 4800 {
		l.addRate(keyrange.Key(k), 0.1/16)
	}
	parts := Divide(l, 0, 4799)
	require.Len(t, parts, drainParts)
	require.Equal(t, keyrange.Key(0), parts[0].First)
	require.Equal(t, keyrange.Key(4799), parts[len(parts)-1].Last)
}

// Guards against a Plan whose moves differ from those of the reference
// implementation.
func TestPlanMatchesNaivePlan(t *testing.T) {
	for _, n := range []int{1, 2, 5, 34, 120} {
		load, servers, table := newUnevenService(n)
		for round := range 12 {
			want := naivePlan(load, servers, table)
			require.Equal(t, want, Plan(load, servers, table), "plan for %d servers in round %d", n, round)
			require.Equal(t, naiveRelieve(load, servers, table), Relieve(load, servers, table), "relief for %d servers in round %d", n, round)
			table = applyMoves(table, want)
			for i := range table {
				table[i].Moving = round%3 == 0 && table[i].Moving
			}
			switch round {
			case 3:
				servers = append(servers, Server{ID: "new", Slots: 3, ColdRate: 3.8})
			case 6:
				servers = servers[1:]
			case 8:
				load.RecordResponses(servers[0].ID, 500, 3*time.Second)
			case 9:
				load.RecordTurnedAway(servers[len(servers)/2].ID, 2000)
			case 10:
				for k := range keyrange.Key(30) {
					load.Count(500+k, float64(n))
				}
			}
		}
	}
}

// Guards against a lost data centre whose keys all go to the same few servers:
// each range must count as load before the next one is placed.
func TestTargetsSpreadTheKeysOfLostServers(t *testing.T) {
	load, servers, table := newUnevenService(60)
	lost := map[topo.ServerID]bool{}
	for _, s := range servers[:15] {
		lost[s.ID] = true
	}
	var kept, unowned []Range
	for _, r := range table {
		if lost[r.Owner] {
			unowned = append(unowned, r)
		} else {
			kept = append(kept, r)
		}
	}
	targets := Targets(load, servers[15:], kept, unowned)
	require.Len(t, targets, len(unowned))
	got := map[topo.ServerID]int{}
	for _, id := range targets {
		require.False(t, lost[id])
		got[id]++
	}
	for id, n := range got {
		require.LessOrEqual(t, n, 3, "server %s", id)
	}
	require.Nil(t, Targets(load, nil, nil, unowned))
}

// simulateSteadyLoad applies plans to servers of two speeds under a steady load
// with random arrivals. It returns the part of all keys that was moved in the
// last ten seconds, and the mean expected response time in that time.
func simulateSteadyLoad(t *testing.T, servers int) (movedShare, meanExpectedTime float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := newCluster(servers)
	for i := range s.servers {
		s.servers[i].Slots = 6
		s.recordServiceTime(string(s.servers[i].ID), time.Duration([]float64{350, 350, 800}[i%3])*time.Millisecond)
	}
	const perServer, step, plans = 5.6, 400 * time.Millisecond, 75
	arrive := func(now time.Time) {
		s.load.Decay(now)
		for range int(perServer * float64(servers) * step.Seconds()) {
			s.load.Count(keyrange.Key(rng.IntN(keyrange.KeyCount)), 1)
		}
	}
	for i := range plans {
		arrive(start.Add(time.Duration(i) * step))
		plan := Plan(s.load, s.servers, s.table)
		s.applyPlan(plan)
		if i < plans-25 {
			continue
		}
		for _, m := range plan {
			movedShare += float64(int(m.Last)-int(m.First)+1) / keyrange.KeyCount
		}
		// The load is uniform over the keys, so that the true load of a range
		// follows from its width.
		truth := newCluster(servers)
		truth.servers, truth.table, truth.load.serviceTimes = s.servers, s.table, s.load.serviceTimes
		truth.addLoad(0, keyrange.MaxKey, perServer*float64(servers))
		meanExpectedTime += truth.meanExpectedTime() / 25
	}
	requireFullCoverage(t, s.table)
	return movedShare, meanExpectedTime
}

// Guards against keys that move because of random variation of the arrivals: a
// server gets a few requests a second, whose number varies by a third from
// second to second.
func TestSteadyLoadMovesFewKeys(t *testing.T) {
	for _, n := range []int{34, 375} {
		moved, mean := simulateSteadyLoad(t, n)
		t.Logf("%d servers: %.3f of the keys moved in 10 s, expected response time %.3f s", n, moved, mean)
		require.Less(t, moved, 0.1)
	}
}

// Guards against hot keys that are mistaken for random variation of the
// arrivals: after ten seconds of steady load, 200 keys together get 500
// requests per second more.
func TestHotKeysAreDetectedUnderRandomArrivals(t *testing.T) {
	const step, hot = 400 * time.Millisecond, 500
	rng := rand.New(rand.NewPCG(1, 2))
	s := newCluster(375)
	for i := range s.servers {
		s.servers[i].Slots = 6
		s.recordServiceTime(string(s.servers[i].ID), 500*time.Millisecond)
	}
	now := start
	simulate := func(plans int, hot float64) {
		for range plans {
			now = now.Add(step)
			s.load.Decay(now)
			for range int(2100 * step.Seconds()) {
				s.load.Count(keyrange.Key(rng.IntN(keyrange.KeyCount)), 1)
			}
			for range int(hot * step.Seconds()) {
				s.load.Count(keyrange.Key(2930+rng.IntN(200)), 1)
			}
			s.applyPlan(Plan(s.load, s.servers, s.table))
		}
	}
	simulate(25, 0)
	simulate(6, hot)
	truth := newCluster(375)
	truth.addLoad(0, keyrange.MaxKey, 2100)
	truth.addLoad(2930, 3129, hot)
	worst := 0.0
	for _, sh := range newPlanState(truth.load, s.servers, s.table).shares {
		worst = max(worst, sh.load*0.5/float64(sh.Slots))
	}
	t.Logf("busiest server 2.4 s later: utilisation %.2f", worst)
	require.Less(t, worst, 1.2)
}
