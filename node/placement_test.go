package node

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/fleet"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/leader"
	"godwitlock.example/godwitlock/metric"
	"godwitlock.example/godwitlock/ownership"
	"godwitlock.example/godwitlock/placement"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/store/memstore"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// newSurgeAssigner returns an assigner of a service s with the servers i and j, of which i
// has all keys, and its machine.
func newSurgeAssigner(t *testing.T) (*assigner, *ownership.Machine) {
	t.Helper()
	n := &Node{settings: Settings{VM: "a"}, view: view.New(), log: declog.New(io.Discard, "a"), metrics: metric.New(), platform: memPlatform{memstore.New()}}
	b := DefaultBounds()
	n.activeBounds.Store(&b)
	n.lease = newLeaseManager(n.platform.Objects(), "leader/lease", leader.Identity{VM: "a"},
		func() leader.Candidacy { return leader.Candidacy{} }, func(topo.Term) int { return 0 }, n.log, func() bool { return false })
	n.loads = newLoads(n.view)
	n.hub = fleet.NewHub(n.view, view.Member{VM: "a"}, n.lease.Leads, n.lease.Version, n.view.Confirmed, n.loads)
	routes, err := routemap.Compile(routemap.Config{Version: 1, Services: []routemap.Service{{Name: "s", Keyed: true}}})
	require.NoError(t, err)
	require.True(t, n.view.SetConfig(routes, nil, 1))
	n.view.Directory(func(d *directory.Directory) {
		var servers []directory.Server
		for _, id := range []topo.ServerID{"i", "j"} {
			servers = append(servers, directory.Server{ID: id, Service: "s", State: directory.Ready, Slots: 4, StartedAtMs: 1, Rev: 2, Addr: string(id)})
		}
		d.Replace(servers, 7, bootNow())
	})
	a := newAssigner(n, n.loads)
	a.termCtx, a.lastTableWrite = t.Context(), map[*ownership.Machine]time.Time{}
	table := (&keyrange.Table{Service: "s", NextFence: 1}).Assign(
		keyrange.Range{Last: 999, Owner: keyrange.Owner{Server: "i", StartedAtMs: 1}},
		keyrange.Range{First: 1000, Last: keyrange.MaxKey, Owner: keyrange.Owner{Server: "j", StartedAtMs: 1}})
	m := ownership.New(bootNow(), table, 1, b.MaxHold, true)
	a.machines = map[topo.ServiceName]*ownership.Machine{"s": m}
	return a, m
}

// Guards against a surge that waits for the next regular plan, against a plan in each of
// the rounds that follow each response to an order, and against keys that move while their
// service refuses requests regardless of its load.
func TestSurgeIsPlannedBetweenRegularPlans(t *testing.T) {
	for _, c := range []struct {
		name              string
		sinceRelief       time.Duration
		turnedAway, moves int
	}{{"due", reliefInterval, 0, 1}, {"not due", -time.Hour, 0, 0}, {"refusing", reliefInterval, 100, 0}} {
		t.Run(c.name, func(t *testing.T) {
			a, m := newSurgeAssigner(t)
			a.loads.withLoad("s", func(l *placement.Load) {
				l.Count(100, 60)
				l.Count(200, 60)
				l.RecordTurnedAway("i", c.turnedAway)
				l.RecordTurnedAway("j", c.turnedAway)
			})
			a.lastPlan = bootNow().Add(time.Hour)
			a.lastRelief = bootNow().Add(-c.sinceRelief)
			a.runRound()
			moves := 0
			for _, h := range m.Holds() {
				if h.Phase != ownership.Held {
					moves++
					require.Equal(t, topo.ServerID("j"), h.Target)
				}
			}
			require.Equal(t, c.moves, moves)
			require.Equal(t, c.turnedAway > 0, a.refusing["s"])
			a.sending.Wait()
		})
	}
}
