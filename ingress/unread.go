package ingress

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/membudget"
)

// Unread describes the bytes that a closed connection had received and that were
// not read as a request.
type Unread struct {
	Caller string
	Bytes  int64
	// RequestIDs holds the IDs of the requests that arrived after the last
	// response, as far as their heads are complete.
	RequestIDs []string
	// Cause is why the connection was closed, empty when it was idle.
	Cause      DropCause
	Draining   bool
	SinceWrite time.Duration
}

// discardRequests reads and discards requests from br until one cannot be read, and
// returns their IDs.
func (c *conn) discardRequests(br *bufio.Reader) (ids []string) {
	// What is discarded is not worth evictions.
	if c.restIsBody || !c.srv.Memory.Take(membudget.Heads, membudget.NewHead, discardBytes) {
		return nil
	}
	defer c.srv.Memory.Give(membudget.Heads, discardBytes)
	for len(ids) < MaxPipelined {
		c.limited.SetLimit(int64(defaultLimits.HeaderBytes + headerSlackBytes))
		hr, err := http.ReadRequest(br)
		c.limited.Unlimit()
		if err != nil {
			break
		}
		ids = append(ids, hr.Header.Get(c.srv.headers.RequestID))
		if _, err := io.Copy(io.Discard, hr.Body); err != nil {
			break
		}
	}
	return ids
}

// reportUnread reports the bytes that were received and not read as a request:
// those that were read from the connection and the given number that were not.
func (c *conn) reportUnread(ids []string, unread int64) {
	n := c.unreadBytes() + unread
	if c.srv.OnUnread == nil || c.restIsBody || n == 0 {
		return
	}
	u := Unread{
		Caller: c.nc.RemoteAddr().String(), Bytes: n, RequestIDs: ids, Draining: c.srv.draining.Load(),
		SinceWrite: time.Since(time.Unix(0, c.lastWrite.Load())),
	}
	var end *ConnectionEnd
	if errors.As(context.Cause(c.ctx), &end) {
		u.Cause = end.Cause
	}
	c.srv.OnUnread(u)
}
