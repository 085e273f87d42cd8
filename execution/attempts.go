package execution

import (
	"math/rand/v2"
	"time"

	"godwitlock.example/godwitlock/errkind"
)

const (
	// MaxRetries is how often one request is sent again.
	MaxRetries = 2
	// MeanFirstDelay is the mean delay before the first retry; it doubles with
	// each further one.
	MeanFirstDelay = 5 * time.Millisecond
)

// Attempts follows the attempts of one request. It is not safe for concurrent
// use.
type Attempts struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	// Deadline ends the request; the zero time means never.
	Deadline time.Time

	retries    int
	mayHaveRun bool
}

// Verdict says what follows a failed attempt.
type Verdict struct {
	Action Action
	// Delay is the time to wait before a Retry.
	Delay time.Duration
	// Kind is what an Answer or Abort tells.
	Kind errkind.Kind
}

// Failed records an attempt that failed with kind at point p, and decides what
// follows. resend says that the body can be sent once more. A kind that says
// "not run" is answered only when no attempt may have run.
func (a *Attempts) Failed(p Point, kind errkind.Kind, replayable bool, now time.Time, budget *Budget, rng *rand.Rand) Verdict {
	rule := p.Rule()
	if !rule.NotRun {
		a.mayHaveRun = true
	}
	action := rule.Other
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

// reportableKind replaces a kind that says "not run" when an attempt may have run.
func (a *Attempts) reportableKind(kind errkind.Kind) errkind.Kind {
	switch {
	case !a.mayHaveRun || kind.Answer().Outcome != errkind.NotRun:
		return kind
	case kind == errkind.DeadlineBeforeRun:
		return errkind.DeadlineAfterRun
	}
	return errkind.OutcomeUnknown
}

// Delay returns the time to wait before retry number retries, from 0: between
// half and one and a half times an exponentially growing mean.
func Delay(retries int, rng *rand.Rand) time.Duration {
	mean := MeanFirstDelay << min(retries, MaxRetries)
	return mean/2 + time.Duration(rng.Int64N(int64(mean)))
}

// TimeoutMS returns the Request-Timeout-Ms for a request that is sent now: the
// whole milliseconds left until deadline. It returns false when there is none
// left, and the request must not be sent.
func TimeoutMS(deadline, now time.Time) (int64, bool) {
	ms := deadline.Sub(now).Milliseconds()
	return ms, ms > 0
}

const (
	// BudgetShare is the share of recent requests that may be retries.
	BudgetShare = 0.10
	// BudgetMinRetries is how many retries the window allows in any case, so that a
	// service with few requests can retry at all.
	BudgetMinRetries = 3
	// budgetBuckets buckets of budgetBucket make up the window of "recent".
	budgetBuckets     = 10
	budgetBucketWidth = time.Second
)

// Budget limits the retries of one service. The zero value is ready and uses
// BudgetShare and MinRetries. It is not safe for concurrent use.
type Budget struct {
	// Share is the share of recent requests that may be retries, and Slack is
	// how many more the window allows. A Share of 0 means the defaults.
	Share, Slack float64

	start   time.Time
	buckets [budgetBuckets]budgetCount
}

type budgetCount struct {
	index             int64
	requests, retries int
}

// Request counts a request of a caller, but not its retries.
func (b *Budget) Request(now time.Time) { b.currentBucket(now).requests++ }

// Withdraw takes one retry from the budget. It returns false when the budget
// is used up.
func (b *Budget) Withdraw(now time.Time) bool {
	current := b.currentBucket(now)
	var requests, retries int
	for i := range b.buckets {
		if c := &b.buckets[i]; current.index-c.index < budgetBuckets {
			requests += c.requests
			retries += c.retries
		}
	}
	if float64(retries+1) > b.allowed(requests) {
		return false
	}
	current.retries++
	return true
}

// allowed returns how many retries the window allows.
func (b *Budget) allowed(requests int) float64 {
	if b.Share == 0 {
		return max(BudgetMinRetries, BudgetShare*float64(requests))
	}
	return b.Share*float64(requests) + b.Slack
}

// currentBucket returns the counts of the current second.
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
