package permit

import (
	"math"
	"slices"
	"time"

	"godwitlock.example/godwitlock/topo"
)

const (
	// unansweredToPause is the least number of consecutive probes without an answer after
	// which a server is not asked during a pause, and its requests are not limited. From
	// the first to the last one, unansweredTime has passed if the health path has answered
	// before, and else neverAnsweredTime: what makes a probe fail at once, such as too many
	// connections, may be over soon.
	unansweredToPause = 3
	unansweredTime    = time.Second
	neverAnsweredTime = 400 * time.Millisecond
	// reprobeInterval is the least time from a probe without an answer to the next one
	// of a server whose requests wait for a proof.
	reprobeInterval = 50 * time.Millisecond
	// A pause lasts probePause if the health path has never answered, and else begins with
	// minProbePause and doubles up to probePause.
	minProbePause, probePause = time.Second, 30 * time.Second
	// probeLost is when a probe whose result was not reported counts as unanswered.
	probeLost = 2 * time.Second
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
	// maxTransit is the time that a request may take from its start to its server.
	maxTransit = 100 * time.Millisecond
	// warmWindow is the time in which the starts of a server are bounded, so that its
	// arrivals are bounded in any second.
	warmWindow = time.Second + maxTransit
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
	starts []warmStart
	// probeSent is when the present probe was sent, zero if there is none, and probeEnded
	// when the result of the last one was known.
	probeSent, probeEnded time.Time
	// asked says that the first probe has ended, and answered that there was an answer and
	// no pause since.
	asked, answered bool
	// unanswered counts the probes without an answer since the last answer or pause, and
	// unansweredSince is the end of the first of them.
	unanswered      int
	unansweredSince time.Time
	// pausedUntil is the end of a pause. nextPause is the length of the next one, zero
	// before the first answer.
	pausedUntil time.Time
	nextPause   time.Duration
}

// warmStart is the start of a request.
type warmStart struct {
	id uint64
	at time.Time
	// answeredAt is when the server's answer was reported, zero before that.
	answeredAt time.Time
}

// arrivedBy reports whether the request had reached its server at t.
func (w warmStart) arrivedBy(t time.Time) bool {
	return !w.at.Add(maxTransit).After(t) || !w.answeredAt.IsZero() && !w.answeredAt.After(t)
}

// unproved reports whether the server has started as many requests as it may, cold or not,
// without a proof that it was warm. A server that was asked and has not answered is not
// limited: nothing shows that its health path can tell.
func (s *server) unproved(now time.Time) bool {
	w := &s.warmth
	if s.WarmBudget == 0 || w.asked && !w.answered || now.Before(w.pausedUntil) {
		return false
	}
	w.forgetOld(now)
	return len(w.starts) >= s.WarmBudget
}

// forgetOld removes the starts before warmWindow.
func (w *warmth) forgetOld(now time.Time) {
	w.starts = slices.DeleteFunc(w.starts, func(s warmStart) bool { return !s.at.After(now.Add(-warmWindow)) })
}

// prove removes the starts of requests that had reached the server at t, when it was warm.
func (w *warmth) prove(t time.Time) {
	w.starts = slices.DeleteFunc(w.starts, func(s warmStart) bool { return s.arrivedBy(t) })
}

// answer records that the server has answered a request.
func (w *warmth) answer(now time.Time, id uint64) {
	for i := range w.starts {
		if w.starts[i].id == id {
			w.starts[i].answeredAt = now
		}
	}
}

// countStart counts the start of a request and reports whether a probe is due.
func (s *server) countStart(now time.Time, id uint64) (probe bool) {
	w := &s.warmth
	if s.WarmBudget == 0 || now.Before(w.pausedUntil) {
		return false
	}
	w.forgetOld(now)
	w.starts = append(w.starts, warmStart{id: id, at: now})
	if s.isCold(now) {
		// The server has said until when it is cold.
		return false
	}
	if float64(len(w.starts)) < probeAt*float64(s.WarmBudget) {
		return false
	}
	return w.beginProbe(now)
}

// beginProbe begins a probe, unless one is under way.
func (w *warmth) beginProbe(now time.Time) bool {
	if !w.probeSent.IsZero() && now.Sub(w.probeSent) < probeLost {
		return false
	}
	w.probeSent = now
	return true
}

// reprobe begins a probe if requests wait for a proof that the last one did not give.
func (s *server) reprobe(now time.Time) bool {
	return s.unproved(now) && !s.isCold(now) && now.Sub(s.warmth.probeEnded) >= reprobeInterval && s.warmth.beginProbe(now)
}

// countUnanswered counts a probe without an answer.
func (w *warmth) countUnanswered(now time.Time) {
	if w.unanswered++; w.unanswered == 1 {
		w.unansweredSince = now
	}
	least := unansweredTime
	if w.nextPause == 0 {
		least = neverAnsweredTime
	}
	if w.unanswered >= unansweredToPause && now.Sub(w.unansweredSince) >= least {
		w.pause(now)
	}
}

// pause begins a pause, and ends the limit of the requests until the next answer.
func (w *warmth) pause(now time.Time) {
	length := w.nextPause
	if length == 0 {
		length = probePause
	} else {
		w.nextPause = min(2*length, probePause)
	}
	w.unanswered, w.answered, w.pausedUntil = 0, false, now.Add(length)
	w.starts = w.starts[:0]
}

// probed records the end of a probe that was due. coldFor is how long the server stays
// cold; answered is false if it did not answer.
func (s *server) probed(now time.Time, coldFor time.Duration, answered bool) {
	w := &s.warmth
	if w.probeSent.IsZero() {
		return
	}
	sent := w.probeSent
	w.probeSent, w.probeEnded, w.asked = time.Time{}, now, true
	if !answered {
		w.countUnanswered(now)
		return
	}
	w.answered, w.unanswered, w.pausedUntil, w.nextPause = true, 0, time.Time{}, minProbePause
	if coldFor <= 0 {
		w.prove(sent)
		w.coldUntil = time.Time{}
		return
	}
	if !s.isCold(now) {
		s.coldBucket, s.coldRefilledAt = 0, now
	}
	w.coldUntil = now.Add(time.Duration(float64(coldFor) * (1 + maxDrift)))
}

// ProbesDue begins the probes of servers that were left out for lack of a proof, and
// returns these servers. The end of each is given to Probed.
func (p *Pool) ProbesDue(now time.Time) (due []topo.ServerID) {
	if !p.proofWanted && p.queue.Len() == 0 {
		return nil
	}
	p.proofWanted = false
	for id, s := range p.servers {
		if s.reprobe(now) {
			due = append(due, id)
		}
	}
	return due
}

// Probed records the end of a probe that a Decision asked for; see server.probed.
func (p *Pool) Probed(now time.Time, id topo.ServerID, coldFor time.Duration, answered bool) {
	if s := p.servers[id]; s != nil {
		s.probed(now, coldFor, answered)
	}
}
