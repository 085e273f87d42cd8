package view

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"sync"

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
		return serverPool + string(server)
	}
	return servicePool + string(svc.Name)
}

// Prefixes of the names of pools.
const serverPool, servicePool = "server/", "service/"

// PoolPlace returns the data centre that the home of a pool should be in: its
// server's, where the server's answers are heard of.
func (s *Snapshot) PoolPlace(pool string) topo.DataCentreName {
	if id, ok := strings.CutPrefix(pool, serverPool); ok {
		if srv := s.Servers[topo.ServerID(id)]; srv != nil {
			return srv.DataCentre
		}
	}
	return ""
}

// PoolServers returns the usable servers whose slots a pool has.
func (s *Snapshot) PoolServers(pool string) []*directory.Server {
	if id, ok := strings.CutPrefix(pool, serverPool); ok {
		if srv := s.Usable(topo.ServerID(id)); srv != nil {
			return []*directory.Server{srv}
		}
		return nil
	}
	return s.ServersOf(topo.ServiceName(strings.TrimPrefix(pool, servicePool)))
}

// homeCache ranks the VMs for things by rendezvous hashing, so that a VM that
// comes or goes changes few homes. It is safe for concurrent use.
type homeCache struct {
	members []Member

	mu    sync.Mutex
	ranks map[homeKey][]Member
}

type homeKey struct {
	name   string
	prefer topo.DataCentreName
}

// maxRanks bounds the cache; it is filled again when it is full.
const maxRanks = 8192

func newHomeCache(members []Member) *homeCache {
	return &homeCache{members: members, ranks: make(map[homeKey][]Member)}
}

func (c *homeCache) get(name string, prefer topo.DataCentreName) []Member {
	key := homeKey{name, prefer}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.ranks[key]; ok {
		return r
	}
	if len(c.ranks) >= maxRanks {
		clear(c.ranks)
	}
	r := rank(c.members, name, prefer)
	c.ranks[key] = r
	return r
}

// rank returns the first VMs for a thing.
func rank(members []Member, name string, prefer topo.DataCentreName) []Member {
	type scored struct {
		Member
		near  bool
		score uint64
	}
	list := make([]scored, len(members))
	for i, m := range members {
		list[i] = scored{Member: m, near: m.DataCentre == prefer, score: score(name, m.VM)}
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
// The list must not be changed.
func (s *Snapshot) ServersOf(name topo.ServiceName) []*directory.Server { return s.usable[name] }
