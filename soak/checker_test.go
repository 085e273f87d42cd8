package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"godwitlock.example/godwitlock/standin/platform/site"
)

// maxWithdrawalDelay is the maximum time from the withdrawal of a caller key until
// all VMs refuse it.
const maxWithdrawalDelay = 5 * time.Second

// ending is how a request ended for its caller.
type ending int

const (
	// answered requests got a complete response.
	answered ending = iota + 1
	// behindClose requests were sent behind another request whose response closed
	// the connection.
	behindClose
	// cut requests lost their connection before any byte of a response.
	cut
	// truncated requests lost their connection within the response.
	truncated
	// gaveUp requests were abandoned by their caller after the deadline.
	gaveUp
	// unsent requests could not be written completely.
	unsent
	endings
)

func (e ending) String() string {
	return [...]string{"not ended", "answered", "behind a closing response", "cut", "truncated", "given up", "unsent"}[e]
}

// request is the record of a request: what its caller sent and got, and its
// executions on servers.
type request struct {
	id, key  string
	unsafe   bool
	shard    int
	lines    int
	work     time.Duration
	deadline time.Duration
	// vm and conn are where it was sent, ahead is the number of requests without
	// a response on the connection at that time.
	vm    string
	conn  int64
	ahead int
	// at is the time before the first byte was written, lastByte after the last one.
	at, lastByte time.Time

	end    ending
	endAt  time.Time
	status int
	sealed bool
	// received is the number of bytes of a truncated body.
	received int
	// refused means that the response guarantees that the request is never executed.
	refused bool
	runs    []*execution
}

// execution is the run of a request on a server. finished means that the response
// was ready.
type execution struct {
	server   string
	begin    time.Time
	end      time.Time
	finished bool
}

// responseReady reports whether a server has completed the request.
func (r *request) responseReady() bool {
	for _, e := range r.runs {
		if e.finished {
			return true
		}
	}
	return false
}

func (r *request) String() string {
	s := fmt.Sprintf("request %s (unsafe %v, work %v, %d lines, %d ahead) on connection %d to %s, sent %s, ended after %v: %s, status %d, %d bytes of a part",
		r.id, r.unsafe, r.work, r.lines, r.ahead, r.conn, r.vm, r.at.Format(clockFormat), r.endAt.Sub(r.at).Round(time.Millisecond), r.end, r.status, r.received)
	for _, e := range r.runs {
		s += fmt.Sprintf("; run on %s at %s for %v, finished %v", e.server, e.begin.Format(clockFormat),
			max(0, e.end.Sub(e.begin)).Round(time.Millisecond), e.finished)
	}
	return s
}

// clockFormat is the format of times in violations.
const clockFormat = "15:04:05.000"

// checker records the requests of callers and the executions of servers, and collects
// violations of the guarantees.
type checker struct {
	mu           sync.Mutex
	rng          *rand.Rand
	requests     map[string]*request
	servers      []*site.Server
	keyCustomers map[string]string
	withdrawnAt  map[string]time.Time
	violations   []string
	// pauses holds the refusals of servers that asked for a pause.
	pauses []pauseRequest

	// delayOrders and loseResponses enable faults of the servers.
	delayOrders, loseResponses atomic.Bool
	served                     atomic.Int64
}

// pauseRequest is a refusal by which a server asked a VM for a pause.
type pauseRequest struct {
	server, vm string
	at         time.Time
}

// recordPause returns a function that records the refusals of a server.
func (c *checker) recordPause(server string) func(request string) {
	return func(request string) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if req := c.requests[request]; req != nil {
			c.pauses = append(c.pauses, pauseRequest{server: server, vm: req.vm, at: time.Now()})
		}
	}
}

func newChecker(seed uint64) *checker {
	return &checker{
		rng: rand.New(rand.NewPCG(seed, 77)), requests: make(map[string]*request),
		keyCustomers: make(map[string]string), withdrawnAt: make(map[string]time.Time),
	}
}

func (c *checker) registerServer(s *site.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = append(c.servers, s)
}

func (c *checker) unregisterServer(s *site.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, o := range c.servers {
		if o == s {
			c.servers = append(c.servers[:i], c.servers[i+1:]...)
			return
		}
	}
}

func (c *checker) chance(p float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64() < p
}

