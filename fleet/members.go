package fleet

import (
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/membership"
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
	memberTTL = membership.MinTTL
)

// Predecessor is what a new leader knows of the leader before it.
type Predecessor struct {
	// Exists is false if no VM has led before. Expired says that its lease has run
	// out, as opposed to one that was released or taken over by the same VM.
	Exists, Expired bool
	// LeaseTTL is the length of its lease.
	LeaseTTL time.Duration
	// Members is the number of VMs that may have acted under its lists, itself included;
	// 0 if it is not known.
	Members int
}

// member is a VM that follows the leader.
type member struct {
	view.Member
	lastSeen time.Time
	// ttl is how long the VM was told that it stays a member after lastSeen.
	ttl time.Duration
}

// processCall is a call of a VM's process.
type processCall struct {
	boot string
	at   time.Time
}

// LivedAfter reports whether a process of a VM has called since a time of this term.
func (h *Hub) LivedAfter(vm topo.VMID, boot string, after time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, called := h.processes[vm]
	return called && c.boot == boot && c.at.After(after)
}

// BeginTerm discards the members and tables of an earlier term and starts to collect
// members.
func (h *Hub) BeginTerm(now time.Time, term topo.Term, p Predecessor) {
	acting := h.acting()
	if len(acting.VMs) == 0 {
		acting.List = topo.ListVersion{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.processes = nil
	h.tables = newTableLog()
	h.members = make(map[topo.VMID]*member)
	h.membersVersion = topo.ListVersion{Term: term, Number: uint64(now.UnixNano())}
	known := len(h.view.Snapshot().Members)
	h.termStart, h.earlierMembers = now, max(known, p.Members)
	h.registry = membership.NewRegistry(h.self.VM, term, now, membership.Predecessor{
		Exists: p.Exists || known > 0, Expired: p.Expired, LeaseTTL: p.LeaseTTL, MaxTTL: memberTTL + h.earlierPauses(),
	}, acting.List, acting.VMs)
	h.discoveryEnd, h.discovered = now.Add(memberDiscoveryTime), false
	if known > 0 {
		h.awaitEarlierMembers()
	}
	if h.restarted = nil; known == 0 && p.Members > 0 {
		h.restarted = map[topo.VMID]bool{h.self.VM: true}
	}
	h.homeless.reset(h.started, known == 0, p.Members)
	h.homeless.follower(now, h.self.VM, "", max(1, now.Sub(h.started)))
	// VMs that called before are recorded again.
	h.notifyFollowers()
}

// acting tells under which list this VM acts. The caller does not hold h.mu.
func (h *Hub) acting() Acting {
	if h.Acting == nil {
		return Acting{}
	}
	return h.Acting()
}

// Expire removes the VMs whose last Follow call was too long ago. It publishes the
// members when one was removed or when the collection of members has ended.
func (h *Hub) Expire(now time.Time) {
	own := h.acting()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.registry.Acts(now, own.List, own.AttestedFor)
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
	h.settleMembers(now)
}

// settleMembers tells the VMs that wait for it that a list of members is settled. The
// caller holds h.mu.
func (h *Hub) settleMembers(now time.Time) {
	if h.registry.Settle(now) {
		h.notifyFollowers()
	}
}

// MayAct returns the number of VMs, this one included, that may act under lists of the
// given term or earlier ones; 0 if it is not known.
func (h *Hub) MayAct(term topo.Term) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.membersVersion.Term != term || !h.discovered {
		return 0
	}
	return h.registry.MayAct(clock.Boot())
}

// Settled returns the newest list of members that is settled; zero if there is none.
func (h *Hub) Settled() topo.ListVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registry.Settled()
}

func vmsOf(members []view.Member) []topo.VMID {
	out := make([]topo.VMID, 0, len(members))
	for _, m := range members {
		out = append(out, m.VM)
	}
	return out
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
		if h.homeless.complete() {
			h.registry.AllRestarted()
		}
		h.homeless.publish()
	}
	h.membersVersion.Number++
	list := h.memberList()
	h.registry.Publish(h.membersVersion, view.Witnesses(list, membership.MaxWitnesses))
	h.view.SetMembers(h.membersVersion, list)
	h.notifyFollowers()
}

// awaitEarlierMembers postpones the list of members for as long as the earlier leader
// promised its followers that they stay members: those that do not follow this leader
// are home of their customers until then. The caller holds h.mu.
func (h *Hub) awaitEarlierMembers() {
	h.discoveryEnd = h.termStart.Add(memberDiscoveryTime + h.earlierPauses())
}

