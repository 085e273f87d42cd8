package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/fleet"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/ownership"
	"godwitlock.example/godwitlock/placement"
	"godwitlock.example/godwitlock/ring"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

const (
	// assignInterval is how often the leader checks whether orders are due.
	assignInterval = 100 * time.Millisecond
	// minRoundInterval is the shortest interval between two rounds over all
	// keys. Each response to an order starts a round, because it may allow the
	// next order, and servers respond to hundreds of orders per second.
	minRoundInterval = 15 * time.Millisecond
	// planInterval is how often the leader rebalances keys.
	planInterval = 400 * time.Millisecond
	// registrationWait is how long the leader waits for more servers to register
	// before it assigns the keys of a new service.
	registrationWait = 1500 * time.Millisecond
	// tableCallTimeout bounds a store call for a table.
	tableCallTimeout = time.Second
	// minTableWriteInterval is the shortest interval between two writes of a
	// table. tableWriteIntervalPerServer is added for each server, because in a
	// large service some keys are always moving. Requests for keys whose change
	// is not yet written wait until it is.
	minTableWriteInterval       = 60 * time.Millisecond
	tableWriteIntervalPerServer = 200 * time.Microsecond
	// settleTimeout bounds how long a stopping leader waits for its orders in
	// flight.
	settleTimeout = 800 * time.Millisecond
	// maxOrdersInFlight is the number of orders in flight at which the leader
	// stops issuing new ones.
	maxOrdersInFlight = 96
)

// assigner sends orders to servers to hold or release keys while this VM leads.
type assigner struct {
	node *Node
	// machines holds the ownership state machine of each keyed service. Only the
	// goroutine of Run uses it.
	machines map[topo.ServiceName]*ownership.Machine
	loads    *loads
	// firstServerSeen is when the first usable server of a service without a
	// table was seen.
	firstServerSeen map[topo.ServiceName]time.Time
	// lastTableWrite is when the last write of a machine's table was started.
	lastTableWrite map[*ownership.Machine]time.Time
	// results carries functions that apply the results of background calls to
	// the goroutine of Run.
	results          *ring.Ring[func()]
	ordersInFlight   int
	term             topo.Term
	version          uint64
	publishedChanges uint64
	lastPlan         time.Time
	termCtx          context.Context
	// settleRequests carries the requests of Settle to Run. The result is sent
	// on the received channel.
	settleRequests chan chan bool
	settled        bool
}

func newAssigner(n *Node, l *loads) *assigner {
	return &assigner{node: n, loads: l, results: ring.New[func()](2*maxOrdersInFlight, ring.Block), settleRequests: make(chan chan bool)}
}

// Run assigns keys during each term that this VM leads, until ctx ends. Once
// Settle has taken effect, it assigns no more keys.
func (a *assigner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		term, leads := a.node.lease.Leads()
		if !leads || a.settled {
			pause(ctx, assignInterval)
			continue
		}
		a.runTerm(ctx, term)
	}
	return ctx.Err()
}

// runTerm assigns keys until the term ends.
func (a *assigner) runTerm(ctx context.Context, term topo.Term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := clock.Boot()
	a.term, a.version, a.publishedChanges, a.ordersInFlight, a.termCtx = term, uint64(start.UnixNano()), 0, 0, ctx
	a.machines = make(map[topo.ServiceName]*ownership.Machine)
	a.firstServerSeen = make(map[topo.ServiceName]time.Time)
	a.lastTableWrite = make(map[*ownership.Machine]time.Time)
	a.loads.reset()
	a.node.hub.BeginTerm(start)
	for !a.adoptTables(ctx, start) {
		if !a.leads() || ctx.Err() != nil {
			return
		}
		pause(ctx, assignInterval)
	}
	t := time.NewTimer(0)
	defer t.Stop()
	for a.leads() && ctx.Err() == nil {
		select {
		case done := <-a.settleRequests:
			// No further order may be sent, although the lease is still valid.
			a.settled = true
			done <- a.settle()
			return
		default:
		}
		began := clock.Boot()
		a.runRound()
		t.Reset(assignInterval)
		select {
		case <-t.C:
		case f := <-a.results.C():
			f()
			pause(ctx, minRoundInterval-clock.Boot().Sub(began))
		case <-ctx.Done():
		}
		a.drainResults()
	}
}

