// Package load sends requests to daemons over HTTP in an open loop. Every
// request has an intended send time that does not depend on earlier responses,
// and its latency counts from that time. A stalled daemon therefore shows in
// the latencies of all requests that it delayed (no coordinated omission).
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/topo"
)

// HeaderID is the header that carries the id of one attempt to the backend
// server. The records of the server show which attempts ran.
const HeaderID = "Load-Id"

// Customer describes a customer and the load that it sends.
type Customer struct {
	ID        topo.CustomerID
	CallerKey string
	// Rate is in requests per second.
	Rate float64
	// Keys, if set, are used in turn and at a constant rate instead of
	// random keys, and only with the first kind.
	Keys []string
}

// Kind describes a kind of request.
type Kind struct {
	Name   string
	Method string
	// Path is the request target; %s stands for the key.
	Path string
	// KeyHeader, if set, is a request header that also carries the key.
	KeyHeader string
	// Share is the weight of the kind among all kinds.
	Share float64
	// ExactlyOnce makes requests carry an Idempotency-Key.
	ExactlyOnce bool
	// Large marks large transfers. Package bench excludes them from its latency
	// metrics.
	Large bool
	// Pooled requests go to a service whose servers do not own keys; any server
	// can execute them.
	Pooled bool
	// BodyBytes and ResponseBytes are the sizes of request and response
	// bodies. If ResponseBytes is 0, the server sends its short default
	// response.
	BodyBytes, ResponseBytes int64
}

// Surge multiplies the rate of a customer from From to To, counted from the
// start of the run.
type Surge struct {
	Customer topo.CustomerID
	From, To time.Duration
	Factor   float64
}

// Plan describes a run. Duration and MaxRequests bound it.
type Plan struct {
	// Targets are base URLs of daemons. Each request goes to a random one.
	Targets   []string
	Customers []Customer
	Kinds     []Kind
	// Keys is the number of keys. ZipfS is the exponent of their Zipf
	// distribution and must be above 1.
	Keys  uint64
	ZipfS float64
	// HotKeyPeriod is how long the same keys stay the most frequent ones.
	HotKeyPeriod time.Duration
	Surge        Surge
	// RepeatShare is the share of exactly-once requests that are sent again
	// with the same idempotency key after they have ended.
	RepeatShare float64
	Timeout     time.Duration
	Duration    time.Duration
	MaxRequests int
	// MaxInFlight is the maximum number of requests in flight. Requests
	// beyond it are recorded as failed without being sent.
	MaxInFlight int64
	Seed        uint64
	// Progress, if not nil, receives a status line every second.
	Progress io.Writer
}

func (p *Plan) validate() error {
	switch {
	case len(p.Targets) == 0 || len(p.Customers) == 0 || len(p.Kinds) == 0:
		return errors.NotValidf("a plan without targets, customers or kinds of requests")
	case p.Duration <= 0 || p.MaxRequests <= 0 || p.MaxInFlight <= 0 || p.Timeout <= 0:
		return errors.NotValidf("a plan without a positive duration, timeout, request limit and in-flight limit")
	case p.Keys == 0 || p.ZipfS <= 1:
		return errors.NotValidf("%d keys with skew %g (accepted: at least 1 key, skew above 1)", p.Keys, p.ZipfS)
	}
	for _, c := range p.Customers {
		if c.Rate <= 0 {
			return errors.NotValidf("rate %g of customer %s", c.Rate, c.ID)
		}
	}
	return nil
}

// Record describes one attempt as its caller saw it.
type Record struct {
	ID             string
	Kind           *Kind
	Customer       topo.CustomerID
	Key            string
	IdempotencyKey string
	// Repeat is true if the attempt reuses the idempotency key of an earlier
	// one.
	Repeat               bool
	Intended, Sent, Done time.Time
	// Status is 0 if no response header arrived.
	Status int
	// Error and Outcome are the error and outcome headers of a refusal by
	// godwitlock.
	Error, Outcome string
	// EchoedID is the Request-Id of the response.
	EchoedID string
	// TransportError is the error of the HTTP transport, if any. TimedOut is
	// true if the request timed out, Unsent if it was never sent.
	TransportError   string
	TimedOut, Unsent bool
	// ResponseKey is the key in the response body, ResponseBytes the length
	// of the body, and LengthMatches is true if that is the requested
	// length.
	ResponseKey   string
	ResponseBytes int64
	LengthMatches bool
}

