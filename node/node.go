package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/thejerf/suture/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"godwitlock.example/godwitlock/broker"
	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/egress"
	"godwitlock.example/godwitlock/fleet"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/forward"
	"godwitlock.example/godwitlock/ingress"
	"godwitlock.example/godwitlock/internal/supervised"
	"godwitlock.example/godwitlock/leader"
	"godwitlock.example/godwitlock/membudget"
	"godwitlock.example/godwitlock/metric"
	"godwitlock.example/godwitlock/peer"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/pushback"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

const (
	// freshnessMargin is subtracted from WithdrawWithin: up to 1 s may pass
	// between two responses of a watch, and a request takes some time between
	// the key check and the server.
	freshnessMargin = 1300 * time.Millisecond
	// maxLeaderSilence is how long the leader may fail to respond to calls, and
	// maxLeaderStoreAge how old the leader's last contact with the store may
	// be, before a VM reads the store itself. Changes of servers and
	// configuration must take effect within 2 s, even when only the leader is
	// cut off. Both are extended by the interval at which the VM calls the
	// leader.
	maxLeaderSilence  = 900 * time.Millisecond
	maxLeaderStoreAge = 1700 * time.Millisecond
	// startupLeaderWait is how long a starting VM waits for a leader before it
	// reads the store itself.
	startupLeaderWait = time.Second
	// followRetryDelay is the pause after a failed call to the leader.
	followRetryDelay = 120 * time.Millisecond
	// fallbackDivisor divides the slots of servers whose home VMs do not
	// respond, because several VMs may use these slots at the same time.
	fallbackDivisor = 4
	// retrySlackFraction is the part of RetrySlack that is divided among the
	// VMs. retryShareFraction is the part of RetryShare that each VM uses.
	retrySlackFraction, retryShareFraction = 0.5, 0.85
	// maxLeaseYield is the delay before the smallest VM tries to acquire a free
	// lease, so that a larger VM can acquire it first.
	maxLeaseYield = time.Second
	// sweepInterval is how often idle connections to servers are closed.
	sweepInterval = time.Second
)

// Node is the router process of one VM.
type Node struct {
	settings     Settings
	activeBounds atomic.Pointer[Bounds]
	platform     Platform
	log          *declog.Log
	metrics      *metric.Set
	view         *view.View
	lease        *leaseManager
	hub          *fleet.Hub
	follower     *fleet.Follower
	reports      *reports
	peers        *peer.Pool
	egress       *egress.Client
	broker       *broker.Broker
	fallback     *broker.Broker
	ingress      *ingress.Server
	memory       *membudget.Budget
	forward      *forward.Forwarder
	grpc         *grpc.Server
	loads        *loads
	rates        *fleet.Rates
	ratesMu      sync.Mutex
	// ratesApplied is the snapshot that was applied to rates last.
	ratesApplied *view.Snapshot
	assigner     *assigner
	storeCalls   storeCallCounter
	storeEra     storeEra
	contact      *storeContact
	notices      *notices
	rollouts     *rollouts
	// lastCandidate is the index of the candidate that answered last; only
	// runCandidates uses it.
	lastCandidate int
	pauses        pushback.Table

	// startedAt is when the process started.
	startedAt time.Time
	addresses addressCache
	stopping  atomic.Bool
	// answersDropped counts the requests whose answer was not delivered.
	answersDropped atomic.Int64
	watchers       []*watcher
	// callerBound is the bound of callers' connections, 0 for none.
	callerBound atomic.Int64
	// knownVMs is the number of members when callerBound was computed.
	knownVMs atomic.Int64

	callerLis, peerLis, readyLis, metricsLis net.Listener
}

// Listen creates a node and opens its listeners. It fails if an address is
// already in use. Call Run to serve requests.
func Listen(set Settings, p Platform) (*Node, error) {
	n := &Node{settings: set, platform: p, view: view.New(), metrics: metric.New(), startedAt: clock.Boot()}
	n.activeBounds.Store(&set.Bounds)
	n.memory = membudget.New(membudget.CallerLimit(set.MemoryBytes))
	n.log = declog.New(os.Stdout, string(set.VM))
	for _, l := range []struct {
		addr string
		lis  *net.Listener
	}{{set.CallerAddr, &n.callerLis}, {set.PeerAddr, &n.peerLis}, {set.ReadyAddr, &n.readyLis}, {set.MetricsAddr, &n.metricsLis}} {
		var err error
		if l.lis == &n.peerLis {
			*l.lis, err = peer.ListenTCP(context.Background(), l.addr)
		} else {
			*l.lis, err = net.Listen("tcp", l.addr)
		}
		if err != nil {
			return nil, errors.Annotatef(err, "listening on %s", l.addr)
		}
	}
	n.wrapListeners()
	n.assemble()
	return n, nil
}

