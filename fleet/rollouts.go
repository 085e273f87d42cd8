package fleet

import (
	"time"

	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/rollout"
	"godwitlock.example/godwitlock/topo"
)

// Rollouts holds the roll-outs at the VM that leads or relays.
type Rollouts interface {
	// Report records what a VM reports to the leader of a term.
	Report(vm topo.VMID, term topo.Term, uses []*fleetpb.RolloutUse)
	// Learn records roll-outs that another VM knows to be reverted.
	Learn(reverted []*fleetpb.RolloutRight)
	// Version returns a number that changes with each change of which VMs should hear
	// at once.
	Version() uint64
	// Rights returns the rights of a process, with the time for which they are valid.
	// It returns false while this VM does not know all roll-outs.
	Rights(p rollout.Process) ([]rollout.Right, time.Duration, bool)
	// Held returns the targets that must not be used, as far as this VM knows.
	Held() map[topo.ServiceName]rollout.Limit
}

// RolloutFollower gets the rights of this VM's process.
type RolloutFollower interface {
	// Apply replaces the rights of the process.
	Apply(rights []rollout.Right)
	// Hold records the target of an order of which a relay has told.
	Hold(service topo.ServiceName, target string)
	// Reverted returns the roll-outs that this VM knows to be reverted.
	Reverted() map[topo.ServiceName]rollout.Right
}

// Numbers of the states of a roll-out in messages.
var rolloutStates = []rollout.State{1: rollout.Running, 2: rollout.Complete, 3: rollout.Reverted}

func encodeRolloutState(s rollout.State) uint32 {
	for i, state := range rolloutStates {
		if state == s {
			return uint32(i)
		}
	}
	return 0
}

// decodeRolloutState returns the state with a number. One that is not known counts as
// reverted, which allows nothing.
func decodeRolloutState(n uint32) rollout.State {
	if n == 0 || int(n) >= len(rolloutStates) {
		return rollout.Reverted
	}
	return rolloutStates[n]
}

// NotifyFollowers makes the calls that wait look whether they lack something.
func (h *Hub) NotifyFollowers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notifyFollowers()
}

func (h *Hub) lacksRollouts(req *fleetpb.FollowRequest, term topo.Term) bool {
	return h.Rollouts != nil && topo.Term(req.GetTerm()) == term && h.Rollouts.Version() != req.GetRolloutsVersion()
}

func (h *Hub) fillRollouts(out *fleetpb.FollowResponse, req *fleetpb.FollowRequest) {
	if h.Rollouts == nil {
		return
	}
	version := h.Rollouts.Version()
	rights, ttl, known := h.Rollouts.Rights(rollout.Process{VM: req.GetVm(), Boot: req.GetBoot()})
	out.RolloutsVersion, out.RolloutsKnown = version, known
	if !known {
		h.relayRollouts(out)
		return
	}
	for _, r := range rights {
		out.Rollouts = append(out.Rollouts, &fleetpb.RolloutRight{
			Service: string(r.Service), Target: r.Target, Number: r.Number, State: encodeRolloutState(r.State), Mode: uint32(r.Mode),
			Share: r.Share, Granted: r.Granted, TtlMs: ttl.Milliseconds(), Barred: r.Barred,
		})
	}
}

// relayRollouts adds the targets that must not be used.
func (h *Hub) relayRollouts(out *fleetpb.FollowResponse) {
	if h.Rollouts == nil {
		return
	}
	for service, l := range h.Rollouts.Held() {
		out.Rollouts = append(out.Rollouts, &fleetpb.RolloutRight{Service: string(service), Target: l.Target})
	}
}

// applyRollouts applies the rights in a response to a call that was sent at the given
// time. It is called before the servers of the response are applied, so that no server
// of a target is used before its limit is known.
func (f *Follower) applyRollouts(resp *fleetpb.FollowResponse, sent time.Time) {
	if f.Rollouts == nil {
		return
	}
	f.recordRollouts(resp)
	if !resp.GetRolloutsKnown() {
		for _, r := range resp.GetRollouts() {
			f.Rollouts.Hold(topo.ServiceName(r.GetService()), r.GetTarget())
		}
		return
	}
	term := topo.Term(resp.GetTerm())
	f.mu.Lock()
	outdated := term < f.rolloutsTerm
	f.rolloutsTerm = max(term, f.rolloutsTerm)
	f.mu.Unlock()
	if outdated {
		return
	}
	list := make([]rollout.Right, 0, len(resp.GetRollouts()))
	for _, r := range resp.GetRollouts() {
		list = append(list, rollout.Right{
			Service: topo.ServiceName(r.GetService()), Target: r.GetTarget(), Number: r.GetNumber(), Term: term,
			State: decodeRolloutState(r.GetState()), Mode: rollout.Mode(r.GetMode()), Share: r.GetShare(), Granted: r.GetGranted(),
			Until: sent.Add(millis(r.GetTtlMs())), Barred: r.GetBarred(),
		})
	}
	f.Rollouts.Apply(list)
}

// recordRollouts records the version of the roll-outs of a leader that has answered,
// whether or not it knows them all yet.
func (f *Follower) recordRollouts(resp *fleetpb.FollowResponse) {
	if !resp.GetLeads() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rolloutsVersion = resp.GetRolloutsVersion()
}

func encodeReverted(list map[topo.ServiceName]rollout.Right) []*fleetpb.RolloutRight {
	var out []*fleetpb.RolloutRight
	for service, r := range list {
		out = append(out, &fleetpb.RolloutRight{Service: string(service), Target: r.Target, Number: r.Number, State: encodeRolloutState(rollout.Reverted)})
	}
	return out
}
