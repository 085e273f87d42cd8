package leader

import "time"

const (
	// MaxCandidates is the number of VMs that try to acquire the lease as soon as it
	// is free. The others do so only if none of them has, so that the calls to the
	// store do not grow with the number of VMs.
	MaxCandidates = 4
	// candidateStep is the time by which a candidate waits longer than the one
	// before it, which has the response of the store by then.
	candidateStep = 60 * time.Millisecond
	// reserveDelay and reserveStep are the same for the other VMs.
	reserveDelay = time.Second
	reserveStep  = 15 * time.Millisecond
	// reservePollPerVM is the poll interval of the other VMs per VM of the fleet;
	// maxReservePoll bounds it.
	reservePollPerVM = 12 * time.Millisecond
	maxReservePoll   = 2500 * time.Millisecond
	// reservePhases spreads the first polls of the other VMs over their interval.
	reservePhases = 32
	// recentRead is the age up to which an observation may precede a write of a VM
	// that is not a candidate.
	recentRead = 300 * time.Millisecond
)

// Candidacy is how a VM takes part in the election of a leader.
type Candidacy struct {
	// Delay is the time to wait before a free or expired lease is acquired.
	Delay time.Duration
	// Poll is the least interval between two reads of the lease; FirstPoll is the
	// time until the first one when the contact with the leader is lost. Both are
	// zero for candidates.
	Poll, FirstPoll time.Duration
}

// CandidacyOf returns the candidacy of the VM with the given rank, counted from 0, in a
// fleet of the given size.
func CandidacyOf(rank, vms int) Candidacy {
	if rank < MaxCandidates {
		return Candidacy{Delay: time.Duration(rank) * candidateStep}
	}
	poll := min(time.Duration(vms)*reservePollPerVM, maxReservePoll)
	return Candidacy{
		Delay:     reserveDelay + time.Duration(rank-MaxCandidates)*reserveStep,
		Poll:      poll,
		FirstPoll: poll * time.Duration(rank%reservePhases) / reservePhases,
	}
}

// isReserve reports whether the VM acquires the lease only if no candidate does.
func (c Candidacy) isReserve() bool { return c.Poll > 0 }
