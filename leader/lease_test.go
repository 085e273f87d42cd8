package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitlock.example/godwitlock/topo"
)

// fakeStore holds the lease and applies conditional writes.
type fakeStore struct {
	record  Record
	version uint64
}

func (s *fakeStore) put(version uint64, r Record) bool {
	if version != s.version {
		return false
	}
	s.version++
	s.record = r
	return true
}

var start = time.Unix(1000, 0)

func identity(name string) Identity {
	return Identity{VM: topo.VMID(name), Boot: name, Addr: name + ":1"}
}

// acquire makes l acquire the lease, which must be free in the store.
func acquire(t *testing.T, l *Lease, s *fakeStore, now time.Time) {
	t.Helper()
	require.Equal(t, Read, l.Next(now).Action)
	l.Observed(now, VersionedRecord{Record: s.record, Version: s.version})
	step := l.Next(now)
	require.Equal(t, Write, step.Action)
	require.True(t, s.put(step.Version, step.Next))
	l.Written(now, step.Next, s.version)
}

// Guards against a candidate that acquires the lease before that of the holder
// has expired.
func TestTakeoverWaitsForLeaseExpiry(t *testing.T) {
	s := &fakeStore{}
	a, b := New(identity("a"), Candidacy{}), New(identity("b"), Candidacy{})
	acquire(t, a, s, start)
	b.Observed(start, VersionedRecord{Record: s.record, Version: s.version})
	for now := start; now.Before(start.Add(TTL)); now = now.Add(50 * time.Millisecond) {
		if step := b.Next(now); step.Action == Read {
			b.Observed(now, VersionedRecord{Record: s.record, Version: s.version})
		} else {
			require.Equal(t, Wait, step.Action, "at %v", now.Sub(start))
		}
	}
	_, holds := a.Holds(start.Add(TTL))
	require.False(t, holds)
}

// Guards against a lease that is measured from a later write than the one that
// took effect: the response to the first acquisition is lost, and the second
// acquisition conflicts with the first.
func TestLostAcquisitionCountsFromTheFirstWrite(t *testing.T) {
	s := &fakeStore{}
	l := New(identity("a"), Candidacy{})
	l.Observed(start, VersionedRecord{})
	step := l.Next(start)
	require.True(t, s.put(step.Version, step.Next)) // took effect, but the response is lost
	l.Failed(start.Add(600*time.Millisecond), false)
	later := start.Add(800 * time.Millisecond)
	again := l.Next(later)
	require.Equal(t, Write, again.Action)
	require.False(t, s.put(again.Version, again.Next))
	l.Failed(later, true)
	l.Observed(later, VersionedRecord{Record: s.record, Version: s.version})
	require.Equal(t, start.Add(TTL), l.Expiry())
}

// Guards against a process that takes the lease for renewed because of a write which the
// store has not carried out, and against a renewal that is carried out late and counted
// from a later write.
func TestUnconfirmedRenewalCountsFromItsSending(t *testing.T) {
	s := &fakeStore{}
	l := New(identity("a"), CandidacyOf(MaxCandidates, 12))
	l.Observed(start, VersionedRecord{})
	now := start.Add(reserveDelay)
	l.Observed(now, VersionedRecord{})
	acquired := l.Next(now)
	require.Equal(t, Write, acquired.Action)
	require.True(t, s.put(acquired.Version, acquired.Next))
	l.Written(now, acquired.Next, s.version)

	now = now.Add(RenewInterval)
	renewal := l.Next(now)
	require.Equal(t, Write, renewal.Action)
	l.Failed(now, false)
	now = now.Add(TTL - RenewInterval)
	require.Equal(t, Read, l.Next(now).Action)
	l.Observed(now, VersionedRecord{Record: s.record, Version: s.version})
	_, holds := l.Holds(now)
	assert.False(t, holds, "nothing has been renewed")
	now = now.Add(RenewInterval)
	l.Observed(now, VersionedRecord{Record: s.record, Version: s.version})

	again := l.Next(now)
	require.Equal(t, Write, again.Action)
	require.True(t, s.put(renewal.Version, renewal.Next))
	require.False(t, s.put(again.Version, again.Next))
	l.Failed(now, true)
	l.Observed(now, VersionedRecord{Record: s.record, Version: s.version})
	_, holds = l.Holds(now)
	require.False(t, holds, "the renewal was sent a whole lease ago")
}

// Guards against a restarted process that waits for the lease of the previous
// process on its VM to expire.
func TestRestartedProcessTakesOverAtOnce(t *testing.T) {
	s := &fakeStore{}
	acquire(t, New(identity("a"), Candidacy{}), s, start)
	again := New(Identity{VM: "a", Boot: "second", Addr: "a:1"}, Candidacy{})
	now := start.Add(100 * time.Millisecond)
	again.Observed(now, VersionedRecord{Record: s.record, Version: s.version})
	require.Equal(t, Write, again.Next(now).Action)
}

