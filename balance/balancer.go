package balance

import (
	"context"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/topo"
)

// Balancer drives a Pool. It sets Request.Server, passes the request to the inner
// Doer and hedges idempotent requests. It is safe for concurrent use.
type Balancer struct {
	inner call.Doer
	mu    sync.Mutex
	pool  *Pool
}

// NewBalancer returns a balancer over servers that sends requests through inner.
// The caller must not use rnd afterwards.
func NewBalancer(servers []topo.ServerID, rnd *rand.Rand, inner call.Doer) *Balancer {
	return &Balancer{inner: inner, pool: NewPool(servers, rnd)}
}

// SetServers replaces the set of servers. Servers in both sets keep their state.
func (b *Balancer) SetServers(ids []topo.ServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pool.SetServers(ids)
}

// Report records the queue length that a server's home VM reported. Reports about
// unknown servers are ignored.
func (b *Balancer) Report(id topo.ServerID, queued int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pool.Report(time.Now(), id, queued)
}

// States returns a snapshot of all servers, in the order given to SetServers.
func (b *Balancer) States() []State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool.States()
}

// maxHedgeChecks is how many times Do asks the pool for a hedge of one request.
const maxHedgeChecks = 2

// attempt is one try of a request at one server, with its result.
type attempt struct {
	inFlight InFlight
	cancel   context.CancelFunc
	resp     *call.Response
	err      error
}

// Do implements call.Doer. It sets req.Server to the server of the first attempt.
// If req.Server is already set, by an earlier attempt that failed, Do chooses
// another server unless there is no other. The error is of kind NoOwner if the
// pool has no server.
func (b *Balancer) Do(ctx context.Context, req *call.Request) (*call.Response, error) {
	first, ok := b.pick(req, req.Server)
	if !ok {
		return nil, errkind.New(errkind.NoOwner, "the service has no server")
	}
	req.Server = first.Server
	delay, ok := b.hedgeDelay(req, first)
	if !ok {
		return b.sendUnhedged(ctx, req, first)
	}
	results := make(chan *attempt, 2)
	attempts := []*attempt{b.start(ctx, req, first, results)}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for range maxHedgeChecks {
		select {
		case a := <-results:
			return b.finish(a, attempts, nil)
		case <-timer.C:
		}
		if second, ok := b.pickHedge(req, first); ok {
			attempts = append(attempts, b.start(ctx, req, second, results))
			break
		}
		timer.Reset(delay)
	}
	return b.firstSuccess(attempts, results)
}

func (b *Balancer) sendUnhedged(ctx context.Context, req *call.Request, inFlight InFlight) (*call.Response, error) {
	resp, err := b.inner.Do(ctx, req)
	b.end(ctx, &attempt{inFlight: inFlight, resp: resp, err: err})
	return resp, err
}

// firstSuccess returns the first successful response. If all attempts fail, it
// returns the error of the attempt that was started first.
func (b *Balancer) firstSuccess(attempts []*attempt, results <-chan *attempt) (*call.Response, error) {
	for range len(attempts) - 1 {
		if a := <-results; a.err == nil {
			return b.finish(a, attempts, results)
		}
	}
	a := <-results
	if a.err != nil {
		a = attempts[0]
	}
	return b.finish(a, attempts, nil)
}

// finish returns the result of a and cancels the other attempts. If results is not
// nil, the response of the other attempt is received from it and closed unread.
func (b *Balancer) finish(a *attempt, attempts []*attempt, results <-chan *attempt) (*call.Response, error) {
	for _, t := range attempts {
		if t != a {
			t.cancel()
		}
	}
	if results != nil {
		go discard(results)
	}
	if a.err != nil || a.resp.Body == nil {
		a.cancel()
		return a.resp, a.err
	}
	a.resp.Body = call.OnEnd(a.resp.Body, a.cancel)
	return a.resp, nil
}

func discard(results <-chan *attempt) {
	if a := <-results; a.err == nil && a.resp.Body != nil {
		_ = a.resp.Body.Close()
	}
}

func (b *Balancer) start(ctx context.Context, req *call.Request, inFlight InFlight, results chan<- *attempt) *attempt {
	r := *req
	r.Server = inFlight.Server
	// Each attempt gets its own header, since later stages may modify it.
	r.Header = r.Header.Clone()
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{inFlight: inFlight, cancel: cancel}
	go func() {
		a.resp, a.err = b.inner.Do(ctx, &r)
		b.end(ctx, a)
		results <- a
	}()
	return a
}

func (b *Balancer) end(ctx context.Context, a *attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pool.End(time.Now(), a.inFlight, outcomeOf(ctx, a))
}

func outcomeOf(ctx context.Context, a *attempt) Outcome {
	switch {
	case a.err == nil:
		return outcomeOfStatus(a.resp.Status)
	case ctx.Err() != nil:
		return Cancelled
	}
	switch errkind.Of(a.err) {
	case errkind.QueueFull, errkind.NotHome, errkind.DeadlineBeforeRun, errkind.ShuttingDown:
		return Refused
	case errkind.ServerRefused, errkind.ServerUnreachable, errkind.OutcomeUnknown, errkind.Internal:
		return Failed
	}
	return Inconclusive
}

// outcomeOfStatus maps an HTTP status to an outcome. Only statuses that indicate an
// overloaded or broken server count as Failed. Any other status, including 500, may
// be caused by the request itself.
func outcomeOfStatus(status int) Outcome {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return Failed
	}
	return Served
}

func (b *Balancer) pick(req *call.Request, exclude topo.ServerID) (InFlight, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if exclude != "" {
		if s, ok := b.pool.Pick(time.Now(), req.Idempotent, exclude); ok {
			return s, true
		}
	}
	return b.pool.Pick(time.Now(), req.Idempotent)
}

func (b *Balancer) hedgeDelay(req *call.Request, first InFlight) (time.Duration, bool) {
	if !req.Idempotent || req.Body != nil || req.Class != call.Small {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool.HedgeDelay(first)
}

func (b *Balancer) pickHedge(req *call.Request, first InFlight) (InFlight, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.pool.TakeHedge(time.Now(), first) {
		return InFlight{}, false
	}
	return b.pool.Pick(time.Now(), req.Idempotent, first.Server)
}