// Settle stops the assigner permanently before the lease is released. It reports
// whether no order can still take effect. If the assigner does not respond within
// settleTimeout, it returns false.
func (a *assigner) Settle(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	done := make(chan bool, 1)
	select {
	case a.settleRequests <- done:
	case <-ctx.Done():
		return false
	}
	return <-done
}

// settle waits for the orders in flight, and reports whether no order can still
// take effect.
func (a *assigner) settle() bool {
	t := time.NewTimer(settleTimeout)
	defer t.Stop()
	for a.ordersInFlight > 0 {
		select {
		case f := <-a.results.C():
			f()
		case <-t.C:
			return false
		}
	}
	now := clock.Boot()
	for _, m := range a.machines {
		if !m.Settled(now) {
			return false
		}
	}
	return a.leads()
}

func (a *assigner) drainResults() {
	for {
		select {
		case f := <-a.results.C():
			f()
		default:
			return
		}
	}
}

// leads reports whether this VM still leads the current term.
func (a *assigner) leads() bool {
	term, leads := a.node.lease.Leads()
	return leads && term == a.term
}

// adoptTables loads the stored tables. Each table is written again under the new
// term, so that a delayed write of an earlier leader fails.
func (a *assigner) adoptTables(ctx context.Context, start time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	l, err := a.node.platform.Objects().List(ctx, a.node.platform.InternalKey("tables", ""))
	if err != nil {
		a.node.log.Event("tables_unread").Err(err).Send()
		return false
	}
	settled := a.node.lease.HandedOver()
	for _, o := range l.Objects {
		t, err := keyrange.Decode(o.Value)
		if err != nil {
			a.node.log.Event("table_unreadable").Str("object", o.Key).Err(err).Send()
			return false
		}
		if a.machines[t.Service] != nil {
			continue
		}
		t.Term = a.term
		version, err := a.putTable(ctx, t, o.Version)
		if err != nil {
			a.node.log.Event("table_unwritten").Str("service", string(t.Service)).Err(err).Send()
			return false
		}
		a.machines[t.Service] = ownership.New(start, t, version, a.node.bounds().MaxHold, settled)
		a.node.log.Event("table_adopted").Str("service", string(t.Service)).Int("ranges", len(t.Ranges)).
			Bool("settled", settled).Send()
	}
	return true
}

func (a *assigner) putTable(ctx context.Context, t *keyrange.Table, version uint64) (uint64, error) {
	data, err := t.Encode()
	if err != nil {
		return 0, err
	}
	key := a.node.platform.InternalKey("tables", string(t.Service))
	o, err := a.node.platform.Objects().Put(ctx, key, data, version, uuid.NewString())
	return o.Version, err
}

// runRound expires old state and issues the orders that are due.
func (a *assigner) runRound() {
	now := clock.Boot()
	a.node.hub.Expire(now)
	known := false
	a.node.view.Directory(func(d *directory.Directory) {
		d.Expire(now)
		known = d.Rev() > 0
	})
	snap := a.node.view.Snapshot()
	if snap.Routes == nil || !known {
		// Until the servers have been read, every owner would be treated as gone.
		return
	}
	snap.Routes.Services(func(svc *routemap.Service) {
		if svc.Keyed {
			a.updateService(now, snap, svc)
		}
	})
	if now.Sub(a.lastPlan) >= planInterval {
		a.lastPlan = now
		a.rebalance(now, snap)
	}
	a.publish()
}

