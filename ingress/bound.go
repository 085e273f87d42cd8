package ingress

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// evictFraction and closeFraction are fractions of the bound of the open
	// connections: above the first, each new connection closes the one that has
	// been idle longest, and above the second each answer closes its connection. A
	// closed connection keeps its descriptor for up to lingerTimeout.
	evictFraction, closeFraction = 0.75, 0.875
	// evictAfter is how long a connection must have been idle to be closed for
	// another one below the bound: callers that send often would only connect again.
	evictAfter = time.Second
	// evictAtBound is the fraction of the bound that may be closing at the bound.
	evictAtBound = 1.0 / 32
	// boundPollInterval is how often a server at its bound looks whether the bound
	// has changed.
	boundPollInterval = 50 * time.Millisecond
)

// idleList holds the idle connections, the one that has been idle longest first.
type idleList struct {
	mu    sync.Mutex
	conns list.List
}

// set adds c to the list or removes it.
func (l *idleList) set(c *conn, idle bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if idle {
		c.idleElement = l.conns.PushBack(c)
		return
	}
	l.conns.Remove(c.idleElement)
}

// longest returns the connection that has been idle longest, or nil.
func (l *idleList) longest() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.conns.Front(); e != nil {
		return e.Value.(*conn)
	}
	return nil
}

// bound keeps the number of open connections below MaxConnections.
type bound struct {
	idle idleList
	// evicted counts the open connections that were closed because they were idle.
	evicted atomic.Int64
	// ended gets a value when a connection has ended.
	ended chan struct{}
	// fullSince is when the server began to wait for a connection to end, in Unix
	// nanoseconds, 0 if it does not wait.
	fullSince atomic.Int64
}

// above reports whether more connections are open than the given fraction of the
// bound, not counting those that were evicted.
func (s *Server) above(fraction float64) bool {
	if s.MaxConnections == nil {
		return false
	}
	most := s.MaxConnections()
	return most > 0 && float64(s.openCount.Load()-s.bound.evicted.Load()) > fraction*float64(most)
}

// closeLongestIdle closes the connection that has been idle longest, if it has been
// for the given time, and reports whether it did.
func (s *Server) closeLongestIdle(atLeast time.Duration) bool {
	for c := s.bound.idle.longest(); c != nil; c = s.bound.idle.longest() {
		if time.Since(time.Unix(0, c.lastWrite.Load())) < atLeast {
			return false
		}
		// The connection cannot end before it is counted: its reader waits for the
		// state's lock.
		if c.state.closeIdle(func() { c.evict(); c.interrupt() }) {
			return true
		}
	}
	return false
}

// evict counts the connection as evicted until it ends.
func (c *conn) evict() {
	if c.evicted.CompareAndSwap(false, true) {
		c.srv.bound.evicted.Add(1)
	}
}

// awaitRoom waits until fewer connections are open than the bound, or until the
// server stops accepting.
func (s *Server) awaitRoom() {
	defer s.bound.fullSince.Store(0)
	for s.MaxConnections != nil && s.acceptQuiet.Load() == 0 {
		most := s.MaxConnections()
		if most <= 0 || s.openCount.Load() < int64(most) {
			return
		}
		s.bound.fullSince.CompareAndSwap(0, time.Now().UnixNano())
		for s.bound.evicted.Load() <= int64(evictAtBound*float64(most)) && s.closeLongestIdle(0) {
		}
		t := time.NewTimer(boundPollInterval)
		select {
		case <-s.bound.ended:
		case <-t.C:
		}
		t.Stop()
	}
}
