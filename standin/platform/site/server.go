package site

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one execution of a request at a server.
type Run struct {
	Server   string
	Request  string
	Customer string
	Key      int
	Method   string
	At       time.Time
}

// heldRange is a range of keys that a server holds under a grant.
type heldRange struct {
	from, to int
	fence    int64
	until    time.Time
}

// Server is a backend server of a service whose keys are divided among its
// servers. It is safe for concurrent use.
type Server struct {
	ID, Service, DataCentre string
	// Version is the version of the server's program, "v1" if it is empty.
	Version     string
	StartedAtMs int64
	// ServiceTime is how long a request takes.
	ServiceTime time.Duration
	// MaxRunning is the number of requests that the server runs at once; 0 means Slots.
	MaxRunning int
	// Keyed makes the server run only requests for keys that it holds.
	Keyed bool
	// OnRun, if set, is called at the start of each run. OnRunEnd, if set, is
	// called at its end: finished is false if the connection was closed
	// before the response was ready.
	OnRun    func(Run)
	OnRunEnd func(r Run, finished bool)
	// Fault, if set, returns whether a run ends with status 500, and how much longer
	// it takes.
	Fault func(Run) (fails bool, extra time.Duration)
	// OnRefused, if set, is called for each request that Refuse made the server
	// refuse.
	OnRefused func(request string)
	// OrderDelay, if set, returns the delay after which a grant or release
	// is applied without a response. For 0, it is applied and answered at
	// once.
	OrderDelay func() time.Duration
	// Respond, if set, may add to the head of each response that is not a refusal.
	Respond func(w http.ResponseWriter, r *http.Request)
	// DropResponse, if set, reports whether the response of a run is lost.
	DropResponse func() bool

	lis   net.Listener
	http  *http.Server
	slots chan struct{}

	mu           sync.Mutex
	heldRanges   []heldRange
	highestFence map[int]int64
	draining     bool
	leaving      bool
	pause        time.Duration
}

// Slots is the number of requests that a server runs at once unless MaxRunning is set.
const Slots = 3

// Request headers by which a caller selects how long a run takes beyond
// ServiceTime, in milliseconds, and how many lines the body of the response has.
const (
	HeaderWorkMS    = "Work-Ms"
	HeaderBodyLines = "Body-Lines"
)

// Start starts the server on a free loopback port.
func (s *Server) Start() error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.lis, s.slots, s.highestFence = lis, make(chan struct{}, s.slotCount()), make(map[int]int64)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /grant", s.grant)
	mux.HandleFunc("POST /release", s.release)
	mux.HandleFunc("/", s.run)
	s.http = &http.Server{Handler: mux}
	go func() { _ = s.http.Serve(lis) }()
	return nil
}

func (s *Server) slotCount() int {
	if s.MaxRunning > 0 {
		return s.MaxRunning
	}
	return Slots
}

// Addr returns the host:port on which the server listens.
func (s *Server) Addr() string { return s.lis.Addr().String() }

// Kill stops the server and cuts its connections at once.
func (s *Server) Kill() { _ = s.http.Close() }

// Entry returns the spec of the object that describes a ready server in the store.
func Entry(service, addr, dataCentre string, slots int) map[string]any {
	return map[string]any{
		"service": service, "addr": addr, "zone": dataCentre, "version": "v1", "slots": slots,
		"state": "ready", "warmupLeftS": 0, "seq": 1, "born": 0,
	}
}

// StoreEntry returns the spec of the object that describes the server in the
// store.
func (s *Server) StoreEntry() map[string]any {
	entry := Entry(s.Service, s.Addr(), s.DataCentre, s.slotCount())
	entry["born"] = s.StartedAtMs
	if s.Version != "" {
		entry["version"] = s.Version
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		entry["state"] = "draining"
	}
	return entry
}

// Drain makes StoreEntry report the server as draining.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Leave makes the server say in all its responses that it leaves. It goes on
// serving.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Refuse makes the server refuse all requests and ask each caller for a pause, or
// serve again for 0.
func (s *Server) Refuse(pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pause = pause
}

// notice writes what the server says about itself to a response's header. It
// returns the pause that the server wants.
func (s *Server) notice(h http.Header) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		h.Set("Server-Leaving", "1")
	}
	return s.pause
}

type ownershipOrder struct {
	From  int     `json:"from"`
	To    int     `json:"target"`
	Fence int64   `json:"fence"`
	HoldS float64 `json:"holdS"`
}

