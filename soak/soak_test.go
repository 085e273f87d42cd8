// Package soak runs router processes on loopback under random faults. It checks the
// guarantees against the records of callers and backend servers.
//
//	go test ./soak -run TestSoak -soak.seed 7 -soak.for 30s -soak.vms 5
//
// Without flags, the test makes short runs with a fixed seed and with the seeds of
// earlier failures. After a failure, the logs of the processes stay in the directory
// that the message names.
package soak

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	seedFlag     = flag.Uint64("soak.seed", 0, "run with this seed only")
	durationFlag = flag.Duration("soak.for", 8*time.Second, "duration of the fault injection")
	vmsFlag      = flag.Int("soak.vms", 4, "number of VMs")
	callersFlag  = flag.Int("soak.callers", 12, "number of callers")
)

// regressions maps the seeds of earlier failures to their causes.
var regressions = map[uint64]string{}

var nodeBinary string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak-bin")
	if err != nil {
		panic(err)
	}
	nodeBinary = filepath.Join(dir, "godwitlock-node")
	args := append([]string{"build", "-o", nodeBinary}, raceFlags...)
	build := exec.Command("go", append(args, "../cmd/godwitlock-node")...)
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// Guards against violations of the guarantees under overlapping faults: processes that
// are killed, stopped or restarted, faulty links, store faults, lost servers, delayed
// ownership orders and configuration changes.
func TestSoak(t *testing.T) {
	if *seedFlag != 0 {
		runSeed(t, *seedFlag)
		return
	}
	seeds := []uint64{1}
	for s := range regressions {
		seeds = append(seeds, s)
	}
	for _, s := range seeds {
		t.Run(fmt.Sprintf("seed %d", s), func(t *testing.T) { runSeed(t, s) })
	}
}

func runSeed(t *testing.T, seed uint64) {
	check := newChecker(seed)
	c := newCluster(t, nodeBinary, *vmsFlag, 6, check)
	defer c.close()
	keys := map[string][]string{"cust-a": {"key-a1", "key-a2"}, "cust-b": {"key-b"}}
	for name, list := range keys {
		for _, k := range list {
			check.keyCustomers[k] = name
		}
	}
	c.store.PutConfig(1, keys)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range *callersFlag {
		callers.Add(1)
		go func() { defer callers.Done(); c.runCaller(seed, i, stop) }()
	}
	require.Eventually(t, func() bool { return check.served.Load() > 50 }, 20*time.Second, 50*time.Millisecond,
		"fewer than 51 requests served within 20 s, before any fault; logs in %s", c.dir)
	c.injectFaults(rand.New(rand.NewPCG(seed, 1)), time.Now().Add(*durationFlag), keys)
	c.clearFaults()
	time.Sleep(recoveryTime)
	served, total := check.served.Load(), check.total.Load()
	time.Sleep(2 * time.Second)
	served, total = check.served.Load()-served, check.total.Load()-total
	close(stop)
	callers.Wait()
	c.checkLogs()
	require.Empty(t, check.recordedViolations(), "seed %d; logs in %s", seed, c.dir)
	require.Greater(t, float64(served), 0.9*float64(total), "seed %d: served too few requests after recovery, expected more than 0.9 of all; logs in %s", seed, c.dir)
	t.Logf("seed %d: served %d of %d requests", seed, check.served.Load(), check.total.Load())
	_ = os.RemoveAll(c.dir)
}

// recoveryTime is how long requests may fail after the faults have ended. It covers a
// leader's lease, the hold time of a grant and the maximum age of the configuration.
const recoveryTime = 11 * time.Second

// runCaller sends requests one at a time until stop is closed.
func (c *cluster) runCaller(seed uint64, caller int, stop chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, uint64(1000+caller)))
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: caller%3 == 0}}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("r-%d-%d", caller, n)
		key := []string{"key-a1", "key-a2", "key-b"}[rng.IntN(3)]
		unsafe := rng.IntN(2) == 0
		c.check.recordSent(id, key, unsafe)
		frontAddr := c.procs[rng.IntN(len(c.procs))].frontAddr
		ok := c.send(client, frontAddr, id, key, unsafe, rng.IntN(1<<16))
		_, withdrawn := c.check.withdrawalTime(key)
		if !withdrawn {
			c.check.total.Add(1)
			if ok {
				c.check.served.Add(1)
			}
		}
		time.Sleep(time.Duration(5+rng.IntN(30)) * time.Millisecond)
	}
}

