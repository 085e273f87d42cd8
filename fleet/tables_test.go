package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/topo"
)

// drawRange generates a range with an owner and a state.
func drawRange(t *rapid.T) keyrange.Range {
	first := rapid.Uint16().Draw(t, "first")
	return keyrange.Range{
		First: first, Last: first + rapid.Uint16Range(0, keyrange.MaxKey-first).Draw(t, "width"),
		Owner: keyrange.Owner{Server: topo.ServerID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server"))},
		State: rapid.SampledFrom([]keyrange.State{keyrange.Owned, keyrange.Moving}).Draw(t, "state"),
	}
}

// Guards against a VM that routes by a table that differs from the leader's after
// it has missed any number of versions.
func TestFollowersReachTheLeadersTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTableLog()
		table := (&keyrange.Table{Service: "s", NextFence: 1}).Assign(keyrange.Range{Last: keyrange.MaxKey, Owner: keyrange.Owner{Server: "a"}})
		l.add(1, map[topo.ServiceName]*keyrange.Table{"s": table})
		have := map[topo.ServiceName]*keyrange.Table{}
		known := uint64(0)
		for version := uint64(2); version < 2+uint64(rapid.IntRange(1, 12).Draw(t, "versions")); version++ {
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				table = table.Overlay([]keyrange.Range{drawRange(t)})
			}
			l.add(version, map[topo.ServiceName]*keyrange.Table{"s": table})
			if !rapid.Bool().Draw(t, "follows") {
				continue
			}
			resp := &fleetpb.FollowResponse{TableVersion: version}
			resp.Tables, resp.AllRanges = l.since(known)
			merged, err := mergeTables(have, resp)
			require.NoError(t, err)
			have, known = merged, version
			for _, r := range table.Ranges {
				for _, k := range []keyrange.Key{r.First, r.Last} {
					got, ok := have["s"].Find(k)
					require.True(t, ok)
					require.Equal(t, r.Server, got.Server)
					require.Equal(t, r.State, got.State)
				}
			}
		}
	})
}

// Guards against a malformed table from another VM that makes this process panic.
func TestMalformedTablesAreRefused(t *testing.T) {
	for name, m := range map[string]*fleetpb.KeyTable{
		"columns": {First: []uint32{0}, Last: []uint32{1}},
		"order":   {Owners: []string{"a"}, First: []uint32{2}, Last: []uint32{1}, Owner: []uint32{0}, State: []uint32{0}},
		"key":     {Owners: []string{"a"}, First: []uint32{0}, Last: []uint32{1 << 16}, Owner: []uint32{0}, State: []uint32{0}},
		"owner":   {Owners: []string{"a"}, First: []uint32{0}, Last: []uint32{1}, Owner: []uint32{1}, State: []uint32{0}},
	} {
		_, err := decodeRanges(m)
		require.Error(t, err, name)
	}
}
