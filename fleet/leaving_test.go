package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// newTestHub returns a hub that leads term 1 over a view with the given servers.
func newTestHub(servers ...topo.ServerID) *Hub {
	v := view.New()
	v.Directory(func(d *directory.Directory) {
		for _, id := range servers {
			d.Put(directory.Server{ID: id, Service: "s", StartedAtMs: 1, State: directory.Ready, Rev: 1})
		}
		d.AdvanceRev(1)
	})
	return NewHub(v, view.Member{VM: "leader"}, func() (topo.Term, bool) { return 1, true }, func() uint64 { return 1 }, clock.Boot, nil)
}

// Guards against VMs that go on using a server which said to another VM that it
// leaves, and against sending the same servers to a VM again with every change.
func TestServerThatLeavesIsToldToAllVMs(t *testing.T) {
	h := newTestHub("s1", "s2")
	follower := view.New()
	follow := func(version uint64) *fleetpb.FollowResponse {
		resp, err := h.follow(context.Background(), &fleetpb.FollowRequest{Vm: "b", Term: 1, DirectoryVersion: version})
		require.NoError(t, err)
		follower.Directory(func(d *directory.Directory) { applyDirectory(d, resp, time.Unix(1000, 0)) })
		return resp
	}
	first := follow(0)
	require.NotNil(t, follower.Snapshot().Usable("s1"))

	var logged []topo.Incarnation
	h.OnLeaving = func(id topo.Incarnation) { logged = append(logged, id) }
	report := &fleetpb.ReportRequest{Vm: "c", Leaving: []*fleetpb.Incarnation{{Server: "s1", Born: 1}, {Server: "s2", Born: 0}}}
	for range 2 {
		require.Equal(t, uint64(1), h.report(report).GetTerm())
	}
	require.Contains(t, logged, topo.Incarnation{Server: "s1", StartedAtMs: 1})
	require.Len(t, logged, 2)

	second := follow(first.GetDirectoryVersion())
	require.Nil(t, follower.Snapshot().Usable("s1"))
	require.NotNil(t, follower.Snapshot().Usable("s2"), "another incarnation of s2 leaves")
	require.Len(t, second.GetLeaving(), 1)

	h.view.Directory(func(d *directory.Directory) {
		d.Put(directory.Server{ID: "s3", Service: "s", State: directory.Ready, Rev: 2})
	})
	require.Empty(t, follow(second.GetDirectoryVersion()).GetLeaving())
}
