package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// drain: the leader's machine is cut off from the store for a moment, in which backends leave
// without a notice. How long do the other machines go on sending to them?
func drain(r *rig, trouble bool) int {
	const (
		rounds   = 4
		cutFor   = 400 * time.Millisecond
		drainS   = 2 * time.Second
		stays    = 5 * time.Second
		pauseFor = 7 * time.Second
	)
	r.store.Put("config", "main", map[string]any{
		"version": 1, "routes": []any{map[string]any{"name": "read", "host": "h", "pathPrefix": "/read/", "kind": "safe", "timeoutS": 2.5, "sloS": 0.6, "priority": 2, "service": "depot", "attempts": 2}},
		"services": []any{map[string]any{"name": "depot", "healthPath": "/health", "maxConns": 130}},
		"limits":   map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": 1 << 20, "headerTimeoutS": 3, "idleTimeoutS": 10},
	})
	var mu sync.Mutex
	removed := map[string]time.Time{}
	sentTo := map[string]string{}
	late, latest := 0, time.Duration(0)
	add := func(id string, i int) {
		r.addBackend(id, "depot", "z"+strconv.Itoa(i%2), 6, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			request := q.Header.Get("Request-Id")
			w.Header().Set("Request-Id", request)
			if q.URL.Path == "/health" {
				w.Header().Set("Instance-Id", id)
				return
			}
			mu.Lock()
			at, gone := removed[id]
			after := time.Since(at)
			if gone && after > drainS {
				late++
				latest = max(latest, after)
				r.rec.add("LATE %s reached %s %d ms after it was gone, from %s", request, id, after.Milliseconds(), sentTo[request])
			}
			mu.Unlock()
			time.Sleep(60 * time.Millisecond)
			w.Header().Set("Response-Seal", id+"."+request)
			w.Header().Set("Backend-Load", "1,0,6")
			_, _ = io.WriteString(w, "done")
		}))
	}
	for i := range 10 {
		add(fmt.Sprintf("i-%d", i+1), i)
	}
	for i := range 4 {
		r.addNode("z" + strconv.Itoa(i%2))
	}
	r.awaitReady()
	time.Sleep(2 * time.Second)
	leader := func() string {
		var lease struct {
			Value struct{ Holder struct{ VM string } }
		}
		_ = json.Unmarshal(r.store.Get("godwitlock-leader", "lease"), &lease)
		return lease.Value.Holder.VM
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	answered := 0
	for k := range 40 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
				node := r.nodes[k%4]
				if node.name == leader() {
					continue // it is out of touch
				}
				id := fmt.Sprintf("c%02d-%05d", k, n)
				mu.Lock()
				sentTo[id] = node.name
				mu.Unlock()
				c, err := send(node.front, http.MethodGet, "/read/"+id, id, 2500*time.Millisecond, 0)
				if err != nil {
					continue
				}
				if receive(c, http.MethodGet, 3*time.Second) == 200 {
					mu.Lock()
					answered++
					mu.Unlock()
				}
				_ = c.Close()
			}
		})
	}
	for round := range rounds {
		time.Sleep(pauseFor - stays)
		name := leader()
		var node *process
		for _, p := range r.nodes {
			if p.name == name {
				node = p
			}
		}
		if node == nil {
			return unusable
		}
		if trouble {
			r.rec.add("cut %s, which leads, off from the store", name)
			node.link.cut(true)
		}
		time.Sleep(20 * time.Millisecond)
		id := fmt.Sprintf("i-%d", round+1)
		r.store.Delete("servers", id)
		mu.Lock()
		removed[id] = time.Now()
		mu.Unlock()
		r.rec.add("gone %s", id)
		time.Sleep(cutFor - 20*time.Millisecond)
		if trouble {
			node.link.cut(false)
			r.rec.add("healed")
		}
		time.Sleep(stays - cutFor)
		r.rec.add("leader is %s", leader())
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.rec.verdict("%d answered; %d requests reached a backend over %v after it was gone, the last one %d ms after", answered, late, drainS, latest.Milliseconds())
	if answered < 500 {
		return unusable
	}
	if late > 0 {
		r.rec.verdict("DRAIN broken")
		return broken
	}
	r.rec.verdict("DRAIN held")
	return held
}