// OK reports whether a complete response with status 200 arrived.
func (r *Record) OK() bool { return r.Status == http.StatusOK && r.TransportError == "" }

// Latency returns the time from the intended send time until the attempt ended.
func (r *Record) Latency() time.Duration { return r.Done.Sub(r.Intended) }

// Run carries out a plan and returns the records of all attempts, in no
// particular order.
func Run(ctx context.Context, p *Plan) ([]Record, error) {
	if err := p.validate(); err != nil {
		return nil, err
	}
	r := &runner{plan: p, start: time.Now(), client: newClient(p.Timeout)}
	defer r.client.CloseIdleConnections()
	stop := r.progress()
	r.dispatch(ctx)
	r.wg.Wait()
	stop()
	return r.records, nil
}

const maxIdleConnsPerTarget = 256

func newClient(timeout time.Duration) *http.Client {
	tr := http.DefaultTransport.(*http.Transport).Clone()
	tr.Proxy = nil
	tr.MaxIdleConns, tr.MaxIdleConnsPerHost, tr.DisableCompression = 0, maxIdleConnsPerTarget, true
	return &http.Client{Transport: tr, Timeout: timeout}
}

type runner struct {
	plan     *Plan
	start    time.Time
	client   *http.Client
	inFlight atomic.Int64
	sent     atomic.Int64
	failed   atomic.Int64
	wg       sync.WaitGroup

	mu      sync.Mutex
	records []Record
}

// dispatch starts every request at its intended time.
func (r *runner) dispatch(ctx context.Context) {
	s := newSchedule(r.plan)
	for range r.plan.MaxRequests {
		at, j := s.next()
		if at >= r.plan.Duration {
			return
		}
		intended := r.start.Add(at)
		if !sleepUntil(ctx, intended) {
			return
		}
		r.launch(ctx, intended, j)
	}
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) launch(ctx context.Context, intended time.Time, j scheduledRequest) {
	if r.inFlight.Load() >= r.plan.MaxInFlight {
		now := time.Now()
		r.add(Record{ID: j.id, Kind: j.kind, Customer: j.customer.ID, Key: j.key, Intended: intended,
			Sent: now, Done: now, Unsent: true, TransportError: "not sent: too many requests in flight"})
		return
	}
	r.inFlight.Add(1)
	r.sent.Add(1)
	r.wg.Go(func() {
		defer r.inFlight.Add(-1)
		if j.kind.ExactlyOnce {
			j.idempotencyKey = newIdempotencyKey()
		}
		rec := r.attempt(ctx, intended, j, j.target)
		if j.kind.ExactlyOnce && (j.repeat || rec.Outcome == "unknown" || rec.Status == 0) {
			repeated := j
			repeated.id += "-again"
			repeatRecord := r.attempt(ctx, time.Now(), repeated, j.otherTarget)
			repeatRecord.Repeat = true
			r.add(repeatRecord)
		}
		r.add(rec)
	})
}

func (r *runner) add(rec Record) {
	if !rec.OK() {
		r.failed.Add(1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, rec)
}

// progress prints a line a second until the returned function is called.
func (r *runner) progress() (stop func()) {
	if r.plan.Progress == nil {
		return func() {}
	}
	tick := time.NewTicker(time.Second)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-tick.C:
				_, _ = fmt.Fprintf(r.plan.Progress, "%3.0f s: %d sent, %d in flight, %d not answered with 200\n",
					time.Since(r.start).Seconds(), r.sent.Load(), r.inFlight.Load(), r.failed.Load())
			case <-done:
				return
			}
		}
	}()
	return func() {
		tick.Stop()
		close(done)
		<-ended
	}
}

// newRand returns a random number generator that depends on the seed and on the
// purpose for which a run uses it.
func newRand(seed, purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, purpose)) }
