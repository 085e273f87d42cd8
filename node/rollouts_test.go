package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/fleet"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/leader"
	"godwitlock.example/godwitlock/metric"
	"godwitlock.example/godwitlock/rollout"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/store/memstore"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// rolloutPlatform is a Platform whose orders are JSON, and which keeps the statuses.
type rolloutPlatform struct {
	memPlatform
	statuses chan namedStatus
}

type namedStatus struct {
	key string
	rollout.Status
}

func (rolloutPlatform) Prefixes() Prefixes { return Prefixes{Rollouts: "rollouts/"} }

func (rolloutPlatform) Name(key string) string { return key[len("rollouts/"):] }

func (rolloutPlatform) DecodeRollout(o store.Object) (rollout.Order, error) {
	var out rollout.Order
	return out, json.Unmarshal(o.Value, &out)
}

func (p rolloutPlatform) WriteRolloutStatus(_ context.Context, key string, s rollout.Status) error {
	p.statuses <- namedStatus{key, s}
	return nil
}

// rolloutNode is a node that leads, with a service "s" that has servers of versions v1
// and v2.
type rolloutNode struct {
	*Node
	t        *testing.T
	platform rolloutPlatform
	out      *bytes.Buffer
	rev      topo.Revision
}

func newRolloutNode(t *testing.T, st store.Objects) *rolloutNode {
	out := &bytes.Buffer{}
	p := rolloutPlatform{memPlatform{st}, make(chan namedStatus, 64)}
	n := &Node{settings: Settings{VM: "a"}, view: view.New(), log: declog.New(out, "a"), metrics: metric.New(), platform: p}
	b := DefaultBounds()
	b.Rollout = rollout.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}
	n.activeBounds.Store(&b)
	n.lease = newLeaseManager(st, "leader/lease", leader.Identity{VM: "a", Boot: fmt.Sprint(time.Now().UnixNano()), Addr: "a:1"},
		func() leader.Candidacy { return leader.Candidacy{} }, func(topo.Term) int { return 0 }, n.log, func() bool { return false })
	n.hub = fleet.NewHub(n.view, view.Member{VM: "a"}, n.lease.Leads, n.lease.Version, n.view.Confirmed, newLoads(n.view))
	n.rollouts = newRollouts(n, "boot")
	n.rollouts.listed = true
	routes, err := routemap.Compile(routemap.Config{Version: 1, Services: []routemap.Service{{Name: "s"}, {Name: "t"}}})
	require.NoError(t, err)
	require.True(t, n.view.SetConfig(routes, nil, 1))
	n.view.Directory(func(d *directory.Directory) {
		for i, version := range []string{"v1", "v2"} {
			d.Put(directory.Server{ID: topo.ServerID(version), Service: "s", Version: version, State: directory.Ready, Slots: 1, Rev: int64(i + 1)})
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = n.lease.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	require.Eventually(t, func() bool { _, leads := n.lease.Leads(); return leads }, time.Minute, time.Millisecond)
	return &rolloutNode{Node: n, t: t, platform: p, out: out}
}

// order writes an order to the object name.
func (n *rolloutNode) order(name string, o rollout.Order) {
	data, err := json.Marshal(o)
	require.NoError(n.t, err)
	n.rev++
	n.rollouts.applyEvent(store.Event{Object: store.Object{Key: "rollouts/" + name, Value: data, Revision: n.rev}}, bootNow())
	// The grace time for the configuration has passed.
	n.rollouts.mu.Lock()
	n.rollouts.orders[name].seen = bootNow().Add(-time.Minute)
	n.rollouts.mu.Unlock()
}

// status lets the leader decide until it writes the status of an object, and returns it.
func (n *rolloutNode) status(name string) rollout.Status {
	for range 200 {
		n.rollouts.lead(n.t.Context())
		select {
		case s := <-n.platform.statuses:
			if s.key == "rollouts/"+name {
				return s.Status
			}
		case <-time.After(20 * time.Millisecond):
		}
	}
	require.Fail(n.t, "no status", "%s: %s", name, n.out)
	return rollout.Status{}
}

func goodOrder() rollout.Order {
	return rollout.Order{Service: "s", Target: "v2", Duration: time.Hour}
}

// Guards against a wrong order that has no clear status or changes what is used.
func TestWrongOrdersAreRefused(t *testing.T) {
	n := newRolloutNode(t, memstore.New())
	for name, change := range map[string]func(*rollout.Order){
		"unknown": func(o *rollout.Order) { o.Service = "unknown" },
		"s":       func(o *rollout.Order) { o.Duration = 0 },
		"t":       func(o *rollout.Order) { o.Service, o.Target = "t", "" },
		"second":  func(*rollout.Order) {},
	} {
		o := goodOrder()
		change(&o)
		n.order(name, o)
		s := n.status(name)
		require.Equal(t, rollout.Reverted, s.State, name)
		require.Contains(t, s.Reason, "refused: ", name)
	}
	require.Equal(t, map[string]int{"v1": 1, "v2": 1}, n.versions())
	require.Len(t, logLines(t, n.log, n.out, "rollout_refused"), 4)
	require.Empty(t, logLines(t, n.log, n.out, "rollout_ordered"))
}

// versions returns the numbers of servers of "s" that are used.
func (n *rolloutNode) versions() map[string]int {
	n.rollouts.updateLimits()
	out := make(map[string]int)
	for _, s := range n.view.Snapshot().ServersOf("s") {
		out[s.Version]++
	}
	return out
}

// Guards against an order that is changed midway and thereby ends, changes or repeats the
// roll-out that runs.
func TestOrderChangedMidway(t *testing.T) {
	n := newRolloutNode(t, memstore.New())
	n.order("s", goodOrder())
	require.Equal(t, map[string]int{"v1": 1}, n.versions(), "the order is known, but not begun")
	require.Equal(t, rollout.Status{State: rollout.Running, Target: "v2"}, n.status("s"))
	for _, change := range []func(*rollout.Order){
		func(o *rollout.Order) { o.Target = "v1" },
		func(o *rollout.Order) { o.Duration = 0 },
	} {
		o := goodOrder()
		change(&o)
		n.order("s", o)
		s := n.status("s")
		require.Equal(t, rollout.Running, s.State)
		require.Equal(t, "v2", s.Target)
		require.Contains(t, s.Reason, "changed")
		require.Equal(t, map[string]int{"v1": 1}, n.versions())
	}
	// The order that came midway is not followed at the end, unless it is written again.
	changed := goodOrder()
	changed.Target = "v1"
	n.order("s", changed)
	require.Equal(t, rollout.Running, n.status("s").State)
	n.rollouts.led["s"].Revert(bootNow(), "bad")
	require.Equal(t, rollout.Status{State: rollout.Reverted, Target: "v2", Reason: "bad"}, n.status("s"))
	require.Len(t, logLines(t, n.log, n.out, "rollout_ordered"), 1)
	n.order("s", changed)
	require.Equal(t, rollout.Status{State: rollout.Running, Target: "v1"}, n.status("s"))
	require.Len(t, logLines(t, n.log, n.out, "rollout_ordered"), 2)
}

// Guards against an order that is withdrawn midway and thereby ends the roll-out.
func TestOrderWithdrawnMidway(t *testing.T) {
	n := newRolloutNode(t, memstore.New())
	n.order("s", goodOrder())
	require.Equal(t, rollout.Running, n.status("s").State)
	n.rollouts.applyEvent(store.Event{Object: store.Object{Key: "rollouts/s"}, Deleted: true}, bootNow())
	n.rollouts.lead(t.Context())
	require.Equal(t, map[string]int{"v1": 1}, n.versions())
	require.Len(t, logLines(t, n.log, n.out, "rollout_withdrawn"), 1)
	require.Equal(t, rollout.Running, n.rollouts.led["s"].Record().State)
	require.Len(t, logLines(t, n.log, n.out, "rollout_ordered"), 1)
}

// Guards against a new leader that does not know a roll-out of the earlier one, and
// against one that goes on with a version which another VM knows to be bad.
func TestNewLeaderTakesOverRollouts(t *testing.T) {
	st := memstore.New()
	first := newRolloutNode(t, st.Attach())
	first.order("s", goodOrder())
	require.Equal(t, rollout.Running, first.status("s").State)
	first.lease.Resign(true)
	second := newRolloutNode(t, st.Attach())
	second.rollouts.lead(t.Context())
	rec := second.rollouts.led["s"].Record()
	require.Equal(t, rollout.Running, rec.State)
	require.EqualValues(t, 1, rec.Number)
	require.Equal(t, map[string]int{"v1": 1}, second.versions())
	rights, ttl, known := second.rollouts.Rights(rollout.Process{VM: "b"})
	require.True(t, known)
	require.Len(t, rights, 1)
	require.LessOrEqual(t, ttl, 1500*time.Millisecond)

	second.rollouts.Learn([]*fleetpb.RolloutRight{{Service: "s", Target: "v2"}})
	second.rollouts.lead(t.Context())
	require.Equal(t, rollout.Reverted, second.rollouts.led["s"].Record().State)
	require.Equal(t, map[string]int{"v1": 1}, second.versions())
}