// Guards against a process that acquires the lease again after it has resigned.
func TestResignedProcessNeverLeadsAgain(t *testing.T) {
	s := &fakeStore{}
	l := New(identity("a"), Candidacy{})
	acquire(t, l, s, start)
	l.Resign(start, true)
	step := l.Next(start)
	require.Equal(t, Write, step.Action)
	require.Equal(t, Identity{}, step.Next.Holder)
	require.True(t, step.Next.Settled)
	require.True(t, s.put(step.Version, step.Next))
	l.Written(start, step.Next, s.version)
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
		if step := l.Next(now); step.Action != Wait {
			require.Equal(t, Read, step.Action)
			l.Observed(now, VersionedRecord{Record: s.record, Version: s.version})
		}
	}
}

// Guards against a VM that waits for its next poll of the lease although the
// presumed holder has replied that it is not the leader.
func TestLeadershipDeniedTriggersUrgentRead(t *testing.T) {
	l := New(identity("b"), Candidacy{})
	l.Observed(start, VersionedRecord{Record: Record{Term: 3, Holder: identity("a")}, Version: 9})
	l.HeartbeatReceived(start, identity("a"), 3, 9)
	require.Equal(t, Wait, l.Next(start.Add(100*time.Millisecond)).Action)
	l.LeadershipDenied(start.Add(100 * time.Millisecond))
	require.Equal(t, Read, l.Next(start.Add(100*time.Millisecond)).Action)
	require.True(t, l.Urgent(), "a stale read could miss the change")
}

// Guards against a successor that does not learn that its predecessor released
// the lease as settled, or that takes any other free lease for a settled one.
func TestPredecessorSettledFollowsReleasedLease(t *testing.T) {
	for _, settled := range []bool{true, false} {
		l := New(identity("b"), Candidacy{})
		l.Observed(start, VersionedRecord{Record: Record{Term: 3, Settled: settled}, Version: 9})
		require.Equal(t, Write, l.Next(start).Action)
		require.Equal(t, settled, l.PredecessorSettled())
	}
}

// process is a Lease with a write in flight.
type process struct {
	lease *Lease
	drift float64
	// pending is a write that has not reached the store yet.
	pending *Step
	paused  bool
}

// Guards against two processes that hold the lease at the same time, with
// clock drift, delayed writes, lost responses and paused processes.
func TestOneHolderAtATime(t *testing.T) { checkOneHolder(t, false) }

// Guards against the same where VMs hear of the holder from each other, and where
// some acquire the lease only if no candidate does.
func TestOneHolderAtATimeWithHeartbeats(t *testing.T) { checkOneHolder(t, true) }

func checkOneHolder(t *testing.T, heartbeats bool) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeStore{}
		var ps []*process
		for i, name := range []string{"a", "b", "c"} {
			drift := rapid.Float64Range(-MaxDrift/2, MaxDrift/2).Draw(t, "skew")
			rank := 0
			if heartbeats {
				rank = rapid.SampledFrom([]int{0, 1, MaxCandidates, MaxCandidates + 1}).Draw(t, "rank")
			}
			ps = append(ps, &process{lease: New(identity(name), CandidacyOf(rank, 12)), drift: drift, paused: i == 9})
		}
		elapsed := time.Duration(0)
		for range 300 {
			elapsed += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			p := ps[rapid.IntRange(0, len(ps)-1).Draw(t, "process")]
			stepProcess(t, s, p, p.clock(elapsed))
			if heartbeats {
				hear(t, ps, p, elapsed)
			}
			holders := 0
			for _, p := range ps {
				if _, ok := p.lease.Holds(p.clock(elapsed)); ok {
					holders++
				}
			}
			if holders > 1 {
				t.Fatalf("%d processes hold the lease, want at most 1, at %v", holders, elapsed)
			}
		}
	})
}

// hear lets a process receive a heartbeat of another one that holds the lease.
func hear(t *rapid.T, ps []*process, p *process, elapsed time.Duration) {
	q := ps[rapid.IntRange(0, len(ps)-1).Draw(t, "heard")]
	if term, holds := q.lease.Holds(q.clock(elapsed)); holds && q != p && p.pending == nil {
		p.lease.HeartbeatReceived(p.clock(elapsed), q.lease.Current().Holder, term, q.lease.Version())
	}
}

func (p *process) clock(elapsed time.Duration) time.Time {
	return start.Add(time.Duration(float64(elapsed) * (1 + p.drift)))
}

// stepProcess completes the pending write of a process, or starts its next step.
func stepProcess(t *rapid.T, s *fakeStore, p *process, now time.Time) {
	if p.pending != nil {
		step := *p.pending
		p.pending = nil
		applied := s.put(step.Version, step.Next)
		switch {
		case rapid.Bool().Draw(t, "lost"):
			p.lease.Failed(now, false)
		case applied:
			p.lease.Written(now, step.Next, s.version)
		default:
			p.lease.Failed(now, true)
		}
		return
	}
	switch step := p.lease.Next(now); step.Action {
	case Read:
		p.lease.Observed(now, VersionedRecord{Record: s.record, Version: s.version})
	case Write:
		p.pending = &step
	}
}

