package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/topo"
)

func TestServerThatLeavesIsNotUsable(t *testing.T) {
	d := New()
	entry := Server{ID: "s", StartedAtMs: 7, State: Ready, Rev: 1}
	d.Put(entry)
	before := d.Version()
	id := entry.Incarnation()
	require.True(t, d.MarkLeaving(id))
	require.False(t, d.MarkLeaving(id))
	require.Equal(t, before+1, d.Version())
	require.False(t, d.Usable(d.Server("s")))
	require.Equal(t, []topo.Incarnation{id}, d.LeavingSince(before))
	require.Empty(t, d.LeavingSince(d.Version()))

	// A later entry of the same incarnation, or its return after an outage of the
	// store, does not make it usable again.
	entry.Rev = 2
	d.Put(entry)
	require.False(t, d.Usable(d.Server("s")))
	d.Remove("s", 3, time.Unix(1000, 0))
	entry.Rev = 4
	d.Put(entry)
	require.False(t, d.Usable(d.Server("s")))

	// Another start under the same id does, and a late answer of the earlier
	// incarnation does not change that.
	next := Server{ID: "s", StartedAtMs: 8, State: Ready, Rev: 5}
	d.Put(next)
	require.True(t, d.Usable(d.Server("s")))
	require.False(t, d.MarkLeaving(id))
	require.True(t, d.Usable(d.Server("s")))
	require.True(t, d.MarkLeaving(next.Incarnation()))
	require.False(t, d.Usable(d.Server("s")))
}

// Guards against marks that grow without bounds, and against deleting the marks of
// servers that have an entry before those of servers that have none.
func TestLeavingMarksAreBounded(t *testing.T) {
	d := New()
	d.Put(Server{ID: "s", StartedAtMs: 1, State: Ready, Rev: 1})
	d.MarkLeaving(topo.Incarnation{Server: "s", StartedAtMs: 1})
	for i := range 2 * maxLeavingMarks {
		d.MarkLeaving(topo.Incarnation{Server: topo.ServerID(rune('a' + i)), StartedAtMs: 1})
	}
	require.LessOrEqual(t, len(d.leaving), maxLeavingMarks)
	require.True(t, d.IsLeaving(topo.Incarnation{Server: "s", StartedAtMs: 1}))
}
