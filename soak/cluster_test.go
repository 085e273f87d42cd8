package soak

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/standin/platform/site"
)

// heartbeatInterval is the interval at which servers write their store entry.
// entryTTL is how long an entry stays in the store without heartbeats.
const (
	heartbeatInterval = 300 * time.Millisecond
	entryTTL          = 3 * heartbeatInterval
)

// process is the router process of one VM, which reaches the store through a proxy.
type process struct {
	name      string
	dir       string
	frontAddr string
	store     *proxy
	cmd       *exec.Cmd
	log       *os.File
	exited    chan struct{}
}

// backend is a server that VMs reach through a proxy.
type backend struct {
	*site.Server
	link            *proxy
	heartbeatPaused bool
	heartbeat       time.Time
	removed         bool
}

// cluster is a deployment of router processes, servers and a store on loopback.
type cluster struct {
	t          *testing.T
	nodeBinary string
	dir        string
	store      *site.Store
	procs      []*process
	check      *checker

	mu       sync.Mutex
	servers  []*backend
	next     int
	storeURL string
	stop     chan struct{}
	done     sync.WaitGroup
}

// freeAddrs returns n loopback addresses with free ports. It does not reserve them.
func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range n {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = lis.Close() }()
		out = append(out, lis.Addr().String())
	}
	return out
}

func port(addr string) string { return addr[strings.LastIndexByte(addr, ':')+1:] }

func newCluster(t *testing.T, nodeBinary string, vms, servers int, check *checker) *cluster {
	t.Helper()
	dir, err := os.MkdirTemp("", "soak")
	require.NoError(t, err)
	c := &cluster{t: t, nodeBinary: nodeBinary, dir: dir, store: site.NewStore(), check: check, stop: make(chan struct{})}
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

func (c *cluster) newProcess(i int) *process {
	p := &process{name: fmt.Sprintf("vm-%d", i), dir: c.dir}
	var err error
	p.store, err = newProxy(c.storeURL)
	require.NoError(c.t, err)
	addrs := freeAddrs(c.t, 4)
	p.frontAddr = addrs[0]
	text := site.Settings(p.name, fmt.Sprintf("z%d", i%2), site.Addresses{
		Front: addrs[0], Ready: addrs[1], InternalPorts: portRange(addrs[2], addrs[3]), Store: p.store.addr(),
	})
	require.NoError(c.t, os.WriteFile(p.settings(), []byte(text), 0o600))
	c.start(p)
	return p
}

func (p *process) settings() string { return filepath.Join(p.dir, p.name+".toml") }

func (c *cluster) start(p *process) {
	log, err := os.OpenFile(filepath.Join(c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(c.t, err)
	cmd := exec.Command(c.nodeBinary)
	cmd.Env = append(os.Environ(), "GODWITLOCK_NODE_FILE="+p.settings())
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(c.t, cmd.Start())
	exited := make(chan struct{})
	go func() { _ = cmd.Wait(); close(exited) }()
	p.cmd, p.log, p.exited = cmd, log, exited
}

// signalAndWait sends a signal and waits until the process has exited. It kills a
// process that has not exited after 6 s.
func (p *process) signalAndWait(sig syscall.Signal) {
	_ = p.cmd.Process.Signal(sig)
	select {
	case <-p.exited:
	case <-time.After(6 * time.Second):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	_ = p.log.Close()
}

func (c *cluster) addServer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	s := &site.Server{
		ID: fmt.Sprintf("i-%d", c.next), Service: "ledger", DataCentre: fmt.Sprintf("z%d", c.next%2),
		StartedAtMs: time.Now().UnixMilli(), ServiceTime: 30 * time.Millisecond, Keyed: true, OnRun: c.check.recordExecution,
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
		if !b.removed {
			live = append(live, b)
		}
	}
	if len(live) > 0 {
		f(live[n%len(live)])
	}
}

// clearFaults ends the faults of the store, of all links and of the heartbeats.
func (c *cluster) clearFaults() {
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
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		p.signalAndWait(syscall.SIGKILL)
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

// storeFault returns a fault that applies to all calls to the store. Only the
// responses of calls that are not reads are lost.
func storeFault(status int, lose bool, delay time.Duration) func(*http.Request) site.Fault {
	return func(r *http.Request) site.Fault {
		return site.Fault{Status: status, DropResponse: lose && r.Method != http.MethodGet, Delay: delay}
	}
}
