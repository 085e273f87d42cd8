// Package node joins the duties of one VM that serves a platform's backend
// servers into a process.
package node

import (
	"context"
	"time"

	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/egress"
	"godwitlock.example/godwitlock/ingress"
	"godwitlock.example/godwitlock/ownership"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

// Settings are the settings of a process.
type Settings struct {
	VM         topo.VMID
	DataCentre topo.DataCentreName
	// CallerAddr, ReadyAddr, PeerAddr and MetricsAddr are listened on
	// (host:port); StoreAddr is the platform's store.
	CallerAddr, ReadyAddr, PeerAddr, MetricsAddr, StoreAddr string
	// MemoryBytes and MaxFiles are the limits of the process; 0 means none.
	MemoryBytes int64
	MaxFiles    int
	// CPUShare is the share of a core that the VM has; 0 means a whole one.
	CPUShare float64
	Bounds   Bounds
}

// Bounds are the promises of the deployment.
type Bounds struct {
	// LeaveWithin is the time in which a leaving server stops getting requests.
	LeaveWithin time.Duration
	// StopWithin is the time from SIGTERM to SIGKILL.
	StopWithin time.Duration
	// ConfigWithin is the time in which a configuration is in force, and
	// RollbackSlack the time after which an older one must not show.
	ConfigWithin, RollbackSlack time.Duration
	// WithdrawWithin is the time in which a withdrawn caller key stops working
	// on every VM.
	WithdrawWithin time.Duration
	// EvacuateWithin is the time in which a data centre stops getting requests.
	EvacuateWithin time.Duration
	// DisruptionGrace is the time after a disruption in which bounds do not hold.
	DisruptionGrace time.Duration
	// MaxHold is the longest hold of keys that a server takes.
	MaxHold time.Duration
	// RetryShare of the requests of RetryWindow, and RetrySlack more, may be
	// sent again, over all VMs.
	RetryShare, RetrySlack float64
	RetryWindow            time.Duration
	// RateOverrun and RateSlack are what a customer may exceed its rate by in
	// RateWindow.
	RateOverrun, RateSlack float64
	RateWindow             time.Duration
	// ColdOverrun and ColdSlack are what a cold server bears beyond its rate.
	ColdOverrun, ColdSlack float64
}

// DefaultBounds returns bounds for settings that name none.
func DefaultBounds() Bounds {
	return Bounds{
		LeaveWithin: 2 * time.Second, StopWithin: 6 * time.Second,
		ConfigWithin: 2 * time.Second, RollbackSlack: 250 * time.Millisecond,
		WithdrawWithin: 5 * time.Second, EvacuateWithin: 5 * time.Second, DisruptionGrace: 3 * time.Second,
		MaxHold: 10 * time.Second, RetryShare: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 10,
		RateWindow: 5 * time.Second, ColdOverrun: 1,
	}
}

// Platform is what a node needs of the platform that it runs on.
type Platform interface {
	// Objects is the platform's store.
	Objects() store.Objects
	// CountCalls has f called with the method and kind of each call to the
	// store, and with how long it took beyond the time it was asked to wait.
	CountCalls(f func(method, kind string, took time.Duration))
	// ConfigKey is the object with the configuration; the prefixes are those
	// of the configuration, the servers and the data centres out of service.
	ConfigKey() string
	Prefixes() Prefixes
	// OwnKey returns the key of an object of godwitlock's own.
	OwnKey(kind, name string) string
	DecodeConfig(spec []byte) (routemap.Config, error)
	DecodeServer(o store.Object, now time.Time) (directory.Server, error)
	// Name returns the name of an object.
	Name(key string) string
	// SendOrder carries an order out at a server. The text is the hand-over
	// that a release returns. The error is for logs.
	SendOrder(ctx context.Context, addr string, o ownership.Order) (ownership.Outcome, string, error)
	CallerHeaders() ingress.Headers
	ServerHeaders() egress.Headers
}

// Prefixes are the prefixes of the objects that a node watches.
type Prefixes struct{ Config, Servers, Evacuations string }
