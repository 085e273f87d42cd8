package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	coldPerS  = 3.8
	warmupS   = 3.0
	coldBound = coldPerS*1.5 + 5 // warmupOverrun, warmupSlack
)

// crashRate is the rate, as a multiple of coldPerS, at which a cold backend crashes.
const crashRate = 4

// cold: one of seven backends of a service without keys becomes cold again. It says so in
// its entry and on its health path. The store is down from 0.2 s before, for 4.5 s.
func cold(r *rig) {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{"name": name, "host": "h.example", "pathPrefix": prefix, "kind": kind, "public": true,
			"timeoutS": 1.5, "sloS": 0.5, "priority": 1, "service": "files", "attempts": 2}
	}
	r.store.Put("config", "main", map[string]any{
		"version": 1, "routes": []any{route("read", "/read/", "safe"), route("write", "/write/", "unsafe")}, "tenants": []any{},
		"services": []any{map[string]any{"name": "files", "healthPath": "/health", "maxConns": 100, "warmupS": warmupS, "coldPerS": coldPerS}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutS": 5, "idleTimeoutS": 10},
	})
	for i := range 7 {
		r.addBackend(&backend{id: fmt.Sprintf("i-%d", i), service: "files", zone: fmt.Sprintf("z%d", i%2), slots: 12, work: 200 * time.Millisecond})
	}
	go r.heartbeats(870 * time.Millisecond)
	for i := range 3 {
		r.addVM(fmt.Sprintf("vm-%d", i), fmt.Sprintf("z%d", i%2), false)
	}
	r.awaitReady(15 * time.Second)
	time.Sleep(3 * time.Second)
	var clients sync.WaitGroup
	var lost atomic.Int64
	end := time.Now().Add(14 * time.Second)
	for n := 0; n < 3; n++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for k := 0; time.Now().Before(end); k++ {
				time.Sleep(21 * time.Millisecond)
				id, method, path := newID(), "GET", "/read/x"
				if k%3 == 0 {
					method, path = "POST", "/write/x"
				}
				clients.Add(1)
				go func() {
					defer clients.Done()
					a := r.once(r.vms[n].front, id, request(id, method, path, "", 0, 1500, ""), 2*time.Second)
					r.mu.Lock()
					runs := r.runs[id]
					r.mu.Unlock()
					if method == "POST" && len(runs) > 0 && runs[0].server == "i-0" && a.status != 200 {
						lost.Add(1)
						r.note("lost", "i-0", "%s must not be repeated, ran and was answered %d", id, a.status)
					}
				}()
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.note("away", "store", "the store is down")
		r.away.Store(true)
		time.AfterFunc(4500*time.Millisecond, func() {
			r.away.Store(false)
			r.note("back", "store", "the store is up")
		})
	}
	time.Sleep(200 * time.Millisecond)
	b := r.backends[0]
	b.mu.Lock()
	b.coldUntil = time.Now().Add(time.Duration(warmupS * float64(time.Second)))
	b.mu.Unlock()
	r.note("cold", b.id, "for %.0f s", warmupS)
	if !r.away.Load() {
		r.store.Put("servers", b.id, b.entry())
	}
	clients.Wait()
	r.note("lost", "-", "%d requests that must not be repeated ran at i-0 and were not answered with success", lost.Load())
	r.finish()
}

// countCold checks the bound of a cold backend, with a request that has arrived: it counts
// those that were sent and arrived in the last second. It reports whether the backend
// crashes.
func (b *backend) countCold(id string) bool {
	now := time.Now()
	b.rig.mu.Lock()
	sent := b.rig.sentAt[id]
	b.rig.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.After(b.coldUntil) {
		return false
	}
	b.arrivals = append(b.arrivals, sent)
	n := 0
	for _, t := range b.arrivals {
		if now.Sub(t) < time.Second {
			n++
		}
	}
	if float64(n) > coldBound && n > b.mostCold {
		b.mostCold = n
		b.rig.violate("FAILBACK: the cold %s got %d requests in one second, the bound is %.1f", b.id, n, coldBound)
	}
	return float64(n) > crashRate*coldPerS
}
