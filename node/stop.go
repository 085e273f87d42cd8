package node

import (
	"context"
	"time"
)

const (
	// balancerDelay is how long the platform may send new callers after this
	// VM said that it is not ready: two checks, a second apart, and their
	// way.
	balancerDelay = 2600 * time.Millisecond
	// killMargin is kept of the time until SIGKILL.
	killMargin = 500 * time.Millisecond
	// refuseMargin is the time before SIGKILL at which requests that still wait
	// for a server are refused, so that their callers get an answer.
	refuseMargin = 1500 * time.Millisecond
	// stopPollInterval is how often a stopping VM looks whether it may end.
	stopPollInterval = 50 * time.Millisecond
)

// stop ends the work without cutting a request: no new callers, the lease
// given back, each answer the last of its connection, then idle connections
// closed.
func (n *Node) stop(ctx context.Context) {
	begin := time.Now()
	n.stopping.Store(true)
	n.log.Event("stopping").Int("connections", n.ingress.OpenConnections()).Send()
	n.ingress.Drain()
	if _, leads := n.lease.Leads(); leads {
		settled := n.assigner.Settle(ctx)
		n.log.Event("settled").Bool("settled", settled).Send()
		n.lease.Resign(settled)
	} else {
		n.lease.Resign(false)
	}
	pause(ctx, min(balancerDelay, n.bounds().StopWithin/2))
	_ = n.callerLis.Close()
	n.ingress.CloseIdle()
	wait, cancel := context.WithDeadline(ctx, begin.Add(n.bounds().StopWithin-killMargin))
	defer cancel()
	refuse := time.AfterFunc(time.Until(begin.Add(n.bounds().StopWithin-refuseMargin)), n.forward.RefuseWaiting)
	defer refuse.Stop()
	for n.ingress.OpenConnections() > 0 && wait.Err() == nil {
		pause(wait, stopPollInterval)
		n.ingress.CloseIdle()
	}
	if open := n.ingress.OpenConnections(); open > 0 {
		n.log.Event("connections_cut").Int("connections", open).Send()
	}
	for _, lis := range []interface{ Close() error }{n.readyLis, n.metricsLis} {
		_ = lis.Close()
	}
	n.grpc.Stop()
	n.peers.Close()
}
