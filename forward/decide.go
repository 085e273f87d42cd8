package forward

import (
	"net/http"
	"time"

	"godwitlock.example/godwitlock/errkind"
)

// Outcome is the result of one attempt, as it is written to the decision log.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered: there is an answer to pass on.
	Answered Outcome = iota + 1
	// Rejected: the server refused the request without running it.
	Rejected
	// NotOwner: the server does not own the key, or it is not the server that
	// was expected at the address.
	NotOwner
	// NotSent: no byte of the request reached the server.
	NotSent
	// AnswerLost: the request may have run, but there is no complete answer, or
	// a successful one lacks the seal, the header by which a server marks an
	// answer as its own.
	AnswerLost
	// Failed: the server answered with a status of 500 or above.
	Failed
	// FalseRefusal: the server answered a request that is not repeatable with a status
	// by which callers conclude that it did not run, without stating so itself. The
	// request may have run.
	FalseRefusal
)

// outcomeOfAnswer returns the outcome of an answer in which the server does not state
// that it did not run the request.
func outcomeOfAnswer(status int, sealed, repeatable bool) Outcome {
	switch {
	case status >= 200 && status < 300 && !sealed:
		return AnswerLost
	case !repeatable && promisesNotRun(status):
		return FalseRefusal
	case status >= http.StatusInternalServerError:
		return Failed
	}
	return Answered
}

// promisesNotRun reports whether callers conclude from a status that the request did not
// run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// mayHaveRun reports whether a request may have run in an attempt with outcome o.
func (o Outcome) mayHaveRun() bool { return o == AnswerLost || o == Failed || o == FalseRefusal }

// Action is the next step after an attempt, as it is written to the decision
// log.
type Action uint8

// The actions after an attempt.
const (
	// Relay passes the server's answer on to the caller.
	Relay Action = iota + 1
	// Retry sends the request again.
	Retry
	// AwaitOwner waits for the key's next owner and sends the request there.
	AwaitOwner
	// Refuse answers with an error kind whose outcome is "not run".
	Refuse
	// ReportUnknown answers that the outcome of the request is unknown.
	ReportUnknown
)

// rule holds the actions for an outcome, for repeatable and for non-repeatable
// requests.
type rule struct {
	repeatable, nonRepeatable Action
	// usesRetryBudget says that a further attempt takes a retry from the
	// budget.
	usesRetryBudget bool
	// finalRepeatable and finalNonRepeatable apply when no further attempt is
	// allowed.
	finalRepeatable, finalNonRepeatable Action
}

// rules maps each outcome to its rule. A request that is not repeatable is
// sent again only when it certainly did not run, and its caller gets a status that
// promises so in no other case.
var rules = map[Outcome]rule{
	Answered:     {repeatable: Relay, nonRepeatable: Relay, finalRepeatable: Relay, finalNonRepeatable: Relay},
	Rejected:     {repeatable: Retry, nonRepeatable: Retry, usesRetryBudget: true, finalRepeatable: Refuse, finalNonRepeatable: Refuse},
	NotOwner:     {repeatable: AwaitOwner, nonRepeatable: AwaitOwner, usesRetryBudget: true, finalRepeatable: Refuse, finalNonRepeatable: Refuse},
	NotSent:      {repeatable: AwaitOwner, nonRepeatable: AwaitOwner, finalRepeatable: Refuse, finalNonRepeatable: Refuse},
	AnswerLost:   {repeatable: Retry, nonRepeatable: ReportUnknown, usesRetryBudget: true, finalRepeatable: ReportUnknown, finalNonRepeatable: ReportUnknown},
	Failed:       {repeatable: Retry, nonRepeatable: Relay, usesRetryBudget: true, finalRepeatable: Relay, finalNonRepeatable: Relay},
	FalseRefusal: {repeatable: Retry, nonRepeatable: ReportUnknown, usesRetryBudget: true, finalRepeatable: Relay, finalNonRepeatable: ReportUnknown},
}

// Attempts tracks the attempts of one request and decides which action follows
// each.
type Attempts struct {
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Max bounds the attempts that reach a server.
	Max int
	// Deadline is the time by which the caller must have an answer.
	Deadline time.Time

	sent       int
	unsent     int
	mayHaveRun bool
}

// maxUnsentAttempts bounds the attempts that reach no server.
const maxUnsentAttempts = 3

// minAttemptTime is the minimum time left until the deadline for an attempt.
const minAttemptTime = 40 * time.Millisecond

// NextAction records an attempt with outcome o and returns the action that
// follows. The function withdraw takes a retry from the budget and returns
// false when the budget is used up.
func (a *Attempts) NextAction(now time.Time, o Outcome, withdraw func() bool) Action {
	r := rules[o]
	if o == NotSent {
		a.unsent++
	} else {
		a.sent++
	}
	if o.mayHaveRun() {
		a.mayHaveRun = true
	}
	action, final := r.nonRepeatable, r.finalNonRepeatable
	if a.Repeatable {
		action, final = r.repeatable, r.finalRepeatable
	}
	if action != Retry && action != AwaitOwner {
		return a.adjustAction(action)
	}
	if a.sent >= a.Max || a.unsent >= maxUnsentAttempts || now.Add(minAttemptTime).After(a.Deadline) {
		return a.adjustAction(final)
	}
	if r.usesRetryBudget && !withdraw() {
		return a.adjustAction(final)
	}
	return action
}

// adjustAction replaces Refuse, which would answer "not run", by ReportUnknown
// when the request may have run.
func (a *Attempts) adjustAction(action Action) Action {
	if action == Refuse && a.mayHaveRun {
		return ReportUnknown
	}
	return action
}

// AdjustKind returns kind, or OutcomeUnknown when kind means "not run" but an
// attempt of the request may have run.
func (a *Attempts) AdjustKind(kind errkind.Kind) errkind.Kind {
	if a.mayHaveRun && kind.Answer().Outcome == errkind.NotRun {
		return errkind.OutcomeUnknown
	}
	return kind
}
