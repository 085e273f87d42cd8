package node

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/egress"
	"godwitlock.example/godwitlock/metric"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// Guards against a server that is used although it said that it leaves, before its
// entry in the store says so, against a pause that is not observed, and against
// invalid fields that are logged with every response or change anything.
func TestServerNotices(t *testing.T) {
	var out bytes.Buffer
	n := &Node{view: view.New(), metrics: metric.New(), log: declog.New(&out, "a"), notices: newNotices()}
	n.view.Directory(func(d *directory.Directory) {
		for _, id := range []topo.ServerID{"left", "paused", "odd"} {
			d.Put(directory.Server{ID: id, Service: "s", StartedAtMs: 1, State: directory.Ready, Rev: 1})
		}
	})
	id := func(s topo.ServerID) topo.Incarnation { return topo.Incarnation{Server: s, StartedAtMs: 1} }
	for range 3 {
		n.serverNotice(id("left"), egress.Notice{Leaving: true})
		n.serverNotice(id("paused"), egress.Notice{Pause: time.Minute})
		n.serverNotice(id("odd"), egress.Notice{Invalid: `Field: "x"`})
	}
	snap := n.view.Snapshot()
	require.Nil(t, snap.Usable("left"))
	require.NotNil(t, snap.Usable("paused"))
	require.NotNil(t, snap.Usable("odd"))
	require.Positive(t, n.pauses.Left(id("paused"), bootNow()))
	require.Zero(t, n.pauses.Left(id("odd"), bootNow()))
	n.log.Flush()
	require.Equal(t, 1, strings.Count(out.String(), "server_leaving"))
	require.Equal(t, 1, strings.Count(out.String(), "notice_invalid"))
	require.Positive(t, strings.Count(out.String(), "server_pause"))
}

// Guards against a leader that is never told of a server that leaves since the
// report to it, or to the leader before it, was lost.
func TestEachLeaderIsToldOfServersThatLeave(t *testing.T) {
	n := newNotices()
	id := topo.Incarnation{Server: "s", StartedAtMs: 1}
	require.True(t, n.addLeaving(id))
	<-n.wake
	for range 2 {
		require.Equal(t, []topo.Incarnation{id}, n.untold(4))
	}
	n.recordTold([]topo.Incarnation{id}, 4)
	require.Empty(t, n.untold(4))
	require.Equal(t, []topo.Incarnation{id}, n.untold(5))
	require.False(t, n.addLeaving(id))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.Error(t, (&Node{notices: n}).runLeaving(ctx))
}
