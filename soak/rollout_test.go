package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/standin/platform/site"
)

const (
	// rolloutTime is the time of the roll-outs of this file. The bounds are those of
	// docs/hard-load.md.
	rolloutTime    = 24 * time.Second
	canaryShare    = 0.1
	canarySlack    = 50
	rollbackWithin = 5 * time.Second
	// rolloutServers is the number of servers of each version, rolloutCallers the
	// number of callers of each service, and rolloutPause the mean time between two
	// requests of a caller.
	rolloutServers, rolloutCallers, rolloutPause = 6, 24, 150 * time.Millisecond
)

// rolloutLoad counts the requests and runs of a service during a roll-out.
type rolloutLoad struct {
	service, path string
	keyed         bool
	// badPart is the part of the runs of the new version that fail, from badAfter on
	// after the order.
	badPart  float64
	badAfter time.Duration
	requests atomic.Int64
	served   atomic.Int64

	mu sync.Mutex
	// runs are the times of the runs of the new version since the order, bad those that
	// failed.
	runs, bad []time.Time
	ordered   time.Time
}

// run records a run of the new version and reports whether it fails.
func (l *rolloutLoad) run() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.ordered.IsZero() {
		return false
	}
	l.runs = append(l.runs, now)
	fails := now.Sub(l.ordered) >= l.badAfter && rand.Float64() < l.badPart
	if fails {
		l.bad = append(l.bad, now)
	}
	return fails
}

func (c *cluster) addVersion(l *rolloutLoad, version string) (added []*backend) {
	for i := range rolloutServers {
		s := &site.Server{
			ID: fmt.Sprintf("%s-%s-%d", l.service, version, i), Service: l.service, Version: version, DataCentre: fmt.Sprintf("z%d", i%2),
			StartedAtMs: time.Now().UnixMilli(), ServiceTime: 15 * time.Millisecond, Keyed: l.keyed,
		}
		if version == "v2" {
			s.Fault = func(site.Run) (bool, time.Duration) { return l.run(), 0 }
		}
		require.NoError(c.t, s.Start())
		link, err := newProxy(s.Addr())
		require.NoError(c.t, err)
		added = append(added, &backend{Server: s, link: link})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = append(c.servers, added...)
	return added
}

// end removes servers, as the platform does at the end of a roll-out.
func (c *cluster) end(list []*backend) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range list {
		b.removed = true
		b.Kill()
	}
}

func (c *cluster) call(l *rolloutLoad, rng *rand.Rand, stop chan struct{}) {
	client := &http.Client{Timeout: 3 * time.Second}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(2 * rolloutPause)))):
		}
		p := c.procs[rng.IntN(len(c.procs))]
		req, err := http.NewRequest(http.MethodGet, "http://"+p.frontAddr+l.path, nil)
		if err != nil {
			panic(err)
		}
		req.Host = "h"
		req.Header.Set("Request-Id", fmt.Sprintf("%s-%d-%d", l.service, rng.Uint32(), n))
		req.Header.Set("Shard-Key", fmt.Sprint(rng.IntN(1<<16)))
		req.Header.Set("Deadline-Ms", "1500")
		l.requests.Add(1)
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		if _ = resp.Body.Close(); resp.StatusCode == http.StatusOK {
			l.served.Add(1)
		}
	}
}

// status returns the state and the target in the status of the order of a service.
func (c *cluster) rolloutStatus(service string) (state, target string) {
	var o struct {
		Status struct{ State, Target string }
	}
	_ = json.Unmarshal(c.store.Get("rollouts", service), &o)
	return o.Status.State, o.Status.Target
}

// Guards against a bad version that gets more than its share or is completed, against a
// good one that is not completed by its deadline, and against a version that is used
// although nothing allows it, with real processes: three VMs, a keyed service and one
// without keys.
func TestRolloutWithProcesses(t *testing.T) {
	for name, play := range map[string]struct {
		keyed, pooled float64
		badAfter      time.Duration
		disturb       func(c *cluster)
	}{
		"bad without keys, good with keys": {pooled: 0.3},
		"good without keys, bad with keys": {keyed: 0.3},
		"leader killed": {pooled: 0.5, badAfter: 7 * time.Second, disturb: func(c *cluster) {
			time.Sleep(5 * time.Second)
			c.leader().crash()
		}},
		"store away": {keyed: 0.5, badAfter: 6 * time.Second, disturb: func(c *cluster) {
			time.Sleep(5 * time.Second)
			c.store.SetFault(func(*http.Request) site.Fault { return site.Fault{Status: http.StatusServiceUnavailable} })
			time.Sleep(2 * time.Second)
			c.store.SetFault(nil)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			playRollouts(t, []*rolloutLoad{
				{service: "ledger", path: "/read/x", keyed: true, badPart: play.keyed, badAfter: play.badAfter},
				{service: "images", path: "/image/x", badPart: play.pooled, badAfter: play.badAfter},
			}, play.disturb)
		})
	}
}

