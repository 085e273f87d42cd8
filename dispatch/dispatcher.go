package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/topo"
)

// SendCheck checks immediately before sending that this VM may send req to the
// server: that its server lease is valid and the slice is granted to it. On an
// error the request is refused as not run.
type SendCheck func(req *call.Request) error

// Dispatcher runs a Queue on real time and implements call.Doer. Do waits for a
// slot, sends the request through the inner Doer and frees the slot when the
// response body has been read to its end or closed. It is safe for concurrent
// use.
type Dispatcher struct {
	inner     call.Doer
	checkSend SendCheck

	mu      sync.Mutex
	queue   *Queue
	waiting map[Ticket]chan errkind.Kind
	timer   *time.Timer
	// changed is closed and replaced after every event on the queue.
	changed chan struct{}
}

// NewDispatcher returns a dispatcher that sends through inner. A nil checkSend
// permits every request. The server counts as cold at first.
func NewDispatcher(cfg Config, inner call.Doer, checkSend SendCheck) *Dispatcher {
	if checkSend == nil {
		checkSend = func(*call.Request) error { return nil }
	}
	return &Dispatcher{
		inner:     inner,
		checkSend: checkSend,
		queue:     NewQueue(cfg, time.Now()),
		waiting:   make(map[Ticket]chan errkind.Kind),
		changed:   make(chan struct{}),
	}
}

// Do implements call.Doer. It blocks until the request gets a slot, is refused,
// or ctx ends, and then until the response head arrives.
func (d *Dispatcher) Do(ctx context.Context, req *call.Request) (*call.Response, error) {
	t, err := d.acquire(ctx, req)
	if err != nil {
		return nil, err
	}
	if err := d.checkSend(req); err != nil {
		d.release(t, Unsent)
		return nil, asNotRun(err)
	}
	resp, err := d.inner.Do(ctx, req)
	if err != nil {
		d.release(t, verdictOfError(err))
		return nil, err
	}
	if resp.Body == nil {
		d.release(t, verdictOfStatus(resp.Status))
		return resp, nil
	}
	d.recordResponse(t, verdictOfStatus(resp.Status))
	resp.Body = call.OnEnd(resp.Body, func() { d.release(t, Unsent) })
	return resp, nil
}

// asNotRun returns err if its kind already says that the request did not run,
// and otherwise wraps it with the kind NotHome.
func asNotRun(err error) error {
	if errkind.Of(err).Answer().Outcome == errkind.NotRun {
		return err
	}
	return errkind.Wrap(err, errkind.NotHome, "this VM may not send to the server at the moment")
}

// verdictOfStatus returns Failed only for statuses that indicate an overloaded
// or broken server. Any other status, including 500, may be caused by the
// request itself, and a customer whose requests fail must not make the server
// count as cold.
func verdictOfStatus(status int) Verdict {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return Failed
	}
	return Served
}

func verdictOfError(err error) Verdict {
	switch errkind.Of(err) {
	case errkind.ServerRefused:
		return Refused
	case errkind.ServerUnreachable, errkind.OutcomeUnknown, errkind.Internal:
		return Failed
	case errkind.DeadlineAfterRun, errkind.CallerGone:
		return Cancelled
	}
	return Unsent
}

// acquire queues the request and blocks until it has a slot, is refused or ctx
// ends.
func (d *Dispatcher) acquire(ctx context.Context, req *call.Request) (Ticket, error) {
	if ctx.Err() != nil {
		return 0, errkind.Wrap(ctx.Err(), errkind.DeadlineBeforeRun, "ended before it was queued")
	}
	it := Item{Customer: req.Customer, Class: req.Class, Slice: req.Slice}
	it.Deadline, _ = ctx.Deadline()
	t, granted, err := d.enqueue(it)
	if err != nil {
		return 0, err
	}
	select {
	case kind := <-granted:
		return t, refusalError(kind)
	case <-ctx.Done():
	}
	d.abandon(t)
	return 0, errkind.Wrap(ctx.Err(), errkind.DeadlineBeforeRun, "ended while it was queued")
}

func refusalError(k errkind.Kind) error {
	switch k {
	case errkind.Unset:
		return nil
	case errkind.NotHome:
		return errkind.New(k, "the server or the slice is moving")
	case errkind.QueueFull:
		return errkind.New(k, "the server's queue is full")
	}
	return errkind.New(k, "the deadline cannot be met, or the queue is too slow")
}

