package node

import (
	"context"
	"time"

	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/egress"
	"godwitlock.example/godwitlock/ingress"
	"godwitlock.example/godwitlock/ownership"
	"godwitlock.example/godwitlock/rollout"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

// Settings configures a Node.
type Settings struct {
	VM         topo.VMID
	DataCentre topo.DataCentreName
	// CallerAddr, ReadyAddr, PeerAddr and MetricsAddr are listen addresses
	// (host:port). StoreAddr is the address of the platform's store.
	CallerAddr, ReadyAddr, PeerAddr, MetricsAddr, StoreAddr string
	// MemoryBytes and MaxFiles are the resource limits of the process; 0 means
	// no limit.
	MemoryBytes int64
	MaxFiles    int
	// CPUShare is the share of one CPU core that the VM has; 0 means a whole core.
	CPUShare float64
	// EjectServers says that servers of a pool which fail much more often than their
	// peers get only probes.
	EjectServers bool
	// BoundServerBytes says that servers crash if the requests that they hold exceed
	// their memory.
	BoundServerBytes bool
	// Callers bounds what one caller may do.
	Callers ingress.CallerLimits
	// Heartbeat is the time between two writes of a server to its entry in the store.
	Heartbeat time.Duration
	// Bootstrap says that the whole system starts for the first time.
	Bootstrap bool
	Bounds    Bounds
}

// DefaultHeartbeat is the heartbeat of deployments whose settings name none.
const DefaultHeartbeat = time.Second

// Bounds are the limits that the deployment guarantees to its users.
type Bounds struct {
	// LeaveWithin is the time within which a leaving server stops receiving
	// requests.
	LeaveWithin time.Duration
	// StopWithin is the time between SIGTERM and SIGKILL.
	StopWithin time.Duration
	// ConfigWithin is the time within which a new configuration is in force on
	// every VM. RollbackSlack is the time after which an older configuration
	// must not take effect again.
	ConfigWithin, RollbackSlack time.Duration
	// WithdrawWithin is the time within which every VM rejects a withdrawn
	// caller key.
	WithdrawWithin time.Duration
	// EvacuateWithin is the time within which an evacuated data centre stops
	// receiving requests.
	EvacuateWithin time.Duration
	// DisruptionGrace is the time after a disruption during which the other
	// bounds do not apply. It is set by the setting contactS.
	DisruptionGrace time.Duration
	// MaxHold is the longest time for which a server accepts a hold of keys.
	MaxHold time.Duration
	// RetryShare is the fraction of the requests in a RetryWindow that may be
	// retried, over all VMs. RetrySlack is the number of retries allowed in
	// addition.
	RetryShare, RetrySlack float64
	RetryWindow            time.Duration
	// RateOverrun (a fraction) and RateSlack (a number of requests) define how
	// far a customer may exceed its rate within a RateWindow.
	RateOverrun, RateSlack float64
	RateWindow             time.Duration
	// ColdOverrun and ColdSlack define how far a cold server may be loaded
	// beyond its rate.
	ColdOverrun, ColdSlack float64
	// Rollout limits the exposure of a bad version. Without it, there are no roll-outs.
	Rollout rollout.Bounds
}

// DefaultBounds returns the bounds that apply where the settings specify none.
func DefaultBounds() Bounds {
	return Bounds{
		LeaveWithin: 2 * time.Second, StopWithin: 6 * time.Second,
		ConfigWithin: 2 * time.Second, RollbackSlack: 250 * time.Millisecond,
		WithdrawWithin: 5 * time.Second, EvacuateWithin: 5 * time.Second, DisruptionGrace: 3 * time.Second,
		MaxHold: 10 * time.Second, RetryShare: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 10,
		RateWindow: 5 * time.Second, ColdOverrun: 1,
	}
}

// Platform is the interface between a node and the platform that it runs on.
type Platform interface {
	// Objects returns the platform's store.
	Objects() store.Objects
	// CountCalls registers f, which is called for each call to the store with
	// its method, the kind of object and its duration. The duration excludes the
	// time that a watch waits for changes.
	CountCalls(f func(method, kind string, took time.Duration))
	// OnStoreEra registers f, which is called with the era of the store in its first
	// response, and once for each later era. It must be called before Objects.
	OnStoreEra(f func(topo.Era))
	// ConfigKey returns the key of the object that holds the configuration.
	// Prefixes returns the key prefixes of the configuration, the servers and
	// the evacuated data centres.
	ConfigKey() string
	Prefixes() Prefixes
	// InternalKey returns the key of an object that godwitlock itself stores.
	InternalKey(kind, name string) string
	DecodeConfig(spec []byte) (routemap.Config, error)
	DecodeServer(o store.Object, now time.Time) (directory.Server, error)
	// DecodeRollout decodes an order to roll out a version, without checking it.
	DecodeRollout(o store.Object) (rollout.Order, error)
	// WriteRolloutStatus sets the status of the order that is stored under key. It
	// fails if there is none.
	WriteRolloutStatus(ctx context.Context, key string, s rollout.Status) error
	// Name returns the name of the object that is stored under key.
	Name(key string) string
	// SendOrder delivers an order to the server at addr. The returned string is
	// the opaque value that the server returned for the next owner with its
	// response to a release. The error is only logged; the outcome is valid
	// even if the error is not nil. leaseEnd returns the time until which this process
	// leads, on the boot-time clock, and zero if it does not: a grant is neither written
	// nor delivered after that. An order that has been given up is not delivered after
	// SendOrder has returned, but may be on its way.
	SendOrder(ctx context.Context, addr string, o ownership.Order, leaseEnd func() time.Time) (ownership.Outcome, string, error)
	// ColdFor asks the health path of the server at addr how long it stays cold; zero if
	// it is warm.
	ColdFor(ctx context.Context, addr, path string, server topo.ServerID) (time.Duration, error)
	// OnServerNotice registers f, which is called with what a server says about
	// itself in a response to an order. It must be called before SendOrder.
	OnServerNotice(f func(topo.Incarnation, egress.Notice))
	CallerHeaders() ingress.Headers
	ServerHeaders() egress.Headers
}

// Prefixes are the key prefixes of the objects that a node watches.
type Prefixes struct{ Config, Servers, Evacuations, Rollouts string }
