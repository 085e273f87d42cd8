// Package bench runs the two workloads of docs/design.md section 1.3 against a
// deployment on loopback, with faults, and prints the measures of section 1.2
// and the guarantees as counts of violations. All of them come from what the
// backend server stand-ins and the callers recorded, never from the code that
// is measured.
package bench

import (
	"time"

	"godwitlock.example/godwitlock/load"
	"godwitlock.example/godwitlock/standin/server"
	"godwitlock.example/godwitlock/topo"
)

// Execution is one record of a server stand-in.
type Execution struct {
	server.Record
	Server     topo.ServerID
	DataCentre topo.DataCentreName
	Keyed      bool
	// LoadID is the id of the caller's attempt, "" for other requests.
	LoadID string
}

// Rate is a customer's rate per second and burst.
type Rate struct{ PerSecond, Burst float64 }

// Outage is a time in which a data centre was out of service, from the
// operator's acknowledgement on.
type Outage struct {
	DataCentre topo.DataCentreName
	From, To   time.Time
}

// Loss is the loss of a backend server.
type ServerLoss struct {
	Server             topo.ServerID
	LostAt, ReturnedAt time.Time
}

// Span is a time interval.
type Span struct{ From, To time.Time }

func (s Span) contains(t time.Time) bool { return !t.Before(s.From) && t.Before(s.To) }

// Recording is what a run recorded.
type Recording struct {
	Executions   []Execution
	Calls        []load.Record
	Rates        map[topo.CustomerID]Rate
	Outages      []Outage
	ServerLosses []ServerLoss
	// KeyedServers is the number of servers with keys of their own.
	KeyedServers int
	// Steady is before all faults; Slowed is while servers were slow.
	Steady, Slowed Span
	// Transitions are the times in which a data centre leaves or returns.
	Transitions []Span
	// Flooder sends more than its rate during the surge; Prober sends to
	// chosen keys all the time.
	Flooder, Prober topo.CustomerID
}
