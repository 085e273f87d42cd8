// Package ingress is the HTTP/1.1 front end for callers. The pipelined requests
// of a connection run concurrently and are answered in order.
//
// net/http's Server runs the requests of a connection sequentially and does not
// read the next one until the current one is answered, so the latencies of
// pipelined requests would add up. This package parses requests with net/http
// and replaces only the loop that serves a connection.
package ingress

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"godwitlock.example/godwitlock/accept"
	"godwitlock.example/godwitlock/membudget"
)

// Headers holds the names of the header fields that callers and godwitlock
// exchange.
type Headers struct {
	RequestID string
	// DeadlineMS carries the time that the caller will wait, in milliseconds.
	DeadlineMS string
	CallerKey  string
	// Key carries the sharding key, a number that determines which server
	// handles the request.
	Key string
}

// Request is a request as received from a caller.
type Request struct {
	ID     string
	Method string
	// URI is the request target as the caller sent it; Path is its path.
	URI, Path string
	Host      string
	// Header holds the end-to-end fields except the caller key.
	Header    http.Header
	CallerKey string
	// Key is valid when HasKey is set.
	Key    uint16
	HasKey bool
	// Arrived is the time at which the head was complete. Deadline is the time
	// at which the caller stops waiting, zero when the caller set none.
	Arrived, Deadline time.Time
	// Body is the buffered body. A long body is in Stream instead.
	Body   []byte
	Stream io.Reader
	// Length is the length of Stream in bytes, -1 when unknown.
	Length int64
	// Progress is how far the handler has come with the request.
	Progress Progress
}

// Response is the response to a caller's request.
type Response struct {
	Status int
	Header http.Header
	// Body is the buffered body. A long body is in Stream instead, which the
	// front end closes.
	Body   []byte
	Stream io.ReadCloser
	// Length is the length of Stream in bytes, -1 when unknown.
	Length int64
	// CloseDelimited says that only the close of a connection marked the end of
	// the body at its source. It is passed on in the same way, so that the caller
	// knows what proves that the body is complete, unless other responses are owed
	// on the connection.
	CloseDelimited bool
	// Abort closes the connection without a response.
	Abort bool
	// OnWritten, unless nil, is called once with the result of writing the
	// response, a *ConnectionEnd on failure. It is not called when the connection
	// ended before.
	OnWritten func(err error)
}

// Handler answers a request. Its context is cancelled when the connection ends,
// with a *ConnectionEnd as the cause.
type Handler func(ctx context.Context, req *Request) *Response

// Limits bounds the size of requests and the time to receive them. Zero fields
// stand for the defaults.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// defaultLimits apply until the configuration sets its own.
var defaultLimits = Limits{
	HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second,
}

// Server accepts connections from callers and serves their requests.
type Server struct {
	headers  Headers
	handler  Handler
	limits   func() Limits
	draining atomic.Bool
	// OnAnswerDropped, unless nil, is called for each request that was read and
	// whose answer was not delivered. It must not block, and must be set before
	// Serve.
	OnAnswerDropped func(DroppedAnswer)
	// OnUnread, unless nil, is called for each connection that the server closed
	// although it had received bytes which it did not read as a request. It must
	// not block, and must be set before Serve.
	OnUnread func(Unread)
	// MaxConnections, unless nil, returns the bound of the open connections, 0 for
	// none. At the bound, further ones wait in the queue of the listener. It must be
	// set before Serve.
	MaxConnections func() int
	openCount      atomic.Int64
	// heldBack counts the bytes that are reserved for answers that are held back
	// beyond maxReadAheadBytes.
	heldBack atomic.Int64
	// Memory, unless nil, is the memory for what callers make the process hold. It
	// must be set before Serve.
	Memory *membudget.Budget
	// Callers bounds what one caller may do. It must be set before Serve.
	Callers CallerLimits
	// evicting is held while connections are chosen to be closed for lack of memory.
	evicting sync.Mutex
	// evictions and refusedConns count the connections that were closed and refused
	// for lack of memory; turnedAway are those that are being refused.
	evictions, refusedConns, turnedAway atomic.Int64
	bound                               bound

	// serving counts the running calls of Serve.
	serving atomic.Int32
	// servedUntil is when Serve returned, or when the server was created, in Unix
	// nanoseconds.
	servedUntil atomic.Int64
	acceptor    atomic.Pointer[accept.Listener]
	// acceptQuiet is set by StopAccepting, in nanoseconds.
	acceptQuiet atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
	wg    sync.WaitGroup
}

// NewServer returns a server that passes requests to handler. It calls limits
// for each request; fields that are zero are replaced by defaults.
func NewServer(h Headers, handler Handler, limits func() Limits) *Server {
	s := &Server{headers: h, handler: handler, limits: limits, conns: make(map[*conn]struct{}), bound: bound{ended: make(chan struct{}, 1)}}
	s.servedUntil.Store(time.Now().UnixNano())
	return s
}

// Drain closes each connection after the last response that it owes: to requests
// of which bytes were read. From then on, a request is read only from a connection
// on which none is unanswered.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.state.drain(c.limited.Total(), c.interrupt)
	}
}

// CloseIdle closes the connections that owe no response and on which no request is
// being read. A request that arrives at the same moment may get no response, in
// which case it was not read.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.state.closeIdle(c.interrupt)
	}
}

// OpenConnections returns the number of connections that are open, idle ones
// included.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Wait blocks until all connections are closed. It returns the error of ctx if
// ctx ends first.
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

// CallerLimits bounds what one caller may do within the Limits. Zero fields stand for the
// defaults, which no caller within the Limits meets that sends and reads at a usual rate.
type CallerLimits struct {
	// Fields bounds the lines of a head; by default only Limits.HeaderBytes does.
	Fields int
	// Pipelined bounds the requests of one connection in flight. Further ones wait in
	// the connection. It is at most 16, the default.
	Pipelined int
	// BodyTime bounds the time to receive a body that is buffered before its request
	// runs, and each read of a longer one.
	BodyTime time.Duration
	// BodyRate and AnswerRate are the least rates, in bytes per second, at which a
	// longer body must arrive and a streamed answer must be read after the first
	// BodyTime and after 5 s.
	BodyRate, AnswerRate int64
}

// defaultCallerLimits are the defaults of CallerLimits.
var defaultCallerLimits = CallerLimits{
	Pipelined: MaxPipelined, BodyTime: bodyReadTimeout, BodyRate: 1 << 10, AnswerRate: 16 << 10,
}

// withDefaults returns the limits with defaults for zero fields.
func (l CallerLimits) withDefaults() CallerLimits {
	if l.Pipelined <= 0 || l.Pipelined > MaxPipelined {
		l.Pipelined = defaultCallerLimits.Pipelined
	}
	if l.BodyTime <= 0 {
		l.BodyTime = defaultCallerLimits.BodyTime
	}
	if l.BodyRate <= 0 {
		l.BodyRate = defaultCallerLimits.BodyRate
	}
	if l.AnswerRate <= 0 {
		l.AnswerRate = defaultCallerLimits.AnswerRate
	}
	return l
}

// effectiveLimits returns the configured limits, with defaults for zero fields.
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
