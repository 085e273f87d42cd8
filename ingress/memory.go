package ingress

import (
	"cmp"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"godwitlock.example/godwitlock/membudget"
)

const (
	// ConnBytes is what an idle connection holds: its buffers, and the stacks of its
	// goroutines.
	ConnBytes = 18 << 10
	// requestBytes is what a request holds besides its head and its body: the stacks
	// of its goroutines, timers and contexts.
	requestBytes = 12 << 10
	// readAheadBytes is what an answer that is read ahead holds besides its buffer: the
	// block and the stack of the goroutine that reads it.
	readAheadBytes = 8 << 10
	// evictMinBytes is the least that a connection must hold, besides itself, to be
	// evicted, and evictMinAge for how long, unless the whole budget is used.
	evictMinBytes = 16 << 10
	evictMinAge   = time.Second
	// maxTurnedAway bounds the connections that are being refused with a response.
	// Further ones are closed without one.
	maxTurnedAway = 32
	// discardBytes is what parsing a request that is discarded may take.
	discardBytes = 256 << 10
	// turnAwayTimeout bounds the wait for the request on a refused connection.
	turnAwayTimeout = time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal for lack of
	// memory. What a connection holds is released after about 5 s at the latest.
	minRetryAfter, maxRetryAfter = time.Second, 4 * time.Second
)

// memory is what a request holds, by purpose.
type memory [len(purposeList)]int64

var purposeList = [...]membudget.Purpose{membudget.Connections, membudget.Heads, membudget.Bodies, membudget.Responses}

// take accounts for n bytes of the connection. If they do not fit, it evicts the
// connections that hold most and returns false unless that helped.
func (c *conn) take(p membudget.Purpose, class membudget.Class, n int64) bool {
	b := c.srv.Memory
	if !b.Take(p, class, n) {
		c.srv.evictHolders(class, c)
		if c.evictedForMemory.Load() || !b.Take(p, class, n) {
			return false
		}
	}
	c.record(n)
	return true
}

// add accounts for n bytes that were allocated already. If they do not fit, it evicts
// the connections that hold most.
func (c *conn) add(p membudget.Purpose, n int64) {
	c.srv.Memory.Add(p, n)
	c.record(n)
	if n > 0 && c.srv.Memory.Overdrawn() {
		c.srv.evictHolders(membudget.Begun, nil)
	}
}

// record records what the connection holds and since when.
func (c *conn) record(n int64) {
	if c.held.Add(n) == n && n > 0 {
		c.heldSince.Store(time.Now().UnixNano())
	}
}

func (c *conn) give(p membudget.Purpose, n int64) {
	c.srv.Memory.Give(p, n)
	c.held.Add(-n)
}

// release gives back what a request holds.
func (c *conn) release(p *pendingResponse) {
	for i, n := range p.memory {
		if n != 0 {
			c.give(purposeList[i], n)
		}
	}
	p.memory = memory{}
}

// responseCost returns what a response holds besides a streamed body.
func responseCost(resp *Response) int64 {
	size, lines := 0, 0
	for name, values := range resp.Header {
		for _, v := range values {
			size, lines = size+len(name)+len(v), lines+1
		}
	}
	return int64(cap(resp.Body)) + membudget.HeadBytes(size, lines)
}

// classOfNext returns the class of the next request.
func (c *conn) classOfNext() membudget.Class {
	if c.state.owed() > 0 {
		return membudget.FurtherRequest
	}
	return membudget.NewHead
}

// evictHolders closes the connections that have held the most for the longest time,
// until enough memory will be free. asking is the connection that asks for memory.
func (s *Server) evictHolders(class membudget.Class, asking *conn) {
	excess := s.Memory.Excess()
	if excess == 0 || !s.evicting.TryLock() {
		return
	}
	defer s.evicting.Unlock()
	minAge := evictMinAge
	if class == membudget.Begun {
		minAge = 0
	}
	now := time.Now().UnixNano()
	type holder struct {
		c     *conn
		bytes int64
		score float64
	}
	var holders []holder
	s.mu.Lock()
	for c := range s.conns {
		bytes, age := c.held.Load(), time.Duration(now-c.heldSince.Load())
		switch {
		case bytes < evictMinBytes || c.writeEnded.Load():
		case c.evictedForMemory.Load():
			// Its memory is about to be released.
			excess -= bytes
		case age >= minAge:
			holders = append(holders, holder{c, bytes, float64(bytes) * float64(age)})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(holders, func(a, b holder) int { return cmp.Compare(b.score, a.score) })
	for _, h := range holders {
		if excess <= 0 {
			return
		}
		h.c.evictForMemory(h.c == asking)
		s.evictions.Add(1)
		excess -= h.bytes
	}
}

// evictForMemory ends the connection. If it owes no response, the request that is being
// read is refused; the caller of the method does so itself if it is the connection's
// reader.
func (c *conn) evictForMemory(reader bool) {
	c.evictedForMemory.Store(true)
	if c.state.owed() > 0 {
		c.aborted.Store(true)
		c.cancel(&ConnectionEnd{Cause: MemoryExhausted})
		_ = c.nc.SetWriteDeadline(time.Unix(1, 0))
	}
	if !reader {
		c.interrupt()
	}
}

// setReadDeadline sets a read deadline, unless the connection was evicted.
func (c *conn) setReadDeadline(t time.Time) {
	_ = c.nc.SetReadDeadline(t)
	if c.evictedForMemory.Load() {
		c.interrupt()
	}
}

// overloaded returns the refusal of a request for lack of memory. The request has not
// run.
func overloaded() *Response {
	resp := statusResponse(http.StatusServiceUnavailable)
	resp.Header.Set("Retry-After", retryAfter())
	return resp
}

// retryAfter returns a Retry-After that differs between callers, so that they do not
// return together.
func retryAfter() string {
	d := minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// turnAway refuses a connection for lack of memory. It reports false if the connection
// was closed at once.
func (s *Server) turnAway(nc net.Conn) bool {
	s.refusedConns.Add(1)
	if s.turnedAway.Add(1) > maxTurnedAway {
		s.turnedAway.Add(-1)
		if tcp, ok := nc.(interface{ SetLinger(sec int) error }); ok {
			_ = tcp.SetLinger(0)
		}
		_ = nc.Close()
		return false
	}
	s.wg.Add(1)
	s.openCount.Add(1)
	go func() {
		defer s.wg.Done()
		defer s.openCount.Add(-1)
		defer s.turnedAway.Add(-1)
		defer func() { _ = nc.Close() }()
		// The response is written after the first bytes of a request, since callers
		// take one that precedes their request for an error of the protocol.
		var first [512]byte
		_ = nc.SetDeadline(time.Now().Add(turnAwayTimeout))
		if _, err := nc.Read(first[:]); err != nil {
			return
		}
		_, _ = nc.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + retryAfter() +
			"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
		if w, ok := nc.(interface{ CloseWrite() error }); !ok || w.CloseWrite() != nil {
			return
		}
		_ = nc.SetReadDeadline(time.Now().Add(lingerTimeout))
		for {
			if _, err := nc.Read(first[:]); err != nil {
				return
			}
		}
	}()
	return true
}

// Evictions returns how many connections were closed for lack of memory, and
// RefusedConnections how many were refused.
func (s *Server) Evictions() int64 { return s.evictions.Load() }

// RefusedConnections returns how many connections were refused for lack of memory.
func (s *Server) RefusedConnections() int64 { return s.refusedConns.Load() }
