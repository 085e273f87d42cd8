package execution

import (
	"github.com/juju/errors"

	"godwitlock.example/godwitlock/errkind"
)

// Point is the point on a request's path at which an attempt failed. The points
// are those of the table in docs/design.md section 4.3.
type Point uint8

// The failure points.
const (
	// EntryRefused: the entry VM refused the request without forwarding it.
	EntryRefused Point = iota + 1
	// HomeRefused: the home VM refused the request without sending it.
	HomeRefused
	// HomeConnect: the attempt failed before any byte reached the home VM.
	HomeConnect
	// HomeStream: the stream to the home VM broke after its first byte.
	HomeStream
	// ServerConnect: the attempt failed before any byte reached the backend
	// server.
	ServerConnect
	// ServerWrite: writing to the server failed after the first byte.
	ServerWrite
	// ServerNotRun: the server answered with the header Not-Run: true.
	ServerNotRun
	// ServerError: the server answered with an error and without Not-Run.
	ServerError
	// ServerHead: the connection broke before the response head.
	ServerHead
	// ServerBody: the connection broke within the response body.
	ServerBody
	// Queued: the deadline passed or the caller disconnected before dispatch.
	Queued
	// Dispatched: the deadline passed or the caller disconnected after
	// dispatch.
	Dispatched
	// ResponseMismatch: the Request-Id of the response is not that of the
	// request.
	ResponseMismatch

	numPoints
)

// Failure is the cause of an *errkind.Error and carries the failure point. Err
// is the underlying error and may be nil.
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

// PointOf returns the failure point of err. If err carries none, for example
// because another VM sent only its kind, PointOf derives the point from the
// kind. An error of any other kind counts as EntryRefused if its outcome is
// "not run", and otherwise as HomeStream, after which the request may have run.
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
