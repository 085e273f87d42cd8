package ingress

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/accept"
	"godwitlock.example/godwitlock/membudget"
)

// lastAcceptWait is how long the last call of Accept waits. It begins with a look
// at the queue, which the call before it, whose deadline passed, may not have had
// the time for.
const lastAcceptWait = time.Millisecond

// acceptPollInterval is how often StopAccepting checks whether Serve has returned.
const acceptPollInterval = 5 * time.Millisecond

// deadlineListener is a listener whose Accept can be given a deadline.
type deadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// Serve accepts connections on lis until it is closed, or its queue is empty after
// StopAccepting. It returns the error of Accept. After other errors of Accept it
// goes on.
func (s *Server) Serve(lis net.Listener) error {
	acceptor := accept.Of(lis)
	lis = acceptor
	s.acceptor.Store(acceptor)
	s.serving.Add(1)
	defer func() {
		s.servedUntil.Store(time.Now().UnixNano())
		s.serving.Add(-1)
	}()
	lastCall := false
	for {
		s.awaitRoom()
		nc, err := lis.Accept()
		if err == nil {
			lastCall = false
			s.start(nc)
		}
		quiet := time.Duration(s.acceptQuiet.Load())
		switch {
		case quiet == 0 && err == nil:
			continue
		case err == nil:
		case lastCall || quiet == 0 || !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		default:
			lastCall, quiet = true, lastAcceptWait
		}
		if dl, ok := lis.(deadlineListener); ok {
			_ = dl.SetDeadline(time.Now().Add(quiet))
		}
	}
}

func (s *Server) start(nc net.Conn) {
	if !s.Memory.Take(membudget.Connections, membudget.NewConnection, ConnBytes) {
		s.evictHolders(membudget.NewConnection, nil)
		if !s.Memory.Take(membudget.Connections, membudget.NewConnection, ConnBytes) {
			s.turnAway(nc)
			return
		}
	}
	c := newConn(s, nc)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.openCount.Add(1)
	if s.above(evictFraction) {
		s.closeLongestIdle(evictAfter)
	}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		c.serve()
		s.Memory.Give(membudget.Connections, ConnBytes)
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		s.openCount.Add(-1)
		if c.evicted.Load() {
			s.bound.evicted.Add(-1)
		}
		select {
		case s.bound.ended <- struct{}{}:
		default:
		}
	}()
}

// StopAccepting accepts the connections that wait in the queue of lis until none
// has arrived for quiet, and then closes lis. Closing it before would reset
// connections that callers consider open. It returns early when ctx ends.
func (s *Server) StopAccepting(ctx context.Context, lis net.Listener, quiet time.Duration) {
	defer func() { _ = lis.Close() }()
	dl, ok := lis.(deadlineListener)
	if !ok || !s.Accepting() {
		return
	}
	s.acceptQuiet.Store(int64(quiet))
	if dl.SetDeadline(time.Now().Add(quiet)) != nil {
		return
	}
	for s.Accepting() && ctx.Err() == nil {
		time.Sleep(acceptPollInterval)
	}
}

// NotAcceptingFor returns the time for which no connection could be accepted, 0 if
// accepting works.
func (s *Server) NotAcceptingFor() time.Duration {
	if !s.Accepting() {
		return time.Since(time.Unix(0, s.servedUntil.Load()))
	}
	if since := s.bound.fullSince.Load(); since != 0 {
		return time.Since(time.Unix(0, since))
	}
	return s.acceptor.Load().FailingFor()
}

// Accepting reports whether a call of Serve has not returned. Until then, a
// connection that was accepted may not be among the open ones yet.
func (s *Server) Accepting() bool { return s.serving.Load() > 0 }
