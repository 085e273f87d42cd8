package node

import (
	"slices"
	"time"

	"godwitlock.example/godwitlock/ownership"
	"godwitlock.example/godwitlock/placement"
	"godwitlock.example/godwitlock/rollout"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

const (
	// minKeyDeficit and maxKeyExcess are how far the load of the target's keys may
	// differ from its share, as fractions. Keys that were busy of late are less so
	// afterwards, so the target gets somewhat less than its share.
	minKeyDeficit, maxKeyExcess = 0.2, 0.5
	// rolloutMoves is the number of ranges that move in one plan, for a large service
	// one per holdsPerRolloutMove ranges.
	rolloutMoves, holdsPerRolloutMove = 8, 4
)

// moveVersions moves keys of a service between servers of the target of its roll-out and
// others, according to the share that the target gets.
func (a *assigner) moveVersions(now time.Time, m *ownership.Machine, snap *view.Snapshot, svc *routemap.Service, l *placement.Load) {
	if a.node.rollouts == nil {
		return
	}
	limit, ok := a.node.rollouts.holder.Limits(now)[svc.Name]
	if !ok {
		return
	}
	v := versionMoves{
		assigner: a, now: now, machine: m, snap: snap, service: svc.Name, load: l, limit: limit,
		left: max(rolloutMoves, len(m.Holds())/holdsPerRolloutMove),
	}
	targets := snap.Canaries(svc.Name)
	running, isRunning := a.node.rollouts.holder.Target(svc.Name)
	switch {
	case limit.Target == "":
		v.vacate(func(version string) bool { return !slices.Contains(limit.Barred, version) }, 0)
	case limit.Whole:
		v.vacate(func(version string) bool { return version == limit.Target }, 0)
	case len(targets) == 0 || !isRunning || running != limit.Target:
		v.left = len(m.Holds())
		v.vacate(func(version string) bool { return version != limit.Target }, 0)
	default:
		v.share(targets)
	}
}

// versionMoves are the moves of one plan.
type versionMoves struct {
	assigner *assigner
	now      time.Time
	machine  *ownership.Machine
	snap     *view.Snapshot
	service  topo.ServiceName
	load     *placement.Load
	limit    rollout.Limit
	left     int
}

func (v *versionMoves) version(id topo.ServerID) string {
	if s := v.snap.Servers[id]; s != nil {
		return s.Version
	}
	return ""
}

// vacate takes keys from servers whose version is not kept, until their load is at most
// rest.
func (v *versionMoves) vacate(keep func(version string) bool, rest float64) {
	total := 0.0
	for _, h := range v.machine.Holds() {
		if h.Phase != ownership.Held {
			if h.Target != "" && !keep(v.version(h.Target)) && rest == 0 && h.Phase != ownership.Storing {
				h.Target = ""
			}
			continue
		}
		if v.snap.Servers[h.Server] != nil && !keep(v.version(h.Server)) {
			total += v.load.RangeLoad(h.First, h.Last)
		}
	}
	for _, h := range v.machine.Holds() {
		if h.Phase != ownership.Held || v.snap.Servers[h.Server] == nil || keep(v.version(h.Server)) || v.left <= 0 || total <= rest && rest > 0 {
			continue
		}
		total -= v.load.RangeLoad(h.First, h.Last)
		v.move(h.Range.First, h.Range.Last, "")
	}
}

func (v *versionMoves) move(first, last uint16, to topo.ServerID) {
	v.left--
	v.assigner.node.log.Event("rollout_keys_moving").Str("service", string(v.service)).Uint16("first", first).Uint16("last", last).
		Str("to", string(to)).Float64("load", v.load.RangeLoad(first, last)).Send()
	v.machine.Vacate(first, last, to)
}

// share gives keys to the targets up to the share of the load, and takes them back if
// their load has grown beyond it.
func (v *versionMoves) share(targets []topo.ServerID) {
	total, theirs := 0.0, 0.0
	loads := make(map[topo.ServerID]float64, len(targets))
	for _, h := range v.machine.Holds() {
		n := v.load.RangeLoad(h.First, h.Last)
		total += n
		owner := h.Server
		if h.Phase != ownership.Held && h.Target != "" {
			owner = h.Target
		}
		if v.version(owner) == v.limit.Target {
			theirs += n
			loads[owner] += n
		}
	}
	want := total * v.limit.Share
	if theirs > want*(1+maxKeyExcess) {
		v.vacate(func(version string) bool { return version != v.limit.Target }, want)
		return
	}
	// Ranges are split, so the list of holds changes with each move.
	for need := want - theirs; need > want*minKeyDeficit && v.left > 0; {
		to := targets[0]
		for _, id := range targets {
			if loads[id] < loads[to] {
				to = id
			}
		}
		moved := v.give(need/float64(min(len(targets), v.left)), to)
		if moved <= 0 {
			return
		}
		loads[to] += moved
		need -= moved
	}
}

// give moves keys with about the given load to a server, and returns their load. It takes
// them from the range of another version that has the most.
func (v *versionMoves) give(load float64, to topo.ServerID) float64 {
	var from *ownership.Hold
	most := 0.0
	for _, h := range v.machine.Holds() {
		if !h.Movable(v.now) || v.version(h.Server) == v.limit.Target || v.snap.Usable(h.Server) == nil {
			continue
		}
		if n := v.load.RangeLoad(h.First, h.Last); n > most {
			from, most = h, n
		}
	}
	if from == nil {
		return 0
	}
	last, _ := v.load.PrefixWithLoad(from.First, from.Last, load)
	first := from.First
	moved := v.load.RangeLoad(first, last)
	v.move(first, last, to)
	return moved
}
