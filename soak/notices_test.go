package soak

import (
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/internal/knownred"
	"godwitlock.example/godwitlock/standin/platform/site"
)

const (
	// leaveWithin is the time after which a server that said that it leaves must not
	// get requests. It is the setting drainS of the processes.
	leaveWithin = 2 * time.Second
	// noticeVMs is the number of VMs in the tests of this file.
	noticeVMs = 3
)

// startServing starts a cluster with callers and waits until requests are served.
func startServing(t *testing.T, seed uint64) (*cluster, *checker) {
	t.Helper()
	check := newChecker(seed)
	c := newCluster(t, noticeVMs, minServers, check)
	t.Cleanup(func() { c.close(); _ = os.RemoveAll(c.dir) })
	t.Cleanup(c.startCallers(seed, 8))
	require.Eventually(t, func() bool { return check.served.Load() > 50 }, startTime, 50*time.Millisecond)
	return c, check
}

func (c *cluster) anyServer() *backend {
	var chosen *backend
	c.pick(0, func(b *backend) { chosen = b })
	return chosen
}

// Guards against requests to a server that said in its answers that it leaves, while
// its entry in the store says that it is ready, and also while the store is away.
func TestServerThatSaysItLeavesGetsNothingMore(t *testing.T) {
	for name, storeAway := range map[string]bool{"store": false, "store away": true} {
		t.Run(name, func(t *testing.T) {
			c, check := startServing(t, 11)
			b := c.anyServer()
			require.Eventually(t, func() bool { return check.lastRun(b.ID).After(time.Now().Add(-time.Second)) }, startTime, 10*time.Millisecond,
				"the server gets requests before it leaves")
			b.Leave()
			left := time.Now()
			if storeAway {
				c.store.SetFault(func(*http.Request) site.Fault { return site.Fault{Status: http.StatusServiceUnavailable} })
			}
			time.Sleep(leaveWithin + 2*time.Second)
			c.store.SetFault(nil)
			if !storeAway {
				require.Greater(t, check.servedShare(left.Add(time.Second), time.Now().Add(-500*time.Millisecond)), 0.9, "its keys have other owners")
			}
			require.Empty(t, check.runsOf(b.ID, left.Add(leaveWithin)))
		})
	}
}

// Guards against requests to a server that asked for a pause: at most two of each VM
// between half a second after the refusal and its end.
func TestServerThatWantsAPauseGetsIt(t *testing.T) {
	knownred.Skip(t)
	const pause = 3 * time.Second
	c, check := startServing(t, 12)
	b := c.anyServer()
	b.Refuse(pause)
	time.Sleep(pause + 500*time.Millisecond)
	b.Refuse(0)
	asked := check.pausesOf(b.ID)
	require.NotEmpty(t, asked)
	for i, first := range asked {
		arrived := 0
		for _, p := range asked[i+1:] {
			if d := p.at.Sub(first.at); p.vm == first.vm && d > 500*time.Millisecond && d < pause {
				arrived++
			}
		}
		require.LessOrEqual(t, arrived, 2, "requests of VM %s during a pause", first.vm)
	}
	require.Eventually(t, func() bool { return check.lastRun(b.ID).After(time.Now().Add(-time.Second)) }, startTime, 10*time.Millisecond,
		"the server gets requests after the pause")
}

// runsOf returns the requests that a server executed and that were sent after a time.
func (c *checker) runsOf(server string, sentAfter time.Time) (out []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		for _, e := range r.runs {
			if e.server == server && r.at.After(sentAfter) {
				out = append(out, r.String())
			}
		}
	}
	return out
}

// lastRun returns the begin of the last execution on a server.
func (c *checker) lastRun(server string) (last time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		for _, e := range r.runs {
			if e.server == server && e.begin.After(last) {
				last = e.begin
			}
		}
	}
	return last
}

func (c *checker) pausesOf(server string) (out []pauseRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pauses {
		if p.server == server {
			out = append(out, p)
		}
	}
	return out
}
