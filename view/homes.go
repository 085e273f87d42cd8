package view

import (
	"cmp"
	"hash/fnv"
	"slices"

	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
)

// standIns is the number of VMs that are ranked for each pool: its home and
// those that take its place while it does not answer.
const standIns = 3

// PoolOf returns the pool of slots for requests to a service: the server's own
// for a keyed service, the service's for a pooled one.
func PoolOf(svc *routemap.Service, server topo.ServerID) string {
	if svc.Keyed {
		return "server/" + string(server)
	}
	return "service/" + string(svc.Name)
}

// homes ranks the VMs for every pool by rendezvous hashing, so that a VM that
// comes or goes changes few homes. VMs of the server's data centre go first:
// the home is where the server's answers are heard of.
func homes(s *Snapshot) map[string][]Member {
	out := make(map[string][]Member)
	if s.Routes == nil || len(s.Members) == 0 {
		return out
	}
	s.Routes.Services(func(svc *routemap.Service) {
		if !svc.Keyed {
			pool := PoolOf(svc, "")
			out[pool] = rank(s.Members, pool, "")
		}
	})
	for _, srv := range s.Servers {
		if svc := s.Routes.Service(srv.Service); svc != nil && svc.Keyed {
			pool := PoolOf(svc, srv.ID)
			out[pool] = rank(s.Members, pool, srv.DataCentre)
		}
	}
	return out
}

// rank returns the first VMs for a pool.
func rank(members []Member, pool string, prefer topo.DataCentreName) []Member {
	type scored struct {
		Member
		near  bool
		score uint64
	}
	list := make([]scored, len(members))
	for i, m := range members {
		list[i] = scored{Member: m, near: m.DataCentre == prefer, score: score(pool, m.VM)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.near != b.near {
			if a.near {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.score, a.score)
	})
	out := make([]Member, 0, standIns)
	for _, m := range list[:min(standIns, len(list))] {
		out = append(out, m.Member)
	}
	return out
}

func score(pool string, vm topo.VMID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(pool))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(vm))
	x := h.Sum64()
	// fnv leaves the high bits of short keys alike.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// ServersOf returns the usable servers of a service, in the order of their ids.
func (s *Snapshot) ServersOf(name topo.ServiceName) []*directory.Server {
	var out []*directory.Server
	for id, srv := range s.Servers {
		if srv.Service == name && !s.Unusable[id] {
			out = append(out, srv)
		}
	}
	slices.SortFunc(out, func(a, b *directory.Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
