package ingress

import (
	"bufio"
	"time"
)

// writePace measures how fast a caller reads a streamed response, not counting the time
// for which its source is waited for. A slow caller would hold a connection to a server.
type writePace struct {
	// rate is the least rate in bytes per second.
	rate    int64
	written int64
	blocked time.Duration
}

// left returns how long the next write may take.
func (p *writePace) left() time.Duration {
	allowed := writeTimeout + timeFor(p.written, p.rate)
	return min(writeTimeout, allowed-p.blocked)
}

// timeFor returns how long n bytes take at a rate in bytes per second.
func timeFor(n, rate int64) time.Duration {
	return time.Duration(float64(n) / float64(rate) * float64(time.Second))
}

// flush writes n bytes of a body that are in bw.
func (p *writePace) flush(bw *bufio.Writer, n int) error {
	began := time.Now()
	err := bw.Flush()
	p.blocked += time.Since(began)
	p.written += int64(n)
	return err
}

// setWriteDeadline bounds the next write, unless the connection was evicted while it
// owed responses.
func (c *conn) setWriteDeadline(d time.Duration) {
	_ = c.nc.SetWriteDeadline(time.Now().Add(d))
	if c.aborted.Load() {
		_ = c.nc.SetWriteDeadline(time.Unix(1, 0))
	}
}
