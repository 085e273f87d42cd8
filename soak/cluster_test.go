package soak

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/leader"
	"godwitlock.example/godwitlock/platform"
	"godwitlock.example/godwitlock/standin/platform/site"
)

// heartbeatInterval is the interval at which servers write their store entry.
// entryTTL is how long an entry stays in the store without heartbeats.
const (
	heartbeatInterval = 300 * time.Millisecond
	entryTTL          = 3 * heartbeatInterval
)

// backend is a server that VMs reach through a proxy.
type backend struct {
	*site.Server
	link            *proxy
	heartbeatPaused bool
	heartbeat       time.Time
	// draining servers have announced that they leave.
	draining, removed bool
}

// serverDrainTime is the time from the announcement of a server that it leaves to its
// end.
const serverDrainTime = 6 * time.Second

// cluster is a deployment of router processes, servers and a store on loopback.
type cluster struct {
	t      *testing.T
	dir    string
	store  *site.Store
	procs  []*process
	check  *checker
	events timeline
	bounds []string
	// slowWork makes some requests take a server 1 s to 2 s.
	slowWork atomic.Bool

	mu       sync.Mutex
	servers  []*backend
	next     int
	storeURL string
	// keys are the caller keys of each customer, in configuration version.
	keys    map[string][]string
	version int
	stop    chan struct{}
	done    sync.WaitGroup
}

// newCluster starts a cluster whose processes have the given bounds besides those of
// site.Settings.
func newCluster(t *testing.T, vms, servers int, check *checker, bounds ...string) *cluster {
	t.Helper()
	dir, err := os.MkdirTemp("", "soak")
	require.NoError(t, err)
	c := &cluster{
		t: t, dir: dir, store: site.NewStore(), check: check, bounds: bounds, stop: make(chan struct{}),
		keys: map[string][]string{"cust-a": {"key-a1", "key-a2"}, "cust-b": {"key-b"}},
	}
	for name, list := range c.keys {
		for _, k := range list {
			check.keyCustomers[k] = name
		}
	}
	c.configure()
	srv := httptest.NewUnstartedServer(c.store)
	srv.Config.ErrorLog = nil
	srv.Start()
	t.Cleanup(srv.Close)
	c.storeURL = strings.TrimPrefix(srv.URL, "http://")
	for range servers {
		c.addServer()
	}
	c.done.Add(1)
	go c.heartbeat()
	for i := range vms {
		c.procs = append(c.procs, c.newProcess(i))
	}
	return c
}

// configure writes the next version of the configuration.
func (c *cluster) configure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	c.store.PutConfig(c.version, c.keys)
	c.events.add("", "configuration", applyWithin+time.Second)
}

// withdrawKey writes the next version of the configuration without "key-a2".
func (c *cluster) withdrawKey() {
	c.mu.Lock()
	c.keys["cust-a"] = []string{"key-a1"}
	c.mu.Unlock()
	c.check.recordWithdrawal("key-a2")
	c.configure()
}

func (c *cluster) addServer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	s := &site.Server{
		ID: fmt.Sprintf("i-%d", c.next), Service: "ledger", DataCentre: fmt.Sprintf("z%d", c.next%2),
		StartedAtMs: time.Now().UnixMilli(), ServiceTime: 10 * time.Millisecond, Keyed: true, OnRun: c.check.recordRun, OnRunEnd: c.check.recordRunEnd,
		OnRefused:  c.check.recordPause(fmt.Sprintf("i-%d", c.next)),
		OrderDelay: c.check.orderDelay, DropResponse: c.check.loseResponse,
	}
	require.NoError(c.t, s.Start())
	link, err := newProxy(s.Addr())
	require.NoError(c.t, err)
	c.servers = append(c.servers, &backend{Server: s, link: link})
	c.check.registerServer(s)
}

// heartbeat writes the entries of the servers to the store at each interval until
// the cluster stops. It deletes the entries of removed servers and those whose
// entryTTL has expired.
func (c *cluster) heartbeat() {
	defer c.done.Done()
	for {
		c.mu.Lock()
		now := time.Now()
		for _, b := range c.servers {
			entry := b.StoreEntry()
			entry["addr"] = b.link.addr()
			switch {
			case b.removed || b.heartbeatPaused && now.Sub(b.heartbeat) > entryTTL:
				c.store.Delete("servers", b.ID)
			case !b.heartbeatPaused:
				b.heartbeat = now
				c.store.Put("servers", b.ID, entry)
			}
		}
		c.mu.Unlock()
		select {
		case <-c.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// pick calls f with a live server, selected by n. It does nothing if none is live.
func (c *cluster) pick(n int, f func(*backend)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var live []*backend
	for _, b := range c.servers {
		if !b.removed && !b.draining {
			live = append(live, b)
		}
	}
	if len(live) > 0 {
		f(live[n%len(live)])
	}
}

// leave ends a server that has announced it.
func (c *cluster) leave(b *backend) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeServer(b)
}

// removeServer ends a server. The caller holds mu.
func (c *cluster) removeServer(b *backend) {
	b.removed = true
	c.check.unregisterServer(b.Server)
	b.Kill()
}

// clearFaults ends slow work and the faults of the store, of all links and of the heartbeats.
func (c *cluster) clearFaults() {
	c.slowWork.Store(false)
	c.store.SetFault(nil)
	for _, p := range c.procs {
		p.store.setMode(forwardAll)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.servers {
		b.heartbeatPaused = false
		b.link.setMode(forwardAll)
	}
}

func (c *cluster) close() {
	for _, p := range c.procs {
		p.kill()
		p.store.close()
	}
	close(c.stop)
	c.done.Wait()
	for _, b := range c.servers {
		b.Kill()
		b.link.close()
	}
}

// checkLogs fails the test if the output of a process reports a data race, a panic
// or a fatal error.
func (c *cluster) checkLogs() {
	for _, p := range c.procs {
		data, err := os.ReadFile(filepath.Join(c.dir, p.name+".log"))
		require.NoError(c.t, err)
		for _, bad := range []string{"DATA RACE", "panic:", "fatal error:"} {
			require.NotContains(c.t, string(data), bad, "log of %s in %s", p.name, c.dir)
		}
	}
}

// leader returns the process that holds the lease of the leader, or nil.
func (c *cluster) leader() *process {
	var lease struct {
		Value struct{ Holder leader.Identity }
	}
	key := platform.New("").InternalKey("leader", "lease")
	kind, name, _ := strings.Cut(key, "/")
	if json.Unmarshal(c.store.Get(kind, name), &lease) != nil {
		return nil
	}
	for _, p := range c.procs {
		if p.name == string(lease.Value.Holder.VM) {
			return p
		}
	}
	return nil
}
