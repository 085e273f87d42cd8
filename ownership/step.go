package ownership

import (
	"time"

	"godwitlock.example/godwitlock/keyrange"
)

// Tick returns the orders to send at now, limit at most. It calls condition for the
// owners of the holds. The caller must call Result exactly once for each order.
func (m *Machine) Tick(now time.Time, limit int, condition func(keyrange.Owner) Condition) []Order {
	var out []Order
	m.inGap = m.inGap && !now.After(m.gapEnd)
	// Each call begins where the last one stopped, so that every hold has its turn.
	first, n := m.nextHold, len(m.holds)
	for i := 0; i < n && len(out) < limit; i++ {
		m.nextHold = (first + i + 1) % n
		h := m.holds[(first+i)%n]
		if o, ok := m.step(now, h, condition(h.Owner)); ok {
			out = append(out, o)
		}
	}
	return out
}

func (m *Machine) step(now time.Time, h *Hold, cond Condition) (Order, bool) {
	if h.Phase == Unknown && now.After(h.holdBound) {
		m.free(h, "")
	}
	if h.Phase == Raising && m.pending == nil {
		h.Phase, h.nextOwner = Storing, h.Owner
	}
	if h.Phase != Held && h.Phase != Vacating {
		return Order{}, false
	}
	if cond == Replaced && m.inGap {
		m.suspend(h)
		return Order{}, false
	}
	if h.Phase == Held && cond == Replaced {
		m.vacate(h, "")
	}
	if h.inFlight || now.Before(h.nextOrderAt) {
		return Order{}, false
	}
	// An owner that is unusable gets one grant that only raises the fence.
	raises := h.raising && cond == Unusable && h.failures < lostAfterFailures
	if h.Phase == Held && (cond != Usable && !raises || h.failures >= lostAfterFailures) {
		m.vacate(h, "")
	}
	if h.Phase == Held {
		return m.grant(h), true
	}
	if now.After(h.holdBound) {
		m.free(h, h.handover)
		return Order{}, false
	}
	h.replaced = cond == Replaced
	return m.release(h), true
}

func (m *Machine) grant(h *Hold) Order {
	h.inFlight = true
	return Order{
		Kind: Grant, Owner: h.Owner, First: h.First, Last: h.Last, Fence: h.Fence,
		HoldTime: m.holdTime, Handover: h.handover,
	}
}

func (m *Machine) release(h *Hold) Order {
	h.inFlight = true
	return Order{Kind: Release, Owner: h.Owner, First: h.First, Last: h.Last, Fence: h.Fence}
}

func (m *Machine) free(h *Hold, handover string) {
	h.Phase, h.handover, h.inFlight, h.raising = Free, handover, false, false
	m.revision++
}

// Result records the outcome of an order at now. handover is the opaque value in
// the answer to a release; the next owner gets it with its grant.
func (m *Machine) Result(now time.Time, o Order, outcome Outcome, handover string) {
	for _, h := range m.holds {
		if !h.inFlight || !o.covers(h) {
			continue
		}
		h.inFlight = false
		if o.Kind == Grant {
			m.grantResult(now, h, outcome)
		} else {
			m.releaseResult(now, h, outcome, handover)
		}
	}
}

func (m *Machine) grantResult(now time.Time, h *Hold, outcome Outcome) {
	unanswered := h.unansweredBound
	switch outcome {
	case Done:
		if h.raising {
			m.raised(h)
		}
		h.raiseFailed = h.raiseFailed && !(now.After(h.unansweredBound) && now.After(h.earlierBound))
		// An earlier, unanswered grant may arrive after this one.
		h.answeredBound = now.Add(m.maxHoldDuration())
		h.holdBound = latest(h.answeredBound, unanswered, h.unansweredBound, h.earlierBound)
		h.nextOrderAt, h.failures, h.handover = now.Add(renewDelay(h)), 0, ""
		if !h.Granted {
			h.Granted = true
			m.revision++
		}
	case Rejected:
		h.nextOrderAt = now
		// Normally only a later leader sends an order with a higher fence. If
		// there is no later leader, vacating the hold gives the keys a new
		// fence at the same server.
		if h.Phase == Held {
			m.vacate(h, h.Server)
		}
	case NotSent:
		h.failures++
		h.nextOrderAt = now.Add(grantRetryInterval)
	case Unanswered:
		h.failures++
		h.nextOrderAt = now.Add(grantRetryInterval)
		m.unanswered(now, h)
	}
	if h.Phase == Vacating {
		h.nextOrderAt = now
	}
}

// unanswered records that a grant which was given up at now may still take effect.
func (m *Machine) unanswered(now time.Time, h *Hold) {
	if h.raising {
		// The owner does not refuse this grant later, since its fence is the highest.
		h.raising, h.raiseFailed = false, true
	}
	end := now.Add(m.maxHoldDuration() + maxTransit)
	h.unansweredBound = end
	if h.holdBound.Before(end) {
		h.holdBound = end
	}
}

// raised records that the owner has accepted the fence that ends a Raising phase. It refuses
// all earlier grants from now on. Those of this leader can only reach a new incarnation of
// the owner, until they have arrived; those of an earlier leader end with the connections
// to the old one.
func (m *Machine) raised(h *Hold) {
	h.raising, h.earlierBound = false, time.Time{}
	h.unansweredBound = h.unansweredBound.Add(-m.maxHoldDuration())
	if target := h.Target; h.Phase == Held && target != "" && target != h.Server {
		m.vacate(h, target)
	}
}

// renewDelay returns the time until the next renewal of a hold. It differs
// between holds, so that they are not all renewed at the same time.
func renewDelay(h *Hold) time.Duration {
	const parts = 16
	part := time.Duration(uint32(h.First)*2654435761>>28) % parts
	return RenewInterval - part*RenewInterval/(4*parts)
}

func (m *Machine) releaseResult(now time.Time, h *Hold, outcome Outcome, handover string) {
	if outcome == Done {
		h.handover = handover
		bound := h.unansweredBound
		if bound.Before(h.earlierBound) {
			bound = h.earlierBound
		}
		if now.After(bound) {
			m.free(h, handover)
			return
		}
		// An earlier, unanswered grant may still take effect.
		if !h.replaced && !h.raiseFailed && now.Before(m.raiseFrom) {
			h.nextOrderAt = m.raiseFrom
			h.failures++
			m.revision++
			return
		}
		if !h.replaced && !h.raiseFailed {
			h.Phase, h.raising, h.failures = Raising, true, 0
			m.revision++
			return
		}
		h.nextOrderAt, h.holdBound = bound, bound
		h.failures++
		m.revision++
		return
	}
	if h.failures++; h.failures == 1 {
		m.revision++
	}
	h.nextOrderAt = now.Add(releaseRetryInterval)
	if h.holdBound.Before(h.nextOrderAt) {
		h.nextOrderAt = h.holdBound
	}
}
