package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// lost: clients pipeline safe requests behind a download; backends break off some downloads.
// Are requests that were passed on to a sound backend answered?
func lost(r *rig, trouble bool) int {
	const (
		clients       = 64
		duration      = 72 * time.Second
		garblingShare = 0.5       // of the backends of the download service
		brokenShare   = 0.02      // of their answers
		pace          = 1_250_000 // bytes per second of an answer of the download service
		behind        = 5
		deadline      = 2500 * time.Millisecond
		most          = 3
		spell, every  = 5500 * time.Millisecond, 8 * time.Second // of broken answers
	)
	size := 500_000
	if s, err := strconv.Atoi(os.Getenv("ANSWER")); err == nil {
		size = s
	}
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{"name": name, "host": "h", "pathPrefix": prefix, "kind": kind, "timeoutS": 2.5, "sloS": 0.6, "priority": 2, "service": service, "attempts": 2}
	}
	service := func(name string) any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConns": 130}
	}
	r.store.Put("config", "main", map[string]any{
		"version": 1, "routes": []any{route("image", "/image/", "download", "depot"), route("read", "/read/", "safe", "ledger")},
		"services": []any{service("depot"), service("ledger")},
		"limits":   map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": 1 << 20, "headerTimeoutS": 3, "idleTimeoutS": 10},
	})
	var mu sync.Mutex
	began := map[string]string{}
	brokenOff, complete, image := map[string]bool{}, 0, make([]byte, size)
	for i := range 16 {
		name, work, garbles := "ledger", 220*time.Millisecond, false
		if i < 8 {
			name, work, garbles = "depot", 180*time.Millisecond, float64(i) < 8*garblingShare
		}
		id := fmt.Sprintf("i-%d", i+1)
		slots := make(chan struct{}, map[string]int{"depot": 6, "ledger": 12}[name])
		r.addBackend(id, name, "z"+strconv.Itoa(i%2), cap(slots), http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			request := q.Header.Get("Request-Id")
			w.Header().Set("Request-Id", request)
			if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != id {
				w.Header().Set("Not-Executed", "1")
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			if q.URL.Path == "/health" {
				w.Header().Set("Instance-Id", id)
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
			mu.Lock()
			began[request] = id
			mu.Unlock()
			r.rec.add("began %s at %s", request, id)
			select {
			case <-time.After(work):
			case <-q.Context().Done():
				r.rec.add("dropped %s at %s", request, id)
				return
			}
			w.Header().Set("Response-Seal", id+"."+request)
			w.Header().Set("Backend-Load", fmt.Sprintf("%d,0,%d", len(slots), cap(slots)))
			if name == "ledger" {
				_, _ = io.WriteString(w, strings.Repeat("v", 1500))
				r.rec.add("ran %s at %s", request, id)
				return
			}
			w.Header().Set("Content-Length", strconv.Itoa(size))
			if trouble && garbles && time.Since(r.rec.began)%every < spell && rand.Float64() < brokenShare {
				n := rand.IntN(size)
				writePaced(w, image[:n], pace)
				mu.Lock()
				brokenOff[request] = true
				mu.Unlock()
				r.rec.add("BROKE OFF %s at %s after %d of %d bytes", request, id, n, size)
				panic(http.ErrAbortHandler)
			}
			writePaced(w, image, pace)
			r.rec.add("ran %s at %s", request, id)
		}))
	}
	r.addNode("z0")
	r.addNode("z1")
	r.awaitReady()
	time.Sleep(time.Second)

	var wg sync.WaitGroup
	groups, answered, lostRequests, notPassedOn := 0, 0, 0, 0
	until := time.Now().Add(duration)
	for k := range clients {
		node := r.nodes[k%2]
		wg.Go(func() {
			var c net.Conn
			var br *bufio.Reader
			for n := 0; time.Now().Before(until); n++ {
				if c == nil {
					nc, err := net.DialTimeout("tcp", node.front, time.Second)
					if err != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
					c, br = nc, bufio.NewReaderSize(nc, 64<<10)
				}
				var ids []string
				text := ""
				for i := range 1 + behind {
					path := "/read/"
					if i == 0 {
						path = "/image/"
					}
					id := fmt.Sprintf("c%02d-%04d-%d", k, n, i)
					ids = append(ids, id)
					text += "GET " + path + id + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + strconv.Itoa(int(deadline.Milliseconds())) + "\r\n\r\n"
				}
				if _, err := io.WriteString(c, text); err != nil {
					_ = c.Close()
					c = nil
					continue
				}
				sent := time.Now()
				r.rec.add("sent %s to %s", strings.Join(ids, " "), node.name)
				_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
				got, closed, early := 0, false, false
				for _, id := range ids {
					resp, err := http.ReadResponse(br, nil)
					if err == nil {
						_, err = io.Copy(io.Discard, resp.Body)
					}
					if err != nil {
						r.rec.add("no complete answer %s: %v", id, err)
						// Near its deadline, a client would have left anyway.
						closed, early = true, time.Since(sent) < deadline-200*time.Millisecond
						break
					}
					r.rec.add("answered %s %d", id, resp.StatusCode)
					got++
					if resp.Close {
						// The requests behind count as not read.
						closed = true
						break
					}
				}
				time.Sleep(20 * time.Millisecond)
				mu.Lock()
				groups, answered = groups+1, answered+got
				if got == len(ids) {
					complete++
				}
				for i := max(1, got); i < len(ids) && early; i++ {
					// The first request's own backend may have broken off; those behind it
					// went to sound backends.
					if at, ok := began[ids[i]]; ok {
						lostRequests++
						r.rec.add("LOST %s was passed on to %s, and its connection closed without an answer", ids[i], at)
					} else {
						notPassedOn++
					}
				}
				mu.Unlock()
				if closed {
					_ = c.Close()
					c = nil
				}
				time.Sleep(time.Duration(400+rand.IntN(400)) * time.Millisecond)
			}
			if c != nil {
				_ = c.Close()
			}
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.rec.verdict("%d groups of %d requests, %d of them answered completely, %d answers; %d downloads broken off by their backend", groups, 1+behind, complete, answered, len(brokenOff))
	r.rec.verdict("%d requests were passed on to a sound backend and their connection closed without an answer; more than %d break the rule. %d had not been passed on", lostRequests, most, notPassedOn)
	if complete < groups/2 {
		return unusable
	}
	if lostRequests > most {
		r.rec.verdict("LOST broken")
		return broken
	}
	r.rec.verdict("LOST held")
	return held
}

// writePaced writes data at a rate in bytes per second.
func writePaced(w http.ResponseWriter, data []byte, rate int) {
	const block = 50_000
	for len(data) > 0 {
		n := min(block, len(data))
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		data = data[n:]
		time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
	}
}
