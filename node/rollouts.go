package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/forward"
	"godwitlock.example/godwitlock/rollout"
	"godwitlock.example/godwitlock/topo"
)

const (
	// rolloutInterval is how often rights are checked for their end, and how often the
	// leader decides. It is a small part of the time within which a bad version stops.
	rolloutInterval = 100 * time.Millisecond
	// newVersionHold is how long a version that was not known before is not used. An
	// order that is written at the same time as its servers is known to all VMs by then.
	newVersionHold = time.Second
)

// rollouts holds what this VM knows of roll-outs, and what it does for them. While the
// bounds name no limits on exposure, it does nothing. It implements fleet.Rollouts,
// fleet.RolloutFollower and forward.Rollouts, and is safe for concurrent use.
type rollouts struct {
	node   *Node
	boot   string
	holder *rollout.Holder

	// applying keeps the limits of the view in the order of the changes of holder.
	applying sync.Mutex

	cellsMu sync.Mutex
	cells   map[rolloutCell]*rollout.Cell

	leaderRollouts
}

// rolloutCell identifies a count of outcomes.
type rolloutCell struct {
	service topo.ServiceName
	route   string
	server  topo.ServerID
}

// maxRolloutCells bounds the counts between two reports.
const maxRolloutCells = 4096

func newRollouts(n *Node, boot string) *rollouts {
	r := &rollouts{node: n, boot: boot, holder: rollout.NewHolder(), cells: make(map[rolloutCell]*rollout.Cell)}
	r.leaderRollouts.init()
	return r
}

// enabled reports whether the deployment has roll-outs.
func (r *rollouts) enabled() bool { return r.node.bounds().Rollout.Enabled() }

// Run ends rights that have expired, and decides on roll-outs while this VM leads, until
// ctx ends.
func (r *rollouts) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.enabled() {
			r.node.view.HoldNewVersions(newVersionHold)
			r.lead(ctx)
			r.updateLimits()
		}
		pause(ctx, rolloutInterval)
	}
	return ctx.Err()
}

// updateLimits applies the limits that are in force now to the view.
func (r *rollouts) updateLimits() {
	r.applying.Lock()
	defer r.applying.Unlock()
	now := clock.Boot()
	r.node.view.SetLimits(now, r.holder.Limits(now))
}

// Apply implements fleet.RolloutFollower.
func (r *rollouts) Apply(list []rollout.Right) {
	if !r.enabled() {
		return
	}
	r.applying.Lock()
	defer r.applying.Unlock()
	r.holder.Apply(list)
	now := clock.Boot()
	r.node.view.SetLimits(now, r.holder.Limits(now))
}

// Hold implements fleet.RolloutFollower.
func (r *rollouts) Hold(service topo.ServiceName, target string) {
	if r.enabled() {
		r.holder.Seen(service, target, false)
		r.updateLimits()
	}
}

// Reverted implements fleet.RolloutFollower.
func (r *rollouts) Reverted() map[topo.ServiceName]rollout.Right { return r.holder.Reverted() }

// Held implements fleet.Rollouts.
func (r *rollouts) Held() map[topo.ServiceName]rollout.Limit {
	limits := r.holder.Limits(clock.Boot())
	for service, l := range limits {
		if l.Whole || l.Target == "" {
			delete(limits, service)
		}
	}
	return limits
}

// Any implements forward.Rollouts.
func (r *rollouts) Any() bool { return r.holder.Any() }

// Arrived implements forward.Rollouts.
func (r *rollouts) Arrived(service topo.ServiceName) { r.holder.Arrived(service) }

// Left implements forward.Rollouts.
func (r *rollouts) Left(service topo.ServiceName) bool { return r.holder.Left(clock.Boot(), service) }

// Take implements forward.Rollouts.
func (r *rollouts) Take(s *directory.Server) (rollout.Ticket, bool) {
	t, ok := r.holder.Take(clock.Boot(), s.Service, s.Version)
	if !ok {
		// The view may not know yet that the right has expired.
		r.node.metrics.Count("rollout_no_right", "service", string(s.Service))
		r.updateLimits()
	}
	return t, ok
}

