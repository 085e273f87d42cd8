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

// Guards against a home VM that learns only from the store that a server became cold.
func TestHomeVMAsksTheHealthPathOfItsServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var coldFor time.Duration
		n := &Node{view: view.New(), log: declog.New(io.Discard, "a"), platform: coldPlatform{coldFor: &coldFor}, metrics: metric.New()}
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
		pool := n.view.Snapshot().PoolsOf("s")[0].Name
		granted := func(requests int) (count int) {
			for range requests {
				now := bootNow()
				d, ok := home.Acquire(t.Context(), pool, permit.Request{StartBy: now, PromptBy: now, Lease: time.Hour})
				require.True(t, ok)
				if d.Verdict == permit.Granted {
					count++
					home.Finish(pool, d.ID, permit.Result{ServiceTime: time.Millisecond})
				}
				synctest.Wait()
			}
			return count
		}
		require.Equal(t, 20, granted(20))
		coldFor = 3 * time.Second
		require.LessOrEqual(t, granted(20), 5)
		b.ColdSlack = 0
		n.activeBounds.Store(&b)
		require.Zero(t, n.warmBudget(n.view.Snapshot(), "s"), "the settings bound nothing")
	})
}

// Guards against dropping the answer of a server that is cold because it comes late.
func TestHomeVMTakesLateAnswersOfHealthPaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		coldFor := 10 * time.Second
		n := &Node{view: view.New(), log: declog.New(io.Discard, "a"), metrics: metric.New(),
			platform: coldPlatform{coldFor: &coldFor, answerAfter: 3 * promptProbe}}
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
		pool := n.view.Snapshot().PoolsOf("s")[0].Name
		acquire := func(requests int) (granted int) {
			for range requests {
				now := bootNow()
				d, ok := home.Acquire(t.Context(), pool, permit.Request{StartBy: now, PromptBy: now, Lease: time.Hour})
				require.True(t, ok)
				if d.Verdict == permit.Granted {
					granted++
				}
				home.Finish(pool, d.ID, permit.Result{ServiceTime: time.Millisecond})
			}
			return granted
		}
		require.Equal(t, 5, acquire(20), "the first probe is under way")
		time.Sleep(2 * promptProbe)
		require.Equal(t, 20, acquire(20), "nothing shows that the health path can tell")
		time.Sleep(2 * promptProbe)
		require.LessOrEqual(t, acquire(20), 1)
	})
}
