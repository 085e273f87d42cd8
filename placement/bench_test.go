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

// BenchmarkHotSet measures what the leader does every 100 ms while a hot set of keys
// appears in a service of 154 servers and about 2,000 ranges: the averages, the state and
// the moves.
func BenchmarkHotSet(b *testing.B) {
	for _, hot := range []float64{0, 440} {
		b.Run(fmt.Sprintf("hot=%.0f", hot), func(b *testing.B) {
			load := NewLoad()
			var servers []Server
			for i := range 154 {
				id := topo.ServerID(fmt.Sprintf("server-%04d", i))
				servers = append(servers, Server{ID: id, Slots: 6})
				load.RecordResponses(id, 1000, 370*time.Millisecond*time.Duration(10+i%8)/13)
			}
			var table []Range
			const width = keyrange.KeyCount / 2000
			for first := 0; first < keyrange.KeyCount; first += width {
				last := min(first+width, keyrange.KeyCount) - 1
				table = append(table, Range{First: keyrange.Key(first), Last: keyrange.Key(last), Owner: servers[first/width*7%154].ID})
			}
			for _, s := range []*keyRates{&load.longTerm, &load.shortTerm, &load.fast} {
				s.decay(time.Hour) // the averages are complete
			}
			for k := range keyrange.KeyCount {
				load.addRate(keyrange.Key(k), (979-hot)/keyrange.KeyCount)
			}
			for k := range 200 {
				load.addRate(keyrange.Key(9000+k), hot/200)
			}
			moves := 0
			b.ReportAllocs()
			for i := range b.N {
				load.Decay(start.Add(time.Duration(i) * time.Nanosecond))
				moves = len(Relieve(load, servers, table))
			}
			b.ReportMetric(float64(moves), "moves")
		})
	}
}
