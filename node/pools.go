package node

import (
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/health"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// poolServers returns the servers whose slots belong to a pool, and the version
// of the list. The list is nil if the version equals since or no configuration is
// in force yet.
func (n *Node) poolServersOf(snap *view.Snapshot, pool string, since uint64) ([]permit.Server, uint64) {
	if snap.Routes == nil || snap.ServersVersion == since {
		return nil, snap.ServersVersion
	}
	list := snap.PoolServers(pool)
	out := make([]permit.Server, 0, len(list))
	for _, s := range list {
		e := permitServer(snap, s)
		e.WarmBudget = n.warmBudget(snap, s.Service)
		out = append(out, e)
	}
	return out, snap.ServersVersion
}

// maxHeldBytes bounds the size of the bodies at one server, over all VMs. The memory of a
// server is not known; eight bodies of 1 MiB fit, and a longer one is sent alone.
const maxHeldBytes = 8 << 20

// logEjection logs that a server was ejected from its pool, because it fails more of its
// requests than its peers, or that it was readmitted.
func (n *Node) logEjection(pool string, server topo.ServerID, state health.State) {
	name := "server_readmitted"
	if state.Ejected {
		name = "server_ejected"
	}
	n.metrics.Count("server_ejections", "event", name)
	n.log.Event(name).Str("pool", pool).Str("server", string(server)).Float64("slowness", state.Slowness).
		Float64("failure_share", state.FailureShare).Send()
}

func permitServer(snap *view.Snapshot, s *directory.Server) permit.Server {
	out := permit.Server{ID: s.ID, DataCentre: s.DataCentre, Slots: s.Slots, ColdUntil: s.SeenAt.Add(s.ColdFor)}
	if svc := snap.Routes.Service(s.Service); svc != nil {
		out.ColdRate = svc.ColdRate
	}
	return out
}
