package node

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/fleet"
	"godwitlock.example/godwitlock/leader"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

const (
	// relayWait is how long a VM that is no candidate looks for a relay after it
	// has lost the leader, before it reads the store itself.
	relayWait = 500 * time.Millisecond
	// maxRelayAge is how old the last response of the store may be on a relay.
	maxRelayAge = time.Second
)

// candidacyOf returns how a VM takes part in the election of a leader. Until the
// members are known, only its size counts.
func candidacyOf(self topo.VMID, cpuShare float64, members []view.Member) leader.Candidacy {
	if len(members) == 0 {
		return leader.Candidacy{Delay: leaseYieldDelay(cpuShare, nil)}
	}
	rank := slices.IndexFunc(view.LeaderRanks(members), func(m view.Member) bool { return m.VM == self })
	if rank < 0 {
		rank = len(members)
	}
	return leader.CandidacyOf(rank, len(members))
}

// candidates returns the other VMs that may lead next.
func (n *Node) candidates() []view.Member {
	ranks := view.LeaderRanks(n.view.Snapshot().Members)
	gone := n.lease.Leader().VM
	ranks = slices.DeleteFunc(ranks, func(m view.Member) bool { return m.VM == gone })
	ranks = ranks[:min(leader.MaxCandidates, len(ranks))]
	return slices.DeleteFunc(ranks, func(m view.Member) bool { return m.VM == n.settings.VM })
}

// isCandidate reports whether this VM may lead next, or does not know that others
// may.
func (n *Node) isCandidate() bool {
	members := n.view.Snapshot().Members
	if len(members) == 0 {
		return true
	}
	ranks := view.LeaderRanks(members)
	rank := slices.IndexFunc(ranks, func(m view.Member) bool { return m.VM == n.settings.VM })
	// One more than may lead: the leader that was lost may be among them.
	return rank >= 0 && rank <= leader.MaxCandidates
}

// runCandidates looks for a new leader, or for a relay, while the leader is stale,
// until ctx ends. Calls to the leader go on beside it.
func (n *Node) runCandidates(ctx context.Context) error {
	for ctx.Err() == nil {
		if n.leaderStale() {
			n.followCandidates(ctx)
			n.callStoreIfAsked(ctx)
		}
		pause(ctx, followRetryDelay)
	}
	return ctx.Err()
}

// followCandidates asks the candidates, in turn, whether one of them leads by now or
// relays the state of the store.
func (n *Node) followCandidates(ctx context.Context) {
	list := n.candidates()
	for i := range list {
		m := list[(n.lastCandidate+i)%len(list)]
		err := n.follower.FollowCandidate(ctx, m)
		if err == nil {
			n.lastCandidate = (n.lastCandidate + i) % len(list)
			return
		}
		if !errors.Is(err, fleet.ErrNoRelay) {
			n.log.Event("candidate_unheard").Str("candidate", string(m.VM)).Err(err).Send()
		}
	}
}

// relayStale reports whether no relay has answered recently enough, at the end of
// relayWait or later.
func (n *Node) relayStale() bool {
	now, followPause := clock.Boot(), n.follower.FollowPause()
	lastResponse, storeContact := n.follower.LastContact()
	relayResponse, relayContact := n.follower.RelayContact()
	if now.Sub(lastResponse) < maxLeaderSilence+followPause+relayWait && now.Sub(storeContact) < maxLeaderStoreAge+followPause+relayWait {
		return false
	}
	return now.Sub(relayResponse) > maxLeaderSilence+followPause || now.Sub(relayContact) > maxLeaderStoreAge+followPause
}

// relay returns how this VM relays the state of the store.
func (n *Node) relay(boot string) *fleet.Relay {
	return &fleet.Relay{Boot: boot, Fresh: func() bool {
		return n.needsStore() && clock.Boot().Sub(n.oldestStoreResponse()) < maxRelayAge
	}}
}
