package forward

import (
	"context"
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/ingress"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// retryAfterShare is the largest part of a caller's time left after which the caller
// is told to return. Callers return by then in any case.
const retryAfterShare = 1.0 / 3

// awaitPause waits for the end of the pause of the only server that owns the
// request's key, or of the first one of a service without keys if all of its servers
// want a pause. It refuses the request at once if it could not be prompt after the
// wait: another VM, to which the caller may return, need not pause.
func (f *Forwarder) awaitPause(ctx context.Context, snap *view.Snapshot, r *request, owner topo.ServerID) *refusal {
	pause := f.pauseOf(snap, r, owner)
	if pause <= 0 {
		return nil
	}
	left := time.Until(r.deadline)
	if !waitsForPause(pause, left, r.route.Objective, time.Since(r.Arrived)) {
		retryAfter := min(max(pause, defaultRetryAfter), time.Duration(float64(left)*retryAfterShare))
		return &refusal{errkind.ServerPaused, max(retryAfter, 0), "server wants no requests from this VM for " + pause.Round(time.Millisecond).String()}
	}
	f.event("await_pause", r).Str("server", string(owner)).Dur("pause_ms", pause).Send()
	r.Progress.SetStage(ingress.WaitingForSlot)
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return errTryAgain
	case <-ctx.Done():
		return &refusal{errkind.ServerPaused, defaultRetryAfter, cancelled(ctx, "while its server wanted a pause")}
	}
}

// pauseOf returns how long the request must not be sent to the owner of its key. For
// a service without keys it sets r.paused, and returns the shortest pause if all
// servers want one.
func (f *Forwarder) pauseOf(snap *view.Snapshot, r *request, owner topo.ServerID) time.Duration {
	now := clock.Boot()
	if r.service.Keyed {
		if s := snap.Servers[owner]; s != nil {
			return f.Pauses.Left(s.Incarnation(), now)
		}
		return 0
	}
	servers, shortest := snap.ServersOf(r.service.Name), time.Duration(0)
	for _, s := range servers {
		left := f.Pauses.Left(s.Incarnation(), now)
		if left <= 0 {
			continue
		}
		r.paused = append(r.paused, s.ID)
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	if len(r.paused) < len(servers) {
		return 0
	}
	return shortest
}

// waitsForPause reports whether a request waits for the end of a pause: it must be
// able to start early enough to be prompt, or, on a route without an objective,
// before its deadline. waited is the time since it arrived, left the time until its
// deadline.
func waitsForPause(pause, left, objective, waited time.Duration) bool {
	latest := time.Duration(float64(left) * slotWaitShare)
	if objective > 0 {
		latest = min(latest, (objective-waited)/2)
	}
	return pause < latest
}
