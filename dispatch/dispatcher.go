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

// SendCheck checks, at the moment of use, that this VM may send req to the
// server: its lease is valid and the slice is granted. An error refuses the
// request as not run.
type SendCheck func(req *call.Request) error

// Dispatcher is the driver of a Queue. Its Do waits for a slot, sends the
// request to the inner Doer and frees the slot when the response body was read
// to its end or closed. It is safe for concurrent use.
type Dispatcher struct {
	inner     call.Doer
	checkSend SendCheck

	mu      sync.Mutex
	queue   *Queue
	waiting map[Ticket]chan errkind.Kind
	timer   *time.Timer
	// changed is closed and replaced when a request ends.
	changed chan struct{}
}

// NewDispatcher returns a dispatcher in front of inner. allowed may be nil.
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

// Do implements call.Doer.
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

// asNotRun makes err an error that says the request did not run.
func asNotRun(err error) error {
	if errkind.Of(err).Answer().Outcome == errkind.NotRun {
		return err
	}
	return errkind.Wrap(err, errkind.NotHome, "this VM may not send to the server at the moment")
}

// verdictOfStatus counts only statuses that tell of overload or of a broken
// server. Any other, 500 included, may be due to the request, and a customer
// must not make a server count as cold with requests that fail.
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

// acquire queues the request until it has a slot.
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

// abandon takes a request out of the queue, or frees the slot that it was given
// at the same moment.
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

// dispatch hands out slots and refusals and sets the timer. d.mu is held.
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

// update changes the queue and acts on the result.
func (d *Dispatcher) update(change func(q *Queue)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d.queue)
	d.dispatch()
}

// SetWeight sets a customer's weight; the default is 1.
func (d *Dispatcher) SetWeight(id topo.CustomerID, weight float64) {
	d.update(func(q *Queue) { q.SetWeight(id, weight) })
}

// ColdStart starts the ramp: the server said that it starts cold.
func (d *Dispatcher) ColdStart() { d.update(func(q *Queue) { q.ColdStart(time.Now()) }) }

// Drain stops dispatch of a slice and waits until its running requests are
// done. When ctx ends first, it takes the slice up again and returns an error
// of type Timeout: the move was given up and no request was cut.
func (d *Dispatcher) Drain(ctx context.Context, s topo.SliceID) error {
	d.update(func(q *Queue) { q.Drain(s) })
	if d.waitFor(ctx, func(q *Queue) bool { return q.Drained(s) }) {
		return nil
	}
	d.Undrain(s)
	return errors.Timeoutf("drain of slice %d", s)
}

// Undrain takes a slice up again.
func (d *Dispatcher) Undrain(s topo.SliceID) { d.update(func(q *Queue) { q.Undrain(s) }) }

// Leave stops dispatch to the server for good, refuses what is queued as not
// run and waits until the running requests are done or ctx ends.
func (d *Dispatcher) Leave(ctx context.Context) error {
	d.update((*Queue).Leave)
	return d.waitIdle(ctx, "leave")
}

// Stop refuses new requests and waits until the queued and the running ones
// are done or ctx ends.
func (d *Dispatcher) Stop(ctx context.Context) error {
	d.update((*Queue).Stop)
	return d.waitIdle(ctx, "stop")
}

func (d *Dispatcher) waitIdle(ctx context.Context, operation string) error {
	if !d.waitFor(ctx, (*Queue).Idle) {
		return errors.Timeoutf("%s with requests running", operation)
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

// Stats returns the state of the queue.
func (d *Dispatcher) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Stats()
}
