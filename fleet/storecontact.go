package fleet

import (
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/fleet/fleetpb"
)

// A leader, or a relay, whose calls to the store fail cannot tell its own cut from an outage
// of the store. It asks VMs that call it to call the store themselves, and learns from their
// next call whether the store answered them.

// askContactInterval is the shortest time between two such requests: all VMs may call at
// once, and one answer of the store is enough.
const askContactInterval = 100 * time.Millisecond

// StoreContact holds when the store answered VMs. It is safe for concurrent use.
type StoreContact interface {
	// Failing reports whether the store does not answer this VM at present.
	Failing(now time.Time) bool
	// Own returns when the store recently answered this VM.
	Own(now time.Time) []time.Time
	// Known returns when the store recently answered any VM, and the last failed call, as
	// far as this VM knows. Without a recent failure, only the last answer matters.
	Known(now time.Time) (answers []time.Time, failure time.Time)
	// Learn records what another VM knows.
	Learn(now time.Time, answers []time.Time, failure time.Time)
}

// encodeContact returns the message with the given times; nil if there are none.
func encodeContact(now time.Time, answers []time.Time, failure time.Time) *fleetpb.StoreContact {
	out := &fleetpb.StoreContact{}
	for _, at := range answers {
		out.AnsweredMs = append(out.AnsweredMs, max(0, now.Sub(at).Milliseconds()))
	}
	if !failure.IsZero() {
		out.FailedMs = max(1, now.Sub(failure).Milliseconds())
	}
	if len(out.AnsweredMs) == 0 && out.FailedMs == 0 {
		return nil
	}
	return out
}

// learnContact records what another VM knows of the store.
func learnContact(c StoreContact, now time.Time, m *fleetpb.StoreContact) {
	if c == nil || m == nil {
		return
	}
	answers := make([]time.Time, 0, len(m.GetAnsweredMs()))
	for _, age := range m.GetAnsweredMs() {
		answers = append(answers, now.Add(-millis(age)))
	}
	var failure time.Time
	if m.GetFailedMs() > 0 {
		failure = now.Add(-millis(m.GetFailedMs()))
	}
	c.Learn(now, answers, failure)
}

// mayAskContact reports whether a caller may be asked to call the store. The caller of the
// method holds h.mu.
func (h *Hub) mayAskContact(now time.Time) bool {
	return h.StoreContact != nil && now.Sub(h.contactAsked) >= askContactInterval && h.StoreContact.Failing(now)
}

// wantsContact reports whether the caller is asked to call the store.
func (h *Hub) wantsContact(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.mayAskContact(now) {
		return false
	}
	h.contactAsked = now
	return true
}

// fillContact adds to a response what this VM knows of the store.
func (h *Hub) fillContact(out *fleetpb.FollowResponse, now time.Time) {
	if h.StoreContact == nil {
		return
	}
	answers, failure := h.StoreContact.Known(now)
	out.StoreContact = encodeContact(now, answers, failure)
	out.WantsStoreContact = h.wantsContact(now)
}

// StoreFailing ends the calls that wait, so that one of the callers can be asked whether the
// store answers it.
func (h *Hub) StoreFailing() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notifyFollowers()
}

// addContact adds to a request when the store answered this VM.
func (f *Follower) addContact(req *fleetpb.FollowRequest) {
	if f.StoreContact == nil {
		return
	}
	now := clock.Boot()
	req.StoreContact = encodeContact(now, f.StoreContact.Own(now), time.Time{})
}

// TakeContactRequest reports whether a leader or relay has asked this VM to call the store
// since the last call of TakeContactRequest.
func (f *Follower) TakeContactRequest() bool { return f.wantsContact.Swap(false) }
