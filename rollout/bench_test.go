package rollout

import (
	"fmt"
	"testing"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// BenchmarkJudge measures a judgement at the largest size: a service with 4 routes whose
// 87 servers of the target all have requests in 12 windows, after 228 windows with 5 of
// them.
func BenchmarkJudge(b *testing.B) {
	e := NewEvidence(time.Hour)
	now := time.Unix(1e6, 0)
	for w := range maxWindows {
		servers := 5
		if w >= maxWindows-12 {
			servers = 87
		}
		for route := range 4 {
			other := Cell{Route: fmt.Sprint(route), Good: 100, Bad: 1}
			other.Times[14] = 100
			e.Add(now, other)
			for s := range servers {
				c := Cell{Route: fmt.Sprint(route), Server: topo.ServerID(fmt.Sprint(s)), Good: 3}
				c.Times[14] = 3
				e.Add(now, c)
			}
		}
		now = now.Add(e.length)
	}
	for b.Loop() {
		e.Judge()
	}
}
