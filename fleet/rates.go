package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/membership"
	"godwitlock.example/godwitlock/peer"
	"godwitlock.example/godwitlock/quota"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

const (
	// takeTimeout bounds a Take call to a home VM.
	takeTimeout = 150 * time.Millisecond
	// takeRetryPause is the pause before a request tries once more to take a token:
	// the time in which a new list of members reaches all VMs. It doubles with each
	// attempt, of which there are maxTakeAttempts.
	takeRetryPause  = 60 * time.Millisecond
	maxTakeAttempts = 4
)

// Rates enforces the rate limits of customers. For customers whose home is this
// VM it holds the token buckets; for others it takes tokens from their home VMs.
// It implements forward.RateLimiter and is safe for concurrent use.
type Rates struct {
	self  topo.VMID
	view  *view.View
	peers *peer.Pool

	log *declog.Log
	// Leads, unless nil, returns this VM's term, the end of its lease and the newest
	// settled list of members while it leads. It must be set before the first Update.
	Leads func() (term topo.Term, until time.Time, settled topo.ListVersion, leads bool)

	mu       sync.Mutex
	home     *quota.Home
	standing *membership.Standing
	// vms are the VMs on the list under which this VM acts, and recent those on the lists
	// that it has had since the last one that it knew as settled.
	vms, recent []topo.VMID
	// updated is set once members are known.
	updated bool
	// basis is the basis that was logged last.
	basis membership.Basis
}

// NewRates returns the Rates of the VM self, which is the home of no customer
// before the first Update. It logs to log, unless that is nil, from when to when the VM
// is home of a customer, with which tokens, and on which basis it grants them.
func NewRates(self topo.VMID, v *view.View, peers *peer.Pool, log *declog.Log) *Rates {
	return &Rates{self: self, view: v, peers: peers, log: log, home: quota.NewHome(), standing: membership.NewStanding(self)}
}

// customerHomeKey returns the key by which a customer's home VM is chosen.
func customerHomeKey(id topo.CustomerID) string { return "customer/" + string(id) }

// Update applies the customers and members of a snapshot. limitOf returns the
// rate limit of a customer. homelessSince is the time since which no other VM can have
// been home of this VM's first customers; zero if that is not known. Update does
// nothing while the configuration or the members are not known.
func (r *Rates) Update(s *view.Snapshot, homelessSince time.Time, limitOf func(*routemap.Customer) quota.Limit) {
	if s.Routes == nil || len(s.Members) == 0 {
		return
	}
	limits := make(map[topo.CustomerID]quota.Limit)
	s.Routes.Customers(func(c *routemap.Customer) {
		homes := s.Homes(customerHomeKey(c.ID), "")
		if c.Rate > 0 && len(homes) > 0 && homes[0].VM == r.self {
			limits[c.ID] = limitOf(c)
		}
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.standing.List().Newer(s.MembersVersion) {
		return
	}
	now := clock.Boot()
	r.refreshLeadership(now)
	if s.MembersVersion != r.standing.List() {
		r.setList(now, s)
	}
	since := time.Time{}
	if !r.updated {
		since = homelessSince
	}
	r.updated = true
	r.logHomes("home_end", r.home.SetCustomers(now, since, limits))
	r.activate(now)
}

// setList puts a new list of members in force. The caller holds r.mu.
func (r *Rates) setList(now time.Time, s *view.Snapshot) {
	if r.standing.Settled() {
		r.recent = r.vms
	}
	r.vms = vmsOf(s.Members)
	if !r.standing.SetList(now, s.MembersVersion, view.Witnesses(s.Members, membership.MaxWitnesses)) {
		r.recent = nil
		r.logHomes("home_end", r.home.Clear(now))
	}
	r.recent = slices.Compact(slices.Sorted(slices.Values(slices.Concat(r.recent, r.vms))))
}

// activate begins to serve the customers that had another home before, once that can
// act no more. The caller holds r.mu.
func (r *Rates) activate(now time.Time) {
	if r.home.Pending() > 0 && r.standing.Settled() {
		r.logHomes("home_begin", r.home.Activate(now))
	}
}

// refreshLeadership records whether this VM leads. The caller holds r.mu.
func (r *Rates) refreshLeadership(now time.Time) {
	if r.Leads != nil {
		if term, until, settled, leads := r.Leads(); leads {
			r.standing.Leads(now, until, term, settled)
			return
		}
	}
	r.standing.LeadsNot(now)
}

// logHomes logs the customers whose home this VM becomes or is no longer. The caller
// holds r.mu.
func (r *Rates) logHomes(event string, list []quota.Tokens) {
	if r.log == nil {
		return
	}
	for _, t := range list {
		r.logList(r.log.Event(event)).Str("customer", string(t.Customer)).Float64("rate", t.Limit.Rate).Float64("burst", t.Limit.Burst).
			Float64("tokens", t.Tokens).Str("basis", r.standing.Basis(clock.Boot()).String()).Send()
	}
}

// logList adds the list of members under which this VM acts. The caller holds r.mu.
func (r *Rates) logList(e *zerolog.Event) *zerolog.Event {
	list := r.standing.List()
	return e.Uint64("list_term", uint64(list.Term)).Uint64("list_number", list.Number)
}

// LogBasis logs a change of the basis on which this VM grants tokens.
func (r *Rates) LogBasis() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Boot()
	r.refreshLeadership(now)
	basis := r.standing.Basis(now)
	if basis == r.basis {
		return
	}
	if r.log != nil {
		r.logList(r.log.Event("home_basis")).Str("basis", basis.String()).Str("before", r.basis.String()).
			Int("customers", r.home.Len()).Int("pending", r.home.Pending()).Send()
	}
	r.basis = basis
}

// Contacted records a response of the leader.
func (r *Rates) Contacted(c membership.Contact) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Boot()
	r.standing.Contacted(now, c)
	r.activate(now)
}

