package placement

import (
	"fmt"
	"testing"
	"time"

	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/topo"
)

// BenchmarkPlan measures the planning that the leader does every 400 ms, for
// services of different sizes with uneven load.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{34, 375, 1500} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			load, servers, table := newUnevenService(n)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				Plan(load, servers, table)
			}
		})
	}
}

// newUnevenService returns a service of n servers with two service times and
// two ranges each, in which some neighbouring keys are hot.
func newUnevenService(n int) (*Load, []Server, []Range) {
	load := NewLoad()
	var servers []Server
	speeds := []float64{0.7, 0.7, 1.6}
	for i := range n {
		id := topo.ServerID(fmt.Sprintf("server-%04d", i))
		servers = append(servers, Server{ID: id, Slots: 6})
		load.RecordResponses(id, 1000, time.Duration(float64(500*time.Millisecond)*speeds[i%3]))
	}
	for k := range keyrange.KeyCount {
		rate := 2100.0 / keyrange.KeyCount
		if k > 32000 && k < 32640 {
			rate *= 8
		}
		load.addRate(keyrange.Key(k), rate*float64(n)/375)
	}
	var table []Range
	for i, r := range oneRangeEach(servers) {
		mid := r.First + (r.Last-r.First)/2
		table = append(table, Range{First: r.First, Last: mid, Owner: r.Owner},
			Range{First: mid + 1, Last: r.Last, Owner: servers[(i*7+3)%n].ID})
	}
	return load, servers, table
}
