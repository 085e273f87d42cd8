// Package execution decides what happens after a request has failed: whether
// it is sent again, and what the caller is told about its effect. It also
// keeps the history of exactly-once requests. It is pure: time and randomness
// are passed in.
package execution

import (
	"github.com/juju/errors"

	"godwitlock.example/godwitlock/errkind"
)

// Point is the point on a request's path at which it failed. The list is the
// table of docs/design.md section 4.3.
type Point uint8

// The failure points.
const (
	// EntryRefused: refused before the entry VM forwarded the request.
	EntryRefused Point = iota + 1
	// HomeRefused: the home VM refused the request without sending it.
	HomeRefused
	// HomeConnect: no byte reached the home VM.
	HomeConnect
	// HomeStream: the stream to the home VM broke after its first byte.
	HomeStream
	// ServerConnect: no byte reached the backend server.
	ServerConnect
	// ServerWrite: writing to the server failed after the first byte.
	ServerWrite
	// ServerNotRun: the server answered Not-Run: true.
	ServerNotRun
	// ServerError: the server answered an error without Not-Run.
	ServerError
	// ServerHead: the connection broke before the response head.
	ServerHead
	// ServerBody: the connection broke inside the response body.
	ServerBody
	// Queued: the deadline passed or the caller left before dispatch.
	Queued
	// Dispatched: the deadline passed or the caller left after dispatch.
	Dispatched
	// ResponseMismatch: the response's Request-Id differs.
	ResponseMismatch

	numPoints
)

// Failure is the cause of an *errkind.Error that tells the failure point.
type Failure struct {
	Point Point
	Err   error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Err == nil {
		return f.Point.String()
	}
	return f.Point.String() + ": " + f.Err.Error()
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }

// Fail returns an error of kind k that carries the failure point.
func Fail(p Point, k errkind.Kind, msg string, cause error) *errkind.Error {
	return errkind.Wrap(&Failure{Point: p, Err: cause}, k, msg)
}

// PointOf returns the failure point of err. An error without one, such as one
// that came from another VM as a kind only, gets the point that its kind
// allows; an unknown kind counts as a failure after the first byte.
func PointOf(err error) Point {
	var f *Failure
	if errors.As(err, &f) {
		return f.Point
	}
	switch k := errkind.Of(err); k {
	case errkind.ServerUnreachable:
		return ServerConnect
	case errkind.ServerRefused:
		return ServerNotRun
	case errkind.NotHome, errkind.QueueFull, errkind.NoOwner, errkind.ShuttingDown:
		return HomeRefused
	case errkind.DeadlineBeforeRun:
		return Queued
	case errkind.DeadlineAfterRun, errkind.CallerGone:
		return Dispatched
	default:
		if k.Answer().Outcome == errkind.NotRun {
			return EntryRefused
		}
		return HomeStream
	}
}
