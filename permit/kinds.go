package permit

import (
	"math"
	"time"
)

const (
	// floorShare is the least share of a kind's callers that is served, as a part of
	// the share of all callers that is served.
	floorShare = 0.25
	// floorTimeConstant is the time constant of the counts of decided and served
	// requests: long enough for several requests of each kind at a single server.
	floorTimeConstant = 8 * time.Second
	// minFloorRequests is the count of decided requests from which a kind has a floor.
	minFloorRequests = 3
	// maxKinds bounds the kinds of a pool. Requests of further routes have no floor
	// and do not count as arrivals of urgent work.
	maxKinds = 64
)

// kind counts the requests of one route in a pool.
type kind struct {
	priority int
	// arrivals is the rate of offered requests, and work the expected work of the last
	// one.
	arrivals arrivalRate
	work     time.Duration
	// decided and served are decaying counts of the requests that got a slot or were
	// refused, and of those that got a slot. A request that is queued for the floor
	// counts at once.
	decided, served float64
	countedAt       time.Time
}

// kinds holds the kinds of a pool by route.
type kinds map[string]*kind

// of returns the kind of a request, and creates it if there is room for it.
func (ks kinds) of(r Request) *kind {
	k := ks[r.Route]
	if k == nil {
		if len(ks) >= maxKinds {
			return nil
		}
		k = &kind{}
		ks[r.Route] = k
	}
	k.priority = r.Priority
	return k
}

// unknownRoute is the kind of the requests whose work is not known.
const unknownRoute = "\x00unknown"

// ofUnknown returns the kind of a request whose work is not known. Such requests have a
// floor only beside others whose work is known, as while VMs are replaced by those of a
// newer version; it returns nil if there are none.
func (ks kinds) ofUnknown(r Request) *kind {
	if len(ks) == 0 {
		return nil
	}
	r.Route = unknownRoute
	return ks.of(r)
}

// ofRequest returns the kind of a request.
func (ks kinds) ofRequest(r Request) *kind {
	if r.workKnown() {
		return ks.of(r)
	}
	return ks.ofUnknown(r)
}

// complete sets the work of a request whose sender has too few measurements of its
// route, if requests of other VMs have told it.
func (ks kinds) complete(r *Request) {
	if r.Work.Mean > 0 || r.ObjectiveBy.IsZero() {
		return
	}
	if k := ks[r.Route]; k != nil {
		r.Work.Mean = k.work
	}
}

// offer counts an offered request.
func (k *kind) offer(now time.Time, r Request) {
	if k != nil {
		k.arrivals.add(now)
		k.work = r.Work.Mean
	}
}

// decide counts a request that got a slot, is queued for the floor or was refused.
func (k *kind) decide(now time.Time, served bool) {
	if k == nil {
		return
	}
	k.decay(now)
	k.decided++
	if served {
		k.served++
	}
}

func (k *kind) decay(now time.Time) {
	f := math.Exp(-max(0, now.Sub(k.countedAt).Seconds()) / floorTimeConstant.Seconds())
	k.decided *= f
	k.served *= f
	k.countedAt = now
}

// callers returns the estimated number of callers behind the requests, each of which
// comes back once after a refusal.
func (k *kind) callers() float64 {
	return k.decided / (2 - min(1, k.served/max(1, k.decided)))
}

// share returns the share of the callers that were served.
func (k *kind) share() float64 { return k.served / max(1, k.callers()) }

// belowFloor reports whether the kind is served less often than its floor. A kind is
// not lifted above a more urgent one that is served less often.
func (ks kinds) belowFloor(now time.Time, k *kind) bool {
	if k == nil {
		return false
	}
	k.decay(now)
	if k.decided < minFloorRequests {
		return false
	}
	var callers, served float64
	for _, o := range ks {
		o.decay(now)
		callers += o.callers()
		served += o.served
		if o.priority < k.priority && o.decided >= minFloorRequests && o.share() < k.share() {
			return false
		}
	}
	return k.share() < floorShare*served/callers
}

// overtaking returns the arriving work, in seconds per second, that precedes every
// request of a priority that is queued as prompt.
func (ks kinds) overtaking(now time.Time, priority int) float64 {
	work := 0.0
	for _, k := range ks {
		if k.priority < priority {
			work += k.arrivals.perSecond(now) * k.work.Seconds()
		}
	}
	return work
}

// arriving returns all arriving work, in seconds per second.
func (ks kinds) arriving(now time.Time) float64 {
	work := 0.0
	for _, k := range ks {
		work += k.arrivals.perSecond(now) * k.work.Seconds()
	}
	return work
}