func (n *Node) assemble() {
	self := view.Member{
		VM: n.settings.VM, Addr: n.settings.PeerAddr, DataCentre: n.settings.DataCentre, CPUShare: n.settings.CPUShare,
	}
	boot := uuid.NewString()
	n.storeCalls.metrics, n.storeCalls.log = n.metrics, n.log
	n.platform.CountCalls(n.storeCalls.count)
	n.platform.OnStoreEra(n.recordStoreEra)
	n.contact = newStoreContact(n.settings.Heartbeat, n.view, n.log)
	n.peers = peer.NewPool(insecure.NewCredentials(), peer.DialTCP)
	n.lease = newLeaseManager(n.platform.Objects(), n.platform.InternalKey("leader", "lease"),
		leader.Identity{VM: n.settings.VM, Boot: boot, Addr: n.settings.PeerAddr},
		func() leader.Candidacy {
			return candidacyOf(n.settings.VM, n.settings.CPUShare, n.view.Snapshot().Members)
		}, func(term topo.Term) int { return n.hub.MayAct(term) }, n.log, n.leaderStale)
	n.lease.pristine, n.lease.called = n.pristineStore, n.contact.called
	n.follower = fleet.NewFollower(self, boot, n.view, n.peers, n.setConfig, n.lease.RecordLeaseVersion)
	n.loads = newLoads(n.view)
	n.assigner = newAssigner(n, n.loads)
	n.hub = fleet.NewHub(n.view, self, n.lease.Leads, n.lease.Version, n.oldestStoreResponse, n.loads)
	n.hub.Relay, n.lease.onLost = n.relay(boot), n.hub.LeadershipLost
	n.hub.StoreContact, n.follower.StoreContact = n.contact, n.contact
	n.contact.onFailing = n.hub.StoreFailing
	n.rollouts = newRollouts(n, boot)
	n.hub.Rollouts, n.follower.Rollouts = n.rollouts, n.rollouts
	n.watchers = n.newWatchers()
	n.reports = newReports(n.settings.VM, n.metrics)
	n.rates = fleet.NewRates(n.settings.VM, n.view, n.peers, n.log)
	n.rates.Leads, n.hub.LeaseEnd = n.leadership, n.lease.UsableUntil
	n.follower.Acting, n.hub.Acting = n.rates.Acting, n.rates.Acting
	n.follower.AdoptConfig, n.hub.AdoptConfig = n.adoptConfig, n.adoptConfig
	n.follower.OnContact = n.updateRates
	n.egress = egress.New(n.platform.ServerHeaders())
	n.notices = newNotices()
	n.egress.OnNotice = n.serverNotice
	n.platform.OnServerNotice(n.serverNotice)
	n.hub.OnLeaving = func(id topo.Incarnation) { n.logLeaving(id, "vm") }
	n.egress.OnConnect = func() { n.metrics.Count("server_connections", "", "") }
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	n.broker = broker.New(n.poolServers, 1, rng)
	n.fallback = broker.New(n.poolServers, fallbackDivisor, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if n.settings.BoundServerBytes {
		n.broker.MaxHeldBytes, n.fallback.MaxHeldBytes = maxHeldBytes, maxHeldBytes
	}
	if n.settings.EjectServers {
		n.broker.OnEjection = n.logEjection
	}
	n.broker.Probe, n.fallback.Probe = n.coldProbe(n.broker), n.coldProbe(n.fallback)
	n.forward = forward.New(forward.Config{
		View: n.view, DataCentre: n.settings.DataCentre, Egress: n.egress, RateLimiter: n.rates, Stats: n.reports, Log: n.log, Fresh: n.configFresh,
		Slots:   fleet.NewSlots(n.settings.VM, n.settings.DataCentre, n.peers, n.broker, n.fallback),
		Budgets: forward.NewBudgets(n.bounds().RetryShare*retryShareFraction, n.retrySlack),
		Pauses:  &n.pauses, Rollouts: n.rollouts,
		Work: n.workTable(),
	})
	n.ingress = ingress.NewServer(n.platform.CallerHeaders(), n.forward.Serve, n.callerLimits)
	n.ingress.OnAnswerDropped, n.ingress.OnUnread = n.recordDroppedAnswer, n.recordUnread
	n.ingress.MaxConnections = func() int { return int(n.callerBound.Load()) }
	n.ingress.Memory, n.ingress.Callers = n.memory, n.settings.Callers
	n.updateCallerBound()
	n.grpc = grpc.NewServer(peer.ServerOptions()...)
	fleetpb.RegisterFleetServer(n.grpc, fleet.NewServer(n.hub, n.broker, n.rates))
	n.registerGauges()
}

func (n *Node) registerGauges() {
	n.metrics.Gauge("config_age_seconds", func() float64 { return clock.Boot().Sub(n.view.Confirmed()).Seconds() })
	n.metrics.Gauge("store_era", func() float64 { return float64(n.storeEra.current()) })
	n.registerConnGauges()
	n.registerMemoryGauges()
	n.metrics.Gauge("rollouts_limited", func() float64 { return float64(len(n.rollouts.holder.Limits(clock.Boot()))) })
	n.metrics.Gauge("rollouts_running", func() float64 { return float64(n.rollouts.running()) })
	n.metrics.Gauge("customers_home", func() float64 { home, _ := n.rates.Customers(); return float64(home) })
	n.metrics.Gauge("customers_pending", func() float64 { _, pending := n.rates.Customers(); return float64(pending) })
	n.metrics.Gauge("home_waiting", func() float64 { w, _ := n.broker.Depth(); return float64(w) })
	n.metrics.Gauge("home_held_bytes", func() float64 { return float64(n.broker.HeldBytes()) })
	n.metrics.Gauge("home_running", func() float64 { _, r := n.broker.Depth(); return float64(r) })
	registerSlotMetrics(n.metrics, &n.broker.Stats, &n.fallback.Stats)
}

// leaseYieldDelay returns how long a VM waits before it tries to acquire a free
// lease, so that a larger VM can acquire it first. Until
// the members are known, it assumes that the other VMs have a whole core each.
func leaseYieldDelay(cpuShare float64, members []view.Member) time.Duration {
	share := func(s float64) float64 {
		if s <= 0 {
			return 1
		}
		return min(s, 1)
	}
	largest := 1.0
	if len(members) > 0 {
		largest = 0
	}
	for _, m := range members {
		largest = max(largest, share(m.CPUShare))
	}
	return time.Duration(max(0, largest-share(cpuShare)) * float64(maxLeaseYield))
}

// retrySlack returns this VM's part of RetrySlack.
func (n *Node) retrySlack() float64 {
	return (n.bounds().RetrySlack * retrySlackFraction / float64(max(1, len(n.view.Snapshot().Members))))
}

// callerLimits returns the caller limits of the configuration in force, or none
// before the first configuration.
func (n *Node) callerLimits() ingress.Limits {
	m := n.view.Snapshot().Routes
	if m == nil {
		return ingress.Limits{}
	}
	return ingress.Limits{
		HeaderBytes: m.Limits.HeaderBytes, BodyBytes: m.Limits.BodyBytes,
		HeaderTimeout: m.Limits.HeaderTimeout, IdleTimeout: m.Limits.IdleTimeout,
	}
}

// setConfig decodes a configuration and puts it in force, unless one of the same
// or a newer revision or version already is.
func (n *Node) setConfig(raw []byte, rev int64) error {
	_, have := n.view.Config()
	if rev == have {
		return nil
	}
	cfg, err := n.platform.DecodeConfig(raw)
	if err != nil {
		return err
	}
	m, err := routemap.Compile(cfg)
	if err != nil {
		return err
	}
	if n.view.SetConfig(m, raw, rev) {
		revision(n.log.Event("config_in_force").Int64("version", m.Version), topo.Revision(rev)).Send()
		return nil
	}
	if routes := n.view.Snapshot().Routes; routes != nil && m.Version < routes.Version {
		revision(n.log.Event("config_older").Int64("version", m.Version).Int64("in_force", routes.Version), topo.Revision(rev)).
			Str("reason", olderBecause(topo.Revision(rev), topo.Revision(have))).Send()
	}
	return nil
}

// adoptConfig puts a configuration in force that another VM has had in force.
func (n *Node) adoptConfig(raw []byte) error {
	cfg, err := n.platform.DecodeConfig(raw)
	if err != nil {
		return err
	}
	m, err := routemap.Compile(cfg)
	if err != nil {
		return err
	}
	if n.view.AdoptConfig(m, raw) {
		n.log.Event("config_adopted").Int64("version", m.Version).Send()
	}
	return nil
}

// configFresh reports whether the configuration was confirmed recently enough to
// accept caller keys, and no other VM is known to have had a newer one in force.
func (n *Node) configFresh() bool {
	age := clock.Boot().Sub(n.view.Confirmed())
	return age < n.bounds().WithdrawWithin-freshnessMargin && !n.view.LacksVersion()
}

// oldestStoreResponse returns the earliest of the times at which the store last
// responded to each watcher.
func (n *Node) oldestStoreResponse() time.Time {
	oldest := clock.Boot()
	for _, w := range n.watchers {
		if at := w.LastResponse(); at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// poolServers returns the servers of a slot pool and the version of the list.
func (n *Node) poolServers(pool string, since uint64) ([]permit.Server, uint64) {
	return n.poolServersOf(n.view.Snapshot(), pool, since)
}

// task is a duty of the process. It runs again when it ends.
type task struct {
	name string
	run  func(ctx context.Context) error
}

// Run serves until ctx ends, and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	sup := n.supervise(n.tasks())
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := sup.ServeBackground(work)
	n.log.Event("started").Str("data_centre", string(n.settings.DataCentre)).Str("peers", n.settings.PeerAddr).Send()
	<-ctx.Done()
	n.stop(work)
	n.log.Event("stopped").Int64("answers_dropped", n.answersDropped.Load()).Send()
	cancel()
	if !within(finalStepTimeout, func() { <-done }) {
		n.log.Event("tasks_abandoned").Send()
	}
	within(finalStepTimeout, n.log.Flush)
	return nil
}

// supervise returns a supervisor of the tasks.
func (n *Node) supervise(tasks []task) *suture.Supervisor {
	sup := suture.New(string(n.settings.VM), supervised.Spec(func(e suture.Event) {
		n.log.Event("supervisor").Str("what", e.String()).Send()
	}))
	for _, t := range tasks {
		sup.Add(supervised.Task{Name: t.name, Run: t.run, OnFailure: n.logTaskFailure})
	}
	return sup
}

func (n *Node) logTaskFailure(name string, err error, pause time.Duration) {
	n.log.Event("task_failed").Str("task", name).Err(err).Dur("pause_ms", pause).Send()
	n.metrics.Count("task_failures", "task", name)
}

func (n *Node) tasks() []task {
	list := []task{
		{"log", n.log.Run},
		{"lease", n.lease.Run},
		{"follow", n.runFollow},
		{"candidates", n.runCandidates},
		{"reports", n.runReports},
		{"leaving", n.runLeaving},
		{"rates", n.runRates},
		{"attestations", n.rates.RunAttestations},
		{"assigner", n.assigner.Run},
		{"rollouts", n.rollouts.Run},
		{"home", n.broker.Run},
		{"fallback", n.fallback.Run},
		{"contact", func(ctx context.Context) error { return n.contact.Run(ctx, n.needsStore) }},
		{"sweep", n.runSweep},
		{"peers", func(context.Context) error { return n.noRestartOnStop(n.grpc.Serve(n.peerLis)) }},
		{"callers", func(context.Context) error { return n.noRestartOnStop(n.ingress.Serve(n.callerLis)) }},
		{"ready", func(context.Context) error { return n.noRestartOnStop(newProbeServer(n.readyMux()).Serve(n.readyLis)) }},
		{"metrics", func(context.Context) error {
			return n.noRestartOnStop(newProbeServer(n.metricsMux()).Serve(n.metricsLis))
		}},
	}
	for _, w := range n.watchers {
		list = append(list, task{"watch " + w.name, w.Run})
	}
	return list
}

// noRestartOnStop prevents the supervisor from restarting a listener that was
// closed by a graceful stop.
func (n *Node) noRestartOnStop(err error) error {
	if n.stopping.Load() {
		return suture.ErrDoNotRestart
	}
	return err
}

func (n *Node) runSweep(ctx context.Context) error {
	var conns connLog
	var memory memoryLog
	for ctx.Err() == nil {
		pause(ctx, sweepInterval)
		n.egress.Sweep()
		n.updateCallerBound()
		conns.tick(n)
		memory.tick(n, clock.Boot())
		n.storeCalls.logCounts(n.log)
	}
	return ctx.Err()
}

// ready reports whether this VM should receive new callers.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.view.Snapshot().Routes != nil && n.configFresh() &&
		n.ingress.NotAcceptingFor() < acceptTolerance
}

func (n *Node) readyMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (n *Node) metricsMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.metrics)
	return mux
}
