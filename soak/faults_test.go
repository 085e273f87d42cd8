package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"godwitlock.example/godwitlock/standin/platform/site"
)

// injector plays planned work and faults. It does not wait for one to end before the
// next one begins.
type injector struct {
	c       *cluster
	rng     *rand.Rand
	pending sync.WaitGroup
}

// runUntil calls a random action after the other until the given time and waits
// until the last one has ended.
func (i *injector) runUntil(until time.Time, actions []func()) {
	for time.Now().Before(until) {
		actions[i.rng.IntN(len(actions))]()
		time.Sleep(i.between(100, 900))
	}
	i.pending.Wait()
}

// between returns a random time between two numbers of milliseconds.
func (i *injector) between(from, to int) time.Duration {
	return time.Duration(from+i.rng.IntN(to-from)) * time.Millisecond
}

// after calls f after a time, without waiting for it.
func (i *injector) after(d time.Duration, f func()) {
	i.pending.Go(func() { time.Sleep(d); f() })
}

func (i *injector) process() *process { return i.c.procs[i.rng.IntN(len(i.c.procs))] }

// planned returns the actions of planned work.
func (i *injector) planned() []func() {
	return []func(){
		i.stopOne, i.stopOne, i.stopTwice, i.stopAndHangUp, i.hangUpAndStop, i.stopSeveral, i.rollAll, i.stopLeader,
		i.hangUp, i.hangUpAll, i.c.configure, i.configureInSeries, i.drainServer,
	}
}

// unplanned returns the actions of faults.
func (i *injector) unplanned() []func() {
	return []func(){
		i.crash, i.crashInStop, i.pause, i.pauseInStop, i.cutStoreLink, i.cutStoreLink, i.disturbStore, i.stopWithoutStore, i.c.store.Compact,
		i.disturbServerLink, i.pauseHeartbeat, i.loseServer, i.disturbOrders, i.withdrawKey,
	}
}

func (i *injector) stopOne() {
	p := i.process()
	i.after(0, func() { p.restart() })
}

// stopTwice sends a second SIGTERM during the stop.
func (i *injector) stopTwice() {
	p := i.process()
	i.after(0, func() { p.restart() })
	i.after(i.between(1, 3000), func() { p.signalInStop(syscall.SIGTERM) })
}

func (i *injector) stopAndHangUp() {
	p := i.process()
	i.after(0, func() { p.restart() })
	i.after(i.between(1, 3000), func() { p.signalInStop(syscall.SIGHUP) })
}

func (i *injector) hangUpAndStop() {
	p := i.process()
	p.hangUp()
	i.after(i.between(0, 50), func() { p.restart() })
}

// stopSeveral stops up to half of the VMs within 300 ms.
func (i *injector) stopSeveral() {
	for _, n := range i.rng.Perm(len(i.c.procs))[:max(1, len(i.c.procs)/2)] {
		i.after(i.between(0, 300), func() { i.c.procs[n].restart() })
	}
}

// rollAll restarts a quarter of the VMs at a time until all were restarted.
func (i *injector) rollAll() {
	var next sync.Mutex
	order, batches := i.rng.Perm(len(i.c.procs)), 4
	for b := range batches {
		i.after(time.Duration(b)*10*time.Millisecond, func() {
			next.Lock()
			defer next.Unlock()
			var batch sync.WaitGroup
			for n := b; n < len(order); n += batches {
				batch.Go(func() { i.c.procs[order[n]].restart() })
			}
			batch.Wait()
		})
	}
}

// stopLeader stops the VM that holds the lease of the leader.
func (i *injector) stopLeader() {
	if p := i.c.leader(); p != nil {
		i.after(0, func() { p.restart() })
	}
}

func (i *injector) hangUp() { i.process().hangUp() }

func (i *injector) hangUpAll() {
	for _, p := range i.c.procs {
		p.hangUp()
	}
}

func (i *injector) configureInSeries() {
	for n := range 3 + i.rng.IntN(3) {
		i.after(time.Duration(n)*i.between(20, 400), i.c.configure)
	}
}

