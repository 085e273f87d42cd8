package execution

import "fmt"

// Action is what follows a failure.
type Action uint8

// The actions.
const (
	// Answer returns the failure to the caller.
	Answer Action = iota + 1
	// Retry sends the request again when attempts, budget, body and deadline
	// allow it, and otherwise answers as Answer does.
	Retry
	// ForwardResponse forwards the server's response.
	ForwardResponse
	// Abort breaks the caller's connection, since part of the response has
	// been forwarded.
	Abort
)

// Rule is what the table says for one failure point.
type Rule struct {
	Idempotent Action
	Other      Action
	// NotRun says that this attempt certainly did not run.
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

// Rule returns the table row of p. A value outside the list counts as a
// failure after which nothing is known and nothing is sent again.
func (p Point) Rule() Rule {
	if p == 0 || p >= numPoints {
		return Rule{Answer, Answer, false}
	}
	return table[p].rule
}

// String names the failure point for logs.
func (p Point) String() string {
	if p == 0 || p >= numPoints {
		return fmt.Sprintf("failure point %d", uint8(p))
	}
	return table[p].name
}
