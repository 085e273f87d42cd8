package node

import (
	"context"
	"sync"
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/metric"
	"godwitlock.example/godwitlock/placement"
	"godwitlock.example/godwitlock/quota"
	"godwitlock.example/godwitlock/topo"
)

const (
	// reportInterval is the time between two reports to the leader, and
	// reportPerVM what each VM adds to it, so that the leader's work does not
	// grow with the fleet.
	reportInterval = 250 * time.Millisecond
	reportPerVM    = 5 * time.Millisecond
	// urgentReport is the least time between two reports that a request
	// without a token asks for.
	urgentReport = 25 * time.Millisecond
	// tokenWait is how long a request waits for a token: a few reports.
	tokenWait = 120 * time.Millisecond
)

// work is what a server did since the last report.
type work struct {
	answers int
	total   time.Duration
}

// reports collects what the leader is told, and keeps the customers' tokens.
// It implements forward.Stats and forward.Rates and is safe for concurrent use.
type reports struct {
	metrics *metric.Set
	vm      topo.VMID

	mu      sync.Mutex
	purse   *quota.Purse
	loads   map[topo.ServiceName]map[int]int
	work    map[topo.ServerID]work
	granted chan struct{}
	urgent  chan struct{}
}

func newReports(vm topo.VMID, m *metric.Set) *reports {
	return &reports{
		vm: vm, metrics: m, purse: quota.NewPurse(),
		loads: make(map[topo.ServiceName]map[int]int), work: make(map[topo.ServerID]work),
		granted: make(chan struct{}), urgent: make(chan struct{}, 1),
	}
}

// Arrived implements forward.Stats.
func (r *reports) Arrived(service topo.ServiceName, key keyrange.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	buckets := r.loads[service]
	if buckets == nil {
		buckets = make(map[int]int)
		r.loads[service] = buckets
	}
	buckets[placement.BucketOf(key)]++
}

// Worked implements forward.Stats.
func (r *reports) Worked(server topo.ServerID, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.work[server]
	w.answers++
	w.total += d
	r.work[server] = w
}

// Answered implements forward.Stats.
func (r *reports) Answered(route, kind string, d time.Duration) { r.metrics.Answered(route, kind, d) }

// Take implements forward.Rates. A request without a token waits for the
// reports of a moment.
func (r *reports) Take(ctx context.Context, id topo.CustomerID) bool {
	r.mu.Lock()
	ok, granted := r.purse.Take(clock.Boot(), id), r.granted
	r.mu.Unlock()
	if ok {
		return true
	}
	t := time.NewTimer(tokenWait)
	defer t.Stop()
	for {
		select {
		case r.urgent <- struct{}{}:
		default:
		}
		select {
		case <-granted:
		case <-t.C:
			return false
		case <-ctx.Done():
			return false
		}
		r.mu.Lock()
		ok, granted = r.purse.Retake(clock.Boot(), id), r.granted
		r.mu.Unlock()
		if ok {
			return true
		}
	}
}

// Return implements forward.Rates.
func (r *reports) Return(id topo.CustomerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.purse.Return(id)
}

// take returns the report of the time since the last one.
func (r *reports) take(interval time.Duration) *fleetpb.ReportRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	req := &fleetpb.ReportRequest{Vm: string(r.vm), IntervalMs: interval.Milliseconds()}
	for service, buckets := range r.loads {
		l := &fleetpb.BucketLoad{Service: string(service)}
		for b, n := range buckets {
			l.Buckets, l.Counts = append(l.Buckets, uint32(b)), append(l.Counts, uint32(n))
		}
		req.Loads = append(req.Loads, l)
	}
	for id, w := range r.work {
		mean := w.total / time.Duration(max(1, w.answers))
		req.Work = append(req.Work, &fleetpb.Work{Server: string(id), Answers: uint32(w.answers), MeanUs: mean.Microseconds()})
	}
	clear(r.loads)
	clear(r.work)
	for _, t := range r.purse.Report(clock.Boot()) {
		req.Tokens = append(req.Tokens, &fleetpb.Tokens{Customer: string(t.Customer), Held: t.Held, Asked: t.Asked})
	}
	return req
}

// add takes over the tokens of an answered report.
func (r *reports) add(sent time.Time, grants map[topo.CustomerID]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.purse.Granted(sent, grants)
	close(r.granted)
	r.granted = make(chan struct{})
}

// runReports reports to the leader until ctx ends.
func (n *Node) runReports(ctx context.Context) error {
	last := clock.Boot()
	for ctx.Err() == nil {
		interval := reportInterval + time.Duration(len(n.view.Snapshot().Members))*reportPerVM
		t := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-n.reports.urgent:
			if since := clock.Boot().Sub(last); since < urgentReport {
				pause(ctx, urgentReport-since)
			}
		}
		t.Stop()
		now := clock.Boot()
		n.report(ctx, now.Sub(last))
		last = now
	}
	return ctx.Err()
}

func (n *Node) report(ctx context.Context, interval time.Duration) {
	sent := clock.Boot()
	if _, leads := n.lease.Leads(); leads {
		n.reports.add(sent, n.hub.ReportHere(n.reports.take(interval)))
		return
	}
	leader := n.lease.Leader()
	if leader.Addr == "" || leader.VM == n.set.VM {
		return
	}
	grants, err := n.follower.Report(ctx, leader.Addr, n.reports.take(interval))
	if err != nil {
		n.log.Event("report_failed").Str("leader", string(leader.VM)).Err(err).Send()
		return
	}
	n.reports.add(sent, grants)
}
