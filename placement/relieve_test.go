package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/topo"
)

// newLoadedCluster returns n servers of 4 slots that take 200 ms and are used to 30%. The
// last one takes 100 ms.
func newLoadedCluster(n int) *cluster {
	s := newCluster(n)
	for i := range s.servers {
		s.servers[i].Slots = 4
		d := 200 * time.Millisecond
		if i == n-1 {
			d = 100 * time.Millisecond
		}
		s.recordServiceTime(string(s.servers[i].ID), d)
	}
	s.addLoad(0, keyrange.MaxKey, 6*float64(n))
	return s
}

func (s *cluster) ownerOf(k keyrange.Key) topo.ServerID {
	for _, r := range s.table {
		if r.First <= k && k <= r.Last {
			return r.Owner
		}
	}
	return ""
}

// Guards against a key with more load than its server can serve that stays there or on
// another server of the usual speed, with other keys beside it.
func TestHotKeyGoesAloneToTheFastestServer(t *testing.T) {
	s := newLoadedCluster(16)
	const hot = 9000
	s.addLoad(hot, hot, 30)
	s.applyPlansUntilStable(t)
	requireFullCoverage(t, s.table)
	require.Equal(t, s.servers[15].ID, s.ownerOf(hot))
	st := newPlanState(s.load, s.servers, s.table)
	t.Logf("load of the fastest server: %.1f/s of %.0f/s, %d ranges in all", st.byID[s.servers[15].ID].load, st.byID[s.servers[15].ID].capacity(), len(s.table))
	require.Less(t, st.byID[s.servers[15].ID].load, 35.0)
}

// Guards against a range of one key that can never move, so that the two hot keys of a
// server stay together.
func TestRangesOfOneKeyMove(t *testing.T) {
	s := newLoadedCluster(8)
	owner := s.ownerOf(100)
	s.table = applyMoves(s.table, []Move{{First: 100, Last: 100, Target: owner}, {First: 101, Last: 101, Target: owner}})
	for i := range s.table {
		s.table[i].Moving = false
	}
	s.addLoad(100, 101, 24)
	s.applyPlansUntilStable(t)
	requireFullCoverage(t, s.table)
	require.NotEqual(t, s.ownerOf(100), s.ownerOf(101))
}

// Guards against cold ranges that stay on a server which gets hot keys, and delay them.
func TestServerThatTakesHotKeysGivesUpColdRanges(t *testing.T) {
	s := newLoadedCluster(4)
	hot := s.ownerOf(0)
	s.table = applyMoves(s.table, []Move{{First: 0, Last: 0, Target: hot}})
	s.addLoad(0, 0, 18)
	for i := range s.table {
		s.table[i].Moving = i == 0
	}
	plan := Relieve(s.load, s.servers, s.table)
	require.NotEmpty(t, plan)
	s.applyPlan(plan)
	st := newPlanState(s.load, s.servers, s.table)
	require.Less(t, st.byID[hot].utilisation(), overloadUtilisation)
}

// Guards against a plan whose moves do not follow the load that has to move: one server
// with four times its capacity needs few, forty such servers need many.
func TestMovesFollowTheExcess(t *testing.T) {
	moves := func(overloaded int) int {
		s := newLoadedCluster(154)
		for i := range overloaded {
			first := s.table[3*i].First
			s.addLoad(first, first+19, 60)
		}
		return len(Relieve(s.load, s.servers, s.table))
	}
	t.Logf("moves of one plan: %d for one overloaded server, %d for 40", moves(1), moves(40))
	require.Less(t, moves(1), 20)
	require.Greater(t, moves(40), 100)
	require.Zero(t, moves(0))
}

// Guards against keys that move because their server, or the whole service, refuses
// requests although it has free slots.
func TestRefusalsRegardlessOfLoadMoveNoKeys(t *testing.T) {
	for refusing, want := range map[int]bool{0: true, 1: true, 16: false} {
		t.Run(fmt.Sprintf("%d servers refuse", refusing), func(t *testing.T) {
			s := newLoadedCluster(16)
			// Two servers are overloaded. Those that refuse turn away 0.55 of what they get, and
			// the callers of these requests come again.
			s.addLoad(0, 99, 60)
			first := s.table[2].First
			s.addLoad(first, first+99, 60)
			for i := range refusing {
				s.load.RecordTurnedAway(s.servers[i].ID, 200)
			}
			plan := Plan(s.load, s.servers, s.table)
			require.Equal(t, want, len(plan) > 0)
			for _, m := range plan {
				for i := range refusing {
					require.NotEqual(t, s.servers[i].ID, m.Target)
					require.NotEqual(t, s.servers[i].ID, s.ownerOf(m.First))
				}
			}
		})
	}
}

// Guards against refusals that keep keys in place long after they have ended.
func TestRefusalsAreForgotten(t *testing.T) {
	l := NewLoad()
	l.Decay(start)
	l.RecordTurnedAway("a", 20)
	require.True(t, l.Refusing("a"))
	l.Decay(start.Add(5 * time.Second))
	require.False(t, l.Refusing("a"))
	l.RecordTurnedAway("a", 4)
	l.RecordResponses("a", 60, time.Second)
	require.False(t, l.Refusing("a"), "a few refusals beside many responses")
}

// Guards against moves whose handover costs callers more than they gain: with requests of
// 10 s, the keys have no owner for as long as their hot set lasts.
func TestLongHandoversAreNotWorthTheirPrice(t *testing.T) {
	plan := func(d time.Duration) []Move {
		s := newLoadedCluster(8)
		for _, srv := range s.servers {
			for range 20 {
				s.recordServiceTime(string(srv.ID), d)
			}
		}
		st := newPlanState(s.load, s.servers, s.table)
		busy := st.byID[s.servers[0].ID]
		s.addLoad(0, 99, 0.5*busy.capacity())
		return Plan(s.load, s.servers[:7], s.table)
	}
	require.NotEmpty(t, plan(200*time.Millisecond))
	require.Empty(t, plan(10*time.Second))
}

// Guards against keys that a new leader moves because of its first reports, in which a few
// requests look like a surge.
func TestFirstReportsMoveNoKeys(t *testing.T) {
	s := newCluster(8)
	now, moves := start, 0
	for i := range 20 {
		now = now.Add(reliefTick)
		s.load.Decay(now)
		for k := range keyrange.Key(4) {
			s.load.Count(k, 4)
		}
		if moves = len(Relieve(s.load, s.servers, s.table)); moves > 0 {
			require.GreaterOrEqual(t, i, 9, "1 s of reports")
			return
		}
	}
	t.Fatal("160 requests per second for one server of 20 per second moved no keys")
}

// reliefTick is how often the leader looks for overloaded servers.
const reliefTick = 100 * time.Millisecond
