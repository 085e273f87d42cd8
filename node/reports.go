package node

import (
	"context"
	"sync"
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/metric"
	"godwitlock.example/godwitlock/quota"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

const (
	// reportInterval is the time between two reports to the leader, and
	// reportPerVM what each VM adds to it, so that the leader's work does not
	// grow with the fleet.
	reportInterval      = 250 * time.Millisecond
	reportIntervalPerVM = 3 * time.Millisecond
)

// serverWork is what a server did since the last report.
type serverWork struct {
	answers int
	total   time.Duration
}

// reports collects what the leader is told. It implements forward.Stats and is
// safe for concurrent use.
type reports struct {
	metrics *metric.Set
	vm      topo.VMID

	mu    sync.Mutex
	loads map[topo.ServiceName]map[keyrange.Key]int
	work  map[topo.ServerID]serverWork
}

func newReports(vm topo.VMID, m *metric.Set) *reports {
	return &reports{
		vm: vm, metrics: m,
		loads: make(map[topo.ServiceName]map[keyrange.Key]int), work: make(map[topo.ServerID]serverWork),
	}
}

// Arrived implements forward.Stats.
func (r *reports) Arrived(service topo.ServiceName, key keyrange.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := r.loads[service]
	if keys == nil {
		keys = make(map[keyrange.Key]int)
		r.loads[service] = keys
	}
	keys[key]++
}

// Completed implements forward.Stats.
func (r *reports) Completed(server topo.ServerID, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.work[server]
	w.answers++
	w.total += d
	r.work[server] = w
}

// Answered implements forward.Stats.
func (r *reports) Answered(route, kind string, d time.Duration) {
	r.metrics.RecordResponse(route, kind, d)
}

// take returns the report of the time since the last one.
func (r *reports) take(interval time.Duration) *fleetpb.ReportRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	req := &fleetpb.ReportRequest{Vm: string(r.vm), IntervalMs: interval.Milliseconds()}
	for service, keys := range r.loads {
		l := &fleetpb.KeyLoad{Service: string(service)}
		for k, n := range keys {
			l.Keys, l.Counts = append(l.Keys, uint32(k)), append(l.Counts, uint32(n))
		}
		req.Loads = append(req.Loads, l)
	}
	for id, w := range r.work {
		mean := w.total / time.Duration(max(1, w.answers))
		req.Work = append(req.Work, &fleetpb.Work{Server: string(id), Answers: uint32(w.answers), MeanUs: mean.Microseconds()})
	}
	clear(r.loads)
	clear(r.work)
	return req
}

// runReports reports to the leader until ctx ends.
func (n *Node) runReports(ctx context.Context) error {
	last := clock.Boot()
	for ctx.Err() == nil {
		pause(ctx, reportInterval+time.Duration(len(n.view.Snapshot().Members))*reportIntervalPerVM)
		now := clock.Boot()
		n.report(ctx, now.Sub(last))
		last = now
	}
	return ctx.Err()
}

func (n *Node) report(ctx context.Context, interval time.Duration) {
	if _, leads := n.lease.Leads(); leads {
		n.hub.ReportHere(n.reports.take(interval))
		return
	}
	leader := n.lease.Leader()
	if leader.Addr == "" || leader.VM == n.set.VM {
		return
	}
	if err := n.follower.Report(ctx, leader.Addr, n.reports.take(interval)); err != nil {
		n.log.Event("report_failed").Str("leader", string(leader.VM)).Err(err).Send()
	}
}

// runRates keeps the homes of customers' rates until ctx ends.
func (n *Node) runRates(ctx context.Context) error {
	var applied *view.Snapshot
	for ctx.Err() == nil {
		changed := n.view.Changed()
		if snap := n.view.Snapshot(); snap != applied {
			applied = snap
			n.rates.Update(snap, n.allowance)
		}
		if _, leads := n.lease.Leads(); leads {
			n.rates.Heard(clock.Boot())
		} else {
			n.rates.Heard(n.follower.Sent())
		}
		t := time.NewTimer(leaderContactInterval)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return ctx.Err()
}

// allowance is what a customer may use. Its burst uses some of what the
// deployment allows beyond the rate, since requests reach a home a little later
// than they were sent.
func (n *Node) allowance(c *routemap.Customer) quota.Limit {
	b := n.bounds()
	over := b.RateOverrun*(c.Rate*b.RateWindow.Seconds()+c.Burst)*burstOverrunFraction + b.RateSlack*burstSlackFraction
	return quota.Limit{Rate: c.Rate, Burst: c.Burst + over}
}

const (
	// burstOverrunFraction and burstSlackFraction are the parts of the allowed overrun
	// that a burst may use.
	burstOverrunFraction, burstSlackFraction = 0.3, 0.25
	// leaderContactInterval is how often a home learns that the leader was heard.
	leaderContactInterval = 200 * time.Millisecond
)
