package node

import (
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/permit"
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
		if b := n.bounds(); e.ColdRate > 0 && b.ColdSlack > 0 {
			e.ColdRate = permit.HomeColdRate(e.ColdRate, b.ColdOverrun, b.ColdSlack)
		}
		e.WarmBudget = n.warmBudget(snap, s.Service)
		out = append(out, e)
	}
	return out, snap.ServersVersion
}

func permitServer(snap *view.Snapshot, s *directory.Server) permit.Server {
	out := permit.Server{ID: s.ID, DataCentre: s.DataCentre, Slots: s.Slots, ColdUntil: s.SeenAt.Add(s.ColdFor)}
	if svc := snap.Routes.Service(s.Service); svc != nil {
		out.ColdRate = svc.ColdRate
	}
	return out
}
