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
	"godwitlock.example/godwitlock/view"
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
	// leaderStale reports whether the leader does not respond or has lost
	// contact with the store.
	leaderStale func() bool
	// candidacy returns how this VM takes part in the election of a leader.
	candidacy func() leader.Candidacy
	// members returns the number of VMs that may act under lists of the term that this
	// VM leads; 0 if it is not known.
	members func(topo.Term) int
	// pristine reports whether the store cannot have lost a lease. It may be nil.
	pristine func() bool
	// called records the result of each call whose response cannot be stale.
	called func(ctx context.Context, err error)
	// onLost is called when this process no longer leads. It may be nil.
	onLost func()
	wake   chan struct{}

	mu            sync.Mutex
	lease         *leader.Lease
	loggedLeading bool
}

func newLeaseManager(objects store.Objects, key string, self leader.Identity, candidacy func() leader.Candidacy, members func(topo.Term) int, log *declog.Log, leaderStale func() bool) *leaseManager {
	return &leaseManager{
		objects: objects, key: key, log: log, leaderStale: leaderStale, candidacy: candidacy, members: members,
		lease: leader.New(self, candidacy()), wake: make(chan struct{}, 1), called: func(context.Context, error) {},
	}
}

// Leads returns the term and true while this process holds the lease.
func (m *leaseManager) Leads() (topo.Term, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.Holds(clock.Boot())
}

// LeadsUntil returns the time until which this process leads in a term, as far as the
// lease has been renewed; zero if it does not lead in that term.
func (m *leaseManager) LeadsUntil(term topo.Term) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Boot()
	if held, holds := m.lease.Holds(now); !holds || held != term {
		return time.Time{}
	}
	return m.lease.HoldsUntil(now)
}

// Leader returns the last known holder of the lease. It may be out of date.
func (m *leaseManager) Leader() leader.Identity {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.Current().Holder
}

// ObservedTerm returns the last known term of the lease.
func (m *leaseManager) ObservedTerm() topo.Term {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.Current().Term
}

// Version returns the last known version of the lease object in the store.
func (m *leaseManager) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.Version()
}

// RecordLeaseVersion records the version of the lease object that the leader of
// the term reported.
func (m *leaseManager) RecordLeaseVersion(holder view.Member, term topo.Term, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease.HeartbeatReceived(clock.Boot(), leader.Identity{VM: holder.VM, Addr: holder.Addr}, term, version)
}

// HandedOver reports whether the lease was acquired from a holder that had
// released it and stated that none of its orders could still take effect.
func (m *leaseManager) HandedOver() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.PredecessorSettled()
}

// Predecessor returns the holder from which the lease was acquired.
func (m *leaseManager) Predecessor() leader.Predecessor {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.Predecessor()
}

// UsableUntil returns the time until which this process may act on its lease; zero if it
// does not hold it.
func (m *leaseManager) UsableUntil() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.UsableUntil()
}

// ContinuedTerm returns the last term of this process if the present one continues it;
// see leader.Lease.ContinuedTerm.
func (m *leaseManager) ContinuedTerm() topo.Term {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.ContinuedTerm()
}

// EarlierOrdersEnd returns when the leases of all earlier holders had expired, or the
// zero time; see leader.Lease.EarlierOrdersEnd.
func (m *leaseManager) EarlierOrdersEnd() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.EarlierOrdersEnd()
}

// EarlierLeaders returns how often the lease had been acquired in the era before this
// process acquired it; see leader.Lease.EarlierLeaders.
func (m *leaseManager) EarlierLeaders() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.EarlierLeaders()
}

// RecordNotLeader records that the VM believed to be the leader replied that it
// is not, and wakes Run.
func (m *leaseManager) RecordNotLeader() {
	m.mu.Lock()
	m.lease.LeadershipDenied(clock.Boot())
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Resign releases the lease; this process never acquires it again. If settled is
// true, it states that no order of this process can still take effect.
func (m *leaseManager) Resign(settled bool) {
	m.mu.Lock()
	m.lease.Resign(clock.Boot(), settled)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run acquires and renews the lease until ctx ends.
func (m *leaseManager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		leaderStale := m.leaderStale()
		m.mu.Lock()
		now := clock.Boot()
		m.lease.SetUrgent(leaderStale, now)
		m.lease.SetCandidacy(m.candidacy())
		term, _ := m.lease.Holds(now)
		m.lease.SetMembers(m.members(term))
		m.lease.SetEra(now, store.EraOf(m.objects))
		step := m.lease.Next(now)
		m.mu.Unlock()
		switch step.Action {
		case leader.Read:
			m.read(ctx)
		case leader.Write:
			m.write(ctx, step)
		default:
			m.sleep(ctx, step.At.Sub(now))
		}
		m.logLeadershipChange()
	}
	return ctx.Err()
}

// maxLeaseSleep bounds the sleep between two steps, so that a leader that stops
// responding is detected in time.
const maxLeaseSleep = 250 * time.Millisecond

func (m *leaseManager) sleep(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(min(max(pause, time.Millisecond), maxLeaseSleep))
	defer t.Stop()
	select {
	case <-t.C:
	case <-m.wake:
	case <-ctx.Done():
	}
}

func (m *leaseManager) read(ctx context.Context) {
	m.mu.Lock()
	urgent := m.lease.Urgent()
	m.mu.Unlock()
	if !urgent {
		ctx = store.AllowStale(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	o, err := m.objects.Get(ctx, m.key)
	if urgent {
		m.called(ctx, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Boot()
	switch {
	case errors.Is(err, store.ErrNotFound):
		m.lease.Observed(now, m.absentLease())
	case err != nil:
		m.lease.Failed(now, false)
	default:
		var r leader.Record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			m.log.Event("lease_unreadable").Err(err).Send()
			m.lease.Observed(now, leader.VersionedRecord{Version: o.Version, Unreadable: true})
			return
		}
		m.lease.Observed(now, leader.VersionedRecord{Record: r, Version: o.Version})
	}
}

// absentLease returns the state of a lease that the store does not have.
func (m *leaseManager) absentLease() leader.VersionedRecord {
	era := store.EraOf(m.objects)
	v := leader.VersionedRecord{Version: uint64(topo.RevisionOf(era, 0))}
	if m.pristine != nil && m.pristine() {
		v.Record.Era = era
	}
	return v
}

func (m *leaseManager) write(ctx context.Context, step leader.Step) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	value, err := json.Marshal(step.Next)
	if err != nil {
		m.log.Event("lease_unwritable").Err(err).Send()
		return
	}
	version := step.Version
	if topo.Revision(version).Counter() == 0 {
		version = store.MustNotExist
	}
	o, err := m.objects.Put(ctx, m.key, value, version, uuid.NewString())
	m.called(ctx, err)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Boot()
	if err != nil {
		m.log.Event("lease_write_failed").Uint64("term", uint64(step.Next.Term)).Err(err).Send()
		m.lease.Failed(now, errors.Is(err, store.ErrConflict))
		return
	}
	m.lease.Written(now, step.Next, o.Version)
}

// logLeadershipChange logs when this process gains or loses leadership.
func (m *leaseManager) logLeadershipChange() {
	m.mu.Lock()
	term, leads := m.lease.Holds(clock.Boot())
	changed := leads != m.loggedLeading
	m.loggedLeading = leads
	m.mu.Unlock()
	if !changed {
		return
	}
	if !leads && m.onLost != nil {
		m.onLost()
	}
	name := "leadership_lost"
	if leads {
		name = "leadership_gained"
	}
	m.log.Event(name).Uint64("term", uint64(term)).Send()
}
