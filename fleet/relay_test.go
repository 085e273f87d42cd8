package fleet

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/routemap"
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

// Guards against a leader that sends its configuration again and again to a VM which
// ignores it: the store came back from an older copy before the leader read it, and
// the VM knows a newer version.
func TestOlderConfigurationIsSentOnce(t *testing.T) {
	config := func(version int64) (*routemap.Map, []byte) {
		return &routemap.Map{Version: version}, []byte{byte(version)}
	}
	restored := int64(topo.RevisionOf(1, 50))
	h := newTestHub()
	m, raw := config(10)
	require.True(t, h.view.SetConfig(m, raw, restored))
	v := view.New()
	m, raw = config(12)
	require.True(t, v.SetConfig(m, raw, 70))
	f := NewFollower(view.Member{VM: "b"}, "boot", v, nil, func(raw []byte, rev int64) error {
		v.SetConfig(&routemap.Map{Version: int64(raw[0])}, raw, rev)
		return nil
	}, func(view.Member, topo.Term, uint64) {})
	follow := func() *fleetpb.FollowResponse {
		req := f.request(false)
		req.WaitMs = 1
		resp, err := h.follow(t.Context(), req)
		require.NoError(t, err)
		require.NoError(t, f.apply(view.Member{VM: "a"}, resp, clock.Boot()))
		return resp
	}
	require.NotEmpty(t, follow().GetConfigGzip())
	require.Equal(t, int64(12), v.Snapshot().Routes.Version)
	require.Empty(t, follow().GetConfigGzip())

	// The operator writes the versions again that were lost.
	for i, version := range []int64{11, 12, 13} {
		m, raw = config(version)
		h.view.SetConfig(m, raw, restored+1+int64(i))
		follow()
		require.Equal(t, max(12, version), v.Snapshot().Routes.Version)
		require.Empty(t, follow().GetConfigGzip())
	}
}
