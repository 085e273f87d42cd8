// Package forward handles a caller's request from its arrival to its answer. It
// selects the route, authenticates the customer, enforces the customer's rate
// limit, finds the owner of the key, waits for a slot and sends the request,
// again if necessary.
package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/egress"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/ingress"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/pushback"
	"godwitlock.example/godwitlock/rollout"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/spread"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
	"godwitlock.example/godwitlock/workload"
)

// Slots grants slots of backend servers.
type Slots interface {
	// Acquire waits for a slot of a pool. The slot is valid only when the
	// decision's Verdict is Granted.
	Acquire(ctx context.Context, s *view.Snapshot, pool string, r permit.Request) (Slot, permit.Decision)
}

// Slot is a granted slot. Finish frees it and reports how the request went; it
// must be called exactly once.
type Slot interface {
	Finish(r permit.Result)
}

// RateLimiter enforces the customers' rate limits.
type RateLimiter interface {
	// Take takes a token from the customer's rate limit. While the customer's home
	// is not known, it waits until the given time at the latest. It returns
	// errkind.Unset on success, else the error kind with which to refuse the
	// request.
	Take(ctx context.Context, id topo.CustomerID, until time.Time) errkind.Kind
	// Return gives back the token of a request that did not run. age is the time
	// since the token was taken.
	Return(id topo.CustomerID, age time.Duration)
}

// Stats receives the measurements of a Forwarder.
type Stats interface {
	// Arrived counts a request for a key of a service.
	Arrived(service topo.ServiceName, key keyrange.Key)
	// Completed records the service time of a request at a server.
	Completed(server topo.ServerID, d time.Duration)
	// TurnedAway records that a server refused a request without running it, and
	// whether it did so although it had free slots.
	TurnedAway(server topo.ServerID, hadFreeSlots bool)
	// Answered records an answer to a caller. kind is "served" or the name of
	// the error kind, and d is the time since the request arrived.
	Answered(route string, kind string, d time.Duration)
}

// Config holds the dependencies of a Forwarder.
type Config struct {
	View *view.View
	// DataCentre is the data centre of this VM.
	DataCentre  topo.DataCentreName
	Egress      *egress.Client
	Slots       Slots
	RateLimiter RateLimiter
	Stats       Stats
	Log         *declog.Log
	// Fresh reports whether the configuration was confirmed recently enough to
	// accept caller keys.
	Fresh func() bool
	// Budgets holds the retry budgets of the services.
	Budgets *Budgets
	// Pauses holds the servers that want no requests from this VM for some time.
	Pauses *pushback.Table
	// Work holds the expected service times of the routes; nil if requests are to be
	// ordered without them.
	Work *workload.Table
	// Rollouts says which versions may be used; nil if there are no roll-outs.
	Rollouts Rollouts
}

// Forwarder answers callers' requests. It is safe for concurrent use.
type Forwarder struct {
	Config
	started  time.Time
	splitter *routemap.Splitter
	spread   *spread.Chooser
	returns  *returnDetector
	// lateCtx ends when late requests are to be refused, and lateEnd is set then.
	lateCtx context.Context
	late    context.CancelFunc
	lateEnd atomic.Pointer[time.Time]
	// stopCtx ends when waiting requests are to be refused.
	stopCtx context.Context
	stop    context.CancelFunc
	// abandonCtx ends when requests no longer wait for a server's answer.
	abandonCtx context.Context
	abandon    context.CancelFunc
}

// New returns a Forwarder that accepts requests until RefuseWaiting is called.
func New(cfg Config) *Forwarder {
	f := &Forwarder{
		Config: cfg, started: clock.Boot(), splitter: routemap.NewSplitter(), spread: spread.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		returns: newReturnDetector(),
	}
	if f.Pauses == nil {
		f.Pauses = &pushback.Table{}
	}
	f.lateCtx, f.late = context.WithCancel(context.Background())
	f.stopCtx, f.stop = context.WithCancel(context.Background())
	f.abandonCtx, f.abandon = context.WithCancel(context.Background())
	return f
}

// RefuseWaiting refuses the requests that wait for an owner or a slot, and all
// later ones. Their kind is ShuttingDown, unless an earlier attempt may have
// run. Call it when the process will end before they could be answered.
func (f *Forwarder) RefuseWaiting() { f.stop() }

// AbandonAttempts refuses like RefuseWaiting, and answers the requests that were
// sent to a server and have no answer yet: their outcome is unknown. Answers that
// are being streamed go on. Call it just before the process ends, so that answers
// which wait behind these requests on the same connection are delivered.
func (f *Forwarder) AbandonAttempts() {
	f.stop()
	f.abandon()
}

