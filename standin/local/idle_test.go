package local

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// idleDocument returns a document with one keyed service, whose n servers are
// spread over three data centres.
func idleDocument(n int) []byte {
	var b strings.Builder
	for _, dc := range []string{"dc-a", "dc-b", "dc-c"} {
		fmt.Fprintf(&b, "[[data_centre]]\nname = %q\n", dc)
	}
	b.WriteString("[[service]]\nname = \"ledger\"\nkind = \"keyed\"\nchecks_grants = true\nserver = [\n")
	for i := range n {
		addrs, err := freeAddrs(1)
		if err != nil {
			panic(err)
		}
		fmt.Fprintf(&b, "{ id = \"ledger-%02d\", data_centre = \"dc-%c\", addr = %q, slots = 3, max_conns = 16 },\n", i+1, 'a'+rune(i%3), addrs[0])
	}
	b.WriteString("]\n[[route]]\npath = \"/ledger/\"\nmethods = [\"GET\"]\nservice = \"ledger\"\nkey_segment = 2\nidempotent = true\nopen_to_all = true\n")
	return []byte(b.String())
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdleControl measures the cost of control traffic while no caller
// sends requests: bytes and calls between VMs (at the busiest VM, and the mean
// for bytes), CPU time and heap of the whole process (daemons and stand-ins)
// per VM, and calls to the store. It runs for a fixed time, whatever b.N is.
func BenchmarkIdleControl(b *testing.B) {
	const measured, settle = 5 * time.Second, 12 * time.Second
	for _, size := range []struct{ perDC, servers int }{{1, 15}, {2, 30}, {4, 60}} {
		b.Run(fmt.Sprintf("vms=%d/servers=%d", 3*size.perDC, size.servers), func(b *testing.B) {
			d, err := Start(Options{Environment: "idle", Document: idleDocument(size.servers), VMsPerDataCentre: size.perDC, Log: zerolog.Nop()})
			require.NoError(b, err)
			defer d.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			require.NoError(b, d.WaitReady(ctx))
			// In the first seconds, servers change their home VM until
			// the homes are balanced.
			time.Sleep(settle)
			before, calls := make([]uint64, len(d.VMs)), make([]uint64, len(d.VMs))
			for i, vm := range d.VMs {
				before[i], calls[i] = vm.Daemon.Traffic().Control.Load(), vm.Daemon.Traffic().ControlCalls.Load()
			}
			cpu, counts := cpuTime(), d.Platform.Counts()
			time.Sleep(measured)
			cpu = cpuTime() - cpu
			after := d.Platform.Counts()
			var busiest, sum, busiestCalls uint64
			for i, vm := range d.VMs {
				n := vm.Daemon.Traffic().Control.Load() - before[i]
				busiest, sum = max(busiest, n), sum+n
				busiestCalls = max(busiestCalls, vm.Daemon.Traffic().ControlCalls.Load()-calls[i])
			}
			runtime.GC()
			var mem runtime.MemStats
			runtime.ReadMemStats(&mem)
			b.ReportMetric(float64(mem.HeapAlloc)/1e6/float64(len(d.VMs)), "heap-MB/VM")
			seconds := measured.Seconds()
			b.ReportMetric(float64(busiest)/seconds, "B/s-busiest")
			b.ReportMetric(float64(busiestCalls)/seconds, "calls/s-busiest")
			b.ReportMetric(float64(sum)/seconds/float64(len(d.VMs)), "B/s-mean")
			b.ReportMetric(100*cpu.Seconds()/seconds/float64(len(d.VMs)), "%core/VM")
			b.ReportMetric(float64(after.Reads()-counts.Reads())/seconds, "store-reads/s")
			b.ReportMetric(float64(after.Writes()-counts.Writes())/seconds, "store-writes/s")
		})
	}
}
