package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

var start = time.Unix(1000, 0)

func newChooser() *Chooser { return New(rand.New(rand.NewPCG(1, 2))) }

func pools(dataCentres ...string) []view.Pool {
	var out []view.Pool
	for i, dc := range dataCentres {
		out = append(out, view.Pool{Name: fmt.Sprintf("%s/%d", dc, i), DataCentre: topo.DataCentreName(dc), Slots: 10})
	}
	return out
}

// Guards against requests that leave their data centre although it has room, and
// against parts that get a share other than that of their slots.
func TestRequestsStayInTheirDataCentre(t *testing.T) {
	c, list := newChooser(), pools("a", "a", "b")
	list[0].Slots = 30
	got := make(map[string]int)
	for range 4000 {
		p, ok := c.Choose(list, "a", nil, start)
		require.True(t, ok)
		got[p.Name]++
	}
	require.Zero(t, got["b/2"])
	require.InDelta(t, 3000, got["a/0"], 150)
}

// Guards against requests that wait in a busy part while another has room, also in
// another data centre, and against a part that is avoided for good.
func TestBusyPartsAreAvoidedForATime(t *testing.T) {
	c, list := newChooser(), pools("a", "a", "b")
	c.Observe("a/0", 0, false, start)
	c.Observe("a/1", 40*time.Millisecond, true, start)
	share := func(now time.Time) map[string]int {
		got := make(map[string]int)
		for range 1000 {
			p, _ := c.Choose(list, "a", nil, now)
			got[p.Name]++
		}
		return got
	}
	now := share(start)
	require.Greater(t, now["a/1"], 700, "%v", now)
	require.Less(t, now["a/0"], 10, "%v", now)
	c.Observe("a/1", 0, false, start)
	require.Greater(t, share(start)["b/2"], 990)
	later := share(start.Add(4 * time.Second))
	require.InDelta(t, 500, later["a/0"], 250, "%v", later)
	require.Zero(t, later["b/2"])
}

func TestTriedPartsAreLeftOut(t *testing.T) {
	c, list := newChooser(), pools("a", "b")
	p, ok := c.Choose(list, "a", []string{"a/0"}, start)
	require.True(t, ok)
	require.Equal(t, "b/1", p.Name)
	_, ok = c.Choose(list, "a", []string{"a/0", "b/1"}, start)
	require.False(t, ok)
	_, ok = c.Choose(list[:1], "a", []string{"a/0"}, start)
	require.False(t, ok)
}
