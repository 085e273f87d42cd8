// Package assigner decides, at the controller of a cell, which backend server
// owns each slice and hot key, and which VM is the home VM of each server: the only
// VM that may dispatch requests to it. The package is a state machine: it takes
// reports and configuration as input and returns routing tables and move records.
//
// Its safety invariant is that a slice or hot key gets a new owner only after
// the old owner's home VM reported it drained and revoked, or after the lease of
// the old owner or of its home VM lapsed.
package assigner

import (
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/grants"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// Timing parameters and budgets (design page, sections 3.5 and 4.6).
const (
	// VMTTL is the duration of a VM lease.
	VMTTL = 1200 * time.Millisecond
	// HeartbeatInterval is the time between heartbeats of a VM.
	HeartbeatInterval = 400 * time.Millisecond
	// DrainTimeout is how long a move waits for requests in flight.
	DrainTimeout = 500 * time.Millisecond
	// MoveTimeout is the time after which a move is aborted. It covers the drain
	// and one heartbeat that reports the end of the drain.
	MoveTimeout = DrainTimeout + HeartbeatInterval
	// MoveRetryDelay is the delay before a slice may be moved again after its
	// move was aborted.
	MoveRetryDelay = 5 * time.Second
	// ForcedMoveRetryDelay replaces MoveRetryDelay for slices of a server
	// that must get no new requests.
	ForcedMoveRetryDelay = 200 * time.Millisecond
	// ForcedMoveAbortWindow is the time after a server became unavailable in
	// which moves away from it may still be aborted. After that, moves drain
	// until they finish, so that the server gets no new requests after 3 s even
	// for slices with long requests.
	ForcedMoveAbortWindow = 2 * time.Second
	// MoveBudget is the fraction of a service's slices for which a voluntary move
	// may start per second.
	MoveBudget = 0.02
	// RampUpPeriod is the time over which the weight of a returning server grows
	// to its full value.
	RampUpPeriod = 30 * time.Second
	// HomeRetryDelay is the delay before the home VM of a server may be changed
	// again after a change was aborted.
	HomeRetryDelay = 10 * time.Second
	// HomeSettleTime is how long a VM must have held its lease before balancing
	// makes it the home VM of further servers.
	HomeSettleTime = 5 * time.Second
	// ClaimsTimeout limits the wait for the claims of servers after heartbeats
	// were collected.
	ClaimsTimeout = 2 * time.Second
	// MinCollectDuration is the minimum time for which a new controller collects
	// heartbeats. A VM without a controller searches for the new one several
	// times within it.
	MinCollectDuration = HeartbeatInterval
	// DefaultSlices is the number of slices of a keyed service that configures
	// none.
	DefaultSlices = 16384
)

// maxConcurrentReleases is the number of pending releases of servers by their home
// VMs at which balancing requests no further one.
const maxConcurrentReleases = 2

// ServerSpec is the configuration of a backend server.
type ServerSpec struct {
	topo.BackendServer
	// ChecksGrants is true if the server rejects control calls and requests with
	// a fence below the one that it knows.
	ChecksGrants bool
}

// ServiceSpec is the configuration of a service.
type ServiceSpec struct {
	Name topo.ServiceName
	Kind topo.ServiceKind
	// Slices can't change during the lifetime of a keyed service. The value 0
	// means DefaultSlices.
	Slices uint32
	// MaxRatePerSlot is the capacity of one slot in requests/s, or 0 if unknown.
	// A hot key whose rate exceeds the capacity of every server is not moved.
	MaxRatePerSlot float64
	Servers        []ServerSpec
}

// Config holds the parameters of a controller's term.
type Config struct {
	Term topo.Term
	// PredecessorLapsed is true if the authority of all lower terms lapsed
	// before this term began. It must be false if a lower term was released
	// before its authority lapsed. If it is true, no lease of a lower term is
	// still valid, and VM leases are granted while heartbeats are collected.
	PredecessorLapsed bool
	// CollectDuration is how long heartbeats are collected, at least
	// MinCollectDuration. The value 0 means the full time, VMTTL x (1 + drift).
	// Without PredecessorLapsed the full time always applies, because leases of a
	// lower term need it to lapse.
	CollectDuration time.Duration
}

// collectDuration returns CollectDuration, limited to MinCollectDuration and the
// full time.
func (c Config) collectDuration() time.Duration {
	full := grants.MaxLocal(VMTTL)
	if !c.PredecessorLapsed || c.CollectDuration == 0 {
		return full
	}
	return min(full, max(c.CollectDuration, MinCollectDuration))
}

// MoveEvent is the kind of change that a MoveRecord describes.
type MoveEvent string

// Values of MoveEvent.
const (
	Assigned         MoveEvent = "assigned" // a slice or hot key without an owner got one
	Started          MoveEvent = "started"  // the drain of the old owner started
	Finished         MoveEvent = "finished" // the new owner replaced the old one, or the hot key returned to its slice
	Aborted          MoveEvent = "given_up" // the drain did not end in time
	Freed            MoveEvent = "freed"    // the owner was lost and there is no new one yet
	HomeSet          MoveEvent = "home_set" // the home VM of a server was set or cleared
	ReleaseRequested MoveEvent = "let_go"   // a home VM was asked to release a server
)

// Cause is the reason for a move.
type Cause string

// Values of Cause.
const (
	CauseInitial     Cause = "initial"
	CauseRebalance   Cause = "rebalance"
	CauseLeaving     Cause = "leaving" // the server drains or its data centre is out of service
	CauseLost        Cause = "lost"
	CauseClaim       Cause = "claim"
	CauseHotKey      Cause = "hot_key"
	CauseHotKeyEnded Cause = "hot_key_ended"
	CauseHome        Cause = "home_vm"
)

// MoveRecord is an audit record of one or more changes in a table version.
// Changes with the same version, service, event, cause and servers share a record
// that lists their slices. Each change of a hot key or home VM has its own record.
type MoveRecord struct {
	At      time.Time
	Version slicemap.Version
	Service topo.ServiceName
	Event   MoveEvent
	Cause   Cause
	// From and To are server IDs, or IDs of home VMs if Server is set.
	From, To string
	Server   topo.ServerID
	Key      string
	Slices   []topo.SliceID
}

// Result holds the changes that Tick made.
type Result struct {
	// Table is the new table and Delta the change from the previous one. Both are
	// nil if no table was published.
	Table *slicemap.Table
	Delta *slicemap.Delta
	Moves []MoveRecord
}

// Assigner is the state machine of the controller for one term. It is not safe
// for concurrent use.
type Assigner struct {
	cfg          Config
	now          time.Time
	authorityEnd time.Time
	table        *slicemap.Table
	builder      *slicemap.Builder

	vms          map[topo.VMID]*vm
	services     map[topo.ServiceName]*service
	specs        map[topo.ServiceName]ServiceSpec
	specsChanged bool
	configured   bool
	outOfService map[topo.DataCentreName]bool
	draining     map[topo.ServerID]bool
	records      []MoveRecord
	recordIndex  map[recordKey]int
	// releasing is the number of servers whose home VM was asked to release them
	// and has not yet done so.
	releasing int
	// forcePublish makes Tick publish a table even if nothing changed in it.
	forcePublish bool
	// removedAt maps removed services to the time of their removal.
	removedAt map[topo.ServiceName]time.Time

	rebuild rebuild
	// maxLeaseDuration returns the longest time, on the controller's clock, for
	// which a VM may consider a lease valid. Tests shorten it to show that the
	// controller has to wait that long.
	maxLeaseDuration func(time.Duration) time.Duration
}

// New returns the assigner of a term that began at now. own is the table of the
// controller's VM, or slicemap.Empty() if it has none.
func New(now time.Time, cfg Config, own *slicemap.Table) *Assigner {
	a := &Assigner{cfg: cfg, now: now, vms: map[topo.VMID]*vm{}, services: map[topo.ServiceName]*service{},
		specs: map[topo.ServiceName]ServiceSpec{}, outOfService: map[topo.DataCentreName]bool{},
		draining: map[topo.ServerID]bool{}, recordIndex: map[recordKey]int{}, table: own,
		removedAt: map[topo.ServiceName]time.Time{}, maxLeaseDuration: grants.MaxLocal}
	a.rebuild = rebuild{phase: collecting, phaseEnd: now.Add(cfg.collectDuration()), highestReported: own.Version(),
		answered: map[topo.ServerID]bool{}, claims: map[topo.ServerID][]grants.Claim{}, missing: map[topo.ServerID]map[topo.SliceID]bool{}}
	return a
}

// SetAuthority sets the time until which the controller has authority. From that
// time on, Heartbeat grants no lease and Tick changes nothing.
func (a *Assigner) SetAuthority(until time.Time) { a.authorityEnd = until }

// Configure replaces the configured services; a service that is missing from
// specs is removed. It returns a NotValid error and changes nothing if a spec is
// invalid or changes the kind or the number of slices of an existing service.
func (a *Assigner) Configure(specs []ServiceSpec) error {
	next := make(map[topo.ServiceName]ServiceSpec, len(specs))
	for _, s := range specs {
		if s.Kind == topo.Keyed && s.Slices == 0 {
			s.Slices = DefaultSlices
		}
		if err := a.checkSpec(s); err != nil {
			return errors.Annotatef(err, "service %q", s.Name)
		}
		if _, ok := next[s.Name]; ok {
			return errors.NotValidf("duplicate service %q", s.Name)
		}
		next[s.Name] = s
	}
	a.specs, a.specsChanged, a.configured = next, true, true
	return nil
}

func (a *Assigner) checkSpec(s ServiceSpec) error {
	if err := s.Kind.Validate(); err != nil {
		return errors.NewNotValid(err, "kind")
	}
	if (s.Kind == topo.Keyed) != (s.Slices > 0) || s.Slices > slicemap.MaxSlices {
		return errors.NotValidf("%d slices for a %s service (expected 1 to 1048576 if keyed, otherwise 0)", s.Slices, s.Kind)
	}
	if len(s.Servers) > slicemap.MaxServers/2 {
		return errors.NotValidf("server count %d (limit: half of the 65535 server indexes of a table)", len(s.Servers))
	}
	if have := a.table.Service(s.Name); have != nil && (have.Kind() != s.Kind || have.Slices() != s.Slices) {
		return errors.NotValidf("change from a %s service with %d slices to a %s service with %d slices", have.Kind(), have.Slices(), s.Kind, s.Slices)
	}
	seen := map[topo.ServerID]bool{}
	for _, srv := range s.Servers {
		if srv.ID == "" || seen[srv.ID] || srv.Slots <= 0 || srv.MaxConns < 0 {
			return errors.NotValidf("server %q with %d slots (expected a unique ID, at least 1 slot and no negative connection limit)", srv.ID, srv.Slots)
		}
		seen[srv.ID] = true
	}
	return nil
}

// SetDataCentre marks a data centre as in or out of service.
func (a *Assigner) SetDataCentre(dc topo.DataCentreName, inService bool) {
	if inService {
		delete(a.outOfService, dc)
	} else {
		a.outOfService[dc] = true
	}
}

// SetDraining starts the drain of a server, or ends it so that the server may own
// slices again.
func (a *Assigner) SetDraining(id topo.ServerID, draining bool) {
	if draining {
		a.draining[id] = true
	} else {
		delete(a.draining, id)
	}
}

// Table returns the newest table: while a new controller collects heartbeats,
// the highest one adopted so far; after that, the last one published.
func (a *Assigner) Table() *slicemap.Table { return a.table }

// Rebuilding reports whether the controller still collects heartbeats or claims
// and therefore starts no moves.
func (a *Assigner) Rebuilding() bool { return a.rebuild.phase != rebuilt }

// Tick makes all decisions that are due and returns the changes. The caller must
// call it after every input and at least every 50 ms.
func (a *Assigner) Tick(now time.Time) Result {
	if !now.Before(a.authorityEnd) {
		return Result{}
	}
	a.now = now
	a.openBuilder()
	a.advanceRebuild()
	if a.rebuild.phase != collecting {
		a.endLapsedLeases()
		a.reconcile()
		a.assignHomes()
	}
	if a.rebuild.phase == rebuilt {
		for _, s := range a.sortedServices() {
			a.stepService(s)
		}
		a.balanceHomes()
	}
	return a.publish()
}

// openBuilder creates the builder of the next table version if there is none.
func (a *Assigner) openBuilder() {
	if a.builder == nil {
		a.builder = slicemap.NewBuilder(a.table)
	}
}

// nextVersion returns the version of the table under construction.
func (a *Assigner) nextVersion() slicemap.Version {
	if v := a.table.Version(); v.Term == a.cfg.Term {
		return slicemap.Version{Term: v.Term, Seq: v.Seq + 1}
	}
	return slicemap.Version{Term: a.cfg.Term, Seq: 1}
}

func (a *Assigner) publish() Result {
	r := Result{Moves: a.records}
	a.records = nil
	clear(a.recordIndex)
	if a.builder.Changed() || a.forcePublish {
		a.forcePublish = false
		a.table, r.Delta = a.builder.Build(a.nextVersion())
		r.Table, a.builder = a.table, nil
	}
	return r
}

func (a *Assigner) stepService(s *service) {
	if s.kind != topo.Keyed {
		return
	}
	a.finishMoves(s)
	a.placeFree(s)
	a.drainUnavailableServers(s)
	a.rebalance(s)
	a.stepHotKeys(s)
}
