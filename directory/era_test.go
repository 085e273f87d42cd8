package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/topo"
)

// restored returns the revision at which the store's counter has the given value after
// it came back from an older copy.
func restored(counter uint64) int64 { return int64(topo.RevisionOf(1, counter)) }

// written returns an entry as its server wrote it.
func written(id string, seq, rev int64, state State, seen time.Time) Server {
	return Server{ID: topo.ServerID(id), StartedAtMs: 7, Seq: seq, Rev: rev, State: state, SeenAt: seen}
}

// Guards against dropping servers whose entries the store lost when it came back from
// an older copy, although they write them again.
func TestServerMissingFromARestoredStoreIsKeptForTheGraceTime(t *testing.T) {
	d := New()
	d.Replace([]Server{written("back", 1, 60, Ready, start), written("same", 1, 61, Ready, start), written("gone", 1, 62, Ready, start)}, 70, start)
	d.Replace(nil, restored(50), start)
	for _, id := range []topo.ServerID{"back", "same", "gone"} {
		require.True(t, d.Usable(d.Server(id)), id)
	}
	d.Put(written("back", 2, restored(51), Ready, start))
	d.Put(written("same", 1, restored(52), Ready, start))
	d.Expire(start.Add(StoreRecoveryGrace))
	require.True(t, d.Usable(d.Server("back")))
	require.True(t, d.Usable(d.Server("same")))
	require.Nil(t, d.Server("gone"))
}

// Guards against new requests to a server that leaves, because the copy from which the
// store came back is older than its report.
func TestServerThatLeavesIsNotReadyAfterARestore(t *testing.T) {
	d := New()
	d.Put(written("a", 3, 60, Leaving, start))
	d.Put(written("b", 3, 61, Leaving, start))
	d.Remove("b", 62, start)
	d.AdvanceRev(70)
	later := start.Add(time.Hour)
	for i, now := range []time.Time{start, later} {
		rev := restored(50 + 10*uint64(i))
		d.Replace([]Server{written("a", 2, rev-2, Ready, now), written("b", 2, rev-1, Ready, now)}, rev, now)
		d.Expire(now)
		require.False(t, d.Usable(d.Server("a")))
		require.False(t, d.Usable(d.Server("b")))
	}
	d.Put(written("a", 4, restored(80), Ready, later))
	require.False(t, d.Usable(d.Server("a")), "leaving is final for an incarnation")
	next := written("a", 1, restored(81), Ready, later)
	next.StartedAtMs = 8
	d.Put(next)
	require.True(t, d.Usable(d.Server("a")))
}

// Guards against new requests to a server that is gone, because the copy from which the
// store came back has its entry, and against ignoring such a server that is alive.
func TestServerThatWasRemovedIsDoubtfulAfterARestore(t *testing.T) {
	d := New()
	for _, id := range []string{"gone", "alive", "silent"} {
		d.Put(written(id, 3, 60, Ready, start))
		d.Remove(topo.ServerID(id), 65, start)
	}
	d.AdvanceRev(70)
	copied := []Server{}
	for _, id := range []string{"gone", "alive", "silent"} {
		copied = append(copied, written(id, 2, restored(40), Ready, start))
	}
	d.Replace(copied, restored(50), start)
	for _, s := range copied {
		require.Nil(t, d.Server(s.ID))
	}
	d.Put(written("alive", 4, restored(51), Ready, start))
	require.True(t, d.Usable(d.Server("alive")), "it has written its entry since")
	d.Remove("gone", restored(52), start)
	version := d.Version()
	d.Expire(start.Add(StoreRecoveryGrace))
	require.Nil(t, d.Server("gone"))
	require.True(t, d.Usable(d.Server("silent")), "the store still has the entry")
	require.True(t, d.ChangedSince(d.Server("silent"), version))
	require.False(t, d.ChangedSince(d.Server("alive"), version))
}

// Guards against older data of a server in the copy from which the store came back.
func TestOlderEntryOfARestoredStoreIsIgnored(t *testing.T) {
	d := New()
	moved := written("a", 3, 60, Ready, start)
	moved.Slots = 9
	d.Put(moved)
	d.Replace([]Server{written("a", 2, restored(40), Ready, start)}, restored(50), start)
	require.Equal(t, 9, d.Server("a").Slots)
	d.Put(written("a", 4, restored(51), Ready, start))
	require.Zero(t, d.Server("a").Slots)
	d.Put(written("a", 1, restored(52), Ready, start))
	require.Equal(t, int64(1), d.Server("a").Seq, "within an era the revision decides")
	d.Remove("a", restored(53), start.Add(StoreRecoveryGrace))
	require.Nil(t, d.Server("a"))
}
