package bound

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testDay returns a day of 10 s with one service of 10 slots and one kind of request
// that takes 100 ms, so that 100 requests per second can be done.
func testDay(perSecond float64) Day {
	const length = 10 * time.Second
	return Day{
		Length:   length,
		Services: []Service{{Name: "s", Slots: 10, ServerSlots: 2}},
		Kinds: []Kind{{
			Name: "k", Services: []string{"s"}, Work: 100 * time.Millisecond,
			Objective: 250 * time.Millisecond, Deadline: 500 * time.Millisecond, Worth: 1,
		}},
		Loads:   []Load{{Kind: "k", To: length, PerSecond: perSecond}},
		Weights: Weights{Day: 1},
	}
}

// Guards against bounds above what the slots can do, and below it.
func TestBoundOfOverload(t *testing.T) {
	require.Equal(t, 1.0, Of(testDay(100)).Total)
	require.InDelta(t, 0.5, Of(testDay(200)).Total, 0.03, "twice what the slots can do")
	d := testDay(100)
	d.Changes = []Change{{Services: []string{"s"}, From: 0, To: 5 * time.Second, Factor: 0.2}}
	r := Of(d)
	require.InDelta(t, 0.6, r.Day, 0.03)
	require.InDelta(t, 0.2, r.Windows, 0.04, "a fifth of the slots, and the bin after the window")
}

// Guards against a bound that shares the work of the few servers that own hot keys
// among all servers.
func TestBoundOfHotKeys(t *testing.T) {
	d := testDay(100)
	d.HotKeys = []HotKeys{{Kinds: []string{"k"}, To: d.Length, Share: 0.5, Keys: 1}}
	require.InDelta(t, 0.7, Of(d).Day, 0.02, "50 of the others and 20 of the 50 hot ones")
	d.HotKeys[0].Keys = 3
	require.InDelta(t, 1, Of(d).Day, 0.02)
}

// Guards against a bound that spends slots on requests that earn less for their work,
// and against late responses that count in full.
func TestBoundPrefersWorth(t *testing.T) {
	d := testDay(100)
	urgent := d.Kinds[0]
	urgent.Name, urgent.Worth = "urgent", 3
	d.Kinds = append(d.Kinds, urgent)
	d.Loads = append(d.Loads, Load{Kind: "urgent", To: d.Length, PerSecond: 100})
	r := Of(d)
	require.InDelta(t, 0.75, r.Day, 0.02)
	require.Equal(t, 1.0, r.Kind, "each kind alone could be served")

	d = testDay(100)
	d.Kinds[0].LateWorth, d.Kinds[0].Deadline = 0.1, 20*time.Second
	d.Changes = []Change{{Services: []string{"s"}, To: 5 * time.Second, Factor: 0}}
	require.InDelta(t, 0.55, Of(d).Day, 0.04, "half in time, the rest late")
	require.Equal(t, 1.0, Of(d).Served)
}

// Guards against a bound that is too low since a change may strike any service.
func TestBoundAssumesTheLeastHarm(t *testing.T) {
	d := testDay(100)
	d.Services = append(d.Services, Service{Name: "idle", Slots: 1})
	d.Changes = []Change{{Services: []string{"s", "idle"}, To: d.Length, Factor: 0}}
	require.Equal(t, 1.0, Of(d).Total)
}

// Guards against a bound that a simple schedule exceeds: first in, first out.
func TestNoScheduleExceedsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := testDay(0)
		d.Loads = nil
		for range rapid.IntRange(1, 4).Draw(t, "loads") {
			from := time.Duration(rapid.IntRange(0, 9000).Draw(t, "from")) * time.Millisecond
			d.Loads = append(d.Loads, Load{Kind: "k", From: from, To: from + time.Second, PerSecond: rapid.Float64Range(1, 400).Draw(t, "rate")})
		}
		d.Changes = []Change{{Services: []string{"s"}, From: time.Second, To: 3 * time.Second, Factor: rapid.Float64Range(0, 2).Draw(t, "factor")}}
		earned, owed := firstInFirstOut(d)
		if bound := Of(d).Day; owed > 0 && earned/owed > bound+1e-3 {
			t.Fatalf("a schedule earns %.4f, more than the bound %.4f", earned/owed, bound)
		}
	})
}

// firstInFirstOut returns what is earned and what is owed when the requests of the only
// kind are served in the order of their arrival, unless they are too late.
func firstInFirstOut(d Day) (earned, owed float64) {
	k := d.Kinds[0]
	type waiting struct {
		bin  int
		work float64
	}
	var queue []waiting
	for bin := range bins(d.Length + k.Deadline) {
		if bin < bins(d.Length) {
			requests, _, _ := d.arrivals(k, bin)
			queue = append(queue, waiting{bin, requests * float64(k.Work.Microseconds())})
			owed += requests
		}
		left := float64(d.capacity(d.Services[0], bin))
		for i := range queue {
			if bin-queue[i].bin > bins(k.Objective) {
				queue[i].work = 0
			}
			done := math.Min(left, queue[i].work)
			queue[i].work -= done
			left -= done
			earned += done / float64(k.Work.Microseconds())
		}
	}
	return earned, owed
}
