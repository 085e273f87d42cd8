package node

import (
	"context"
	"sync"
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/fleet"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/leader"
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
	// planInterval is how often the leader rebalances keys, and reliefInterval how often
	// it relieves overloaded servers. A check costs the leader less than a millisecond,
	// and reports arrive more often than it is made.
	planInterval, reliefInterval = 400 * time.Millisecond, 100 * time.Millisecond
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
	// stops issuing new ones; for a large service it is one per
	// rangesPerOrderInFlight ranges. A new leader would otherwise open connections
	// for all ranges at once, and orders would time out.
	maxOrdersInFlight, rangesPerOrderInFlight = 96, 8
	// maxReleasesApart is the number of releases up to which they do not count for that:
	// a release is answered when the running work on its keys has ended, so that those of
	// a hot set would hold up the renewals and the grants to its new owners for a second.
	maxReleasesApart = 128
)

// assigner sends orders to servers to hold or release keys while this VM leads.
type assigner struct {
	node *Node
	// machines holds the ownership state machine of each keyed service. Only the
	// goroutine of Run uses it.
	machines map[topo.ServiceName]*ownership.Machine
	loads    *loads
	// unreadable holds the key of each stored table that cannot be read, and when
	// it was read last.
	unreadable map[string]time.Time
	// firstServerSeen is when the first usable server of a service without a
	// table was seen.
	firstServerSeen map[topo.ServiceName]time.Time
	// lastTableWrite is when the last write of a machine's table was started.
	lastTableWrite map[*ownership.Machine]time.Time
	// results carries functions that apply the results of background calls to
	// the goroutine of Run.
	results *ring.Ring[func()]
	// sending counts the orders that have not been answered or given up.
	sending        sync.WaitGroup
	ordersInFlight int
	term           topo.Term
	termStart      time.Time
	// observedTerm is the last term of another leader that was seen, and observedAt when
	// it was seen first.
	observedTerm topo.Term
	observedAt   time.Time
	// predecessorLives is set once the leader before this one is known to have been alive
	// after its lease.
	predecessorLives bool
	version          uint64
	publishedChanges uint64
	// lastPlan is when the keys were last rebalanced, and lastRelief when overloaded
	// servers were last looked for.
	lastPlan, lastRelief time.Time
	// refusing holds the services that refuse requests regardless of their load.
	refusing map[topo.ServiceName]bool
	termCtx  context.Context
	// interrupted is set when the rounds of a term ended without a panic, so that the
	// term can be resumed.
	interrupted bool
	// settleRequests carries the requests of Settle to Run. The result is sent
	// on the received channel.
	settleRequests chan chan bool
	settled        bool
}

func newAssigner(n *Node, l *loads) *assigner {
	return &assigner{node: n, loads: l, refusing: make(map[topo.ServiceName]bool), results: ring.New[func()](2*maxOrdersInFlight, ring.Block), settleRequests: make(chan chan bool)}
}

// Run assigns keys during each term that this VM leads, until ctx ends. Once
// Settle has taken effect, it assigns no more keys.
func (a *assigner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		term, leads := a.node.lease.Leads()
		if !leads || a.settled {
			a.observeTerm(clock.Boot())
			pause(ctx, assignInterval)
			continue
		}
		a.runTerm(ctx, term)
	}
	return ctx.Err()
}

// runTerm assigns keys until the term ends. When it returns, all orders have been answered
// or given up.
func (a *assigner) runTerm(ctx context.Context, term topo.Term) {
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		a.sending.Wait()
	}()
	start := clock.Boot()
	resumes, continues := a.interrupted && term == a.term, a.interrupted && a.continues()
	a.termCtx, a.ordersInFlight, a.interrupted = ctx, 0, false
	switch {
	case resumes:
		a.resume(start)
	case continues:
		a.continueTerm(start, term)
	case !a.beginTerm(ctx, start, term):
		return
	}
	a.runRounds(ctx)
	a.interrupted = true
}

// resume continues a term that was interrupted; see leader.Lease.SetEra.
func (a *assigner) resume(now time.Time) {
	a.node.log.Event("term_resumed").Uint64("term", uint64(a.term)).Send()
	clear(a.lastTableWrite)
	for _, m := range a.machines {
		m.Resume(now)
	}
}

// continues reports whether the present term goes on with the machines of the last one:
// no leader in between led for so long that it could have moved a key which it did not
// find without an owner.
func (a *assigner) continues() bool {
	const drift = leader.MaxDrift + ownership.MaxDrift
	moves := float64(ownership.RestoreWait(a.node.bounds().MaxHold)) * (1 - drift)
	return a.node.lease.ContinuedTerm() == a.term && float64(leader.MaxHeldInGap) < moves
}

// continueTerm begins a term in which the machines of the last one go on; see
// leader.Lease.ContinuedTerm.
func (a *assigner) continueTerm(start time.Time, term topo.Term) {
	a.node.log.Event("term_continued").Uint64("last", uint64(a.term)).Uint64("term", uint64(term)).Send()
	a.startTerm(start, term)
	era := topo.Revision(a.node.lease.Version()).Era()
	for _, m := range a.machines {
		m.Continue(a.earlierOrdersEnd(start), term, era, a.node.lease.EarlierLeaders())
	}
}

// earlierOrdersEnd returns when no earlier leader sent orders any more, if the term began
// at start.
func (a *assigner) earlierOrdersEnd(start time.Time) time.Time {
	if end := a.node.lease.EarlierOrdersEnd(); !end.IsZero() {
		return end
	}
	return start
}

