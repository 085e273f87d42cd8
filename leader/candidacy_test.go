package leader

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// election is a simulation of the VMs of a fleet that lose their leader.
type election struct {
	store         fakeStore
	vms           []*Lease
	reads, writes int
	// ledAfter is the time until another VM leads.
	ledAfter time.Duration
}

const (
	// storeLatency is the time of a call to the store, hearLatency the time within
	// which all VMs hear of a new leader from other VMs, and silence the time until
	// they notice that the leader does not answer.
	storeLatency = 5 * time.Millisecond
	hearLatency  = 400 * time.Millisecond
	silence      = time.Second
)

// run lets the leader end at start, right after a renewal, and simulates the others.
func (e *election) run(vms int, candidacy func(rank int) Candidacy) {
	old := New(identity("leader"), Candidacy{})
	old.Observed(start, VersionedRecord{})
	step := old.Next(start)
	e.store.put(step.Version, step.Next)
	pending := make(map[int]Step)
	due := make(map[int]time.Time)
	for i := range vms {
		l := New(identity(fmt.Sprint("vm", i)), candidacy(i))
		l.HeartbeatReceived(start, identity("leader"), step.Next.Term, e.store.version)
		e.vms = append(e.vms, l)
	}
	for now := start; now.Before(start.Add(8 * time.Second)); now = now.Add(time.Millisecond) {
		for i, l := range e.vms {
			e.step(l, i, now, pending, due)
			if _, holds := l.Holds(now); holds && e.ledAfter == 0 {
				e.ledAfter = now.Sub(start)
			}
		}
	}
}

func (e *election) step(l *Lease, i int, now time.Time, pending map[int]Step, due map[int]time.Time) {
	if step, ok := pending[i]; ok {
		if now.Before(due[i]) {
			return
		}
		delete(pending, i)
		switch {
		case step.Action == Read:
			l.Observed(now, VersionedRecord{Record: e.store.record, Version: e.store.version})
		case e.store.put(step.Version, step.Next):
			l.Written(now, step.Next, e.store.version)
		default:
			l.Failed(now, true)
		}
		return
	}
	heard := e.ledAfter > 0 && now.Sub(start) >= e.ledAfter+hearLatency
	if heard && e.store.record.Holder != l.self {
		l.HeartbeatReceived(now, e.store.record.Holder, e.store.record.Term, e.store.version)
	}
	l.SetUrgent(now.Sub(start) >= silence && !heard, now)
	step := l.Next(now)
	switch step.Action {
	case Read:
		e.reads++
	case Write:
		if l.expiry.IsZero() {
			e.writes++
		}
	default:
		return
	}
	pending[i], due[i] = step, now.Add(storeLatency)
}

// Guards against calls to the store that grow with the number of VMs when the leader
// is lost: every VM read the lease four times a second, and each wrote it once it was
// free.
func TestElectionCallsDoNotGrowWithTheFleet(t *testing.T) {
	for _, vms := range []int{12, 82, 195} {
		var e, naive election
		e.run(vms, func(rank int) Candidacy { return CandidacyOf(rank, vms) })
		naive.run(vms, func(int) Candidacy { return Candidacy{} })
		t.Logf("%d VMs: %d reads, %d writes, new leader after %v; every VM a candidate: %d, %d, %v",
			vms, e.reads, e.writes, e.ledAfter, naive.reads, naive.writes, naive.ledAfter)
		require.LessOrEqual(t, e.writes, MaxCandidates)
		// The candidates read four times a second, and all others together 84 times.
		require.LessOrEqual(t, e.reads, 400)
		require.LessOrEqual(t, e.ledAfter, naive.ledAfter+candidateStep)
	}
}

// Guards against a fleet without a leader when all candidates are lost with it.
func TestReserveLeadsWhenNoCandidateIsLeft(t *testing.T) {
	var e election
	e.run(100, func(rank int) Candidacy { return CandidacyOf(rank+MaxCandidates, 195) })
	require.LessOrEqual(t, e.writes, 20)
	require.Positive(t, e.ledAfter)
	require.LessOrEqual(t, e.ledAfter, 2*TTL+time.Second)
}