func (d *Dispatcher) enqueue(it Item) (Ticket, <-chan errkind.Kind, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, err := d.queue.Offer(time.Now(), it)
	if err != nil {
		d.dispatch()
		return 0, nil, err
	}
	granted := make(chan errkind.Kind, 1)
	d.waiting[t] = granted
	d.dispatch()
	return t, granted, nil
}

// abandon removes a request from the queue, or frees its slot if it was granted
// one concurrently.
func (d *Dispatcher) abandon(t Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, t)
	if !d.queue.Cancel(t) {
		d.queue.Done(time.Now(), t)
	}
	d.dispatch()
}

func (d *Dispatcher) recordResponse(t Ticket, v Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.Responded(time.Now(), t, v)
	d.dispatch()
}

func (d *Dispatcher) release(t Ticket, v Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.queue.Responded(now, t, v)
	d.queue.Done(now, t)
	d.dispatch()
}

// dispatch grants free slots, delivers refusals and resets the timer. The caller
// must hold d.mu.
func (d *Dispatcher) dispatch() {
	now := time.Now()
	for t, ok := d.queue.Next(now); ok; t, ok = d.queue.Next(now) {
		d.notifyWaiter(t, errkind.Unset)
	}
	for _, r := range d.queue.Refusals() {
		d.notifyWaiter(r.Ticket, r.Kind)
	}
	d.setTimer(now)
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Dispatcher) notifyWaiter(t Ticket, k errkind.Kind) {
	if c, ok := d.waiting[t]; ok {
		c <- k
		delete(d.waiting, t)
	}
}

func (d *Dispatcher) setTimer(now time.Time) {
	if d.timer != nil {
		d.timer.Stop()
	}
	if wake, ok := d.queue.Wake(now); ok {
		d.timer = time.AfterFunc(wake.Sub(now), func() { d.update(func(*Queue) {}) })
	}
}

// update applies change to the queue and dispatches what it permits.
func (d *Dispatcher) update(change func(q *Queue)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d.queue)
	d.dispatch()
}

// SetWeight sets a customer's weight in the fair queueing; the default is 1. See
// Queue.SetWeight for the bounds.
func (d *Dispatcher) SetWeight(id topo.CustomerID, weight float64) {
	d.update(func(q *Queue) { q.SetWeight(id, weight) })
}

// ColdStart begins a new cold-start ramp. It is called when the server reports
// that it starts cold.
func (d *Dispatcher) ColdStart() { d.update(func(q *Queue) { q.ColdStart(time.Now()) }) }

// Drain stops dispatch of a slice, refuses its queued requests and waits until
// its running requests are done. If ctx ends first, Drain resumes dispatch of
// the slice and returns a Timeout error; running requests are not aborted.
func (d *Dispatcher) Drain(ctx context.Context, s topo.SliceID) error {
	d.update(func(q *Queue) { q.Drain(s) })
	if d.waitFor(ctx, func(q *Queue) bool { return q.Drained(s) }) {
		return nil
	}
	d.Undrain(s)
	return errors.Timeoutf("drain of slice %d", s)
}

// Undrain resumes dispatch of a draining slice.
func (d *Dispatcher) Undrain(s topo.SliceID) { d.update(func(q *Queue) { q.Undrain(s) }) }

// Leave stops dispatch to the server permanently, refuses queued requests as not
// run and waits until the running requests are done. If ctx ends first, it
// returns a Timeout error.
func (d *Dispatcher) Leave(ctx context.Context) error {
	d.update((*Queue).Leave)
	return d.waitIdle(ctx, "leave")
}

// Stop refuses new requests and waits until the queued and running ones are
// done. If ctx ends first, it returns a Timeout error.
func (d *Dispatcher) Stop(ctx context.Context) error {
	d.update((*Queue).Stop)
	return d.waitIdle(ctx, "stop")
}

func (d *Dispatcher) waitIdle(ctx context.Context, operation string) error {
	if !d.waitFor(ctx, (*Queue).Idle) {
		return errors.Timeoutf("%s: wait for queued and running requests", operation)
	}
	return nil
}

func (d *Dispatcher) waitFor(ctx context.Context, cond func(q *Queue) bool) bool {
	for {
		d.mu.Lock()
		ok, changed := cond(d.queue), d.changed
		d.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Stats returns the current state of the queue and the ramp.
func (d *Dispatcher) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Stats()
}
