package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The disruption: callers that stay inside no limits. For crowdFor, crowd of them at a time
// connect, send a request up to its last bytes, and close after crowdAge.
const (
	crowd         = 1300
	crowdFor      = 8 * time.Second
	crowdAge      = 850 * time.Millisecond
	crowdBody     = 65000
	crowdCalm     = 4 * time.Second
	crowdTail     = 4 * time.Second
	crowdServers  = 12
	usualClients  = 40
	usualBody     = 8000
	maxLostAnswer = 3
)

// crowdCase is the record of the case.
type crowdCase struct {
	r  *rig
	mu sync.Mutex
	// ran holds the servers that began to work on a request.
	ran     map[string]string
	lost    int
	answers map[string]int
	hogs    atomic.Int64
	refused atomic.Int64
}

func (c *crowdCase) serve(id string, lis net.Listener) {
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
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		c.mu.Lock()
		c.ran[request] = id
		c.mu.Unlock()
		c.r.note("%s runs request %s", id, request)
		time.Sleep(200*time.Millisecond + time.Duration(rand.IntN(1300))*time.Millisecond)
		w.Header().Set("Response-Seal", id+"."+request)
		w.Header().Set("Backend-Load", "1,0,6")
		fmt.Fprintf(w, "%s %s", id, request)
	}))
}

// usual is an ordinary client. It keeps its connection.
func (c *crowdCase) usual(n int, addr string, until time.Time) {
	body := strings.Repeat("x", usualBody)
	for i := 0; time.Now().Before(until); {
		nc, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		br := bufio.NewReader(nc)
		for time.Now().Before(until) {
			i++
			id := fmt.Sprintf("u-%d-%d", n, i)
			begin := time.Now()
			_ = nc.SetDeadline(begin.Add(4 * time.Second))
			_, werr := fmt.Fprintf(nc, "POST /order/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nApi-Key: key1\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
			resp, err := http.ReadResponse(br, nil)
			status := "none"
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				status = resp.Status
			}
			c.mu.Lock()
			c.answers[status]++
			ran, passed := c.ran[id]
			if err != nil && passed {
				c.lost++
				c.r.note("LOST: request %s ran at %s; its kept connection ends without an answer %v after it was sent: %v", id, ran, time.Since(begin).Round(time.Millisecond), err)
			}
			c.mu.Unlock()
			c.r.note("request %s is answered %s after %v (%v)", id, status, time.Since(begin).Round(time.Millisecond), werr)
			if err != nil || resp.Close {
				break
			}
			if resp.StatusCode != http.StatusOK {
				time.Sleep(200 * time.Millisecond)
			}
			time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
		}
		_ = nc.Close()
	}
}

// hog is a caller that stays inside no limits.
func (c *crowdCase) hog(n int, addr string, until time.Time) {
	time.Sleep(time.Duration(n) * crowdAge / crowd)
	out := []byte(fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: hog\r\nDeadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s", crowdBody, strings.Repeat("x", crowdBody-100)))
	for time.Now().Before(until) {
		begin := time.Now()
		nc, err := net.DialTimeout("tcp", addr, crowdAge)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		c.hogs.Add(1)
		_ = nc.SetDeadline(begin.Add(crowdAge))
		_, _ = nc.Write(out)
		if n, _ := nc.Read(make([]byte, 64)); n > 0 || time.Since(begin) < crowdAge {
			c.refused.Add(1)
		}
		time.Sleep(crowdAge - time.Since(begin))
		_ = nc.Close()
	}
}

func playCrowdLost(r *rig, trouble bool) (bool, error) {
	c := &crowdCase{r: r, ran: map[string]string{}, answers: map[string]int{}}
	r.putConfig(1, []any{service("desk", false)}, []any{route("order", "/order/", "unsafe", "desk", 2.5)},
		[]any{map[string]any{"name": "ten", "apiKeys": []string{"key1"}}})
	for i := range crowdServers {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		id := fmt.Sprintf("i-%d", i)
		go c.serve(id, lis)
		r.store.Put("servers", id, entry("desk", lis.Addr().String(), "za", time.Now().UnixMilli()))
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
	until := time.Now().Add(crowdCalm + crowdFor + crowdTail)
	var clients sync.WaitGroup
	for n := range usualClients {
		clients.Go(func() { c.usual(n, addrs[n%2], until) })
	}
	time.Sleep(crowdCalm)
	if trouble {
		r.note("%d callers that stay inside no limits come to vm-0", crowd)
		end := time.Now().Add(crowdFor)
		for n := range crowd {
			clients.Go(func() { c.hog(n, addrs[0], end) })
		}
	}
	time.Sleep(crowdFor)
	r.note("they are gone: %d connections, of which %d were refused", c.hogs.Load(), c.refused.Load())
	clients.Wait()
	r.note("peak memory of vm-0: %s", r.procs[0].peakMemory())
	c.mu.Lock()
	defer c.mu.Unlock()
	r.note("answers to ordinary clients: %v; %d requests that sound servers had were lost with their kept connections (at most %d are allowed)", c.answers, c.lost, maxLostAnswer)
	if c.answers["200 OK"] < 100 {
		return false, fmt.Errorf("only %d requests were served", c.answers["200 OK"])
	}
	return c.lost <= maxLostAnswer, nil
}

func init() { cases["crowdlost"] = playCrowdLost }
