package authority

import (
	"slices"
	"sort"

	"godwitlock.example/godwitlock/topo"
)

// Candidate is a live VM of the cell that may become successor or witness.
type Candidate struct {
	Process    Process
	DataCentre topo.DataCentreName
}

// RosterSize returns the number of witnesses of a cell with that many VMs: 5,
// or 3 in a cell of 3 or 4 VMs, or 1 in a smaller one.
func RosterSize(vms int) int {
	switch {
	case vms >= 5:
		return 5
	case vms >= 3:
		return 3
	}
	return 1
}

// ChooseSuccessors picks up to MaxSuccessors processes for a holder: the first
// in another data centre than the holder's, the second in a third one where
// possible. Current successors are kept among equals.
func ChooseSuccessors(holder Candidate, candidates []Candidate, current []Process) []Process {
	countByDC := map[topo.DataCentreName]int{holder.DataCentre: 1}
	remaining := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if c.Process.VM != holder.Process.VM {
			remaining = append(remaining, c)
		}
	}
	var chosen []Process
	for len(remaining) > 0 && len(chosen) < MaxSuccessors {
		i := leastRepresented(remaining, countByDC, func(c Candidate) bool { return slices.Contains(current, c.Process) })
		chosen = append(chosen, remaining[i].Process)
		countByDC[remaining[i].DataCentre]++
		remaining = slices.Delete(remaining, i, i+1)
	}
	return chosen
}

// ChooseWitnesses picks n VMs spread over the data centres, fewer when there are
// fewer candidates. Those of current are kept among equals.
func ChooseWitnesses(candidates []Candidate, n int, current []topo.VMID) []topo.VMID {
	countByDC := map[topo.DataCentreName]int{}
	remaining := slices.Clone(candidates)
	var chosen []topo.VMID
	for len(remaining) > 0 && len(chosen) < n {
		i := leastRepresented(remaining, countByDC, func(c Candidate) bool { return slices.Contains(current, c.Process.VM) })
		chosen = append(chosen, remaining[i].Process.VM)
		countByDC[remaining[i].DataCentre]++
		remaining = slices.Delete(remaining, i, i+1)
	}
	return chosen
}

// leastUsed returns the index of the candidate whose data centre is used least;
// among equals a kept one, then the lowest VM id.
func leastRepresented(cs []Candidate, countByDC map[topo.DataCentreName]int, preferred func(Candidate) bool) int {
	best := 0
	for i := 1; i < len(cs); i++ {
		a, b := cs[i], cs[best]
		ua, ub := countByDC[a.DataCentre], countByDC[b.DataCentre]
		ka, kb := preferred(a), preferred(b)
		switch {
		case ua != ub:
			if ua < ub {
				best = i
			}
		case ka != kb:
			if ka {
				best = i
			}
		case a.Process.VM < b.Process.VM:
			best = i
		}
	}
	return best
}

// NextRoster returns the next step towards a roster of RosterSize live witnesses
// spread over the data centres, and false when none is needed. A lost witness is
// removed before its replacement is added, unless the roster is too small.
func NextRoster(current Roster, live []Candidate) (Roster, bool) {
	want := RosterSize(len(live))
	dataCentreOf := map[topo.VMID]topo.DataCentreName{}
	for _, c := range live {
		dataCentreOf[c.Process.VM] = c.DataCentre
	}
	n := len(current.Members)
	lost := lostMembers(current, dataCentreOf)
	switch {
	case len(lost) > 0 && n > 1 && n >= want:
		return current.Without(lost[0]), true
	case n < want || (n == 1 && len(lost) == 1):
		return addLeastRepresented(current, live, dataCentreOf)
	case n > want:
		vm, _ := mostCrowded(current, dataCentreOf)
		return current.Without(vm), true
	}
	return rebalance(current, live, dataCentreOf)
}

func lostMembers(r Roster, dataCentreOf map[topo.VMID]topo.DataCentreName) []topo.VMID {
	var lost []topo.VMID
	for _, m := range r.Members {
		if _, ok := dataCentreOf[m]; !ok {
			lost = append(lost, m)
		}
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i] < lost[j] })
	return lost
}

func countByDataCentre(r Roster, dataCentreOf map[topo.VMID]topo.DataCentreName) map[topo.DataCentreName]int {
	countByDC := map[topo.DataCentreName]int{}
	for _, m := range r.Members {
		if dc, ok := dataCentreOf[m]; ok {
			countByDC[dc]++
		}
	}
	return countByDC
}

func addLeastRepresented(r Roster, live []Candidate, dataCentreOf map[topo.VMID]topo.DataCentreName) (Roster, bool) {
	var free []Candidate
	for _, c := range live {
		if !r.Has(c.Process.VM) {
			free = append(free, c)
		}
	}
	if len(free) == 0 {
		return Roster{}, false
	}
	i := leastRepresented(free, countByDataCentre(r, dataCentreOf), func(Candidate) bool { return false })
	return r.With(free[i].Process.VM), true
}

// crowded returns the member to remove, the highest VM id in the data centre with
// the most members, and that number.
func mostCrowded(r Roster, dataCentreOf map[topo.VMID]topo.DataCentreName) (topo.VMID, int) {
	countByDC := countByDataCentre(r, dataCentreOf)
	var worst topo.VMID
	for _, m := range r.Members {
		um, uw := countByDC[dataCentreOf[m]], countByDC[dataCentreOf[worst]]
		if um > uw || (um == uw && m > worst) {
			worst = m
		}
	}
	return worst, countByDC[dataCentreOf[worst]]
}

// rebalance adds a witness in a data centre that has at least two fewer than the
// one with the most; the roster is then too large, and the next step removes one.
func rebalance(r Roster, live []Candidate, dataCentreOf map[topo.VMID]topo.DataCentreName) (Roster, bool) {
	_, most := mostCrowded(r, dataCentreOf)
	countByDC := countByDataCentre(r, dataCentreOf)
	for _, c := range live {
		if !r.Has(c.Process.VM) && countByDC[c.DataCentre] <= most-2 {
			return addLeastRepresented(r, live, dataCentreOf)
		}
	}
	return Roster{}, false
}