// beginTerm loads the tables for a new term. It returns false if the term ends before.
func (a *assigner) beginTerm(ctx context.Context, start time.Time, term topo.Term) bool {
	a.startTerm(start, term)
	a.machines = make(map[topo.ServiceName]*ownership.Machine)
	a.loads.reset()
	for !a.adoptTables(ctx, start) {
		if !a.leads() || ctx.Err() != nil {
			return false
		}
		pause(ctx, assignInterval)
	}
	return true
}

// startTerm sets what begins anew with each term.
func (a *assigner) startTerm(start time.Time, term topo.Term) {
	a.predecessorLives = false
	a.term, a.termStart, a.version, a.publishedChanges = term, start, uint64(start.UnixNano()), 0
	a.firstServerSeen = make(map[topo.ServiceName]time.Time)
	a.lastTableWrite = make(map[*ownership.Machine]time.Time)
	p := a.node.lease.Predecessor()
	a.node.hub.BeginTerm(start, term, fleet.Predecessor{Exists: p.Exists, Expired: p.Expired, LeaseTTL: leader.TTL, Members: p.Members})
}

// runRounds assigns keys until the term ends or is interrupted.
func (a *assigner) runRounds(ctx context.Context) {
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
	return a.leads() && a.knowsAllTables()
}

// knowsAllTables reports whether the stored table of each keyed service could be read.
// The orders of earlier leaders for another one are not known.
func (a *assigner) knowsAllTables() bool {
	snap, all := a.node.view.Snapshot(), true
	if snap.Routes == nil {
		return len(a.unreadable) == 0
	}
	snap.Routes.Services(func(svc *routemap.Service) {
		_, unreadable := a.unreadable[a.tableKey(svc.Name)]
		all = all && !(svc.Keyed && unreadable)
	})
	return all
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
	a.checkPredecessor(now)
	snap.Routes.Services(func(svc *routemap.Service) {
		if svc.Keyed {
			a.updateService(now, snap, svc)
		}
	})
	switch {
	case now.Sub(a.lastPlan) >= planInterval:
		a.lastPlan, a.lastRelief = now, now
		a.rebalance(now, snap, placement.Plan)
	case now.Sub(a.lastRelief) >= reliefInterval:
		a.lastRelief = now
		a.rebalance(now, snap, placement.Relieve)
	}
	a.publish()
}

// observeTerm records when the term of another leader was seen first.
func (a *assigner) observeTerm(now time.Time) {
	if term := a.node.lease.ObservedTerm(); term != a.observedTerm {
		a.observedTerm, a.observedAt = term, now
	}
}

// predecessorGrace is how long after the begin of this term the process of the leader before
// must have been alive: its last orders have been given up by then.
const predecessorGrace = time.Second

// checkPredecessor tells the machines once the process of the leader before this one is known
// to have outlived its lease. Orders of a process that was killed may be held up by a cut. One
// that released the lease had waited for its orders, or given them up, before.
func (a *assigner) checkPredecessor(now time.Time) {
	p := a.node.lease.Predecessor()
	if a.predecessorLives || p.Term == 0 || p.Term != a.observedTerm || now.Sub(a.termStart) < predecessorGrace {
		return
	}
	if !p.Released && !a.node.hub.LivedAfter(p.Holder.VM, p.Holder.Boot, a.termStart.Add(predecessorGrace)) {
		return
	}
	a.predecessorLives = true
	a.node.log.Event("predecessor_lives").Uint64("term", uint64(a.term)).Str("predecessor", string(p.Holder.VM)).
		Dur("led_ms", now.Sub(a.observedAt)).Send()
	for _, m := range a.machines {
		m.PredecessorLives(a.observedAt)
	}
}

// updateService issues the orders and table writes that are due for one keyed
// service.
func (a *assigner) updateService(now time.Time, snap *view.Snapshot, svc *routemap.Service) {
	m := a.machines[svc.Name]
	if m == nil {
		if !a.retryTable(now, svc.Name) {
			a.startTable(now, snap, svc)
		}
		return
	}
	if len(m.Holds()) == 0 {
		a.assignAll(m, snap, svc)
	}
	a.assignFree(now, m, snap, svc)
	a.startTableWrite(now, m, len(snap.Servers))
	a.loads.withLoad(svc.Name, func(l *placement.Load) { a.vacateUnusable(m, snap, svc, l) })
	vacating := 0
	for _, h := range m.Holds() {
		if h.Phase == ownership.Vacating {
			vacating++
		}
	}
	limit := orderLimit(len(m.Holds()), vacating) - a.ordersInFlight
	if limit <= 0 {
		return
	}
	for _, o := range m.Tick(now, limit, func(o keyrange.Owner) ownership.Condition { return ownerCondition(snap, svc, o) }) {
		a.sendOrder(m, snap, o)
	}
}

// orderLimit returns how many orders may be in flight for a service with the given number
// of ranges, of which some are being released.
func orderLimit(ranges, vacating int) int {
	return max(maxOrdersInFlight, ranges/rangesPerOrderInFlight) + min(vacating, maxReleasesApart)
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
	if now.Sub(firstSeen) >= registrationWait && now.Sub(a.termStart) >= a.lostTableWait() {
		a.machines[svc.Name] = ownership.New(now, a.newTable(svc.Name), store.MustNotExist, a.node.bounds().MaxHold, true)
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