// updateService issues the orders and table writes that are due for one keyed
// service.
func (a *assigner) updateService(now time.Time, snap *view.Snapshot, svc *routemap.Service) {
	m := a.machines[svc.Name]
	if m == nil {
		a.startTable(now, snap, svc)
		return
	}
	if len(m.Holds()) == 0 {
		a.assignAll(m, snap, svc)
	}
	a.assignFree(now, m, snap, svc)
	a.startTableWrite(now, m, len(snap.Servers))
	a.loads.withLoad(svc.Name, func(l *placement.Load) { a.vacateUnusable(m, snap, svc, l) })
	if a.ordersInFlight >= maxOrdersInFlight {
		return
	}
	for _, o := range m.Tick(now, func(o keyrange.Owner) ownership.Condition { return ownerCondition(snap, svc, o) }) {
		a.sendOrder(m, snap, o)
	}
}

// ownerCondition derives the condition of an owner from the directory.
func ownerCondition(snap *view.Snapshot, svc *routemap.Service, o keyrange.Owner) ownership.Condition {
	s := snap.Servers[o.Server]
	switch {
	case s != nil && s.StartedAtMs != o.StartedAtMs:
		return ownership.Replaced
	case s == nil || s.Service != svc.Name || snap.Unusable[o.Server]:
		return ownership.Unusable
	}
	return ownership.Usable
}

// startTable creates the table of a new service registrationWait after its first
// usable server was seen, so that its other servers can register.
func (a *assigner) startTable(now time.Time, snap *view.Snapshot, svc *routemap.Service) {
	if len(snap.ServersOf(svc.Name)) == 0 {
		return
	}
	firstSeen, seen := a.firstServerSeen[svc.Name]
	if !seen {
		a.firstServerSeen[svc.Name] = now
		return
	}
	if now.Sub(firstSeen) >= registrationWait {
		t := &keyrange.Table{Service: svc.Name, Term: a.term, NextFence: 1}
		a.machines[svc.Name] = ownership.New(now, t, store.MustNotExist, a.node.bounds().MaxHold, true)
	}
}

// assignAll divides all keys among the usable servers.
func (a *assigner) assignAll(m *ownership.Machine, snap *view.Snapshot, svc *routemap.Service) {
	servers := placementServers(snap, svc, clock.Boot())
	if len(servers) == 0 {
		return
	}
	var ranges []keyrange.Range
	for _, p := range placement.Initial(servers) {
		ranges = append(ranges, keyrange.Range{First: p.First, Last: p.Last, Owner: ownerOf(snap, p.Owner)})
	}
	m.AssignInitial(ranges)
}

func ownerOf(snap *view.Snapshot, id topo.ServerID) keyrange.Owner {
	return keyrange.Owner{Server: id, StartedAtMs: snap.Servers[id].StartedAtMs}
}

// placementServers returns the usable servers of a service.
func placementServers(snap *view.Snapshot, svc *routemap.Service, now time.Time) []placement.Server {
	var out []placement.Server
	for _, s := range snap.ServersOf(svc.Name) {
		p := placement.Server{ID: s.ID, Slots: s.Slots}
		if s.Cold(now) {
			p.ColdRate = svc.ColdRate
		}
		out = append(out, p)
	}
	return out
}

// placementRanges converts a machine's holds to the input of the placement.
func placementRanges(now time.Time, m *ownership.Machine) []placement.Range {
	out := make([]placement.Range, 0, len(m.Holds()))
	for _, h := range m.Holds() {
		p := placement.Range{First: h.First, Last: h.Last, Owner: h.Server, Fixed: !h.Movable(now)}
		if h.Phase != ownership.Held {
			p.Owner, p.Moving = h.Target, true
		}
		out = append(out, p)
	}
	return out
}

// assignFree assigns keys without an owner to servers.
func (a *assigner) assignFree(now time.Time, m *ownership.Machine, snap *view.Snapshot, svc *routemap.Service) {
	var free []*ownership.Hold
	var untargeted []placement.Range
	for _, h := range m.Holds() {
		if h.Phase != ownership.Free {
			continue
		}
		free = append(free, h)
		if h.Target == "" || snap.Usable(h.Target) == nil {
			h.Target = ""
			untargeted = append(untargeted, placement.Range{First: h.First, Last: h.Last})
		}
	}
	if len(free) == 0 {
		return
	}
	var targets []topo.ServerID
	if len(untargeted) > 0 {
		servers := placementServers(snap, svc, now)
		a.loads.withLoad(svc.Name, func(l *placement.Load) {
			targets = placement.Targets(l, servers, placementRanges(now, m), untargeted)
		})
		if targets == nil {
			return
		}
	}
	for _, h := range free {
		if h.Target == "" {
			h.Target, targets = targets[0], targets[1:]
		}
		a.assign(m, snap, svc, h)
	}
}

