package assigner

import (
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// recordKey identifies the changes that share an audit record.
type recordKey struct {
	service topo.ServiceName
	event   MoveEvent
	cause   Cause
	from    uint16
	to      uint16
}

// record adds the change of a slice or hot key to the audit records of the version
// under construction.
func (a *Assigner) record(s *service, ev MoveEvent, cause Cause, from, to uint16, id topo.SliceID) {
	hot := uint32(id) >= s.slices
	k := recordKey{s.name, ev, cause, from, to}
	i, ok := a.recordIndex[k]
	if !ok || hot {
		i = len(a.records)
		a.records = append(a.records, MoveRecord{At: a.now, Version: a.nextVersion(), Service: s.name, Event: ev,
			Cause: cause, From: s.serverName(from), To: s.serverName(to)})
		if !hot {
			a.recordIndex[k] = i
		}
	}
	r := &a.records[i]
	r.Slices = append(r.Slices, id)
	if hot {
		r.Key = a.builder.Service(s.name).Hot()[uint32(id)-s.slices].Key
	}
}

func (a *Assigner) recordHome(s *service, ev MoveEvent, srv topo.ServerID, from, to topo.VMID) {
	a.records = append(a.records, MoveRecord{At: a.now, Version: a.nextVersion(), Service: s.name, Event: ev,
		Cause: CauseHome, From: string(from), To: string(to), Server: srv})
}

func (s *service) serverName(i uint16) string {
	if i == slicemap.NoOwner || int(i) >= len(s.servers) {
		return ""
	}
	return string(s.servers[i].id)
}
