// Package egress sends requests to backend servers over HTTP/1.1. It reuses
// connections, reports exactly whether a failed request may have run, and never
// attributes the bytes of one response to another request.
//
// It does not use net/http's Transport, which hides whether a byte of a request
// was written, retries on its own, and does not tell a body that ended with a
// connection reset from one that ended with a close.
package egress

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/topo"
)

// Headers holds the names of the header fields that godwitlock and backend
// servers exchange.
type Headers struct {
	RequestID    string
	DeadlineMS   string
	Customer     string
	ExpectServer string
	NotRun       string
	// Seal marks a response as written by the server itself.
	Seal string
	Load string
	// ParseLoad decodes the value of the field Load. If it is nil, responses
	// carry no load.
	ParseLoad func(string) (Load, bool)
	// ParseNotice decodes what a server says about itself with a response of the
	// given status. If it is nil, servers say nothing.
	ParseNotice func(status int, h http.Header) Notice
	// Strip lists, in canonical form, the fields that only godwitlock may set.
	// They are removed from callers' requests.
	Strip []string
}

// Load is the load that a server reports with a response.
type Load struct {
	Running, Waiting, Slots int
	// SlowdownFactor is the current service time divided by the usual one: 1
	// means no slowdown, 2 means that requests take twice as long as usual.
	SlowdownFactor float64
}

// Notice is what a server says about itself with a response, whatever the
// response is to. It holds until the server starts again.
type Notice struct {
	// Leaving reports that the server will end soon.
	Leaving bool
	// Pause is the time for which the server wants no requests from this VM; 0
	// if it does not ask for a pause.
	Pause time.Duration
	// Invalid describes a header field that could not be decoded and was ignored.
	Invalid string
}

// Target is one incarnation of a backend server.
type Target struct {
	topo.Incarnation
	Addr     string
	MaxConns int
}

// Request is a request to a backend server.
type Request struct {
	ID     string
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	// Customer is empty on routes without a caller key.
	Customer topo.CustomerID
	// Body is the buffered body. A long body is in Stream instead.
	Body   []byte
	Stream io.Reader
	// Length is the length of Stream in bytes, or -1 to use the chunked
	// transfer coding.
	Length int64
	// Deadline is when the server is to stop working on the request. It is sent
	// as the remaining time.
	Deadline time.Time
	// BeforeWrite, unless nil, is called right before the first byte is written. Its
	// error prevents that and becomes the cause of the failure.
	BeforeWrite func() error
}

// Response is the response of a backend server. The receiver must close Body.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, -1 when unknown.
	Length int64
	// CloseDelimited says that only the close of the connection marks the end of
	// the body.
	CloseDelimited bool
	Body           io.ReadCloser
	// NotRun reports that the server refused the request without running it.
	NotRun bool
	// Sealed reports that the response is marked as written by the server
	// itself.
	Sealed bool
	// Load is valid when HasLoad is set.
	Load    Load
	HasLoad bool

	body *responseBody
}

// LimitBodyTime makes reads of the body fail after d. It must not be called
// during a read.
func (r *Response) LimitBodyTime(d time.Duration) { r.body.limitTime(d) }

// Failure is the error of an exchange that ended without a response.
type Failure struct {
	// MayHaveRun is false only when no byte of the request was written.
	MayHaveRun bool
	// Refused reports that the connection attempt was refused (ECONNREFUSED).
	Refused bool
	Cause   error
}

// Error implements the error interface.
func (f *Failure) Error() string { return f.Cause.Error() }

// Unwrap returns the cause for errors.Is and errors.As.
func (f *Failure) Unwrap() error { return f.Cause }

const (
	// connectTimeout bounds a connection attempt. A server that does not answer
	// within it is treated as unreachable, because a lost SYN is retransmitted
	// only after 1 s.
	connectTimeout = 350 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept when the server
	// sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// keepAliveFraction is the fraction of the server's Keep-Alive timeout for
	// which an idle connection is kept. The margin avoids sending a request
	// while the server closes the connection.
	keepAliveFraction = 0.7
	// maxIdlePerServer bounds the idle connections to a server, which cost
	// memory.
	maxIdlePerServer = 8
)

// Client sends requests and pools the connections to all servers. It is safe
// for concurrent use.
type Client struct {
	headers Headers
	// OnConnect, unless nil, is called for each new connection.
	OnConnect func()
	// OnNotice, unless nil, is called with each notice of a server. It must not
	// block.
	OnNotice func(topo.Incarnation, Notice)
	// Dial, unless nil, opens the connections in place of a net.Dialer.
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	dialer net.Dialer

	mu   sync.Mutex
	idle map[topo.Incarnation][]*conn
	open map[topo.Incarnation]int
}

