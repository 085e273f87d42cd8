package node

import (
	"context"
	"time"
)

const (
	// balancerDelay is how long the platform's load balancer may still open new
	// connections after this VM reports that it is not ready: two health checks
	// 1 s apart, plus network latency.
	balancerDelay = 2600 * time.Millisecond
	// killMargin is the time before SIGKILL by which the graceful stop ends.
	killMargin = 500 * time.Millisecond
	// refuseMargin is the time before SIGKILL at which requests that still wait
	// for a server are refused, so that their callers get a response.
	refuseMargin = 1500 * time.Millisecond
	// stopPollInterval is how often a stopping VM checks for open connections.
	stopPollInterval = 50 * time.Millisecond
)

// stop shuts the node down and lets the requests in progress finish, as far as
// StopWithin permits. It makes each remaining response the last of its
// connection, releases the lease, stops accepting connections once balancerDelay
// has passed, and closes idle connections.
func (n *Node) stop(ctx context.Context) {
	begin := time.Now()
	// Each step is logged before it begins, so that the log of a process that was
	// killed shows in which one.
	step := func(name string) {
		n.log.Event("stop_step").Str("step", name).Dur("elapsed_ms", time.Since(begin)).
			Int("connections", n.ingress.OpenConnections()).Send()
	}
	n.stopping.Store(true)
	n.log.Event("stopping").Int("connections", n.ingress.OpenConnections()).Send()
	n.ingress.Drain()
	if _, leads := n.lease.Leads(); leads {
		step("settle")
		settled := n.assigner.Settle(ctx)
		n.log.Event("settled").Bool("settled", settled).Send()
		step("resign")
		n.lease.Resign(settled)
	} else {
		step("resign")
		n.lease.Resign(false)
	}
	step("await_balancer")
	pause(ctx, min(balancerDelay, n.bounds().StopWithin/2))
	step("close_listener")
	_ = n.callerLis.Close()
	step("close_idle")
	n.ingress.CloseIdle()
	waitCtx, cancel := context.WithDeadline(ctx, begin.Add(n.bounds().StopWithin-killMargin))
	defer cancel()
	refuse := time.AfterFunc(time.Until(begin.Add(n.bounds().StopWithin-refuseMargin)), func() {
		step("refuse_waiting")
		n.forward.RefuseWaiting()
	})
	defer refuse.Stop()
	step("await_connections")
	for n.ingress.OpenConnections() > 0 && waitCtx.Err() == nil {
		pause(waitCtx, stopPollInterval)
		n.ingress.CloseIdle()
	}
	if open := n.ingress.Open(); len(open) > 0 {
		n.recordCutConnections(open)
	}
	step("close_peers")
	for _, lis := range []interface{ Close() error }{n.readyLis, n.metricsLis} {
		_ = lis.Close()
	}
	n.grpc.Stop()
	n.peers.Close()
}
