package node

import (
	"context"
	"sync"
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/hotkey"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/metric"
	"godwitlock.example/godwitlock/quota"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
)

const (
	// reportInterval is the base interval between two reports to the leader.
	// reportIntervalPerVM is added for each VM of the fleet, so that the
	// leader's load does not grow with the size of the fleet.
	reportInterval      = 250 * time.Millisecond
	reportIntervalPerVM = time.Millisecond
	// hotReportDivisor divides the interval for a VM at which keys become hot: it then
	// reports at once, but twice as often as usual at most, so that the leader's work at
	// most doubles.
	hotReportDivisor = 2
)

// serverWork sums up the responses of a server since the last report, and the requests
// that it turned away although it had free slots.
type serverWork struct {
	responses, turnedAway int
	total                 time.Duration
}

// reports collects the load figures that this VM reports to the leader. It
// implements forward.Stats and is safe for concurrent use.
type reports struct {
	metrics *metric.Set
	vm      topo.VMID

	// hot receives a value when keys become hot.
	hot chan struct{}

	mu        sync.Mutex
	loads     map[topo.ServiceName]map[keyrange.Key]int
	work      map[topo.ServerID]serverWork
	detectors map[topo.ServiceName]*hotkey.Detector
}

func newReports(vm topo.VMID, m *metric.Set) *reports {
	return &reports{
		vm: vm, metrics: m, hot: make(chan struct{}, 1), detectors: make(map[topo.ServiceName]*hotkey.Detector),
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
	d := r.detectors[service]
	if d == nil {
		d = &hotkey.Detector{}
		r.detectors[service] = d
	}
	if d.Record(clock.Boot(), key) {
		select {
		case r.hot <- struct{}{}:
		default:
		}
	}
}

// await waits for the time of the next report, which is interval after the last one, or
// earlier if keys become hot. It returns early if ctx ends.
func (r *reports) await(ctx context.Context, interval time.Duration) {
	pause(ctx, interval/hotReportDivisor)
	ctx, cancel := context.WithTimeout(ctx, interval-interval/hotReportDivisor)
	defer cancel()
	select {
	case <-r.hot:
		r.metrics.Count("hot_reports", "", "")
	case <-ctx.Done():
	}
}

// Completed implements forward.Stats.
func (r *reports) Completed(server topo.ServerID, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.work[server]
	w.responses++
	w.total += d
	r.work[server] = w
}

// TurnedAway implements forward.Stats.
func (r *reports) TurnedAway(server topo.ServerID, hadFreeSlots bool) {
	if !hadFreeSlots {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.work[server]
	w.turnedAway++
	r.work[server] = w
}

// Answered implements forward.Stats.
func (r *reports) Answered(route, kind string, d time.Duration) {
	r.metrics.RecordResponse(route, kind, d)
}

// take returns the report for the given interval and resets the figures.
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
		mean := w.total / time.Duration(max(1, w.responses))
		req.Work = append(req.Work, &fleetpb.Work{Server: string(id), Answers: uint32(w.responses), MeanUs: mean.Microseconds(), TurnedAway: uint32(w.turnedAway)})
	}
	clear(r.loads)
	clear(r.work)
	select {
	case <-r.hot:
		// The report has the requests for the hot keys.
	default:
	}
	return req
}

// runReports sends reports to the leader until ctx ends.
func (n *Node) runReports(ctx context.Context) error {
	last := clock.Boot()
	for ctx.Err() == nil {
		n.reports.await(ctx, reportInterval+time.Duration(len(n.view.Snapshot().Members))*reportIntervalPerVM)
		now := clock.Boot()
		n.report(ctx, now.Sub(last))
		last = now
	}
	return ctx.Err()
}

func (n *Node) report(ctx context.Context, interval time.Duration) {
	if _, leads := n.lease.Leads(); leads {
		req := n.reports.take(interval)
		req.Rollouts = n.rollouts.uses()
		n.hub.ReportLocal(req)
		return
	}
	leader := n.lease.Leader()
	if leader.Addr == "" || leader.VM == n.settings.VM {
		return
	}
	req := n.reports.take(interval)
	req.Rollouts = n.rollouts.uses()
	if len(req.GetLoads()) == 0 && len(req.GetWork()) == 0 && len(req.GetRollouts()) == 0 {
		return
	}
	if _, err := n.follower.Report(ctx, leader.Addr, req); err != nil {
		n.log.Event("report_failed").Str("leader", string(leader.VM)).Err(err).Send()
	}
}

// runRates applies changes of the customers and members to n.rates until ctx ends.
// It also records there when this VM was last in contact with the leader.
func (n *Node) runRates(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := n.view.Changed()
		n.updateRates()
		n.rates.LogBasis()
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

// updateRates applies the newest snapshot and the last contact with the leader to n.rates.
func (n *Node) updateRates() {
	n.ratesMu.Lock()
	defer n.ratesMu.Unlock()
	if snap := n.view.Snapshot(); snap != n.ratesApplied {
		n.ratesApplied = snap
		n.rates.Update(snap, n.homelessSince(), n.allowance)
	}
	n.rates.Contacted(n.follower.Contact())
}

// leadership returns this VM's term, the end of its lease and the newest settled list of
// members while it leads.
func (n *Node) leadership() (topo.Term, time.Time, topo.ListVersion, bool) {
	term, leads := n.lease.Leads()
	if !leads {
		return 0, time.Time{}, topo.ListVersion{}, false
	}
	return term, n.lease.UsableUntil(), n.hub.Settled(), true
}

// homelessSince returns the time since which no other VM can have been home of this
// VM's customers; zero if that is not known.
func (n *Node) homelessSince() time.Time {
	if _, leads := n.lease.Leads(); leads {
		return n.hub.HomelessSince()
	}
	return n.follower.HomelessSince()
}

// allowance returns the rate and burst that a customer may use. The burst
// includes a part of the overrun that the deployment allows, because requests
// reach the customer's home VM slightly later than they were sent.
func (n *Node) allowance(c *routemap.Customer) quota.Limit {
	b := n.bounds()
	overrun := b.RateOverrun*(c.Rate*b.RateWindow.Seconds()+c.Burst)*burstOverrunFraction + b.RateSlack*burstSlackFraction
	return quota.Limit{Rate: c.Rate, Burst: c.Burst + overrun}
}

const (
	// burstOverrunFraction and burstSlackFraction are the fractions of
	// RateOverrun and RateSlack that are added to a customer's burst.
	burstOverrunFraction, burstSlackFraction = 0.3, 0.25
	// leaderContactInterval is how often runRates records the last contact with
	// the leader, if nothing changes in between.
	leaderContactInterval = 200 * time.Millisecond
)
