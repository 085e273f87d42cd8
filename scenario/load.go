package scenario

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"godwitlock.example/godwitlock/standin/local"
	"godwitlock.example/godwitlock/topo"
)

const (
	// keysPerLoad is the number of keys that one load uses. With fewer than 20
	// keys on each of the 8 servers, the keys would count as hot and be moved.
	keysPerLoad = 240
	// attemptTimeout is how long a caller waits for the response to one attempt.
	attemptTimeout = 10 * time.Second
	// requestTimeoutMS is the timeout that callers send in Request-Timeout-Ms.
	requestTimeoutMS = "4000"
	// maxAttempts is how often a caller sends a request, each time through
	// another entry VM, until it gets a complete response.
	maxAttempts = 5
)

// loadGenerator sends the requests of callers and records each attempt. Like the
// platform's load balancer, it chooses among the VMs that are ready.
type loadGenerator struct {
	deployment *local.Deployment
	client     *http.Client
	isPaused   func(topo.VMID) bool

	mu       sync.Mutex
	nextVM   int
	attempts []attempt
	wg       sync.WaitGroup
	stop     context.CancelFunc
	ctx      context.Context
}

func newLoadGenerator(deployment *local.Deployment, isPaused func(topo.VMID) bool) *loadGenerator {
	ctx, stop := context.WithCancel(context.Background())
	return &loadGenerator{
		deployment: deployment, isPaused: isPaused, ctx: ctx, stop: stop,
		// Each request uses a new connection, because net/http resends some
		// requests on its own when a reused connection fails.
		client: &http.Client{Transport: &http.Transport{DialContext: deployment.DialAs(local.CallerHost), DisableKeepAlives: true}},
	}
}

// request describes one request of a load. Its key names it in the records.
type request struct {
	method, path, key, callerKey string
	customer                     topo.CustomerID
	idempotencyKey               string
}

// startLoad starts to send requests for a service at a constant rate until close is
// called, cycling through keysPerLoad keys.
func (g *loadGenerator) startLoad(service string, perSecond int, exactlyOnce bool, customer topo.CustomerID, callerKey string) {
	g.wg.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-g.ctx.Done():
				return
			case <-tick.C:
			}
			key := fmt.Sprintf("reader-%d", i%keysPerLoad)
			r := request{method: http.MethodGet, path: "/" + service + "/" + key, key: key, callerKey: callerKey, customer: customer}
			if exactlyOnce {
				r.method, r.idempotencyKey, r.key = http.MethodPost, newIdempotencyKey(time.Now()), key+"/once"
			}
			g.wg.Go(func() { g.send(r) })
		}
	})
}

// send sends a request and retries it through another entry VM when no complete
// response arrives, with up to maxAttempts attempts in all.
func (g *loadGenerator) send(r request) {
	for range maxAttempts {
		vm := g.pickVM()
		if vm == nil {
			now := time.Now()
			g.record(attempt{id: uuid.NewString(), key: r.key, customer: r.customer, idempotencyKey: r.idempotencyKey, start: now, end: now, kind: "no_ready_vm", dialFailed: true})
			return
		}
		if a := g.attempt(vm, r); a.status != 0 || g.ctx.Err() != nil {
			return
		}
	}
}

// pickVM returns the next ready VM in round-robin order, or nil if there is none. A
// paused VM does not count as ready.
func (g *loadGenerator) pickVM() *local.VM {
	g.mu.Lock()
	defer g.mu.Unlock()
	for range g.deployment.VMs {
		vm := g.deployment.VMs[g.nextVM%len(g.deployment.VMs)]
		g.nextVM++
		if vm.Ready() && !g.isPaused(vm.Settings.VM) {
			return vm
		}
	}
	return nil
}

func (g *loadGenerator) attempt(vm *local.VM, r request) attempt {
	ctx, cancel := context.WithTimeout(g.ctx, attemptTimeout)
	defer cancel()
	a := attempt{
		id: uuid.NewString(), key: r.key, customer: r.customer, idempotencyKey: r.idempotencyKey,
		vm: vm.Settings.VM, start: time.Now(),
	}
	a.err = g.exchange(ctx, vm, r, &a)
	a.end = time.Now()
	g.record(a)
	return a
}

// record stores an attempt, unless the scenario has ended and may have interrupted
// it.
func (g *loadGenerator) record(a attempt) {
	if g.ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts = append(g.attempts, a)
}

// newIdempotencyKey returns a UUIDv7 with the given timestamp. It doesn't use
// uuid.NewV7, whose timestamps never decrease within a process, because every
// synctest bubble starts at the same fake time.
func newIdempotencyKey(now time.Time) string {
	id := uuid.New()
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(now.UnixMilli()))
	copy(id[:6], ms[2:])
	id[6] = id[6]&0x0f | 0x70
	return id.String()
}

func (g *loadGenerator) exchange(ctx context.Context, vm *local.VM, r request, a *attempt) error {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+vm.Settings.CallerAddr+r.path, strings.NewReader(""))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+r.callerKey)
	req.Header.Set("Request-Timeout-Ms", requestTimeoutMS)
	req.Header.Set(attemptHeader, a.id)
	if r.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.idempotencyKey)
	}
	resp, err := g.client.Do(req)
	if err != nil {
		a.dialFailed = strings.Contains(err.Error(), "dial tcp")
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	a.kind, a.outcome = resp.Header.Get("Godwitlock-Error"), resp.Header.Get("Godwitlock-Outcome")
	if _, err := io.ReadAll(resp.Body); err != nil {
		return errors.Annotate(err, "response body incomplete")
	}
	a.status = resp.StatusCode
	return nil
}

// attemptHeader carries the id of an attempt to the records of the backend servers.
const attemptHeader = "Scenario-Attempt"

// recordedAttempts returns the attempts that have ended.
func (g *loadGenerator) recordedAttempts() []attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]attempt(nil), g.attempts...)
}

// close stops all loads and waits for their goroutines.
func (g *loadGenerator) close() {
	g.stop()
	g.wg.Wait()
}
