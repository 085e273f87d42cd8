package assigner

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"godwitlock.example/godwitlock/topo"
)

var benchSizes = []struct {
	servers int
	slices  uint32
}{{35, 16_384}, {1_000, 131_072}, {20_000, 1_000_000}}

// benchDirect returns a directDriver whose assigner has assigned all slices, and the
// heap size of the assigner and its table in bytes.
func benchDirect(b *testing.B, servers int, slices uint32) (*directDriver, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d := newDirectDriver(b, directSpec(servers, slices))
	runtime.GC()
	runtime.ReadMemStats(&after)
	return d, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkIdleTick measures a tick in which no decision is due.
func BenchmarkIdleTick(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("servers=%d/slices=%d", size.servers, size.slices), func(b *testing.B) {
			d, bytes := benchDirect(b, size.servers, size.slices)
			b.ReportAllocs()
			for b.Loop() {
				d.a.SetAuthority(d.now.Add(VMTTL))
				d.a.Tick(d.now)
			}
			b.ReportMetric(bytes/float64(size.slices), "heap-B/slice")
			b.ReportMetric(bytes/1e6, "heap-MB")
		})
	}
}

// BenchmarkLostServer measures the decision after the loss of one server. The
// return of the server is not measured.
func BenchmarkLostServer(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("servers=%d/slices=%d", size.servers, size.slices), func(b *testing.B) {
			d, _ := benchDirect(b, size.servers, size.slices)
			b.ReportAllocs()
			decided := time.Duration(0)
			n := 0
			for i := 0; b.Loop(); i++ {
				id := d.spec.Servers[i%size.servers].ID
				d.lost = map[topo.ServerID]bool{id: true}
				reports := d.reports()
				d.now = d.now.Add(directStep)
				d.a.SetAuthority(d.now.Add(VMTTL))
				d.seq++
				begin := time.Now()
				for v := range d.vms {
					vm := topo.VMID(fmt.Sprint("vm", v))
					d.a.Heartbeat(d.now, Heartbeat{VM: topo.VM{ID: vm, DataCentre: dcName(v)}, BootID: "1",
						Sequence: d.seq, Table: d.table.Version(), Servers: reports[vm]})
				}
				d.a.Tick(d.now)
				decided += time.Since(begin)
				n++
				d.table = d.a.Table()
				d.lost = nil
				d.run(2 * directStep)
			}
			b.ReportMetric(float64(decided.Microseconds())/float64(n), "decision-us/op")
		})
	}
}
