package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/rollout"
	"godwitlock.example/godwitlock/topo"
)

// fakeRollouts is both the leader's and the follower's side of a roll-out.
type fakeRollouts struct {
	Rollouts
	rights  []rollout.Right
	known   bool
	applied [][]rollout.Right
	held    map[topo.ServiceName]string
}

func (f *fakeRollouts) Version() uint64 { return 7 }

func (f *fakeRollouts) Rights(p rollout.Process) ([]rollout.Right, time.Duration, bool) {
	return f.rights, time.Second, f.known
}

func (f *fakeRollouts) Held() map[topo.ServiceName]rollout.Limit {
	return map[topo.ServiceName]rollout.Limit{"s": {Target: "v2"}}
}

func (f *fakeRollouts) Apply(list []rollout.Right) { f.applied = append(f.applied, list) }

func (f *fakeRollouts) Hold(service topo.ServiceName, target string) { f.held[service] = target }

func (f *fakeRollouts) Reverted() map[topo.ServiceName]rollout.Right { return nil }

// Guards against rights that change on their way to a VM, that are valid from the arrival
// of a late response on, or that an earlier leader gives, and against a VM that takes a
// leader without knowledge for one that allows everything.
func TestRightsReachTheFollower(t *testing.T) {
	f := &fakeRollouts{known: true, held: make(map[topo.ServiceName]string), rights: []rollout.Right{{
		Service: "s", Target: "v2", Number: 3, State: rollout.Complete, Mode: rollout.Ended, Share: 0.05, Granted: 9, Barred: []string{"v0"},
	}}}
	hub, follower := &Hub{Rollouts: f}, &Follower{Rollouts: f}
	response := func(term uint64) *fleetpb.FollowResponse {
		out := &fleetpb.FollowResponse{Leads: true, Term: term}
		hub.fillRollouts(out, &fleetpb.FollowRequest{Vm: "b"})
		return out
	}
	sent := time.Unix(100, 0)
	follower.applyRollouts(response(4), sent)
	want := f.rights[0]
	want.Term, want.Until = 4, sent.Add(time.Second)
	require.Equal(t, [][]rollout.Right{{want}}, f.applied)
	require.EqualValues(t, 7, follower.rolloutsVersion)
	follower.applyRollouts(response(3), sent)
	require.Len(t, f.applied, 1, "an earlier leader")

	f.known = false
	follower.applyRollouts(response(5), sent)
	require.Len(t, f.applied, 1)
	require.Equal(t, map[topo.ServiceName]string{"s": "v2"}, f.held)
	require.Equal(t, rollout.Reverted, decodeRolloutState(0))
	require.Equal(t, rollout.Reverted, decodeRolloutState(9))
}

// Guards against followers that call without a pause because the leader's version of the
// roll-outs differs from that of the last leader.
func TestFollowerLacksRolloutsOnlyInTheSameTerm(t *testing.T) {
	hub := &Hub{Rollouts: &fakeRollouts{}}
	require.True(t, hub.lacksRollouts(&fleetpb.FollowRequest{Term: 2, RolloutsVersion: 6}, 2))
	require.False(t, hub.lacksRollouts(&fleetpb.FollowRequest{Term: 2, RolloutsVersion: 7}, 2))
	require.False(t, hub.lacksRollouts(&fleetpb.FollowRequest{Term: 1, RolloutsVersion: 6}, 2))
	require.False(t, (&Hub{}).lacksRollouts(&fleetpb.FollowRequest{Term: 2}, 2))
}
