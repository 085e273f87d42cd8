package permit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/workload"
)

// BenchmarkOverload measures the cost of requests at the home VM of a pool whose
// queue is full. Each iteration finishes one request and offers two. With work=true,
// the work of all requests is known, and they have no customers.
func BenchmarkOverload(b *testing.B) {
	for _, c := range []struct {
		servers int
		work    bool
	}{{1, false}, {21, false}, {1, true}, {21, true}} {
		servers := c.servers
		b.Run(fmt.Sprintf("servers=%d/work=%v", servers, c.work), func(b *testing.B) {
			now := time.Unix(1000, 0)
			p := New(rand.New(rand.NewPCG(1, 2)), 1)
			var list []Server
			for i := range servers {
				list = append(list, Server{ID: topo.ServerID(fmt.Sprint("server-", i)), Slots: 3})
			}
			p.SetServers(now, list)
			var id uint64
			var running []uint64
			offer := func() {
				id++
				r := Request{
					ID: id, Customer: topo.CustomerID(fmt.Sprint("customer-", id%40)), Priority: int(id % 3),
					StartBy: now.Add(3400 * time.Millisecond), PromptBy: now.Add(500 * time.Millisecond), Lease: 4 * time.Second,
				}
				if c.work {
					r.Customer, r.Route = "", fmt.Sprint("route-", id%3)
					r.Work = workload.Estimate{Mean: time.Duration(100+id%5*50) * time.Millisecond, Deviation: 50 * time.Millisecond, Samples: 100}
					r.ObjectiveBy, r.AnswerBy = now.Add(time.Second), now.Add(4*time.Second)
				}
				d := p.Offer(now, r)
				if d.Verdict == Granted {
					running = append(running, id)
				}
			}
			for range 400 {
				offer()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(200 * time.Millisecond / time.Duration(3*servers))
				p.Finish(now, running[0], Result{ServiceTime: 200 * time.Millisecond})
				running = running[1:]
				for _, d := range p.Tick(now) {
					if d.Verdict == Granted {
						running = append(running, d.ID)
					}
				}
				offer()
				offer()
			}
		})
	}
}