// New returns a client that uses the header fields h. It opens no connection
// before the first request.
func New(h Headers) *Client {
	return &Client{
		headers: h,
		dialer:  net.Dialer{Timeout: connectTimeout, KeepAlive: -1},
		idle:    make(map[topo.Incarnation][]*conn),
		open:    make(map[topo.Incarnation]int),
	}
}

// Connections returns the number of connections that are open or being opened, and
// how many of them are idle.
func (c *Client) Connections() (open, idle int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.open {
		open += n
	}
	for _, list := range c.idle {
		idle += len(list)
	}
	return open, idle
}

// Do sends req to target once, without retries. The error is a *Failure.
func (c *Client) Do(ctx context.Context, target Target, req *Request) (*Response, error) {
	cn, err := c.acquire(ctx, target, req.ID)
	if err != nil {
		return nil, &Failure{Refused: isConnectionRefused(err), Cause: errors.Annotatef(err, "connection to server %s", target.Server)}
	}
	resp, err := cn.exchange(ctx, &c.headers, target, req)
	if err == nil {
		return resp, nil
	}
	f := &Failure{MayHaveRun: cn.writeStarted, Cause: errors.Annotatef(err, "request to server %s", target.Server)}
	cn.close()
	return nil, f
}

// acquire returns an idle connection to target on which the request may be sent, or
// opens a new one, up to MaxConns.
func (c *Client) acquire(ctx context.Context, target Target, request string) (*conn, error) {
	if cn := c.takeIdle(target.Incarnation, request); cn != nil {
		return cn, nil
	}
	c.mu.Lock()
	if target.MaxConns > 0 && c.open[target.Incarnation] >= target.MaxConns {
		c.mu.Unlock()
		return nil, errors.New("connection limit reached")
	}
	c.open[target.Incarnation]++
	c.mu.Unlock()
	dial := c.dialer.DialContext
	if c.Dial != nil {
		dial = c.Dial
	}
	nc, err := dial(ctx, "tcp", target.Addr)
	if err == nil {
		err = resetOnClose(nc)
	}
	if err != nil {
		c.connClosed(target.Incarnation)
		return nil, err
	}
	if c.OnConnect != nil {
		c.OnConnect()
	}
	return newConn(c, target.Incarnation, nc), nil
}

// resetOnClose makes the close of a connection reset it, also at the end of the process.
// Otherwise a request that was given up while its server could not be reached would arrive
// later. It closes the connection if that fails.
func resetOnClose(nc net.Conn) error {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetLinger(0); err != nil {
		_ = tcp.Close()
		return err
	}
	return nil
}

// takeIdle removes and returns the most recently used idle connection that is
// still usable and on which the request was not refused or failed before, or nil.
func (c *Client) takeIdle(id topo.Incarnation, request string) *conn {
	now := time.Now()
	for {
		cn := c.removeIdle(id, request)
		if cn == nil || now.Before(cn.idleUntil) && cn.healthy() {
			return cn
		}
		cn.close()
	}
}

func (c *Client) removeIdle(id topo.Incarnation, request string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[id]
	for i := len(list) - 1; i >= 0; i-- {
		if cn := list[i]; !cn.wasUnsuccessful(request) {
			c.idle[id] = slices.Delete(list, i, i+1)
			return cn
		}
	}
	return nil
}

// putIdle adds a connection to the idle ones, or closes it when there are
// maxIdlePerServer of them.
func (c *Client) putIdle(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[cn.server]) >= maxIdlePerServer {
		go cn.close()
		return
	}
	c.idle[cn.server] = append(c.idle[cn.server], cn)
}

func (c *Client) connClosed(id topo.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[id]--; c.open[id] <= 0 {
		delete(c.open, id)
	}
}

// Sweep closes the connections that have exceeded their idle timeout. It is
// meant to be called about once a second.
func (c *Client) Sweep() {
	now := time.Now()
	var stale []*conn
	c.mu.Lock()
	for id, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Before(cn.idleUntil) {
				kept = append(kept, cn)
			} else {
				stale = append(stale, cn)
			}
		}
		if c.idle[id] = kept; len(kept) == 0 {
			delete(c.idle, id)
		}
	}
	c.mu.Unlock()
	for _, cn := range stale {
		cn.close()
	}
}
