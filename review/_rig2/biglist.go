package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"time"

	"godwitlock.example/godwitlock/standin/platform/site"
)

// The disruption: another writer puts entries into kind "servers" that lack fields and are
// nearly as long as an object may be.
const (
	junkEntries = 24
	junkBytes   = 1_000_000
	// pageBytes and pageItems are the size of a page of a list, as the pages say.
	pageBytes, pageItems = 1 << 20, 500
	// recoverWithin is recoverS.
	recoverWithin = 15 * time.Second
)

// listed is an object as a list shows it.
type listed struct {
	name string
	text json.RawMessage
}

// listing is what a list shows.
type listing struct {
	Items   []json.RawMessage `json:"items"`
	HasMore bool              `json:"hasMore"`
	AtRev   uint64            `json:"atRev"`
}

// pagedStore answers lists in pages of about 1 MB, and everything else as store does. The
// pages after the first one show the state of the last first one.
type pagedStore struct {
	store http.Handler
	mu    sync.Mutex
	kinds map[string][]listed
	revs  map[string]uint64
}

// put writes an entry of a server. Lists of kind "servers" are kept until then, so that they
// are answered as fast as the pages say.
func (p *pagedStore) put(s *site.Store, name string, spec any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Put("servers", name, spec)
	delete(p.kinds, "servers")
}

// read reads all objects of a kind.
func (p *pagedStore) read(kind string) (out []listed, rev uint64) {
	for after, more := "", true; more; {
		rec := httptest.NewRecorder()
		p.store.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/objects/"+kind+"?after="+after, nil))
		var l listing
		if json.Unmarshal(rec.Body.Bytes(), &l) != nil {
			return out, rev
		}
		for _, it := range l.Items {
			var o struct{ Metadata struct{ Name string } }
			_ = json.Unmarshal(it, &o)
			out, after = append(out, listed{o.Metadata.Name, it}), o.Metadata.Name
		}
		if rev == 0 {
			rev = l.AtRev
		}
		more = l.HasMore
	}
	return out, rev
}

func (p *pagedStore) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	kind := strings.TrimPrefix(q.URL.Path, "/objects/")
	if q.Method != http.MethodGet || strings.Contains(kind, "/") || q.URL.Query().Has("watch") {
		p.store.ServeHTTP(w, q)
		return
	}
	after := q.URL.Query().Get("after")
	p.mu.Lock()
	if kind != "servers" || p.kinds[kind] == nil {
		p.kinds[kind], p.revs[kind] = p.read(kind)
	}
	objects := p.kinds[kind]
	out, size := listing{Items: []json.RawMessage{}, AtRev: p.revs[kind]}, 0
	p.mu.Unlock()
	for _, o := range objects {
		if o.name <= after {
			continue
		}
		if size >= pageBytes || len(out.Items) >= pageItems {
			out.HasMore = true
			break
		}
		out.Items, size = append(out.Items, o.text), size+len(o.text)
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"items":[`)
	for i, it := range out.Items {
		if i > 0 {
			fmt.Fprint(w, ",")
		}
		_, _ = w.Write(it)
	}
	fmt.Fprintf(w, `],"hasMore":%t,"atRev":%d}`, out.HasMore, out.AtRev)
}

// shares counts requests by phase.
type shares struct {
	mu     sync.Mutex
	sent   map[string]int
	served map[string]int
	phase  string
	status map[string]int
}

func (s *shares) set(phase string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase = phase
}

func (s *shares) client(r *rig, n int, addrs []string, done chan struct{}) {
	for i := n; ; i++ {
		select {
		case <-done:
			return
		default:
		}
		s.mu.Lock()
		phase := s.phase
		s.mu.Unlock()
		status := "none"
		if nc, err := net.DialTimeout("tcp", addrs[i%len(addrs)], time.Second); err == nil {
			_ = nc.SetDeadline(time.Now().Add(2500 * time.Millisecond))
			fmt.Fprintf(nc, "GET /read/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-%d-%d\r\nDeadline-Ms: 2500\r\n\r\n", n, i)
			if resp, err := http.ReadResponse(bufio.NewReader(nc), nil); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				status = resp.Status
			}
			_ = nc.Close()
		}
		s.mu.Lock()
		s.sent[phase]++
		s.status[phase+": "+status]++
		if status == "200 OK" {
			s.served[phase]++
		}
		s.mu.Unlock()
		r.note("%s: request r-%d-%d is answered %s", phase, n, i, status)
		time.Sleep(100 * time.Millisecond)
	}
}

func playBigList(r *rig, trouble bool) (bool, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	r.storeAddr = lis.Addr().String()
	paged := &pagedStore{store: r.store, kinds: map[string][]listed{}, revs: map[string]uint64{}}
	go func() { _ = http.Serve(lis, paged) }()
	r.putConfig(1, []any{service("desk", false)}, []any{route("read", "/read/", "safe", "desk", 2)}, nil)
	for i := range 6 {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		id := fmt.Sprintf("i-%d", i)
		go func() {
			_ = http.Serve(lis, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				request := q.Header.Get("Request-Id")
				w.Header().Set("Instance-Id", id)
				w.Header().Set("Request-Id", request)
				w.Header().Set("Keep-Alive", "timeout=10")
				w.Header().Set("Response-Seal", id+"."+request)
				w.Header().Set("Backend-Load", "1,0,6")
				if e := q.Header.Get("Expect-Instance"); e != "" && e != id {
					w.Header().Set("Not-Executed", "1")
					w.WriteHeader(http.StatusMisdirectedRequest)
					return
				}
				fmt.Fprintf(w, "%s %s", id, request)
			}))
		}()
		paged.put(r.store, id, entry("desk", lis.Addr().String(), "za", time.Now().UnixMilli()))
	}
	var addrs []string
	for i := range 3 {
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
	s := &shares{sent: map[string]int{}, served: map[string]int{}, status: map[string]int{}, phase: "before"}
	var clients sync.WaitGroup
	done := make(chan struct{})
	for n := range 6 {
		clients.Go(func() { s.client(r, n, addrs, done) })
	}
	time.Sleep(3 * time.Second)
	for i := range junkEntries {
		if trouble {
			paged.put(r.store, fmt.Sprintf("inventory-%02d", i), map[string]any{"service": "desk", "inventory": strings.Repeat("x", junkBytes)})
		}
		time.Sleep(300 * time.Millisecond)
	}
	if trouble {
		r.note("another writer has put %d entries of %d bytes into kind servers", junkEntries, junkBytes)
	}
	time.Sleep(2 * time.Second)
	s.set("recovering")
	for _, p := range r.procs {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range r.procs {
		<-p.exited
	}
	time.Sleep(time.Second)
	for _, p := range r.procs {
		if err := p.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(recoverWithin)
	s.set("after recoverS")
	time.Sleep(8 * time.Second)
	close(done)
	clients.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	before := float64(s.served["before"]) / float64(max(1, s.sent["before"]))
	after := float64(s.served["after recoverS"]) / float64(max(1, s.sent["after recoverS"]))
	r.note("answers: %v; served before the kill %.2f, later than recoverS after it %.2f (a quarter is required)", s.status, before, after)
	if before < 0.9 || s.sent["after recoverS"] < 20 {
		return false, fmt.Errorf("only %.2f were served before the kill, or only %d sent later than recoverS", before, s.sent["after recoverS"])
	}
	return after >= 0.25, nil
}

func init() { cases["biglist"] = playBigList }
