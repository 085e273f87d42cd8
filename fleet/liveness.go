package fleet

import (
	"context"
	"sync"
	"time"

	"godwitlock.example/godwitlock/clock"
)

const (
	// probeInterval is how long a VM at which requests wait may be silent before
	// it is asked for a sign of life, and checkTimeout how long that may take.
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
)

// liveness notices VMs that went silent while requests of this VM wait there.
// A VM is asked once for all requests that wait, and only when it has answered
// none of them lately. It is safe for concurrent use.
type liveness struct {
	ping func(ctx context.Context, addr string) error
	now  clock.Func

	mu      sync.Mutex
	targets map[string]*probeTarget
}

// probeTarget is a VM at which requests wait, or did a moment ago.
type probeTarget struct {
	lastAnswer time.Time
	// pending holds what ends each request that waits, by its number.
	pending map[uint64]func()
	lastID  uint64
}

func newLiveness(ping func(ctx context.Context, addr string) error, now clock.Func) *liveness {
	return &liveness{ping: ping, now: now, targets: make(map[string]*probeTarget)}
}

// track records that a request waits at a VM; silent is called when the VM turns
// out to be silent. The caller calls leave when the request no longer waits, and
// says whether the VM answered it.
func (l *liveness) track(addr string, cancel func()) (done func(answered bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	target := l.targets[addr]
	if target == nil {
		target = &probeTarget{lastAnswer: l.now(), pending: make(map[uint64]func())}
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
			target.lastAnswer = l.now()
		}
	}
}

// check asks a VM for a sign of life if it was silent, and comes back while
// requests wait there.
func (l *liveness) check(addr string, target *probeTarget) {
	l.mu.Lock()
	if len(target.pending) == 0 {
		delete(l.targets, addr)
		l.mu.Unlock()
		return
	}
	silent := l.now().Sub(target.lastAnswer) >= probeInterval
	l.mu.Unlock()
	if silent {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		err := l.ping(ctx, addr)
		cancel()
		l.recordProbe(target, err == nil)
	}
	time.AfterFunc(probeInterval, func() { l.check(addr, target) })
}

// recordProbe takes over the outcome of a question. Without an recordProbe to it or to any
// request meanwhile, all requests that wait are ended.
func (l *liveness) recordProbe(target *probeTarget, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered {
		target.lastAnswer = l.now()
		return
	}
	if l.now().Sub(target.lastAnswer) < probeInterval+probeTimeout {
		return
	}
	for _, cancel := range target.pending {
		cancel()
	}
	clear(target.pending)
}
