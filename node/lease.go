package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/leader"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

// leaseCallTimeout bounds a store call for the lease. It is short enough that a
// renewal whose response is lost can be repeated twice before the lease expires.
const leaseCallTimeout = 600 * time.Millisecond

// leaseManager acquires, renews and observes the leader lease in the store. It is
// safe for concurrent use.
type leaseManager struct {
	objects store.Objects
	key     string
	log     *declog.Log
	// leaderSilent reports that the leader does not respond.
	leaderSilent func() bool
	// yieldDelay returns how long this VM leaves an expired or released lease
	// to other VMs before it tries to acquire it.
	yieldDelay func() time.Duration
	wake       chan struct{}

	mu            sync.Mutex
	lease         *leader.Lease
	loggedLeading bool
}

func newLeaseManager(objects store.Objects, key string, self leader.Identity, yieldDelay func() time.Duration, log *declog.Log, leaderSilent func() bool) *leaseManager {
	return &leaseManager{
		objects: objects, key: key, log: log, leaderSilent: leaderSilent, yieldDelay: yieldDelay, lease: leader.New(self, yieldDelay()), wake: make(chan struct{}, 1),
	}
}

// Leads returns the term and true while this process holds the lease.
func (d *leaseManager) Leads() (topo.Term, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease.Holds(clock.Boot())
}

// Leader returns the last known holder of the lease. It may be out of date.
func (d *leaseManager) Leader() leader.Identity {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease.Current().Holder
}

// Version returns the last known version of the lease object in the store.
func (d *leaseManager) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease.Version()
}

// RecordLeaderVersion records the version of the lease object that the leader of
// the term reported.
func (d *leaseManager) RecordLeaderVersion(term topo.Term, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease.HeartbeatReceived(clock.Boot(), term, version)
}

// HandedOver reports whether the lease was acquired from a holder that had
// released it and stated that none of its orders could still take effect.
func (d *leaseManager) HandedOver() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease.PredecessorSettled()
}

// RecordNotLeader records that the VM believed to be the leader replied that it
// is not, and wakes Run.
func (d *leaseManager) RecordNotLeader() {
	d.mu.Lock()
	d.lease.LeadershipDenied(clock.Boot())
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Resign releases the lease; this process never acquires it again. Settled states
// that no order of this process can still take effect.
func (d *leaseManager) Resign(settled bool) {
	d.mu.Lock()
	d.lease.Resign(clock.Boot(), settled)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run acquires and renews the lease until ctx ends.
func (d *leaseManager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		leaderSilent := d.leaderSilent()
		d.mu.Lock()
		now := clock.Boot()
		d.lease.SetUrgent(leaderSilent, now)
		d.lease.SetTakeoverDelay(d.yieldDelay())
		step := d.lease.Next(now)
		d.mu.Unlock()
		switch step.Action {
		case leader.Read:
			d.read(ctx)
		case leader.Write:
			d.write(ctx, step)
		default:
			d.sleep(ctx, step.At.Sub(now))
		}
		d.logLeadershipChange()
	}
	return ctx.Err()
}

// maxLeaseSleep bounds the sleep between two steps, so that a leader that stops
// responding is detected in time.
const maxLeaseSleep = 250 * time.Millisecond

func (d *leaseManager) sleep(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(min(max(pause, time.Millisecond), maxLeaseSleep))
	defer t.Stop()
	select {
	case <-t.C:
	case <-d.wake:
	case <-ctx.Done():
	}
}

func (d *leaseManager) read(ctx context.Context) {
	d.mu.Lock()
	eager := d.lease.Urgent()
	d.mu.Unlock()
	if !eager {
		ctx = store.AllowStale(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	o, err := d.objects.Get(ctx, d.key)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Boot()
	switch {
	case errors.Is(err, store.ErrNotFound):
		d.lease.Observed(now, leader.VersionedRecord{})
	case err != nil:
		d.lease.Failed(now, false)
	default:
		var r leader.Record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			d.log.Event("lease_unreadable").Err(err).Send()
			d.lease.Failed(now, false)
			return
		}
		d.lease.Observed(now, leader.VersionedRecord{Record: r, Version: o.Version})
	}
}

func (d *leaseManager) write(ctx context.Context, step leader.Step) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	value, err := json.Marshal(step.Next)
	if err != nil {
		d.log.Event("lease_unwritable").Err(err).Send()
		return
	}
	o, err := d.objects.Put(ctx, d.key, value, step.Version, uuid.NewString())
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Boot()
	if err != nil {
		d.log.Event("lease_write_failed").Uint64("term", uint64(step.Next.Term)).Err(err).Send()
		d.lease.Failed(now, errors.Is(err, store.ErrConflict))
		return
	}
	d.lease.Written(now, step.Next, o.Version)
}

// logLeadershipChange logs when this process gains or loses leadership.
func (d *leaseManager) logLeadershipChange() {
	d.mu.Lock()
	defer d.mu.Unlock()
	term, leads := d.lease.Holds(clock.Boot())
	if leads == d.loggedLeading {
		return
	}
	d.loggedLeading = leads
	name := "leadership_lost"
	if leads {
		name = "leadership_gained"
	}
	d.log.Event(name).Uint64("term", uint64(term)).Send()
}
