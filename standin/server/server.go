// Package server is a stand-in for a backend server. It implements the protocol
// of docs/design.md section 6.4 over TCP, has faults that can be switched on,
// and records every execution, so that tests and measurements can check which
// requests really ran.
package server

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"godwitlock.example/godwitlock/topo"
)

// Options configures a stand-in. Fields with a default use it when they are
// zero.
type Options struct {
	ID topo.ServerID
	// Slots is the number of requests that run at once (default 4).
	Slots int
	// MaxConns is the maximum number of open connections (default 128).
	MaxConns int
	// ChecksGrants makes the server refuse requests without a valid grant of
	// their slice.
	ChecksGrants bool
	// ServiceTime is how long a request runs, unless its query sets work_ms.
	ServiceTime time.Duration
	// ColdRequests and ColdTime set the length of the cold start after a
	// boot. Capacity grows from one slot to Slots with the requests run or
	// with the time since the boot, whichever is further along. If both are
	// zero, there is no cold start.
	ColdRequests int
	ColdTime     time.Duration
	// SlowWhenCold makes a cold server slow down requests beyond its
	// capacity instead of refusing them.
	SlowWhenCold bool
	// IgnoresDeadline makes the server continue to run a request after
	// Request-Timeout-Ms, until the client disconnects.
	IgnoresDeadline bool
	// MaxRecords is the maximum number of records kept (default 1,048,576).
	MaxRecords int
}

const (
	defaultSlots      = 4
	defaultMaxConns   = 128
	defaultMaxRecords = 1 << 20
	// clockStart is the reading of the server's clock at boot. It is neither
	// 0 nor a date, so that it cannot be mistaken for the reading of another
	// clock.
	clockStart = 1_000_000 * time.Millisecond
)

// Record describes one execution of a request.
type Record struct {
	RequestID      string
	Customer       topo.CustomerID
	IdempotencyKey string
	Key            string
	Fence          string
	BootID         string
	Start, End     time.Time
	BodyBytes      int64
	BodySHA256     [32]byte
	// TimeoutMS is the Request-Timeout-Ms that came with the request.
	TimeoutMS string
	// Trailer is the request's trailer section.
	Trailer http.Header
	// Header is the request's whole header section.
	Header http.Header
	// Cancelled is true if the execution ended early because the client
	// disconnected or the deadline passed.
	Cancelled bool
}

// Stats holds counts since the stand-in was created.
type Stats struct {
	Executions uint64
	// Cancelled counts executions that ended early.
	Cancelled uint64
	// OverCapacity counts requests that arrived when the server was at
	// capacity.
	OverCapacity uint64
	// WithoutGrant counts requests that arrived without a valid grant.
	WithoutGrant uint64
	// RepeatedExecutions counts executions after the first one with the same
	// idempotency key of a customer.
	RepeatedExecutions uint64
	// ConnsRefused counts connections beyond the limit. PeakConns is the
	// highest number of connections at once.
	ConnsRefused uint64
	PeakConns    int
	PeakRunning  int
	// RecordsDropped counts records that were not kept because of
	// MaxRecords.
	RecordsDropped uint64
}

// Server is a stand-in for one backend server.
type Server struct {
	opt  Options
	http *http.Server
	addr string

	mu                sync.Mutex
	bootID            string
	bootedAt          time.Time
	lease             lease
	faults            faultState
	resumed           chan struct{}
	running           int
	requestsSinceCold int
	// coldSince is the start of the last cold start.
	coldSince                  time.Time
	conns                      int
	records                    []Record
	executionsByKey            map[string]int
	executionsByIdempotencyKey map[string]int
	stats                      Stats
	report                     report
	startTimes                 []time.Time
	lastID                     string
}

// New returns a stand-in. Serve runs it on a listener.
func New(opt Options) *Server {
	if opt.Slots == 0 {
		opt.Slots = defaultSlots
	}
	if opt.MaxConns == 0 {
		opt.MaxConns = defaultMaxConns
	}
	if opt.MaxRecords == 0 {
		opt.MaxRecords = defaultMaxRecords
	}
	s := &Server{opt: opt, executionsByKey: map[string]int{}, executionsByIdempotencyKey: map[string]int{}, resumed: make(chan struct{})}
	close(s.resumed)
	s.faults.SlowFactor = 1
	s.faults.LoadRunning = -1
	s.boot()
	s.http = &http.Server{Handler: s.handler(), Protocols: new(http.Protocols)}
	s.http.Protocols.SetHTTP1(true)
	return s
}

// Start starts a stand-in on a free loopback port.
func Start(opt Options) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := New(opt)
	go func() { _ = s.Serve(l) }()
	s.addr = l.Addr().String()
	return s, nil
}

// Serve accepts connections on l until Close.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(&limitedListener{Listener: l, server: s})
}

// Addr returns the host:port of a stand-in that was started with Start.
func (s *Server) Addr() string { return s.addr }

// Close stops the server and cuts all connections, as a crash does.
func (s *Server) Close() error { return s.http.Close() }

// Reboot simulates a reboot: the server loses its grants and its clock reading,
// gets a new boot id and starts cold.
func (s *Server) Reboot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boot()
}

func (s *Server) boot() {
	s.bootID = uuid.NewString()
	s.bootedAt = time.Now()
	s.coldSince = s.bootedAt
	s.requestsSinceCold = 0
	s.lease = lease{}
}

// clock returns the reading of the server's own clock. The caller holds mu.
func (s *Server) clock() time.Duration { return clockStart + time.Since(s.bootedAt) }

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/grant", s.control(s.grant))
	mux.HandleFunc("POST /control/renew", s.control(s.renew))
	mux.HandleFunc("POST /control/revoke", s.control(s.revoke))
	mux.HandleFunc("POST /control/claims", s.control(s.claims))
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("POST /faults", s.serveFaults)
	mux.HandleFunc("/", s.serveRequest)
	return mux
}

// Records returns the executions so far, in order of their start.
func (s *Server) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Record(nil), s.records...)
}

// ExecutionsForKey returns how many requests with the given key have been
// executed.
func (s *Server) ExecutionsForKey(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executionsByKey[key]
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// limitedListener closes connections beyond the limit.
type limitedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.acquireConn() {
			return &countedConn{Conn: c, server: l.server}, nil
		}
		_ = c.Close()
	}
}

func (s *Server) acquireConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns >= s.opt.MaxConns {
		s.stats.ConnsRefused++
		return false
	}
	s.conns++
	s.stats.PeakConns = max(s.stats.PeakConns, s.conns)
	return true
}

// countedConn decrements the number of connections when it is closed.
type countedConn struct {
	net.Conn
	server *Server
	once   sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		c.server.conns--
	})
	return c.Conn.Close()
}
