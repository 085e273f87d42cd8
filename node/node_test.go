package node

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/egress"
	"godwitlock.example/godwitlock/fleet"
	"godwitlock.example/godwitlock/ingress"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/leader"
	"godwitlock.example/godwitlock/metric"
	"godwitlock.example/godwitlock/ownership"
	"godwitlock.example/godwitlock/rollout"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/store/memstore"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// Guards against settings that are applied in part: bounds take effect
// immediately, a changed address needs a restart.
func TestReload(t *testing.T) {
	n := &Node{settings: Settings{VM: "a", CallerAddr: "x:1", Bounds: DefaultBounds()}, log: declog.New(io.Discard, "a")}
	n.activeBounds.Store(&n.settings.Bounds)
	set := n.settings
	require.Empty(t, n.Reload(set))
	set.Bounds.WithdrawWithin = 9 * time.Second
	require.Empty(t, n.Reload(set))
	require.Equal(t, 9*time.Second, n.bounds().WithdrawWithin)
	set.CallerAddr = "x:2"
	require.Equal(t, []string{"callers' address"}, n.Reload(set))
}

// Guards against accepting caller keys while the configuration may be out of
// date: a withdrawn key must be rejected within the bound on every VM.
func TestConfigFreshness(t *testing.T) {
	n := &Node{view: view.New()}
	b := DefaultBounds()
	n.activeBounds.Store(&b)
	require.False(t, n.configFresh(), "no configuration has been confirmed yet")
	n.view.Confirm(bootNow().Add(-b.WithdrawWithin + freshnessMargin + 500*time.Millisecond))
	require.True(t, n.configFresh())
	n.view = view.New()
	n.view.Confirm(bootNow().Add(-b.WithdrawWithin + freshnessMargin - time.Millisecond))
	require.False(t, n.configFresh())
}

// Guards against leaving keys with a server that is leaving, whose data centre is
// out of service, or that has restarted since it got them.
func TestOwnerCondition(t *testing.T) {
	svc := &routemap.Service{Name: "s"}
	owner := keyrange.Owner{Server: "i", StartedAtMs: 1}
	snap := func(startedAtMs int64, service topo.ServiceName, unusable bool) *view.Snapshot {
		return &view.Snapshot{
			Servers:  map[topo.ServerID]*directory.Server{"i": {ID: "i", Service: service, StartedAtMs: startedAtMs}},
			Unusable: map[topo.ServerID]bool{"i": unusable},
		}
	}
	require.Equal(t, ownership.Usable, ownerCondition(snap(1, "s", false), svc, owner))
	require.Equal(t, ownership.Unusable, ownerCondition(snap(1, "s", true), svc, owner))
	require.Equal(t, ownership.Unusable, ownerCondition(snap(1, "other", false), svc, owner))
	require.Equal(t, ownership.Replaced, ownerCondition(snap(2, "s", false), svc, owner))
	require.Equal(t, ownership.Unusable, ownerCondition(&view.Snapshot{}, svc, owner))
}

// Guards against VMs that rely on a leader which is cut off from the store:
// leaving servers must not get requests after 2 s.
func TestLeaderCutOffFromStoreIsDetected(t *testing.T) {
	require.Less(t, maxLeaderStoreAge+minWatchPause+100*time.Millisecond, DefaultBounds().LeaveWithin)
	require.Greater(t, maxLeaderStoreAge, watchTimeout+minWatchPause+fleet.FollowWait, "a leader with a working store connection must not be treated as cut off")
}

// Guards against a small VM becoming the leader while a larger VM is available.
func TestSmallVMsYield(t *testing.T) {
	large, small := view.Member{CPUShare: 0.8}, view.Member{CPUShare: 0.16}
	mixed := []view.Member{large, small}
	require.Zero(t, leaseYieldDelay(0.8, mixed))
	require.Positive(t, leaseYieldDelay(0.16, mixed))
	require.Zero(t, leaseYieldDelay(0.16, []view.Member{small, small}), "VMs of equal size do not wait")
	require.Zero(t, leaseYieldDelay(0, nil))
	require.Greater(t, leaseYieldDelay(0.16, nil), leaseYieldDelay(0.8, nil))
}

// Guards against store calls that are not counted or whose counts are not reset
// after logging.
func TestStoreCallsAreCounted(t *testing.T) {
	c := storeCallCounter{metrics: metric.New(), lastLogged: bootNow()}
	c.count("GET", "config", time.Millisecond)
	c.count("GET", "config", time.Millisecond)
	c.logCounts(declog.New(io.Discard, "a"))
	require.Equal(t, 2, c.counts["GET config"], "the counts must be kept until callLogInterval has passed")
	c.lastLogged = bootNow().Add(-callLogInterval)
	c.logCounts(declog.New(io.Discard, "a"))
	require.Empty(t, c.counts)
}

func bootNow() time.Time { return clock.Boot() }