// delayOrder schedules apply and aborts the response if OrderDelay returns a
// delay.
func (s *Server) delayOrder(apply func()) {
	if s.OrderDelay == nil {
		return
	}
	if d := s.OrderDelay(); d > 0 {
		time.AfterFunc(d, apply)
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	s.notice(w.Header())
	var o ownershipOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.From > o.To {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	arrived := time.Now()
	s.delayOrder(func() { s.applyGrant(o, arrived) })
	if !s.applyGrant(o, arrived) {
		w.WriteHeader(http.StatusConflict)
	}
}

// applyGrant applies a grant and returns true. It returns false if one of the
// held ranges that it overlaps has a higher fence, or if its first or last key
// has seen a higher fence.
func (s *Server) applyGrant(o ownershipOrder, arrived time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range []int{o.From, o.To} {
		if s.highestFence[k] > o.Fence {
			return false
		}
	}
	for _, h := range s.heldRanges {
		if h.from <= o.To && o.From <= h.to && h.fence > o.Fence {
			return false
		}
	}
	s.removeKeys(o.From, o.To)
	s.highestFence[o.From], s.highestFence[o.To] = o.Fence, o.Fence
	until := arrived.Add(time.Duration(o.HoldS * float64(time.Second)))
	s.heldRanges = append(s.heldRanges, heldRange{o.From, o.To, o.Fence, until})
	return true
}

// removeKeys removes the keys from..to from the held ranges. The caller holds
// mu.
func (s *Server) removeKeys(from, to int) {
	var kept []heldRange
	for _, h := range s.heldRanges {
		if h.to < from || h.from > to {
			kept = append(kept, h)
			continue
		}
		if h.from < from {
			kept = append(kept, heldRange{h.from, from - 1, h.fence, h.until})
		}
		if h.to > to {
			kept = append(kept, heldRange{to + 1, h.to, h.fence, h.until})
		}
	}
	s.heldRanges = kept
}

func (s *Server) release(w http.ResponseWriter, r *http.Request) {
	s.notice(w.Header())
	var o ownershipOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	apply := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.removeKeys(o.From, o.To)
	}
	s.delayOrder(apply)
	apply()
	// Respond only after ServiceTime, when the short requests in flight have ended.
	time.Sleep(s.ServiceTime)
	w.Header().Set("Handover", fmt.Sprintf("%s-%d-%d-%d", s.ID, o.From, o.To, o.Fence))
}

// HoldsKey reports whether the server holds a key at the given time.
func (s *Server) HoldsKey(key int, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.heldRanges {
		if h.from <= key && key <= h.to && at.Before(h.until) {
			return true
		}
	}
	return false
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=10")
	pause := s.notice(w.Header())
	key, _ := strconv.Atoi(r.Header.Get("Shard-Key"))
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Header.Get("Expect-Instance") != s.ID || s.Keyed && !s.HoldsKey(key, time.Now()) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if pause > 0 {
		if s.OnRefused != nil {
			s.OnRefused(id)
		}
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.slots <- struct{}{}:
	default:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	run := Run{Server: s.ID, Request: id, Customer: r.Header.Get("Tenant"), Key: key, Method: r.Method, At: time.Now()}
	if s.OnRun != nil {
		s.OnRun(run)
	}
	fails, extra := false, time.Duration(0)
	if s.Fault != nil {
		fails, extra = s.Fault(run)
	}
	finished := s.work(r, extra)
	if s.OnRunEnd != nil {
		s.OnRunEnd(run, finished)
	}
	if !finished || s.DropResponse != nil && s.DropResponse() {
		panic(http.ErrAbortHandler)
	}
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if s.Respond != nil {
		s.Respond(w, r)
	}
	w.Header().Set("Response-Seal", s.ID+"."+id)
	w.Header().Set("Backend-Load", fmt.Sprintf("%d,0,%d", len(s.slots), s.slotCount()))
	lines, _ := strconv.Atoi(r.Header.Get(HeaderBodyLines))
	_, _ = io.WriteString(w, Body(s.ID, id, lines))
}

// work takes as long as the request asks for, and the extra time. It returns false as soon as the
// connection of the request is closed.
func (s *Server) work(r *http.Request, extra time.Duration) bool {
	ms, _ := strconv.Atoi(r.Header.Get(HeaderWorkMS))
	timer := time.NewTimer(s.ServiceTime + extra + time.Duration(ms)*time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// Body returns the body of the response of a server to a request that asked for
// the given number of lines; 0 is one line without a line break.
func Body(server, request string, lines int) string {
	line := server + " " + request
	if lines == 0 {
		return line
	}
	return strings.Repeat(line+"\n", lines)
}
