package fleet

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// Guards against VMs that miss changes of the servers while the leader does not
// answer, or that take the state of a relay which does not know the store's.
func TestRelayTellsTheDirectoryWhileThereIsNoLeader(t *testing.T) {
	h := newTestHub("s1", "s2")
	h.leads = func() (topo.Term, bool) { return 0, false }
	ctx := context.Background()
	v := view.New()
	v.Directory(func(d *directory.Directory) {
		d.Put(directory.Server{ID: "gone", Service: "s", State: directory.Ready, Rev: 1})
	})
	f := NewFollower(view.Member{VM: "b"}, "boot", v, nil, nil, nil)
	request := func() *fleetpb.FollowRequest {
		req := f.request(false)
		req.RelayBoot, req.RelayVersion, req.WaitMs = f.relay.boot, f.relay.directoryVersion, 1
		return req
	}

	resp, err := h.follow(ctx, request())
	require.NoError(t, err)
	require.False(t, resp.GetRelays() || resp.GetLeads(), "this VM does not relay")

	fresh := false
	h.Relay = &Relay{Boot: "relay", Fresh: func() bool { return fresh }}
	resp, err = h.follow(ctx, request())
	require.NoError(t, err)
	require.False(t, resp.GetRelays(), "the relay had no response of the store")

	fresh = true
	resp, err = h.follow(ctx, request())
	require.NoError(t, err)
	require.True(t, resp.GetRelays())
	require.False(t, resp.GetLeads())
	require.Empty(t, resp.GetMembers())
	require.NoError(t, f.applyRelay(resp, clock.Boot()))
	require.NotNil(t, v.Snapshot().Usable("s1"))
	require.Nil(t, v.Snapshot().Servers["gone"])
	lastResponse, storeContact := f.RelayContact()
	require.False(t, lastResponse.IsZero() || storeContact.IsZero())

	h.view.Directory(func(d *directory.Directory) {
		d.Remove("s1", 2, clock.Boot())
		d.AdvanceRev(2)
	})
	resp, err = h.follow(ctx, request())
	require.NoError(t, err)
	require.False(t, resp.GetComplete(), "only changes are sent")
	require.NoError(t, f.applyRelay(resp, clock.Boot()))
	require.Nil(t, v.Snapshot().Usable("s1"))
	require.NotNil(t, v.Snapshot().Usable("s2"))

	resp, err = h.follow(ctx, request())
	require.NoError(t, err)
	require.Zero(t, resp.GetServersRev(), "nothing changed")
}
