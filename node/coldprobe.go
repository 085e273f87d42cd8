package node

import (
	"context"
	"time"

	"godwitlock.example/godwitlock/broker"
	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

const (
	// lateProbe is the time after which the answer to a probe is logged as late.
	lateProbe = 200 * time.Millisecond
	// coldProbeTimeout bounds a probe of a health path. Servers that report their load
	// answer at once; others may let the probe wait for a slot.
	coldProbeTimeout = time.Second
)

// coldProbe returns a function that asks a server how long it stays cold and gives the
// answer to b.
func (n *Node) coldProbe(b *broker.Broker) func(pool string, server topo.ServerID) {
	return func(pool string, id topo.ServerID) {
		snap := n.view.Snapshot()
		s := snap.Servers[id]
		if s == nil || snap.Routes == nil {
			return
		}
		svc := snap.Routes.Service(s.Service)
		if svc == nil {
			return
		}
		addr, path := s.Addr, svc.HealthPath
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), coldProbeTimeout)
			defer cancel()
			sent := clock.Boot()
			coldFor, err := n.platform.ColdFor(ctx, addr, path, id)
			took := clock.Boot().Sub(sent)
			result := "warm"
			switch {
			case err != nil:
				result = "no_answer"
				n.log.Event("cold_probe_failed").Str("server", string(id)).Dur("took_ms", took).Err(err).Send()
			case coldFor > 0:
				result = "cold"
				n.log.Event("server_cold").Str("server", string(id)).Dur("cold_ms", coldFor).Send()
			}
			if err == nil && took > lateProbe {
				n.log.Event("cold_probe_late").Str("server", string(id)).Dur("took_ms", took).Send()
			}
			n.metrics.Count("cold_probes", "result", result)
			b.Probed(pool, id, coldFor, err == nil)
		}()
	}
}

// warmBudget returns how many requests a server may get without a proof that it is warm, or
// 0 if the service or the settings bound none.
func (n *Node) warmBudget(snap *view.Snapshot, service topo.ServiceName) int {
	b := n.bounds()
	svc := snap.Routes.Service(service)
	if svc == nil || svc.ColdRate <= 0 || svc.HealthPath == "" || b.ColdSlack <= 0 {
		return 0
	}
	return permit.WarmBudget(svc.ColdRate, b.ColdOverrun, b.ColdSlack)
}
