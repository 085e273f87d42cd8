package main

import "time"

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
