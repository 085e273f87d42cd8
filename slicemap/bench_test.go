package slicemap

import (
	"fmt"
	"testing"

	"godwitlock.example/godwitlock/topo"
)

var benchSizes = []struct {
	slices  uint32
	servers int
}{{16_384, 35}, {131_072, 75}, {1_000_000, 20_000}}

// addHotKeys returns a copy of t with the maximum of 256 hot keys.
func addHotKeys(t *Table) *Table {
	b := NewBuilder(t)
	for i := range MaxHot {
		b.SetHot("ledger", i, Hot{Key: fmt.Sprint("hot-", i), Entry: Entry{Owner: 1, Next: NoOwner, Phase: Serving}})
	}
	t, _ = b.Build(Version{Term: 1, Seq: 2})
	return t
}

func benchKeys() []string {
	keys := make([]string, 4096)
	for i := range keys {
		keys[i] = fmt.Sprintf("customer-%d/device-%d", i%8, i*7919)
	}
	return keys
}

// BenchmarkLookup measures a look-up in the published snapshot with 256 hot keys.
// The goal is less than 300 ns without allocation, independent of the number of
// slices.
func BenchmarkLookup(b *testing.B) {
	keys := benchKeys()
	for _, size := range benchSizes {
		h := NewHolder()
		if err := h.Store(addHotKeys(newTestTable(size.slices, size.servers))); err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("slices=", size.slices), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if r, ok := h.Load().Lookup("ledger", keys[i&4095]); !ok || r.Server == nil {
					b.Fatal("no owner")
				}
			}
		})
		b.Run(fmt.Sprintf("slices=%d/parallel", size.slices), func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					h.Load().Lookup("ledger", keys[i&4095])
				}
			})
		})
	}
}

// BenchmarkDelta measures building, encoding, decoding and applying the delta of one
// moved slice, and reports the sizes of the delta and of a full copy.
func BenchmarkDelta(b *testing.B) {
	for _, size := range benchSizes {
		t := newTestTable(size.slices, size.servers)
		b.Run(fmt.Sprint("slices=", size.slices), func(b *testing.B) {
			b.ReportAllocs()
			n := 0
			for i := 0; b.Loop(); i++ {
				nb := NewBuilder(t)
				v := Version{Term: 1, Seq: 2}
				nb.SetEntry("ledger", topo.SliceID(i)%topo.SliceID(size.slices), Entry{Fence: v, Owner: 1, Next: NoOwner, Phase: Serving})
				_, d := nb.Build(v)
				data := d.Encode(nil)
				n = len(data)
				got, err := DecodeDelta(data)
				if err == nil {
					_, err = t.Apply(got)
				}
				if err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(n), "delta-bytes")
			b.ReportMetric(float64(len(t.FullCopy().Encode(nil))), "full-bytes")
		})
	}
}
