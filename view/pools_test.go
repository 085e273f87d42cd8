package view

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
)

// newPooledView returns a view of a service without keys whose servers are spread
// over three data centres.
func newPooledView(t *testing.T, servers, slots int) *View {
	t.Helper()
	v := New()
	m, err := routemap.Compile(routemap.Config{Version: 1, Services: []routemap.Service{{Name: "s"}, {Name: "keyed", Keyed: true}}})
	require.NoError(t, err)
	v.SetConfig(m, nil, 1)
	v.Directory(func(d *directory.Directory) {
		for i := range servers {
			d.Put(directory.Server{
				ID: topo.ServerID(fmt.Sprint("s", i)), Service: "s", DataCentre: topo.DataCentreName(fmt.Sprint("dc", i%3)),
				Slots: slots, State: directory.Ready, Rev: 1,
			})
		}
	})
	return v
}

// Guards against one VM that is home of all slots of a large service, and against a
// server that belongs to no part or to several, which would get no requests or more
// than it has slots for.
func TestPoolOfALargeServiceIsDivided(t *testing.T) {
	require.Len(t, newPooledView(t, 12, 3).Snapshot().PoolsOf("s"), 1)
	s := newPooledView(t, 90, 2).Snapshot()
	require.Empty(t, s.PoolsOf("keyed"))
	pools := s.PoolsOf("s")
	require.Greater(t, len(pools), 5)
	parts, slots := make(map[topo.ServerID]int), 0
	for _, p := range pools {
		slots += p.Slots
		require.Less(t, p.Slots, 2*maxPoolSlots)
		require.Equal(t, p.DataCentre, s.PoolDataCentre(p.Name))
		n := 0
		for _, srv := range s.PoolServers(p.Name) {
			require.Equal(t, p.DataCentre, srv.DataCentre)
			parts[srv.ID]++
			n += srv.Slots
		}
		require.Equal(t, p.Slots, n)
	}
	require.Equal(t, 180, slots)
	require.Len(t, parts, 90)
	for id, n := range parts {
		require.Equal(t, 1, n, "server %s", id)
	}
}

// Guards against servers that change their part, whose home VM then does not know
// what they are running, when another server joins or leaves.
func TestServersKeepTheirPart(t *testing.T) {
	partOf := func(s *Snapshot) map[topo.ServerID]string {
		out := make(map[topo.ServerID]string)
		for _, p := range s.PoolsOf("s") {
			for _, srv := range s.PoolServers(p.Name) {
				out[srv.ID] = p.Name
			}
		}
		return out
	}
	before, after := partOf(newPooledView(t, 90, 2).Snapshot()), partOf(newPooledView(t, 92, 2).Snapshot())
	for id, part := range before {
		require.Equal(t, part, after[id])
	}
}

// Guards against homes that are spread evenly over VMs of different sizes.
func TestHomesFollowTheProcessorShare(t *testing.T) {
	var members []Member
	for i := range 10 {
		m := Member{VM: topo.VMID(fmt.Sprint("vm", i)), CPUShare: 0.16}
		if i < 2 {
			m.CPUShare = 0.8
		}
		members = append(members, m)
	}
	large := 0
	for i := range 2000 {
		if rankVMs(members, fmt.Sprint("pool", i), "")[0].CPUShare == 0.8 {
			large++
		}
	}
	require.InDelta(t, 2000*1.6/2.88, large, 100)
}

// Guards against a server whose entry claims very many slots, for which dividing its
// data centre used time and memory in proportion to them.
func TestDividingAPoolDoesNotDependOnTheSlots(t *testing.T) {
	servers := func(slots int) []*directory.Server {
		return []*directory.Server{{ID: "a", DataCentre: "dc", Slots: 3}, {ID: "b", DataCentre: "dc", Slots: slots}}
	}
	allocations := func(slots int) float64 {
		list := servers(slots)
		return testing.AllocsPerRun(10, func() { dividePools("s", list) })
	}
	require.LessOrEqual(t, allocations(1<<16), 2*allocations(1<<8))
	pools := dividePools("s", servers(1<<16))
	require.Len(t, pools, 2)
	require.Equal(t, 1<<16+3, pools[0].Slots+pools[1].Slots)
}

// Guards against a data centre whose name has the separator of pool names: the VMs
// found no server for its parts, and refused requests that were sent there.
func TestPoolNamesAreReadBackWhole(t *testing.T) {
	var servers []*directory.Server
	for i, dc := range []topo.DataCentreName{"a|b", "a", "a%7Cb", "a/b", "", "é"} {
		servers = append(servers, &directory.Server{ID: topo.ServerID(fmt.Sprint("s", i)), Service: "s|t", DataCentre: dc, Slots: 30})
	}
	s := &Snapshot{usable: map[topo.ServiceName][]*directory.Server{"s|t": servers}}
	pools := dividePools("s|t", servers)
	require.Len(t, pools, len(servers))
	for _, p := range pools {
		found := s.PoolServers(p.Name)
		require.Len(t, found, 1, "pool %s", p.Name)
		require.Equal(t, p.DataCentre, found[0].DataCentre)
		require.Equal(t, p.DataCentre, s.PoolDataCentre(p.Name))
	}
	require.Equal(t, "service/pool-1.b_c|dc-a|0|2", part{"pool-1.b_c", "dc-a", 0, 2}.name(), "ordinary names stay as they are")
}
