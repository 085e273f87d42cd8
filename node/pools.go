package node

import (
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/view"
)

// poolServers returns the servers whose slots a pool has.
func poolServers(snap *view.Snapshot, pool string) []permit.Server {
	if snap.Routes == nil {
		return nil
	}
	list := snap.PoolServers(pool)
	out := make([]permit.Server, 0, len(list))
	for _, s := range list {
		out = append(out, permitServer(snap, s))
	}
	return out
}

func permitServer(snap *view.Snapshot, s *directory.Server) permit.Server {
	out := permit.Server{ID: s.ID, DataCentre: s.DataCentre, Slots: s.Slots, ColdUntil: s.SeenAt.Add(s.ColdFor)}
	if svc := snap.Routes.Service(s.Service); svc != nil {
		out.ColdRate = svc.ColdRate
	}
	return out
}
