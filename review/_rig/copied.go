package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// copied: three of six backends send a second copy of 3 in 100 of their answers, late, for 5 s
// at a time. The operator evacuates one zone after the other, so that keys are released
// and granted.
func copied(r *rig) {
	putConfig(r, 1)
	var extra atomic.Bool
	for i := range 6 {
		b := &backend{id: fmt.Sprintf("i-%d", i), service: "orders", zone: fmt.Sprintf("z%d", i%2), slots: 100, work: 1500 * time.Millisecond, keyed: true}
		b.raw = &rawServer{}
		if i < 3 {
			b.raw.extra = func() float64 {
				if extra.Load() && r.trouble {
					return 0.03
				}
				return 0
			}
			b.raw.onExtra = func(first, next string) {
				if strings.HasPrefix(next, "/grant") || strings.HasPrefix(next, "/release") {
					r.note("copy", b.id, "answer to %s comes again after %s", first, next)
				}
			}
		}
		r.addBackend(b)
	}
	go r.heartbeats(870 * time.Millisecond)
	go r.owners.watch()
	for i := range 3 {
		r.addVM(fmt.Sprintf("vm-%d", i), fmt.Sprintf("z%d", i%2), false)
	}
	r.awaitReady(15 * time.Second)
	r.awaitOwners(20 * time.Second)
	for range 6 {
		go r.traffic()
	}
	time.Sleep(3 * time.Second)
	for n, end := 0, time.Now().Add(80*time.Second); time.Now().Before(end); n++ {
		zone := fmt.Sprintf("z%d", n%2)
		r.note("evacuate", "operator", "%s", zone)
		extra.Store(true)
		r.store.Put("evacuations", zone, map[string]any{})
		time.Sleep(5 * time.Second)
		extra.Store(false)
		r.note("take back", "operator", "%s", zone)
		r.store.Delete("evacuations", zone)
		time.Sleep(time.Second)
	}
	r.finish()
}
