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

// WarmBudget returns how many requests a server may start within warmWindow without a proof
// that it was warm after them, so that even a server which becomes cold at any moment gets at
// most coldRate*overrun + slack in any second. One request is left for a start that crosses
// the border of a second on its way.
func WarmBudget(coldRate, overrun, slack float64) int {
	return max(1, int(math.Floor(coldRate*overrun+slack))-1)
}

const (
	// warmWindow is the time in which the starts of a server are bounded. It exceeds a
	// second by the time that requests may be held up on their way.
	warmWindow = 1100 * time.Millisecond
	// probeAt is the part of the budget at which a probe is due. It takes some
	// milliseconds on a new connection, in which a server hardly uses the rest.
	probeAt = 0.75
)

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
	// starts holds the starts within warmWindow that no probe has shown to have been at
	// a warm server.
	starts []time.Time
	// probeSent is when the present probe was sent, zero if there is none.
	probeSent time.Time
	// answered says that the last probe was answered promptly, slow counts those before
	// it that were not.
	answered    bool
	slow        int
	pausedUntil time.Time
}

// unproved reports whether the server has started as many requests as it may, cold or not,
// without a proof that it was warm. Until its first prompt answer, nothing shows that its
// health path can tell.
func (s *server) unproved(now time.Time) bool {
	w := &s.warmth
	if s.WarmBudget == 0 || !w.answered || now.Before(w.pausedUntil) {
		return false
	}
	w.forget(now.Add(-warmWindow))
	return len(w.starts) >= s.WarmBudget
}

// forget removes the starts up to a time.
func (w *warmth) forget(until time.Time) {
	i := 0
	for i < len(w.starts) && !w.starts[i].After(until) {
		i++
	}
	w.starts = w.starts[:copy(w.starts, w.starts[i:])]
}

// countStart counts a start and reports whether a probe is due.
func (s *server) countStart(now time.Time) (probe bool) {
	w := &s.warmth
	if s.WarmBudget == 0 || now.Before(w.pausedUntil) {
		return false
	}
	w.forget(now.Add(-warmWindow))
	w.starts = append(w.starts, now)
	if s.isCold(now) {
		// The server has said until when it is cold.
		return false
	}
	if float64(len(w.starts)) < probeAt*float64(s.WarmBudget) || !w.probeSent.IsZero() && now.Sub(w.probeSent) < probeLost {
		return false
	}
	w.probeSent = now
	return true
}

// probed records the answer to a probe that was due. coldFor is how long the server stays
// cold; prompt is false if it did not answer in time.
func (s *server) probed(now time.Time, coldFor time.Duration, prompt bool) {
	w := &s.warmth
	if w.probeSent.IsZero() {
		return
	}
	sent := w.probeSent
	w.probeSent = time.Time{}
	if !prompt {
		if w.slow++; w.slow >= slowProbesToPause {
			w.slow, w.answered, w.pausedUntil = 0, false, now.Add(probePause)
			clear(w.starts)
			w.starts = w.starts[:0]
		}
		return
	}
	w.answered, w.slow = true, 0
	if coldFor <= 0 {
		w.forget(sent)
		w.coldUntil = time.Time{}
		return
	}
	if !s.isCold(now) {
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
