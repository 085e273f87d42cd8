package rollout

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// Mode says which versions of a service a VM may use.
type Mode uint8

const (
	// Hold: the target is used with rights only.
	Hold Mode = iota + 1
	// Whole: the target is used for all requests until the right expires. Servers of
	// other versions are used only for the keys that they still own.
	Whole
	// Ended: as Whole, but without an end. It follows when the roll-out is complete,
	// until the other servers are gone.
	Ended
)

// Right is what the leader allows a VM to send to the target of a roll-out.
type Right struct {
	Service topo.ServiceName
	// Target is empty if only the barred versions are limited.
	Target string
	// Number is that of the order, and Term that of the leader.
	Number uint64
	Term   topo.Term
	State  State
	Mode   Mode
	// Share is the share of the requests that the target gets in the present step.
	Share float64
	// Granted is the number of requests that the process may send to the target in
	// this term, and Until when it may send the last one.
	Granted int64
	Until   time.Time
	// Barred holds the versions of the service that earlier roll-outs reverted.
	Barred []string
}

// Limit says how the versions of a service are used at present.
type Limit struct {
	// Target is the target of the latest order, empty if it may be used like others.
	Target string
	// Whole says that the target gets all requests, else it gets those with a right.
	Whole bool
	Share float64
	// Barred holds further versions that must not be used.
	Barred []string
}

// heldRight is a right and how much of it is used.
type heldRight struct {
	Right
	used, arrivals int64
}

// Holder holds the rights of a VM. It is safe for concurrent use.
type Holder struct {
	// count is the number of services with a limit.
	count atomic.Int32

	mu   sync.Mutex
	held map[topo.ServiceName]*heldRight
	// seen holds the targets of orders that this VM has read from the store or from a
	// relay, and of which no leader has told yet.
	seen map[topo.ServiceName]string
	// reverted holds the last target of each service that was judged bad.
	reverted map[topo.ServiceName]Right
}

// NewHolder returns a Holder without rights.
func NewHolder() *Holder {
	return &Holder{
		held: make(map[topo.ServiceName]*heldRight), seen: make(map[topo.ServiceName]string), reverted: make(map[topo.ServiceName]Right),
	}
}

// Any reports whether the versions of any service are limited.
func (h *Holder) Any() bool { return h.count.Load() > 0 }

// Apply replaces the rights by those that the leader gives.
func (h *Holder) Apply(list []Right) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := make(map[topo.ServiceName]*heldRight, len(list))
	for _, r := range list {
		n := &heldRight{Right: r}
		if old := h.held[r.Service]; old != nil && old.Target == r.Target && old.Number == r.Number && old.Term == r.Term {
			n.used, n.arrivals = old.used, old.arrivals
			// Responses may be overtaken.
			n.Granted, n.Until = max(r.Granted, old.Granted), later(r.Until, old.Until)
			if old.State == Reverted {
				n.State, n.Mode = Reverted, Hold
			}
		}
		if n.State == Reverted {
			n.Mode, h.reverted[r.Service] = Hold, n.Right
		}
		next[r.Service] = n
	}
	for service, r := range h.reverted {
		switch n := next[service]; {
		case n == nil || n.Number < r.Number || n.Number == r.Number && n.Target == r.Target:
			// A leader that does not know of the judgement learns it from this VM.
			next[service] = &heldRight{Right: r}
		case n.Target != r.Target:
			delete(h.reverted, service)
		}
	}
	h.held = next
	clear(h.seen)
	h.updateCount()
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Seen records an order that this VM has read itself. It limits the target until a
// leader tells of the roll-out. ended says that it was completed.
func (h *Holder) Seen(service topo.ServiceName, target string, ended bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.held[service]; ended {
		delete(h.seen, service)
		if r != nil && r.Target == target && r.State == Running {
			r.Mode = Ended
		}
	} else if r == nil || r.Target != target {
		h.seen[service] = target
	}
	h.updateCount()
}

func (h *Holder) updateCount() {
	n := len(h.held)
	for service := range h.seen {
		if h.held[service] == nil {
			n++
		}
	}
	h.count.Store(int32(n))
}

