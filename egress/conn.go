package egress

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"godwitlock.example/godwitlock/internal/httphead"
	"godwitlock.example/godwitlock/internal/readlimit"
	"godwitlock.example/godwitlock/topo"
)

const (
	// bufferBytes is the size of a connection's read buffer. A body up to this
	// size is written together with the head.
	bufferBytes = 4 << 10
	// maxStaleResponses bounds the late responses to earlier requests that are
	// skipped before the response to the current one.
	maxStaleResponses = 3
	// maxStaleBodyBytes bounds the body of a late response that is skipped.
	maxStaleBodyBytes = 1 << 20
	// maxRefusalBodyBytes bounds how much of the body of a refusal is read so
	// that the connection can be reused.
	maxRefusalBodyBytes = 4 << 10
	// refusalBodyTimeout bounds the wait for that body. A later one costs the
	// connection, not time that another attempt could use.
	refusalBodyTimeout = 50 * time.Millisecond
)

// errUnmatchedResponse reports a response that cannot be attributed to the
// current request.
var errUnmatchedResponse = errors.New("response does not carry the ID of the current request")

// conn is a connection to a server. It carries one exchange at a time.
type conn struct {
	client    *Client
	server    topo.Incarnation
	nc        net.Conn
	limited   *readlimit.Reader
	heads     *httphead.Reader
	br        *bufio.Reader
	idleUntil time.Time
	// out writes the current request.
	out *requestWriter
	// writeStarted is set when at least one byte of the current request may
	// have been written.
	writeStarted bool
	// reusable is cleared when the connection must not carry another request.
	reusable bool
	// kept says that the connection has carried an earlier exchange.
	kept bool
	// unsuccessful holds the requests that the server refused or failed on this
	// connection. They may be sent again, but not here: the server may write its
	// earlier response once more.
	unsuccessful []unsuccessfulRequest
	closeOnce    sync.Once
}

// unsuccessfulRequest is a request that may be sent again until its deadline.
type unsuccessfulRequest struct {
	id       string
	deadline time.Time
}

// maxUnsuccessful bounds the unsuccessful requests whose deadlines have not
// passed. A connection with more of them is closed.
const maxUnsuccessful = 64

func newConn(c *Client, id topo.Incarnation, nc net.Conn) *conn {
	limited := readlimit.New(nc)
	heads := httphead.NewReader(limited)
	return &conn{client: c, server: id, nc: nc, limited: limited, heads: heads, br: bufio.NewReaderSize(heads, bufferBytes)}
}

func (cn *conn) close() {
	cn.closeOnce.Do(func() {
		_ = cn.nc.Close()
		cn.client.connClosed(cn.server)
	})
}

// healthy reports whether an idle connection can carry a request: the server
// has neither closed it nor sent unsolicited bytes.
func (cn *conn) healthy() bool {
	if cn.br.Buffered() > 0 {
		return false
	}
	sc, ok := cn.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noInput := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, rerr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noInput = rerr == unix.EAGAIN
		return true
	})
	return err == nil && noInput
}

// recordUnsuccessful records a request that was not successful on this connection.
func (cn *conn) recordUnsuccessful(id string, deadline, now time.Time) {
	cn.unsuccessful = slices.DeleteFunc(cn.unsuccessful, func(u unsuccessfulRequest) bool { return u.deadline.Before(now) })
	if len(cn.unsuccessful) >= maxUnsuccessful {
		cn.reusable = false
		return
	}
	cn.unsuccessful = append(cn.unsuccessful, unsuccessfulRequest{id, deadline})
}

// wasUnsuccessful reports whether a request was refused or failed on this
// connection.
func (cn *conn) wasUnsuccessful(id string) bool {
	return slices.ContainsFunc(cn.unsuccessful, func(u unsuccessfulRequest) bool { return u.id == id })
}

// exchange sends req and reads the head of its response. If ctx ends before the
// body of the response was read or closed, reads and writes fail.
func (cn *conn) exchange(ctx context.Context, h *Headers, target Target, req *Request) (*Response, error) {
	cn.writeStarted, cn.reusable = false, true
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if req.BeforeWrite != nil {
		if err := req.BeforeWrite(); err != nil {
			return nil, err
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.nc.SetDeadline(time.Unix(1, 0)) })
	writeResult, err := cn.sendRequest(h, target, req)
	if err != nil {
		stop()
		return nil, err
	}
	resp, err := cn.readHead(h, req)
	if err != nil {
		stop()
		return nil, err
	}
	cn.kept = true
	select {
	case werr := <-writeResult:
		cn.reusable = cn.reusable && werr == nil
	default:
		// The server answered before it had received the whole body. It would
		// read the next request as the rest of that body.
		cn.reusable = false
	}
	return cn.newResponse(h, req, resp, stop), nil
}

func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
