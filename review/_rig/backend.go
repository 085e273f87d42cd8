package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const keyCount = 1 << 16

// backend is a stand-in of a backend server as PROTOCOL.md describes it: it runs a
// request only while it holds the key, and keeps grants, fences and leases for each key.
type backend struct {
	rig              *rig
	id, service      string
	zone             string
	born             int64
	slots            int
	work             time.Duration
	bodyBytes        int
	keyed            bool
	spoil            func(id string) bool // break the answer off midway
	lis              net.Listener
	srv              *http.Server
	raw              *rawServer // serves in place of srv
	seq              atomic.Int64
	mu               sync.Mutex
	fence            [keyCount]int64 // highest fence seen
	held             [keyCount]int64 // fence of the hold, 0 if none
	until            [keyCount]time.Time
	running          map[int]int
	ended            *sync.Cond
	granted          [keyCount]time.Time // end of the last hold, released or not
	handovers, inUse int
	coldUntil        time.Time
	arrivals         []time.Time // when the requests were sent that came while it was cold
	mostCold         int
}

func (b *backend) start() error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.lis, b.running = lis, make(map[int]int)
	b.ended = sync.NewCond(&b.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /grant", b.grant)
	mux.HandleFunc("POST /release", b.release)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Instance-Id", b.id)
		w.Header().Set("Cold-Ms", strconv.FormatInt(b.coldLeft().Milliseconds(), 10))
	})
	mux.HandleFunc("/", b.serve)
	if b.raw != nil {
		b.raw.handler, b.raw.lis = mux, lis
		go b.raw.serve()
		return nil
	}
	b.srv = &http.Server{Handler: mux}
	go func() { _ = b.srv.Serve(lis) }()
	return nil
}

func (b *backend) entry() map[string]any {
	return map[string]any{
		"service": b.service, "addr": b.lis.Addr().String(), "zone": b.zone, "version": "v1", "slots": b.slots,
		"state": "ready", "warmupLeftS": b.coldLeft().Seconds(), "seq": b.seq.Add(1), "born": b.born,
	}
}

// coldLeft returns for how long the backend stays cold.
func (b *backend) coldLeft() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, time.Until(b.coldUntil))
}

type order struct {
	From   int     `json:"from"`
	Target int     `json:"target"`
	Fence  int64   `json:"fence"`
	HoldS  float64 `json:"holdS"`
}

func readOrder(r *http.Request) (order, bool) {
	var o order
	err := json.NewDecoder(r.Body).Decode(&o)
	return o, err == nil && o.From >= 0 && o.From <= o.Target && o.Target < keyCount
}

func (b *backend) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	o, ok := readOrder(r)
	if !ok || o.HoldS <= 0 || o.HoldS > 10 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	for k := o.From; k <= o.Target; k++ {
		if b.fence[k] > o.Fence {
			b.mu.Unlock()
			b.rig.note("refused 409", b.id, "grant %d-%d fence %d", o.From, o.Target, o.Fence)
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	until, first := arrived.Add(time.Duration(o.HoldS*float64(time.Second))), false
	for k := o.From; k <= o.Target; k++ {
		first = first || b.held[k] != o.Fence || b.until[k].Before(arrived)
		b.fence[k], b.held[k], b.until[k], b.granted[k] = o.Fence, o.Fence, until, until
	}
	b.mu.Unlock()
	b.rig.owners.atWork(b, o)
	if first {
		b.rig.note("granted", b.id, "keys %d-%d fence %d hold %.1fs", o.From, o.Target, o.Fence, o.HoldS)
	}
	b.rig.owners.granted(b, o, first)
}

func (b *backend) release(w http.ResponseWriter, r *http.Request) {
	o, ok := readOrder(r)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	for k := o.From; k <= o.Target; k++ {
		b.held[k] = 0
	}
	for b.runs(o.From, o.Target) {
		b.ended.Wait()
	}
	b.handovers++
	h := fmt.Sprintf("%s-%d", b.id, b.handovers)
	b.mu.Unlock()
	b.rig.note("released", b.id, "keys %d-%d fence %d", o.From, o.Target, o.Fence)
	w.Header().Set("Handover", h)
}

// runs reports whether work runs on the keys. The caller holds mu.
func (b *backend) runs(first, last int) bool {
	for k := range b.running {
		if k >= first && k <= last {
			return true
		}
	}
	return false
}

// holds reports whether the backend holds a key. The caller holds mu.
func (b *backend) holds(k int, now time.Time) bool { return b.held[k] != 0 && now.Before(b.until[k]) }

func (b *backend) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=10")
	_, _ = io.Copy(io.Discard, r.Body)
	key, _ := strconv.Atoi(r.Header.Get("Shard-Key"))
	b.mu.Lock()
	switch {
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != b.id, b.keyed && !b.holds(key, time.Now()):
		b.mu.Unlock()
		b.refuse(w, http.StatusMisdirectedRequest)
		return
	case b.inUse >= b.slots+12:
		b.mu.Unlock()
		b.refuse(w, http.StatusServiceUnavailable)
		return
	}
	b.inUse++
	b.running[key]++
	b.mu.Unlock()
	b.rig.ran(b, id, key, r)
	if b.countCold(id) {
		b.rig.note("crashes", b.id, "too many requests while it is cold")
		go func() { _ = b.srv.Close() }()
	}
	time.Sleep(b.work)
	b.mu.Lock()
	b.inUse--
	if b.running[key]--; b.running[key] == 0 {
		delete(b.running, key)
	}
	b.ended.Broadcast()
	b.mu.Unlock()
	body := bodyOf(b.id, id, b.bodyBytes)
	w.Header().Set("Response-Seal", b.id+"."+id)
	w.Header().Set("Backend-Load", fmt.Sprintf("%d,0,%d", b.inUse, b.slots))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if b.spoil != nil && b.spoil(id) {
		b.rig.note("broke off", b.id, "answer to %s", id)
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func bodyOf(server, id string, size int) []byte {
	line := server + " " + id + "\n"
	out := []byte(line)
	for len(out) < size {
		out = append(out, line...)
	}
	return out
}
