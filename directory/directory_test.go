package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/topo"
)

var start = time.Unix(1000, 0)

func entry(id string, rev int64) Server {
	return Server{ID: topo.ServerID(id), Service: "s", DataCentre: "z", Slots: 3, State: Ready, Rev: rev}
}

// Guards against removing live servers whose entries expired during an outage
// of the store and return within two seconds.
func TestGraceTimeAfterStoreOutage(t *testing.T) {
	d := New()
	d.Put(entry("back", 1))
	d.Put(entry("gone", 2))
	d.SetOutageEnd(start)
	d.Replace(nil, 10, start)
	require.NotNil(t, d.Server("back"))
	d.Put(entry("back", 11))
	d.Expire(start.Add(StoreRecoveryGrace))
	require.NotNil(t, d.Server("back"))
	require.Nil(t, d.Server("gone"))
	d.Remove("back", 12, start.Add(StoreRecoveryGrace))
	require.Nil(t, d.Server("back"), "a removal after the grace time takes effect at once")
}

// Guards against servers that stay in use after they left, because it was believed for a
// moment that their entries had expired in an outage of the store.
func TestLapsedServersAreDroppedIfThereWasNoOutage(t *testing.T) {
	d := New()
	d.Put(entry("a", 1))
	d.SetOutageEnd(start)
	d.Remove("a", 2, start)
	require.True(t, d.Usable(d.Server("a")))
	require.True(t, d.Lapsed("a"))
	d.SetOutageEnd(time.Time{})
	d.Expire(start)
	require.Nil(t, d.Server("a"))
	require.False(t, d.Lapsed("a"))

	d = New()
	d.Replace([]Server{entry("a", 60)}, 70, start)
	d.Replace(nil, restored(50), start)
	d.SetOutageEnd(time.Time{})
	d.Expire(start)
	require.NotNil(t, d.Server("a"), "the store came back from an older copy")
}

// Guards against older updates that undo newer ones when updates arrive out of
// order.
func TestOlderUpdatesAreIgnored(t *testing.T) {
	d := New()
	d.Put(entry("a", 5))
	leaving := entry("a", 7)
	leaving.State = Leaving
	d.Put(leaving)
	d.Put(entry("a", 6))
	require.False(t, d.Usable(d.Server("a")))
	d.Remove("a", 6, start)
	require.NotNil(t, d.Server("a"))
	d.Remove("a", 8, start)
	d.Put(entry("a", 7))
	require.Nil(t, d.Server("a"))
	d.Put(entry("a", 9))
	require.NotNil(t, d.Server("a"))
}

// Guards against a follower that keeps servers which the leader has removed, or
// removes servers that the leader does not know yet.
func TestFollowerAppliesRemovals(t *testing.T) {
	d := New()
	d.Put(entry("a", 1))
	d.Put(entry("b", 2))
	v := d.Version()
	d.Remove("a", 3, start)
	removed, known := d.RemovedSince(v)
	require.True(t, known)
	require.Equal(t, []topo.ServerID{"a"}, removed)
	follower := New()
	follower.Put(entry("a", 1))
	follower.Put(entry("new", 9))
	follower.ApplyRemovals(removed, 3)
	require.Nil(t, follower.Server("a"))
	follower.RetainOnly(map[topo.ServerID]bool{"b": true}, 3)
	require.NotNil(t, follower.Server("new"))
	for range maxRemovals + 1 {
		d.Put(entry("x", d.rev+1))
		d.Remove("x", d.rev+2, start)
		d.AdvanceRev(d.rev + 2)
	}
	_, known = d.RemovedSince(v)
	require.False(t, known)
}

// Guards against a data centre that stays in service after its evacuation, or
// out of service after the evacuation ended.
func TestEvacuation(t *testing.T) {
	d := New()
	d.Put(entry("a", 1))
	d.SetEvacuated([]topo.DataCentreName{"z"}, 5)
	require.False(t, d.Usable(d.Server("a")))
	d.SetEvacuated(nil, 4)
	require.False(t, d.Usable(d.Server("a")), "an update with an older revision is ignored")
	d.SetEvacuated(nil, 6)
	require.True(t, d.Usable(d.Server("a")))
}
