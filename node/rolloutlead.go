package node

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/rollout"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

const (
	// rolloutKind is the kind of the objects that hold the records of roll-outs.
	rolloutKind = "rollouts"
	// rolloutCallTimeout bounds a store call for a roll-out.
	rolloutCallTimeout = time.Second
	// rolloutRetryDelay is the pause after a failed store call for a roll-out.
	rolloutRetryDelay = 300 * time.Millisecond
	// unknownServiceGrace is how long after an order the configuration with its service
	// may arrive.
	unknownServiceGrace = 2 * time.Second
	// unheardTime is how long an order may have lain in the store before a new leader
	// reads it; see docs/platform.md.
	unheardTime = 4 * time.Second
	// maxRolloutStoreAge is how old the last answer of the store may be while the share
	// of a version grows.
	maxRolloutStoreAge = 1500 * time.Millisecond
)

// rolloutOrder is an order as the store has it.
type rolloutOrder struct {
	name  string
	order rollout.Order
	// err says why the order cannot be followed.
	err  error
	seen time.Time
	// age is how old the order may have been then.
	age time.Duration
	// statusAt is when the status was written last, and writing says that a write is
	// under way.
	statusAt time.Time
	writing  bool
	// ignored says that the order came while another one of its service was under way,
	// and was not written again since.
	ignored bool
	// logged is the problem with the order that was logged last.
	logged string
}

// ledRollout is a roll-out at the leader.
type ledRollout struct {
	*rollout.Controller
	// version is the version of the record in the store.
	version  uint64
	failedAt time.Time
}

// leaderRollouts holds what a VM that reads the store or leads knows of roll-outs.
type leaderRollouts struct {
	mu sync.Mutex
	// orders holds the orders by the names of their objects.
	orders map[string]*rolloutOrder
	// listed says that the orders were read since this VM needs them.
	listed bool
	// term is the term for which led was read from the store, 0 for none.
	term topo.Term
	led  map[topo.ServiceName]*ledRollout
	// reverted holds what other VMs know to be reverted.
	reverted map[topo.ServiceName]string
	changes  uint64
}

func (l *leaderRollouts) init() {
	l.orders, l.led, l.reverted = make(map[string]*rolloutOrder), make(map[topo.ServiceName]*ledRollout), make(map[topo.ServiceName]string)
}

// rolloutWatcher returns the watcher for orders of roll-outs.
func (n *Node) rolloutWatcher(prefix string) *watcher {
	r := n.rollouts
	return &watcher{
		name: "rollouts", prefix: prefix, applyEvent: r.applyEvent,
		newListing: func() listing { return &wholeListing{applyTo: r.applyListing} },
		advance: func(topo.Revision, time.Time) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.listed = true
		},
	}
}

