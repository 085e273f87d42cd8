// Package assigner decides, at the controller of a cell, which backend server
// owns each slice and hot key and which VM is the home of each server. It is a
// state machine: reports and configuration go in, routing tables and move
// records come out.
//
// The rule above all others: a slice or hot key gets a new owner only when the
// old owner's home VM reported it drained and revoked, or when the old owner's
// server lease or its home VM's lease has lapsed.
package assigner

import (
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/grants"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// Periods and budgets (design page, sections 3.5 and 4.6).
const (
	// VMTTL is the length of a VM lease.
	VMTTL = 1200 * time.Millisecond
	// HeartbeatInterval is the time between heartbeats of a VM.
	HeartbeatInterval = 400 * time.Millisecond
	// DrainTimeout is the time for which a move waits for running requests.
	DrainTimeout = 500 * time.Millisecond
	// MoveTimeout is the time after which a move is given up: the drain and
	// one heartbeat to report it.
	MoveTimeout = DrainTimeout + HeartbeatInterval
	// MoveRetry is the time for which a slice is left alone after its move was
	// given up.
	MoveRetryDelay = 5 * time.Second
	// ForcedRetry is MoveRetry for slices of a server that must get no new work.
	ForcedMoveRetryDelay = 200 * time.Millisecond
	// ForcedDrainLimit is the time after which moves away from a server that
	// must get no new work are no longer given up, so that the bound of 3 s
	// holds even for slices with long requests.
	ForcedMoveAbortWindow = 2 * time.Second
	// MoveBudget is the share of a service's slices that may begin a voluntary
	// move per second.
	MoveBudget = 0.02
	// RefillPeriod is the time over which a returning server is refilled.
	RampUpPeriod = 30 * time.Second
	// HomeRetry is the time for which a server's home VM is left alone after a
	// change was given up.
	HomeRetryDelay = 10 * time.Second
	// HomeSettle is the time for which a VM must have held its lease before
	// servers change to it for the sake of balance.
	HomeSettleTime = 5 * time.Second
	// ClaimsTimeout bounds the wait for servers' claims after the heartbeats
	// were collected.
	ClaimsTimeout = 2 * time.Second
	// MinCollectDuration is the least time for which heartbeats are collected. VMs that
	// lost their controller look for the next one several times in it.
	MinCollectDuration = HeartbeatInterval
	// DefaultSlices is the number of slices of a keyed service.
	DefaultSlices = 16384
)

// maxLetGo is the number of servers that change their home VM at the same time
// for the sake of balance.
const maxConcurrentReleases = 2

// ServerSpec is a configured backend server.
type ServerSpec struct {
	topo.BackendServer
	// ChecksGrants says that the server refuses orders and requests with a
	// lower fence.
	ChecksGrants bool
}

// ServiceSpec is a configured service.
type ServiceSpec struct {
	Name topo.ServiceName
	Kind topo.ServiceKind
	// Slices is fixed for the life of a keyed service; 0 means DefaultSlices.
	Slices uint32
	// MaxRatePerSlot is the rate that one slot bears, in requests/s, 0 when
	// unknown. A hot key above what every server bears is left where it is.
	MaxRatePerSlot float64
	Servers        []ServerSpec
}

// Config holds the parameters of a controller's term.
type Config struct {
	Term topo.Term
	// PredecessorLapsed says that the authority of all lower terms lapsed
	// before this term began. It must be false when a lower term was released
	// before its authority would have lapsed. When it is true no lease of a
	// lower term is left, and VM leases are given while heartbeats are
	// collected.
	PredecessorLapsed bool
	// CollectDuration is the time for which heartbeats are collected, at least
	// MinCollect. It counts only with PredecessorLapsed, as the full time is
	// needed for leases of a lower term to lapse; 0 means the full time,
	// VMTTL x (1 + drift).
	CollectDuration time.Duration
}

// collectDuration returns the time for which heartbeats are collected.
func (c Config) collectDuration() time.Duration {
	full := grants.Longest(VMTTL)
	if !c.PredecessorLapsed || c.CollectDuration == 0 {
		return full
	}
	return min(full, max(c.CollectDuration, MinCollectDuration))
}

// MoveEvent is what happened to a move.
type MoveEvent string

// The events of a move.
const (
	Assigned MoveEvent = "assigned" // a slice without an owner got one
	Started  MoveEvent = "started"  // the drain began
	Finished MoveEvent = "finished" // the new owner took over
	Aborted  MoveEvent = "given_up" // the drain took too long
	Freed    MoveEvent = "freed"    // the owner was lost
	HomeSet  MoveEvent = "home_set" // a server got a home VM
	LetGo    MoveEvent = "let_go"   // a home VM was asked to let go
)

// Cause is why a move happened.
type Cause string

// The causes of moves.
const (
	CauseInitial     Cause = "initial"
	CauseRebalance   Cause = "rebalance"
	CauseLeaving     Cause = "leaving" // the server drains or its data centre is out
	CauseLost        Cause = "lost"
	CauseClaim       Cause = "claim"
	CauseHotKey      Cause = "hot_key"
	CauseHotKeyEnded Cause = "hot_key_ended"
	CauseHome        Cause = "home_vm"
)

// MoveRecord is an audit record. Records of the same version, event, cause,
// servers and key are joined into one with several slices.
type MoveRecord struct {
	At      time.Time
	Version slicemap.Version
	Service topo.ServiceName
	Event   MoveEvent
	Cause   Cause
	// From and To are servers, or home VMs when Server is set.
	From, To string
	Server   topo.ServerID
	Key      string
	Slices   []topo.SliceID
}

// Result is what a Tick changed.
type Result struct {
	// Table is the new table, nil when nothing changed, and Delta leads to it.
	Table *slicemap.Table
	Delta *slicemap.Delta
	Moves []MoveRecord
}

// Assigner is the state machine of one term.
type Assigner struct {
	cfg       Config
	now       time.Time
	authority time.Time
	table     *slicemap.Table
	b         *slicemap.Builder

	vms          map[topo.VMID]*vm
	services     map[topo.ServiceName]*service
	specs        map[topo.ServiceName]ServiceSpec
	specsChanged bool
	configured   bool
	outOfService map[topo.DataCentreName]bool
	draining     map[topo.ServerID]bool
	records      []MoveRecord
	recordIndex  map[recordKey]int
	// letGo is the number of servers whose home VM was asked to let go.
	releasing int
	// force publishes a table even if nothing changed in it.
	forcePublish bool
	// gone holds when services were removed.
	removedAt map[topo.ServiceName]time.Time

	rebuild rebuild
	// leaseWait is how long a given VM lease is counted here. Tests shorten it
	// to show that the wait matters.
	maxLeaseDuration func(time.Duration) time.Duration
}

// New returns the assigner of a term that began at now. own is the table that
// this VM holds, or slicemap.Empty().
func New(now time.Time, cfg Config, own *slicemap.Table) *Assigner {
	a := &Assigner{cfg: cfg, now: now, vms: map[topo.VMID]*vm{}, services: map[topo.ServiceName]*service{},
		specs: map[topo.ServiceName]ServiceSpec{}, outOfService: map[topo.DataCentreName]bool{},
		draining: map[topo.ServerID]bool{}, recordIndex: map[recordKey]int{}, table: own,
		removedAt: map[topo.ServiceName]time.Time{}, maxLeaseDuration: grants.Longest}
	a.rebuild = rebuild{phase: collecting, phaseEnd: now.Add(cfg.collectDuration()), highestReported: own.Version(),
		answered: map[topo.ServerID]bool{}, claims: map[topo.ServerID][]grants.Claim{}, missing: map[topo.ServerID]map[topo.SliceID]bool{}}
	return a
}

// SetAuthority sets the time until which the controller has authority. At and
// after it, Heartbeat gives no lease and Tick changes nothing.
func (a *Assigner) SetAuthority(until time.Time) { a.authority = until }

// Configure sets the services. A service that is missing is removed. It
// refuses a change of a service's kind or number of slices, and then changes
// nothing.
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
			return errors.NotValidf("second service %q", s.Name)
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
		return errors.NotValidf("%d slices for a %s service", s.Slices, s.Kind)
	}
	if len(s.Servers) > slicemap.MaxServers/2 {
		return errors.NotValidf("%d servers", len(s.Servers))
	}
	if have := a.table.Service(s.Name); have != nil && (have.Kind() != s.Kind || have.Slices() != s.Slices) {
		return errors.NotValidf("change from %s with %d slices to %s with %d", have.Kind(), have.Slices(), s.Kind, s.Slices)
	}
	seen := map[topo.ServerID]bool{}
	for _, srv := range s.Servers {
		if srv.ID == "" || seen[srv.ID] || srv.Slots <= 0 || srv.MaxConns < 0 {
			return errors.NotValidf("server %q with %d slots", srv.ID, srv.Slots)
		}
		seen[srv.ID] = true
	}
	return nil
}

