package assigner

import (
	"fmt"
	"time"

	"godwitlock.example/godwitlock/grants"
	"godwitlock.example/godwitlock/topo"
)

// stepVM sends the control calls of a VM that are due and a heartbeat, if one is due
// or the reported state has changed.
func (sim *simulation) stepVM(v *simVM) {
	now := v.clock(sim.t)
	hb := Heartbeat{VM: v.info, BootID: fmt.Sprint(v.generation), Table: v.table.Load().Version(), Leaving: v.leaving}
	urgentState := fmt.Sprint(hb.Table.Term)
	for _, spec := range sim.service.Servers {
		m := v.machines[spec.ID]
		if m == nil {
			continue
		}
		if c, ok := m.Step(now, v.runCounts[spec.ID]); ok {
			sim.control(v, m, sim.byID[spec.ID], c)
		}
		if r, ok := m.Report(now); ok {
			hb.Servers = append(hb.Servers, ServerReport{Report: r, Rate: v.rates[spec.ID], HotKeys: v.hotKeys[spec.ID]})
			urgentState += fmt.Sprint(r)
		}
	}
	if now.Before(v.nextHeartbeatAt) && urgentState == v.urgentState {
		return
	}
	v.nextHeartbeatAt, v.urgentState = now.Add(HeartbeatInterval), urgentState
	v.seq++
	hb.Sequence = v.seq
	sim.heartbeat(v, now, hb)
}

func (sim *simulation) heartbeat(v *simVM, sent time.Time, hb Heartbeat) {
	a, cv := sim.controller, sim.controllerVM
	sim.send(&v.endpoint, &cv.endpoint, func() {
		r := a.Heartbeat(cv.clock(sim.t), hb)
		sim.tick(a, cv)
		if behind := a.Table(); !a.Rebuilding() && hb.Table.Less(behind.Version()) {
			sim.send(&cv.endpoint, &v.endpoint, func() { sim.sync(v, behind.FullCopy().Encode(nil), behind) })
		}
		if r.WantTable {
			sim.send(&cv.endpoint, &v.endpoint, func() {
				t := v.table.Load()
				sim.send(&v.endpoint, &cv.endpoint, func() { a.Adopt(cv.clock(sim.t), t) })
			})
		}
		sim.send(&cv.endpoint, &v.endpoint, func() {
			now := v.clock(sim.t)
			l := grants.VMLease{End: sent.Add(r.Lease), Term: r.Term, Required: r.Required, Rebuild: r.Rebuild}
			if l.Term >= v.lease.Term && now.Before(l.End) {
				v.lease = l
			}
			for _, m := range v.machines {
				m.SetVMLease(now, l)
			}
		})
	})
}

// control sends a control call to the server and returns its reply to the machine.
func (sim *simulation) control(v *simVM, m *grants.Machine, s *simServer, c grants.Call) {
	sim.send(&v.endpoint, &s.endpoint, func() {
		r := s.handle(sim.t, c, s.spec.ChecksGrants && !sim.faults.skipServerCheck)
		sim.send(&s.endpoint, &v.endpoint, func() { m.Reply(v.clock(sim.t), c.ID, r) })
	})
}

// owns reports whether the server may run requests of the slice now. For a server
// that doesn't check grants, this holds if any VM may send it such requests.
func (sim *simulation) owns(s *simServer, id topo.SliceID) bool {
	if s.down {
		return false
	}
	if s.spec.ChecksGrants {
		_, ok := s.held[id]
		return ok && s.clockMs(sim.t) < s.expires
	}
	for _, v := range sim.vms {
		if m, desired := v.machines[s.spec.ID], v.desired[s.spec.ID]; m != nil && desired != nil && !v.down {
			if _, ok := m.MaySend(v.clock(sim.t), id, desired.Entries[id].Fence); ok {
				return true
			}
		}
	}
	return false
}

// check records a violation for every slice and hot key with more than one owner.
func (sim *simulation) check() {
	for id := range topo.SliceID(sim.service.Slices + 4) {
		owners := ""
		n := 0
		for _, s := range sim.srvs {
			if sim.owns(s, id) {
				n++
				owners += " " + s.name
			}
		}
		if n > 1 {
			sim.violations = append(sim.violations, fmt.Sprintf("%s: slice %d has more than one owner:%s", sim.t, id, owners))
		}
	}
}
