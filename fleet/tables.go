package fleet

import (
	"github.com/juju/errors"

	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/topo"
)

// maxLoggedChanges bounds the number of changed ranges that a leader keeps for
// followers that lag behind. Followers that lag further get complete tables.
const maxLoggedChanges = 4096

// tableChange is a range of a service's table that changed at a version.
type tableChange struct {
	version uint64
	service topo.ServiceName
	keyrange.Range
}

// tableLog holds the tables of a leader and the log of their latest changes.
type tableLog struct {
	tables  map[topo.ServiceName]*keyrange.Table
	changes []tableChange
	// completeSince is the oldest version after which changes holds every change.
	completeSince uint64
}

func newTableLog() *tableLog { return &tableLog{} }

// add records tables under a version.
func (l *tableLog) add(version uint64, tables map[topo.ServiceName]*keyrange.Table) {
	if l.tables == nil {
		l.completeSince = version
	}
	for name, t := range tables {
		if l.tables != nil && l.tables[name] == nil {
			// Changes apply to a table that the follower has, and no follower has
			// this one yet: send complete tables.
			l.changes, l.completeSince = nil, version
		}
		for _, r := range t.Changed(l.tables[name]) {
			l.changes = append(l.changes, tableChange{version, name, r})
		}
	}
	l.tables = tables
	if len(l.changes) > maxLoggedChanges {
		dropped := len(l.changes) - maxLoggedChanges/2
		l.completeSince = l.changes[dropped-1].version
		l.changes = append(l.changes[:0], l.changes[dropped:]...)
	}
}

// since returns the ranges that changed after a version. When the log does not
// reach back that far, it returns complete tables and true.
func (l *tableLog) since(version uint64) (tables []*fleetpb.KeyTable, all bool) {
	if version < l.completeSince {
		for name, t := range l.tables {
			tables = append(tables, encodeKeyTable(name, t.Ranges))
		}
		return tables, true
	}
	ranges := make(map[topo.ServiceName][]keyrange.Range)
	for _, c := range l.changes {
		if c.version > version {
			ranges[c.service] = append(ranges[c.service], c.Range)
		}
	}
	for name, list := range ranges {
		tables = append(tables, encodeKeyTable(name, list))
	}
	return tables, false
}

func encodeKeyTable(name topo.ServiceName, ranges []keyrange.Range) *fleetpb.KeyTable {
	out := &fleetpb.KeyTable{Service: string(name)}
	index := make(map[topo.ServerID]uint32)
	for _, r := range ranges {
		i, ok := index[r.Server]
		if !ok {
			i = uint32(len(out.Owners))
			index[r.Server] = i
			out.Owners = append(out.Owners, string(r.Server))
		}
		out.First, out.Last = append(out.First, uint32(r.First)), append(out.Last, uint32(r.Last))
		out.Owner, out.State = append(out.Owner, i), append(out.State, uint32(r.State))
	}
	return out
}

// decodeRanges decodes and validates the ranges of a message. They have no
// fences, which the leader does not send.
func decodeRanges(m *fleetpb.KeyTable) ([]keyrange.Range, error) {
	n := len(m.GetFirst())
	if len(m.GetLast()) != n || len(m.GetOwner()) != n || len(m.GetState()) != n {
		return nil, errors.Errorf("key table of service %q has columns of different lengths", m.GetService())
	}
	out := make([]keyrange.Range, 0, n)
	for i := range n {
		first, last, owner, state := m.GetFirst()[i], m.GetLast()[i], m.GetOwner()[i], m.GetState()[i]
		if first > last || last > uint32(keyrange.MaxKey) || int(owner) >= len(m.GetOwners()) || state > uint32(keyrange.Orphaned) {
			return nil, errors.Errorf("key table of service %q has invalid bounds, owner or state in range %d-%d", m.GetService(), first, last)
		}
		out = append(out, keyrange.Range{
			First: keyrange.Key(first), Last: keyrange.Key(last),
			Owner: keyrange.Owner{Server: topo.ServerID(m.GetOwners()[owner])}, State: keyrange.State(state),
		})
	}
	return out, nil
}

// mergeTables returns the known tables of a follower with the tables of a response
// applied. It fails on changes of a table that the follower does not have.
func mergeTables(known map[topo.ServiceName]*keyrange.Table, resp *fleetpb.FollowResponse) (map[topo.ServiceName]*keyrange.Table, error) {
	out := make(map[topo.ServiceName]*keyrange.Table)
	if !resp.GetAllRanges() {
		for name, t := range known {
			out[name] = t
		}
	}
	for _, m := range resp.GetTables() {
		ranges, err := decodeRanges(m)
		if err != nil {
			return nil, err
		}
		name := topo.ServiceName(m.GetService())
		if resp.GetAllRanges() {
			out[name] = &keyrange.Table{Service: name, Ranges: ranges}
			continue
		}
		t := out[name]
		if t == nil {
			return nil, errors.Errorf("received changes of key table %q, which this VM does not have", name)
		}
		out[name] = t.Overlay(ranges)
	}
	return out, nil
}
