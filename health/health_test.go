package health

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/topo"
)

var start = time.Unix(1000, 0)

func newSet(ids ...topo.ServerID) *Set {
	s := NewSet()
	s.Ejects = true
	for _, id := range ids {
		s.Add(id)
	}
	return s
}

// observe records n outcomes for each server, 10 ms apart, of which a share fails.
func observe(s *Set, now time.Time, n int, failing map[topo.ServerID]float64, ids ...topo.ServerID) time.Time {
	rng := rand.New(rand.NewPCG(1, 2))
	for range n {
		now = now.Add(10 * time.Millisecond)
		for _, id := range ids {
			s.Record(now, id, Observation{Sent: now, Failed: rng.Float64() < failing[id], Relative: 1})
		}
	}
	return now
}

// Guards against a server that fails a part of its requests and goes on getting its share,
// because its failures are not consecutive.
func TestServerThatFailsAPartIsEjected(t *testing.T) {
	s := newSet("a", "b", "c", "d")
	now := observe(s, start, 30, map[topo.ServerID]float64{"a": 0.45}, "a", "b", "c", "d")
	require.True(t, s.State(now, "a", Running{}).Ejected)
	for _, id := range []topo.ServerID{"b", "c", "d"} {
		require.False(t, s.State(now, id, Running{}).Ejected)
	}
}

// Guards against blaming one server for a fault that affects all of them, such as one of
// this VM's network.
func TestNoServerIsEjectedIfAllFail(t *testing.T) {
	s := newSet("a", "b", "c", "d")
	all := map[topo.ServerID]float64{"a": 0.5, "b": 0.5, "c": 0.5, "d": 0.5}
	observe(s, start, 200, all, "a", "b", "c", "d")
	require.Zero(t, s.Ejected())
}

// Guards against ejecting so many servers that the others cannot carry the load.
func TestAtMostAThirdIsEjected(t *testing.T) {
	ids := []topo.ServerID{"a", "b", "c", "d", "e", "f"}
	s := newSet(ids...)
	for _, id := range ids[:4] {
		for i := range 20 {
			s.Record(start.Add(time.Duration(i)*time.Millisecond), id, Observation{Sent: start, Failed: true})
		}
	}
	require.Equal(t, 2, s.Ejected())
}

// Guards against a server that alternates between good and bad phases and gets its full
// share at the beginning of each bad one: it stays ejected longer after each relapse.
func TestRelapseLengthensTheEjection(t *testing.T) {
	s := newSet("a", "b", "c")
	now, waits := start, []time.Duration(nil)
	for range 3 {
		for !s.State(now, "a", Running{}).Ejected {
			now = now.Add(10 * time.Millisecond)
			s.Record(now, "a", Observation{Sent: now, Failed: true})
		}
		waits = append(waits, s.State(now, "a", Running{}).NextProbe.Sub(now))
		now = s.State(now, "a", Running{}).NextProbe
		for range probationSuccesses {
			s.Record(now, "a", Observation{Sent: now, Relative: 1})
		}
		require.False(t, s.State(now, "a", Running{}).Ejected)
	}
	require.Equal(t, []time.Duration{time.Second, 2 * time.Second, 4 * time.Second}, waits)
}

// Guards against readmitting a server because of requests that were sent before its
// ejection: those that the server answers end before those that it does not.
func TestEarlierRequestsDoNotReadmit(t *testing.T) {
	s := newSet("a", "b", "c")
	now := start
	for !s.State(now, "a", Running{}).Ejected {
		now = now.Add(10 * time.Millisecond)
		s.Record(now, "a", Observation{Sent: now, Failed: true})
	}
	for range 2 * probationSuccesses {
		s.Record(now, "a", Observation{Sent: start, Relative: 1})
	}
	require.True(t, s.State(now, "a", Running{}).Ejected)
}

// Guards against probing an ejected server with a request that must not be repeated when
// a repeatable one may come soon.
func TestNonRepeatableProbesWait(t *testing.T) {
	state := State{Ejected: true, NextProbe: start}
	require.True(t, state.MayProbe(start, true))
	require.False(t, state.MayProbe(start, false))
	require.True(t, state.MayProbe(start.Add(nonRepeatableDelay), false))
}

// Guards against a figure of the past: a reported slowdown holds for some hundred
// milliseconds only, and does not become a property of the server.
func TestReportedSlowdownPasses(t *testing.T) {
	s := newSet("a")
	s.Record(start, "a", Observation{Relative: 3, Slowdown: 3})
	require.InDelta(t, 3, s.State(start, "a", Running{}).Slowness, 0.01)
	require.Less(t, s.State(start.Add(time.Second), "a", Running{}).Slowness, 1.2)
}

// Guards against sending more requests to a server that has stopped answering, until its
// requests time out: it must look slower long before.
func TestUnansweredRequestsMakeAServerSlower(t *testing.T) {
	s := newSet("a")
	work := 200 * time.Millisecond
	fresh := Running{Count: 3, Expected: 3 * work, Elapsed: 2 * work}
	require.InDelta(t, 1, s.State(start, "a", fresh).Slowness, 0.01)
	silent := Running{Count: 3, Expected: 3 * work, Elapsed: 15 * work}
	require.Greater(t, s.State(start, "a", silent).Slowness, 2.0)
}
