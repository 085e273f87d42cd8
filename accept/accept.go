// Package accept keeps accepting connections after errors that pass, such as too
// many open files, and reports when accepting fails and when it works again.
//
// The accept loops of net/http and grpc end on some of these errors, for example
// ENOBUFS, and close the listener.
package accept

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// minRetryPause and maxRetryPause bound the pause after an error. It doubles
	// with each error until a connection is accepted.
	minRetryPause, maxRetryPause = 5 * time.Millisecond, 250 * time.Millisecond
	// settleTime is how long Accept must wait for a connection after an error until
	// accepting counts as working: the system reports a lack of resources at once,
	// even if no connection has arrived.
	settleTime = 100 * time.Millisecond
)

// Change reports that accepting connections fails, or works again.
type Change struct {
	// Err is the first error, nil if accepting works again.
	Err error
	// Failures and After are the number of errors and the time since the first
	// one, if accepting works again.
	Failures int
	After    time.Duration
}

// Listener is a net.Listener whose Accept returns an error only if the listener is
// closed or its deadline has passed. It is safe for concurrent use.
type Listener struct {
	net.Listener
	report func(Change)
	closed chan struct{}
	once   sync.Once

	mu       sync.Mutex
	failures int
	since    time.Time
}

// New returns a Listener that accepts from lis and calls report, unless it is nil,
// with each change. report must not block.
func New(lis net.Listener, report func(Change)) *Listener {
	if report == nil {
		report = func(Change) {}
	}
	return &Listener{Listener: lis, report: report, closed: make(chan struct{})}
}

// Of returns lis if it is a *Listener, and otherwise one that accepts from lis.
func Of(lis net.Listener) *Listener {
	if l, ok := lis.(*Listener); ok {
		return l
	}
	return New(lis, nil)
}

// Accept implements net.Listener. After an error that passes it waits and tries
// again.
func (l *Listener) Accept() (net.Conn, error) {
	for wait := minRetryPause; ; wait = min(2*wait, maxRetryPause) {
		nc, err := l.acceptOnce()
		if err == nil || final(err) {
			return nc, err
		}
		l.fails(err)
		l.pause(wait)
	}
}

func (l *Listener) acceptOnce() (net.Conn, error) {
	if l.FailingFor() > 0 {
		defer time.AfterFunc(settleTime, l.works).Stop()
	}
	nc, err := l.Listener.Accept()
	if err == nil {
		l.works()
	}
	return nc, err
}

func (l *Listener) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-l.closed:
	}
}

// Close implements net.Listener. It ends a pause of Accept.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// SetDeadline sets the deadline of Accept. It returns an error if the underlying
// listener has none.
func (l *Listener) SetDeadline(t time.Time) error {
	d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return os.ErrNoDeadline
	}
	return d.SetDeadline(t)
}

// FailingFor returns the time since accepting began to fail, 0 if it works.
func (l *Listener) FailingFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failures == 0 {
		return 0
	}
	return time.Since(l.since)
}

// final reports whether err says that the listener is closed or that its deadline
// has passed.
func final(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)
}

func (l *Listener) fails(err error) {
	l.mu.Lock()
	l.failures++
	first := l.failures == 1
	if first {
		l.since = time.Now()
	}
	l.mu.Unlock()
	if first {
		l.report(Change{Err: err})
	}
}

func (l *Listener) works() {
	l.mu.Lock()
	c := Change{Failures: l.failures}
	if c.Failures > 0 {
		c.After = time.Since(l.since)
	}
	l.failures = 0
	l.mu.Unlock()
	if c.Failures > 0 {
		l.report(c)
	}
}
