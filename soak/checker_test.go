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

// maxWithdrawalDelay is the time in which a withdrawn key must stop working.
const maxWithdrawalDelay = 5 * time.Second

// sentRequest is what a caller knows of a request.
type sentRequest struct {
	unsafe  bool
	key     string
	at      time.Time
	refused bool
}

// checker holds what callers and servers saw, and reports broken promises.
type checker struct {
	mu           sync.Mutex
	rng          *rand.Rand
	requests     map[string]*sentRequest
	executions   map[string]int
	servers      []*site.Server
	keyCustomers map[string]string
	withdrawnAt  map[string]time.Time
	violations   []string

	// delayOrders and loseResponses switch faults of the servers on.
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

// orderDelay is how long an order is carried out late.
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

// recordSent records a request before it is sent.
func (c *checker) recordSent(id, key string, unsafe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = &sentRequest{unsafe: unsafe, key: key, at: time.Now()}
}

// recordExecution records a run at a server.
func (c *checker) recordExecution(r site.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[r.Request]
	if req == nil {
		c.addViolation("UNASKED: %s ran %q, which nobody sent", r.Server, r.Request)
		return
	}
	c.executions[r.Request]++
	if req.unsafe && c.executions[r.Request] > 1 {
		c.addViolation("TWICE: %s ran %s again", r.Server, r.Request)
	}
	if req.refused {
		c.addViolation("REFUSED: %s ran %s after it was refused", r.Server, r.Request)
	}
	if want := c.keyCustomers[req.key]; want != r.Customer {
		c.addViolation("UNASKED: %s ran %s for customer %q, not %q", r.Server, r.Request, r.Customer, want)
	}
	if at, ok := c.withdrawnAt[req.key]; ok && req.at.Sub(at) > maxWithdrawalDelay {
		c.addViolation("CONFIG: %s ran %s, sent %v after its key was withdrawn", r.Server, r.Request, req.at.Sub(at))
	}
	for _, s := range c.servers {
		if s.ID != r.Server && s.Holds(r.Key, r.At) {
			c.addViolation("OWNER: %s ran key %d while %s held it too", r.Server, r.Key, s.ID)
		}
	}
}

// recordResponse records what a caller got; status 0 is no answer.
func (c *checker) recordResponse(id string, status int, seal, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[id]
	switch {
	case status == http.StatusOK:
		if seal == "" || body != seal[:max(0, len(seal)-len(id)-1)]+" "+id {
			c.addViolation("MIXED: %s got seal %q and body %q", id, seal, body)
		}
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable,
		status == http.StatusRequestTimeout, status == http.StatusMisdirectedRequest:
		req.refused = true
		if req.unsafe && c.executions[id] > 0 {
			c.addViolation("REFUSED: %s got %d and had run", id, status)
		}
		if !req.unsafe {
			req.refused = false
		}
	case status == http.StatusNotFound, status == http.StatusForbidden, status == http.StatusBadRequest:
		c.addViolation("DENIED: %s got %d", id, status)
	}
}

// recordWithdrawal records that a key is no longer in force.
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