func playRollouts(t *testing.T, loads []*rolloutLoad, disturb func(*cluster)) {
	check := newChecker(1)
	c := newCluster(t, noticeVMs, 0, check, fmt.Sprint("canaryShare=", canaryShare), fmt.Sprint("canarySlack=", canarySlack), "rollbackS=5")
	t.Cleanup(func() {
		c.close()
		if !t.Failed() {
			_ = os.RemoveAll(c.dir)
		}
	})
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{"name": name, "host": "h", "pathPrefix": prefix, "kind": "safe", "timeoutS": 1.5, "sloS": 0.5, "service": service, "attempts": 2}
	}
	c.store.Put("config", "main", map[string]any{
		"version": 2, "routes": []any{route("read", "/read/", "ledger"), route("image", "/image/", "images")},
		"services": []any{
			map[string]any{"name": "ledger", "healthPath": "/health", "maxConns": 100, "sharded": true},
			map[string]any{"name": "images", "healthPath": "/health", "maxConns": 100},
		},
	})
	stop := make(chan struct{})
	var callers sync.WaitGroup
	old, next := make([][]*backend, len(loads)), make([][]*backend, len(loads))
	for i, l := range loads {
		old[i] = c.addVersion(l, "v1")
		for n := range rolloutCallers {
			callers.Go(func() { c.call(l, rand.New(rand.NewPCG(uint64(i), uint64(n))), stop) })
		}
	}
	defer callers.Wait()
	defer close(stop)
	for _, l := range loads {
		require.Eventually(t, func() bool { return l.served.Load() > 100 }, startTime, 50*time.Millisecond, "requests of %s; logs in %s", l.service, c.dir)
	}
	for i, l := range loads {
		next[i] = c.addVersion(l, "v2")
	}
	// The entries of the new servers arrive before the orders.
	time.Sleep(500 * time.Millisecond)
	deadline := time.Now().Add(rolloutTime)
	for _, l := range loads {
		l.mu.Lock()
		l.ordered = time.Now()
		l.mu.Unlock()
		l.requests.Store(0)
		l.served.Store(0)
		c.store.Put("rollouts", l.service, map[string]any{"service": l.service, "target": "v2", "durationS": rolloutTime.Seconds()})
	}
	var disturbing sync.WaitGroup
	defer disturbing.Wait()
	if disturb != nil {
		disturbing.Go(func() { disturb(c) })
	}
	ended := make(map[string]time.Duration)
	for now := time.Now(); now.Before(deadline); now = time.Now() {
		for i, l := range loads {
			state, target := c.rolloutStatus(l.service)
			if ended[l.service] > 0 || target != "v2" || state != "complete" && state != "reverted" {
				continue
			}
			ended[l.service] = rolloutTime - deadline.Sub(now)
			if state == "complete" {
				c.end(old[i])
			} else {
				time.AfterFunc(3*time.Second, func() { c.end(next[i]) })
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, l := range loads {
		state, target := c.rolloutStatus(l.service)
		l.mu.Lock()
		runs, bad := l.runs, l.bad
		l.mu.Unlock()
		requests := l.requests.Load()
		t.Logf("%s: %s %s after %v; %d requests, %d served, %d runs of v2, %d bad; logs in %s", l.service, state, target, ended[l.service].Round(10*time.Millisecond),
			requests, l.served.Load(), len(runs), len(bad), c.dir)
		require.Equal(t, "v2", target, l.service)
		if disturb == nil {
			require.Greater(t, float64(l.served.Load()), 0.9*float64(requests), "%s: requests served", l.service)
		}
		if l.badPart == 0 {
			require.Equal(t, "complete", state, l.service)
			continue
		}
		require.Equal(t, "reverted", state, l.service)
		require.LessOrEqual(t, float64(len(runs)), canaryShare*float64(requests)+canarySlack, "%s: runs of the bad version", l.service)
		if len(bad) >= 50 {
			require.False(t, runs[len(runs)-1].After(bad[49].Add(rollbackWithin)), "%s: last run of the bad version", l.service)
		}
	}
	c.checkLogs()
}
