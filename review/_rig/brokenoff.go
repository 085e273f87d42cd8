package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// brokenOff: callers keep connections open and send four safe requests at a time. For 5.5 s,
// two of six backends break off one answer in fifty; the others are sound.
func brokenOff(r *rig) {
	route := map[string]any{"name": "proof", "host": "h.example", "pathPrefix": "/proof/", "kind": "safe", "public": true,
		"timeoutS": 1.5, "sloS": 0.5, "priority": 1, "service": "proofs", "attempts": 2}
	r.store.Put("config", "main", map[string]any{
		"version": 1, "routes": []any{route}, "tenants": []any{},
		"services": []any{map[string]any{"name": "proofs", "healthPath": "/health", "maxConns": 100}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutS": 5, "idleTimeoutS": 10},
	})
	sound := make(map[string]bool)
	var spoils atomic.Bool
	for i := range 6 {
		b := &backend{id: fmt.Sprintf("i-%d", i), service: "proofs", zone: fmt.Sprintf("z%d", i%2), slots: 12, work: 20 * time.Millisecond, bodyBytes: 20000}
		if i < 2 {
			b.spoil = func(string) bool { return spoils.Load() && rand.Float64() < 0.02 }
		} else {
			sound[b.id] = true
		}
		r.addBackend(b)
	}
	go r.heartbeats(870 * time.Millisecond)
	for i := range 3 {
		r.addVM(fmt.Sprintf("vm-%d", i), fmt.Sprintf("z%d", i%2), false)
	}
	r.awaitReady(15 * time.Second)
	time.Sleep(4 * time.Second)
	end := time.Now().Add(15 * time.Second)
	time.AfterFunc(4*time.Second, func() { spoils.Store(r.trouble) })
	time.AfterFunc(9500*time.Millisecond, func() { spoils.Store(false) })
	lost := make(chan string, 100000)
	done := make(chan struct{})
	const callers = 12
	for n := range callers {
		v := r.vms[n%len(r.vms)]
		go func() {
			for time.Now().Before(end) {
				for _, id := range r.pipeline(v.front, end) {
					lost <- v.name + " " + id
				}
			}
			done <- struct{}{}
		}()
	}
	for range callers {
		<-done
	}
	time.Sleep(500 * time.Millisecond)
	close(lost)
	count := make(map[string]int)
	for l := range lost {
		name, id, _ := strings.Cut(l, " ")
		r.mu.Lock()
		runs := r.runs[id]
		r.mu.Unlock()
		if len(runs) == 1 && sound[runs[0].server] {
			count[name]++
			r.note("lost", name, "%s ran at the sound %s and got no answer", id, runs[0].server)
		}
	}
	for name, n := range count {
		if n > 3 {
			r.violate("LOST: %s passed %d requests from kept connections on to sound backends and closed the connections without an answer", name, n)
		}
	}
	r.finish()
}

// pipeline sends requests in batches on one connection until it ends. It returns those of
// its last batch that got no answer, unless the first batch of the connection was it.
func (r *rig) pipeline(front string, end time.Time) (unanswered []string) {
	nc, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil
	}
	defer nc.Close()
	br := bufio.NewReader(nc)
	for batch := 0; time.Now().Before(end); batch++ {
		ids, raw := make([]string, 4), ""
		for i := range ids {
			ids[i] = newID()
			raw += request(ids[i], "GET", "/proof/x", "", 0, 2000, "")
		}
		_ = nc.SetDeadline(time.Now().Add(3 * time.Second))
		if _, err := nc.Write([]byte(raw)); err != nil {
			return nil
		}
		r.note("sent", front, "%s", strings.Join(ids, " "))
		for i, id := range ids {
			a := readAnswer(br)
			if a.err == nil {
				r.note("answered", front, "%s: %d seal %q %d bytes", id, a.status, a.seal, len(a.body))
				if a.status == 200 && (a.id != id || !strings.Contains(string(a.body), id)) {
					r.violate("MIXED: %s got the answer to %s", id, a.id)
				}
				continue
			}
			r.note("answered", front, "%s: %v", id, a.err)
			if batch == 0 {
				return nil
			}
			return ids[i+1:]
		}
	}
	return nil
}
