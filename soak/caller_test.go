package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/standin/platform/site"
)

// style is how a caller uses its connections.
type style struct {
	// window is the number of requests in flight on a connection. All are safe if
	// it is above 1.
	window int
	// limit is the number of requests on a connection; 0 is no limit.
	limit int
	// unsafeShare is the share of requests that are unsafe.
	unsafeShare float64
	// faithful callers return to the process of their last connection.
	faithful bool
}

// styles are assigned to the callers in turn. Without a limit, a connection is used
// until its process closes it.
var styles = []style{
	{window: 1, unsafeShare: 0.5, faithful: true},
	{window: 4},
	{window: 1, unsafeShare: 1},
	{window: 1, limit: 1, unsafeShare: 0.5},
	{window: 8, faithful: true},
	{window: 2, limit: 40},
}

const (
	// slowShare is the share of requests that take a server 1 s to 2 s.
	slowShare = 0.02
	// longShare is the share of requests whose response has a long body.
	longShare = 0.05
	// maxThinkMS bounds the time between two requests on a connection, refusalPauseMS
	// that after a refusal, in milliseconds.
	maxThinkMS, refusalPauseMS = 60, 300
	// withdrawnShare is how often callers still use a withdrawn key.
	withdrawnShare = 0.1
	// giveUpAfter is how long a caller waits beyond the deadline of a request.
	giveUpAfter = time.Second
)

// caller sends requests on raw connections, one connection at a time.
type caller struct {
	c     *cluster
	index int
	style style
	rng   *rand.Rand
	stop  chan struct{}
	vm    int
	sent  int
	// again holds the requests that were sent behind a closing response.
	again []*request
}

// conns numbers the connections of all callers.
var conns atomic.Int64

func newCaller(c *cluster, seed uint64, index int, stop chan struct{}) *caller {
	return &caller{
		c: c, index: index, style: styles[index%len(styles)], stop: stop, vm: index % len(c.procs),
		rng: rand.New(rand.NewPCG(seed, uint64(1000+index))),
	}
}

func (u *caller) stopped() bool {
	select {
	case <-u.stop:
		return true
	default:
		return false
	}
}

// run opens one connection after the other until stop is closed.
func (u *caller) run() {
	for !u.stopped() {
		if !u.style.faithful || len(u.again) > 0 {
			u.vm = u.rng.IntN(len(u.c.procs))
		}
		p := u.c.procs[u.vm]
		nc, err := net.DialTimeout("tcp", p.frontAddr, time.Second)
		if err != nil {
			u.vm = u.rng.IntN(len(u.c.procs))
			time.Sleep(20 * time.Millisecond)
			continue
		}
		s := &session{u: u, vm: p.name, nc: nc, id: conns.Add(1), br: bufio.NewReader(nc),
			tokens: make(chan struct{}, u.style.window), inFlight: make(chan *request, u.style.window), closed: make(chan struct{})}
		s.run()
	}
}

// newRequest returns a request that was not sent yet, first those to be sent again.
func (u *caller) newRequest() *request {
	r := &request{key: []string{"key-a1", "key-a2", "key-b"}[u.rng.IntN(3)], shard: u.rng.IntN(1 << 16),
		unsafe: u.rng.Float64() < u.style.unsafeShare, deadline: time.Duration(1200+u.rng.IntN(1200)) * time.Millisecond}
	if u.rng.Float64() < slowShare && u.c.slowWork.Load() {
		r.work, r.deadline = time.Duration(1000+u.rng.IntN(1000))*time.Millisecond, 2400*time.Millisecond
	}
	if u.rng.Float64() < longShare {
		r.lines = 1 + u.rng.IntN(*linesFlag)
	}
	if len(u.again) > 0 {
		old := u.again[0]
		u.again = u.again[1:]
		r.key, r.shard, r.unsafe, r.lines = old.key, old.shard, old.unsafe, old.lines
	}
	if u.c.check.isWithdrawn(r.key) && u.rng.Float64() > withdrawnShare {
		r.key = "key-b"
	}
	r.id = fmt.Sprintf("r-%d-%d", u.index, u.sent)
	u.sent++
	return r
}