// Customers returns the number of customers whose home is this VM by its list, and the
// number of those that another VM may still serve.
func (r *Rates) Customers() (home, pending int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.home.Len(), r.home.Pending()
}

// Acting tells under which list of members this VM acts.
func (r *Rates) Acting() Acting {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Boot()
	a := Acting{
		List: r.standing.List(), AttestedFor: r.standing.AttestedFor(now),
		AwaitsSettled: r.home.Pending() > 0 && !r.standing.Settled(),
	}
	switch {
	case r.standing.Settled() && r.standing.Complete(now):
		a.VMs = r.vms
	case r.standing.Complete(now):
		a.VMs = r.recent
	}
	return a
}

// take takes a token of a customer whose home is this VM.
func (r *Rates) take(id topo.CustomerID) quota.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Boot()
	r.refreshLeadership(now)
	if r.standing.Basis(now) == membership.NoBasis {
		return quota.NotHome
	}
	r.activate(now)
	return r.home.Take(now, id)
}

// Take implements forward.RateLimiter. While the members change, two VMs may briefly
// disagree on a customer's home, and a VM that has just started knows none; the
// request then waits, until the given time at the latest.
func (r *Rates) Take(ctx context.Context, id topo.CustomerID, until time.Time) errkind.Kind {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	if !r.awaitMembers(ctx) {
		return errkind.NotHome
	}
	pause := takeRetryPause
	for attempt := 1; ; attempt++ {
		switch r.takeOnce(ctx, id) {
		case quota.Granted:
			return errkind.Unset
		case quota.Exhausted:
			return errkind.RateExceeded
		}
		if attempt == maxTakeAttempts || ctx.Err() != nil {
			return errkind.NotHome
		}
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		pause *= 2
	}
}

// awaitMembers waits until the members are known, and returns false if ctx ends first.
func (r *Rates) awaitMembers(ctx context.Context) bool {
	for {
		changed := r.view.Changed()
		if len(r.view.Snapshot().Members) > 0 {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (r *Rates) takeOnce(ctx context.Context, id topo.CustomerID) quota.Verdict {
	homes := r.view.Snapshot().Homes(customerHomeKey(id), "")
	if len(homes) == 0 {
		return quota.NotHome
	}
	if homes[0].VM == r.self {
		return r.take(id)
	}
	v, err := r.sendTake(ctx, homes[0].Addr, &fleetpb.TakeRequest{Vm: string(r.self), Customer: string(id)})
	if err != nil {
		return quota.NotHome
	}
	return v
}

func (r *Rates) sendTake(ctx context.Context, addr string, req *fleetpb.TakeRequest) (quota.Verdict, error) {
	conn, err := r.peers.Conn(addr)
	if err != nil {
		return quota.NotHome, err
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	resp, err := fleetpb.NewFleetClient(conn).Take(ctx, req)
	if err != nil {
		return quota.NotHome, err
	}
	return quota.Verdict(resp.GetVerdict()), nil
}

// Return implements forward.RateLimiter. It does not wait for the home VM.
func (r *Rates) Return(id topo.CustomerID, age time.Duration) {
	homes := r.view.Snapshot().Homes(customerHomeKey(id), "")
	if len(homes) == 0 {
		return
	}
	if homes[0].VM == r.self {
		r.returnToken(id, age)
		return
	}
	go func() {
		// A token that cannot be returned stays spent.
		_, _ = r.sendTake(context.Background(), homes[0].Addr,
			&fleetpb.TakeRequest{Vm: string(r.self), Customer: string(id), GiveBack: true, AgeMs: age.Milliseconds()})
	}()
}

func (r *Rates) returnToken(id topo.CustomerID, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Boot()
	r.home.Return(now, now.Add(-age), id)
}