// SetDataCentre takes a data centre out of service or back in.
func (a *Assigner) SetDataCentre(dc topo.DataCentreName, inService bool) {
	if inService {
		delete(a.outOfService, dc)
	} else {
		a.outOfService[dc] = true
	}
}

// SetDraining marks a server as leaving, or as back.
func (a *Assigner) SetDraining(id topo.ServerID, draining bool) {
	if draining {
		a.draining[id] = true
	} else {
		delete(a.draining, id)
	}
}

// Table returns the newest table: the adopted one while the table is rebuilt,
// then the last published.
func (a *Assigner) Table() *slicemap.Table { return a.table }

// Rebuilding reports whether the controller still collects heartbeats and
// claims.
func (a *Assigner) Rebuilding() bool { return a.rebuild.phase != rebuilt }

// Tick makes all decisions that are due and returns what changed. It must be
// called after every input and at least every 50 ms.
func (a *Assigner) Tick(now time.Time) Result {
	if !now.Before(a.authority) {
		return Result{}
	}
	a.now = now
	a.openBuilder()
	a.advanceRebuild()
	if a.rebuild.phase != collecting {
		a.lapseVMs()
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

// begin opens the builder of the next version.
func (a *Assigner) openBuilder() {
	if a.b == nil {
		a.b = slicemap.NewBuilder(a.table)
	}
}

// next returns the version that the next table will have.
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
	if a.b.Changed() || a.forcePublish {
		a.forcePublish = false
		a.table, r.Delta = a.b.Build(a.nextVersion())
		r.Table, a.b = a.table, nil
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
