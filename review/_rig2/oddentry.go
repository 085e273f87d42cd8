package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The disruption: another writer puts an entry in which fields are missing in place of that
// of one of the two servers of service "pattern", oddWrites times, a second apart. The server
// writes its own entry again with each heartbeat.
const (
	oddWrites     = 8
	beat          = 870 * time.Millisecond
	deskServers   = 4
	oddClients    = 6
	oddCalm       = 3 * time.Second
	oddTail       = 3 * time.Second
	patternServer = "p-0"
)

// oddCase is the record of the case.
type oddCase struct {
	r  *rig
	mu sync.Mutex
	// at holds, by request id, the servers that ran it; strayed counts the requests of the
	// route of service "desk" that a server of service "pattern" ran.
	at      map[string][]string
	strayed int
	answers map[string]int
}

func (o *oddCase) serve(id, svc string, lis net.Listener) {
	_ = http.Serve(lis, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/health" {
			w.Header().Set("Instance-Id", id)
			return
		}
		request := q.Header.Get("Request-Id")
		w.Header().Set("Request-Id", request)
		w.Header().Set("Keep-Alive", "timeout=10")
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if q.Header.Get("Expect-Instance") != id {
			o.r.note("%s (%s) answers 421 to request %s, sent to %q", id, svc, request, q.Header.Get("Expect-Instance"))
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		desk := strings.HasPrefix(q.URL.Path, "/order/")
		o.mu.Lock()
		o.at[request] = append(o.at[request], id)
		if desk && svc != "desk" {
			o.strayed++
		}
		o.mu.Unlock()
		if desk && svc != "desk" {
			o.r.note("ROUTE: %s of service %s runs request %s for %s, which every configuration sends to service desk", id, svc, request, q.URL.Path)
		}
		time.Sleep(30 * time.Millisecond)
		w.Header().Set("Response-Seal", id+"."+request)
		w.Header().Set("Backend-Load", "1,0,6")
		fmt.Fprintf(w, "%s %s", id, request)
	}))
}

func (o *oddCase) client(n int, addr string, until time.Time) {
	for i := 0; time.Now().Before(until); i++ {
		method, path, body := "POST", "/order/x", "order"
		if i%3 == 0 {
			method, path, body = "GET", "/pack/x", ""
		}
		id := fmt.Sprintf("r-%d-%d", n, i)
		nc, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			continue
		}
		_ = nc.SetDeadline(time.Now().Add(3 * time.Second))
		fmt.Fprintf(nc, "%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\nApi-Key: key1\r\nContent-Length: %d\r\n\r\n%s", method, path, id, len(body), body)
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		status := "none"
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			status = resp.Status
		}
		_ = nc.Close()
		o.mu.Lock()
		o.answers[path+" "+status]++
		ran := strings.Join(o.at[id], ", ")
		o.mu.Unlock()
		o.r.note("request %s for %s is answered %s, run by %s", id, path, status, ran)
		time.Sleep(20 * time.Millisecond)
	}
}

func playOddEntry(r *rig, trouble bool) (bool, error) {
	o := &oddCase{r: r, at: map[string][]string{}, answers: map[string]int{}}
	r.putConfig(1, []any{service("desk", false), service("pattern", false)},
		[]any{route("order", "/order/", "unsafe", "desk", 2.5), route("pack", "/pack/", "safe", "pattern", 2)},
		[]any{map[string]any{"name": "ten", "apiKeys": []string{"key1"}}})
	stop := make(chan struct{})
	defer close(stop)
	var odd map[string]any
	start := func(id, svc string) error {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		born := time.Now().UnixMilli()
		go o.serve(id, svc, lis)
		if id == patternServer {
			odd = entry("desk", lis.Addr().String(), "za", born)
			delete(odd, "version")
			delete(odd, "warmupLeftS")
			delete(odd, "born")
		}
		go func() {
			for seq := 1; ; seq++ {
				e := entry(svc, lis.Addr().String(), "za", born)
				e["seq"] = seq
				r.store.Put("servers", id, e)
				select {
				case <-stop:
					return
				case <-time.After(beat):
				}
			}
		}()
		return nil
	}
	for i := range deskServers {
		if err := start(fmt.Sprintf("d-%d", i), "desk"); err != nil {
			return false, err
		}
	}
	for _, id := range []string{patternServer, "p-1"} {
		if err := start(id, "pattern"); err != nil {
			return false, err
		}
	}
	var addrs []string
	for i := range 2 {
		p, err := r.startNode(fmt.Sprintf("vm-%d", i), "za", true)
		if err != nil {
			return false, err
		}
		addrs = append(addrs, p.front)
	}
	for _, p := range r.procs {
		if err := p.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	until := time.Now().Add(oddCalm + oddWrites*time.Second + oddTail)
	var clients sync.WaitGroup
	for n := range oddClients {
		clients.Go(func() { o.client(n, addrs[n%2], until) })
	}
	time.Sleep(oddCalm)
	for range oddWrites {
		if trouble {
			r.note("another writer puts %s in place of the entry of %s", mustJSON(odd), patternServer)
			r.store.Put("servers", patternServer, odd)
		}
		time.Sleep(time.Second)
	}
	clients.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	r.note("answers: %v; %d requests for service desk run by a server of service pattern", o.answers, o.strayed)
	if o.answers["/order/x 200 OK"] < 100 {
		return false, fmt.Errorf("only %d orders were served", o.answers["/order/x 200 OK"])
	}
	return o.strayed == 0, nil
}

func init() { cases["oddentry"] = playOddEntry }
