package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/topo"
)

// addWindow adds a window with responses of both sides on a route. Those of the target
// are spread evenly over three servers.
func addWindow(e *Evidence, now time.Time, route string, others, othersBad, target, targetBad int) {
	e.Add(now, Cell{Route: route, Good: others - othersBad, Bad: othersBad})
	for i := range 3 {
		part := func(n int) int { return n*(i+1)/3 - n*i/3 }
		e.Add(now, Cell{Route: route, Server: topo.ServerID(fmt.Sprint(i)), Good: part(target) - part(targetBad), Bad: part(targetBad)})
	}
}

// Guards against a version that is bad later and is found too late, because it was better
// than the others for long before.
func TestLateFailuresAreNotOutweighed(t *testing.T) {
	e, now := NewEvidence(time.Minute), time.Unix(1e6, 0)
	for range 40 {
		addWindow(e, now, "a", 300, 30, 30, 0)
		now = now.Add(time.Second)
	}
	require.False(t, e.Judge().Bad)
	for range 3 {
		addWindow(e, now, "a", 300, 3, 30, 9)
		now = now.Add(time.Second)
	}
	require.True(t, e.Judge().Bad)
}

// Guards against a version that is blamed for a route which fails at all versions, because
// it happened to get more of its requests.
func TestRoutesAreComparedWithThemselves(t *testing.T) {
	e, now := NewEvidence(time.Minute), time.Unix(1e6, 0)
	for range 20 {
		addWindow(e, now, "a", 300, 0, 6, 0)
		addWindow(e, now, "b", 30, 15, 12, 6)
		now = now.Add(time.Second)
	}
	f := e.Judge()
	require.False(t, f.Bad, "%+v", f)
	require.Less(t, f.Strength, float64(holdStrength), "%+v", f)
}

// Guards against a version that is blamed for a time in which all versions fail.
func TestTimesAreComparedWithThemselves(t *testing.T) {
	e, now := NewEvidence(time.Minute), time.Unix(1e6, 0)
	for i := range 20 {
		// The target has most of its requests in the bad time.
		if i%5 == 0 {
			addWindow(e, now, "a", 60, 30, 60, 30)
		} else {
			addWindow(e, now, "a", 300, 0, 3, 0)
		}
		now = now.Add(time.Second)
	}
	f := e.Judge()
	require.False(t, f.Bad, "%+v", f)
	require.Less(t, f.Strength, float64(holdStrength), "%+v", f)
}

// Guards against a judgement on too few responses, or without any on a main route.
func TestEnoughResponses(t *testing.T) {
	e, now := NewEvidence(time.Minute), time.Unix(1e6, 0)
	addWindow(e, now, "a", 300, 0, minAnswers-1, 0)
	require.False(t, e.Judge().Enough)
	addWindow(e, now, "a", 0, 0, 1, 0)
	require.True(t, e.Judge().Enough)
	addWindow(e, now, "b", 60, 0, minRouteAnswers-1, 0)
	require.False(t, e.Judge().Enough)
	addWindow(e, now, "b", 0, 0, 1, 0)
	require.True(t, e.Judge().Enough)
	addWindow(e, now, "rare", 10, 0, 0, 0)
	require.True(t, e.Judge().Enough)
}

// Guards against false alarms: of versions that are alike, no more than the stated part
// is judged bad, and few are held up.
func TestFalseAlarms(t *testing.T) {
	alarms, held := 0, 0
	const plays = 200
	for seed := range uint64(plays) {
		e, now, rng := NewEvidence(time.Minute), time.Unix(1e6, 0), testRand(seed)
		alarm, hold := false, false
		for range 60 {
			bad := func(n int) (k int) {
				for range n {
					if rng.Float64() < 0.03 {
						k++
					}
				}
				return k
			}
			addWindow(e, now, "a", 200, bad(200), 10, bad(10))
			f := e.Judge()
			alarm, hold = alarm || f.Bad, hold || f.Strength >= doubtStrength
			now = now.Add(time.Second)
		}
		if alarm {
			alarms++
		}
		if hold {
			held++
		}
	}
	t.Logf("%d of %d judged bad, %d in doubt at some time", alarms, plays, held)
	require.LessOrEqual(t, alarms, 1)
	require.LessOrEqual(t, held, plays/10)
}
