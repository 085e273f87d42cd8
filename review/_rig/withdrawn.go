package main

import (
	"fmt"
	"syscall"
	"time"
)

func putKeys(r *rig, version int, keys ...string) {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{"name": name, "host": "h.example", "pathPrefix": prefix, "kind": kind,
			"timeoutS": 1.5, "sloS": 0.5, "priority": 1, "service": "files", "attempts": 2}
	}
	r.store.Put("config", "main", map[string]any{
		"version":  version,
		"routes":   []any{route("file", "/file/", "download")},
		"services": []any{map[string]any{"name": "files", "healthPath": "/health", "maxConns": 100}},
		"tenants":  []any{map[string]any{"name": "t1", "apiKeys": keys, "priority": 1, "ratePerS": 0, "burst": 0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutS": 5, "idleTimeoutS": 10},
	})
	r.note("config", "operator", "version %d with keys %v is acknowledged", version, keys)
}

const revokeS = 5 * time.Second

// withdrawn: a key is taken away. Over revokeS later the store is away for 2 s and comes
// back from a copy of before; the process that leads is killed meanwhile. The
// operator writes the configuration again 1 s after the return.
func withdrawn(r *rig) {
	putKeys(r, 1, "k1", "k2")
	for i := range 4 {
		r.addBackend(&backend{id: fmt.Sprintf("i-%d", i), service: "files", zone: fmt.Sprintf("z%d", i%2), slots: 6, work: 20 * time.Millisecond})
	}
	go r.heartbeats(870 * time.Millisecond)
	for i := range 3 {
		r.addVM(fmt.Sprintf("vm-%d", i), fmt.Sprintf("z%d", i%2), false)
	}
	r.awaitReady(15 * time.Second)
	time.Sleep(2 * time.Second)
	copied := r.store.Copy()
	r.note("copy", "store", "a copy is taken")
	putKeys(r, 2, "k1")
	acknowledged := time.Now()
	end := acknowledged.Add(14 * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(10 * time.Millisecond)
			key, id, sent := "k1", newID(), time.Now()
			if n%2 == 0 {
				key = "k2"
			}
			front := r.vms[n/2%len(r.vms)].front
			go func() {
				a := r.once(front, id, request(id, "GET", "/file/"+key, key, n*7919%keyCount, 1500, ""), 2*time.Second)
				r.mu.Lock()
				ran := len(r.runs[id]) > 0
				r.mu.Unlock()
				if late := sent.Sub(acknowledged); key == "k2" && ran && late > revokeS {
					r.violate("CONFIG: %s with the withdrawn key was sent to %s %.2f s after the acknowledgement, ran, and was answered %d", id, front, late.Seconds(), a.status)
				}
			}()
		}
	}()
	time.Sleep(time.Until(acknowledged.Add(5200 * time.Millisecond)))
	if r.trouble {
		lead := r.leaderVM()
		r.note("away", "store", "the store is away")
		r.away.Store(true)
		time.Sleep(500 * time.Millisecond)
		lead.signal(syscall.SIGKILL)
		<-lead.done
		time.Sleep(400 * time.Millisecond)
		lead.start()
		time.Sleep(1100 * time.Millisecond)
		r.store.Restore(copied)
		r.away.Store(false)
		r.note("back", "store", "the store is back from the copy")
		time.Sleep(time.Second)
		putKeys(r, 2, "k1")
	}
	<-done
	time.Sleep(2 * time.Second)
	r.finish()
}
