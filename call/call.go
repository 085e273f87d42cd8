// Package call defines a caller's request and the response to it as they pass
// from the HTTP front end through routing, the home VM and its queue to a
// backend server. Every stage implements Doer, so that stages compose and tests
// can replace each of them by a fake.
package call

import (
	"context"
	"io"
	"net/http"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"

	"godwitlock.example/godwitlock/topo"
)

// MaxBufferedBody is the largest body, in bytes, that is buffered in memory so
// that the request can be sent again. Larger bodies are streamed once.
const MaxBufferedBody = 64 << 10

// Class separates small requests from large transfers, which have a bounded
// share of a server's slots.
type Class uint8

// The classes of requests.
const (
	// Small requests have a body of at most MaxBufferedBody and a route that
	// is not marked large.
	Small Class = iota
	// Large requests have a body that is streamed, or a route that is marked
	// large.
	Large
)

// Request is one request of a caller after authentication and routing. It
// never holds the caller key.
type Request struct {
	// ID is unique per caller request and the same over all retries.
	ID       string
	Customer topo.CustomerID
	Service  topo.ServiceName
	// Key determines the owner of a request to a keyed service; it is empty for
	// a pooled service.
	Key   string
	Slice topo.SliceID
	// Server is the chosen server. Fence is the fence under which Slice was
	// granted to it.
	Server topo.ServerID
	Fence  topo.Fence

	Method string
	// Target is the request target in origin form: path and query.
	Target string
	// Header holds end-to-end fields only.
	Header http.Header
	// Idempotent requests may run more than once.
	Idempotent bool
	// ExactlyOnce requests carry a validated IdempotencyKey.
	ExactlyOnce    bool
	IdempotencyKey string
	Class          Class

	// ContentLength is the declared length in bytes, -1 when unknown.
	ContentLength int64
	// Body is nil when there is none. It is read by the stage that holds the
	// request and closed by the front end only.
	Body io.Reader
	// Replayable holds the whole body when it is at most MaxBufferedBody long.
	// Body is nil then, and the body can be sent again.
	Replayable []byte
	// Trailer is filled by the front end once Body has returned io.EOF.
	Trailer http.Header
}

// Response is the response of a backend server. The stage that holds it reads
// Body to its end and closes it. An error from Body other than io.EOF means that
// the response is truncated and must not be passed on as complete.
type Response struct {
	Status int
	// Header holds end-to-end fields only.
	Header http.Header
	// ContentLength is the declared length in bytes, -1 when unknown.
	ContentLength int64
	Body          io.ReadCloser
	// Trailer is complete once Body has returned io.EOF.
	Trailer http.Header
	// Server is the server that sent the response, for logs and metrics.
	Server topo.ServerID
}

// Doer performs a request under the deadline and the cancellation of its
// context. A failure is an *errkind.Error whose kind tells whether the request
// ran.
type Doer interface {
	Do(ctx context.Context, req *Request) (*Response, error)
}

// DoerFunc adapts a function to Doer.
type DoerFunc func(ctx context.Context, req *Request) (*Response, error)

// Do implements Doer.
func (f DoerFunc) Do(ctx context.Context, req *Request) (*Response, error) { return f(ctx, req) }

// ValidStatus reports whether a status may be that of the response to a request. A
// response with another one is broken, and its request may have run.
func ValidStatus(status int) bool { return status >= 200 && status <= 599 }

// CheckConnection returns an error if the Connection field of a response names one of
// fields. Such a field is not passed on, but the caller needs these to tell whose response
// it is and how its body is encoded.
func CheckConnection(h http.Header, fields ...string) error {
	for _, name := range fields {
		if httpguts.HeaderValuesContainsToken(h["Connection"], name) {
			return errors.Errorf("field Connection of the response names the end-to-end field %s", name)
		}
	}
	return nil
}

// CheckHeader returns an error if a field of a response cannot be passed on: its name is
// no token, or its value holds a control byte.
func CheckHeader(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("name of a field is %q", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return errors.Errorf("value of field %s is %q", name, v)
			}
		}
	}
	return nil
}
