package ingress

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

// maxOutstanding is a bound of the requests of a connection that were read and
// not answered: those in pending, the one that writeLoop answers and the one that
// readLoop adds.
const maxOutstanding = MaxPipelined + 2

// outstandingList holds the outstanding requests of a connection. readLoop adds
// them and writeLoop removes them, in the same order; anyone may list them.
type outstandingList struct {
	slots          [maxOutstanding]atomic.Pointer[pendingResponse]
	added, removed uint
}

func (l *outstandingList) add(p *pendingResponse) {
	p.number = l.added
	l.slots[l.added%maxOutstanding].Store(p)
	l.added++
}

func (l *outstandingList) remove() {
	l.slots[l.removed%maxOutstanding].Store(nil)
	l.removed++
}

// OpenConnection describes an open connection.
type OpenConnection struct {
	Caller string
	// Closing says that the last response was written.
	Closing bool
	// UnreadBytes is the number of bytes that were received and are not part of
	// a request that was read.
	UnreadBytes int64
	// SinceWrite is the time since the last response, or since the connection
	// was accepted before the first one.
	SinceWrite time.Duration
	// Outstanding holds the requests that were read and not answered, with the
	// cause ProcessEnded.
	Outstanding []DroppedAnswer
}

// Open describes the open connections.
func (s *Server) Open() []OpenConnection {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]OpenConnection, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c.describe())
	}
	return open
}

func (c *conn) describe() OpenConnection {
	o := OpenConnection{
		Caller: c.nc.RemoteAddr().String(), Closing: c.writeEnded.Load(), UnreadBytes: c.unreadBytes(),
		SinceWrite: time.Since(time.Unix(0, c.lastWrite.Load())),
	}
	if o.Closing {
		return o
	}
	var outstanding []*pendingResponse
	for i := range c.list.slots {
		if p := c.list.slots[i].Load(); p != nil {
			outstanding = append(outstanding, p)
		}
	}
	slices.SortFunc(outstanding, func(a, b *pendingResponse) int { return cmp.Compare(a.number, b.number) })
	for ahead, p := range outstanding {
		o.Outstanding = append(o.Outstanding, c.describeDropped(p, &ConnectionEnd{Cause: ProcessEnded}, ahead, 0))
	}
	return o
}

// unreadBytes returns the number of bytes that were received and are not part of
// a request that was read.
func (c *conn) unreadBytes() int64 { return c.limited.Total() - c.requestsEnd.Load() }
