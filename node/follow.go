package node

import (
	"context"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/fleet"
	"godwitlock.example/godwitlock/view"
)

// leaderStale reports whether this VM has had no response from the leader within
// maxLeaderSilence, or the leader none from the store within maxLeaderStoreAge.
// Both limits are extended by the follow pause.
func (n *Node) leaderStale() bool {
	if _, leads := n.lease.Leads(); leads {
		return false
	}
	lastResponse, storeContact := n.follower.LastContact()
	now, followPause := clock.Boot(), n.follower.FollowPause()
	if lastResponse.IsZero() && now.Sub(n.startedAt) < startupLeaderWait {
		return false
	}
	return now.Sub(lastResponse) > maxLeaderSilence+followPause || now.Sub(storeContact) > maxLeaderStoreAge+followPause
}

// needsStore reports whether this VM has to read the store itself: it leads, or the
// leader is stale and this VM is a candidate or has no relay.
func (n *Node) needsStore() bool {
	if _, leads := n.lease.Leads(); leads {
		return true
	}
	return n.leaderStale() && (n.isCandidate() || n.relayStale())
}

// runFollow keeps this VM's state up to date with the leader's until ctx ends.
func (n *Node) runFollow(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, leads := n.lease.Leads(); leads {
			pause(ctx, followRetryDelay)
			continue
		}
		if n.followLeader(ctx) {
			n.callStoreIfAsked(ctx)
			pause(ctx, n.follower.FollowPause())
			continue
		}
		pause(ctx, followRetryDelay)
	}
	return ctx.Err()
}

// followLeader calls the leader, if there is one, and reports whether it answered.
func (n *Node) followLeader(ctx context.Context) bool {
	l := n.lease.Leader()
	if l.Addr == "" || l.VM == n.settings.VM {
		return false
	}
	err := n.follower.Follow(ctx, view.Member{VM: l.VM, Addr: l.Addr}, n.stopping.Load())
	if err == nil {
		return true
	}
	n.log.Event("leader_unheard").Str("leader", string(l.VM)).Err(err).Send()
	if errors.Is(err, fleet.ErrNotLeader) {
		n.lease.RecordNotLeader()
	}
	return false
}
