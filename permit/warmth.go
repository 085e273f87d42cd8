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

// HomeColdRate returns the rate at which a home VM may start requests on a cold server. Both
// sides of a cut may have a home VM for a while, and together they stay within
// coldRate*overrun + slack in any second.
func HomeColdRate(coldRate, overrun, slack float64) float64 {
	return min(coldRate, max((coldRate*overrun+slack)/2-coldBurst, coldRate/4))
}

// warmth is what the probes of its home VM tell of a server. Entries of the store tell of a
// cold server as well, but not while the store is unavailable.
type warmth struct {
	// coldUntil is until when the last probe found the server cold.
	coldUntil time.Time
	// started counts the starts since the send of the last probe that found the server
	// warm; startedBefore is its value at the send of the present one.
	started, startedBefore int
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
	return s.WarmBudget > 0 && w.answered && !now.Before(w.pausedUntil) && w.started >= s.WarmBudget
}

// countStart counts a start and reports whether a probe is due: at half of the budget, so
// that the answer comes before the rest is used.
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
	w.started++
	if 2*w.started < s.WarmBudget || !w.probeSent.IsZero() && now.Sub(w.probeSent) < probeLost {
		return false
	}
	w.probeSent, w.startedBefore = now, w.started
	return true
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
	w.started -= w.startedBefore
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