// drainServer lets a server announce that it leaves and ends it when the requests of
// the VMs that still use it have ended.
func (i *injector) drainServer() {
	i.c.pick(i.rng.IntN(100), func(b *backend) {
		b.Drain()
		b.draining = true
		i.after(serverDrainTime, func() { i.c.leave(b) })
	})
	i.c.addServer()
}

func (i *injector) crash() {
	p := i.process()
	i.after(0, p.crash)
}

func (i *injector) crashInStop() {
	p := i.process()
	i.after(0, func() { p.restart() })
	i.after(i.between(1, 3000), func() {
		end := i.c.events.disrupt(p.name, "SIGKILL in a stop")
		p.signalInStop(syscall.SIGKILL)
		end()
	})
}

func (i *injector) pause() {
	p := i.process()
	resume := p.pause()
	i.after(i.between(200, 2700), resume)
}

func (i *injector) pauseInStop() {
	p := i.process()
	i.after(0, func() { p.restart() })
	d := i.between(200, 2700)
	i.after(i.between(1, 2000), func() {
		resume := p.pause()
		time.Sleep(d)
		resume()
	})
}

func (i *injector) linkMode() mode {
	return []mode{delayBlocks, dropAll, dropResponses, resetConns}[i.rng.IntN(4)]
}

func (i *injector) cutStoreLink() {
	p := i.process()
	end := i.c.events.disrupt(p.name, "link to the store")
	p.store.setMode(i.linkMode())
	i.after(i.between(200, 2700), func() { p.store.setMode(forwardAll); end() })
}

func (i *injector) disturbStore() {
	end := i.c.events.disrupt("", "store")
	i.c.store.SetFault(i.storeFault())
	i.after(i.between(200, 2700), func() { i.c.store.SetFault(nil); end() })
}

// stopWithoutStore stops the leader and another VM while the store is slow, silent
// or away.
func (i *injector) stopWithoutStore() {
	end := i.c.events.disrupt("", "store in a stop")
	i.c.store.SetFault(i.storeFault())
	i.stopLeader()
	i.stopOne()
	i.after(i.between(1000, 5000), func() { i.c.store.SetFault(nil); end() })
}

// storeFault returns a fault that applies to all calls to the store: failures, lost
// responses to writes, slowness or silence.
func (i *injector) storeFault() func(*http.Request) site.Fault {
	f := []site.Fault{
		{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {DropResponse: true},
		{Delay: 80 * time.Millisecond}, {Delay: time.Second}, {Delay: 8 * time.Second},
	}[i.rng.IntN(6)]
	return func(r *http.Request) site.Fault {
		f := f
		f.DropResponse = f.DropResponse && r.Method != http.MethodGet
		return f
	}
}

func (i *injector) disturbServerLink() {
	i.c.pick(i.rng.IntN(100), func(b *backend) {
		end := i.c.events.disrupt("", "link to a server")
		b.link.setMode(i.linkMode())
		i.after(i.between(200, 2700), func() { b.link.setMode(forwardAll); end() })
	})
}

func (i *injector) pauseHeartbeat() {
	i.c.pick(i.rng.IntN(100), func(b *backend) {
		end := i.c.events.disrupt("", "heartbeats of a server")
		b.heartbeatPaused = true
		i.after(i.between(200, 2700), func() { i.c.mu.Lock(); b.heartbeatPaused = false; i.c.mu.Unlock(); end() })
	})
}

func (i *injector) loseServer() {
	end := i.c.events.disrupt("", "lost server")
	i.c.pick(i.rng.IntN(100), i.c.removeServer)
	i.c.addServer()
	end()
}

// disturbOrders delays ownership orders and loses responses of servers.
func (i *injector) disturbOrders() {
	end := i.c.events.disrupt("", "orders and responses of servers")
	i.c.check.delayOrders.Store(true)
	i.c.check.loseResponses.Store(true)
	i.after(i.between(200, 2700), func() {
		i.c.check.delayOrders.Store(false)
		i.c.check.loseResponses.Store(false)
		end()
	})
}

func (i *injector) withdrawKey() { i.c.withdrawKey() }
