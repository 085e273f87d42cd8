// Package ingress is the HTTP/1.1 front end for callers. Requests that a
// caller pipelines run side by side and are answered in order.
//
// net/http's Server runs the requests of a connection one after the other and
// does not read on while one runs, so pipelined requests would add up their
// waits. This package parses with net/http and replaces only the connection's
// loop.
package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Headers names the header fields between callers and godwitlock.
type Headers struct {
	RequestID string
	// DeadlineMS is how long the caller waits, in milliseconds.
	DeadlineMS string
	CallerKey  string
	// Key is the number that decides which server owns the request.
	Key string
}

// Request is a caller's request.
type Request struct {
	ID     string
	Method string
	// URI is the request target as the caller sent it; Path is its path.
	URI, Path string
	Host      string
	// Header holds the end-to-end fields but for the caller key.
	Header    http.Header
	CallerKey string
	// Key is valid when HasKey is set.
	Key    uint16
	HasKey bool
	// Arrived is when the head was complete; the caller leaves at Deadline,
	// which is zero when it named none.
	Arrived, Deadline time.Time
	// Body is the whole body; Stream replaces it for a long one.
	Body   []byte
	Stream io.Reader
	// Length is the length of Stream in bytes, -1 when unknown.
	Length int64
}

// Response is what a caller gets.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body; Stream replaces it for a long one and is closed
	// by the front end.
	Body   []byte
	Stream io.ReadCloser
	// Length is the length of Stream in bytes, -1 when unknown.
	Length int64
	// Abort closes the connection without an answer.
	Abort bool
	// OnWritten is called once with the outcome; it may be nil.
	OnWritten func(err error)
}

// Handler answers requests. The context ends when the caller is gone.
type Handler func(ctx context.Context, req *Request) *Response

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Limits in force until the configuration names its own.
var defaultLimits = Limits{
	HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second,
}

// Server accepts callers' connections.
type Server struct {
	headers  Headers
	handler  Handler
	limits   func() Limits
	draining atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
	wg    sync.WaitGroup
}

// NewServer returns a server. Limits is read for each request; fields that are
// zero have a default.
func NewServer(h Headers, handler Handler, limits func() Limits) *Server {
	return &Server{headers: h, handler: handler, limits: limits, conns: make(map[*conn]struct{})}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(lis net.Listener) error {
	for {
		nc, err := lis.Accept()
		if err != nil {
			return err
		}
		c := newConn(s, nc)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			c.serve()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

// Drain makes each further answer the last one of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections on which no request is being answered. A
// caller whose request crosses the close sees that it was not read.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.outstanding.Load() == 0 {
			c.interrupt()
		}
	}
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Wait waits until all connections have ended or ctx ends.
func (s *Server) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() { s.wg.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// effectiveLimits returns the limits in force.
func (s *Server) effectiveLimits() Limits {
	l := s.limits()
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultLimits.HeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultLimits.BodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultLimits.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultLimits.IdleTimeout
	}
	return l
}
