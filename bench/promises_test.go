package bench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/load"
	"godwitlock.example/godwitlock/standin/server"
	"godwitlock.example/godwitlock/topo"
)

var origin = time.Unix(1000, 0)

func at(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }

var checkin = &load.Kind{Name: "checkin"}

// newExecution returns an execution of attempt load-1 for key "k".
func newExecution(id topo.ServerID, fence string, from, to int) Execution {
	return Execution{
		Record: server.Record{Customer: "c", Key: "k", Fence: fence, Start: at(from), End: at(to)},
		Server: id, DataCentre: "dc-a", Keyed: true, LoadID: "load-1",
	}
}

// successfulCall returns the record of attempt load-1, answered with status 200.
func successfulCall() load.Record {
	return load.Record{
		ID: "load-1", Kind: checkin, Customer: "c", Key: "k", Intended: at(0), Sent: at(0), Done: at(100),
		Status: 200, EchoedID: "load-1", ResponseKey: "k", LengthMatches: true,
	}
}

func validRecording() *Recording {
	return &Recording{
		Executions: []Execution{newExecution("s1", "7/1.4", 10, 20)}, Calls: []load.Record{successfulCall()},
		Rates: map[topo.CustomerID]Rate{"c": {PerSecond: 1, Burst: 1}},
	}
}

// Guards against counting a violation in a recording that has none. A key that moves
// to another server under a newer fencing token is not a violation.
func TestValidRecordingHasNoViolations(t *testing.T) {
	rec := validRecording()
	moved := newExecution("s2", "7/1.5", 20, 30)
	moved.LoadID = ""
	rec.Executions = append(rec.Executions, moved)
	require.Equal(t, Violations{}, CountViolations(rec))
}

// Guards against a violation that is not counted. Each case alters a valid recording
// so that it violates one guarantee, except the last: a response that breaks because
// the server that executed the request was lost is not a violation.
func TestEachViolationIsCounted(t *testing.T) {
	cases := []struct {
		name    string
		corrupt func(*Recording)
		want    Violations
	}{
		{"two servers at once", func(rec *Recording) {
			rec.Executions = append(rec.Executions, newExecution("s2", "7/1.5", 15, 30))
		}, Violations{DoubleOwner: 1}},
		{"one fence on two servers", func(rec *Recording) {
			rec.Executions = append(rec.Executions, newExecution("s2", "7/1.4", 30, 40))
		}, Violations{DoubleOwner: 1}},
		{"two servers at once without fences", func(rec *Recording) {
			rec.Executions[0].Fence = ""
			rec.Executions = append(rec.Executions, newExecution("s2", "", 15, 30))
		}, Violations{DoubleOwner: 1}},
		{"second run of an idempotency key", func(rec *Recording) {
			rec.Executions[0].IdempotencyKey = "i"
			again := newExecution("s1", "7/1.4", 30, 40)
			again.IdempotencyKey = "i"
			rec.Executions = append(rec.Executions, again)
		}, Violations{DoubleRun: 1}},
		{"execution despite outcome not-run", func(rec *Recording) {
			rec.Calls[0].Status, rec.Calls[0].Outcome = 503, "not-run"
		}, Violations{FalseNotRun: 1}},
		{"more than rate and burst", func(rec *Recording) {
			for _, id := range []string{"load-2", "load-3"} {
				c, e := successfulCall(), newExecution("s1", "7/1.4", 10, 20)
				c.ID, c.EchoedID, e.LoadID = id, id, id
				rec.Calls, rec.Executions = append(rec.Calls, c), append(rec.Executions, e)
			}
		}, Violations{RateExcess: 2}},
		{"answer of another key", func(rec *Recording) { rec.Calls[0].ResponseKey = "other" }, Violations{WrongAnswer: 1}},
		{"answer of another request", func(rec *Recording) { rec.Calls[0].EchoedID = "load-9" }, Violations{WrongAnswer: 1}},
		{"answer of another length", func(rec *Recording) { rec.Calls[0].LengthMatches = false }, Violations{WrongAnswer: 1}},
		{"answer without execution", func(rec *Recording) { rec.Executions = nil }, Violations{WrongAnswer: 1}},
		{"older assignment", func(rec *Recording) {
			rec.Executions = append(rec.Executions, newExecution("s2", "7/1.3", 30, 40))
		}, Violations{LostAssignment: 1}},
		{"execution in a data centre out of service", func(rec *Recording) {
			rec.Outages = []Outage{{DataCentre: "dc-a", From: at(0), To: at(9000)}}
			rec.Executions = append(rec.Executions, newExecution("s1", "7/1.4", 3001, 3010))
		}, Violations{RevertedConfig: 1}},
		{"broken response", func(rec *Recording) { rec.Calls[0].TransportError = "unexpected EOF" }, Violations{CutRequests: 1}},
		{"broken response after the loss of another server", func(rec *Recording) {
			rec.Calls[0].TransportError = "unexpected EOF"
			rec.ServerLosses = []ServerLoss{{Server: "s2", LostAt: at(15)}}
		}, Violations{CutRequests: 1}},
		{"broken response of a lost server", func(rec *Recording) {
			rec.Calls[0].TransportError = "unexpected EOF"
			rec.ServerLosses = []ServerLoss{{Server: "s1", LostAt: at(15)}}
		}, Violations{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rec := validRecording()
			c.corrupt(rec)
			require.Equal(t, c.want, CountViolations(rec))
			require.Equal(t, c.want != Violations{}, c.want.Total() > 0)
		})
	}
}
