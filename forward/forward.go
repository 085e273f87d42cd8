// Package forward takes a caller's request from its arrival to its answer:
// route, customer, rate, owner, slot, attempts.
package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/egress"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/ingress"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// Slots hands out the slots of servers.
type Slots interface {
	// Acquire waits for a slot of a pool. A refusal has Verdict Refused.
	Acquire(ctx context.Context, s *view.Snapshot, pool string, r permit.Request) (Slot, permit.Decision)
}

// Slot is a slot in use. Finish is called once.
type Slot interface {
	Finish(r permit.Result)
}

// Rates keeps customers within their rates.
type Rates interface {
	// Take takes a token. It returns Unset, or why there is none.
	Take(ctx context.Context, id topo.CustomerID) errkind.Kind
	// Return gives the token of a request that did not run back.
	Return(id topo.CustomerID)
}

// Stats is told of what is served.
type Stats interface {
	Arrived(service topo.ServiceName, key keyrange.Key)
	Completed(server topo.ServerID, d time.Duration)
	Answered(route string, kind string, d time.Duration)
}

// Config holds what a Forwarder works with.
type Config struct {
	View   *view.View
	Egress *egress.Client
	Slots  Slots
	Rates  Rates
	Stats  Stats
	Log    *declog.Log
	// Fresh reports whether the configuration is known to be new enough to
	// accept caller keys.
	Fresh func() bool
	// Budgets returns the retry budget of a service.
	Budgets *Budgets
}

// Forwarder answers callers' requests. It is safe for concurrent use.
type Forwarder struct {
	Config
	splitter *routemap.Splitter
	// stopping ends when requests that wait are to be refused.
	stopCtx context.Context
	stop    context.CancelFunc
}

// New returns a forwarder.
func New(cfg Config) *Forwarder {
	f := &Forwarder{Config: cfg, splitter: routemap.NewSplitter()}
	f.stopCtx, f.stop = context.WithCancel(context.Background())
	return f
}

// RefuseWaiting refuses the requests that wait for an owner or a slot, and all
// further ones: the process ends before they could be answered.
func (f *Forwarder) RefuseWaiting() { f.stop() }

const (
	// defaultTimeout bounds requests of routes that name no time-out.
	defaultTimeout = 10 * time.Second
	// retrySoon is when a caller should come back after a refusal that
	// another VM may not share.
	defaultRetryAfter = 80 * time.Millisecond
	// retryRate is the same after a refusal for the customer's rate.
	rateRetryAfter = 400 * time.Millisecond
	// ownerWait bounds the wait for the next owner of a key: a move takes as
	// long as the work under way on its keys.
	maxOwnerWait = 600 * time.Millisecond
	// maxPatience is the part of the time left for which a request waits for
	// a slot.
	slotWaitShare = 0.85
)

// request is a caller's request on its way.
type request struct {
	*ingress.Request
	route    *routemap.Route
	customer *routemap.Customer
	service  *routemap.Service
	attempts Attempts
	// deadline is when the caller has to have an answer.
	deadline     time.Time
	triedServers []topo.ServerID
	hasBody      bool
	// token says that a token of the customer's rate was taken.
	rateTokenTaken bool
}

// Serve answers a request. The context ends when the caller is gone.
func (f *Forwarder) Serve(ctx context.Context, in *ingress.Request) *ingress.Response {
	snap := f.View.Snapshot()
	if snap.Routes == nil {
		return f.refuse(&request{Request: in}, errkind.FreshnessLost, defaultRetryAfter, "no configuration")
	}
	r := &request{Request: in, route: snap.Routes.Route(in.Host, in.Path)}
	if kind, reason := f.admit(ctx, snap, r); kind != errkind.Unset {
		after := defaultRetryAfter
		if kind == errkind.RateExceeded {
			after = rateRetryAfter
		}
		return f.refuse(r, kind, after, reason)
	}
	part := f.splitter.Next(r.route)
	r.service = snap.Routes.Service(part.Service)
	f.Budgets.Request(part.Service)
	if r.service.Keyed {
		f.Stats.Arrived(part.Service, r.Key)
	}
	ans, ran := f.sendWithRetries(ctx, r)
	if !ran && r.rateTokenTaken {
		f.Rates.Return(r.customer.ID)
	}
	return ans
}

// admit finds the customer and checks the rate. It returns Unset when the
// request may go on.
func (f *Forwarder) admit(ctx context.Context, snap *view.Snapshot, r *request) (errkind.Kind, string) {
	fresh := f.Fresh()
	if r.route == nil {
		if !fresh {
			return errkind.FreshnessLost, "configuration may be old"
		}
		return errkind.RouteNotFound, "no route"
	}
	if snap.Routes.Authenticates() && !r.route.Public {
		if !fresh {
			return errkind.FreshnessLost, "configuration may be old"
		}
		if r.CallerKey == "" {
			return errkind.CallerKeyMissing, "no caller key"
		}
		if r.customer = snap.Routes.CustomerOf(r.CallerKey); r.customer == nil {
			return errkind.CallerKeyInvalid, "unknown caller key"
		}
	}
	r.setDeadline()
	if r.customer == nil || r.customer.Rate <= 0 {
		return errkind.Unset, ""
	}
	switch kind := f.Rates.Take(ctx, r.customer.ID); kind {
	case errkind.Unset:
		r.rateTokenTaken = true
	case errkind.RateExceeded:
		return kind, "customer's rate is used up"
	default:
		return kind, "home of the customer's rate does not answer"
	}
	return errkind.Unset, ""
}

func (r *request) setDeadline() {
	timeout := r.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	r.deadline = r.Arrived.Add(timeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(r.deadline) {
		r.deadline = r.Deadline
	}
	r.hasBody = r.Stream != nil
	r.attempts = Attempts{Repeatable: r.route.Kind.Repeatable(), Max: r.route.Attempts, Deadline: r.deadline}
}

// priority returns the rank of the request.
func (r *request) priority() int {
	if r.customer != nil && r.customer.Priority != nil {
		return *r.customer.Priority
	}
	return r.route.Priority
}

// refuse answers with a kind. After is sent with kinds that say "not run".
func (f *Forwarder) refuse(r *request, kind errkind.Kind, after time.Duration, reason string) *ingress.Response {
	row := kind.Answer()
	ans := &ingress.Response{
		Status: row.Status,
		Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		Body:   []byte(row.Name + "\n"),
	}
	if row.Repeatable && row.Outcome == errkind.NotRun {
		ans.Header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	if r.ID != "" {
		ans.Header.Set("Request-Id", r.ID)
	}
	f.event("refused", r).Str("kind", row.Name).Int("status", row.Status).Str("reason", reason).
		Dur("retry_after_ms", after).Dur("took_ms", time.Since(r.Arrived)).
		Dur("config_age_ms", clock.Boot().Sub(f.View.Confirmed())).Send()
	f.Stats.Answered(r.routeName(), row.Name, time.Since(r.Arrived))
	return ans
}

func (r *request) routeName() string {
	if r.route == nil {
		return ""
	}
	return r.route.Name
}

// event starts a line of the decision log about a request.
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
