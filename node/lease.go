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

// leaseCallTimeout bounds a call for the lease. A renewal whose answer is lost
// leaves time for two more before the lease ends.
const leaseCallTimeout = 600 * time.Millisecond

// leaseManager drives the leader's lease. It is safe for concurrent use.
type leaseManager struct {
	objects store.Objects
	key     string
	log     *declog.Log
	// leaderSilent reports that the leader does not answer.
	leaderSilent func() bool
	// yieldDelay returns how long a free lease is left to other VMs.
	yieldDelay func() time.Duration
	wake       chan struct{}

	mu            sync.Mutex
	lease         *leader.Lease
	loggedLeading bool
}

func newLeaseManager(objects store.Objects, key string, self leader.Identity, yield func() time.Duration, log *declog.Log, silent func() bool) *leaseManager {
	return &leaseManager{
		objects: objects, key: key, log: log, leaderSilent: silent, yieldDelay: yield, lease: leader.New(self, yield()), wake: make(chan struct{}, 1),
	}
}

// Leads returns the term while this process leads.
func (d *leaseManager) Leads() (topo.Term, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease.Holds(clock.Boot())
}

// Leader returns the process that holds the lease as far as is known.
func (d *leaseManager) Leader() leader.Identity {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease.Current().Holder
}

// Version returns the version of the lease in the store.
func (d *leaseManager) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease.Version()
}

// RecordLeaderVersion records the version of the lease that the leader of a term told.
func (d *leaseManager) RecordLeaderVersion(term topo.Term, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease.HeartbeatReceived(clock.Boot(), term, version)
}

// HandedOver reports whether the lease was taken from a holder none of whose
// orders can still be carried out.
func (d *leaseManager) HandedOver() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease.PredecessorSettled()
}

// RecordNotLeader records that the leader says that it does not lead.
func (d *leaseManager) RecordNotLeader() {
	d.mu.Lock()
	d.lease.LeadershipDenied(clock.Boot())
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Resign gives the lease back and never takes it again. Settled says that no
// order of this process can still be carried out.
func (d *leaseManager) Resign(settled bool) {
	d.mu.Lock()
	d.lease.Resign(clock.Boot(), settled)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run drives the lease until ctx ends.
func (d *leaseManager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		silent := d.leaderSilent()
		d.mu.Lock()
		now := clock.Boot()
		d.lease.SetUrgent(silent, now)
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

// maxLeaseSleep bounds the pause, so that a silent leader is noticed.
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

// logLeadershipChange logs when this process begins or ceases to lead.
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