func (r *rollouts) applyListing(l store.Listing, now time.Time) {
	listed := make(map[string]bool, len(l.Objects))
	r.mu.Lock()
	known := r.listed
	r.mu.Unlock()
	for _, o := range l.Objects {
		listed[r.node.platform.Name(o.Key)] = true
		r.applyOrder(o, now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !known {
		// The orders may have been given while there was no leader.
		for _, o := range r.orders {
			o.age = unheardTime
		}
	}
	for name := range r.orders {
		if !listed[name] {
			r.withdrawn(name)
		}
	}
}

func (r *rollouts) applyEvent(e store.Event, now time.Time) {
	if !e.Deleted {
		r.applyOrder(e.Object, now)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawn(r.node.platform.Name(e.Key))
}

// withdrawn records that an order is no longer in the store. A roll-out that was begun
// goes on: whether its version is good or bad has to be found out in any case, and a
// store that returned to an older copy may lack the order. The caller holds r.mu.
func (r *rollouts) withdrawn(name string) {
	o := r.orders[name]
	if o == nil {
		return
	}
	delete(r.orders, name)
	led := r.led[o.order.Service]
	r.node.log.Event("rollout_withdrawn").Str("object", name).Str("target", o.order.Target).
		Bool("goes_on", led != nil && led.Record().State == rollout.Running).Send()
}

func (r *rollouts) applyOrder(o store.Object, now time.Time) {
	name := r.node.platform.Name(o.Key)
	order, err := r.node.platform.DecodeRollout(o)
	if err == nil {
		err = order.Validate(name)
	}
	r.mu.Lock()
	entry := r.orders[name]
	if entry == nil || entry.order.Target != order.Target {
		entry = &rolloutOrder{name: name, seen: now}
		r.orders[name] = entry
	}
	if led := r.led[order.Service]; entry.ignored && order.Status == (rollout.Status{}) && (led == nil || led.Record().Over()) {
		entry.ignored, entry.seen = false, now
	}
	entry.order, entry.err = order, err
	r.changes++
	r.mu.Unlock()
	if err == nil && r.enabled() {
		r.seen(order)
		r.node.hub.NotifyFollowers()
	}
}

// lead decides on all roll-outs if this VM leads.
func (r *rollouts) lead(ctx context.Context) {
	term, leads := r.node.lease.Leads()
	r.mu.Lock()
	loaded := r.term
	r.mu.Unlock()
	switch {
	case !leads:
		r.mu.Lock()
		r.term, r.listed = 0, r.listed && r.node.needsStore()
		clear(r.led)
		r.mu.Unlock()
		return
	case loaded != term && !r.load(ctx, term):
		return
	}
	now := clock.Boot()
	r.mu.Lock()
	version := r.changes
	r.begin(now)
	for _, service := range sortedServices(r.led) {
		r.decide(ctx, now, r.led[service])
	}
	for _, o := range r.orders {
		r.writeStatus(ctx, now, o)
	}
	changed := version != r.changes
	r.mu.Unlock()
	if list, ttl, known := r.Rights(rollout.Process{VM: string(r.node.settings.VM), Boot: r.boot}); known {
		until := now.Add(ttl)
		for i := range list {
			list[i].Term, list[i].Until = term, until
		}
		r.Apply(list)
	}
	if changed {
		r.node.hub.NotifyFollowers()
	}
}

// load reads the records of all roll-outs for a term.
func (r *rollouts) load(ctx context.Context, term topo.Term) bool {
	r.mu.Lock()
	listed := r.listed
	r.mu.Unlock()
	if !listed || r.node.view.Snapshot().Routes == nil {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	defer cancel()
	l, err := r.node.platform.Objects().List(callCtx, r.node.platform.InternalKey(rolloutKind, ""))
	if err != nil {
		r.node.log.Event("rollouts_unread").Err(err).Send()
		pause(ctx, rolloutRetryDelay)
		return false
	}
	now := clock.Boot()
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.led)
	for _, o := range l.Objects {
		rec, err := rollout.Decode(o.Value)
		if err != nil || r.recordKey(rec.Service) != o.Key {
			r.node.log.Event("rollout_unreadable").Str("object", o.Key).AnErr("reason", err).Send()
			continue
		}
		era := topo.Revision(o.Version).Era()
		rec = rec.Restore(r.node.bounds().Rollout, era)
		r.led[rec.Service] = &ledRollout{Controller: rollout.NewController(r.node.bounds().Rollout, rec, true, now), version: o.Version}
		r.node.log.Event("rollout_adopted").Str("service", string(rec.Service)).Str("target", rec.Target).Str("state", string(rec.State)).
			Int("step", rec.Step).Int64("reserved", rec.Reserved).Int64("requests", rec.Arrivals).Send()
	}
	// What this VM itself knows to be reverted.
	for service, right := range r.holder.Reverted() {
		r.reverted[service] = right.Target
	}
	r.term = term
	r.changes++
	return true
}

func (r *rollouts) recordKey(service topo.ServiceName) string {
	return r.node.platform.InternalKey(rolloutKind, string(service))
}

// begin begins the roll-outs that were ordered. The caller holds r.mu.
func (r *rollouts) begin(now time.Time) {
	routes := r.node.view.Snapshot().Routes
	for _, o := range r.orders {
		if o.err == nil && now.Sub(o.seen) >= unknownServiceGrace && routes.Service(o.order.Service) == nil {
			o.err = errors.Errorf("the configuration has no service %.64q", o.order.Service)
		}
		if o.err != nil || o.ignored || o.order.Over() && r.led[o.order.Service] == nil && o.order.Status.State == rollout.Complete || routes.Service(o.order.Service) == nil {
			continue
		}
		var last *rollout.Record
		version := uint64(store.MustNotExist)
		if led := r.led[o.order.Service]; led != nil {
			if last = led.Record(); last.State == rollout.Running || last.Target == o.order.Target || !led.Published() {
				continue
			}
			version = led.version
		}
		era := store.EraOf(r.node.platform.Objects())
		rec := rollout.Begin(o.order, last, time.Now().Add(-min(o.age, o.order.Duration/4)).UnixMilli(), era)
		if o.order.Over() {
			// The record was lost, but not the judgement.
			rec.State, rec.Reason = o.order.Status.State, o.order.Status.Reason
		}
		r.led[rec.Service] = &ledRollout{Controller: rollout.NewController(r.node.bounds().Rollout, rec, false, now), version: version}
		r.changes++
		r.node.metrics.Count("rollouts", "state", "ordered")
		r.node.log.Event("rollout_ordered").Str("service", string(rec.Service)).Str("target", rec.Target).
			Dur("duration_ms", rec.Duration()).Str("state", string(rec.State)).Str("reason", rec.Reason).Send()
	}
}

// decide decides on a roll-out and writes its record. The caller holds r.mu.
func (r *rollouts) decide(ctx context.Context, now time.Time, led *ledRollout) {
	rec := led.Record()
	if r.reverted[rec.Service] == rec.Target && led.Revert(now, "another VM knows that the version was reverted") {
		r.logDecision(led, rec)
	}
	led.Renew(store.EraOf(r.node.platform.Objects()))
	if led.Tick(now, time.Now().UnixMilli(), r.surroundings(now, rec)) {
		r.logDecision(led, rec)
	}
	if now.Sub(led.failedAt) < rolloutRetryDelay {
		return
	}
	if next, ok := led.Pending(now); ok {
		go r.write(ctx, led, next, led.version, r.term)
	}
}

// logDecision logs the new state of a roll-out with the evidence for it. The caller
// holds r.mu.
func (r *rollouts) logDecision(led *ledRollout, before *rollout.Record) {
	r.changes++
	rec, f := led.Record(), led.Finding()
	name := "rollout_step"
	if rec.State != before.State {
		name = "rollout_judged"
		r.node.metrics.Count("rollouts", "state", string(rec.State))
	}
	r.node.log.Event(name).Str("service", string(rec.Service)).Str("target", rec.Target).Str("state", string(rec.State)).
		Int("step", rec.Step).Str("reason", rec.Reason).Int64("elapsed_ms", rec.ElapsedMs).Int64("requests", rec.Arrivals).
		Int64("rights", rec.Reserved).Func(func(e *zerolog.Event) { logFinding(e, f) }).Send()
}

func logFinding(e *zerolog.Event, f rollout.Finding) {
	e.Float64("strength", f.Strength).Float64("limit", f.Limit).Str("test", string(f.Cause)).Bool("enough", f.Enough).
		Int("target_answers", f.TargetAnswers).Int("target_bad", f.TargetBad).Int("target_slow", f.TargetSlow).
		Int("other_answers", f.OtherAnswers).Int("other_bad", f.OtherBad).Int("other_slow", f.OtherSlow)
}

func (r *rollouts) surroundings(now time.Time, rec *rollout.Record) rollout.Surroundings {
	snap := r.node.view.Snapshot()
	s := rollout.Surroundings{StoreAnswers: now.Sub(r.node.oldestStoreResponse()) < maxRolloutStoreAge, Drained: true}
	s.Targets, s.Others = r.node.versionsOf(rec.Service, rec.Target)
	s.Settle = snap.Routes.LongestTimeout(rec.Service)
	if svc := snap.Routes.Service(rec.Service); svc == nil || !svc.Keyed {
		return s
	}
	t := snap.Tables[rec.Service]
	if t == nil {
		s.Drained = false
		return s
	}
	for _, rng := range t.Ranges {
		owner := snap.Servers[rng.Server]
		s.Drained = s.Drained && rng.State == keyrange.Owned && owner != nil && owner.Version == rec.Target
	}
	return s
}

// write stores a record, and finds out what the store has if that fails.
func (r *rollouts) write(ctx context.Context, led *ledRollout, rec *rollout.Record, version uint64, term topo.Term) {
	ctx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	defer cancel()
	key := r.recordKey(rec.Service)
	data, err := rec.Encode()
	var o store.Object
	if err == nil {
		o, err = r.node.platform.Objects().Put(ctx, key, data, version, uuid.NewString())
	}
	var found *rollout.Record
	known := err == nil
	if err != nil {
		var readErr error
		o, readErr = r.node.platform.Objects().Get(ctx, key)
		switch {
		case errors.Is(readErr, store.ErrNotFound):
			o, known = store.Object{Version: store.MustNotExist}, true
		case readErr == nil:
			known = true
			if found, readErr = rollout.Decode(o.Value); readErr == nil && bytes.Equal(encoded(found), data) {
				err = nil // The response to the write was lost.
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.term != term || r.led[rec.Service] != led {
		return
	}
	if known {
		led.version = o.Version
	}
	if err == nil {
		led.Stored()
		r.changes++
		return
	}
	led.failedAt = clock.Boot()
	r.node.log.Event("rollout_unwritten").Str("service", string(rec.Service)).Str("state", string(rec.State)).Err(err).Send()
	if found != nil && found.Number > rec.Number {
		// Another leader has gone on.
		r.term = 0
		return
	}
	led.StoreFailed(found)
}

func encoded(rec *rollout.Record) []byte {
	data, err := rec.Encode()
	if err != nil {
		return nil
	}
	return data
}

// writeStatus writes the status of an order if it is not the present one. The caller
// holds r.mu.
func (r *rollouts) writeStatus(ctx context.Context, now time.Time, o *rolloutOrder) {
	want, ok := r.statusOf(o)
	if !ok || o.writing || o.order.Status == want || now.Sub(o.statusAt) < rolloutRetryDelay {
		return
	}
	o.writing, o.statusAt = true, now
	if o.err != nil && o.logged != want.Reason {
		o.logged = want.Reason
		r.node.metrics.Count("rollouts", "state", "refused")
		r.node.log.Event("rollout_refused").Str("object", o.name).Str("target", o.order.Target).Str("reason", want.Reason).Send()
	}
	key := r.node.platform.Prefixes().Rollouts + o.name
	go func() {
		ctx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
		defer cancel()
		err := r.node.platform.WriteRolloutStatus(ctx, key, want)
		r.mu.Lock()
		defer r.mu.Unlock()
		o.writing = false
		if err != nil {
			r.node.log.Event("rollout_status_unwritten").Str("object", o.name).Str("state", string(want.State)).Err(err).Send()
			return
		}
		o.order.Status = want
	}()
}

// statusOf returns the status that an order should have. It returns false if there is
// none yet. The caller holds r.mu.
func (r *rollouts) statusOf(o *rolloutOrder) (rollout.Status, bool) {
	led := r.led[o.order.Service]
	refused := o.err != nil
	if refused && (led == nil || string(o.order.Service) != o.name || led.Record().Over() && !o.ignored && led.Record().Target != o.order.Target) {
		return rollout.Status{State: rollout.Reverted, Target: o.order.Target, Reason: "refused: " + o.err.Error()}, true
	}
	if led == nil {
		return rollout.Status{}, false
	}
	rec := led.Record()
	s := rollout.Status{State: rec.State, Target: rec.Target, Reason: rec.Reason}
	switch {
	case rec.Over() && !o.ignored && o.order.Target != rec.Target:
		return rollout.Status{}, false // It begins next.
	case rec.Over(), o.order.Target == rec.Target && !refused:
		return s, led.Published()
	}
	o.ignored = o.order.Target != rec.Target
	s.Reason = "the order was changed during its roll-out, which goes on as it was ordered"
	if o.logged != s.Reason {
		o.logged = s.Reason
		r.node.log.Event("rollout_order_changed").Str("object", o.name).Str("target", o.order.Target).Str("running", rec.Target).AnErr("problem", o.err).Send()
	}
	return s, led.Published()
}

// running returns the number of roll-outs that run under this VM as the leader.
func (r *rollouts) running() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, led := range r.led {
		if led.Record().State == rollout.Running {
			n++
		}
	}
	return n
}

// Report implements fleet.Rollouts.
func (r *rollouts) Report(vm topo.VMID, term topo.Term, uses []*fleetpb.RolloutUse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.term != term {
		return
	}
	now := clock.Boot()
	for _, u := range uses {
		led := r.led[topo.ServiceName(u.GetService())]
		if led == nil {
			continue
		}
		use := rollout.Use{Right: rollout.Right{Target: u.GetTarget(), Number: u.GetNumber()}, Arrivals: max(0, u.GetArrivals())}
		if topo.Term(u.GetTerm()) == term {
			use.Used = u.GetUsed()
		}
		cells := make([]rollout.Cell, 0, len(u.GetCells()))
		for _, c := range u.GetCells() {
			cells = append(cells, decodeRolloutCell(c))
		}
		led.Controller.Report(now, rollout.Process{VM: string(vm), Boot: u.GetBoot()}, use, cells)
	}
}

// Learn implements fleet.Rollouts.
func (r *rollouts) Learn(list []*fleetpb.RolloutRight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range list {
		if len(r.reverted) < maxTracked {
			r.reverted[topo.ServiceName(m.GetService())] = m.GetTarget()
		}
	}
}

// Version implements fleet.Rollouts.
func (r *rollouts) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changes
}

// Rights implements fleet.Rollouts.
func (r *rollouts) Rights(p rollout.Process) ([]rollout.Right, time.Duration, bool) {
	term, leads := r.node.lease.Leads()
	now := clock.Boot()
	ttl := min(r.node.bounds().Rollout.RightTTL(), r.node.lease.UsableUntil().Sub(now))
	r.mu.Lock()
	defer r.mu.Unlock()
	if !leads || r.term != term || !r.enabled() {
		return nil, 0, !r.enabled()
	}
	var out []rollout.Right
	for _, service := range sortedServices(r.led) {
		if right, ok := r.led[service].Right(now, p); ok {
			out = append(out, right)
		}
	}
	for _, o := range r.orders {
		// An order that is not begun yet.
		if led := r.led[o.order.Service]; o.err == nil && !o.order.Over() && led == nil {
			out = append(out, rollout.Right{Service: o.order.Service, Target: o.order.Target, State: rollout.Running, Mode: rollout.Hold})
		}
	}
	return out, max(0, ttl), true
}
