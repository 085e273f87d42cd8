package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// paths: the names of things contain an encoded slash, and a safe route lies below an unsafe
// one; do orders run twice if answers are lost?
func paths(r *rig, trouble bool) int {
	const (
		clients  = 32
		work     = 150 * time.Millisecond
		gap      = 150 * time.Millisecond
		duration = 48 * time.Second
		// answer_lost: half of the backends lose the answers of 0.025 of the requests that
		// they ran, for 5.5 s in every 8 s.
		lossShare, lossFor, lossEvery = 0.025, 5500 * time.Millisecond, 8 * time.Second
	)
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{"name": name, "host": "h", "pathPrefix": prefix, "kind": kind, "timeoutS": 2.5, "sloS": 0.8, "priority": 1, "service": "ledger", "attempts": 2}
	}
	r.store.Put("config", "main", map[string]any{
		"version": 3, "routes": []any{route("commit", "/commit/", "unsafe"), route("commit-status", "/commit/status/", "safe")},
		"services": []any{map[string]any{"name": "ledger", "healthPath": "/health", "maxConns": 130}},
		"limits":   map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": 1 << 20, "headerTimeoutS": 3, "idleTimeoutS": 10},
	})
	r.rec.add("acknowledged version 3: route commit, unsafe, at /commit/; route commit-status, safe, at /commit/status/")
	var mu sync.Mutex
	began := time.Now()
	runs, lost := map[string][]string{}, 0
	for i := range 4 {
		id, loses := fmt.Sprintf("i-%d", i+1), i%2 == 0
		r.addBackend(id, "ledger", "z"+strconv.Itoa(i/2), 12, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			request := q.Header.Get("Request-Id")
			w.Header().Set("Request-Id", request)
			if q.URL.Path == "/health" {
				w.Header().Set("Instance-Id", id)
				return
			}
			mu.Lock()
			runs[request] = append(runs[request], id)
			mu.Unlock()
			r.rec.add("began %s at %s: %s %s", request, id, q.Method, q.RequestURI)
			time.Sleep(work)
			if trouble && loses && time.Since(began)%lossEvery < lossFor && rand.Float64() < lossShare {
				mu.Lock()
				lost++
				mu.Unlock()
				r.rec.add("lost the answer of %s at %s", request, id)
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Response-Seal", id+"."+request)
			_, _ = w.Write([]byte("done"))
		}))
	}
	r.addNode("z0")
	r.addNode("z1")
	r.awaitReady()
	time.Sleep(time.Second)

	mu.Lock()
	began = time.Now()
	mu.Unlock()
	// The two kinds of names differ in the model alone.
	names := []string{"model-7%%2F%05d", "status%%2F%05d"}
	sent, status := map[string]string{}, map[string]int{}
	ask := func(k, n int) {
		id, path := fmt.Sprintf("c%02d-%05d", k, n), "/commit/"+fmt.Sprintf(names[n%2], 1000*k+n)
		mu.Lock()
		sent[id] = path
		mu.Unlock()
		c, err := send(r.nodes[k%2].front, http.MethodPost, path, id, 2500*time.Millisecond, 300)
		if err != nil {
			r.rec.add("not sent %s: %v", id, err)
			return
		}
		defer func(c net.Conn) { _ = c.Close() }(c)
		r.rec.add("sent %s POST %s", id, path)
		got := receive(c, http.MethodPost, 3*time.Second)
		r.rec.add("answered %s %d", id, got)
		mu.Lock()
		defer mu.Unlock()
		status[strconv.Itoa(got)]++
	}
	var wg sync.WaitGroup
	for k := range clients {
		wg.Go(func() {
			for n := 0; time.Since(began) < duration; n++ {
				ask(k, n)
				time.Sleep(gap)
			}
		})
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	twice := map[bool]int{}
	for id, path := range sent {
		if len(runs[id]) > 1 {
			below := path[:len("/commit/status")] == "/commit/status"
			twice[below]++
			r.rec.add("TWICE %s POST %s ran at %v", id, path, runs[id])
		}
	}
	r.rec.verdict("%d orders, answers by status: %v; backends lost %d answers", len(sent), status, lost)
	r.rec.verdict("orders that ran twice: %d at /commit/status%%2F..., %d at /commit/model-7%%2F...", twice[true], twice[false])
	if status["200"] < len(sent)*9/10 {
		return unusable
	}
	if twice[true]+twice[false] > 0 {
		r.rec.verdict("TWICE broken")
		return broken
	}
	r.rec.verdict("TWICE held")
	return held
}
