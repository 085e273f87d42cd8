package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"godwitlock.example/godwitlock/standin/platform/site"
)

// slow: many callers connect, send a part of a request and wait. Are ordinary clients served?
// PART=body: the head is whole and the body is missing. CALLERS: their number at each machine.
func slow(r *rig, trouble bool) int {
	const (
		clients  = 20
		gap      = 200 * time.Millisecond
		calm     = 5 * time.Second
		duration = 20 * time.Second
	)
	callers, err := strconv.Atoi(os.Getenv("CALLERS"))
	if err != nil {
		callers = 4000
	}
	part := "GET /orders/x HTTP/1.1\r\nHost: h\r\nX-Slow: "
	if os.Getenv("PART") == "body" {
		part = "POST /orders/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n"
	}
	r.store.Put("config", "main", map[string]any{
		"version":  3,
		"routes":   []any{map[string]any{"name": "robe-order", "host": "h", "pathPrefix": "/orders/", "kind": "unsafe", "timeoutS": 2.5, "sloS": 0.4, "priority": 1, "service": "order-desk", "attempts": 2}},
		"services": []any{map[string]any{"name": "order-desk", "healthPath": "/health", "maxConns": 120, "sharded": true}},
		"tenants":  []any{map[string]any{"name": "resort", "apiKeys": []string{"key-resort"}, "ratePerS": 500, "burst": 500}},
		"limits":   map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": 1 << 20, "headerTimeoutS": 3, "idleTimeoutS": 10},
	})
	for i := range 28 {
		s := &site.Server{
			ID: fmt.Sprintf("i-%d", i+1), Service: "order-desk", DataCentre: "z" + strconv.Itoa(i%2), StartedAtMs: time.Now().UnixMilli(),
			ServiceTime: 120 * time.Millisecond, MaxRunning: 6, Keyed: true,
			OnRun: func(run site.Run) { r.rec.add("began %s at %s", run.Request, run.Server) },
		}
		if err := s.Start(); err != nil {
			fail("backend: %v", err)
		}
		r.store.Put("servers", s.ID, s.StoreEntry())
	}
	r.addNode("z0")
	r.addNode("z1")
	r.awaitReady()
	time.Sleep(3 * time.Second)

	var over, crowded atomic.Bool
	var mu sync.Mutex
	var wg sync.WaitGroup
	status := map[bool]map[int]int{false: {}, true: {}}
	ready := map[bool]map[int]int{false: {}, true: {}}
	order := func(k, n int) {
		during, id, got := crowded.Load(), fmt.Sprintf("o%02d-%05d", k, n), -1
		if c, err := net.DialTimeout("tcp", r.nodes[k%2].front, 2500*time.Millisecond); err == nil {
			_, _ = io.WriteString(c, "POST /orders/"+id+" HTTP/1.1\r\nHost: h\r\nRequest-Id: "+id+"\r\nDeadline-Ms: 2500\r\nApi-Key: key-resort\r\nShard-Key: "+
				strconv.Itoa((k*997+n*101)%65536)+"\r\nContent-Length: 300\r\n\r\n"+strings.Repeat("x", 300))
			got = receive(c, http.MethodPost, 2500*time.Millisecond)
			_ = c.Close()
		}
		r.rec.add("order %s: %d", id, got)
		mu.Lock()
		defer mu.Unlock()
		status[during][got]++
	}
	for k := range clients {
		wg.Go(func() {
			for n := 0; !over.Load(); n++ {
				order(k, n)
				time.Sleep(gap)
			}
		})
	}
	probe := &http.Client{Timeout: time.Second}
	wg.Go(func() {
		for ; !over.Load(); time.Sleep(gap) {
			for _, p := range r.nodes {
				got := 0
				if resp, err := probe.Get("http://" + p.ready + "/ready"); err == nil {
					got = resp.StatusCode
					_ = resp.Body.Close()
				}
				mu.Lock()
				ready[crowded.Load()][got]++
				mu.Unlock()
			}
		}
	})
	time.Sleep(calm)
	crowded.Store(trouble)
	if trouble {
		for k := range callers * len(r.nodes) {
			wg.Go(func() {
				for !over.Load() {
					c, err := net.DialTimeout("tcp", r.nodes[k%2].front, time.Second)
					if err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					_, _ = io.WriteString(c, part)
					_ = c.SetReadDeadline(time.Now().Add(15 * time.Second))
					_, _ = io.Copy(io.Discard, c)
					_ = c.Close()
				}
			})
		}
	}
	time.Sleep(duration)
	over.Store(true)
	for _, p := range r.nodes {
		p.kill()
	}
	wg.Wait()
	r.rec.verdict("orders by status (0: no answer within 2.5 s, -1: no connection): before %v, with %d further callers at each machine %v", status[false], callers, status[true])
	r.rec.verdict("answers to GET /ready: before %v, with them %v", ready[false], ready[true])
	if trouble && status[true][200] < status[false][200] {
		r.rec.verdict("ordinary clients are hardly served")
		return broken
	}
	return held
}
