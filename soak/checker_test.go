package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"godwitlock.example/godwitlock/standin/platform/site"
)

// maxWithdrawalDelay is the maximum time from the withdrawal of a caller key until
// all VMs refuse it.
const maxWithdrawalDelay = 5 * time.Second

// sentRequest is the caller's record of a request. refused means that the response
// guarantees that the request is never executed.
type sentRequest struct {
	unsafe  bool
	key     string
	at      time.Time
	refused bool
}

// checker records the requests of callers and the executions of servers, and collects
// violations of the guarantees.
type checker struct {
	mu           sync.Mutex
	rng          *rand.Rand
	requests     map[string]*sentRequest
	executions   map[string]int
	servers      []*site.Server
	keyCustomers map[string]string
	withdrawnAt  map[string]time.Time
	violations   []string

	// delayOrders and loseResponses enable faults of the servers.
	delayOrders, loseResponses atomic.Bool
	served, total              atomic.Int64
}

func newChecker(seed uint64) *checker {
	return &checker{
		rng: rand.New(rand.NewPCG(seed, 77)), requests: make(map[string]*sentRequest), executions: make(map[string]int),
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

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// recordSent must be called before the request is sent.
func (c *checker) recordSent(id, key string, unsafe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = &sentRequest{unsafe: unsafe, key: key, at: time.Now()}
}

// recordExecution records an execution on a server and checks it against the
// request and the keys that other servers hold.
func (c *checker) recordExecution(r site.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[r.Request]
	if req == nil {
		c.addViolation("UNASKED: %s executed request %q, which no caller sent", r.Server, r.Request)
		return
	}
	c.executions[r.Request]++
	if req.unsafe && c.executions[r.Request] > 1 {
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

// recordResponse records the response that a caller received; status 0 is a request
// without a response. It checks that the response belongs to the request and that
// a refused unsafe request has not been executed.
func (c *checker) recordResponse(id string, status int, seal, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[id]
	switch {
	case status == http.StatusOK:
		if seal == "" || body != seal[:max(0, len(seal)-len(id)-1)]+" "+id {
			c.addViolation("MIXED: request %s got a response with seal %q and body %q", id, seal, body)
		}
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable,
		status == http.StatusRequestTimeout, status == http.StatusMisdirectedRequest:
		req.refused = true
		if req.unsafe && c.executions[id] > 0 {
			c.addViolation("REFUSED: request %s got status %d although it had been executed", id, status)
		}
		if !req.unsafe {
			req.refused = false
		}
	case status == http.StatusNotFound, status == http.StatusForbidden, status == http.StatusBadRequest:
		c.addViolation("DENIED: valid request %s got status %d", id, status)
	}
}

// recordWithdrawal records that a caller key was withdrawn just now.
func (c *checker) recordWithdrawal(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawnAt[key] = time.Now()
}

func (c *checker) recordedViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}
