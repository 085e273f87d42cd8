package fleet

import (
	"context"
	"sync"
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/peer"
	"godwitlock.example/godwitlock/quota"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

const (
	// takeTimeout bounds a Take call to a home VM.
	takeTimeout = 150 * time.Millisecond
	// maxTakeAttempts is how often a request tries to take a token, and
	// takeRetryPause the pause between two attempts: the time in which a new
	// list of members reaches all VMs.
	maxTakeAttempts = 3
	takeRetryPause  = 60 * time.Millisecond
)

// Rates enforces the rate limits of customers. For customers whose home is this
// VM it holds the token buckets; for others it takes tokens from their home VMs.
// It implements forward.Rates and is safe for concurrent use.
type Rates struct {
	self  topo.VMID
	view  *view.View
	peers *peer.Pool

	mu   sync.Mutex
	home *quota.Home
}

// NewRates returns the Rates of the VM self, which is the home of no customer
// before the first Update.
func NewRates(self topo.VMID, v *view.View, peers *peer.Pool) *Rates {
	return &Rates{self: self, view: v, peers: peers, home: quota.NewHome()}
}

// customerHomeKey returns the key by which a customer's home VM is chosen.
func customerHomeKey(id topo.CustomerID) string { return "customer/" + string(id) }

// Update applies the customers and members of a snapshot. limitOf returns the
// rate limit of a customer. Update does nothing while no configuration is known.
func (r *Rates) Update(s *view.Snapshot, limitOf func(*routemap.Customer) quota.Limit) {
	if s.Routes == nil {
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
	r.home.SetCustomers(clock.Boot(), limits, len(s.Members))
}

// RecordLeaderContact records that the leader answered a request that was sent
// at the given time, and keeps this VM as a member for ttl after that.
func (r *Rates) RecordLeaderContact(sent time.Time, ttl time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.home.LeaderContacted(sent, ttl)
}

// take takes a token of a customer whose home is this VM.
func (r *Rates) take(vm topo.VMID, id topo.CustomerID) quota.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.home.Take(clock.Boot(), vm, id)
}

// RecordContact records that a request from vm has reached this VM.
func (r *Rates) RecordContact(vm topo.VMID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.home.PeerContacted(clock.Boot(), vm)
}

// Take implements forward.Rates. While the members change, two VMs may briefly
// disagree on a customer's home; the request is then tried again.
func (r *Rates) Take(ctx context.Context, id topo.CustomerID) errkind.Kind {
	for attempt := 0; ; attempt++ {
		switch r.takeOnce(ctx, id) {
		case quota.Granted:
			return errkind.Unset
		case quota.Exhausted:
			return errkind.RateExceeded
		}
		if attempt == maxTakeAttempts-1 || ctx.Err() != nil {
			return errkind.NotHome
		}
		t := time.NewTimer(takeRetryPause)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

func (r *Rates) takeOnce(ctx context.Context, id topo.CustomerID) quota.Verdict {
	homes := r.view.Snapshot().Homes(customerHomeKey(id), "")
	if len(homes) == 0 {
		return quota.NotHome
	}
	if homes[0].VM == r.self {
		return r.take(r.self, id)
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

// Return implements forward.Rates. It does not wait for the home VM.
func (r *Rates) Return(id topo.CustomerID) {
	homes := r.view.Snapshot().Homes(customerHomeKey(id), "")
	if len(homes) == 0 {
		return
	}
	if homes[0].VM == r.self {
		r.returnToken(id)
		return
	}
	go func() {
		// A token that cannot be returned stays spent.
		_, _ = r.sendTake(context.Background(), homes[0].Addr,
			&fleetpb.TakeRequest{Vm: string(r.self), Customer: string(id), GiveBack: true})
	}()
}

func (r *Rates) returnToken(id topo.CustomerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.home.Return(id)
}
