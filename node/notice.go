package node

import (
	"context"
	"sync"
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/egress"
	"godwitlock.example/godwitlock/topo"
)

const (
	// maxTracked bounds the servers that notices keeps.
	maxTracked = 4096
	// leavingRetryDelay is the pause after a failed report of servers that leave.
	leavingRetryDelay = 100 * time.Millisecond
	// termCheckInterval is how often a VM checks whether another leader has to be
	// told of the servers that leave.
	termCheckInterval = 500 * time.Millisecond
)

// notices keeps what servers said about themselves to this VM and what the leader
// was told of it. It is safe for concurrent use.
type notices struct {
	wake chan struct{}

	mu sync.Mutex
	// leaving holds the servers that said that they leave, with the term of the
	// last leader that was told, 0 for none.
	leaving map[topo.Incarnation]topo.Term
	// invalid holds the servers of which an invalid header field was logged.
	invalid map[topo.Incarnation]bool
}

func newNotices() *notices {
	return &notices{
		wake: make(chan struct{}, 1), leaving: make(map[topo.Incarnation]topo.Term), invalid: make(map[topo.Incarnation]bool),
	}
}

// addLeaving records a server that leaves. It returns false if that was recorded
// before.
func (n *notices) addLeaving(id topo.Incarnation) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.leaving[id]; known {
		return false
	}
	if len(n.leaving) >= maxTracked {
		clear(n.leaving)
	}
	n.leaving[id] = 0
	select {
	case n.wake <- struct{}{}:
	default:
	}
	return true
}

// addInvalid records that a server sent an invalid header field. It returns false
// if that was recorded before.
func (n *notices) addInvalid(id topo.Incarnation) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.invalid[id] {
		return false
	}
	if len(n.invalid) >= maxTracked {
		clear(n.invalid)
	}
	n.invalid[id] = true
	return true
}

// untold returns the servers that leave of which the leader of a term was not told.
func (n *notices) untold(term topo.Term) []topo.Incarnation {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []topo.Incarnation
	for id, told := range n.leaving {
		if told == 0 || told < term {
			out = append(out, id)
		}
	}
	return out
}

// recordTold records that the leader of a term was told of servers that leave.
func (n *notices) recordTold(ids []topo.Incarnation, term topo.Term) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range ids {
		n.leaving[id] = max(n.leaving[id], term)
	}
}

// serverNotice takes note of what a server says about itself with a response. It is
// called for each such response, and does not block.
func (n *Node) serverNotice(id topo.Incarnation, notice egress.Notice) {
	if notice.Invalid != "" {
		n.metrics.Count("server_notices_invalid", "", "")
		if n.notices.addInvalid(id) {
			n.log.Event("notice_invalid").Str("server", string(id.Server)).Str("field", notice.Invalid).Send()
		}
	}
	if notice.Leaving && n.notices.addLeaving(id) {
		n.view.Directory(func(d *directory.Directory) { d.MarkLeaving(id) })
		n.logLeaving(id, "answer")
	}
	if notice.Pause <= 0 {
		return
	}
	now := clock.Boot()
	if n.pauses.Record(id, now.Add(notice.Pause), now) {
		n.metrics.Count("server_pauses", "", "")
		n.log.Event("server_pause").Str("server", string(id.Server)).Dur("pause_ms", notice.Pause).Send()
	}
}

// logLeaving logs that a server leaves. source is "answer" if the server said so to
// this VM, "vm" if it said so to another.
func (n *Node) logLeaving(id topo.Incarnation, source string) {
	n.metrics.Count("servers_leaving", "source", source)
	n.log.Event("server_leaving").Str("server", string(id.Server)).Int64("born", id.StartedAtMs).Str("source", source).Send()
}

// runLeaving tells the leader at once of each server that said to this VM that it
// leaves, and tells each further leader again, until ctx ends.
func (n *Node) runLeaving(ctx context.Context) error {
	t := time.NewTicker(termCheckInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		for !n.reportLeaving(ctx) && ctx.Err() == nil {
			pause(ctx, leavingRetryDelay)
		}
		select {
		case <-n.notices.wake:
		case <-t.C:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// reportLeaving reports whether the leader knows all servers that leave.
func (n *Node) reportLeaving(ctx context.Context) bool {
	if term, leads := n.lease.Leads(); leads {
		// The leader publishes its own directory.
		n.notices.recordTold(n.notices.untold(term), term)
		return true
	}
	ids := n.notices.untold(n.follower.Term())
	if len(ids) == 0 {
		return true
	}
	leader := n.lease.Leader()
	if leader.Addr == "" || leader.VM == n.settings.VM {
		return false
	}
	term, err := n.follower.ReportLeaving(ctx, leader.Addr, ids)
	if err != nil {
		n.log.Event("report_failed").Str("leader", string(leader.VM)).Err(err).Send()
		return false
	}
	n.notices.recordTold(ids, term)
	return true
}