// Limits returns the limits of all services at now.
func (h *Holder) Limits(now time.Time) map[topo.ServiceName]Limit {
	if !h.Any() {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[topo.ServiceName]Limit, len(h.held)+len(h.seen))
	for service, r := range h.held {
		out[service] = Limit{Target: r.Target, Whole: r.whole(now), Share: r.Share, Barred: r.Barred}
	}
	for service, target := range h.seen {
		if r := h.held[service]; r == nil || r.State != Running {
			l := Limit{Target: target}
			if r != nil {
				l.Barred = append(slices.Clone(r.Barred), r.Target)
			}
			out[service] = l
		}
	}
	return out
}

func (r *heldRight) whole(now time.Time) bool {
	return r.State != Reverted && (r.Mode == Ended || r.Mode == Whole && now.Before(r.Until))
}

// Ticket is a right that was taken for one request. Its zero value stands for a
// request that needs none.
type Ticket struct {
	service topo.ServiceName
	number  uint64
	term    topo.Term
	taken   bool
}

// Taken reports whether the ticket is a right that was taken.
func (t Ticket) Taken() bool { return t.taken }

// Take takes a right to send one request to a server of a version at now. It returns
// false if that is not allowed.
func (h *Holder) Take(now time.Time, service topo.ServiceName, version string) (Ticket, bool) {
	if !h.Any() {
		return Ticket{}, true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.held[service]
	if target, seen := h.seen[service]; seen && target == version && (r == nil || r.Target != target) {
		return Ticket{}, false
	}
	switch {
	case r != nil && slices.Contains(r.Barred, version):
		return Ticket{}, false
	case r == nil || r.Target == "" || r.Target != version || r.whole(now):
		return Ticket{}, true
	case r.State != Running || r.used >= r.Granted || !now.Before(r.Until):
		return Ticket{}, false
	}
	r.used++
	return Ticket{service: service, number: r.Number, term: r.Term, taken: true}, true
}

// Valid reports whether a request with the ticket may still be sent to a server of a
// version at now. The process may have been paused since the ticket was taken.
func (h *Holder) Valid(now time.Time, service topo.ServiceName, version string, t Ticket) bool {
	if !h.Any() {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.held[service]
	target, seen := h.seen[service]
	switch {
	case seen && target == version && (r == nil || r.Target != target), r != nil && slices.Contains(r.Barred, version):
		return false
	case r == nil || r.Target == "" || r.Target != version || r.whole(now):
		return true
	}
	return t.taken && t.number == r.Number && r.State == Running && now.Before(r.Until)
}

// Left reports whether a right to send a request to the target of a service is left.
func (h *Holder) Left(now time.Time, service topo.ServiceName) bool {
	if !h.Any() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.held[service]
	return r != nil && r.State == Running && r.Mode == Hold && r.used < r.Granted && now.Before(r.Until)
}

// Return gives back the right of a request that was not sent.
func (h *Holder) Return(t Ticket) {
	if !t.taken {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.held[t.service]; r != nil && r.Number == t.number && r.Term == t.term {
		r.used--
	}
}

// Target returns the target of the running roll-out of a service. It returns false
// if there is none.
func (h *Holder) Target(service topo.ServiceName) (string, bool) {
	if !h.Any() {
		return "", false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.held[service]
	if r == nil || r.State != Running {
		return "", false
	}
	return r.Target, true
}

// Arrived counts a request of a service.
func (h *Holder) Arrived(service topo.ServiceName) {
	if !h.Any() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.held[service]; r != nil {
		r.arrivals++
	}
}

// Use is what a process reports of a running roll-out.
type Use struct {
	Right
	Arrivals, Used int64
}

// Uses returns the uses of all running roll-outs. The arrivals count from the last
// call on.
func (h *Holder) Uses() []Use {
	if !h.Any() {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Use
	for _, r := range h.held {
		if r.State == Running {
			out = append(out, Use{r.Right, r.arrivals, r.used})
			r.arrivals = 0
		}
	}
	return out
}

// Reverted returns the last target of each service that was judged bad, as far as
// this VM knows.
func (h *Holder) Reverted() map[topo.ServiceName]Right {
	if !h.Any() {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.reverted)
}
