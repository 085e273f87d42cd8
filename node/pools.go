package node

import (
	"strings"

	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// poolServers returns the servers whose slots a pool has.
func poolServers(snap *view.Snapshot, pool string) []permit.Server {
	if snap.Routes == nil {
		return nil
	}
	if id, ok := strings.CutPrefix(pool, "server/"); ok {
		if s := snap.Usable(topo.ServerID(id)); s != nil {
			return []permit.Server{permitServer(snap, s)}
		}
		return nil
	}
	var out []permit.Server
	for _, s := range snap.ServersOf(topo.ServiceName(strings.TrimPrefix(pool, "service/"))) {
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
