package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// configOf returns a view with a configuration of the given version that was confirmed
// at the given revision.
func configOf(version int64, rev topo.Revision) *view.View {
	v := view.New()
	v.SetConfig(&routemap.Map{Version: version}, []byte{byte(version)}, int64(rev))
	return v
}

// adopter returns a function that puts a configuration of a test in force.
func adopter(v *view.View) func([]byte) error {
	return func(raw []byte) error {
		v.AdoptConfig(&routemap.Map{Version: int64(raw[0])}, raw)
		return nil
	}
}

// newPair returns a leader and a follower, and a function by which the follower calls once.
func newPair(t *testing.T, leader, follower *view.View) func() *fleetpb.FollowResponse {
	h := newTestHub()
	h.view, h.AdoptConfig = leader, adopter(leader)
	f := NewFollower(view.Member{VM: "b"}, "boot", follower, nil, func(raw []byte, rev int64) error {
		follower.SetConfig(&routemap.Map{Version: int64(raw[0])}, raw, rev)
		return nil
	}, func(view.Member, topo.Term, uint64) {})
	f.AdoptConfig = adopter(follower)
	return func() *fleetpb.FollowResponse {
		req := f.request(false)
		req.WaitMs = 1
		resp, err := h.follow(t.Context(), req)
		require.NoError(t, err)
		require.NoError(t, f.apply(view.Member{VM: "a"}, resp, clock.Boot()))
		return resp
	}
}

// Guards against a leader that started as the store came back from an older copy, and goes
// on under the configuration of that copy although its followers know a newer one.
func TestLeaderTakesANewerConfigurationFromAFollower(t *testing.T) {
	restored := topo.RevisionOf(2, 50)
	leader, follower := configOf(1, restored), configOf(2, 70)
	require.False(t, leader.LacksVersion())
	follow := newPair(t, leader, follower)
	require.True(t, follow().GetWantsConfig())
	require.True(t, leader.LacksVersion(), "keys that version 2 withdrew may be in the configuration in force")
	require.False(t, follow().GetWantsConfig())
	require.False(t, leader.LacksVersion())
	require.EqualValues(t, 2, leader.ConfigVersion())
	require.EqualValues(t, 2, follower.ConfigVersion())
	// The operator writes it again.
	leader.SetConfig(&routemap.Map{Version: 2}, []byte{2}, int64(restored)+1)
	require.False(t, follow().GetWantsConfig())
	require.EqualValues(t, 2, follower.ConfigVersion())
}

// Guards against a VM that read an older configuration at a newer revision and does not take
// the leader's, which has a higher version.
func TestFollowerTakesANewerConfigurationOfAnEarlierEra(t *testing.T) {
	restored := topo.RevisionOf(2, 50)
	for _, known := range []topo.Revision{70, restored} {
		leader, follower := configOf(2, 70), configOf(1, restored)
		leader.SetConfig(&routemap.Map{Version: 1}, []byte{1}, int64(known))
		follow := newPair(t, leader, follower)
		require.NotEmpty(t, follow().GetConfigGzip())
		require.EqualValues(t, 2, follower.ConfigVersion())
		require.Empty(t, follow().GetConfigGzip())
	}
}

// Guards against asking all VMs at once for a configuration that may have a megabyte.
func TestNewerConfigurationIsAskedForOnce(t *testing.T) {
	leader := configOf(1, 50)
	h := newTestHub()
	h.view, h.AdoptConfig = leader, adopter(leader)
	now := clock.Boot()
	req := &fleetpb.FollowRequest{ConfigVersion: 2}
	require.True(t, h.wantsConfig(now, req))
	require.False(t, h.wantsConfig(now, req))
	require.True(t, h.wantsConfig(now.Add(askConfigInterval), req))
	require.False(t, h.wantsConfig(now.Add(2*askConfigInterval), &fleetpb.FollowRequest{ConfigVersion: 1}))
}

// Guards against a leader that sends its configuration with each response to a VM of an
// earlier release, which names no version.
func TestConfigurationIsSentOnceToAVMOfAnEarlierRelease(t *testing.T) {
	h := newTestHub()
	h.view = configOf(2, 70)
	resp, err := h.follow(t.Context(), &fleetpb.FollowRequest{ConfigRev: 70, WaitMs: 1})
	require.NoError(t, err)
	require.Empty(t, resp.GetConfigGzip())
	resp, err = h.follow(t.Context(), &fleetpb.FollowRequest{WaitMs: 1})
	require.NoError(t, err)
	require.NotEmpty(t, resp.GetConfigGzip())
}

// Guards against a configuration that changes on the way between VMs, so that an empty list
// arrives as none: from the leader, from a relay, and from a VM that knows a newer one.
func TestConfigurationReachesOtherVMsAsItIsStored(t *testing.T) {
	raw := []byte(`{"version":3,"customers":[],"routes":null}`)
	known := func() *view.View {
		v := view.New()
		v.SetConfig(&routemap.Map{Version: 3}, raw, 70)
		return v
	}
	decode := func(v *view.View) func([]byte) error {
		return func(raw []byte) error {
			v.AdoptConfig(&routemap.Map{Version: 3}, raw)
			return nil
		}
	}
	for name, leads := range map[string]bool{"leader": true, "relay": false} {
		h, v := newTestHub(), view.New()
		h.view, h.leads = known(), func() (topo.Term, bool) { return 1, leads }
		h.Relay = &Relay{Boot: "relay", Fresh: func() bool { return true }}
		f := NewFollower(view.Member{VM: "b"}, "boot", v, nil, func(raw []byte, rev int64) error {
			v.SetConfig(&routemap.Map{Version: 3}, raw, rev)
			return nil
		}, func(view.Member, topo.Term, uint64) {})
		req := f.request(false)
		req.WaitMs = 1
		resp, err := h.follow(t.Context(), req)
		require.NoError(t, err)
		require.NoError(t, f.applyStoreState(resp))
		got, _ := v.Config()
		require.Equal(t, string(raw), string(got), name)
	}
	leader := view.New()
	h := newTestHub()
	h.view, h.AdoptConfig = leader, decode(leader)
	f := NewFollower(view.Member{VM: "b"}, "boot", known(), nil, nil, nil)
	f.wantsConfig.Store(true)
	req := f.request(false)
	h.takeConfig(req)
	got, _ := leader.Config()
	require.Equal(t, string(raw), string(got), "from a VM that knows a newer one")
}
