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
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/internal/nodeproc"
)

var (
	seedFlag     = flag.Uint64("soak.seed", 0, "run with this seed only")
	durationFlag = flag.Duration("soak.for", 20*time.Second, "duration of the events: half of it planned work only, then faults besides")
	vmsFlag      = flag.Int("soak.vms", 5, "number of VMs")
	callersFlag  = flag.Int("soak.callers", 18, "number of callers")
	linesFlag    = flag.Int("soak.lines", 1000, "maximum number of lines of the body of a response, about 12 bytes each")
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
	if nodeBinary, err = nodeproc.Build(dir, raceFlags...); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// Guards against violations of the guarantees under planned work and faults that
// overlap: processes that are stopped, killed, paused or restarted, faulty links, store
// faults, lost servers, delayed ownership orders and configuration changes.
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
	c := newCluster(t, *vmsFlag, max(minServers, *vmsFlag/2), check)
	defer c.close()
	longestStall := watchStalls()
	stopCallers := c.startCallers(seed, *callersFlag)
	require.Eventually(t, func() bool { return check.served.Load() > 50 }, startTime, 50*time.Millisecond,
		"fewer than 51 requests served within %v, before any fault; logs in %s", startTime, c.dir)
	i := &injector{c: c, rng: rand.New(rand.NewPCG(seed, 1))}
	begin := time.Now()
	c.slowWork.Store(true)
	i.runUntil(begin.Add(*durationFlag/2), i.planned())
	i.runUntil(time.Now().Add(*durationFlag/2), append(i.unplanned(), i.planned()...))
	c.clearFaults()
	time.Sleep(recoveryTime)
	measureFrom := time.Now()
	time.Sleep(2 * time.Second)
	measureUntil := time.Now()
	stopCallers()
	// The last requests have their responses now.
	share := check.servedShare(measureFrom, measureUntil)
	ends := check.judge(&c.events)
	require.NoError(t, check.writeRecord(&c.events, filepath.Join(c.dir, "soak.txt")))
	t.Logf("seed %d: %d VMs, %d callers, %v of events %v; served %d; %v; served share after recovery %.3f; longest stall of the test process %v", seed, *vmsFlag, *callersFlag,
		time.Since(begin).Round(time.Second), c.events.count(), check.served.Load(), ends, share, longestStall())
	c.checkLogs()
	for n, v := range check.recordedViolations() {
		if n < maxPrinted {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
	require.False(t, t.Failed(), "seed %d: logs in %s", seed, c.dir)
	require.Greater(t, share, 0.9, "seed %d: share of requests served after recovery; logs in %s", seed, c.dir)
	_ = os.RemoveAll(c.dir)
}

const (
	// maxPrinted is the number of violations that are printed. File soak.txt in the
	// directory of the logs has all.
	maxPrinted = 10
	// startTime bounds the time until the first requests are served.
	startTime = 20 * time.Second
	// recoveryTime is how long requests may fail after the faults have ended. It
	// covers a leader's lease, the hold time of a grant and the maximum age of the
	// configuration.
	recoveryTime = 11 * time.Second
	// minServers is the number of servers of small runs.
	minServers = 18
)

// stallTick is how often the test process checks that it gets processor time.
const stallTick = 10 * time.Millisecond

// watchStalls returns a function that returns the longest time that this process did
// not run when it should have since the call. It tells how busy the machine was.
func watchStalls() (longest func() time.Duration) {
	var stall atomic.Int64
	stop := make(chan struct{})
	go func() {
		for last := time.Now(); ; last = time.Now() {
			select {
			case <-stop:
				return
			case <-time.After(stallTick):
			}
			stall.Store(max(stall.Load(), int64(time.Since(last)-stallTick)))
		}
	}()
	return func() time.Duration {
		close(stop)
		return time.Duration(stall.Load()).Round(time.Millisecond)
	}
}

// startCallers starts the callers and returns a function that stops them and waits
// until they have ended.
func (c *cluster) startCallers(seed uint64, n int) (stop func()) {
	done := make(chan struct{})
	var callers sync.WaitGroup
	for i := range n {
		callers.Go(newCaller(c, seed, i, done).run)
	}
	return func() { close(done); callers.Wait() }
}
