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

// withdrawBound is the time in which a withdrawn key must stop working.
const withdrawBound = 5 * time.Second

// sentRequest is what a caller knows of a request.
type sentRequest struct {
	unsafe  bool
	key     string
	at      time.Time
	refused bool
}

// checker holds what callers and servers saw, and reports broken promises.
type checker struct {
	mu        sync.Mutex
	rng       *rand.Rand
	requests  map[string]*sentRequest
	runs      map[string]int
	servers   []*site.Server
	owners    map[string]string
	withdrawn map[string]time.Time
	broken    []string

	// lateOrders and lostAnswers switch faults of the servers on.
	lateOrders, lostAnswers atomic.Bool
	served, total           atomic.Int64
}

func newChecker(seed uint64) *checker {
	return &checker{
		rng: rand.New(rand.NewPCG(seed, 77)), requests: make(map[string]*sentRequest), runs: make(map[string]int),
		owners: make(map[string]string), withdrawn: make(map[string]time.Time),
	}
}

func (c *checker) add(s *site.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = append(c.servers, s)
}

func (c *checker) remove(s *site.Server) {
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

// late is how long an order is carried out late.
func (c *checker) late() time.Duration {
	if !c.lateOrders.Load() || !c.chance(0.3) {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return 2*time.Second + time.Duration(c.rng.Int64N(int64(4*time.Second)))
}

func (c *checker) loseAnswer() bool { return c.lostAnswers.Load() && c.chance(0.1) }

func (c *checker) fail(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// sent records a request before it is sent.
func (c *checker) sent(id, key string, unsafe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = &sentRequest{unsafe: unsafe, key: key, at: time.Now()}
}

// ran records a run at a server.
func (c *checker) ran(r site.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[r.Request]
	if req == nil {
		c.fail("UNASKED: %s ran %q, which nobody sent", r.Server, r.Request)
		return
	}
	c.runs[r.Request]++
	if req.unsafe && c.runs[r.Request] > 1 {
		c.fail("TWICE: %s ran %s again", r.Server, r.Request)
	}
	if req.refused {
		c.fail("REFUSED: %s ran %s after it was refused", r.Server, r.Request)
	}
	if want := c.owners[req.key]; want != r.Customer {
		c.fail("UNASKED: %s ran %s for customer %q, not %q", r.Server, r.Request, r.Customer, want)
	}
	if at, ok := c.withdrawn[req.key]; ok && req.at.Sub(at) > withdrawBound {
		c.fail("CONFIG: %s ran %s, sent %v after its key was withdrawn", r.Server, r.Request, req.at.Sub(at))
	}
	for _, s := range c.servers {
		if s.ID != r.Server && s.Holds(r.Key, r.At) {
			c.fail("OWNER: %s ran key %d while %s held it too", r.Server, r.Key, s.ID)
		}
	}
}

// answered records what a caller got; status 0 is no answer.
func (c *checker) answered(id string, status int, seal, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[id]
	switch {
	case status == http.StatusOK:
		if seal == "" || body != seal[:max(0, len(seal)-len(id)-1)]+" "+id {
			c.fail("MIXED: %s got seal %q and body %q", id, seal, body)
		}
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable,
		status == http.StatusRequestTimeout, status == http.StatusMisdirectedRequest:
		req.refused = true
		if req.unsafe && c.runs[id] > 0 {
			c.fail("REFUSED: %s got %d and had run", id, status)
		}
		if !req.unsafe {
			req.refused = false
		}
	case status == http.StatusNotFound, status == http.StatusForbidden, status == http.StatusBadRequest:
		c.fail("DENIED: %s got %d", id, status)
	}
}

// withdraw records that a key is no longer in force.
func (c *checker) withdraw(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawn[key] = time.Now()
}

func (c *checker) problems() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.broken...)
}
