package fleet

import (
	"context"
	"sync"
	"time"

	"godwitlock.example/godwitlock/clock"
)

const (
	// probeInterval is how long a VM at which requests wait may go without an
	// response before it is probed, and probeTimeout bounds a probe.
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
)

// livenessMonitor detects VMs that stop answering while requests of this VM wait
// there. One probe of a VM serves all requests that wait there, and a VM that has
// answered a request within the last probeInterval is not probed. It is safe for
// concurrent use.
type livenessMonitor struct {
	ping func(ctx context.Context, addr string) error
	now  clock.Func

	mu      sync.Mutex
	targets map[string]*probeTarget
}

// probeTarget is a VM at which requests wait, or did at the last check.
type probeTarget struct {
	lastResponse time.Time
	// pending holds the cancel functions of the waiting requests by request ID.
	pending map[uint64]func()
	lastID  uint64
}

func newLivenessMonitor(ping func(ctx context.Context, addr string) error, now clock.Func) *livenessMonitor {
	return &livenessMonitor{ping: ping, now: now, targets: make(map[string]*probeTarget)}
}

// track records that a request waits at a VM. cancel is called when the VM does
// not answer probes. The caller must call done when the request no longer waits,
// and pass whether the VM answered it.
func (l *livenessMonitor) track(addr string, cancel func()) (done func(answered bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	target := l.targets[addr]
	if target == nil {
		target = &probeTarget{lastResponse: l.now(), pending: make(map[uint64]func())}
		l.targets[addr] = target
		time.AfterFunc(probeInterval, func() { l.check(addr, target) })
	}
	target.lastID++
	id := target.lastID
	target.pending[id] = cancel
	return func(answered bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(target.pending, id)
		if answered {
			target.lastResponse = l.now()
		}
	}
}

// check probes a VM that has not answered within probeInterval. It schedules
// itself again until no requests wait there.
func (l *livenessMonitor) check(addr string, target *probeTarget) {
	l.mu.Lock()
	if len(target.pending) == 0 {
		delete(l.targets, addr)
		l.mu.Unlock()
		return
	}
	silent := l.now().Sub(target.lastResponse) >= probeInterval
	l.mu.Unlock()
	if silent {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		err := l.ping(ctx, addr)
		cancel()
		l.recordProbe(target, err == nil)
	}
	time.AfterFunc(probeInterval, func() { l.check(addr, target) })
}

// recordProbe records the result of a probe. It cancels all waiting requests when
// the VM answered neither the probe nor any request meanwhile.
func (l *livenessMonitor) recordProbe(target *probeTarget, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered {
		target.lastResponse = l.now()
		return
	}
	if l.now().Sub(target.lastResponse) < probeInterval+probeTimeout {
		return
	}
	for _, cancel := range target.pending {
		cancel()
	}
	clear(target.pending)
}