// earlierPauses returns the part of the earlier members' TTL that grows with their
// number. The caller holds h.mu.
func (h *Hub) earlierPauses() time.Duration {
	return time.Duration(h.earlierMembers) * 2 * followPausePerVM
}

// discoveryOver reports whether a new leader may publish the members: it has collected
// them for long enough, or all VMs have called. The caller holds h.mu.
func (h *Hub) discoveryOver(now time.Time) bool {
	return now.After(h.discoveryEnd) || h.homeless.complete() || h.registry.AllEarlierCalled()
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

// recordFollower records a Follow call of a VM that arrived at now, and removes a VM
// that leaves. leaseEnd is the end of the lease that the VM is told. The caller holds
// h.mu.
func (h *Hub) recordFollower(req *fleetpb.FollowRequest, now, leaseEnd time.Time) {
	id := topo.VMID(req.GetVm())
	if id == h.self.VM {
		return
	}
	if h.processes == nil {
		h.processes = make(map[topo.VMID]processCall)
	}
	h.processes[id] = processCall{boot: req.GetBoot(), at: now}
	call := membership.Call{VM: id, Process: req.GetBoot(), List: decodeList(req.GetList()), AttestedFor: millis(req.GetAttestedMs())}
	if req.GetLeaving() {
		h.recordCall(req, now, call)
		if h.members[id] != nil {
			delete(h.members, id)
			h.homeless.end()
			h.publishMembers()
		}
		return
	}
	if !h.hearsLeader(req, h.membersVersion.Term) {
		h.recordCall(req, now, call)
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
	call.TTL, call.LeaseEnd = ttl, leaseEnd
	h.recordCall(req, now, call)
	h.recordRestart(req, id)
	switch {
	case !h.discovered && req.GetMemberlessMs() == 0:
		h.awaitEarlierMembers()
		h.homeless.end()
	case !h.discovered:
		h.homeless.follower(now, id, req.GetBoot(), millis(req.GetMemberlessMs()))
	case old != nil && old.Member != m:
		h.homeless.end()
	}
	if old == nil || old.Member != m || !h.discovered && h.discoveryOver(now) {
		h.publishMembers()
	}
	h.settleMembers(now)
}

// recordRestart records whether the process of a VM that hears this leader has had lists of
// this term only. Once all VMs that may have acted before have such processes, nobody acts
// under an earlier list. The caller holds h.mu.
func (h *Hub) recordRestart(req *fleetpb.FollowRequest, id topo.VMID) {
	if h.restarted == nil || req.GetMemberlessMs() == 0 && topo.Term(req.GetFirstListTerm()) != h.membersVersion.Term {
		return
	}
	h.restarted[id] = true
	if len(h.restarted) >= h.earlierMembers {
		h.registry.AllRestarted()
	}
}

// hearsLeader reports whether a VM has recently received a response of this leader in
// its term. Another VM does not become or stay a member, since it may not hear the
// leader although its calls arrive. The caller holds h.mu.
func (h *Hub) hearsLeader(req *fleetpb.FollowRequest, term topo.Term) bool {
	return topo.Term(req.GetTerm()) == term && req.GetAnsweredMs() > 0 && millis(req.GetAnsweredMs()) <= h.memberTTL()
}

// recordCall records which list a VM has. The caller holds h.mu.
func (h *Hub) recordCall(req *fleetpb.FollowRequest, now time.Time, c membership.Call) {
	if len(req.GetListVms()) > 0 {
		vms := make([]topo.VMID, 0, len(req.GetListVms()))
		for _, vm := range req.GetListVms() {
			vms = append(vms, topo.VMID(vm))
		}
		h.registry.SetEarlier(c.List, vms)
	}
	h.registry.Called(now, c)
}

func decodeList(v *fleetpb.ListVersion) topo.ListVersion {
	return topo.ListVersion{Term: topo.Term(v.GetTerm()), Number: v.GetNumber()}
}

func encodeList(v topo.ListVersion) *fleetpb.ListVersion {
	if v == (topo.ListVersion{}) {
		return nil
	}
	return &fleetpb.ListVersion{Term: uint64(v.Term), Number: v.Number}
}

// HomelessSince returns the time since which no VM but this one can have been home of
// the customers whose home it is; zero if that is not known.
func (h *Hub) HomelessSince() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.homeless.since(h.self.VM, "")
}
