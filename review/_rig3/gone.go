package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// gone: clients leave before their deadline; does their work still reach a backend?
func gone(r *rig, trouble bool) int {
	const (
		rounds, perRound = 10, 30
		leaveEach        = 5 // one in five clients leaves
		leaveAfter       = 400 * time.Millisecond
		work             = 800 * time.Millisecond
		grace            = 500 * time.Millisecond
		few              = 5
	)
	size := 100_000
	if s, err := strconv.Atoi(os.Getenv("BODY")); err == nil {
		size = s
	}
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{"name": name, "host": "h", "pathPrefix": prefix, "kind": kind, "timeoutS": 5, "sloS": 2, "priority": 1, "service": "depot", "attempts": 2}
	}
	r.store.Put("config", "main", map[string]any{
		"version": 1, "routes": []any{route("read", "/read/", "safe"), route("write", "/write/", "unsafe")},
		"services": []any{map[string]any{"name": "depot", "healthPath": "/health", "maxConns": 130}},
		"limits":   map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": 4 << 20, "headerTimeoutS": 3, "idleTimeoutS": 10},
	})
	var mu sync.Mutex
	left, arrived, began, ended := map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
	note := func(m map[string]time.Time, id string) {
		mu.Lock()
		defer mu.Unlock()
		m[id] = time.Now()
	}
	for i := range 4 {
		id := fmt.Sprintf("i-%d", i+1)
		slots := make(chan struct{}, 3)
		r.addBackend(id, "depot", "z"+strconv.Itoa(i%2), cap(slots), http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			request := q.Header.Get("Request-Id")
			w.Header().Set("Request-Id", request)
			if q.Header.Get("Expect-Instance") != "" && q.Header.Get("Expect-Instance") != id {
				w.Header().Set("Not-Executed", "1")
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			if q.URL.Path == "/health" {
				w.Header().Set("Instance-Id", id)
				return
			}
			note(arrived, request)
			r.rec.add("arrived %s at %s", request, id)
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				r.rec.add("body cut %s at %s", request, id)
				return
			}
			select {
			case slots <- struct{}{}:
			default:
				w.Header().Set("Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			defer func() { <-slots }()
			note(began, request)
			r.rec.add("began %s at %s", request, id)
			select {
			case <-time.After(work):
				r.rec.add("ran %s at %s", request, id)
			case <-q.Context().Done():
				// Most backends drop a request when its connection closes.
				r.rec.add("dropped %s at %s", request, id)
				note(ended, request)
				return
			}
			note(ended, request)
			w.Header().Set("Response-Seal", id+"."+request)
			w.Header().Set("Backend-Load", fmt.Sprintf("%d,0,%d", len(slots), cap(slots)))
			_, _ = io.WriteString(w, "done")
		}))
	}
	r.addNode("z0")
	r.addNode("z1")
	r.awaitReady()
	time.Sleep(time.Second)

	var wg sync.WaitGroup
	status := map[int]int{}
	n := 0
	for range rounds {
		for k := range perRound {
			n++
			kind, leaves := []string{"read", "write"}[k%2], trouble && k/2%leaveEach == leaveEach-1
			id, node := fmt.Sprintf("%s-%04d", kind, n), r.nodes[k/2%2]
			wg.Go(func() {
				time.Sleep(time.Duration(k) * 2 * time.Millisecond)
				c, err := send(node.front, http.MethodPost, "/"+kind+"/"+id, id, 4500*time.Millisecond, size)
				if err != nil {
					r.rec.add("not sent %s: %v", id, err)
					return
				}
				defer func() { _ = c.Close() }()
				r.rec.add("sent %s to %s", id, node.name)
				if leaves {
					time.Sleep(leaveAfter)
					_ = c.Close()
					note(left, id)
					r.rec.add("left %s", id)
					return
				}
				got := receive(c, http.MethodPost, 5*time.Second)
				r.rec.add("answered %s %d", id, got)
				mu.Lock()
				defer mu.Unlock()
				status[got]++
			})
		}
		time.Sleep(3200 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(2 * time.Second)

	mu.Lock()
	defer mu.Unlock()
	late, lasting, stillAtWork, lateUnsafe := 0, 0, 0, 0
	for id, at := range left {
		if a, ok := arrived[id]; ok && a.Sub(at) > grace {
			late++
			if id[0] == 'w' {
				lateUnsafe++
			}
			r.rec.add("LATE %s reached a backend %d ms after its client had left", id, a.Sub(at).Milliseconds())
		}
		b, ok := began[id]
		if id[0] == 'r' && ok && b.Add(work).Sub(at) > grace {
			lasting++
			if e, ok := ended[id]; !ok || e.Sub(at) > grace {
				stillAtWork++
			}
		}
	}
	r.rec.verdict("%d requests, answers by status %v, %d clients left", n, status, len(left))
	r.rec.verdict("%d requests reached a backend over 0.5 s after their client had left (%d of them unsafe); more than %d break the rule", late, lateUnsafe, few)
	r.rec.verdict("%d of %d idempotent requests that would have lasted so long were still at work 0.5 s after their client had left; more than a quarter break the rule", stillAtWork, lasting)
	if status[http.StatusOK] < (n-len(left))/2 {
		return unusable
	}
	if late > few || 4*stillAtWork > lasting {
		r.rec.verdict("GONE broken")
		return broken
	}
	r.rec.verdict("GONE held")
	return held
}