// assign assigns the keys of a free hold to the hold's target.
func (a *assigner) assign(m *ownership.Machine, snap *view.Snapshot, svc *routemap.Service, h *ownership.Hold) {
	if !m.Assign(h, ownerOf(snap, h.Target)) {
		return
	}
	a.node.log.Event("keys_assigned").Str("service", string(svc.Name)).Uint16("first", h.First).
		Uint16("last", h.Last).Str("from", string(h.Server)).Str("to", string(h.Target)).Send()
}

// startTableWrite writes the pending table of a machine in the background. Changes
// within the write interval are combined into one write, because calls to the
// store are expensive.
func (a *assigner) startTableWrite(now time.Time, m *ownership.Machine, servers int) {
	if now.Sub(a.lastTableWrite[m]) < minTableWriteInterval+time.Duration(servers)*tableWriteIntervalPerServer {
		return
	}
	t, version, ok := m.Pending()
	if !ok {
		return
	}
	a.lastTableWrite[m] = now
	ctx := a.termCtx
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, tableCallTimeout)
		defer cancel()
		stored, err := a.putTable(callCtx, t, version)
		if err != nil && !errors.Is(err, store.ErrThrottled) {
			stored, err = a.confirmStored(ctx, t, err)
		}
		a.results.Put(ctx, func() {
			if err != nil {
				a.node.log.Event("table_unwritten").Str("service", string(t.Service)).Err(err).Send()
				m.StoreFailed()
				return
			}
			m.Stored(stored)
		})
	}()
}

// confirmStored reads a table whose write failed, to find out whether it was
// stored nevertheless. If not, it returns cause.
func (a *assigner) confirmStored(ctx context.Context, t *keyrange.Table, cause error) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	o, err := a.node.platform.Objects().Get(ctx, a.node.platform.InternalKey("tables", string(t.Service)))
	if err != nil {
		return 0, cause
	}
	got, err := keyrange.Decode(o.Value)
	if err != nil || got.Term != t.Term || got.NextFence != t.NextFence {
		return 0, cause
	}
	return o.Version, nil
}

// sendOrder sends an order to its server in the background. The lease is checked
// immediately before.
func (a *assigner) sendOrder(m *ownership.Machine, snap *view.Snapshot, o ownership.Order) {
	addr := a.serverAddress(snap, o.Owner)
	a.ordersInFlight++
	ctx := a.termCtx
	go func() {
		outcome, handover := ownership.NotSent, ""
		var err error
		if addr != "" && a.leads() {
			outcome, handover, err = a.node.platform.SendOrder(ctx, addr, o)
		}
		a.results.Put(ctx, func() {
			if a.termCtx != ctx {
				return
			}
			a.ordersInFlight--
			a.logOrder(o, outcome, err)
			m.Result(clock.Boot(), o, outcome, handover)
		})
	}()
}

// serverAddress returns the address of an owner, even after its directory entry
// was removed, or "" if it is unknown.
func (a *assigner) serverAddress(snap *view.Snapshot, o keyrange.Owner) string {
	if s := snap.Servers[o.Server]; s != nil && s.StartedAtMs == o.StartedAtMs {
		a.node.addresses.put(o, s.Addr)
		return s.Addr
	}
	return a.node.addresses.get(o)
}

func (a *assigner) logOrder(o ownership.Order, outcome ownership.Outcome, err error) {
	if outcome == ownership.Done && o.Kind == ownership.Grant {
		return
	}
	a.node.log.Event("order").Uint8("kind", uint8(o.Kind)).Str("server", string(o.Owner.Server)).
		Uint16("first", o.First).Uint16("last", o.Last).Int64("fence", o.Fence).
		Uint8("outcome", uint8(outcome)).AnErr("error", err).Send()
}

