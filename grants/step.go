package grants

import (
	"maps"
	"slices"
	"time"

	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// maxSlicesPerCall limits the size of one control call to about 64 KB of JSON.
const maxSlicesPerCall = 8192

// clockResolution is the resolution of the server's clock readings.
const clockResolution = time.Millisecond

// Step advances the machine and returns the next control call, if any. At most
// one call is outstanding at a time. Step must be called after every input, and
// at the time of NextWake at the latest.
func (m *Machine) Step(now time.Time, counter RequestCounter) (Call, bool) {
	if !m.isHome {
		return Call{}, false
	}
	if m.pending != nil && now.Sub(m.pending.sent) >= CallTimeout {
		m.CallFailed(m.pending.ID)
	}
	m.detectLoss(now, counter)
	m.recordDrained(counter)
	if m.desired.Server.Releasing && m.pending == nil && counter.Total() == 0 {
		m.released = true
	}
	if !m.leased(now) || m.pending != nil || m.released {
		return Call{}, false
	}
	c, ok := m.nextCall(now, counter)
	if !ok {
		return Call{}, false
	}
	return m.startCall(now, c)
}

// NextWake returns the time by which Step must be called even without a new
// input.
func (m *Machine) NextWake(now time.Time) time.Time {
	if m.pending != nil {
		return m.pending.sent.Add(CallTimeout)
	}
	if m.renewAt.After(now) {
		return m.renewAt
	}
	return now.Add(RenewInterval)
}

// detectLoss marks the server as lost if it did not answer before its lease
// lapsed. A server that doesn't check grants may run requests without a lease,
// so it counts as lost only when no request to it is in flight.
func (m *Machine) detectLoss(now time.Time, counter RequestCounter) {
	if m.lost || !m.leased(now) || now.Before(m.leaseUpperBound) || m.failures < 1 {
		return
	}
	silent, limit := now.Sub(m.silentSince), FirstContactTimeout
	if m.answered {
		silent, limit = min(silent, now.Sub(m.lastReading.received)), ServerTTL
	}
	if silent < limit || !m.desired.Server.ChecksGrants && counter.Total() > 0 {
		return
	}
	m.lost, m.lostAt = true, m.desired.Table.Version()
	m.claimsTerm, m.leaseLowerBound = 0, time.Time{}
	m.dropAcked()
	m.reconcileHeld()
}

// dropAcked removes the confirmed slices from held. It keeps the slices of
// unanswered grants, because such a grant may still arrive.
func (m *Machine) dropAcked() {
	maps.DeleteFunc(m.held, func(_ topo.SliceID, s *slice) bool { return s.acked })
}

// recordDrained records the drained slices of a server that doesn't check
// grants. This VM is the only sender, so a draining slice is drained as soon as
// no request for it is in flight.
func (m *Machine) recordDrained(counter RequestCounter) {
	if m.desired.Server.ChecksGrants {
		return
	}
	for id, e := range m.desired.Entries {
		if e.Phase == slicemap.Draining && counter.Running(id) == 0 {
			m.drained[id] = true
		}
	}
}

// nextCall returns the most urgent call, if any.
func (m *Machine) nextCall(now time.Time, counter RequestCounter) (Call, bool) {
	due := !now.Before(m.renewAt)
	stale := now.Sub(m.lastReading.received) > ServerTTL/2
	switch {
	case m.bootID == "" || m.claimsTerm != m.lease.Term || stale:
		return Call{Op: OpClaims}, due || !stale && !m.claimsRefused
	case m.rebuilding():
		return Call{Op: OpRenew}, due && len(m.foreign()) == 0
	}
	if ids := m.foreign(); len(ids) > 0 {
		return Call{Op: OpRevoke, Slices: ids}, true
	}
	if due {
		return Call{Op: OpRenew}, true
	}
	if ids := m.toRevoke(counter); len(ids) > 0 {
		return Call{Op: OpRevoke, Slices: ids}, true
	}
	ids := m.toGrant()
	return Call{Op: OpGrant, Slices: ids}, len(ids) > 0
}

func (m *Machine) foreign() []topo.SliceID {
	return pick(m.held, func(_ topo.SliceID, s *slice) bool { return s.foreign })
}

// toRevoke returns the draining slices without requests in flight. It includes
// slices that the server doesn't seem to hold, because a late grant from an
// earlier home VM may still arrive.
func (m *Machine) toRevoke(counter RequestCounter) []topo.SliceID {
	return pick(m.desired.Entries, func(id topo.SliceID, e slicemap.Entry) bool {
		return e.Phase == slicemap.Draining && !m.drained[id] && counter.Running(id) == 0
	})
}

func (m *Machine) toGrant() []topo.SliceID {
	return pick(m.desired.Entries, func(id topo.SliceID, e slicemap.Entry) bool {
		s := m.held[id]
		if e.Phase != slicemap.Serving || !m.assignedHere(id) {
			return false
		}
		return s == nil || !s.acked || s.fence.Less(e.Fence)
	})
}

// pick returns the wanted slices in ascending order, up to the number that fits
// into one call.
func pick[V any](m map[topo.SliceID]V, want func(topo.SliceID, V) bool) []topo.SliceID {
	var out []topo.SliceID
	for id, v := range m {
		if want(id, v) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out[:min(len(out), maxSlicesPerCall)]
}

// startCall fills in a call, updates held and leaseUpperBound on the assumption
// that the call takes effect, and makes it the outstanding call. It returns
// false if too little of this VM's lease remains for a server lease.
func (m *Machine) startCall(now time.Time, c Call) (Call, bool) {
	p := &pending{sent: now, drain: c.Op == OpRevoke && len(m.foreign()) == 0}
	v := m.desired.Table.Version()
	c.Term = m.lease.Term
	if c.Op == OpGrant || c.Op == OpRevoke {
		c.Seq = v.Seq
	}
	if c.Op != OpClaims {
		c.BootID = m.bootID
	}
	if c.Op == OpGrant || c.Op == OpRenew {
		ttl := m.ttl().Truncate(time.Millisecond)
		if ttl <= 0 {
			return Call{}, false
		}
		c.ExpiresMs = m.lastReading.clockMs + uint64(ttl/time.Millisecond)
		m.extendLeaseUpperBound(m.lastReading.received.Add(MaxLocal(ttl)))
		p.leaseLowerBound = m.lastReading.sent.Add(MinRemote(ttl) - clockResolution)
	}
	for _, id := range c.Slices {
		if c.Op == OpGrant {
			m.held[id] = &slice{fence: c.Fence()}
		} else if s := m.held[id]; s != nil {
			s.acked = false
		}
	}
	if c.Op == OpRenew || c.Op == OpClaims {
		m.renewAt = now.Add(RenewInterval)
	}
	m.nextID++
	c.ID = m.nextID
	p.Call = c
	m.pending = p
	return c, true
}

// ttl returns the length of a server lease that starts at the last clock
// reading, so that it ends before this VM's lease.
func (m *Machine) ttl() time.Duration {
	return min(ServerTTL, MinRemote(m.lease.End.Sub(m.lastReading.received)))
}

// CallFailed records that the call with this ID got no response. The call may
// still take effect. IDs of earlier calls are ignored.
func (m *Machine) CallFailed(id uint64) {
	if m.pending != nil && m.pending.ID == id {
		m.pending = nil
		m.failures++
	}
}

// Reply processes the response to the call with this ID. A response to an
// earlier call is ignored, and one that came after CallTimeout counts as a
// failed call.
func (m *Machine) Reply(now time.Time, id uint64, r Reply) {
	p := m.pending
	if p == nil || p.ID != id {
		return
	}
	m.pending = nil
	if now.Sub(p.sent) >= CallTimeout {
		m.failures++
		return
	}
	if m.bootID != "" && r.BootID != m.bootID {
		m.resetAfterReboot(now)
	}
	m.bootID = r.BootID
	m.lastReading = reading{r.ClockMs, p.sent, now}
	m.answered, m.failures, m.lost = true, 0, false
	if m.claimsRefused = !r.Accepted && p.Op == OpClaims; !r.Accepted {
		m.claimsTerm = 0
		return
	}
	m.applyAccepted(p, r)
}

// resetAfterReboot clears the state of the held slices and the lease, since a
// new server process holds nothing, and marks the server as cold.
func (m *Machine) resetAfterReboot(now time.Time) {
	clear(m.held)
	m.claimsTerm, m.leaseLowerBound, m.expiresMs = 0, time.Time{}, 0
	m.coldUntil = now.Add(ColdPeriod)
}

func (m *Machine) applyAccepted(p *pending, r Reply) {
	switch p.Op {
	case OpClaims:
		m.applyClaims(p.Term, r.Slices)
	case OpGrant:
		for _, id := range p.Slices {
			if s := m.held[id]; s != nil && s.fence == p.Fence() {
				s.acked = true
			}
		}
	case OpRevoke:
		for _, id := range p.Slices {
			if s := m.held[id]; s != nil && !p.Fence().Less(s.fence) {
				delete(m.held, id)
			}
			if p.drain && m.desired.Entries[id].Phase == slicemap.Draining {
				m.drained[id] = true
			}
		}
	}
	if p.leaseLowerBound.After(m.leaseLowerBound) {
		m.leaseLowerBound = p.leaseLowerBound
	}
	if p.Op != OpClaims {
		m.checkLapse(p, r)
	}
}

// checkLapse schedules a new OpClaims call if the server's lease may have
// lapsed before call p arrived. A server whose lease has lapsed drops all its
// slices and then may accept the grant of a single one. Without this check the
// others would count as held for as long as the lease is renewed.
func (m *Machine) checkLapse(p *pending, r Reply) {
	if r.ClockMs >= m.expiresMs {
		m.claimsTerm = 0
	}
	m.expiresMs = max(m.expiresMs, p.ExpiresMs)
}

// applyClaims replaces the confirmed slices with those that the server claims.
func (m *Machine) applyClaims(term topo.Term, claims []Claim) {
	m.claimsTerm = term
	m.dropAcked()
	for _, c := range claims {
		m.held[c.Slice] = &slice{fence: c.Fence, acked: true}
	}
	if len(claims) > 0 {
		// The lease of the claimed slices may have lapsed, so a renewal is due
		// at once.
		m.renewAt = m.lastReading.received
	}
	m.reconcileHeld()
	m.conflicting, m.missing = m.foreignClaims(claims), nil
	if m.rebuilding() {
		m.missing = pick(m.desired.Entries, func(id topo.SliceID, e slicemap.Entry) bool {
			return m.held[id] == nil && e.Phase == slicemap.Serving
		})
	}
}

// foreignClaims returns the claims with a higher fence than that of the table's
// entry, although the entry names another owner. They are reported for the rest
// of the term, even after their revocation, because the controller may not have
// resolved them yet.
func (m *Machine) foreignClaims(claims []Claim) []Claim {
	var out []Claim
	svc := m.desired.Table.Service(m.desired.Service)
	for _, c := range claims {
		if m.held[c.Slice].foreign && svc != nil && svc.Entry(c.Slice).Fence.Less(c.Fence) {
			out = append(out, c)
		}
	}
	return out
}

func sortedIDs[V any](s map[topo.SliceID]V) []topo.SliceID {
	return slices.Sorted(maps.Keys(s))
}
