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
	"time"
)

// orders is the record of orders: unsafe requests of clients that follow the pages.
type orders struct {
	r  *rig
	mu sync.Mutex
	// ran holds, by request id, the servers that began to work on the request and the
	// status that each gave; made holds how often each order ran.
	ran    map[string][]string
	made   map[string]int
	answer map[int]int
	// failing says whether the server in trouble fails a part of its requests now.
	failing bool
	broken  int
	sent    int
}

// The disruption: one server of eight fails 0.45 of its requests for 6.5 s.
const (
	orderServers   = 8
	failShare      = 0.45
	failFor        = 6500 * time.Millisecond
	orderWork      = 40 * time.Millisecond
	orderDeadline  = 3 * time.Second
	orderClients   = 8
	orderTimeoutS  = 1.5
	calm, playTime = 3 * time.Second, 15 * time.Second
)

// serve is a sound backend server, but that it fails requests while failing is set.
func (o *orders) serve(id string, lis net.Listener, trouble bool) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/health" {
			w.Header().Set("Instance-Id", id)
			return
		}
		request := q.Header.Get("Request-Id")
		w.Header().Set("Request-Id", request)
		w.Header().Set("Keep-Alive", "timeout=10")
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if q.Header.Get("Expect-Instance") != id {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		o.mu.Lock()
		fails := trouble && o.failing && rand.Float64() < failShare
		status := http.StatusOK
		if fails {
			status = http.StatusServiceUnavailable
		}
		// The server begins to work here: the request has run.
		o.ran[request] = append(o.ran[request], fmt.Sprintf("%s gives %d", id, status))
		o.made[string(body)]++
		o.mu.Unlock()
		o.r.note("%s runs request %s (%s), and will answer %d", id, request, body, status)
		time.Sleep(orderWork)
		w.Header().Set("Response-Seal", id+"."+request)
		w.Header().Set("Backend-Load", "1,0,6")
		w.WriteHeader(status)
		fmt.Fprintf(w, "%s %s", id, request)
	})
	_ = http.Serve(lis, handler)
}

// attempt sends an order once on a connection of its own. It returns the status, 0 if
// there is no answer, and whether the answer is the backend's.
func (o *orders) attempt(addr, request, order string, left time.Duration) (status int, sealed bool) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, false
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(left))
	fmt.Fprintf(nc, "POST /write/order HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: key1\r\nContent-Length: %d\r\n\r\n%s",
		request, left.Milliseconds(), len(order), order)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("Response-Seal") != ""
}

// client sends one order after the other. After a promise that an order has not run, it
// sends the order once more, as the pages say, with a new id.
func (o *orders) client(n int, addrs []string, until time.Time) {
	for i := 0; time.Now().Before(until); i++ {
		order, begin := fmt.Sprintf("order-%d-%d", n, i), time.Now()
		for try := range 2 {
			request := fmt.Sprintf("%s-try-%d", order, try+1)
			status, sealed := o.attempt(addrs[(n+try)%len(addrs)], request, order, orderDeadline-time.Since(begin))
			o.mu.Lock()
			o.sent++
			o.answer[status]++
			promised := status == 429 || status == 503 || status == 408 || status == 421
			if ran := o.ran[request]; promised && len(ran) > 0 {
				o.broken++
				o.r.note("REFUSED: request %s is answered %d (seal %v) and has run: %s", request, status, sealed, strings.Join(ran, ", "))
			}
			o.mu.Unlock()
			o.r.note("request %s is answered %d", request, status)
			if !promised {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func playFailed503(r *rig, trouble bool) (bool, error) {
	o := &orders{r: r, ran: map[string][]string{}, made: map[string]int{}, answer: map[int]int{}}
	// Those of lumenfolha-gw-grown, where servers may fail a part of their requests.
	r.contracts = `"base","drain","config","cost","retry","recover","health","pool","own","places","tenants","quota","platform"`
	r.putConfig(1, []any{service("desk", false)}, []any{route("order", "/write/", "unsafe", "desk", orderTimeoutS)},
		[]any{map[string]any{"name": "ten", "apiKeys": []string{"key1"}}})
	for i := range orderServers {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		id := fmt.Sprintf("i-%d", i)
		go o.serve(id, lis, trouble && i == 0)
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
	begin := time.Now()
	var clients sync.WaitGroup
	for n := range orderClients {
		clients.Go(func() { o.client(n, addrs, begin.Add(playTime)) })
	}
	time.Sleep(calm)
	o.set(true)
	r.note("server i-0 begins to fail %v of its requests (trouble %v)", failShare, trouble)
	time.Sleep(failFor)
	o.set(false)
	r.note("server i-0 is sound again")
	clients.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	twice := 0
	for _, n := range o.made {
		if n > 1 {
			twice++
		}
	}
	r.note("%d requests sent, answers by status %v; %d answered 429 or 503 that have run; %d orders made twice by clients that trusted the answer", o.sent, o.answer, o.broken, twice)
	if o.answer[200] < 100 {
		return false, fmt.Errorf("only %d requests were served", o.answer[200])
	}
	return o.broken == 0, nil
}

func (o *orders) set(failing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failing = failing
}

func init() { cases["failed503"] = playFailed503 }
