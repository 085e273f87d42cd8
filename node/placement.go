package node

import (
	"slices"
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/ownership"
	"godwitlock.example/godwitlock/placement"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// assignAll divides all keys among the usable servers.
func (a *assigner) assignAll(m *ownership.Machine, snap *view.Snapshot, svc *routemap.Service) {
	servers := placementServers(snap, svc, clock.Boot())
	if len(servers) == 0 {
		return
	}
	var ranges []keyrange.Range
	for _, p := range placement.Initial(servers) {
		ranges = append(ranges, keyrange.Range{First: p.First, Last: p.Last, Owner: ownerOf(snap, p.Owner)})
	}
	m.AssignInitial(ranges)
}

func ownerOf(snap *view.Snapshot, id topo.ServerID) keyrange.Owner {
	return keyrange.Owner{Server: id, StartedAtMs: snap.Servers[id].StartedAtMs}
}

// placementServers returns the usable servers of a service.
func placementServers(snap *view.Snapshot, svc *routemap.Service, now time.Time) []placement.Server {
	var out []placement.Server
	for _, s := range snap.ServersOf(svc.Name) {
		p := placement.Server{ID: s.ID, Slots: s.Slots}
		if s.Cold(now) {
			p.ColdRate = svc.ColdRate
		}
		out = append(out, p)
	}
	return out
}

// placementRanges converts a machine's holds to the input of the placement.
func placementRanges(now time.Time, m *ownership.Machine) []placement.Range {
	out := make([]placement.Range, 0, len(m.Holds()))
	for _, h := range m.Holds() {
		p := placement.Range{First: h.First, Last: h.Last, Owner: h.Server, Fixed: !h.Movable(now)}
		if h.Phase != ownership.Held {
			p.Owner, p.Moving = h.Target, true
		}
		out = append(out, p)
	}
	return out
}

// assignFree assigns keys without an owner to servers.
func (a *assigner) assignFree(now time.Time, m *ownership.Machine, snap *view.Snapshot, svc *routemap.Service) {
	var free []*ownership.Hold
	var untargeted []placement.Range
	for _, h := range m.Holds() {
		if h.Phase != ownership.Free {
			continue
		}
		free = append(free, h)
		if h.Target == "" || snap.Usable(h.Target) == nil {
			h.Target = ""
			untargeted = append(untargeted, placement.Range{First: h.First, Last: h.Last})
		}
	}
	if len(free) == 0 {
		return
	}
	var targets []topo.ServerID
	if len(untargeted) > 0 {
		servers := placementServers(snap, svc, now)
		a.loads.withLoad(svc.Name, func(l *placement.Load) {
			targets = placement.Targets(l, servers, placementRanges(now, m), untargeted)
		})
		if targets == nil {
			return
		}
	}
	for _, h := range free {
		if h.Target == "" {
			h.Target, targets = targets[0], targets[1:]
		}
		a.assign(m, snap, svc, h)
	}
}

// assign assigns the keys of a free hold to the hold's target.
func (a *assigner) assign(m *ownership.Machine, snap *view.Snapshot, svc *routemap.Service, h *ownership.Hold) {
	if !m.Assign(h, ownerOf(snap, h.Target)) {
		return
	}
	a.node.log.Event("keys_assigned").Str("service", string(svc.Name)).Uint16("first", h.First).
		Uint16("last", h.Last).Str("from", string(h.Server)).Str("to", string(h.Target)).Send()
}

// planner is a function that returns the moves to make.
type planner func(*placement.Load, []placement.Server, []placement.Range) []placement.Move

// rebalance moves keys to balance the load of the servers, as plan says.
func (a *assigner) rebalance(now time.Time, snap *view.Snapshot, plan planner) {
	snap.Routes.Services(func(svc *routemap.Service) {
		m := a.machines[svc.Name]
		if m == nil || len(m.Holds()) == 0 {
			return
		}
		servers := placementServers(snap, svc, now)
		if len(servers) == 0 {
			return
		}
		a.loads.withLoad(svc.Name, func(l *placement.Load) {
			l.Decay(now)
			a.logRefusals(svc, l.ServiceRefusing(servers))
			a.moveVersions(now, m, snap, svc, l)
			moves := plan(l, servers, placementRanges(now, m))
			a.logPlan(svc, m, l, moves, clock.Boot().Sub(now))
			for _, mv := range moves {
				a.node.log.Event("keys_moving").Str("service", string(svc.Name)).Uint16("first", mv.First).
					Uint16("last", mv.Last).Str("to", string(mv.Target)).Float64("load", l.RangeLoad(mv.First, mv.Last)).Send()
				m.Vacate(mv.First, mv.Last, mv.Target)
			}
		})
	})
}

// logRefusals logs when a service begins or ceases to refuse requests regardless of its
// load. Until it ceases, no keys move to balance load.
func (a *assigner) logRefusals(svc *routemap.Service, refusing bool) {
	if a.refusing[svc.Name] == refusing {
		return
	}
	a.refusing[svc.Name] = refusing
	a.node.log.Event("service_refuses").Str("service", string(svc.Name)).Bool("refusing", refusing).Send()
}

// logPlan logs and counts the moves of a plan, which may be more than the lines of one
// event that the log accepts.
func (a *assigner) logPlan(svc *routemap.Service, m *ownership.Machine, l *placement.Load, moves []placement.Move, took time.Duration) {
	if len(moves) == 0 {
		return
	}
	keys, load := 0, 0.0
	for _, mv := range moves {
		a.node.metrics.Count("key_moves", "", "")
		keys += int(mv.Last) - int(mv.First) + 1
		load += l.RangeLoad(mv.First, mv.Last)
	}
	a.node.log.Event("plan").Str("service", string(svc.Name)).Int("moves", len(moves)).Int("keys", keys).
		Float64("load", load).Int("ranges", len(m.Holds())).Dur("took_ms", took).Send()
}

// vacateUnusable vacates the keys of unusable servers in several parts, so that
// no single server receives all of them.
func (a *assigner) vacateUnusable(m *ownership.Machine, snap *view.Snapshot, svc *routemap.Service, l *placement.Load) {
	for _, h := range slices.Clone(m.Holds()) {
		if h.Phase == ownership.Held && ownerCondition(snap, svc, h.Owner) == ownership.Unusable {
			for _, p := range placement.Divide(l, h.First, h.Last) {
				m.Vacate(p.First, p.Last, "")
			}
		}
	}
}
