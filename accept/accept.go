// Package accept reports when a listener fails to accept connections and when it
// works again.
package accept

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
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

// Listener is a net.Listener that knows whether accepting fails. It is safe for
// concurrent use.
type Listener struct {
	net.Listener
	report func(Change)

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
	return &Listener{Listener: lis, report: report}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	switch {
	case err == nil:
		l.works()
	case !final(err):
		l.fails(err)
	}
	return nc, err
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
