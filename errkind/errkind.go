// Package errkind defines the closed list of error kinds that godwitlock
// returns to callers. A table maps each kind to its HTTP status, its outcome
// and whether the caller may repeat the request.
//
// Callers rely on "not run", so a kind with outcome NotRun is returned only
// where the request certainly did not reach a backend server's code.
package errkind

import (
	"fmt"
	"net/http"

	"github.com/juju/errors"
)

// Kind is an error kind.
type Kind uint8

// The error kinds.
const (
	// Unset is the zero value; it is never returned to a caller.
	Unset Kind = iota
	// BadRequest: the request is malformed.
	BadRequest
	// HeaderTooLarge: the header section exceeds its limit.
	HeaderTooLarge
	// BodyTooLarge: the body exceeds the route's limit.
	BodyTooLarge
	// BodyIncomplete: the caller's body ended before its declared length,
	// and no byte of the request reached a backend server.
	BodyIncomplete
	// RequestTimeout: the caller sent its request too slowly.
	RequestTimeout
	// CallerKeyMissing: the route requires a caller key and the request has
	// none.
	CallerKeyMissing
	// CallerKeyInvalid: the caller key is unknown or withdrawn.
	CallerKeyInvalid
	// RouteNotFound: no route matches.
	RouteNotFound
	// RouteForbidden: the customer may not use the route.
	RouteForbidden
	// IdempotencyKeyMissing: a request on an exactly-once route lacks the
	// Idempotency-Key header.
	IdempotencyKeyMissing
	// IdempotencyKeyInvalid: the header is not a UUIDv7 in the accepted time
	// range.
	IdempotencyKeyInvalid
	// IdempotencyKeyReused: the key was used before with a different request.
	IdempotencyKeyReused
	// HistoryLost: this attempt did not run; an earlier one with the same
	// idempotency key may have, and its record was lost.
	HistoryLost
	// AlreadyRun: the request ran before and its response was too large to
	// store.
	AlreadyRun
	// RateExceeded: the customer's rate and burst are used up.
	RateExceeded
	// FreshnessLost: this VM's knowledge of the valid caller keys is too old.
	FreshnessLost
	// NoOwner: the key has no owner and the wait for one timed out.
	NoOwner
	// NotHome: the VM that received the request is not the server's home VM.
	// VMs return it to each other only.
	NotHome
	// QueueFull: the backend server's queue is full.
	QueueFull
	// DeadlineBeforeRun: the deadline passed, or cannot be met, before the
	// request was sent to a backend server.
	DeadlineBeforeRun
	// ServerRefused: every allowed attempt was refused as not run.
	ServerRefused
	// ServerUnreachable: no connection to the backend server could be made.
	ServerUnreachable
	// ShuttingDown: this VM is stopping and takes no new work.
	ShuttingDown
	// OutcomeUnknown: the request may or may not have run.
	OutcomeUnknown
	// DeadlineAfterRun: the deadline passed after the request was sent to a
	// backend server; it may have run.
	DeadlineAfterRun
	// CallerGone: the caller closed its connection; no response is sent.
	CallerGone
	// Internal: this VM failed in a way that leaves the outcome unknown.
	Internal
	// ServerPaused: the servers that could run the request want no requests from
	// this VM for some time.
	ServerPaused

	numKinds
)

// Outcome states whether a request is known to have run.
type Outcome uint8

// The outcomes.
const (
	// NotRun: the request certainly did not run.
	NotRun Outcome = iota + 1
	// Unknown: the request may have run.
	Unknown
	// Ran: the request ran (once).
	Ran
)

// String returns the value of the Godwitlock-Outcome header.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	case Ran:
		return "ran"
	}
	return "invalid"
}

// Answer describes how a kind is reported to callers.
type Answer struct {
	// Name is the value of the Godwitlock-Error header.
	Name string
	// Status is the HTTP status code.
	Status int
	// Outcome tells whether the request ran.
	Outcome Outcome
	// Repeatable means that the caller may send the same request again
	// without the risk of a second run.
	Repeatable bool
}

