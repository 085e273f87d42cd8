// Package quota enforces the rate and burst limit of each customer over all VMs.
// Each customer has one home VM, whose Home holds the customer's token bucket.
// For each request of the customer, the VM that received it takes one token from
// the home.
//
// A VM that becomes the home of a customer starts with an empty bucket, which
// fills at the customer's rate, from the time since which no other VM can have been
// its home if that is known, else from the time at which no other VM can be its home any
// more. Package membership decides when that is. Consecutive homes of a customer
// therefore never exceed its rate and one burst together.
//
// Home does no I/O and reads no clock: the caller passes in the time. It is not
// safe for concurrent use.
package quota

import (
	"time"

	"godwitlock.example/godwitlock/topo"
)

// Limit is the rate limit of a customer.
type Limit struct {
	// Rate is in requests per second and Burst in requests.
	Rate, Burst float64
}

// Verdict is the result of Take.
type Verdict uint8

const (
	// Granted means that a token was taken and the request may run.
	Granted Verdict = iota + 1
	// Exhausted means that the customer's bucket has no token left.
	Exhausted
	// NotHome means that this VM may not grant tokens of the customer.
	NotHome
)

// Tokens is the state of a customer's bucket.
type Tokens struct {
	Customer topo.CustomerID
	Limit    Limit
	Tokens   float64
}

// bucket is the token bucket of one customer.
type bucket struct {
	limit  Limit
	tokens float64
	// last is the time up to which the bucket is filled; zero while active is false
	// and the time since which the customer has no other home is not known.
	last time.Time
	// active is false while another VM may still be home of the customer.
	active bool
	// headroom tells what a returned token is worth.
	headroom headroom
}

func (b *bucket) refill(now time.Time) {
	b.tokens = min(b.limit.Burst, b.tokens+b.limit.Rate*max(0, now.Sub(b.last).Seconds()))
	b.last = now
}

func (b *bucket) take(now time.Time) {
	b.headroom.record(now, b.limit.Burst-b.tokens)
	b.tokens--
}

// giveBack puts back a token that was taken at the given time and not used.
func (b *bucket) giveBack(now, taken time.Time) {
	b.refill(now)
	b.headroom.record(now, b.limit.Burst-b.tokens)
	b.tokens = min(b.limit.Burst, b.tokens+b.headroom.withdraw(taken))
}

// setLimit puts a limit in force. Tokens that were taken under another burst cannot be
// given back.
func (b *bucket) setLimit(now time.Time, limit Limit) {
	if limit.Burst != b.limit.Burst {
		b.headroom = headroom{since: now}
	}
	b.limit = limit
	b.tokens = min(b.tokens, limit.Burst)
}

// Home holds the token buckets of the customers whose home is this VM.
type Home struct {
	buckets map[topo.CustomerID]*bucket
	// pending is the number of buckets that are not active.
	pending int
}

// NewHome returns a Home without customers.
func NewHome() *Home { return &Home{buckets: make(map[topo.CustomerID]*bucket)} }

// Len returns the number of customers whose home is this VM.
func (h *Home) Len() int { return len(h.buckets) }

// Pending returns the number of customers of which another VM may still be home.
func (h *Home) Pending() int { return h.pending }

// SetCustomers replaces the customers whose home is this VM with those in limits.
// Customers that were present before keep their tokens up to the new burst. New ones
// have an empty bucket, which is pending until Activate; it fills from since on, the
// time since which no other VM can have been their home, if that is not zero. It returns
// the customers whose home this VM is no longer.
func (h *Home) SetCustomers(now, since time.Time, limits map[topo.CustomerID]Limit) (ended []Tokens) {
	for id, b := range h.buckets {
		if _, ok := limits[id]; !ok {
			ended = append(ended, h.remove(now, id, b))
		}
	}
	for id, limit := range limits {
		b := h.buckets[id]
		switch {
		case b == nil:
			h.buckets[id] = &bucket{limit: limit, last: since}
			h.pending++
		case b.active:
			b.refill(now)
			b.setLimit(now, limit)
		default:
			b.limit = limit
		}
	}
	return ended
}

// Clear removes all customers, since another VM may have been their home meanwhile. It
// returns them.
func (h *Home) Clear(now time.Time) (ended []Tokens) {
	for id, b := range h.buckets {
		ended = append(ended, h.remove(now, id, b))
	}
	return ended
}

func (h *Home) remove(now time.Time, id topo.CustomerID, b *bucket) Tokens {
	if b.active {
		b.refill(now)
	} else {
		h.pending--
	}
	delete(h.buckets, id)
	return Tokens{id, b.limit, b.tokens}
}

// Activate records that no other VM can be home of any of the customers. It returns
// those of which that was not known before.
func (h *Home) Activate(now time.Time) (begun []Tokens) {
	if h.pending == 0 {
		return nil
	}
	for id, b := range h.buckets {
		if b.active {
			continue
		}
		if b.last.IsZero() {
			b.last = now
		}
		b.active, b.headroom = true, headroom{since: now}
		b.refill(now)
		begun = append(begun, Tokens{id, b.limit, b.tokens})
	}
	h.pending = 0
	return begun
}

// Take takes a token from the bucket of a customer.
func (h *Home) Take(now time.Time, id topo.CustomerID) Verdict {
	b := h.buckets[id]
	if b == nil || !b.active {
		return NotHome
	}
	b.refill(now)
	if b.tokens < 1 {
		return Exhausted
	}
	b.take(now)
	return Granted
}

// Return puts a token, which was taken at the given time, back into the bucket of a
// customer because the request did not run. Its worth is what the bucket would hold more
// if it had not been taken; that is nothing if the bucket was full since, or if the
// token came from another home.
func (h *Home) Return(now, taken time.Time, id topo.CustomerID) {
	if b := h.buckets[id]; b != nil && b.active {
		b.giveBack(now, taken)
	}
}
