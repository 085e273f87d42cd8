package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// pause: a backend turns a request away with 503 and a Retry-After of over two minutes; does it
// get requests from that machine meanwhile?
func pause(r *rig, trouble bool) int {
	const (
		settle   = 500 * time.Millisecond
		few      = 2
		duration = 15 * time.Second
		gap      = 20 * time.Millisecond
	)
	wanted := "100"
	if trouble {
		wanted = "150"
	}
	r.store.Put("config", "main", map[string]any{
		"version": 3, "routes": []any{map[string]any{"name": "read", "host": "h", "pathPrefix": "/", "kind": "safe", "timeoutS": 2.5, "sloS": 0.8, "priority": 1, "service": "desk", "attempts": 2}},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/health", "maxConns": 130}},
		"limits":   map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": 1 << 20, "headerTimeoutS": 3, "idleTimeoutS": 10},
	})
	var mu sync.Mutex
	var refused time.Time
	asked, late, other := 0, 0, 0
	for i := range 3 {
		id, pauses := fmt.Sprintf("i-%d", i+1), i == 0
		r.addBackend(id, "desk", "z0", 6, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			request := q.Header.Get("Request-Id")
			w.Header().Set("Request-Id", request)
			if q.URL.Path == "/health" {
				w.Header().Set("Instance-Id", id)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			r.rec.add("arrived %s at %s", request, id)
			if !pauses {
				other++
				w.Header().Set("Response-Seal", id+"."+request)
				return
			}
			if asked++; refused.IsZero() {
				refused = time.Now()
			}
			if time.Since(refused) > settle {
				late++
				r.rec.add("WRONG %s arrived %d ms after the answer with Retry-After", request, time.Since(refused).Milliseconds())
			}
			w.Header().Set("Not-Executed", "1")
			w.Header().Set("Retry-After", wanted)
			w.WriteHeader(http.StatusServiceUnavailable)
			r.rec.add("answered %s 503 with Retry-After: %s at %s", request, wanted, id)
		}))
	}
	r.addNode("z0")
	r.awaitReady()
	time.Sleep(time.Second)
	for n, end := 0, time.Now().Add(duration); time.Now().Before(end); n++ {
		c, err := send(r.nodes[0].front, http.MethodGet, fmt.Sprintf("/%d", n), fmt.Sprintf("q%05d", n), 2500*time.Millisecond, 0)
		if err == nil {
			receive(c, http.MethodGet, 3*time.Second)
			_ = c.Close()
		}
		time.Sleep(gap)
	}
	mu.Lock()
	defer mu.Unlock()
	r.rec.verdict("%d requests at the two other backends, %d at the one that wants a pause of %s s, %d of them later than %v after it had said so", other, asked, wanted, late, settle)
	if asked == 0 || other == 0 {
		return unusable
	}
	if late > few {
		r.rec.verdict("BUDGET broken")
		return broken
	}
	r.rec.verdict("BUDGET held")
	return held
}
