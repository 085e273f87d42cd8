package bench

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"godwitlock.example/godwitlock/load"
	"godwitlock.example/godwitlock/topo"
)

// maxConfigDelay is the maximum time from the acknowledgement of a configuration
// change until it is in force on all VMs (docs/design.md, P4 and P12).
const maxConfigDelay = 3 * time.Second

// Violations counts the violations of each guarantee. All counts must be 0.
type Violations struct {
	// DoubleOwner counts executions for a key that began while another server
	// was executing a request for it, and executions under a fencing token that
	// another server had used.
	DoubleOwner int `json:"double_owner"`
	// DoubleRun counts repeated executions of an idempotency key.
	DoubleRun int `json:"double_run"`
	// FalseNotRun counts attempts that were executed although the response
	// reported the outcome not-run.
	FalseNotRun int `json:"false_not_run"`
	// RateExcess is the sum over all customers of the largest number of executed
	// requests beyond the customer's rate and burst in any time window.
	RateExcess int `json:"rate_excess"`
	// WrongAnswer counts responses with status 200 that belong to another request,
	// have the wrong length or were sent although no server executed the request.
	WrongAnswer int `json:"wrong_answer"`
	// LostAssignment counts executions under an older assignment than one that the
	// key had already been served under.
	LostAssignment int `json:"lost_assignment"`
	// RevertedConfig counts executions that began in a data centre more than 3 s
	// after the acknowledgement of its removal and before its return.
	RevertedConfig int `json:"reverted_config"`
	// CutRequests counts requests whose connection broke before the response was
	// complete, except those that were executing on a server when it was lost.
	CutRequests int `json:"cut_requests"`
}

// Total returns the sum of all counts, which is 0 if no guarantee was violated.
func (v Violations) Total() int {
	return v.DoubleOwner + v.DoubleRun + v.FalseNotRun + v.RateExcess + v.WrongAnswer + v.LostAssignment + v.RevertedConfig + v.CutRequests
}

// CountViolations checks the records of a run against the guarantees.
func CountViolations(rec *Recording) Violations {
	runs := byLoadID(rec.Executions)
	var v Violations
	for _, list := range byKey(rec.Executions) {
		v.DoubleOwner += doubleOwners(list)
		v.LostAssignment += lostAssignments(list)
	}
	v.DoubleRun = doubleRuns(rec.Executions)
	for id, rate := range rec.Rates {
		v.RateExcess += rateExcess(rec.Calls, runs, id, rate)
	}
	executedKeys := idempotencyKeys(rec.Executions)
	for i := range rec.Calls {
		c := &rec.Calls[i]
		if c.Outcome == "not-run" && len(runs[c.ID]) > 0 {
			v.FalseNotRun++
		}
		if c.OK() && wrongResponse(c, len(runs[c.ID]) > 0 || executedKeys[c.IdempotencyKey]) {
			v.WrongAnswer++
		}
		if connectionBroke(c) && !ranOnLostServer(rec, runs[c.ID]) {
			v.CutRequests++
		}
	}
	v.RevertedConfig = revertedExecutions(rec)
	return v
}

func byLoadID(all []Execution) map[string][]*Execution {
	m := make(map[string][]*Execution)
	for i := range all {
		if id := all[i].LoadID; id != "" {
			m[id] = append(m[id], &all[i])
		}
	}
	return m
}

// byKey groups the executions of keyed services by key, sorted by start time.
func byKey(all []Execution) map[string][]*Execution {
	m := make(map[string][]*Execution)
	for i := range all {
		if all[i].Keyed {
			m[all[i].Key] = append(m[all[i].Key], &all[i])
		}
	}
	for _, list := range m {
		slices.SortStableFunc(list, func(a, b *Execution) int { return a.Start.Compare(b.Start) })
	}
	return m
}

