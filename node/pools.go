package node

import (
	"fmt"

	"godwitlock.example/godwitlock/broker"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/health"
	"godwitlock.example/godwitlock/metric"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
	"godwitlock.example/godwitlock/workload"
)

// poolServers returns the servers whose slots belong to a pool, and the version
// of the list. The list is nil if the version equals since or no configuration is
// in force yet.
func (n *Node) poolServersOf(snap *view.Snapshot, pool string, since uint64) ([]permit.Server, uint64) {
	if snap.Routes == nil || snap.ServersVersion == since {
		return nil, snap.ServersVersion
	}
	list := snap.PoolServers(pool)
	out := make([]permit.Server, 0, len(list))
	for _, s := range list {
		e := permitServer(snap, s)
		if b := n.bounds(); e.ColdRate > 0 && b.ColdSlack > 0 {
			e.ColdRate = permit.HomeColdRate(e.ColdRate, b.ColdOverrun, b.ColdSlack)
		}
		e.WarmBudget = n.warmBudget(snap, s.Service)
		out = append(out, e)
	}
	return out, snap.ServersVersion
}

// workTable returns the table of the expected work of routes. Where the rules do not speak of
// servers that differ and fail in part, it is nil, and requests are ordered without it.
func (n *Node) workTable() *workload.Table {
	if !n.settings.EjectServers {
		return nil
	}
	return workload.New()
}

// maxHeldBytes bounds the size of the bodies at one server, over all VMs. The memory of a
// server is not known; eight bodies of 1 MiB fit, and a longer one is sent alone.
const maxHeldBytes = 8 << 20

// logEjection logs that a server was ejected from its pool, because it fails more of its
// requests than its peers, or that it was readmitted.
func (n *Node) logEjection(pool string, server topo.ServerID, state health.State) {
	name := "server_readmitted"
	if state.Ejected {
		name = "server_ejected"
	}
	n.metrics.Count("server_ejections", "event", name)
	n.log.Event(name).Str("pool", pool).Str("server", string(server)).Float64("slowness", state.Slowness).
		Float64("failure_share", state.FailureShare).Send()
}

// registerSlotMetrics registers the counts of decisions on slots, summed over the brokers
// of the VM: as the home of pools, and in place of homes that do not answer.
func registerSlotMetrics(set *metric.Set, brokers ...*broker.Stats) {
	sum := func(read func(*broker.Stats) float64) func() float64 {
		return func() float64 {
			total := 0.0
			for _, s := range brokers {
				total += read(s)
			}
			return total
		}
	}
	for row := range broker.Priorities {
		priority := broker.PriorityLabel(row)
		for c := permit.NoServer; int(c) < permit.Causes; c++ {
			set.Gauge(fmt.Sprintf("slot_refusals_total{cause=%q,priority=%q}", c, priority),
				sum(func(s *broker.Stats) float64 { return float64(s.Refusals(row, c)) }))
		}
		for o := range broker.Outcome(broker.Outcomes) {
			labels := fmt.Sprintf("{outcome=%q,priority=%q}", o, priority)
			set.Gauge("slot_wait_seconds_count"+labels, sum(func(s *broker.Stats) float64 { n, _ := s.Waits(row, o); return float64(n) }))
			set.Gauge("slot_wait_seconds_sum"+labels, sum(func(s *broker.Stats) float64 { _, d := s.Waits(row, o); return d.Seconds() }))
		}
		set.Gauge(fmt.Sprintf("slot_late_starts_total{priority=%q}", priority),
			sum(func(s *broker.Stats) float64 { return float64(s.LateStarts(row)) }))
	}
}

func permitServer(snap *view.Snapshot, s *directory.Server) permit.Server {
	out := permit.Server{ID: s.ID, DataCentre: s.DataCentre, Slots: s.Slots, ColdUntil: s.SeenAt.Add(s.ColdFor)}
	if svc := snap.Routes.Service(s.Service); svc != nil {
		out.ColdRate = svc.ColdRate
	}
	return out
}
