package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// followNow sends a Follow call that does not wait.
func followNow(t *testing.T, h *Hub, vm, boot string, memberlessMS int64, membersVersion uint64) *fleetpb.FollowResponse {
	resp, err := h.follow(context.Background(), &fleetpb.FollowRequest{
		Vm: vm, Boot: boot, Addr: vm + ":1", MemberlessMs: memberlessMS, MembersVersion: membersVersion,
	})
	require.NoError(t, err)
	return resp
}

// endDiscovery publishes the members as if the time for collecting them had passed.
func endDiscovery(h *Hub) {
	h.mu.Lock()
	h.discoveryEnd = clock.Boot().Add(-time.Millisecond)
	h.mu.Unlock()
	h.Expire(clock.Boot())
}

// Guards against customers that are refused within their rate after all VMs have
// restarted, and against two homes that count the same time.
func TestHomelessTimeAfterAllVMsRestarted(t *testing.T) {
	newTerm := func() *Hub {
		h := newTestHub()
		h.self = view.Member{VM: "leader"}
		h.started = clock.Boot().Add(-time.Second)
		h.BeginTerm(clock.Boot())
		return h
	}
	h := newTerm()
	followNow(t, h, "a", "a1", 500, 0)
	followNow(t, h, "b", "b1", 300, 0)
	require.Zero(t, followNow(t, h, "a", "a1", 510, 0).GetHomelessMs(), "members are not published")
	endDiscovery(h)
	for _, vm := range []string{"a", "b"} {
		require.InDelta(t, 300, followNow(t, h, vm, vm+"1", 600, 0).GetHomelessMs(), 100, "since the last VM started")
	}
	require.False(t, h.HomelessSince().IsZero())
	require.Zero(t, followNow(t, h, "late", "l1", 50, 0).GetHomelessMs(), "joined after the first list")
	require.NotZero(t, followNow(t, h, "a", "a1", 0, 1).GetHomelessMs(), "a VM that joins takes homes away only")
	require.Zero(t, followNow(t, h, "a", "a2", 50, 0).GetHomelessMs(), "an earlier process on the VM was home")
	h.mu.Lock()
	h.members["late"].lastSeen = clock.Boot().Add(-time.Hour)
	h.mu.Unlock()
	h.Expire(clock.Boot())
	require.Zero(t, followNow(t, h, "b", "b1", 0, 1).GetHomelessMs(), "the customers of a VM that left get other homes")

	h = newTerm()
	followNow(t, h, "a", "a1", 500, 0)
	followNow(t, h, "b", "b1", 0, 7)
	endDiscovery(h)
	require.Zero(t, followNow(t, h, "a", "a1", 600, 0).GetHomelessMs(), "a VM was home under an earlier leader")
}

// Guards against a leader that sends each change of the tables to all VMs while these
// wait for the members, without which they cannot serve.
func TestVMsThatWaitForMembersAreNotToldEachTable(t *testing.T) {
	h := newTestHub()
	h.BeginTerm(clock.Boot())
	term, _ := h.leads()
	version := view.TableVersion{Term: term, Version: 1}
	publish := func() {
		version.Version++
		h.Publish(version, map[topo.ServiceName]*keyrange.Table{"s": {Service: "s", Ranges: []keyrange.Range{
			{First: 0, Last: keyrange.MaxKey, Owner: keyrange.Owner{Server: "s1"}, Fence: int64(version.Version), State: keyrange.Owned},
		}}})
	}
	publish()
	require.Empty(t, followNow(t, h, "new", "n1", 10, 0).GetTables())
	require.NotEmpty(t, followNow(t, h, "old", "o1", 0, 7).GetTables(), "a VM that knows members serves on")
	publish()
	require.Empty(t, followNow(t, h, "new", "n1", 20, 0).GetTables())
	endDiscovery(h)
	resp := followNow(t, h, "new", "n1", 30, 0)
	require.NotEmpty(t, resp.GetTables())
	require.Len(t, resp.GetMembers(), 3)
}

// Guards against callers that wait for a list of members which is complete already, and
// against a list without VMs that still join.
func TestMembersArePublishedOnceAllVMsHaveRestarted(t *testing.T) {
	newTerm := func() *Hub {
		h := newTestHub()
		h.started = clock.Boot().Add(-time.Second)
		h.BeginTerm(clock.Boot())
		return h
	}
	passes := func(h *Hub, sinceStart, sinceJoin time.Duration) bool {
		now := clock.Boot()
		h.termStart, h.lastJoin = now.Add(-sinceStart), now.Add(-sinceJoin)
		h.Expire(now)
		return h.discovered
	}
	h := newTerm()
	require.False(t, passes(h, 2*minMemberDiscoveryTime, time.Second), "no VM has joined")
	followNow(t, h, "a", "a1", 100, 0)
	require.False(t, passes(h, minMemberDiscoveryTime/2, time.Second))
	require.False(t, passes(h, 2*minMemberDiscoveryTime, joinPause/2), "VMs still join")
	require.True(t, passes(h, 2*minMemberDiscoveryTime, 2*joinPause))

	h = newTerm()
	followNow(t, h, "a", "a1", 0, 7)
	require.False(t, passes(h, 2*minMemberDiscoveryTime, 2*joinPause), "the VM may be home under an earlier leader")
}
