package fleet

import (
	"time"

	"godwitlock.example/godwitlock/topo"
)

// homelessPeriod tells since when no VM can have been home of any customer, after all
// VMs have started anew. It is known only if as many VMs as may have acted under the leader
// before follow this one, and none of them knows members of an earlier leader. Homes are
// chosen by rendezvous hashing, so what a VM of the first list is home of had no other
// home in between, as long as VMs only join.
type homelessPeriod struct {
	// begin is when the last VM started; zero if some VM may have been home since.
	begin time.Time
	// processes names the process on each VM that called, and first holds those of
	// the first list; nil before its publication.
	processes, first map[topo.VMID]string
	// expected is the number of VMs that may have acted under the leader before.
	expected int
}

// reset begins a term of a leader whose process started at the given time. fresh says
// that it knows no members of an earlier leader; expected is their number.
func (p *homelessPeriod) reset(started time.Time, fresh bool, expected int) {
	*p = homelessPeriod{processes: make(map[topo.VMID]string), expected: expected}
	if fresh && expected > 0 {
		p.begin = started
	}
}

// follower records a call of a process that knows no members, before the first list is
// published. memberless is how long it has run.
func (p *homelessPeriod) follower(now time.Time, vm topo.VMID, process string, memberless time.Duration) {
	if p.begin.IsZero() {
		return
	}
	p.processes[vm] = process
	if started := now.Add(-memberless); started.After(p.begin) {
		p.begin = started
	}
}

// complete reports whether the period is known and all VMs have called.
func (p *homelessPeriod) complete() bool { return !p.begin.IsZero() && len(p.processes) >= p.expected }

// publish records that the first list is published.
func (p *homelessPeriod) publish() {
	if !p.complete() {
		// A VM that did not call may still be home under an earlier leader.
		p.end()
	}
	p.first = p.processes
}

// end records that a VM may get customers whose home was another one.
func (p *homelessPeriod) end() { p.begin = time.Time{} }

// since returns the time since which no VM but this one can have been home of its
// customers; zero if that is not known.
func (p *homelessPeriod) since(vm topo.VMID, process string) time.Time {
	if first, ok := p.first[vm]; !ok || first != process {
		return time.Time{}
	}
	return p.begin
}
