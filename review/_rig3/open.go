package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// open: a configuration takes the last tenant away; do requests run with its key, or without
// any?
func open(r *rig, trouble bool) int {
	const (
		clients      = 16
		revokeWithin = 5 * time.Second // revokeS
		duration     = 12 * time.Second
		gap          = 200 * time.Millisecond
	)
	configure := func(version int, tenants []any) {
		route := func(name, prefix, kind string) map[string]any {
			return map[string]any{"name": name, "host": "h", "pathPrefix": prefix, "kind": kind, "timeoutS": 2.5, "sloS": 0.6, "priority": 2, "service": "desk", "attempts": 2}
		}
		r.store.Put("config", "main", map[string]any{
			"version": version, "routes": []any{route("read", "/read/", "safe"), route("write", "/write/", "unsafe")},
			"services": []any{map[string]any{"name": "desk", "healthPath": "/health", "maxConns": 120}}, "tenants": tenants,
			"limits": map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": 1 << 20, "headerTimeoutS": 3, "idleTimeoutS": 10},
		})
		r.rec.add("acknowledged version %d with %d tenants", version, len(tenants))
	}
	tenant := func(name, key string) any {
		return map[string]any{"name": name, "apiKeys": []string{key}, "ratePerS": 500, "burst": 500}
	}
	// Without the disruption another tenant stays when the first one goes.
	both := []any{tenant("spa", "key-spa")}
	if !trouble {
		both = append(both, tenant("hotel", "key-hotel"))
	}
	configure(3, both)
	var mu sync.Mutex
	ran := map[string]bool{}
	for i := range 4 {
		id := fmt.Sprintf("i-%d", i+1)
		r.addBackend(id, "desk", "z"+strconv.Itoa(i%2), 12, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			request := q.Header.Get("Request-Id")
			w.Header().Set("Request-Id", request)
			if q.URL.Path == "/health" {
				w.Header().Set("Instance-Id", id)
				return
			}
			mu.Lock()
			ran[request] = true
			mu.Unlock()
			r.rec.add("began %s at %s for tenant %q", request, id, q.Header.Get("Tenant"))
			time.Sleep(50 * time.Millisecond)
			w.Header().Set("Response-Seal", id+"."+request)
			_, _ = io.WriteString(w, "done")
		}))
	}
	r.addNode("z0")
	r.addNode("z1")
	r.awaitReady()
	time.Sleep(time.Second)

	const withdrawn, unknown, none = "withdrawn", "unknown", "none"
	keys := map[string]string{withdrawn: "key-spa", unknown: "key-of-nobody", none: ""}
	late, status, n := map[string]int{}, map[string]int{}, 0
	ask := func(k int, kind string, acknowledged time.Time) {
		mu.Lock()
		n++
		id := fmt.Sprintf("%s-%05d", kind, n)
		mu.Unlock()
		c, err := net.DialTimeout("tcp", r.nodes[k%2].front, time.Second)
		if err != nil {
			r.rec.add("not sent %s: %v", id, err)
			return
		}
		defer func() { _ = c.Close() }()
		text := "POST /write/" + id + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 2500\r\nContent-Length: 0\r\n"
		if keys[kind] != "" {
			text += "Api-Key: " + keys[kind] + "\r\n"
		}
		sent := time.Now()
		r.rec.add("sent %s", id)
		if _, err := io.WriteString(c, text+"\r\n"); err != nil {
			return
		}
		got := receive(c, http.MethodPost, 3*time.Second)
		r.rec.add("answered %s %d", id, got)
		mu.Lock()
		defer mu.Unlock()
		phase := "before"
		if !acknowledged.IsZero() {
			phase = "after"
		}
		status[phase+" "+kind+" "+strconv.Itoa(got)]++
		if !acknowledged.IsZero() && sent.Sub(acknowledged) > revokeWithin && ran[id] {
			late[kind]++
			r.rec.add("WRONG %s ran, sent %d ms after the acknowledgement", id, sent.Sub(acknowledged).Milliseconds())
		}
	}
	play := func(d time.Duration, acknowledged time.Time) {
		var wg sync.WaitGroup
		for k := range clients {
			wg.Go(func() {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(gap) {
					ask(k, []string{withdrawn, withdrawn, unknown, none}[k%4], acknowledged)
				}
			})
		}
		wg.Wait()
	}
	play(3*time.Second, time.Time{})
	mu.Lock()
	served := status["before withdrawn 200"]
	mu.Unlock()
	rest := []any{}
	if !trouble {
		rest = both[1:]
	}
	configure(12, rest)
	play(duration, time.Now())
	mu.Lock()
	defer mu.Unlock()
	r.rec.verdict("answers by status: %v", status)
	r.rec.verdict("sent over %v after the acknowledgement and run: %d with the key that was taken away, %d with a key that no configuration held, %d without a key", revokeWithin, late[withdrawn], late[unknown], late[none])
	if served == 0 {
		return unusable
	}
	if late[withdrawn]+late[unknown]+late[none] > 0 {
		r.rec.verdict("CONFIG broken (API keys)")
		return broken
	}
	r.rec.verdict("CONFIG held")
	return held
}