// orderDelay returns how much later a server carries out an ownership order; 0 is
// no delay.
func (c *checker) orderDelay() time.Duration {
	if !c.delayOrders.Load() || !c.chance(0.3) {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return 2*time.Second + time.Duration(c.rng.Int64N(int64(4*time.Second)))
}

func (c *checker) loseResponse() bool { return c.loseResponses.Load() && c.chance(0.1) }

// addViolation records a violation. The caller holds mu.
func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// violate records a violation.
func (c *checker) violate(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

// recordSent must be called before the first byte of the request is written, and
// recordWritten after the last one.
func (c *checker) recordSent(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.at = time.Now()
	c.requests[r.id] = r
}

func (c *checker) recordWritten(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.lastByte = time.Now()
}

// recordRun records an execution on a server and checks it against the request and
// the keys that other servers hold.
func (c *checker) recordRun(r site.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[r.Request]
	if req == nil {
		c.addViolation("UNASKED: %s executed request %q, which no caller sent", r.Server, r.Request)
		return
	}
	req.runs = append(req.runs, &execution{server: r.Server, begin: r.At})
	if req.unsafe && len(req.runs) > 1 {
		c.addViolation("TWICE: %s executed unsafe request %s a second time", r.Server, r.Request)
	}
	if req.refused {
		c.addViolation("REFUSED: %s executed request %s after its caller got a refusal", r.Server, r.Request)
	}
	if want := c.keyCustomers[req.key]; want != r.Customer {
		c.addViolation("UNASKED: %s executed request %s for customer %q, expected %q", r.Server, r.Request, r.Customer, want)
	}
	if at, ok := c.withdrawnAt[req.key]; ok && req.at.Sub(at) > maxWithdrawalDelay {
		c.addViolation("CONFIG: %s executed request %s, sent %v after its caller key was withdrawn", r.Server, r.Request, req.at.Sub(at))
	}
	for _, s := range c.servers {
		if s.ID != r.Server && s.HoldsKey(r.Key, r.At) {
			c.addViolation("OWNER: %s executed a request for key %d while %s also held the key", r.Server, r.Key, s.ID)
		}
	}
}

func (c *checker) recordRunEnd(r site.Run, finished bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if req := c.requests[r.Request]; req != nil {
		for _, e := range req.runs {
			if e.server == r.Server && e.begin.Equal(r.At) {
				e.end, e.finished = time.Now(), finished
			}
		}
	}
}

// recordEnd records how a request ended without a complete response.
func (c *checker) recordEnd(r *request, how ending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.end, r.endAt = how, time.Now()
}

// recordResponse records the response that a caller received. It checks that the
// response belongs to the request, is complete and in order, and that a refused
// unsafe request has not been executed.
func (c *checker) recordResponse(r *request, resp *http.Response, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seal := resp.Header.Get("Response-Seal")
	r.end, r.endAt, r.status, r.sealed = answered, time.Now(), resp.StatusCode, seal != ""
	if got := resp.Header.Get("Request-Id"); got != "" && got != r.id {
		c.addViolation("ORDER: %v got the response to request %s", r, got)
	}
	switch r.status {
	case http.StatusOK:
		c.served.Add(1)
		if server, ok := strings.CutSuffix(seal, "."+r.id); !ok || body != site.Body(server, r.id, r.lines) {
			c.addViolation("MIXED: %v got a response with seal %q and a body of %d bytes that begins with %.60q", r, seal, len(body), body)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		r.refused = r.unsafe
		if r.unsafe && len(r.runs) > 0 {
			c.addViolation("REFUSED: %v, although it had been executed", r)
		}
	case http.StatusUnauthorized:
		if _, withdrawn := c.withdrawnAt[r.key]; !withdrawn {
			c.addViolation("DENIED: valid %v", r)
		}
	case http.StatusNotFound, http.StatusForbidden, http.StatusBadRequest:
		c.addViolation("DENIED: valid %v", r)
	}
}

// recordWithdrawal records that a caller key is about to be withdrawn.
func (c *checker) recordWithdrawal(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawnAt[key] = time.Now()
}

func (c *checker) isWithdrawn(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.withdrawnAt[key]
	return ok
}

// servedShare returns the share of the requests sent between two times that were served,
// without those whose key was withdrawn.
func (c *checker) servedShare(since, until time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	served, total := 0, 0
	for _, r := range c.requests {
		if _, withdrawn := c.withdrawnAt[r.key]; withdrawn || r.at.Before(since) || r.at.After(until) {
			continue
		}
		total++
		if r.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(total, 1))
}

func (c *checker) recordedViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}
