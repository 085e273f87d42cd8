package view

import (
	"cmp"
	"slices"

	"godwitlock.example/godwitlock/topo"
)

// LeaderRanks returns the VMs in the order in which they are to lead: large ones
// before small ones. The first VMs of each data centre precede all others, so that
// candidates remain when a data centre is lost. All VMs with the same list of members
// have the same order.
func LeaderRanks(members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		if c := cmp.Compare(share(b), share(a)); c != 0 {
			return c
		}
		return cmp.Or(cmp.Compare(hash("leader", string(a.VM)), hash("leader", string(b.VM))), cmp.Compare(a.VM, b.VM))
	})
	first, others := make([]Member, 0, len(sorted)), make([]Member, 0, len(sorted))
	seen := make(map[topo.DataCentreName]bool)
	for _, m := range sorted {
		if seen[m.DataCentre] {
			others = append(others, m)
			continue
		}
		seen[m.DataCentre] = true
		first = append(first, m)
	}
	return append(first, others...)
}

func share(m Member) float64 {
	if m.CPUShare <= 0 {
		return 1
	}
	return m.CPUShare
}

// Witnesses returns n VMs, or all if there are fewer, that are spread over the data
// centres as evenly as possible. All VMs with the same list of members have the same
// witnesses.
func Witnesses(members []Member, n int) []topo.VMID {
	rounds := make(map[topo.DataCentreName]int)
	round := make(map[topo.VMID]int)
	ranks := LeaderRanks(members)
	for _, m := range ranks {
		round[m.VM] = rounds[m.DataCentre]
		rounds[m.DataCentre]++
	}
	slices.SortStableFunc(ranks, func(a, b Member) int { return cmp.Compare(round[a.VM], round[b.VM]) })
	var out []topo.VMID
	for _, m := range ranks[:min(n, len(ranks))] {
		out = append(out, m.VM)
	}
	return out
}