const (
	// defaultTimeout bounds the requests of routes that set no timeout.
	defaultTimeout = 10 * time.Second
	// defaultRetryAfter is the Retry-After of a refusal whose cause may be
	// limited to this VM: another VM may accept the request.
	defaultRetryAfter = 80 * time.Millisecond
	// rateRetryAfter is the Retry-After when the customer's rate limit is exceeded.
	rateRetryAfter = 400 * time.Millisecond
	// minOwnerWait bounds the wait for the next owner of a key, or ownerWaitShare of
	// the time left if that is longer. A handover lasts until the requests in flight
	// for its keys have ended.
	minOwnerWait, ownerWaitShare = 600 * time.Millisecond, 0.25
	// startupTime is how long a VM may lack members and owners after its start.
	startupTime = 3 * time.Second
	// maxConfigWait bounds the wait of a request for the first configuration of a
	// VM that has just started, or configWaitShare of the time left if that is
	// shorter. A VM has its configuration within about half a second.
	maxConfigWait, configWaitShare = 500 * time.Millisecond, 0.125
	// meanStartRetryAfter is the mean Retry-After of a VM without a configuration.
	// The times are spread, since all VMs may have started at once.
	meanStartRetryAfter = time.Second
	// slotWaitShare is the fraction of the time left until the deadline for
	// which a request waits for a slot.
	slotWaitShare = 0.85
)

// request is the state of a caller's request.
type request struct {
	*ingress.Request
	route    *routemap.Route
	customer *routemap.Customer
	service  *routemap.Service
	attempts Attempts
	// deadline is the time by which the caller must have an answer, and
	// deadlineCause says which setting it comes from.
	deadline      time.Time
	deadlineCause error
	triedServers  []topo.ServerID
	// paused holds the servers of a service without keys that want no requests
	// from this VM at present.
	paused []topo.ServerID
	// noRight holds servers whose version must not be used, although a slot of theirs
	// was granted. skipCanary says that no server of a roll-out's target had room, and
	// ticket is the right that was taken for the next attempt.
	noRight    []topo.ServerID
	skipCanary bool
	ticket     rollout.Ticket
	// sendingTo is the server of the present attempt.
	sendingTo *directory.Server
	hasBody   bool
	// rateTokenTaken says that a token was taken from the customer's rate limit.
	// The token is returned when the request did not run.
	rateTokenTaken bool
	// rateTokenAt is the time of the boot-time clock just before that.
	rateTokenAt time.Time
	// late says that the request arrived after RefuseLate.
	late bool
	// returned says that the caller seems to have been refused before.
	returned bool
	// slotRefusal is why the last request for a slot was refused.
	slotRefusal permit.Cause
}

// Serve answers a request. The context must end when the caller disconnects.
func (f *Forwarder) Serve(ctx context.Context, in *ingress.Request) *ingress.Response {
	late := f.lateCtx.Err() != nil
	snap := f.awaitConfig(ctx, in)
	if snap.Routes == nil {
		return f.refuse(&request{Request: in}, errkind.FreshnessLost, startRetryAfter(in), "no configuration received yet")
	}
	r := &request{Request: in, route: snap.Routes.Route(in.Host, in.Path), late: late}
	if kind, reason := f.admit(ctx, snap, r); kind != errkind.Unset {
		retryAfter := defaultRetryAfter
		if kind == errkind.RateExceeded {
			retryAfter = rateRetryAfter
		}
		return f.refuse(r, kind, retryAfter, reason)
	}
	destination := f.splitter.Next(r.route)
	r.service = snap.Routes.Service(destination.Service)
	r.returned = f.returns.Returned(r.route.Name, r.Deadline.Sub(r.Arrived))
	f.Budgets.CountRequest(destination.Service, r.returned)
	if f.limited() {
		f.Rollouts.Arrived(destination.Service)
	}
	if r.service.Keyed {
		f.Stats.Arrived(destination.Service, r.Key)
	}
	ans, ran := f.sendWithRetries(ctx, r)
	if !ran && r.rateTokenTaken {
		f.RateLimiter.Return(r.customer.ID, clock.Boot().Sub(r.rateTokenAt))
	}
	return ans
}

