package fleet

import (
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

const (
	// memberDiscoveryTime is how long a new leader collects members before it
	// publishes their list. It covers one Follow call and a retry.
	memberDiscoveryTime = 700 * time.Millisecond
	// memberTTL is how long a VM stays a member after its last Follow call, in
	// addition to two follow pauses. It covers two Follow calls. Each VM is told how
	// long it stays a member, and acts as the home of customers for less.
	memberTTL = 1300 * time.Millisecond
)

// member is a VM that follows the leader.
type member struct {
	view.Member
	lastSeen time.Time
	// ttl is how long the VM was told that it stays a member after lastSeen.
	ttl time.Duration
}

// BeginTerm discards the members and tables of an earlier term and starts to collect
// members. earlierMembers is the number of VMs that followed the leader of the earlier
// term; 0 if it is not known.
func (h *Hub) BeginTerm(now time.Time, earlierMembers int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tables = newTableLog()
	h.members = make(map[topo.VMID]*member)
	h.membersVersion = uint64(now.UnixNano())
	known := len(h.view.Snapshot().Members)
	h.termStart, h.earlierMembers = now, max(known, earlierMembers)
	h.discoveryEnd, h.discovered = now.Add(memberDiscoveryTime), false
	if known > 0 {
		h.awaitEarlierMembers()
	}
	h.homeless.reset(h.started, known == 0, earlierMembers)
	h.homeless.follower(now, h.self.VM, "", max(1, now.Sub(h.started)))
	// VMs that called before are recorded again.
	h.notifyFollowers()
}

// Expire removes the VMs whose last Follow call was too long ago. It publishes the
// members when one was removed or when the collection of members has ended.
func (h *Hub) Expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	removed := false
	for id, m := range h.members {
		if now.Sub(m.lastSeen) > m.ttl {
			delete(h.members, id)
			h.homeless.end()
			removed = true
		}
	}
	if removed || !h.discovered && h.discoveryOver(now) {
		h.publishMembers()
	}
}

// memberTTL returns how long a VM stays a member after a Follow call. The caller
// holds h.mu.
func (h *Hub) memberTTL() time.Duration {
	return memberTTL + time.Duration(len(h.members))*2*followPausePerVM
}

// publishMembers publishes the members to all VMs, unless a new leader is still
// collecting them. The caller holds h.mu.
func (h *Hub) publishMembers() {
	first := !h.discovered
	if h.discovered = h.discovered || h.discoveryOver(clock.Boot()); !h.discovered {
		return
	}
	if first {
		h.homeless.publish()
	}
	h.membersVersion++
	h.view.SetMembers(h.membersVersion, h.memberList())
	h.notifyFollowers()
}

// awaitEarlierMembers postpones the list of members for as long as the earlier leader
// promised its followers that they stay members: those that do not follow this leader
// are home of their customers until then. The caller holds h.mu.
func (h *Hub) awaitEarlierMembers() {
	h.discoveryEnd = h.termStart.Add(memberDiscoveryTime + time.Duration(h.earlierMembers)*2*followPausePerVM)
}

// discoveryOver reports whether a new leader may publish the members: it has collected
// them for long enough, or all VMs have called, and none is home of anything. The
// caller holds h.mu.
func (h *Hub) discoveryOver(now time.Time) bool {
	return now.After(h.discoveryEnd) || h.homeless.complete()
}

func (h *Hub) memberList() []view.Member {
	out := []view.Member{h.self}
	for _, m := range h.members {
		out = append(out, m.Member)
	}
	return out
}

func (h *Hub) notifyFollowers() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// recordFollower records a Follow call of a VM, and removes a VM that leaves. The
// caller holds h.mu.
func (h *Hub) recordFollower(req *fleetpb.FollowRequest, now time.Time) {
	id := topo.VMID(req.GetVm())
	if id == h.self.VM {
		return
	}
	if req.GetLeaving() {
		if h.members[id] != nil {
			delete(h.members, id)
			h.homeless.end()
			h.publishMembers()
		}
		return
	}
	m := view.Member{VM: id, Addr: req.GetAddr(), DataCentre: topo.DataCentreName(req.GetDataCentre()), CPUShare: req.GetCpuShare()}
	old := h.members[id]
	ttl := h.memberTTL()
	if old != nil {
		// A promise of an earlier call may be longer and still be in force.
		ttl = max(ttl, old.ttl-now.Sub(old.lastSeen))
	}
	h.members[id] = &member{Member: m, lastSeen: now, ttl: ttl}
	switch {
	case !h.discovered && req.GetMemberlessMs() == 0:
		h.awaitEarlierMembers()
		h.homeless.end()
	case !h.discovered:
		h.homeless.follower(now, id, req.GetBoot(), millis(req.GetMemberlessMs()))
	case old != nil && old.Member != m:
		h.homeless.end()
	}
	if old == nil || old.Member != m {
		h.publishMembers()
	}
}

// HomelessSince returns the time since which no VM but this one can have been home of
// the customers whose home it is; zero if that is not known.
func (h *Hub) HomelessSince() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.homeless.since(h.self.VM, "")
}
