package directory

import "godwitlock.example/godwitlock/topo"

// MarkLeaving records that an incarnation of a server said of itself that it
// leaves. It is not usable from then on, whatever its entry says. MarkLeaving
// returns false if that was known, or if a later incarnation said so.
func (d *Directory) MarkLeaving(id topo.Incarnation) bool {
	if m, ok := d.leaving[id.Server]; ok && m.startedAtMs >= id.StartedAtMs {
		return false
	}
	if len(d.leaving) >= maxLeavingMarks {
		d.evictLeavingMarks()
	}
	d.version++
	d.leaving[id.Server] = leavingMark{startedAtMs: id.StartedAtMs, version: d.version}
	return true
}

func (d *Directory) evictLeavingMarks() {
	for server := range d.leaving {
		if d.servers[server] == nil {
			delete(d.leaving, server)
		}
	}
	for server := range d.leaving {
		if len(d.leaving) < maxLeavingMarks {
			return
		}
		delete(d.leaving, server)
	}
}

// IsLeaving reports whether an incarnation of a server said that it leaves.
func (d *Directory) IsLeaving(id topo.Incarnation) bool {
	m, ok := d.leaving[id.Server]
	return ok && m.startedAtMs == id.StartedAtMs
}

// LeavingSince returns the incarnations that became known as leaving after the
// given version of the directory, in no particular order. Servers without an entry
// are left out.
func (d *Directory) LeavingSince(version uint64) []topo.Incarnation {
	var out []topo.Incarnation
	for server, m := range d.leaving {
		if s := d.servers[server]; m.version > version && s != nil && s.StartedAtMs == m.startedAtMs {
			out = append(out, topo.Incarnation{Server: server, StartedAtMs: m.startedAtMs})
		}
	}
	return out
}
