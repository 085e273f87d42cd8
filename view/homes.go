package view

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"sync"

	"godwitlock.example/godwitlock/topo"
)

// homeCandidates is the number of VMs that are ranked for each name: the home VM
// and those that replace it while it does not answer.
const homeCandidates = 3

// homeCache ranks the VMs for each name by weighted rendezvous hashing: a VM is home
// of a share of the names that follows its processor share, and few home VMs change
// when a VM joins or leaves. It caches the ranks and is safe for concurrent use.
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
		score       float64
	}
	candidates := make([]candidate, len(members))
	for i, m := range members {
		candidates[i] = candidate{Member: m, isPreferred: m.DataCentre == preferred, score: weightedScore(hash(name, string(m.VM)), m.CPUShare)}
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

// weightedScore returns the rank of a VM for a name with the given hash, by which the
// VM with the highest one is the first with a probability that follows its weight.
func weightedScore(hash uint64, cpuShare float64) float64 {
	if cpuShare <= 0 {
		cpuShare = 1
	}
	// The fraction is above 0 and below 1.
	fraction := (float64(hash>>11) + 0.5) / (1 << 53)
	return -cpuShare / math.Log(fraction)
}

func hash(name, member string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(member))
	x := h.Sum64()
	// FNV gives short names similar high bits; the steps below spread their
	// differences over all bits.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