// Valid implements forward.Rollouts.
func (r *rollouts) Valid(s *directory.Server, t rollout.Ticket) bool {
	return r.holder.Valid(clock.Boot(), s.Service, s.Version, t)
}

// Return implements forward.Rollouts.
func (r *rollouts) Return(t rollout.Ticket) { r.holder.Return(t) }

// Observe implements forward.Rollouts.
func (r *rollouts) Observe(s *directory.Server, o forward.Observation) {
	target, running := r.holder.Target(s.Service)
	if !running {
		return
	}
	id := rolloutCell{service: s.Service, route: o.Route}
	version := "other"
	if s.Version == target {
		id.server, version = s.ID, "target"
	}
	r.node.metrics.Count("rollout_requests", "version", version)
	r.cellsMu.Lock()
	defer r.cellsMu.Unlock()
	c := r.cells[id]
	if c == nil {
		if len(r.cells) >= maxRolloutCells {
			return
		}
		c = &rollout.Cell{Route: o.Route, Server: id.server}
		r.cells[id] = c
	}
	if o.Bad {
		c.Bad++
		return
	}
	if c.Good++; !s.Cold(clock.Boot()) {
		c.Times[rollout.Bucket(o.ServiceTime)]++
	}
}

// uses returns what this VM reports of the running roll-outs, and resets the counts.
func (r *rollouts) uses() []*fleetpb.RolloutUse {
	if r == nil {
		return nil
	}
	list := r.holder.Uses()
	if len(list) == 0 {
		return nil
	}
	r.cellsMu.Lock()
	defer r.cellsMu.Unlock()
	out := make([]*fleetpb.RolloutUse, 0, len(list))
	for _, u := range list {
		m := &fleetpb.RolloutUse{
			Service: string(u.Service), Target: u.Target, Number: u.Number, Term: uint64(u.Term), Boot: r.boot, Arrivals: u.Arrivals, Used: u.Used,
		}
		for id, c := range r.cells {
			if id.service == u.Service {
				m.Cells = append(m.Cells, encodeRolloutCell(c))
			}
		}
		out = append(out, m)
	}
	clear(r.cells)
	return out
}

func encodeRolloutCell(c *rollout.Cell) *fleetpb.RolloutCell {
	m := &fleetpb.RolloutCell{Route: c.Route, Server: string(c.Server), Good: uint32(c.Good), Bad: uint32(c.Bad)}
	for i, n := range c.Times {
		if n > 0 {
			for len(m.Times) <= i {
				m.Times = append(m.Times, 0)
			}
			m.Times[i] = uint32(n)
		}
	}
	return m
}

// maxCellCount bounds the counts of a cell that another VM reports.
const maxCellCount = 1 << 20

func decodeRolloutCell(m *fleetpb.RolloutCell) rollout.Cell {
	c := rollout.Cell{
		Route: m.GetRoute(), Server: topo.ServerID(m.GetServer()),
		Good: int(min(m.GetGood(), maxCellCount)), Bad: int(min(m.GetBad(), maxCellCount)),
	}
	for i, n := range m.GetTimes()[:min(len(m.GetTimes()), rollout.TimeBuckets)] {
		c.Times[i] = int(min(n, maxCellCount))
	}
	return c
}

// seen applies the order that this VM has read from the store, unless a leader tells
// more of the roll-out.
func (r *rollouts) seen(o rollout.Order) {
	r.holder.Seen(o.Service, o.Target, o.Over() && o.Status.State == rollout.Complete)
	r.updateLimits()
}

// versionsOf returns the numbers of usable servers of a service that have the target
// version and others.
func (n *Node) versionsOf(service topo.ServiceName, target string) (targets, others int) {
	snap := n.view.Snapshot()
	for id, s := range snap.Servers {
		switch {
		case s.Service != service || snap.Unusable[id]:
		case s.Version == target:
			targets++
		default:
			others++
		}
	}
	return targets, others
}

// sortedServices returns the keys of a map in order.
func sortedServices[V any](m map[topo.ServiceName]V) []topo.ServiceName {
	out := make([]topo.ServiceName, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