var answers = [numKinds]Answer{
	Unset:                 {"unset", http.StatusInternalServerError, Unknown, false},
	BadRequest:            {"bad_request", http.StatusBadRequest, NotRun, false},
	HeaderTooLarge:        {"header_too_large", http.StatusRequestHeaderFieldsTooLarge, NotRun, false},
	BodyTooLarge:          {"body_too_large", http.StatusRequestEntityTooLarge, NotRun, false},
	BodyIncomplete:        {"body_incomplete", http.StatusBadRequest, NotRun, true},
	RequestTimeout:        {"request_timeout", http.StatusRequestTimeout, NotRun, true},
	CallerKeyMissing:      {"caller_key_missing", http.StatusUnauthorized, NotRun, false},
	CallerKeyInvalid:      {"caller_key_invalid", http.StatusUnauthorized, NotRun, false},
	RouteNotFound:         {"route_not_found", http.StatusNotFound, NotRun, false},
	RouteForbidden:        {"route_forbidden", http.StatusForbidden, NotRun, false},
	IdempotencyKeyMissing: {"idempotency_key_missing", http.StatusBadRequest, NotRun, false},
	IdempotencyKeyInvalid: {"idempotency_key_invalid", http.StatusBadRequest, NotRun, false},
	IdempotencyKeyReused:  {"idempotency_key_reused", http.StatusUnprocessableEntity, NotRun, false},
	HistoryLost:           {"history_lost", http.StatusConflict, Unknown, false},
	AlreadyRun:            {"already_run", http.StatusConflict, Ran, false},
	RateExceeded:          {"rate_exceeded", http.StatusTooManyRequests, NotRun, true},
	FreshnessLost:         {"freshness_lost", http.StatusServiceUnavailable, NotRun, true},
	NoOwner:               {"no_owner", http.StatusServiceUnavailable, NotRun, true},
	NotHome:               {"not_home", http.StatusServiceUnavailable, NotRun, true},
	QueueFull:             {"queue_full", http.StatusServiceUnavailable, NotRun, true},
	DeadlineBeforeRun:     {"deadline_before_run", http.StatusGatewayTimeout, NotRun, true},
	ServerRefused:         {"server_refused", http.StatusServiceUnavailable, NotRun, true},
	ServerUnreachable:     {"server_unreachable", http.StatusServiceUnavailable, NotRun, true},
	ShuttingDown:          {"shutting_down", http.StatusServiceUnavailable, NotRun, true},
	OutcomeUnknown:        {"outcome_unknown", http.StatusBadGateway, Unknown, false},
	DeadlineAfterRun:      {"deadline_after_run", http.StatusGatewayTimeout, Unknown, false},
	CallerGone:            {"caller_gone", 499, Unknown, false},
	Internal:              {"internal", http.StatusInternalServerError, Unknown, false},
	ServerPaused:          {"server_paused", http.StatusServiceUnavailable, NotRun, true},
}

// Answer returns how k is reported to callers. An undefined kind is reported as
// Internal.
func (k Kind) Answer() Answer {
	if k >= numKinds {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the name of the kind, the value of the Godwitlock-Error
// header.
func (k Kind) String() string { return k.Answer().Name }

// Kinds returns all error kinds except Unset, in ascending order.
func Kinds() []Kind {
	ks := make([]Kind, 0, int(numKinds)-1)
	for k := Unset + 1; k < numKinds; k++ {
		ks = append(ks, k)
	}
	return ks
}

// Error is an error with a kind, a message for callers and an internal cause.
type Error struct {
	Kind Kind
	// Msg is safe to show to callers: it holds no caller key and no address.
	Msg string
	// Cause is for logs only and may be nil.
	Cause error
}

// New returns an error of kind k with a formatted message for callers and no
// cause.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Msg: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k with a message for callers. It keeps cause
// for logs.
func Wrap(cause error, k Kind, msg string) *Error {
	return &Error{Kind: k, Msg: msg, Cause: cause}
}

// Error returns the kind, the message and the cause. It is for logs: callers
// get Msg alone.
func (e *Error) Error() string {
	s := e.Kind.String() + ": " + e.Msg
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns the kind of err: the kind of the first *Error in its chain, or
// Internal when there is none.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