// Guards against a stopping leader that sends orders after it has stated that no
// more will follow.
func TestSettledAssignerNeverLeadsAgain(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := memPlatform{memstore.New()}
	n := &Node{settings: Settings{VM: "a"}, view: view.New(), log: declog.New(io.Discard, "a"), platform: p}
	b := DefaultBounds()
	n.activeBounds.Store(&b)
	never := func() bool { return false }
	n.lease = newLeaseManager(p.Objects(), "leader/lease", leader.Identity{VM: "a", Addr: "a:1"},
		func() leader.Candidacy { return leader.Candidacy{} }, func(topo.Term) int { return 0 }, n.log, never)
	go func() { _ = n.lease.Run(ctx) }()
	n.loads = newLoads(n.view)
	n.hub = fleet.NewHub(n.view, view.Member{VM: "a"}, n.lease.Leads, n.lease.Version, n.view.Confirmed, n.loads)
	a := newAssigner(n, n.loads)
	done := make(chan struct{})
	go func() { _ = a.Run(ctx); close(done) }()
	require.Eventually(t, func() bool { _, leads := n.lease.Leads(); return leads }, time.Minute, time.Millisecond)
	settled := false
	for !settled {
		settled = a.Settle(ctx)
	}
	short, stop := context.WithTimeout(ctx, 3*assignInterval)
	defer stop()
	require.False(t, a.Settle(short), "the assigner ran another term after Settle")
	cancel()
	<-done
}

// memPlatform is a Platform that has only an in-memory store.
type memPlatform struct{ objects store.Objects }

func (memPlatform) OnServerNotice(func(topo.Incarnation, egress.Notice)) {}
func (p memPlatform) Objects() store.Objects                             { return p.objects }
func (memPlatform) CountCalls(func(string, string, time.Duration))       {}
func (memPlatform) OnStoreEra(func(topo.Era))                            {}
func (memPlatform) ConfigKey() string                                    { return "config/main" }
func (memPlatform) Prefixes() Prefixes                                   { return Prefixes{} }
func (memPlatform) InternalKey(kind, name string) string                 { return kind + "/" + name }
func (memPlatform) DecodeConfig([]byte) (routemap.Config, error)         { return routemap.Config{}, nil }
func (memPlatform) Name(key string) string                               { return key }
func (memPlatform) CallerHeaders() ingress.Headers                       { return ingress.Headers{} }
func (memPlatform) ServerHeaders() egress.Headers                        { return egress.Headers{} }
func (memPlatform) DecodeServer(store.Object, time.Time) (directory.Server, error) {
	return directory.Server{}, nil
}
func (memPlatform) ColdFor(context.Context, string, string, topo.ServerID) (time.Duration, error) {
	return 0, nil
}
func (memPlatform) DecodeRollout(store.Object) (rollout.Order, error) { return rollout.Order{}, nil }
func (memPlatform) WriteRolloutStatus(context.Context, string, rollout.Status) error {
	return nil
}
func (memPlatform) SendOrder(context.Context, string, ownership.Order, func() time.Time) (ownership.Outcome, string, error) {
	return ownership.Done, "", nil
}

// Guards against a new leader that treats every owner as gone because it has not
// read the servers yet. Such a leader would release all keys, and requests for
// them would wait until the holds expire.
func TestLeaderWaitsForTheServers(t *testing.T) {
	n := &Node{settings: Settings{VM: "a"}, view: view.New(), log: declog.New(io.Discard, "a"), platform: memPlatform{memstore.New()}}
	b := DefaultBounds()
	n.activeBounds.Store(&b)
	n.lease = newLeaseManager(n.platform.Objects(), "leader/lease", leader.Identity{VM: "a"},
		func() leader.Candidacy { return leader.Candidacy{} }, func(topo.Term) int { return 0 }, n.log, func() bool { return false })
	n.loads = newLoads(n.view)
	n.hub = fleet.NewHub(n.view, view.Member{VM: "a"}, n.lease.Leads, n.lease.Version, n.view.Confirmed, n.loads)
	routes, err := routemap.Compile(routemap.Config{Version: 1, Services: []routemap.Service{{Name: "s", Keyed: true}}})
	require.NoError(t, err)
	require.True(t, n.view.SetConfig(routes, nil, 1))
	a := newAssigner(n, n.loads)
	a.termCtx, a.lastTableWrite = t.Context(), map[*ownership.Machine]time.Time{}
	owner := keyrange.Owner{Server: "i", StartedAtMs: 1}
	table := (&keyrange.Table{Service: "s", NextFence: 1}).Assign(keyrange.Range{Last: keyrange.MaxKey, Owner: owner})
	m := ownership.New(bootNow(), table, 1, b.MaxHold, true)
	a.machines = map[topo.ServiceName]*ownership.Machine{"s": m}
	a.runRound()
	require.Equal(t, ownership.Held, m.Holds()[0].Phase, "no servers are known yet")
	n.view.Directory(func(d *directory.Directory) { d.Replace(nil, 7, bootNow()) })
	a.runRound()
	require.Equal(t, ownership.Vacating, m.Holds()[0].Phase, "the owner is not among the servers")
}