// Guards against a leader that takes the members it has collected for all VMs, since it
// does not know how many followed the leader before.
func TestMembersOutliveTheirLeader(t *testing.T) {
	read := func(l *Lease, r Record, version uint64) {
		l.Observed(start, VersionedRecord{Record: r, Version: version})
	}
	first := New(Identity{VM: "a", Boot: "1", Addr: "a"}, Candidacy{})
	read(first, Record{}, 0)
	first.SetMembers(0)
	step := first.Next(start)
	require.Equal(t, Write, step.Action)
	require.Zero(t, step.Next.Members)
	first.Written(start, step.Next, 1)
	first.SetMembers(195)
	step = first.Next(start.Add(RenewInterval))
	require.Equal(t, 195, step.Next.Members)

	second := New(Identity{VM: "a", Boot: "2", Addr: "a"}, Candidacy{})
	read(second, step.Next, 2)
	step = second.Next(start)
	require.Equal(t, Write, step.Action)
	require.Equal(t, 195, step.Next.Members, "it knows no members yet, and may be lost, too")
	earlier := Predecessor{Exists: true, Members: 195, Holder: Identity{VM: "a", Boot: "1", Addr: "a"}, Term: 1}
	require.Equal(t, earlier, second.Predecessor(), "the earlier process on this VM may not have expired")
	second.Written(start, step.Next, 3)
	second.SetMembers(0)
	require.Equal(t, 195, second.Next(start.Add(RenewInterval)).Next.Members)
}

// Guards against a number of members that the store had forgotten to raise when it came
// back from an older copy: fewer VMs would pass for all of them.
func TestMembersOfARestoredLeaseAreNotKnown(t *testing.T) {
	era := func(e topo.Era, counter uint64) uint64 { return uint64(topo.RevisionOf(e, counter)) }
	l := New(Identity{VM: "a", Boot: "1", Addr: "a"}, Candidacy{})
	l.Observed(start, VersionedRecord{Record: Record{Term: 1, Holder: Identity{VM: "b", Boot: "1", Addr: "b"}, Members: 3}, Version: era(1, 5)})
	later := start.Add(2 * TTL)
	l.Observed(later, VersionedRecord{Record: Record{Term: 1, Holder: Identity{VM: "b", Boot: "1", Addr: "b"}, Members: 3}, Version: era(1, 5)})
	step := l.Next(later)
	require.Equal(t, Write, step.Action)
	require.Zero(t, step.Next.Members)
	require.Zero(t, l.Predecessor().Members)
	require.Empty(t, l.Predecessor().Holder, "another process may have held the lease since")
	require.False(t, l.Predecessor().Released)
}

// Guards against a stopping VM that reads a free lease again and again without a pause.
func TestResignedProcessPausesBetweenReads(t *testing.T) {
	s := &fakeStore{}
	l := New(identity("a"), Candidacy{})
	acquire(t, l, s, start)
	l.Resign(start, true)
	step := l.Next(start)
	require.True(t, s.put(step.Version, step.Next))
	l.Written(start, step.Next, s.version)
	now := start.Add(pollInterval)
	for range 3 {
		require.Equal(t, Read, l.Next(now).Action)
		l.Observed(now, VersionedRecord{Record: s.record, Version: s.version})
		next := l.Next(now)
		require.Equal(t, Wait, next.Action)
		require.GreaterOrEqual(t, next.At.Sub(now), urgentPollInterval)
		now = next.At
	}
}

// Guards against a stale read after a reply that denies the leadership of the holder: the
// contact with it is recent, so the process does not poll urgently otherwise.
func TestReadAfterDenialIsNotStale(t *testing.T) {
	l := New(identity("b"), Candidacy{})
	l.Observed(start, VersionedRecord{Record: Record{Term: 3, Holder: identity("a")}, Version: 9})
	l.LeadershipDenied(start)
	l.SetUrgent(false, start)
	require.Equal(t, Read, l.Next(start).Action)
	require.True(t, l.Urgent())
	l.Observed(start, VersionedRecord{Record: Record{Term: 3}, Version: 10})
	require.False(t, l.Urgent())
}

// Guards against waiting for the orders of a killed leader after one that released its lease.
func TestReleasedLeaseIsTold(t *testing.T) {
	l := New(Identity{VM: "a", Boot: "1", Addr: "a"}, Candidacy{})
	l.Observed(start, VersionedRecord{Record: Record{Term: 4}, Version: 7})
	later := start.Add(2 * TTL)
	l.Observed(later, VersionedRecord{Record: Record{Term: 4}, Version: 7})
	require.Equal(t, Write, l.Next(later).Action)
	require.True(t, l.Predecessor().Released)
	require.Equal(t, topo.Term(4), l.Predecessor().Term)
}
