package fleet

import (
	"context"
	"sync"
	"time"

	"godwitlock.example/godwitlock/clock"
)

const (
	// checkAfter is how long a VM at which requests wait may be silent before
	// it is asked for a sign of life, and checkTimeout how long that may take.
	checkAfter   = 250 * time.Millisecond
	checkTimeout = 250 * time.Millisecond
)

// liveness notices VMs that went silent while requests of this VM wait there.
// A VM is asked once for all requests that wait, and only when it has answered
// none of them lately. It is safe for concurrent use.
type liveness struct {
	ping func(ctx context.Context, addr string) error
	now  clock.Func

	mu   sync.Mutex
	list map[string]*awaited
}

// awaited is a VM at which requests wait, or did a moment ago.
type awaited struct {
	heard time.Time
	// waiting holds what ends each request that waits, by its number.
	waiting map[uint64]func()
	last    uint64
}

func newLiveness(ping func(ctx context.Context, addr string) error, now clock.Func) *liveness {
	return &liveness{ping: ping, now: now, list: make(map[string]*awaited)}
}

// wait records that a request waits at a VM; silent is called when the VM turns
// out to be silent. The caller calls leave when the request no longer waits, and
// says whether the VM answered it.
func (l *liveness) wait(addr string, silent func()) (leave func(answered bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.list[addr]
	if a == nil {
		a = &awaited{heard: l.now(), waiting: make(map[uint64]func())}
		l.list[addr] = a
		time.AfterFunc(checkAfter, func() { l.check(addr, a) })
	}
	a.last++
	id := a.last
	a.waiting[id] = silent
	return func(answered bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(a.waiting, id)
		if answered {
			a.heard = l.now()
		}
	}
}

// check asks a VM for a sign of life if it was silent, and comes back while
// requests wait there.
func (l *liveness) check(addr string, a *awaited) {
	l.mu.Lock()
	if len(a.waiting) == 0 {
		delete(l.list, addr)
		l.mu.Unlock()
		return
	}
	quiet := l.now().Sub(a.heard) >= checkAfter
	l.mu.Unlock()
	if quiet {
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		err := l.ping(ctx, addr)
		cancel()
		l.answer(a, err == nil)
	}
	time.AfterFunc(checkAfter, func() { l.check(addr, a) })
}

// answer takes over the outcome of a question. Without an answer to it or to any
// request meanwhile, all requests that wait are ended.
func (l *liveness) answer(a *awaited, alive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if alive {
		a.heard = l.now()
		return
	}
	if l.now().Sub(a.heard) < checkAfter+checkTimeout {
		return
	}
	for _, silent := range a.waiting {
		silent()
	}
	clear(a.waiting)
}
