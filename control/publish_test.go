package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

// buildTables returns n tables, each with one more change, and the deltas
// between them.
func buildTables(n int) ([]*slicemap.Table, []*slicemap.Delta) {
	b := slicemap.NewBuilder(slicemap.Empty())
	b.AddService("ledger", topo.Keyed, 16)
	table, _ := b.Build(slicemap.Version{Term: 1, Seq: 1})
	tables, deltas := []*slicemap.Table{table}, []*slicemap.Delta{nil}
	for i := range n - 1 {
		b := slicemap.NewBuilder(tables[i])
		b.SetServer("ledger", uint16(i), slicemap.Server{ID: topo.ServerID(rune('a' + i)), State: slicemap.ServerServing})
		next, delta := b.Build(slicemap.Version{Term: 1, Seq: uint64(i + 2)})
		tables, deltas = append(tables, next), append(deltas, delta)
	}
	return tables, deltas
}

// Guards against a VM that misses an intermediate owner of a slice: the VM must
// receive every delta in order, or a full copy that is marked as such.
func TestPublisherSendsEveryDelta(t *testing.T) {
	tables, deltas := buildTables(5)
	p := newPublisher(config.NewView("e"), tables[0])
	for i := 1; i < len(tables); i++ {
		p.setTable(tables[i], deltas[i])
	}
	pos, seen := position{table: tables[1].Version()}, []slicemap.Version{}
	for {
		ev, after, _, ok := p.next(pos)
		require.True(t, ok)
		if after == pos {
			break
		}
		d, err := slicemap.DecodeDelta(ev.GetTable().GetData())
		require.NoError(t, err)
		require.False(t, d.Full())
		seen, pos = append(seen, d.To), after
	}
	require.Equal(t, []slicemap.Version{tables[2].Version(), tables[3].Version(), tables[4].Version()}, seen)

	ev, after, _, _ := p.next(position{table: slicemap.Version{Term: 1}})
	d, err := slicemap.DecodeDelta(ev.GetTable().GetData())
	require.NoError(t, err)
	require.True(t, d.Full(), "an unknown version needs a full copy")
	require.Equal(t, tables[4].Version(), after.table)
}

// Guards against configuration deltas that leave a gap, and against memory use
// that grows with the number of changes.
func TestPublisherMergesConfigDeltas(t *testing.T) {
	view := config.NewView("e")
	tables, _ := buildTables(1)
	p := newPublisher(view, tables[0])
	const n = 3 * maxRetainedDeltas
	for i := topo.Revision(0); i < n; i++ {
		key := config.DataCentreKey("e", "dc-a")
		value := []byte(`{"name":"dc-a","out":false,"by":"x","since":"2026-01-01T00:00:00Z"}`)
		d := config.Delta{From: i, To: i + 1, Events: []store.Event{{Object: store.Object{Key: key, Value: value, Version: uint64(i + 1), Revision: i + 1}}}}
		next, err := view.Apply(d)
		require.NoError(t, err)
		view = next
		p.setView(next, d)
	}
	require.LessOrEqual(t, len(p.configDeltas), maxRetainedDeltas)
	for _, have := range []topo.Revision{0, 1, n - 10, n - 1} {
		ev, _, _, _ := p.next(position{revision: have})
		d := decodeConfig(ev.GetConfig())
		require.EqualValues(t, n, d.To)
		require.True(t, d.From == 0 || d.From == have, "from %d for a VM at %d", d.From, have)
	}
}
