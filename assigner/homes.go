package assigner

import (
	"cmp"
	"slices"

	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// assignHomes assigns a home VM to every server that has none.
func (a *Assigner) assignHomes() {
	vms := a.homeCandidates()
	if len(vms) == 0 {
		return
	}
	for _, s := range a.sortedServices() {
		for i, v := range s.servers {
			if rec := a.serverRecord(s, uint16(i)); rec.Home == "" && v.id != "" {
				a.setHome(s, uint16(i), a.bestHome(vms, rec.DataCentre))
			}
		}
	}
}

func (a *Assigner) homeCandidates() []*vm {
	return slices.DeleteFunc(a.sortedVMs(), func(v *vm) bool { return !v.leased || v.leaving })
}

// bestHome returns the VM that is the best home for a server in data centre dc.
// It prefers VMs in dc, then VMs in other data centres in service, and among equal
// VMs the one that is home VM of the fewest servers.
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

// setHome sets the home VM of a server that has none. It leaves NoPriorLease
// unchanged, which is true if the lease of the previous home VM lapsed, and false if
// that VM released the server.
func (a *Assigner) setHome(s *service, i uint16, v *vm) {
	rec := a.serverRecord(s, i)
	a.recordHome(s, HomeSet, rec.ID, rec.Home, v.info.ID)
	rec.Home, rec.HomeAddr, rec.HomeSince = v.info.ID, v.info.PeerAddr, a.nextVersion()
	a.setServer(s, i, rec)
}

// requestRelease asks the home VM of a server to drain it and to stop dispatching
// to it.
func (a *Assigner) requestRelease(s *service, i uint16) {
	rec := a.serverRecord(s, i)
	a.recordHome(s, ReleaseRequested, rec.ID, rec.Home, "")
	rec.Releasing, rec.ReleasingSince = true, a.nextVersion()
	s.servers[i].releaseRequestedAt = a.now
	a.setServer(s, i, rec)
}

// confirmRelease clears the home VM of a server after the VM reported that it no
// longer dispatches to it. A server lease from that VM may still be valid.
func (a *Assigner) confirmRelease(s *service, i uint16) {
	rec := a.serverRecord(s, i)
	rec.Home, rec.HomeAddr, rec.Releasing, rec.NoPriorLease = "", "", false, false
	rec.HomeSince, rec.ReleasingSince = a.nextVersion(), a.nextVersion()
	a.setServer(s, i, rec)
}

// balanceHomes requests releases of servers for which there is a better home VM
// or whose home VM leaves, and aborts releases that take too long. The number of
// releases for balance is limited by maxConcurrentReleases.
func (a *Assigner) balanceHomes() {
	vms := a.homeCandidates()
	settled := slices.DeleteFunc(slices.Clone(vms), func(x *vm) bool { return a.now.Sub(x.leasedSince) < HomeSettleTime })
	maxHomes := a.maxHomeCounts(vms)
	for _, s := range a.sortedServices() {
		for i, v := range s.servers {
			rec := a.serverRecord(s, uint16(i))
			home := a.vms[rec.Home]
			if v.id == "" || home == nil {
				continue
			}
			if rec.Releasing {
				a.abortSlowRelease(s, uint16(i), rec, home)
			} else if home.leaving && len(vms) > 0 || a.shouldChangeHome(settled, maxHomes, v, home, rec) {
				a.requestRelease(s, uint16(i))
			}
		}
	}
}

// abortSlowRelease aborts the release of a server that was not confirmed within
// MoveTimeout. A VM that leaves keeps draining, because nothing else ends the
// requests of its servers.
func (a *Assigner) abortSlowRelease(s *service, i uint16, rec slicemap.Server, home *vm) {
	v := s.servers[i]
	if home.leaving || !v.configured || a.now.Sub(v.releaseRequestedAt) < MoveTimeout {
		return
	}
	rec.Releasing, rec.ReleasingSince = false, a.nextVersion()
	v.homeRetryAt = a.now.Add(HomeRetryDelay)
	a.setServer(s, i, rec)
}

// shouldChangeHome reports whether a change to another home VM may start and would
// improve the balance. If the present home VM is in the server's data centre, the other one
// must be there too and be home VM of at least two servers fewer. Otherwise it must
// be in the server's data centre, or in one in service while the present one's is
// out of service.
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

// maxHomeCounts returns, by data centre, the highest number of servers with the
// same home VM.
func (a *Assigner) maxHomeCounts(vms []*vm) map[topo.DataCentreName]int {
	counts := map[topo.DataCentreName]int{}
	for _, v := range vms {
		counts[v.info.DataCentre] = max(counts[v.info.DataCentre], v.homeCount)
	}
	return counts
}
