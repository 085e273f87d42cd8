package permit

import (
	"math"
	"time"

	"godwitlock.example/godwitlock/topo"
)

const (
	// slowProbesToPause is the number of consecutive probes without a prompt answer
	// after which a server's warmth is not asked for during probePause: its health path
	// may wait for a slot. Its requests are not limited meanwhile.
	slowProbesToPause = 3
	probePause        = 30 * time.Second
	// probeLost is when a probe whose result was not reported counts as unanswered.
	probeLost = time.Second
	// maxDrift is the fraction by which a server's clock may run slow.
	maxDrift = 0.02
)

// WarmBudget returns how many requests a server may start between the send of a probe that
// found it warm and the answer to the next one, so that even a server which becomes cold
// in between gets at most coldRate*overrun + slack in any second: it gets these, then one
// at once and coldRate more.
func WarmBudget(coldRate, overrun, slack float64) int {
	return max(1, int(math.Floor(coldRate*(overrun-1)+slack-coldBurst)))
}

// warmth is what the probes of its home VM tell of a server. Entries of the store tell of a
// cold server as well, but not while the store is unavailable.
type warmth struct {
	// coldUntil is until when the last probe found the server cold.
	coldUntil time.Time
	// started counts the starts since the send of the last probe that found the server
	// warm, less coldRate per second up to drainedAt: a cold server may get that many in
	// any case. startedBefore is its value at the send of the present probe.
	started, startedBefore float64
	drainedAt              time.Time
	// probeSent is when the present probe was sent, zero if there is none.
	probeSent time.Time
	// answered says that the last probe was answered promptly, slow counts those before
	// it that were not.
	answered    bool
	slow        int
	pausedUntil time.Time
}

// unproved reports whether the server has started as many requests as it may without a
// proof that it is still warm. Until its first prompt answer, nothing shows that its health
// path can tell.
func (s *server) unproved(now time.Time) bool {
	w := &s.warmth
	return s.WarmBudget > 0 && w.answered && !now.Before(w.pausedUntil) && w.started >= float64(s.WarmBudget)
}

// probeAt is the part of the budget at which a probe is due. It takes some milliseconds on a
// new connection, in which a server hardly uses the rest.
const probeAt = 0.75

// countStart counts a start and reports whether a probe is due.
func (s *server) countStart(now time.Time) (probe bool) {
	w := &s.warmth
	if s.WarmBudget == 0 || now.Before(w.pausedUntil) {
		return false
	}
	if s.coldByTime(now) {
		// The server has said until when it is cold.
		w.started = 0
		return false
	}
	s.drain(now)
	w.started++
	if w.started < probeAt*float64(s.WarmBudget) || !w.probeSent.IsZero() && now.Sub(w.probeSent) < probeLost {
		return false
	}
	w.probeSent, w.startedBefore = now, w.started
	return true
}

// drain subtracts from the starts what a cold server may get, so that a server with little
// load is not asked. Once the budget is used up, the bucket of a cold server grants that
// instead.
func (s *server) drain(now time.Time) {
	w := &s.warmth
	if w.started < float64(s.WarmBudget) {
		w.started = max(0, w.started-s.ColdRate*max(0, now.Sub(w.drainedAt).Seconds()))
	}
	w.drainedAt = now
}

// probed records the answer to a probe that was due. coldFor is how long the server stays
// cold; prompt is false if it did not answer in time.
func (s *server) probed(now time.Time, coldFor time.Duration, prompt bool) {
	w := &s.warmth
	if w.probeSent.IsZero() {
		return
	}
	w.probeSent = time.Time{}
	if !prompt {
		if w.slow++; w.slow >= slowProbesToPause {
			w.slow, w.answered, w.started, w.pausedUntil = 0, false, 0, now.Add(probePause)
		}
		return
	}
	w.answered, w.slow = true, 0
	w.started = max(0, w.started-w.startedBefore)
	if coldFor <= 0 {
		w.coldUntil = time.Time{}
		return
	}
	if !s.coldByTime(now) {
		s.coldBucket, s.coldRefilledAt = 0, now
	}
	w.coldUntil = now.Add(time.Duration(float64(coldFor) * (1 + maxDrift)))
}

// Probed records the answer to a probe that a Decision asked for; see server.probed.
func (p *Pool) Probed(now time.Time, id topo.ServerID, coldFor time.Duration, prompt bool) {
	if s := p.servers[id]; s != nil {
		s.probed(now, coldFor, prompt)
	}
}
