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

// Guards against a hot key that goes to the idlest server, where it takes twice what that
// one can do, instead of the fastest one, and against cold ranges that stay beside it
// there. Both must be in one plan: the next one is 100 ms later.
func TestServerThatTakesAHotKeyGivesUpColdRanges(t *testing.T) {
	s := newLoadedCluster(4)
	fastest := s.servers[3].ID
	for _, r := range s.table {
		if r.Owner == fastest {
			s.addLoad(r.First, r.Last, 22)
		}
	}
	s.addLoad(0, 0, 36)
	s.applyPlan(Relieve(s.load, s.servers, s.table))
	requireFullCoverage(t, s.table)
	require.Equal(t, fastest, s.ownerOf(0))
	st := newPlanState(s.load, s.servers, s.table)
	for _, sh := range st.shares {
		t.Logf("%s: %.1f/s of %.0f/s", sh.ID, sh.load, sh.capacity())
		require.LessOrEqual(t, sh.utilisation(), st.levels().overload)
	}
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
// 10 s, the keys have no owner for longer than a hot set lasts. The servers have as much
// capacity in both cases.
func TestLongHandoversAreNotWorthTheirPrice(t *testing.T) {
	plan := func(slots int, d time.Duration) []Move {
		s := newLoadedCluster(8)
		for i := range s.servers {
			s.servers[i].Slots = slots
			for range 20 {
				s.recordServiceTime(string(s.servers[i].ID), d)
			}
		}
		s.addLoad(0, 99, 18)
		return Relieve(s.load, s.servers, s.table)
	}
	require.NotEmpty(t, plan(4, 200*time.Millisecond))
	require.Empty(t, plan(200, 10*time.Second))
}

// Guards against a hot key that moves together with the cold ones before it, because the
// shortest part with the load that is to move has it too.
func TestPartsEndBeforeAHotKey(t *testing.T) {
	l := NewLoad()
	for k := range keyrange.Key(10) {
		l.addRate(k, 1)
	}
	l.addRate(5, 30)
	r := movablePart{Range{First: 0, Last: 9}, measure{&l.longTerm, 1}}
	require.Contains(t, r.reliefCandidates(8), Move{First: 0, Last: 4})
	require.Contains(t, r.reliefCandidates(8), Move{First: 6, Last: 9})
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
