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

// Guards against a VM that takes an entry of the older copy from which the store came
// back for newer than its own, because its leader started again and knows no other, and
// against a leader that does not tell the VMs of an entry which it doubted at first.
func TestVMsJudgeEntriesOfARestoredStoreAlike(t *testing.T) {
	now := clock.Boot()
	entry := func(id string, seq int64, rev topo.Revision, state directory.State) directory.Server {
		return directory.Server{ID: topo.ServerID(id), Service: "s", StartedAtMs: 1, Seq: seq, State: state, SeenAt: now, Rev: int64(rev)}
	}
	v := view.New()
	v.Directory(func(d *directory.Directory) {
		d.Replace([]directory.Server{entry("leaves", 3, 60, directory.Leaving), entry("back", 3, 61, directory.Ready)}, 70, now)
		d.Remove("back", 71, now)
		d.AdvanceRev(71)
	})
	h := newTestHub()
	h.view.Directory(func(d *directory.Directory) {
		d.Replace([]directory.Server{entry("leaves", 2, topo.RevisionOf(1, 40), directory.Ready)}, int64(topo.RevisionOf(1, 50)), now)
	})
	f := NewFollower(view.Member{VM: "b"}, "boot", v, nil, nil, func(view.Member, topo.Term, uint64) {})
	follow := func() {
		req := f.request(false)
		req.WaitMs = 1
		resp, err := h.follow(context.Background(), req)
		require.NoError(t, err)
		require.NoError(t, f.apply(view.Member{VM: "a"}, resp, now))
	}
	follow()
	require.NotNil(t, h.view.Snapshot().Usable("leaves"), "this leader cannot know better")
	require.NotNil(t, v.Snapshot().Servers["leaves"])
	require.Nil(t, v.Snapshot().Usable("leaves"))

	h.view.Directory(func(d *directory.Directory) {
		d.Put(entry("back", 2, topo.RevisionOf(1, 41), directory.Ready))
	})
	follow()
	require.Nil(t, v.Snapshot().Servers["back"], "the VM knows that it was removed")
	v.Directory(func(d *directory.Directory) { d.Expire(now.Add(directory.StoreRecoveryGrace + time.Minute)) })
	require.NotNil(t, v.Snapshot().Usable("back"), "the store still has the entry")
}

// Guards against sending servers again that the VM has.
func TestOnlyChangedServersAreSent(t *testing.T) {
	h := newTestHub("s1", "s2")
	request := &fleetpb.FollowRequest{Vm: "b", Term: 1}
	first, err := h.follow(context.Background(), request)
	require.NoError(t, err)
	require.Len(t, first.GetServers(), 2)
	request.DirectoryVersion, request.ServersRev = first.GetDirectoryVersion(), first.GetServersRev()
	h.view.Directory(func(d *directory.Directory) {
		d.Put(directory.Server{ID: "s3", Service: "s", State: directory.Ready, Rev: 2})
		d.AdvanceRev(2)
	})
	second, err := h.follow(context.Background(), request)
	require.NoError(t, err)
	require.Len(t, second.GetServers(), 1)
}
