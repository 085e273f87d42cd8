package ownership

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/topo"
)

// Guards against a range of one key that loses its order of fences, its neighbours or its
// handover when it moves, and moves again.
func TestRangeOfOneKeyMoves(t *testing.T) {
	m, now := newGrantedMachine(t)
	owner, fence := ownerB, int64(1)
	for range 3 {
		m.Vacate(500, 500, owner.Server)
		orders := m.Tick(now, math.MaxInt, usable)
		require.Len(t, orders, 1)
		require.Equal(t, Release, orders[0].Kind)
		require.Equal(t, [2]keyrange.Key{500, 500}, [2]keyrange.Key{orders[0].First, orders[0].Last})
		m.Result(now, orders[0], Done, "handed")
		require.Equal(t, []Phase{Held, Free, Held}, phases(m))
		require.True(t, m.Assign(m.Holds()[1], owner))
		m.Pending()
		m.Stored(2)
		orders = m.Tick(now, math.MaxInt, usable)
		require.Len(t, orders, 1)
		require.Equal(t, "handed", orders[0].Handover)
		require.Greater(t, orders[0].Fence, fence)
		fence = orders[0].Fence
		m.Result(now, orders[0], Done, "")
		if owner == ownerB {
			owner = ownerA
		} else {
			owner = ownerB
		}
	}
	require.Equal(t, int64(1), m.Holds()[0].Fence)
	require.Equal(t, int64(1), m.Holds()[2].Fence)
}

// Guards against two servers that hold a key at the same time while stretches of any
// width, among them single keys in the middle of a range, move at once.
func TestOneOwnerWhileSingleKeysMove(t *testing.T) {
	keys := []keyrange.Key{0, 999, 1000, 1001, 30000, 65535}
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(keys)
		stored := &keyrange.Table{Service: "s", NextFence: 1}
		version := uint64(0)
		m := New(start, stored, version, 10*time.Second, false)
		now := start
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(10, 300).Draw(t, "ms")) * time.Millisecond)
			n.advance(now, m)
			switch rapid.IntRange(0, 99).Draw(t, "what") {
			case 1, 2, 3, 4, 5, 6, 7, 8, 9, 10:
				first := rapid.IntRange(0, len(keys)-1).Draw(t, "first")
				last := rapid.IntRange(first, len(keys)-1).Draw(t, "last")
				m.Vacate(keys[first], keys[last], rapid.SampledFrom([]topo.ServerID{"", "a", "b"}).Draw(t, "target"))
			case 20, 21:
				n.cut = !n.cut
			case 40:
				settled := m.Settled(now)
				n.endTerm(now)
				m = New(now, stored, version, 10*time.Second, settled)
			case 60:
				n.restart(rapid.SampledFrom([]topo.ServerID{"a", "b"}).Draw(t, "restarts"), now)
			case 61, 62:
				n.register()
			}
			if len(m.Holds()) == 0 {
				m.AssignInitial([]keyrange.Range{{First: 0, Last: keyrange.MaxKey, Owner: ownerA}})
			}
			for _, h := range m.Holds() {
				if h.Phase == Free {
					m.Assign(h, n.owner(t))
				}
			}
			if table, _, ok := m.Pending(); ok {
				if err := table.Validate(); err != nil {
					t.Fatal(err)
				}
				version++
				stored = table
				m.Stored(version)
			}
			for _, o := range m.Tick(now, math.MaxInt, n.condition) {
				n.send(t, now, o)
			}
			n.requireOneOwner(t, now)
		}
	})
}
