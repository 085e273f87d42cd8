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
	// killMargin is the time before SIGKILL by which the graceful stop ends. It
	// covers the three steps that finalStepTimeout bounds.
	killMargin = 350 * time.Millisecond
	// abandonMargin is the time before SIGKILL at which requests that are still at
	// a server are answered with an unknown outcome. The answers that wait behind
	// them on their connections are delivered in the time until killMargin.
	abandonMargin = 600 * time.Millisecond
	// deliverTime is the least time that is left for that.
	deliverTime = 150 * time.Millisecond
	// refuseMargin is the time before SIGKILL at which requests that still wait
	// for a server are refused, so that their callers get a response. In a short
	// grace time they are refused at its half.
	refuseMargin = 1500 * time.Millisecond
	// lateDelay is the time after SIGTERM from which requests are refused that could
	// still be at a server abandonMargin before SIGKILL. By then the listener is
	// closed, so that such requests come from few callers.
	lateDelay = balancerDelay + maxAcceptTime
	// finalStepTimeout bounds each of the steps that follow the last response.
	// They wait for goroutines that may be blocked, such as the handshake of a
	// peer that sends nothing.
	finalStepTimeout = 100 * time.Millisecond
	// acceptQuiet is how long no connection may arrive before the listener is
	// closed, and maxAcceptTime bounds the wait for that.
	acceptQuiet, maxAcceptTime = 50 * time.Millisecond, 400 * time.Millisecond
	// stopPollInterval is how often a stopping VM checks for open connections.
	stopPollInterval = 50 * time.Millisecond
)

// stop shuts the node down and lets the requests in progress finish, as far as
// StopWithin permits. It closes each connection after the last response that it
// owes, releases the lease meanwhile, stops accepting connections once
// balancerDelay has passed, and closes idle connections. All time limits count from
// its call.
func (n *Node) stop(ctx context.Context) {
	begin, limit := time.Now(), n.bounds().StopWithin
	ctx, cancel := context.WithDeadline(ctx, begin.Add(limit-killMargin))
	defer cancel()
	// Each step is logged before it begins, so that the log of a process that was
	// killed shows in which one.
	step := func(name string) {
		n.log.Event("stop_step").Str("step", name).Dur("elapsed_ms", time.Since(begin)).
			Int("connections", n.ingress.OpenConnections()).Send()
	}
	n.stopping.Store(true)
	n.log.Event("stopping").Int("connections", n.ingress.OpenConnections()).
		Int64("answers_dropped", n.answersDropped.Load()).Send()
	n.ingress.Drain()
	late := time.AfterFunc(min(lateDelay, limit/2), func() {
		// It has an event of its own: the log bounds the lines of one event.
		n.log.Event("refuse_late").Dur("elapsed_ms", time.Since(begin)).Send()
		n.forward.RefuseLate(begin.Add(abandonAt(limit)))
	})
	defer late.Stop()
	refuse := time.AfterFunc(max(limit-refuseMargin, limit/2), func() {
		step("refuse_waiting")
		n.forward.RefuseWaiting()
	})
	defer refuse.Stop()
	abandon := time.AfterFunc(abandonAt(limit), func() {
		step("abandon_attempts")
		n.forward.AbandonAttempts()
	})
	defer abandon.Stop()
	released := make(chan struct{})
	go func() { defer close(released); n.releaseLease(ctx, step) }()
	step("await_balancer")
	pause(ctx, time.Until(begin.Add(min(balancerDelay, limit/2))))
	step("close_listener")
	n.stopAccepting(ctx)
	step("close_idle")
	n.ingress.CloseIdle()
	step("await_connections")
	for (n.ingress.Accepting() || n.ingress.OpenConnections() > 0) && ctx.Err() == nil {
		pause(ctx, stopPollInterval)
		n.ingress.CloseIdle()
	}
	if open := n.ingress.Open(); len(open) > 0 {
		n.recordCutConnections(open)
	}
	select {
	case <-released:
	case <-ctx.Done():
	}
	step("close_peers")
	for _, lis := range []interface{ Close() error }{n.readyLis, n.metricsLis} {
		_ = lis.Close()
	}
	within(finalStepTimeout, func() {
		n.grpc.Stop()
		n.peers.Close()
	})
}

// abandonAt returns the time after SIGTERM at which attempts are abandoned: in the last
// sixth of the grace time, in which the platform allows that, or as late as
// deliverTime permits if the grace time is too short for that.
func abandonAt(limit time.Duration) time.Duration {
	return max(limit-abandonMargin, min(limit*5/6, limit-killMargin-deliverTime))
}

// stopAccepting closes the listener after it has accepted the connections that
// wait in its queue.
func (n *Node) stopAccepting(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxAcceptTime)
	defer cancel()
	n.ingress.StopAccepting(ctx, n.callerLis, acceptQuiet)
}

// releaseLease gives up the leadership. It states that no order of this process can
// still take effect if the assigner confirms that in time.
func (n *Node) releaseLease(ctx context.Context, step func(name string)) {
	settled := false
	if _, leads := n.lease.Leads(); leads {
		step("settle")
		settled = n.assigner.Settle(ctx)
		n.log.Event("settled").Bool("settled", settled).Send()
	}
	step("resign")
	n.lease.Resign(settled)
}

// within calls f and waits for it to return, but at most for d. It reports whether f
// returned.
func within(d time.Duration, f func()) bool {
	done := make(chan struct{})
	go func() { defer close(done); f() }()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-done:
		return true
	case <-t.C:
		return false
	}
}
