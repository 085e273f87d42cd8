package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// denied: a configuration raises the largest body; are requests that it allows refused on
// connections that were open before?
func denied(r *rig, trouble bool) int {
	const (
		clients      = 40
		small, large = 500, 20_000
		low, high    = 4_096, 1 << 20
		applyWithin  = 2 * time.Second // configApplyS
		rounds       = 4
	)
	configure := func(version, maxBody int) {
		route := func(name, prefix, kind string) map[string]any {
			return map[string]any{"name": name, "host": "h", "pathPrefix": prefix, "kind": kind, "timeoutS": 2.5, "sloS": 0.6, "priority": 2, "service": "ledger", "attempts": 2}
		}
		r.store.Put("config", "main", map[string]any{
			"version": version, "routes": []any{route("read", "/read/", "safe"), route("write", "/write/", "unsafe")},
			"services": []any{map[string]any{"name": "ledger", "healthPath": "/health", "maxConns": 130}},
			"limits":   map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": maxBody, "headerTimeoutS": 3, "idleTimeoutS": 20},
		})
		r.rec.add("acknowledged version %d with maxBodyBytes %d", version, maxBody)
	}
	first := high
	if trouble {
		first = low
	}
	configure(3, first)
	for i := range 4 {
		id := fmt.Sprintf("i-%d", i+1)
		r.addBackend(id, "ledger", "z"+strconv.Itoa(i%2), 12, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			request := q.Header.Get("Request-Id")
			w.Header().Set("Request-Id", request)
			if q.URL.Path == "/health" {
				w.Header().Set("Instance-Id", id)
				return
			}
			n, _ := io.Copy(io.Discard, q.Body)
			r.rec.add("began %s at %s with %d bytes", request, id, n)
			time.Sleep(100 * time.Millisecond)
			w.Header().Set("Response-Seal", id+"."+request)
			_, _ = io.WriteString(w, "done")
		}))
	}
	r.addNode("z0")
	r.addNode("z1")
	r.awaitReady()
	time.Sleep(time.Second)

	var mu sync.Mutex
	status, late, wrong := map[string]int{}, 0, 0
	n := 0
	request := func(c net.Conn, br *bufio.Reader, k int, phase string, size int) int {
		mu.Lock()
		n++
		id := fmt.Sprintf("%s-%05d", phase, n)
		mu.Unlock()
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		head := "POST /write/" + id + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 2500\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n"
		r.rec.add("sent %s to %s with %d bytes", id, r.nodes[k%2].name, size)
		if _, err := c.Write(append([]byte(head), make([]byte, size)...)); err != nil {
			r.rec.add("not sent %s: %v", id, err)
			return 0
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			r.rec.add("no answer %s: %v", id, err)
			return 0
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		r.rec.add("answered %s %d", id, resp.StatusCode)
		mu.Lock()
		defer mu.Unlock()
		status[phase+" "+strconv.Itoa(resp.StatusCode)]++
		return resp.StatusCode
	}
	changed := make(chan time.Time, clients)
	var ready, done sync.WaitGroup
	ready.Add(clients)
	for k := range clients {
		done.Go(func() {
			c, err := net.DialTimeout("tcp", r.nodes[k%2].front, time.Second)
			if err != nil {
				ready.Done()
				return
			}
			defer func() { _ = c.Close() }()
			br := bufio.NewReader(c)
			for range rounds {
				request(c, br, k, "before", small)
				time.Sleep(time.Duration(200+5*k) * time.Millisecond)
			}
			ready.Done()
			at := <-changed
			// Beyond configApplyS after the acknowledgement, the older version is no excuse.
			time.Sleep(time.Until(at.Add(applyWithin + time.Second)))
			got := request(c, br, k, "after", large)
			mu.Lock()
			late++
			if got >= 300 && got < 500 && got != 408 && got != 421 && got != 429 {
				wrong++
			}
			mu.Unlock()
		})
	}
	ready.Wait()
	if trouble {
		configure(7, high)
	}
	for range clients {
		changed <- time.Now()
	}
	done.Wait()
	mu.Lock()
	defer mu.Unlock()
	most := 5 + n/500
	r.rec.verdict("answers by status: %v", status)
	r.rec.verdict("%d requests were sent over %v after the acknowledgement; %d of them were refused with a 4xx of the system's own; more than %d break the rule", late, applyWithin, wrong, most)
	if late < clients {
		return unusable
	}
	if wrong > most {
		r.rec.verdict("DENIED broken")
		return broken
	}
	r.rec.verdict("DENIED held")
	return held
}
