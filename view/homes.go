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

// homeCandidates is the number of VMs that are ranked for each name: the home VM
// and those that replace it while it does not answer.
const homeCandidates = 3

// PoolOf returns the name of the slot pool for requests to a service: each
// server of a keyed service has its own pool, and a service that is not keyed
// has one pool. Server is used only for a keyed service.
func PoolOf(svc *routemap.Service, server topo.ServerID) string {
	if svc.Keyed {
		return serverPoolPrefix + string(server)
	}
	return servicePoolPrefix + string(svc.Name)
}

// Prefixes of pool names.
const serverPoolPrefix, servicePoolPrefix = "server/", "service/"

// PoolDataCentre returns the data centre in which the home VM of a pool should
// be. For the pool of one server it is the server's data centre, where the
// server's answers arrive first. It is empty for the pool of a service and for an
// unknown server.
func (s *Snapshot) PoolDataCentre(pool string) topo.DataCentreName {
	if id, ok := strings.CutPrefix(pool, serverPoolPrefix); ok {
		if srv := s.Servers[topo.ServerID(id)]; srv != nil {
			return srv.DataCentre
		}
	}
	return ""
}

// PoolServers returns the usable servers whose slots belong to a pool.
func (s *Snapshot) PoolServers(pool string) []*directory.Server {
	if id, ok := strings.CutPrefix(pool, serverPoolPrefix); ok {
		if srv := s.Usable(topo.ServerID(id)); srv != nil {
			return []*directory.Server{srv}
		}
		return nil
	}
	return s.ServersOf(topo.ServiceName(strings.TrimPrefix(pool, servicePoolPrefix)))
}

// homeCache ranks the VMs for each name by rendezvous hashing, so that few home
// VMs change when a VM joins or leaves. It caches the ranks and is safe for
// concurrent use.
type homeCache struct {
	members []Member

	mu     sync.Mutex
	ranked map[homeKey][]Member
}

type homeKey struct {
	name      string
	preferred topo.DataCentreName
}

// maxCachedRanks bounds the cache, which is cleared when it is full.
const maxCachedRanks = 8192

func newHomeCache(members []Member) *homeCache {
	return &homeCache{members: members, ranked: make(map[homeKey][]Member)}
}

func (c *homeCache) get(name string, preferred topo.DataCentreName) []Member {
	key := homeKey{name, preferred}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.ranked[key]; ok {
		return r
	}
	if len(c.ranked) >= maxCachedRanks {
		clear(c.ranked)
	}
	r := rankVMs(c.members, name, preferred)
	c.ranked[key] = r
	return r
}

// rankVMs returns the first homeCandidates VMs in the order of their rank for a
// name. VMs of the preferred data centre come first.
func rankVMs(members []Member, name string, preferred topo.DataCentreName) []Member {
	type candidate struct {
		Member
		isPreferred bool
		score       uint64
	}
	candidates := make([]candidate, len(members))
	for i, m := range members {
		candidates[i] = candidate{Member: m, isPreferred: m.DataCentre == preferred, score: score(name, m.VM)}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.isPreferred != b.isPreferred {
			if a.isPreferred {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.score, a.score)
	})
	out := make([]Member, 0, homeCandidates)
	for _, m := range candidates[:min(homeCandidates, len(candidates))] {
		out = append(out, m.Member)
	}
	return out
}

func score(name string, vm topo.VMID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(vm))
	x := h.Sum64()
	// FNV gives short names similar high bits; the steps below spread their
	// differences over all bits.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// ServersOf returns the usable servers of a service, in the order of their ids.
// Callers must not change the list.
func (s *Snapshot) ServersOf(name topo.ServiceName) []*directory.Server { return s.usable[name] }
