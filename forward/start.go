package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"godwitlock.example/godwitlock/ingress"
	"godwitlock.example/godwitlock/view"
)

// awaitConfig returns the current snapshot. On a VM that has just started, it waits
// for the first configuration: most callers that a loss of all VMs sends to new
// connections come back before it is there, and retry only once or twice.
func (f *Forwarder) awaitConfig(ctx context.Context, in *ingress.Request) *view.Snapshot {
	snap := f.View.Snapshot()
	if snap.Routes != nil {
		return snap
	}
	timer := time.NewTimer(configWait(in))
	defer timer.Stop()
	for {
		changed := f.View.Changed()
		if snap = f.View.Snapshot(); snap.Routes != nil {
			return snap
		}
		select {
		case <-changed:
		case <-timer.C:
			return f.View.Snapshot()
		case <-f.stopCtx.Done():
			return snap
		case <-ctx.Done():
			return snap
		}
	}
}

// configWait returns how long a request waits for the first configuration.
func configWait(in *ingress.Request) time.Duration {
	if in.Deadline.IsZero() {
		return maxConfigWait
	}
	return min(maxConfigWait, time.Duration(float64(time.Until(in.Deadline))*configWaitShare))
}

// startRetryAfter returns the Retry-After of a VM without a configuration: between
// half and three halves of its mean, and a third of the caller's time left at most.
func startRetryAfter(in *ingress.Request) time.Duration {
	mean := meanStartRetryAfter
	if !in.Deadline.IsZero() {
		latest := time.Duration(float64(time.Until(in.Deadline)) * retryAfterShare)
		mean = max(min(mean, latest*2/3), defaultRetryAfter)
	}
	return mean/2 + rand.N(mean)
}