// admit finds the customer, sets the deadline and checks the rate limit. It
// returns errkind.Unset when the request is admitted, else the kind and reason
// of the refusal.
func (f *Forwarder) admit(ctx context.Context, snap *view.Snapshot, r *request) (errkind.Kind, string) {
	fresh := f.Fresh()
	if r.route == nil {
		if !fresh {
			return errkind.FreshnessLost, "configuration was not confirmed recently enough"
		}
		return errkind.RouteNotFound, "no route matches host and path"
	}
	if snap.Routes.Authenticates() && !r.route.Public {
		if !fresh {
			return errkind.FreshnessLost, "configuration was not confirmed recently enough"
		}
		if r.CallerKey == "" {
			return errkind.CallerKeyMissing, "request has no caller key"
		}
		if r.customer = snap.Routes.CustomerOf(r.CallerKey); r.customer == nil {
			return errkind.CallerKeyInvalid, "unknown caller key"
		}
	}
	r.prepareAttempts()
	if f.refusedByStop(r) {
		return errkind.ShuttingDown, "VM is shutting down: request arrived too late"
	}
	if r.customer == nil || r.customer.Rate <= 0 {
		return errkind.Unset, ""
	}
	r.rateTokenAt = clock.Boot()
	switch kind := f.takeToken(ctx, snap, r); kind {
	case errkind.Unset:
		r.rateTokenTaken = true
	case errkind.RateExceeded:
		return kind, "customer's rate limit is exceeded"
	default:
		return kind, "home VM of the customer's rate limit did not answer"
	}
	return errkind.Unset, ""
}

// changeWait returns how long a request waits for a change that is under way, such as
// the hand-over of its key or a new home of its customer. After a loss of all VMs,
// homes and owners are known within startupTime; until then it is half of the time left
// at most.
func (f *Forwarder) changeWait(r *request) time.Duration {
	left := time.Until(r.deadline)
	startup := startupTime - clock.Boot().Sub(f.started)
	return min(max(minOwnerWait, time.Duration(float64(left)*ownerWaitShare), startup), left/2)
}

// takeToken takes a token from the rate limit of the request's customer. A VM that has
// known no members since its start, and thus no homes, will not know them soon.
func (f *Forwarder) takeToken(ctx context.Context, snap *view.Snapshot, r *request) errkind.Kind {
	wait := f.changeWait(r)
	if len(snap.Members) == 0 && clock.Boot().Sub(f.started) > startupTime {
		wait = 0
	}
	ctx, cancel := f.untilRefused(ctx, r)
	defer cancel(errFinished)
	return f.RateLimiter.Take(ctx, r.customer.ID, time.Now().Add(wait))
}

func (r *request) prepareAttempts() {
	timeout := r.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	r.deadline, r.deadlineCause = r.Arrived.Add(timeout), ErrRouteTimeout
	if !r.Deadline.IsZero() && r.Deadline.Before(r.deadline) {
		r.deadline, r.deadlineCause = r.Deadline, ErrCallerDeadline
	}
	r.hasBody = r.Stream != nil
	r.attempts = Attempts{Repeatable: r.route.Kind.Repeatable(), Max: r.route.Attempts, Deadline: r.deadline}
}

// priority returns the customer's priority, or the route's when the customer
// has none. 0 is the most urgent.
func (r *request) priority() int {
	if r.customer != nil && r.customer.Priority != nil {
		return *r.customer.Priority
	}
	return r.route.Priority
}

// refuse returns the answer for an error kind. It sets Retry-After to
// retryAfter when the kind is repeatable and its outcome is "not run".
func (f *Forwarder) refuse(r *request, kind errkind.Kind, retryAfter time.Duration, reason string) *ingress.Response {
	row := kind.Answer()
	ans := &ingress.Response{
		Status: row.Status,
		Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		Body:   []byte(row.Name + "\n"),
	}
	if row.Repeatable && row.Outcome == errkind.NotRun {
		ans.Header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if r.ID != "" {
		ans.Header.Set("Request-Id", r.ID)
	}
	e := f.event("refused", r).Str("kind", row.Name).Int("status", row.Status).Str("reason", reason).
		Str("stage", r.Progress.Stage().String()).Dur("retry_after_ms", retryAfter).Dur("took_ms", time.Since(r.Arrived))
	if r.slotRefusal != permit.NoCause {
		e.Str("cause", r.slotRefusal.String())
	}
	if confirmed := f.View.Confirmed(); !confirmed.IsZero() {
		e.Dur("config_age_ms", clock.Boot().Sub(confirmed))
	}
	e.Send()
	f.Stats.Answered(r.routeName(), row.Name, time.Since(r.Arrived))
	return ans
}

func (r *request) routeName() string {
	if r.route == nil {
		return ""
	}
	return r.route.Name
}

// event starts an entry of the decision log about a request.
func (f *Forwarder) event(name string, r *request) *zerolog.Event {
	e := f.Log.Event(name)
	if e == nil {
		return nil
	}
	e.Str("request", r.ID).Str("route", r.routeName())
	if r.customer != nil {
		e.Str("customer", string(r.customer.ID))
	}
	if r.HasKey {
		e.Uint16("key", r.Key)
	}
	return e
}
