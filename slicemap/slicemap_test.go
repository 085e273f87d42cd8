package slicemap

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/topo"
)

// newTestTable returns a table with one keyed service whose n slices are assigned
// evenly to the servers.
func newTestTable(n uint32, servers int) *Table {
	b := NewBuilder(Empty())
	b.AddService("ledger", topo.Keyed, n)
	for i := range servers {
		b.SetServer("ledger", uint16(i), Server{ID: topo.ServerID(fmt.Sprint("s", i)), Addr: fmt.Sprintf("10.0.0.%d:80", i),
			DataCentre: "lisbon-1", Slots: 3, MaxConns: 130, State: ServerServing, ChecksGrants: true,
			Home: topo.VMID(fmt.Sprint("vm", i%12)), HomeAddr: "10.0.1.1:7000", HomeSince: Version{Term: 1, Seq: 1}})
	}
	for i := range n {
		b.SetEntry("ledger", topo.SliceID(i), Entry{Fence: Version{Term: 1, Seq: 1}, Owner: uint16(int(i) % servers),
			Next: NoOwner, Phase: Serving})
	}
	t, _ := b.Build(Version{Term: 1, Seq: 1})
	return t
}

// randomChange applies one random change to t and returns the new table and the
// delta.
func randomChange(rng *rand.Rand, t *Table) (*Table, *Delta) {
	b := NewBuilder(t)
	v := Version{Term: t.Version().Term, Seq: t.Version().Seq + 1}
	e := Entry{Fence: v, Owner: uint16(rng.Intn(5)), Next: uint16(rng.Intn(5)), Phase: Draining}
	switch rng.Intn(4) {
	case 0:
		b.SetEntry("ledger", topo.SliceID(rng.Intn(4096)), Entry{Fence: v, Owner: NoOwner, Next: e.Next})
	case 1:
		b.SetEntry("ledger", topo.SliceID(rng.Intn(4096)), e)
	case 2:
		b.SetHot("ledger", rng.Intn(4), Hot{Key: []string{"", "a", "b"}[rng.Intn(3)], Entry: e})
	default:
		i := uint16(rng.Intn(5))
		s := t.Service("ledger").Servers()[i]
		s.Releasing, s.ReleasingSince = !s.Releasing, v
		b.SetServer("ledger", i, s)
	}
	return b.Build(v)
}

// Guards against a hash that differs from the published FNV-1a and MurmurHash3
// functions, from which other programs compute the same mapping.
func TestHash(t *testing.T) {
	f := fnv.New64a()
	_, _ = f.Write([]byte("robe-4711"))
	require.Equal(t, mix(f.Sum64()), Hash("robe-4711"))
	require.Equal(t, Hash("robe-4711"), Hash([]byte("robe-4711")))
	// Published value of the finaliser, fmix64(1).
	require.Equal(t, uint64(0xb456bcfc34c2cb2c), mix(1))
	require.Equal(t, topo.SliceID(Hash("x")>>50), SliceOf(Hash("x"), 1<<14))
}

// Guards against a hash that maps short keys ending in a counter to few slices. The
// number of keys on each of 35 servers must stay within 5 standard deviations of the
// mean.
func TestKeysSpread(t *testing.T) {
	counts := make([]int, 35)
	for i := range 350_000 {
		counts[SliceOf(Hash(fmt.Sprint("device-", i)), 16384)%35]++
	}
	for i, n := range counts {
		require.InDelta(t, 10_000, n, 500, "server %d", i)
	}
}

// Guards against a look-up that ignores a hot key, returns the wrong owner or
// allocates memory.
func TestLookup(t *testing.T) {
	b := NewBuilder(newTestTable(4096, 5))
	b.SetHot("ledger", 2, Hot{Key: "hot", Entry: Entry{Fence: Version{Term: 1, Seq: 2}, Owner: 4, Next: NoOwner, Phase: Serving}})
	tab, _ := b.Build(Version{Term: 1, Seq: 2})
	r, ok := tab.Lookup("ledger", "hot")
	require.True(t, ok)
	require.Equal(t, topo.SliceID(4098), r.Slice)
	require.Equal(t, topo.ServerID("s4"), r.Server.ID)
	r, _ = tab.Lookup("ledger", "cold")
	require.Equal(t, SliceOf(Hash("cold"), 4096), r.Slice)
	require.Equal(t, topo.ServerID(fmt.Sprint("s", r.Slice%5)), r.Server.ID)
	_, ok = tab.Lookup("unknown", "hot")
	require.False(t, ok)
	s := tab.Service("ledger")
	require.Zero(t, testing.AllocsPerRun(100, func() { s.Lookup("hot"); s.Lookup("cold") }))
}