// rebalance moves keys to balance the load of the servers.
func (a *assigner) rebalance(now time.Time, snap *view.Snapshot) {
	snap.Routes.Services(func(svc *routemap.Service) {
		m := a.machines[svc.Name]
		if m == nil || len(m.Holds()) == 0 {
			return
		}
		servers := placementServers(snap, svc, now)
		if len(servers) == 0 {
			return
		}
		a.loads.withLoad(svc.Name, func(l *placement.Load) {
			l.Decay(now)
			for _, mv := range placement.Plan(l, servers, placementRanges(now, m)) {
				a.node.log.Event("keys_moving").Str("service", string(svc.Name)).Uint16("first", mv.First).
					Uint16("last", mv.Last).Str("to", string(mv.Target)).Float64("load", l.RangeLoad(mv.First, mv.Last)).Send()
				m.Vacate(mv.First, mv.Last, mv.Target)
			}
		})
	})
}

// vacateUnusable vacates the keys of unusable servers in several parts, so that
// no single server receives all of them.
func (a *assigner) vacateUnusable(m *ownership.Machine, snap *view.Snapshot, svc *routemap.Service, l *placement.Load) {
	for _, h := range slices.Clone(m.Holds()) {
		if h.Phase == ownership.Held && ownerCondition(snap, svc, h.Owner) == ownership.Unusable {
			for _, p := range placement.Divide(l, h.First, h.Last) {
				m.Vacate(p.First, p.Last, "")
			}
		}
	}
}

// publish sends the tables to all VMs if any of them changed.
func (a *assigner) publish() {
	changes := uint64(0)
	for _, m := range a.machines {
		changes += m.Revision()
	}
	if changes == a.publishedChanges {
		return
	}
	a.publishedChanges = changes
	a.version++
	tables := make(map[topo.ServiceName]*keyrange.Table)
	for name, m := range a.machines {
		tables[name] = m.RoutingTable()
	}
	a.node.hub.Publish(view.TableVersion{Term: a.term, Version: a.version}, tables)
}

// loads holds the load of each keyed service. It implements fleet.Loads and is
// safe for concurrent use.
type loads struct {
	mu        sync.Mutex
	byService map[topo.ServiceName]*placement.Load
	view      *view.View
}

var _ fleet.Loads = (*loads)(nil)

func newLoads(v *view.View) *loads {
	return &loads{byService: make(map[topo.ServiceName]*placement.Load), view: v}
}

func (l *loads) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.byService)
}

// withLoad calls f with the load of a service while it holds l.mu.
func (l *loads) withLoad(name topo.ServiceName, f func(*placement.Load)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.load(name))
}

func (l *loads) load(name topo.ServiceName) *placement.Load {
	svcLoad := l.byService[name]
	if svcLoad == nil {
		svcLoad = placement.NewLoad()
		l.byService[name] = svcLoad
	}
	return svcLoad
}

// Count implements fleet.Loads.
func (l *loads) Count(service topo.ServiceName, key keyrange.Key, n float64) {
	l.withLoad(service, func(svcLoad *placement.Load) { svcLoad.Count(key, n) })
}

// Answered implements fleet.Loads.
func (l *loads) Answered(id topo.ServerID, n int, mean time.Duration) {
	if s := l.view.Snapshot().Servers[id]; s != nil {
		l.withLoad(s.Service, func(svcLoad *placement.Load) { svcLoad.RecordResponses(id, n, mean) })
	}
}

// addressCache holds the addresses of owners. A server that restarted is a
// different owner.
type addressCache struct {
	mu      sync.Mutex
	byOwner map[keyrange.Owner]string
}

// maxAddresses bounds the cache. A full cache is cleared; orders to owners whose
// address is then unknown are not sent, and their holds are left to expire.
const maxAddresses = 4096

func (c *addressCache) put(o keyrange.Owner, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byOwner == nil || len(c.byOwner) >= maxAddresses {
		c.byOwner = make(map[keyrange.Owner]string)
	}
	c.byOwner[o] = addr
}

func (c *addressCache) get(o keyrange.Owner) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byOwner[o]
}
