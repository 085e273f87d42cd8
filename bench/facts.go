package bench

import (
	"time"

	"godwitlock.example/godwitlock/load"
	"godwitlock.example/godwitlock/standin/server"
	"godwitlock.example/godwitlock/topo"
)

// Execution is one request execution that a server stand-in recorded.
type Execution struct {
	server.Record
	Server     topo.ServerID
	DataCentre topo.DataCentreName
	Keyed      bool
	// LoadID identifies the caller's attempt. It is empty for requests that the
	// load generator did not send.
	LoadID string
}

// Rate is a customer's rate limit: requests per second and burst size.
type Rate struct{ PerSecond, Burst float64 }

// Outage is an interval in which a data centre was out of service. It begins when
// the removal is acknowledged to the operator and ends when the operator sends
// the request that brings the data centre back.
type Outage struct {
	DataCentre topo.DataCentreName
	From, To   time.Time
}

// ServerLoss records when a backend server was lost and when it was restarted.
type ServerLoss struct {
	Server             topo.ServerID
	LostAt, ReturnedAt time.Time
}

// Span is a time interval that includes From and excludes To.
type Span struct{ From, To time.Time }

func (s Span) contains(t time.Time) bool { return !t.Before(s.From) && t.Before(s.To) }

// Recording holds the records of a run, from which its metrics and violations are
// computed.
type Recording struct {
	Executions   []Execution
	Calls        []load.Record
	Rates        map[topo.CustomerID]Rate
	Outages      []Outage
	ServerLosses []ServerLoss
	// KeyedServers is the number of servers of the keyed service.
	KeyedServers int
	// Steady is the interval before all faults. Slowed is the interval in which
	// some servers were slowed.
	Steady, Slowed Span
	// Transitions are the intervals that follow the removal and the return of a
	// data centre.
	Transitions []Span
	// Flooder exceeds its rate limit during the surge. Prober sends requests for
	// a fixed set of keys throughout the run.
	Flooder, Prober topo.CustomerID
}
