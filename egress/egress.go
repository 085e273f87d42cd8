// Package egress sends requests to backend servers over HTTP/1.1. It keeps
// connections, tells exactly whether a failed request may have run, and never
// takes bytes that belong to another request for an answer.
//
// net/http's Transport is not used: it hides whether a byte of a request was
// written, resends on its own and discards the end of a broken body without
// telling a reset from a close.
package egress

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/topo"
)

// Headers names the header fields between godwitlock and backend servers.
type Headers struct {
	RequestID    string
	DeadlineMS   string
	Customer     string
	ExpectServer string
	NotRun       string
	// Seal marks an answer as the server's own.
	Seal string
	Load string
	// ParseLoad decodes the value of Load.
	ParseLoad func(string) (Load, bool)
	// Strip are fields of callers that are not passed on, in canonical form:
	// those that only godwitlock may write.
	Strip []string
}

// Load is what a server says of its load at the moment of an answer.
type Load struct {
	Running, Waiting, Slots int
	// SlowdownFactor is how long work takes at the moment, 1 being usual.
	SlowdownFactor float64
}

// Target is one life of a backend server.
type Target struct {
	ID       topo.ServerID
	Addr     string
	MaxConns int
}

// Request is sent to one server.
type Request struct {
	ID     string
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	// Customer is empty on routes without a caller key.
	Customer topo.CustomerID
	// Body is the whole body; Stream replaces it for a long one.
	Body   []byte
	Stream io.Reader
	// Length is the length of Stream in bytes, -1 when it is sent in chunks.
	Length int64
	// Deadline ends the server's work.
	Deadline time.Time
}

// Response is the answer of a server. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, -1 when unknown.
	Length int64
	Body   io.ReadCloser
	// NotRun says that the server refused the request without running it.
	NotRun bool
	// Sealed says that the answer is marked as the server's own.
	Sealed bool
	// Load is valid when HasLoad is set.
	Load    Load
	HasLoad bool
}

// Failure is an exchange without an answer.
type Failure struct {
	// MayHaveRun is false only when no byte of the request was written.
	MayHaveRun bool
	// Refused says that the server's address refused the connection.
	Refused bool
	Cause   error
}

// Error implements error.
func (f *Failure) Error() string { return f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

const (
	// connectTimeout bounds a connection attempt. A server that is silent
	// this long is treated as unreachable; a lost opening packet is sent again
	// only after a second.
	connectTimeout = 350 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept when the server names no
	// time.
	defaultIdleTimeout = 4 * time.Second
	// keepAliveFraction of the time that the server names is used, so that a request
	// does not cross the server's close.
	keepAliveFraction = 0.7
	// maxIdlePerServer bounds kept connections, which cost memory.
	maxIdlePerServer = 8
)

// Client keeps the connections to all servers. It is safe for concurrent use.
type Client struct {
	headers Headers
	// OnConnect is called for each new connection; nil counts nothing.
	OnConnect func()
	dialer    net.Dialer

	mu   sync.Mutex
	idle map[topo.ServerID][]*conn
	open map[topo.ServerID]int
}

// New returns a client without connections.
func New(h Headers) *Client {
	return &Client{
		headers: h,
		dialer:  net.Dialer{Timeout: connectTimeout, KeepAlive: -1},
		idle:    make(map[topo.ServerID][]*conn),
		open:    make(map[topo.ServerID]int),
	}
}

// Do sends req to target once. The error is a *Failure.
func (c *Client) Do(ctx context.Context, target Target, req *Request) (*Response, error) {
	cn, err := c.acquire(ctx, target)
	if err != nil {
		return nil, &Failure{Refused: isConnectionRefused(err), Cause: errors.Annotatef(err, "connection to server %s", target.ID)}
	}
	resp, err := cn.exchange(ctx, &c.headers, target, req)
	if err == nil {
		return resp, nil
	}
	f := &Failure{MayHaveRun: cn.writeStarted, Cause: errors.Annotatef(err, "server %s", target.ID)}
	cn.close()
	return nil, f
}

// acquire returns a kept acquire or opens one.
func (c *Client) acquire(ctx context.Context, target Target) (*conn, error) {
	if cn := c.takeIdle(target); cn != nil {
		return cn, nil
	}
	c.mu.Lock()
	if target.MaxConns > 0 && c.open[target.ID] >= target.MaxConns {
		c.mu.Unlock()
		return nil, errors.New("the connection limit is reached")
	}
	c.open[target.ID]++
	c.mu.Unlock()
	nc, err := c.dialer.DialContext(ctx, "tcp", target.Addr)
	if err != nil {
		c.connClosed(target.ID)
		return nil, err
	}
	if c.OnConnect != nil {
		c.OnConnect()
	}
	return newConn(c, target.ID, nc), nil
}

// takeIdle returns the connection that was used last and is still sound.
func (c *Client) takeIdle(target Target) *conn {
	now := time.Now()
	for {
		c.mu.Lock()
		list := c.idle[target.ID]
		if len(list) == 0 {
			c.mu.Unlock()
			return nil
		}
		cn := list[len(list)-1]
		c.idle[target.ID] = list[:len(list)-1]
		c.mu.Unlock()
		if now.Before(cn.idleUntil) && cn.healthy() {
			return cn
		}
		cn.close()
	}
}

// putIdle puts a connection back.
func (c *Client) putIdle(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[cn.server]) >= maxIdlePerServer {
		go cn.close()
		return
	}
	c.idle[cn.server] = append(c.idle[cn.server], cn)
}

func (c *Client) connClosed(id topo.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[id]--; c.open[id] <= 0 {
		delete(c.open, id)
	}
}

// Sweep closes connections that were idle too long. It is called about once a
// second.
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
