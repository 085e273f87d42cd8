package ingress

import (
	"bufio"
	"time"
)

// minWriteRate is the least rate, in bytes per second, at which a caller must read a
// streamed response, not counting the time for which its source is waited for. A slower
// one would hold a connection to a server.
const minWriteRate = 16 << 10

// writePace measures how fast a caller reads.
type writePace struct {
	written int64
	blocked time.Duration
}

// left returns how long the next write may take.
func (p *writePace) left() time.Duration {
	allowed := writeTimeout + time.Duration(p.written)*time.Second/minWriteRate
	return min(writeTimeout, allowed-p.blocked)
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
