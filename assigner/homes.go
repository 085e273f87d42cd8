package assigner

import (
	"cmp"
	"slices"

	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// assignHomes gives every server without a home VM one.
func (a *Assigner) assignHomes() {
	vms := a.homeCandidates()
	if len(vms) == 0 {
		return
	}
	for _, s := range a.sortedServices() {
		for i, v := range s.servers {
			if rec := a.rec(s, uint16(i)); rec.Home == "" && v.id != "" {
				a.setHome(s, uint16(i), a.bestHome(vms, rec.DataCentre))
			}
		}
	}
}

func (a *Assigner) homeCandidates() []*vm {
	return slices.DeleteFunc(a.sortedVMs(), func(v *vm) bool { return !v.leased || v.leaving })
}

// bestHome prefers the server's data centre, then data centres in service,
// then the VM that is home of the fewest servers.
func (a *Assigner) bestHome(vms []*vm, dc topo.DataCentreName) *vm {
	rank := func(v *vm) int {
		switch {
		case v.info.DataCentre == dc:
			return 0
		case !a.outOfService[v.info.DataCentre]:
			return 1
		}
		return 2
	}
	return slices.MinFunc(vms, func(x, y *vm) int {
		return cmp.Or(cmp.Compare(rank(x), rank(y)), cmp.Compare(x.homeCount, y.homeCount), cmp.Compare(x.info.ID, y.info.ID))
	})
}

// setHome sets the home VM of a server that has none. LeaseFree keeps saying
// how the last one ended.
func (a *Assigner) setHome(s *service, i uint16, v *vm) {
	rec := a.rec(s, i)
	a.recordHome(s, HomeSet, rec.ID, rec.Home, v.info.ID)
	rec.Home, rec.HomeAddr, rec.HomeSince = v.info.ID, v.info.PeerAddr, a.nextVersion()
	a.setServer(s, i, rec)
}

// askToLetGo asks the home VM of a server to stop dispatching to it.
func (a *Assigner) requestRelease(s *service, i uint16) {
	rec := a.rec(s, i)
	a.recordHome(s, LetGo, rec.ID, rec.Home, "")
	rec.LetGo, rec.LetGoSince = true, a.nextVersion()
	s.servers[i].releaseRequestedAt = a.now
	a.setServer(s, i, rec)
}

// tookLetGo takes the home VM's word that it no longer dispatches to the
// server. A server lease of it may be left.
func (a *Assigner) confirmRelease(s *service, i uint16) {
	rec := a.rec(s, i)
	rec.Home, rec.HomeAddr, rec.LetGo, rec.LeaseFree = "", "", false, false
	rec.HomeSince, rec.LetGoSince = a.nextVersion(), a.nextVersion()
	a.setServer(s, i, rec)
}

// balanceHomes moves servers to better home VMs, few at a time, and gives up
// changes that take too long.
func (a *Assigner) balanceHomes() {
	vms := a.homeCandidates()
	settled := slices.DeleteFunc(slices.Clone(vms), func(x *vm) bool { return a.now.Sub(x.settled) < HomeSettleTime })
	maxHomes := a.maxHomeCounts(vms)
	for _, s := range a.sortedServices() {
		for i, v := range s.servers {
			rec := a.rec(s, uint16(i))
			home := a.vms[rec.Home]
			if v.id == "" || home == nil {
				continue
			}
			if rec.LetGo {
				a.abortSlowRelease(s, uint16(i), rec, home)
			} else if home.leaving && len(vms) > 0 || a.shouldChangeHome(settled, maxHomes, v, home, rec) {
				a.requestRelease(s, uint16(i))
			}
		}
	}
}

// checkLetGo gives up a change of home VM that takes too long. A VM that
// leaves keeps draining, as nothing else ends its servers' requests.
func (a *Assigner) abortSlowRelease(s *service, i uint16, rec slicemap.Server, home *vm) {
	v := s.servers[i]
	if home.leaving || !v.configured || a.now.Sub(v.releaseRequestedAt) < MoveTimeout {
		return
	}
	rec.LetGo, rec.LetGoSince = false, a.nextVersion()
	v.homeRetryAt = a.now.Add(HomeRetryDelay)
	a.setServer(s, i, rec)
}

// wantsChange reports whether another VM is a better home: one in the server's
// data centre, or one there with at least two servers fewer.
func (a *Assigner) shouldChangeHome(settled []*vm, maxHomes map[topo.DataCentreName]int, v *server, home *vm, rec slicemap.Server) bool {
	local := home.info.DataCentre == rec.DataCentre
	if local && home.homeCount < maxHomes[rec.DataCentre] || len(settled) == 0 {
		return false
	}
	if a.releasing >= maxConcurrentReleases || a.now.Before(v.homeRetryAt) || rec.State != slicemap.ServerServing {
		return false
	}
	best := a.bestHome(settled, rec.DataCentre)
	bestLocal := best.info.DataCentre == rec.DataCentre
	if !local {
		return bestLocal || a.outOfService[home.info.DataCentre] && !a.outOfService[best.info.DataCentre]
	}
	return bestLocal && home.homeCount-best.homeCount >= 2
}

// mostHomes returns the greatest number of homes of a VM, by data centre.
func (a *Assigner) maxHomeCounts(vms []*vm) map[topo.DataCentreName]int {
	counts := map[topo.DataCentreName]int{}
	for _, v := range vms {
		counts[v.info.DataCentre] = max(counts[v.info.DataCentre], v.homeCount)
	}
	return counts
}