// doubleOwners counts the DoubleOwner violations in the executions of one key, which
// are sorted by start time.
func doubleOwners(list []*Execution) int {
	n := 0
	ends := map[topo.ServerID]time.Time{}
	owners := map[string]topo.ServerID{}
	for _, e := range list {
		double := false
		for id, end := range ends {
			double = double || id != e.Server && end.After(e.Start)
		}
		if e.Fence != "" {
			if owner, ok := owners[e.Fence]; ok && owner != e.Server {
				double = true
			} else {
				owners[e.Fence] = e.Server
			}
		}
		if double {
			n++
		}
		if e.End.After(ends[e.Server]) {
			ends[e.Server] = e.End
		}
	}
	return n
}

// lostAssignments counts the LostAssignment violations in the executions of one key,
// which are sorted by start time.
func lostAssignments(list []*Execution) int {
	n := 0
	var highest topo.Fence
	for _, e := range list {
		fence, ok := parseRecordedFence(e.Fence)
		if !ok {
			continue
		}
		if fence.Less(highest) {
			n++
		} else {
			highest = fence
		}
	}
	return n
}

// parseRecordedFence parses a fencing token in the form <slice>/<term>.<seq>.
func parseRecordedFence(s string) (topo.Fence, bool) {
	_, rest, ok := strings.Cut(s, "/")
	if !ok {
		return topo.Fence{}, false
	}
	fence, err := topo.ParseFence(rest)
	return fence, err == nil
}

func idempotencyKeys(all []Execution) map[string]bool {
	m := map[string]bool{}
	for i := range all {
		if k := all[i].IdempotencyKey; k != "" {
			m[k] = true
		}
	}
	return m
}

func doubleRuns(all []Execution) int {
	type id struct {
		customer topo.CustomerID
		key      string
	}
	seen := map[id]bool{}
	n := 0
	for i := range all {
		k := id{all[i].Customer, all[i].IdempotencyKey}
		if k.key == "" {
			continue
		}
		if seen[k] {
			n++
		}
		seen[k] = true
	}
	return n
}

// rateExcess returns the largest number of executed requests by which a customer
// exceeded its rate and burst in any time window. An executed request was admitted
// between its send time and its end, so a window that contains both also contains
// the admission.
func rateExcess(calls []load.Record, runs map[string][]*Execution, id topo.CustomerID, rate Rate) int {
	type interval struct{ sent, done float64 }
	var list []interval
	var origin time.Time
	for i := range calls {
		c := &calls[i]
		if c.Customer != id || len(runs[c.ID]) == 0 {
			continue
		}
		if origin.IsZero() {
			origin = c.Sent
		}
		list = append(list, interval{c.Sent.Sub(origin).Seconds(), c.Done.Sub(origin).Seconds()})
	}
	slices.SortFunc(list, func(a, b interval) int { return cmp.Compare(a.done, b.done) })
	worst := 0.0
	for i := range list {
		// Windows begin at list[i].sent and end at the end of each request sent
		// since then.
		count := 0.0
		for _, other := range list {
			if other.sent < list[i].sent {
				continue
			}
			count++
			worst = max(worst, count-rate.Burst-rate.PerSecond*(other.done-list[i].sent))
		}
	}
	const rounding = 1e-6
	return int(math.Ceil(worst - rounding))
}

func wrongResponse(c *load.Record, ran bool) bool {
	return !ran || c.EchoedID != c.ID || c.ResponseKey != c.Key || !c.LengthMatches
}

func connectionBroke(c *load.Record) bool { return c.TransportError != "" && !c.TimedOut && !c.Unsent }

// ranOnLostServer reports whether an attempt was executing on a server when the
// server was lost.
func ranOnLostServer(rec *Recording, runs []*Execution) bool {
	for _, e := range runs {
		for _, l := range rec.ServerLosses {
			// A stand-in records the end of interrupted executions shortly after
			// the loss.
			if e.Server == l.Server && !e.Start.After(l.LostAt) && (e.End.IsZero() || !e.End.Before(l.LostAt)) {
				return true
			}
		}
	}
	return false
}

func revertedExecutions(rec *Recording) int {
	n := 0
	for i := range rec.Executions {
		e := &rec.Executions[i]
		for _, o := range rec.Outages {
			if e.DataCentre == o.DataCentre && e.Start.After(o.From.Add(maxConfigDelay)) && e.Start.Before(o.To) {
				n++
			}
		}
	}
	return n
}
