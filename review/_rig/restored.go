package main

import (
	"fmt"
	"os"
	"time"
)

func putConfig(r *rig, version int) {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{"name": name, "host": "h.example", "pathPrefix": prefix, "kind": kind, "public": true,
			"timeoutS": 4, "sloS": 0.5, "priority": 1, "service": "orders", "attempts": 2}
	}
	r.store.Put("config", "main", map[string]any{
		"version":  version,
		"routes":   []any{route("read", "/read/", "safe"), route("write", "/write/", "unsafe")},
		"services": []any{map[string]any{"name": "orders", "healthPath": "/health", "maxConns": 100, "sharded": true}},
		"tenants":  []any{},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutS": 5, "idleTimeoutS": 10},
	})
}

// restored: the whole system starts for the first time. Two backends join. Then the store
// is away for 4 s and comes back from a copy of before the system had stored a table.
func restored(r *rig) {
	if os.Getenv("FIRST_ERA") == "1" {
		// For comparison: the header says 1, not 0, before the store ever comes back.
		r.store.Restore(r.store.Copy())
	}
	putConfig(r, 1)
	for i := range 7 {
		r.addBackend(&backend{id: fmt.Sprintf("i-%d", i), service: "orders", zone: fmt.Sprintf("z%d", i%2), slots: 6, work: 20 * time.Millisecond, keyed: true})
	}
	go r.heartbeats(870 * time.Millisecond)
	go r.owners.watch()
	time.Sleep(time.Second)
	copied := r.store.Copy()
	r.note("copy", "store", "a copy is taken")
	for i := range 8 {
		r.addVM(fmt.Sprintf("vm-%d", i), fmt.Sprintf("z%d", i%2), os.Getenv("BOOTSTRAP") != "false")
	}
	r.awaitReady(20 * time.Second)
	r.awaitOwners(15 * time.Second)
	go r.traffic()
	for i := 7; i < 9; i++ {
		r.addBackend(&backend{id: fmt.Sprintf("i-%d", i), service: "orders", zone: fmt.Sprintf("z%d", i%2), slots: 6, work: 20 * time.Millisecond, keyed: true})
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.note("away", "store", "the store is away")
		r.away.Store(true)
		time.Sleep(4 * time.Second)
		r.store.Restore(copied)
		r.away.Store(false)
		r.note("back", "store", "the store is back from the copy")
	}
	time.Sleep(20 * time.Second)
	r.finish()
}

// traffic sends safe requests to the VMs in turn.
func (r *rig) traffic() {
	for n := 0; ; n++ {
		select {
		case <-r.stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		id := newID()
		go r.once(r.vms[n%len(r.vms)].front, id, request(id, "GET", "/read/x", "", n*7919%keyCount, 3000, ""), 4*time.Second)
	}
}
