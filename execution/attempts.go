package execution

import (
	"math/rand/v2"
	"time"

	"godwitlock.example/godwitlock/errkind"
)

const (
	// MaxRetries is the maximum number of retries of one request.
	MaxRetries = 2
	// MeanFirstDelay is the mean delay before the first retry. The mean
	// doubles with each further retry.
	MeanFirstDelay = 5 * time.Millisecond
)

// Attempts tracks the attempts to execute one request and decides on retries.
// It is not safe for concurrent use.
type Attempts struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	// Deadline is the time after which no retry starts. The zero time means
	// that there is no deadline.
	Deadline time.Time

	retries    int
	mayHaveRun bool
}

// Verdict is the decision about a request after a failed attempt.
type Verdict struct {
	Action Action
	// Delay is the time to wait before a Retry.
	Delay time.Duration
	// Kind is the error kind to report with an Answer or Abort.
	Kind errkind.Kind
}

// Failed records an attempt that failed with kind at point p and decides what
// to do next. replayable means that the request body can be sent again. Each
// retry is taken from budget. The returned kind has the outcome "not run"
// only if no attempt of the request can have run.
func (a *Attempts) Failed(p Point, kind errkind.Kind, replayable bool, now time.Time, budget *Budget, rng *rand.Rand) Verdict {
	rule := p.Rule()
	if !rule.NotRun {
		a.mayHaveRun = true
	}
	action := rule.NonIdempotent
	if a.Idempotent {
		action = rule.Idempotent
	}
	if action != Retry {
		return Verdict{Action: action, Kind: a.reportableKind(kind)}
	}
	delay := Delay(a.retries, rng)
	inTime := a.Deadline.IsZero() || now.Add(delay).Before(a.Deadline)
	if a.retries < MaxRetries && replayable && inTime && budget.Withdraw(now) {
		a.retries++
		return Verdict{Action: Retry, Delay: delay}
	}
	return Verdict{Action: Answer, Kind: a.reportableKind(kind)}
}

// reportableKind returns kind, or a kind with an unknown outcome if kind has
// the outcome "not run" but an attempt may have run.
func (a *Attempts) reportableKind(kind errkind.Kind) errkind.Kind {
	switch {
	case !a.mayHaveRun || kind.Answer().Outcome != errkind.NotRun:
		return kind
	case kind == errkind.DeadlineBeforeRun:
		return errkind.DeadlineAfterRun
	}
	return errkind.OutcomeUnknown
}

// Delay returns the backoff before the next retry. retries is the number of
// retries so far, 0 before the first one. The backoff is random between 0.5 and
// 1.5 times a mean that starts at MeanFirstDelay and doubles with each retry.
func Delay(retries int, rng *rand.Rand) time.Duration {
	mean := MeanFirstDelay << min(retries, MaxRetries)
	return mean/2 + time.Duration(rng.Int64N(int64(mean)))
}

// TimeoutMS returns the value of the Request-Timeout-Ms header for a request
// that is sent now: the time left until deadline, in whole milliseconds. It
// returns false if less than 1 ms is left; the request must not be sent then.
func TimeoutMS(deadline, now time.Time) (int64, bool) {
	ms := deadline.Sub(now).Milliseconds()
	return ms, ms > 0
}

const (
	// BudgetShare is the default number of retries per request that the window
	// allows.
	BudgetShare = 0.10
	// BudgetMinRetries is the number of retries that the default budget always
	// allows in the window, so that a service with few requests can retry.
	BudgetMinRetries = 3
	// The budget counts over a sliding window of budgetBuckets buckets, each
	// budgetBucketWidth long.
	budgetBuckets     = 10
	budgetBucketWidth = time.Second
)

// Budget limits the retries of one service in proportion to its requests
// within a sliding window of 10 s. The zero value is ready to use and applies
// BudgetShare and BudgetMinRetries. It is not safe for concurrent use.
type Budget struct {
	// The window allows Share retries per request, plus Slack retries
	// regardless of the number of requests. A Share of 0 selects the defaults
	// and ignores Slack.
	Share, Slack float64

	start   time.Time
	buckets [budgetBuckets]budgetCount
}

type budgetCount struct {
	index int64
	// returned counts the requests whose callers had been refused before.
	requests, returned, retries int
}

const (
	// returnedShare is the share of returned requests among those of the last
	// returnedBuckets buckets from which retries are reserved for them, and
	// reservedShare the part of the budget that is reserved then.
	returnedShare   = 0.05
	returnedBuckets = 2
	reservedShare   = 2.0 / 3
)

// Request counts a request from a caller. It must not be called for
// retries, which Withdraw counts.
func (b *Budget) Request(now time.Time) { b.currentBucket(now).requests++ }

// Returned says that a request, which Request counted, comes from a caller that had
// been refused before.
func (b *Budget) Returned(now time.Time) { b.currentBucket(now).returned++ }

// Withdraw takes one retry from the budget. It returns false, and takes
// nothing, if the window allows no further retry.
func (b *Budget) Withdraw(now time.Time) bool { return b.withdraw(now, 0) }

// WithdrawReturnable takes a retry for a request whose caller can return after a refusal.
// While many refused callers return, most of the budget is reserved for those: a retry
// is worth more to a caller that will not return again. It responds to servers that
// refuse a large part of all requests for longer than the budget lasts.
func (b *Budget) WithdrawReturnable(now time.Time) bool {
	recent := b.sum(b.currentBucket(now), returnedBuckets)
	if float64(recent.returned) < returnedShare*float64(recent.requests) {
		return b.withdraw(now, 0)
	}
	return b.withdraw(now, reservedShare)
}

// sum returns the counts of the last n buckets.
func (b *Budget) sum(current *budgetCount, n int64) (sum budgetCount) {
	for i := range b.buckets {
		if c := &b.buckets[i]; current.index-c.index < n {
			sum.requests += c.requests
			sum.returned += c.returned
			sum.retries += c.retries
		}
	}
	return sum
}

// withdraw takes a retry from the part of the budget that is not reserved.
func (b *Budget) withdraw(now time.Time, reserved float64) bool {
	current := b.currentBucket(now)
	window := b.sum(current, budgetBuckets)
	if float64(window.retries+1) > b.allowed(window.requests)*(1-reserved) {
		return false
	}
	current.retries++
	return true
}

// allowed returns the number of retries that a window with this many requests
// allows.
func (b *Budget) allowed(requests int) float64 {
	if b.Share == 0 {
		return max(BudgetMinRetries, BudgetShare*float64(requests))
	}
	return b.Share*float64(requests) + b.Slack
}

// currentBucket returns the bucket of now. The buckets are reused in turn, so it
// first clears counts that are older than the window.
func (b *Budget) currentBucket(now time.Time) *budgetCount {
	if b.start.IsZero() {
		b.start = now
	}
	index := max(0, int64(now.Sub(b.start)/budgetBucketWidth))
	c := &b.buckets[index%budgetBuckets]
	if c.index != index {
		*c = budgetCount{index: index}
	}
	return c
}
