package view

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/rollout"
	"godwitlock.example/godwitlock/topo"
)

// putVersions registers n servers of a version.
func putVersions(v *View, version string, n int, rev int64) {
	v.Directory(func(d *directory.Directory) {
		for i := range n {
			d.Put(directory.Server{
				ID: topo.ServerID(version + string(rune('a'+i))), Service: "s", Version: version, State: directory.Ready, Slots: 1, Rev: rev,
			})
		}
	})
}

func versionsUsed(v *View) map[string]int {
	out := make(map[string]int)
	for _, s := range v.Snapshot().ServersOf("s") {
		out[s.Version]++
	}
	return out
}

// Guards against a target that gets requests like other versions, against canaries that
// are not few, and against a barred version that is used.
func TestLimitsSetVersionsAside(t *testing.T) {
	v := New()
	putVersions(v, "v1", 10, 1)
	putVersions(v, "v2", 20, 2)
	now := clock.Boot()
	set := func(l rollout.Limit) uint64 {
		v.SetLimits(now, map[topo.ServiceName]rollout.Limit{"s": l})
		return v.Snapshot().ServersVersion
	}
	require.Equal(t, map[string]int{"v1": 10, "v2": 20}, versionsUsed(v))
	set(rollout.Limit{Target: "v2"})
	require.Equal(t, map[string]int{"v1": 10}, versionsUsed(v))
	require.Empty(t, v.Snapshot().Canaries("s"))
	require.NotNil(t, v.Snapshot().Usable("v2a"), "its requests in flight and its keys")
	first := set(rollout.Limit{Target: "v2", Share: 0.01})
	require.Len(t, v.Snapshot().Canaries("s"), 6)
	require.Len(t, v.Snapshot().PoolServers(CanaryPool("s")), 6)
	require.Equal(t, first, set(rollout.Limit{Target: "v2", Share: 0.01}), "nothing has changed")
	require.Greater(t, set(rollout.Limit{Target: "v2", Share: 0.5}), first)
	require.Len(t, v.Snapshot().Canaries("s"), 10)
	set(rollout.Limit{Target: "v2", Whole: true})
	require.Equal(t, map[string]int{"v2": 20}, versionsUsed(v))
	set(rollout.Limit{Target: "v3", Barred: []string{"v2"}})
	require.Equal(t, map[string]int{"v1": 10}, versionsUsed(v))
	v.SetLimits(now, nil)
	require.Equal(t, map[string]int{"v1": 10, "v2": 20}, versionsUsed(v))
}

// Guards against requests to a new version in the time between its servers' entries and
// the order to roll it out, and against servers that are replaced one after the other
// without an order and are not used.
func TestNewVersionsAreHeldForAShortTime(t *testing.T) {
	v := New()
	v.HoldNewVersions(time.Hour)
	putVersions(v, "v1", 2, 1)
	require.Equal(t, map[string]int{"v1": 2}, versionsUsed(v), "the service is new")
	putVersions(v, "v2", 2, 2)
	require.Equal(t, map[string]int{"v1": 2}, versionsUsed(v))
	v.SetLimits(clock.Boot().Add(time.Minute), nil)
	require.Equal(t, map[string]int{"v1": 2}, versionsUsed(v))
	v.versions.usedFrom["s"]["v2"] = clock.Boot()
	v.SetLimits(v.versions.next, nil)
	require.Equal(t, map[string]int{"v1": 2, "v2": 2}, versionsUsed(v))

	putVersions(v, "v3", 2, 3)
	require.NotContains(t, versionsUsed(v), "v3")
	v.Directory(func(d *directory.Directory) {
		for _, id := range []topo.ServerID{"v1a", "v1b", "v2a", "v2b"} {
			d.Remove(id, 4, clock.Boot())
		}
	})
	require.Equal(t, map[string]int{"v3": 2}, versionsUsed(v), "the service has no other servers")

	off := New()
	putVersions(off, "v1", 1, 1)
	putVersions(off, "v2", 1, 2)
	require.Equal(t, map[string]int{"v1": 1, "v2": 1}, versionsUsed(off), "without the bounds")
}