// session is a connection of a caller. send writes the requests, receive reads the
// responses in the order of the requests.
type session struct {
	u  *caller
	vm string
	nc net.Conn
	id int64
	br *bufio.Reader
	// tokens bounds the requests in flight; inFlight holds them in order.
	tokens    chan struct{}
	inFlight  chan *request
	unsettled atomic.Int32
	// refused is set by a response that asks the caller to come back later.
	refused atomic.Bool
	// closed is closed when no further request may be sent.
	closed chan struct{}
}

func (s *session) run() {
	var sender sync.WaitGroup
	sender.Go(s.send)
	how := s.receive()
	_ = s.nc.Close()
	close(s.closed)
	// Requests that the sender had not finished writing end like the others.
	var again []*request
	for r := range s.inFlight {
		s.u.c.check.recordEnd(r, how)
		again = append(again, r)
	}
	sender.Wait()
	if how == behindClose {
		s.u.again = append(s.u.again, again...)
	}
}

// send writes requests until the connection ends or the caller stops.
func (s *session) send() {
	defer close(s.inFlight)
	for n := 0; s.u.style.limit == 0 || n < s.u.style.limit; n++ {
		select {
		case s.tokens <- struct{}{}:
		case <-s.closed:
			return
		}
		if s.u.stopped() {
			return
		}
		r := s.u.newRequest()
		r.vm, r.conn, r.ahead = s.vm, s.id, int(s.unsettled.Add(1))-1
		s.u.c.check.recordSent(r)
		if _, err := io.WriteString(s.nc, s.u.wireFormat(r, s.u.style.limit == n+1)); err != nil {
			s.u.c.check.recordEnd(r, unsent)
			return
		}
		s.u.c.check.recordWritten(r)
		s.inFlight <- r
		pause := 1 + s.u.rng.IntN(maxThinkMS)
		if s.refused.Swap(false) {
			pause += s.u.rng.IntN(refusalPauseMS)
		}
		time.Sleep(time.Duration(pause) * time.Millisecond)
	}
}

// wireFormat returns the bytes of a request.
func (u *caller) wireFormat(r *request, last bool) string {
	method, path, body := http.MethodGet, "/read/x", ""
	if r.unsafe {
		method, path, body = http.MethodPost, "/write/x", "order "+r.id
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\nShard-Key: %d\r\n",
		method, path, r.id, r.deadline.Milliseconds(), r.key, r.shard)
	fmt.Fprintf(&b, "%s: %d\r\n%s: %d\r\n", site.HeaderWorkMS, r.work.Milliseconds(), site.HeaderBodyLines, r.lines)
	if last {
		b.WriteString("Connection: close\r\n")
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	return b.String() + "\r\n" + body
}

// receive reads responses until the connection ends. It returns how the requests
// that are still in flight end.
func (s *session) receive() ending {
	for r := range s.inFlight {
		_ = s.nc.SetReadDeadline(r.at.Add(r.deadline + giveUpAfter))
		resp, how := s.readResponse(r)
		if resp == nil {
			s.u.c.check.recordEnd(r, how)
			if how == truncated {
				how = cut
			}
			return how
		}
		s.unsettled.Add(-1)
		<-s.tokens
		if resp.Close {
			return behindClose
		}
	}
	return answered
}

// readResponse reads the response to a request and records it. It returns a nil
// response and how the request ended if there is none that is complete.
func (s *session) readResponse(r *request) (*http.Response, ending) {
	_, err := s.br.Peek(1)
	if err != nil {
		return nil, endOf(err, cut)
	}
	resp, err := http.ReadResponse(s.br, nil)
	if err != nil {
		return nil, endOf(err, truncated)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.received = len(body)
		return nil, endOf(err, truncated)
	}
	s.u.c.check.recordResponse(r, resp, string(body))
	s.refused.Store(resp.Header.Get("Retry-After") != "")
	return resp, answered
}

// endOf returns how a request ends after a read error.
func endOf(err error, otherwise ending) ending {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return gaveUp
	}
	return otherwise
}
