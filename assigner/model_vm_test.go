package assigner

import (
	"fmt"
	"time"

	"godwitlock.example/godwitlock/grants"
	"godwitlock.example/godwitlock/topo"
)

func (w *simulation) stepVM(v *modelVM) {
	now := v.clock(w.t)
	hb := Heartbeat{VM: v.info, BootID: fmt.Sprint(v.generation), Table: v.table.Load().Version(), Leaving: v.leaving}
	urgentState := fmt.Sprint(hb.Table.Term)
	for _, spec := range w.service.Servers {
		m := v.machines[spec.ID]
		if m == nil {
			continue
		}
		if c, ok := m.Step(now, v.runCounts[spec.ID]); ok {
			w.control(v, m, w.byID[spec.ID], c)
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
	w.heartbeat(v, now, hb)
}

func (w *simulation) heartbeat(v *modelVM, sent time.Time, hb Heartbeat) {
	a, cv := w.controller, w.controllerVM
	w.send(&v.endpoint, &cv.endpoint, func() {
		r := a.Heartbeat(cv.clock(w.t), hb)
		w.tick(a, cv)
		if behind := a.Table(); !a.Rebuilding() && hb.Table.Less(behind.Version()) {
			w.send(&cv.endpoint, &v.endpoint, func() { w.sync(v, behind.FullCopy().Encode(nil), behind) })
		}
		if r.WantTable {
			w.send(&cv.endpoint, &v.endpoint, func() {
				t := v.table.Load()
				w.send(&v.endpoint, &cv.endpoint, func() { a.Adopt(cv.clock(w.t), t) })
			})
		}
		w.send(&cv.endpoint, &v.endpoint, func() {
			now := v.clock(w.t)
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
func (w *simulation) control(v *modelVM, m *grants.Machine, s *modelServer, c grants.Call) {
	w.send(&v.endpoint, &s.endpoint, func() {
		r := s.handle(w.t, c, s.spec.ChecksGrants && !w.faults.skipServerCheck)
		w.send(&s.endpoint, &v.endpoint, func() { m.Reply(v.clock(w.t), c.ID, r) })
	})
}

// owns reports whether the server may run requests of the slice now. For a server
// that doesn't check grants, this holds if any VM may send it such requests.
func (w *simulation) owns(s *modelServer, id topo.SliceID) bool {
	if s.stopped {
		return false
	}
	if s.spec.ChecksGrants {
		_, ok := s.held[id]
		return ok && s.clockMs(w.t) < s.expires
	}
	for _, v := range w.vms {
		if m, desired := v.machines[s.spec.ID], v.desired[s.spec.ID]; m != nil && desired != nil && !v.stopped {
			if _, ok := m.MaySend(v.clock(w.t), id, desired.Entries[id].Fence); ok {
				return true
			}
		}
	}
	return false
}

// check records a violation for every slice and hot key with more than one owner.
func (w *simulation) check() {
	for id := range topo.SliceID(w.service.Slices + 4) {
		owners := ""
		n := 0
		for _, s := range w.servers {
			if w.owns(s, id) {
				n++
				owners += " " + s.name
			}
		}
		if n > 1 {
			w.violations = append(w.violations, fmt.Sprintf("%s: slice %d has more than one owner:%s", w.t, id, owners))
		}
	}
}
