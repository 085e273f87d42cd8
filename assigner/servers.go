package assigner

import (
	"maps"
	"slices"

	"godwitlock.example/godwitlock/grants"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// reconcile updates the services and servers of the table to match the
// configuration, the states of the data centres and the reports.
func (a *Assigner) reconcile() {
	if a.specsChanged {
		a.specsChanged = false
		a.removeServices()
		for _, name := range slices.Sorted(maps.Keys(a.specs)) {
			a.applySpec(a.specs[name])
		}
	}
	for _, s := range a.sortedServices() {
		for i := range s.servers {
			a.updateState(s, uint16(i))
		}
	}
}

// removeServices removes services that are no longer configured. The leases of
// their servers are not revoked but left to lapse.
func (a *Assigner) removeServices() {
	for _, s := range a.sortedServices() {
		if _, ok := a.specs[s.name]; ok {
			continue
		}
		for i := range s.servers {
			rec := a.serverRecord(s, uint16(i))
			rec.Home, rec.Releasing = "", false
			a.setServer(s, uint16(i), rec)
		}
		a.builder.RemoveService(s.name)
		delete(a.services, s.name)
		a.removedAt[s.name] = a.now
	}
}

// applySpec adds a service or updates its servers. A service that was removed
// recently is added again only after the leases of its servers have lapsed.
func (a *Assigner) applySpec(spec ServiceSpec) {
	s := a.services[spec.Name]
	if s == nil {
		if t, ok := a.removedAt[spec.Name]; ok && a.now.Sub(t) <= grants.MaxLocal(VMTTL) {
			a.specsChanged = true
			return
		}
		delete(a.removedAt, spec.Name)
		s = newService(spec.Name, spec.Kind, spec.Slices)
		a.services[spec.Name] = s
		a.builder.AddService(spec.Name, spec.Kind, spec.Slices)
	}
	s.hot.maxRatePerSlot = spec.MaxRatePerSlot
	for _, v := range s.servers {
		v.configured = false
	}
	for _, srv := range spec.Servers {
		a.applyServer(s, srv)
	}
}

func (a *Assigner) applyServer(s *service, spec ServerSpec) {
	i, ok := s.byID[spec.ID]
	if !ok {
		i = s.freeIndex()
		v := &server{id: spec.ID, availabilityChangedAt: a.now}
		if int(i) == len(s.servers) {
			s.servers = append(s.servers, v)
		} else {
			s.servers[i] = v
		}
		s.byID[spec.ID] = i
	}
	v := s.servers[i]
	v.configured, v.slots = true, spec.Slots
	rec := slicemap.Server{State: slicemap.ServerDraining, HomeSince: a.nextVersion(), ReleasingSince: a.nextVersion()}
	if ok {
		rec = a.serverRecord(s, i)
	}
	old := rec
	rec.ID, rec.Addr, rec.DataCentre = spec.ID, spec.Addr, spec.DataCentre
	rec.Slots, rec.MaxConns, rec.ChecksGrants = uint32(spec.Slots), uint32(spec.MaxConns), spec.ChecksGrants
	if !ok || rec != old {
		a.setServer(s, i, rec)
	}
}

// freeIndex returns the lowest index without a server. No entry refers to it.
func (s *service) freeIndex() uint16 {
	for i, v := range s.servers {
		if v.id == "" {
			return uint16(i)
		}
	}
	return uint16(len(s.servers))
}

// updateState sets the state of a server and records when its availability
// changed. It removes the server if it is no longer configured.
func (a *Assigner) updateState(s *service, i uint16) {
	v := s.servers[i]
	if v.id == "" {
		return
	}
	rec := a.serverRecord(s, i)
	state := a.stateOf(v, rec)
	if available := state == slicemap.ServerServing; available != v.available {
		v.available, v.availabilityChangedAt = available, a.now
	}
	if state != rec.State {
		rec.State = state
		a.setServer(s, i, rec)
	}
	if !v.configured {
		a.removeServer(s, i)
	}
}

func (a *Assigner) stateOf(v *server, rec slicemap.Server) slicemap.ServerState {
	switch {
	case v.lost:
		return slicemap.ServerLost
	case a.outOfService[rec.DataCentre]:
		return slicemap.ServerOutOfService
	case a.draining[v.id] || !v.configured:
		return slicemap.ServerDraining
	}
	return slicemap.ServerServing
}

// removeServer frees the index of a server that is no longer configured, once no
// slice, hot key or move refers to it and its home VM has released it.
func (a *Assigner) removeServer(s *service, i uint16) {
	rec := a.serverRecord(s, i)
	if s.isReferenced(a.builder.Service(s.name), i) {
		return
	}
	if rec.Home != "" {
		if !rec.Releasing {
			a.requestRelease(s, i)
		}
		return
	}
	delete(s.byID, rec.ID)
	s.servers[i] = &server{}
	a.setServer(s, i, slicemap.Server{})
}

func (s *service) isReferenced(t *slicemap.Service, i uint16) bool {
	if len(s.owned.slicesOf(i)) > 0 || s.servers[i].planned > 0 {
		return true
	}
	for _, m := range s.activeMoves {
		if m.from == i || m.to == i || m.split != nil && m.split.to == i {
			return true
		}
	}
	return slices.ContainsFunc(t.Hot(), func(h slicemap.Hot) bool { return h.Owner == i || h.Next == i })
}

// findServer returns the service and index of a server.
func (a *Assigner) findServer(id topo.ServerID) (*service, uint16, bool) {
	for _, s := range a.services {
		if i, ok := s.byID[id]; ok {
			return s, i, true
		}
	}
	return nil, 0, false
}
