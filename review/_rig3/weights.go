package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// weights: a configuration takes the weight of a service to 0; do requests still go there?
func weights(r *rig, trouble bool) int {
	const (
		vms, routes = 4, 3
		applyWithin = 2 * time.Second // configApplyS
		before      = 30
		after       = 20
	)
	configure := func(version int, old float64) {
		var list []any
		for i := range routes {
			list = append(list, map[string]any{
				"name": fmt.Sprintf("route-%d", i), "host": "h", "pathPrefix": fmt.Sprintf("/p%d/", i), "kind": "unsafe", "timeoutS": 2.5, "sloS": 0.6, "priority": 2, "attempts": 2,
				"split": []any{map[string]any{"service": "new", "weight": 1}, map[string]any{"service": "old", "weight": old}},
			})
		}
		service := func(name string) any {
			return map[string]any{"name": name, "healthPath": "/health", "maxConns": 130}
		}
		r.store.Put("config", "main", map[string]any{
			"version": version, "routes": list, "services": []any{service("new"), service("old")},
			"limits": map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": 1 << 20, "headerTimeoutS": 3, "idleTimeoutS": 10},
		})
		r.rec.add("acknowledged version %d: weight 1 for new, %v for old", version, old)
	}
	configure(3, 1)
	var mu sync.Mutex
	ranAt := map[string]string{}
	for i := range 4 {
		id, service := fmt.Sprintf("i-%d", i+1), []string{"new", "old"}[i%2]
		r.addBackend(id, service, "z"+strconv.Itoa(i/2), 12, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			request := q.Header.Get("Request-Id")
			w.Header().Set("Request-Id", request)
			if q.URL.Path == "/health" {
				w.Header().Set("Instance-Id", id)
				return
			}
			mu.Lock()
			ranAt[request] = service
			mu.Unlock()
			r.rec.add("began %s at %s of %s", request, id, service)
			time.Sleep(20 * time.Millisecond)
			w.Header().Set("Response-Seal", id+"."+request)
			_, _ = io.WriteString(w, "done")
		}))
	}
	for i := range vms {
		r.addNode("z" + strconv.Itoa(i%2))
	}
	r.awaitReady()
	time.Sleep(time.Second)

	n, answered := 0, 0
	play := func(phase string, each func() int) (ids []string) {
		for _, node := range r.nodes {
			for i := range routes {
				for range each() {
					n++
					id := fmt.Sprintf("%s-%05d", phase, n)
					c, err := send(node.front, http.MethodPost, fmt.Sprintf("/p%d/%s", i, id), id, 2500*time.Millisecond, 100)
					if err != nil {
						r.rec.add("not sent %s: %v", id, err)
						continue
					}
					r.rec.add("sent %s to %s", id, node.name)
					status := receive(c, http.MethodPost, 3*time.Second)
					_ = c.Close()
					r.rec.add("answered %s %d", id, status)
					if status == http.StatusOK {
						answered++
					}
					ids = append(ids, id)
				}
			}
		}
		return ids
	}
	play("before", func() int { return before + rand.IntN(10) })
	if trouble {
		configure(7, 0)
	}
	time.Sleep(applyWithin + time.Second)
	ids := play("after", func() int { return after })
	mu.Lock()
	defer mu.Unlock()
	toOld := 0
	for _, id := range ids {
		if ranAt[id] == "old" {
			toOld++
			if trouble {
				r.rec.add("WRONG %s was run by the old service", id)
			}
		}
	}
	r.rec.verdict("%d requests, %d answered with success", n, answered)
	r.rec.verdict("%d of %d requests that were sent over %v after the acknowledgement were run by the old service", toOld, len(ids), applyWithin)
	if answered < n*9/10 {
		return unusable
	}
	if trouble && toOld > 0 {
		r.rec.verdict("CONFIG broken: its weight is 0, so that only the older version allows that")
		return broken
	}
	r.rec.verdict("CONFIG held")
	return held
}
