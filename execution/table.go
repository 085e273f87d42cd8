package execution

import "fmt"

// Action is the router's reaction to a failed attempt.
type Action uint8

// The actions.
const (
	// Answer returns the failure to the caller.
	Answer Action = iota + 1
	// Retry sends the request again if the number of retries, the retry
	// budget, the body and the deadline allow it, and otherwise acts as Answer.
	Retry
	// ForwardResponse forwards the server's error response to the caller.
	ForwardResponse
	// Abort closes the caller's connection, because part of the response has
	// already been forwarded.
	Abort
)

// Rule holds the actions for one failure point, by idempotency of the request.
type Rule struct {
	Idempotent    Action
	NonIdempotent Action
	// NotRun means that the failed attempt cannot have run.
	NotRun bool
}

// row names a failure point and holds its rule.
type row struct {
	name string
	rule Rule
}

// table is the table of docs/design.md section 4.3.
var table = [numPoints]row{
	EntryRefused:     {"refused at the entry VM", Rule{Answer, Answer, true}},
	HomeRefused:      {"refused by the home VM", Rule{Retry, Retry, true}},
	HomeConnect:      {"connect to the home VM", Rule{Retry, Retry, true}},
	HomeStream:       {"stream to the home VM", Rule{Retry, Answer, false}},
	ServerConnect:    {"connect to the server", Rule{Retry, Retry, true}},
	ServerWrite:      {"write to the server", Rule{Retry, Answer, false}},
	ServerNotRun:     {"refused by the server", Rule{Retry, Retry, true}},
	ServerError:      {"error response of the server", Rule{ForwardResponse, ForwardResponse, false}},
	ServerHead:       {"before the response head", Rule{Retry, Answer, false}},
	ServerBody:       {"inside the response body", Rule{Abort, Abort, false}},
	Queued:           {"ended while queued", Rule{Answer, Answer, true}},
	Dispatched:       {"ended after dispatch", Rule{Answer, Answer, false}},
	ResponseMismatch: {"response of another request", Rule{Retry, Answer, false}},
}

// Points returns all failure points.
func Points() []Point {
	ps := make([]Point, 0, numPoints-1)
	for p := EntryRefused; p < numPoints; p++ {
		ps = append(ps, p)
	}
	return ps
}

// Rule returns the rule for p. For an invalid p it returns the safe rule: the
// request may have run, and it is not retried.
func (p Point) Rule() Rule {
	if p == 0 || p >= numPoints {
		return Rule{Answer, Answer, false}
	}
	return table[p].rule
}

// String returns the description of the failure point that is used in logs.
func (p Point) String() string {
	if p == 0 || p >= numPoints {
		return fmt.Sprintf("failure point %d", uint8(p))
	}
	return table[p].name
}
