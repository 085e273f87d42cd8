package node

import (
	"context"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/broker"
	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/metric"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// coldPlatform answers each probe after some time with the time for which the server is cold.
type coldPlatform struct {
	memPlatform
	answerAfter time.Duration
	coldFor     *time.Duration
}

func (p coldPlatform) ColdFor(ctx context.Context, _, _ string, _ topo.ServerID) (time.Duration, error) {
	select {
	case <-time.After(p.answerAfter):
		return *p.coldFor, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// coldHome is the home VM of a server that a cold server's budget of 5 requests limits.
type coldHome struct {
	*Node
	broker *broker.Broker
	pool   string
}

func newColdHome(t *testing.T, platform coldPlatform) *coldHome {
	n := &Node{view: view.New(), log: declog.New(io.Discard, "a"), platform: platform, metrics: metric.New()}
	b := DefaultBounds()
	b.ColdOverrun, b.ColdSlack = 1.5, 5
	n.activeBounds.Store(&b)
	routes, err := routemap.Compile(routemap.Config{Version: 1, Services: []routemap.Service{
		{Name: "s", HealthPath: "/health", ColdRate: 1, WarmUp: 3 * time.Second},
	}})
	require.NoError(t, err)
	require.True(t, n.view.SetConfig(routes, nil, 1))
	n.view.Directory(func(d *directory.Directory) {
		d.Replace([]directory.Server{{ID: "i", Service: "s", Addr: "127.0.0.1:1", Slots: 100, State: directory.Ready, SeenAt: bootNow(), Rev: 1}}, 1, bootNow())
	})
	home := broker.New(n.poolServers, 1, rand.New(rand.NewPCG(1, 2)))
	home.Probe = n.coldProbe(home)
	return &coldHome{Node: n, broker: home, pool: n.view.Snapshot().PoolsOf("s")[0].Name}
}

// granted offers requests, one after the other, and returns how many were granted. It calls
// after, unless that is nil, after each of them.
func (h *coldHome) granted(t *testing.T, requests int, after func()) (count int) {
	for range requests {
		now := bootNow()
		d, ok := h.broker.Acquire(t.Context(), h.pool, permit.Request{StartBy: now, PromptBy: now, Lease: time.Hour})
		require.True(t, ok)
		if d.Verdict == permit.Granted {
			count++
			h.broker.Finish(h.pool, d.ID, permit.Result{ServiceTime: time.Millisecond})
		}
		if after != nil {
			after()
		}
	}
	return count
}

// Guards against a home VM that learns only from the store that a server became cold.
func TestHomeVMAsksTheHealthPathOfItsServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var coldFor time.Duration
		home := newColdHome(t, coldPlatform{coldFor: &coldFor})
		require.Equal(t, 20, home.granted(t, 20, synctest.Wait))
		coldFor = 3 * time.Second
		require.LessOrEqual(t, home.granted(t, 20, synctest.Wait), 5)
		b := *home.bounds()
		b.ColdSlack = 0
		home.activeBounds.Store(&b)
		require.Zero(t, home.warmBudget(home.view.Snapshot(), "s"), "the settings bound nothing")
	})
}

// Guards against dropping the answer of a server that is cold because it comes late.
func TestHomeVMTakesLateAnswersOfHealthPaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		coldFor := 10 * time.Second
		home := newColdHome(t, coldPlatform{coldFor: &coldFor, answerAfter: 3 * lateProbe})
		require.Equal(t, 5, home.granted(t, 20, nil), "the first probe is under way")
		time.Sleep(2 * lateProbe)
		require.LessOrEqual(t, home.granted(t, 20, nil), 5, "its answer is late")
		time.Sleep(2 * lateProbe)
		require.LessOrEqual(t, home.granted(t, 20, nil), 1)
	})
}