// Guards against deltas that lose a change, snapshots that change after publication,
// and a checksum that depends on the sequence of deltas rather than on the state.
func TestDeltasLeadToTheSameTable(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	src := newTestTable(4096, 5)
	h := NewHolder()
	require.NoError(t, h.Apply(src.FullCopy()))
	first, firstCopy := src, src.FullCopy()
	for range 500 {
		next, d := randomChange(rng, src)
		decoded, err := DecodeDelta(d.Encode(nil))
		require.NoError(t, err)
		require.NoError(t, h.Apply(decoded))
		src = next
	}
	require.Equal(t, src.FullCopy(), h.Load().FullCopy())
	require.Equal(t, firstCopy, first.FullCopy())
	full, err := DecodeDelta(src.FullCopy().Encode(nil))
	require.NoError(t, err)
	fresh, err := Empty().Apply(full)
	require.NoError(t, err)
	require.Equal(t, src.Checksum(), fresh.Checksum())
	require.Equal(t, src.lookupString("a"), fresh.lookupString("a"))
}

// lookupString formats the result of a look-up for comparison.
func (t *Table) lookupString(key string) string {
	r, _ := t.Lookup("ledger", key)
	return fmt.Sprint(r.Slice, r.Entry)
}

// Guards against applying a delta twice, out of order or to a table with another
// state, and against publishing an older table.
func TestApplyRefuses(t *testing.T) {
	rng := rand.New(rand.NewSource(2))
	t0 := newTestTable(4096, 5)
	t1, d1 := randomChange(rng, t0)
	t2, d2 := randomChange(rng, t1)
	reason := func(tab *Table, d *Delta) Reason {
		_, err := tab.Apply(d)
		var e *ApplyError
		require.True(t, errors.As(err, &e), "%v", err)
		return e.Reason
	}
	require.Equal(t, Gap, reason(t0, d2))
	require.Equal(t, Older, reason(t2, d1))
	require.Equal(t, Older, reason(t2, t1.FullCopy()))
	bad := *d1
	bad.Sum++
	require.Equal(t, Diverged, reason(t0, &bad))
	bad = *d1
	bad.Services = []ServiceDelta{{Name: "ledger", Kind: topo.Keyed, Slices: 4096,
		Entries: []EntryChange{{Slice: 1, Entry: Entry{Owner: 5, Next: NoOwner, Phase: Serving}}}}}
	require.Equal(t, Invalid, reason(t0, &bad))
	h := NewHolder()
	require.NoError(t, h.Store(t2))
	require.Error(t, h.Store(t1))
	require.Equal(t, t2, h.Load())
}

// Guards against a removed service that leaves entries or a part of the checksum in
// the table.
func TestRemoveService(t *testing.T) {
	base := newTestTable(64, 2)
	b := NewBuilder(base)
	b.AddService("patterns", topo.Pooled, 0)
	with, d := b.Build(Version{Term: 1, Seq: 2})
	require.Nil(t, base.Service("patterns"))
	b = NewBuilder(with)
	b.RemoveService("patterns")
	without, d2 := b.Build(Version{Term: 1, Seq: 3})
	require.Equal(t, base.Checksum(), without.Checksum())
	got, err := base.Apply(d)
	require.NoError(t, err)
	got, err = got.Apply(d2)
	require.NoError(t, err)
	require.Equal(t, []topo.ServiceName{"ledger"}, got.Services())
}

// Guards against input that makes the decoder or Apply panic, a checksum that differs
// from the applied delta's, and an encoding that does not survive a round trip.
func FuzzDecodeDelta(f *testing.F) {
	rng := rand.New(rand.NewSource(3))
	t0 := newTestTable(64, 5)
	f.Add(t0.FullCopy().Encode(nil))
	big := newTestTable(4096, 5)
	for range 5 {
		var d *Delta
		big, d = randomChange(rng, big)
		f.Add(d.Encode(nil))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := DecodeDelta(data)
		if err != nil {
			return
		}
		again, err := DecodeDelta(d.Encode(nil))
		require.NoError(t, err)
		require.Equal(t, d, again)
		if next, err := t0.Apply(d); err == nil {
			require.Equal(t, d.Sum, next.Checksum())
		}
	})
}
