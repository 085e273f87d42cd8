// Package quota keeps every customer within its rate and burst, summed over all
// VMs. Each customer has one home VM, whose Home holds the customer's token
// bucket; other VMs ask it for a token per request.
//
// A VM that becomes a customer's home starts with an empty bucket, which fills
// at the customer's rate. It hands tokens out only while its leave is valid: it
// heard the leader lately, which names another home only some time after that;
// or no leader is heard anywhere and more than half of the VMs ask here. So the
// homes of a customer that follow one another never exceed its rate and one
// burst together. Home is pure and not safe for concurrent use.
package quota

import (
	"time"

	"godwitlock.example/godwitlock/topo"
)

const (
	// heardTTL is how long a VM stays home of its customers after it sent the
	// last request that a leader answered. It is shorter than the time after
	// which the leader forgets a silent VM.
	leaderContactTTL = time.Second
	// leaderlessTTL is how long it stays home while no leader is heard and
	// more than half of the VMs ask for tokens; askedTTL is how long one
	// that asked counts.
	leaderlessTTL = 5 * time.Second
	vmContactTTL  = 2 * time.Second
)

// Limit is a customer's rate.
type Limit struct {
	// Rate is in requests per second and Burst in requests.
	Rate, Burst float64
}

// Verdict is the answer to a request for a token.
type Verdict uint8

// The verdicts.
const (
	// Granted: the request may run.
	Granted Verdict = iota + 1
	// Exhausted: the customer's rate is used up.
	Exhausted
	// NotHome: this VM may not hand out the customer's tokens.
	NotHome
)

// bucket is one customer's token bucket.
type bucket struct {
	limit  Limit
	tokens float64
	last   time.Time
}

func (b *bucket) refill(now time.Time) {
	b.tokens = min(b.limit.Burst, b.tokens+b.limit.Rate*max(0, now.Sub(b.last).Seconds()))
	b.last = now
}

// Home holds the buckets of the customers whose home is this VM.
type Home struct {
	buckets           map[topo.CustomerID]*bucket
	lastContact       map[topo.VMID]time.Time
	vmCount           int
	lastLeaderContact time.Time
}

// NewHome returns a home of no customers.
func NewHome() *Home {
	return &Home{buckets: make(map[topo.CustomerID]*bucket), lastContact: make(map[topo.VMID]time.Time)}
}

// SetCustomers replaces the customers whose home this VM is. Those that stay
// keep their tokens; others start with none. Members is the number of VMs.
func (h *Home) SetCustomers(now time.Time, list map[topo.CustomerID]Limit, vmCount int) {
	h.vmCount = vmCount
	for id := range h.buckets {
		if _, ok := list[id]; !ok {
			delete(h.buckets, id)
		}
	}
	for id, limit := range list {
		b := h.buckets[id]
		if b == nil {
			b = &bucket{last: now}
			h.buckets[id] = b
		}
		b.refill(now)
		b.limit = limit
		b.tokens = min(b.tokens, limit.Burst)
	}
}

// LeaderContacted records that the leader answered a request that was sent at a time, or
// that this VM led then.
func (h *Home) LeaderContacted(sent time.Time) {
	if sent.After(h.lastLeaderContact) {
		h.lastLeaderContact = sent
	}
}

// PeerContacted records that a VM reached this one.
func (h *Home) PeerContacted(now time.Time, vm topo.VMID) { h.lastContact[vm] = now }

// valid reports whether this VM may hand out tokens.
func (h *Home) mayGrant(now time.Time) bool {
	sinceContact := now.Sub(h.lastLeaderContact)
	if sinceContact < leaderContactTTL {
		return true
	}
	if sinceContact > leaderlessTTL {
		return false
	}
	n := 0
	for vm, at := range h.lastContact {
		if now.Sub(at) > vmContactTTL {
			delete(h.lastContact, vm)
			continue
		}
		n++
	}
	return 2*n > h.vmCount
}

// Take takes a token of a customer for a request at a VM.
func (h *Home) Take(now time.Time, vm topo.VMID, id topo.CustomerID) Verdict {
	h.PeerContacted(now, vm)
	b := h.buckets[id]
	if b == nil || !h.mayGrant(now) {
		return NotHome
	}
	b.refill(now)
	if b.tokens < 1 {
		return Exhausted
	}
	b.tokens--
	return Granted
}

// Return gives a token back: its request did not run.
func (h *Home) Return(id topo.CustomerID) {
	if b := h.buckets[id]; b != nil {
		b.tokens = min(b.limit.Burst, b.tokens+1)
	}
}