func (c *checker) withdrawalTime(key string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.withdrawnAt[key]
	return at, ok
}

func (c *cluster) send(client *http.Client, frontAddr, id, key string, unsafe bool, shard int) bool {
	method, path, body := http.MethodGet, "/read/x", io.Reader(nil)
	if unsafe {
		method, path, body = http.MethodPost, "/write/x", strings.NewReader("order "+id)
	}
	req, err := http.NewRequest(method, "http://"+frontAddr+path, body)
	if err != nil {
		panic(err)
	}
	// Without GetBody, the transport of net/http does not resend a request body.
	req.GetBody = nil
	req.Host = "h"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "1900")
	req.Header.Set("Api-Key", key)
	req.Header.Set("Shard-Key", fmt.Sprint(shard))
	resp, err := client.Do(req)
	if err != nil {
		c.check.recordResponse(id, 0, "", "")
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		c.check.recordResponse(id, 0, "", "")
		return false
	}
	c.check.recordResponse(id, resp.StatusCode, resp.Header.Get("Response-Seal"), string(data))
	return resp.StatusCode == http.StatusOK
}

// injectFaults injects random faults until the given time and waits until the last
// one has ended. Several faults may be active at once.
func (c *cluster) injectFaults(rng *rand.Rand, until time.Time, keys map[string][]string) {
	version := 1
	var pending sync.WaitGroup
	afterDelay := func(f func()) {
		pending.Add(1)
		after := time.Duration(200+rng.IntN(2500)) * time.Millisecond
		go func() { defer pending.Done(); time.Sleep(after); f() }()
	}
	for time.Now().Before(until) {
		p := c.procs[rng.IntN(len(c.procs))]
		pick, m := rng.IntN(100), []mode{delayBlocks, dropAll, dropResponses, resetConns}[rng.IntN(4)]
		switch rng.IntN(13) {
		case 0:
			p.signalAndWait(syscall.SIGKILL)
			c.start(p)
		case 1:
			p.signalAndWait(syscall.SIGTERM)
			c.start(p)
		case 2:
			cmd := p.cmd
			_ = cmd.Process.Signal(syscall.SIGSTOP)
			afterDelay(func() { _ = cmd.Process.Signal(syscall.SIGCONT) })
		case 12:
			_ = p.cmd.Process.Signal(syscall.SIGHUP)
		case 3, 4:
			p.store.setMode(m)
			afterDelay(func() { p.store.setMode(forwardAll) })
		case 5:
			c.store.SetFault(storeFault([]int{0, 503, 429, 0}[pick%4], pick%4 == 0, time.Duration(pick%4)*40*time.Millisecond))
			afterDelay(func() { c.store.SetFault(nil) })
		case 6:
			c.store.Compact()
		case 7:
			c.pick(pick, func(b *backend) {
				b.link.setMode(m)
				afterDelay(func() { b.link.setMode(forwardAll) })
			})
		case 8:
			c.pick(pick, func(b *backend) {
				b.heartbeatPaused = true
				afterDelay(func() { c.mu.Lock(); b.heartbeatPaused = false; c.mu.Unlock() })
			})
		case 9:
			c.pick(pick, func(b *backend) {
				b.removed = true
				c.check.unregisterServer(b.Server)
				b.Kill()
			})
			c.addServer()
		case 10:
			c.check.delayOrders.Store(true)
			c.check.loseResponses.Store(true)
			afterDelay(func() { c.check.delayOrders.Store(false); c.check.loseResponses.Store(false) })
		case 11:
			version++
			if version == 3 {
				keys["cust-a"] = []string{"key-a1"}
				c.store.PutConfig(version, keys)
				c.check.recordWithdrawal("key-a2")
				continue
			}
			c.store.PutConfig(version, keys)
		}
		time.Sleep(time.Duration(100+rng.IntN(900)) * time.Millisecond)
	}
	pending.Wait()
}
