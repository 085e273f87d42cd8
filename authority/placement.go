package authority

import (
	"slices"
	"sort"

	"godwitlock.example/godwitlock/topo"
)

// Candidate is a live VM of the cell that can be chosen as successor or witness.
type Candidate struct {
	Process    Process
	DataCentre topo.DataCentreName
}

// RosterSize returns the number of witnesses of a cell with the given number of
// VMs: 5 for 5 or more VMs, 3 for 3 or 4, and 1 for fewer.
func RosterSize(vms int) int {
	switch {
	case vms >= 5:
		return 5
	case vms >= 3:
		return 3
	}
	return 1
}

// ChooseSuccessors chooses up to MaxSuccessors processes as successors of holder.
// Where possible, the first is in a data centre other than that of the holder and
// the second in a third data centre. Among equally good candidates it prefers the
// current successors.
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

// ChooseWitnesses chooses n VMs spread over the data centres, or all VMs when there
// are fewer than n candidates. Among equally good candidates it prefers those in
// current.
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

// leastRepresented returns the index of the candidate whose data centre has the
// lowest count in countByDC. Ties go to a preferred candidate, then to the lowest
// VM ID. cs must not be empty.
func leastRepresented(cs []Candidate, countByDC map[topo.DataCentreName]int, preferred func(Candidate) bool) int {
	best := 0
	for i := 1; i < len(cs); i++ {
		a, b := cs[i], cs[best]
		countA, countB := countByDC[a.DataCentre], countByDC[b.DataCentre]
		preferredA, preferredB := preferred(a), preferred(b)
		switch {
		case countA != countB:
			if countA < countB {
				best = i
			}
		case preferredA != preferredB:
			if preferredA {
				best = i
			}
		case a.Process.VM < b.Process.VM:
			best = i
		}
	}
	return best
}

// NextRoster returns the next single-member change towards a roster of RosterSize
// live witnesses spread over the data centres. It returns false when no change is
// needed or possible. A lost witness is removed before its replacement is added,
// unless the roster is below its size or has no other member.
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

// mostCrowded returns the member to remove, which is the highest VM ID in the data
// centre with the most members, and the number of members there.
func mostCrowded(r Roster, dataCentreOf map[topo.VMID]topo.DataCentreName) (topo.VMID, int) {
	countByDC := countByDataCentre(r, dataCentreOf)
	var worst topo.VMID
	for _, m := range r.Members {
		count, worstCount := countByDC[dataCentreOf[m]], countByDC[dataCentreOf[worst]]
		if count > worstCount || (count == worstCount && m > worst) {
			worst = m
		}
	}
	return worst, countByDC[dataCentreOf[worst]]
}

// rebalance adds a witness when a data centre with a free candidate has at least
// two members fewer than the one with the most. The roster is then too large, and
// the next change removes a member.
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
