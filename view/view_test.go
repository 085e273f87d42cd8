package view

import (
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
)

func put(v *View, s directory.Server) {
	s.State = directory.Ready
	v.Directory(func(d *directory.Directory) { d.Put(s) })
}

// Guards against a VM that copies all servers whenever keys move, which happens
// several times a second in a large fleet.
func TestSetTablesDoesNotCopyServers(t *testing.T) {
	v := New()
	put(v, directory.Server{ID: "b", Service: "s", Rev: 1})
	put(v, directory.Server{ID: "a", Service: "s", Rev: 2})
	before := v.Snapshot()
	tables := map[topo.ServiceName]*keyrange.Table{"s": {Service: "s"}}
	require.True(t, v.SetTables(TableVersion{Term: 1, Version: 1}, tables))
	after := v.Snapshot()
	require.Equal(t, tables, after.Tables)
	require.Equal(t, before.ServersVersion, after.ServersVersion)
	require.Zero(t, testing.AllocsPerRun(10, func() { after.ServersOf("s") }))
	ids := func(s *Snapshot) (out []topo.ServerID) {
		for _, srv := range s.ServersOf("s") {
			out = append(out, srv.ID)
		}
		return out
	}
	require.Equal(t, []topo.ServerID{"a", "b"}, ids(after))
}

// Guards against a change of servers or configuration that keeps ServersVersion:
// a home VM would continue to use the old servers.
func TestServersVersionFollowsServersAndRoutes(t *testing.T) {
	v := New()
	put(v, directory.Server{ID: "a", Service: "s", DataCentre: "x", Rev: 1})
	last := v.Snapshot().ServersVersion
	requireNewVersion := func(what string) {
		require.NotEqual(t, last, v.Snapshot().ServersVersion, what)
		last = v.Snapshot().ServersVersion
	}
	put(v, directory.Server{ID: "b", Service: "s", Rev: 2})
	requireNewVersion("a server registered")
	v.Directory(func(d *directory.Directory) { d.SetEvacuated([]topo.DataCentreName{"x"}, 3) })
	requireNewVersion("a data centre was taken out of service")
	require.Nil(t, v.Snapshot().Usable("a"))
	require.Len(t, v.Snapshot().ServersOf("s"), 1)
	require.True(t, v.SetConfig(&routemap.Map{Version: 1}, nil, 4))
	requireNewVersion("the configuration changed")
}

// Guards against a configuration that goes back to an older version because the store
// did, and against ignoring the versions that are written there again.
func TestConfigVersionsNeverGoBack(t *testing.T) {
	v := New()
	set := func(version int64, rev topo.Revision) bool {
		return v.SetConfig(&routemap.Map{Version: version}, []byte{byte(version)}, int64(rev))
	}
	require.True(t, set(12, 70))
	require.False(t, set(10, topo.RevisionOf(1, 50)))
	_, rev := v.Config()
	require.Equal(t, int64(topo.RevisionOf(1, 50)), rev)
	require.Equal(t, int64(12), v.Snapshot().Routes.Version)
	before := v.Snapshot().ServersVersion
	require.False(t, set(12, topo.RevisionOf(1, 51)), "it is in force")
	require.Equal(t, before, v.Snapshot().ServersVersion)
	require.True(t, v.SetConfig(&routemap.Map{Version: 12}, []byte("written anew"), int64(topo.RevisionOf(1, 52))))
	require.True(t, set(13, topo.RevisionOf(1, 53)))
	require.False(t, set(14, 90), "a read of the earlier era")
	require.Equal(t, int64(13), v.Snapshot().Routes.Version)
}
