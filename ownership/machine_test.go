package ownership

import (
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/topo"
)

var start = time.Unix(1000, 0)

var (
	ownerA = keyrange.Owner{Server: "a", StartedAtMs: 1}
	ownerB = keyrange.Owner{Server: "b", StartedAtMs: 1}
)

func usable(keyrange.Owner) Condition { return Usable }

// newGrantedMachine returns a machine that has granted all keys to ownerA, and
// the time of the grant.
func newGrantedMachine(t *testing.T) (*Machine, time.Time) {
	t.Helper()
	m := New(start, &keyrange.Table{Service: "s", NextFence: 1}, 0, 10*time.Second, false)
	m.AssignInitial([]keyrange.Range{{First: 0, Last: keyrange.MaxKey, Owner: ownerA}})
	_, _, ok := m.Pending()
	require.True(t, ok)
	require.Empty(t, m.Tick(start, math.MaxInt, usable), "keys must not be granted before the store has the table")
	m.Stored(1)
	orders := m.Tick(start, math.MaxInt, usable)
	require.Len(t, orders, 1)
	m.Result(start, orders[0], Done, "")
	return m, start
}

func phases(m *Machine) []Phase {
	var out []Phase
	for _, h := range m.Holds() {
		out = append(out, h.Phase)
	}
	return out
}

// Guards against keys that are assigned to another owner before their owner has
// answered the release.
func TestMoveWaitsForTheRelease(t *testing.T) {
	m, now := newGrantedMachine(t)
	m.Vacate(100, 199, "b")
	orders := m.Tick(now, math.MaxInt, usable)
	require.Len(t, orders, 1)
	require.Equal(t, Release, orders[0].Kind)
	require.Equal(t, []Phase{Held, Vacating, Held}, phases(m))
	m.Result(now, orders[0], Done, "handed")
	require.Equal(t, []Phase{Held, Free, Held}, phases(m))
	require.True(t, m.Assign(m.Holds()[1], ownerB))
	table, _, ok := m.Pending()
	require.True(t, ok)
	r, _ := table.Find(150)
	require.Equal(t, ownerB, r.Owner)
	m.Stored(2)
	orders = m.Tick(now, math.MaxInt, usable)
	require.Len(t, orders, 1)
	require.Equal(t, Grant, orders[0].Kind)
	require.Equal(t, "handed", orders[0].Handover)
	require.Greater(t, orders[0].Fence, int64(1))
}

// Guards against keys that are assigned to another owner after an answered
// release while an earlier, unanswered grant may still take effect.
func TestMoveWaitsForUnansweredGrants(t *testing.T) {
	m, _ := newGrantedMachine(t)
	now := start.Add(RenewInterval)
	orders := m.Tick(now, math.MaxInt, usable)
	require.Len(t, orders, 1)
	m.Result(now, orders[0], Unanswered, "")
	m.Vacate(0, keyrange.MaxKey, "b")
	orders = m.Tick(now, math.MaxInt, usable)
	require.Equal(t, Release, orders[0].Kind)
	m.Result(now, orders[0], Done, "handed")
	require.Equal(t, []Phase{Vacating}, phases(m))
	require.Empty(t, m.Tick(m.raiseFrom.Add(-time.Millisecond), math.MaxInt, usable))
	require.False(t, m.Assign(m.Holds()[0], ownerB))
	// The owner gets the keys once more, so that it refuses the unanswered grant.
	now = m.raiseFrom
	orders = m.Tick(now, math.MaxInt, usable)
	require.Equal(t, Release, orders[0].Kind)
	m.Result(now, orders[0], Done, "handed")
	require.False(t, m.Assign(m.Holds()[0], ownerB))
	m.Tick(now, math.MaxInt, usable)
	table, _, ok := m.Pending()
	require.True(t, ok)
	require.Equal(t, ownerA, table.Ranges[0].Owner)
	m.Stored(2)
	require.False(t, m.Holds()[0].Movable(now))
	orders = m.Tick(now, math.MaxInt, usable)
	require.Equal(t, Grant, orders[0].Kind)
	require.Equal(t, "handed", orders[0].Handover)
	require.Equal(t, int64(2), orders[0].Fence)
	// The move goes on.
	m.Result(now, orders[0], Done, "")
	require.Equal(t, []Phase{Vacating}, phases(m))
	orders = m.Tick(now, math.MaxInt, usable)
	m.Result(now, orders[0], Done, "handed again")
	require.Equal(t, []Phase{Free}, phases(m))
	require.True(t, m.Assign(m.Holds()[0], ownerB))
}

// Guards against keys that are assigned to another owner while an unanswered grant may
// still reach an owner that does not accept a higher fence, or a new incarnation.
func TestMoveWaitsWhereTheFenceIsNotRaised(t *testing.T) {
	for name, cond := range map[string]Condition{"refused": Unusable, "replaced": Replaced} {
		t.Run(name, func(t *testing.T) {
			m, _ := newGrantedMachine(t)
			condition := func(keyrange.Owner) Condition { return cond }
			last := m.raiseFrom.Add(time.Second)
			orders := m.Tick(last, math.MaxInt, usable)
			m.Result(last, orders[0], Unanswered, "")
			for now := last; now.Sub(last) < HoldTime; now = now.Add(100 * time.Millisecond) {
				for _, o := range m.Tick(now, math.MaxInt, condition) {
					outcome := Done
					if o.Kind == Grant {
						outcome, last = Unanswered, now
					}
					m.Result(now, o, outcome, "h")
				}
				if _, _, ok := m.Pending(); ok {
					require.NotEqual(t, Replaced, cond, "a new incarnation does not get the keys of the earlier one")
					m.Stored(2)
				}
				require.NotEqual(t, []Phase{Free}, phases(m))
				require.Less(t, last.Sub(m.raiseFrom), 2*time.Second, "one attempt to raise the fence")
			}
			m.Tick(last.Add(HoldTime+time.Second), math.MaxInt, condition)
			require.Equal(t, []Phase{Free}, phases(m))
		})
	}
}

// Guards against a bound that an answered grant moves forward, although an earlier grant
// without an answer may arrive after it.
func TestAnsweredGrantKeepsTheBoundOfAnUnansweredOne(t *testing.T) {
	m, _ := newGrantedMachine(t)
	now := start.Add(RenewInterval)
	orders := m.Tick(now, math.MaxInt, usable)
	m.Result(now, orders[0], Unanswered, "")
	end := now.Add(maxTransit + m.maxHoldDuration())
	orders = m.Tick(now.Add(grantRetryInterval), math.MaxInt, usable)
	m.Result(now.Add(grantRetryInterval), orders[0], Done, "")
	m.Vacate(0, keyrange.MaxKey, "b")
	m.Tick(end, math.MaxInt, func(keyrange.Owner) Condition { return Unusable })
	require.Equal(t, []Phase{Vacating}, phases(m))
}

// Guards against keys of an unresponsive server that are assigned to another
// owner before its hold has expired by the server's own clock, which may run
// slow.
func TestUnresponsiveServerKeepsKeysUntilHoldExpires(t *testing.T) {
	m, now := newGrantedMachine(t)
	last := now
	for phases(m)[0] != Free {
		now = now.Add(50 * time.Millisecond)
		for _, o := range m.Tick(now, math.MaxInt, usable) {
			if o.Kind == Grant {
				last = now
			}
			m.Result(now, o, Unanswered, "")
		}
	}
	require.Greater(t, now.Sub(last), time.Duration(float64(HoldTime)*(1+MaxDrift)))
	require.Less(t, now.Sub(last), HoldTime+time.Second)
}

// Guards against a refused connection that is treated as evidence of a crashed
// server: servers also refuse connections while their queue is long.
func TestRefusedConnectionsDoNotFreeKeys(t *testing.T) {
	m, now := newGrantedMachine(t)
	granted := now
	m.Vacate(0, keyrange.MaxKey, "b")
	for now.Sub(granted) < HoldTime {
		now = now.Add(50 * time.Millisecond)
		for _, o := range m.Tick(now, math.MaxInt, usable) {
			m.Result(now, o, NotSent, "")
		}
		require.Equal(t, []Phase{Vacating}, phases(m), "after %v", now.Sub(granted))
	}
}

// Guards against a new leader that assigns keys to another owner while orders of
// its predecessor may still take effect.
func TestNewLeaderWaitsForItsPredecessorsOrders(t *testing.T) {
	table := (&keyrange.Table{Service: "s", NextFence: 1}).Assign(keyrange.Range{Last: keyrange.MaxKey, Owner: ownerA})
	m := New(start, table, 7, 10*time.Second, false)
	m.Vacate(0, keyrange.MaxKey, "b")
	orders := m.Tick(start, math.MaxInt, usable)
	m.Result(start, orders[0], Done, "handed")
	require.Equal(t, []Phase{Vacating}, phases(m))
	// Grants of a killed predecessor may be in transit for maxSurvival.
	for now := start.Add(HoldTime); now.Sub(start) < HoldTime+maxSurvival; now = now.Add(100 * time.Millisecond) {
		for _, o := range m.Tick(now, math.MaxInt, usable) {
			m.Result(now, o, Unanswered, "")
		}
		require.Equal(t, []Phase{Vacating}, phases(m), "after %v", now.Sub(start))
	}
	m.Tick(start.Add(HoldTime+maxSurvival+time.Second), math.MaxInt, usable)
	require.Equal(t, []Phase{Free}, phases(m))
}

// Guards against keys that cannot be moved soon after a planned change of the
// leader, and against a leader that reports itself as settled while one of its
// orders may still take effect.
func TestSettledLeaderAllowsImmediateMoves(t *testing.T) {
	m, now := newGrantedMachine(t)
	require.True(t, m.Settled(now))
	now = now.Add(RenewInterval)
	orders := m.Tick(now, math.MaxInt, usable)
	require.False(t, m.Settled(now), "an order is in flight")
	m.Result(now, orders[0], Unanswered, "")
	require.False(t, m.Settled(now), "an unanswered order may still take effect")
	require.False(t, m.Holds()[0].Movable(now))
	require.True(t, m.Settled(now.Add(HoldTime+time.Second)))

	table := (&keyrange.Table{Service: "s", NextFence: 1}).Assign(keyrange.Range{Last: keyrange.MaxKey, Owner: ownerA})
	successor := New(start, table, 7, 10*time.Second, true)
	require.True(t, successor.Holds()[0].Movable(start))
	successor.Vacate(0, keyrange.MaxKey, "b")
	orders = successor.Tick(start, math.MaxInt, usable)
	successor.Result(start, orders[0], Done, "handed")
	require.Equal(t, []Phase{Free}, phases(successor))
}

// Guards against a restarted server that is treated as its previous incarnation:
// it needs a higher fence, and holds keys only by a grant that was meant for that one.
func TestNewIncarnationGetsNewFence(t *testing.T) {
	m, now := newGrantedMachine(t)
	orders := m.Tick(now, math.MaxInt, func(keyrange.Owner) Condition { return Replaced })
	require.Len(t, orders, 1)
	require.Equal(t, Release, orders[0].Kind)
	m.Result(now, orders[0], Done, "")
	require.Equal(t, []Phase{Free}, phases(m))
	restarted := keyrange.Owner{Server: "a", StartedAtMs: 2}
	require.True(t, m.Assign(m.Holds()[0], restarted))
	m.Pending()
	m.Stored(2)
	require.Equal(t, int64(2), m.Holds()[0].Fence)
	require.Equal(t, restarted, m.Holds()[0].Owner)
}

// Guards against keys that go to another server while a server that has started again
// holds them by a grant that was meant for its earlier incarnation.
func TestKeysAreNotFreeWhileANewIncarnationMayHoldThem(t *testing.T) {
	m, now := newGrantedMachine(t)
	replaced := func(keyrange.Owner) Condition { return Replaced }
	orders := m.Tick(now, math.MaxInt, replaced)
	require.Equal(t, []Phase{Vacating}, phases(m))
	m.Result(now, orders[0], NotSent, "")
	m.Tick(now.Add(HoldTime), math.MaxInt, replaced)
	require.Equal(t, []Phase{Vacating}, phases(m))
}

// Guards against a renewal in flight that prevents a hold from being split, so
// that keys cannot be moved away from an overloaded server.
func TestHoldCanBeSplitDuringRenewal(t *testing.T) {
	m, _ := newGrantedMachine(t)
	now := start.Add(RenewInterval)
	orders := m.Tick(now, math.MaxInt, usable)
	require.Len(t, orders, 1)
	m.Vacate(100, 199, "b")
	require.Equal(t, []Phase{Held, Vacating, Held}, phases(m))
	require.Empty(t, m.Tick(now, math.MaxInt, usable), "no release may be sent while the renewal is in flight")
	m.Result(now, orders[0], Done, "")
	orders = m.Tick(now, math.MaxInt, usable)
	require.Len(t, orders, 1)
	require.Equal(t, Release, orders[0].Kind)
}

// server models a backend server that executes orders at any time after they
// were sent and whose clock runs slow.
type server struct {
	// held has the current hold of each key, and highestFence the highest
	// fence granted for it.
	held         map[keyrange.Key]hold
	highestFence map[keyrange.Key]int64
}

type hold struct {
	fence int64
	until time.Time
}

func newServer() *server {
	return &server{held: make(map[keyrange.Key]hold), highestFence: make(map[keyrange.Key]int64)}
}

// apply executes an order for those of the given keys that it covers. A granted
// hold starts at the time arrived.
func (s *server) apply(o Order, keys []keyrange.Key, arrived time.Time) {
	for _, k := range keys {
		if k < o.First || k > o.Last || o.Kind == Grant && o.Fence < s.highestFence[k] {
			continue
		}
		if o.Kind == Release {
			if s.held[k].fence <= o.Fence {
				delete(s.held, k)
			}
			continue
		}
		s.highestFence[k] = o.Fence
		s.held[k] = hold{o.Fence, arrived.Add(time.Duration(float64(o.HoldTime) * (1 + MaxDrift)))}
	}
}

// network models the orders between a leader and the servers. The leader resets the
// connection of an order that it gives up, so that it arrives no later than maxTransit
// after that.
type network struct {
	servers map[topo.ServerID]*server
	// startedAt holds when each server started last, and registered what the leader
	// knows of that.
	startedAt, registered map[topo.ServerID]int64
	keys                  []keyrange.Key
	// undelivered holds the orders that have not been executed, and inFlight those
	// whose outcome the leader does not know yet.
	undelivered []delayedOrder
	inFlight    []sentOrder
	// cut is set while no order is answered.
	cut bool
}

// delayedOrder is an order that its server executes at executeAt.
type delayedOrder struct {
	order     Order
	arrived   time.Time
	executeAt time.Time
	// resetAt is when the leader learns the outcome or gives the order up.
	resetAt time.Time
	// heldUp is set if the leader was killed before, and the order stays in transit. It
	// does not outlive the process of its server.
	heldUp bool
}

// sentOrder is an order whose leader learns the outcome, or gives up, at endsAt.
type sentOrder struct {
	order   Order
	endsAt  time.Time
	outcome Outcome
}

// maxOrderTime bounds the time after which an order is answered or given up.
const maxOrderTime = 600 * time.Millisecond

func newNetwork(keys []keyrange.Key) *network {
	return &network{
		servers:    map[topo.ServerID]*server{"a": newServer(), "b": newServer()},
		startedAt:  map[topo.ServerID]int64{"a": 1, "b": 1},
		registered: map[topo.ServerID]int64{"a": 1, "b": 1},
		keys:       keys,
	}
}

// restart starts a server again under its ID and address. Orders for its earlier life
// reach it as well, but not those that have arrived there and were not executed.
func (n *network) restart(id topo.ServerID, now time.Time) {
	n.startedAt[id]++
	n.servers[id] = newServer()
	n.undelivered = slices.DeleteFunc(n.undelivered, func(d delayedOrder) bool { return d.order.Owner.Server == id && (d.heldUp || !d.arrived.After(now)) })
}

// register tells the leader which servers have started again.
func (n *network) register() { maps.Copy(n.registered, n.startedAt) }

func (n *network) condition(o keyrange.Owner) Condition {
	if n.registered[o.Server] != o.StartedAtMs {
		return Replaced
	}
	return Usable
}

// owner draws a server as the leader knows it.
func (n *network) owner(t *rapid.T) keyrange.Owner {
	id := rapid.SampledFrom([]topo.ServerID{"a", "b"}).Draw(t, "owner")
	return keyrange.Owner{Server: id, StartedAtMs: n.registered[id]}
}

// upTo draws a time of at most limit, often the limit itself.
func upTo(t *rapid.T, limit time.Duration, label string) time.Duration {
	if rapid.Bool().Draw(t, label+" as late as possible") {
		return limit
	}
	return time.Duration(rapid.IntRange(0, int(limit/time.Millisecond)).Draw(t, label)) * time.Millisecond
}

// send sends an order. It is answered, or given up and executed at any time after its
// arrival.
func (n *network) send(t *rapid.T, now time.Time, o Order) {
	took := upTo(t, maxOrderTime, "took")
	sent := sentOrder{order: o, endsAt: now.Add(took), outcome: Done}
	d := delayedOrder{order: o, arrived: now.Add(upTo(t, took, "arrives"))}
	d.executeAt, d.resetAt = d.arrived, sent.endsAt
	if n.cut || rapid.IntRange(0, 3).Draw(t, "order_outcome") == 0 {
		sent.outcome = Unanswered
		d.arrived = now.Add(upTo(t, took+maxTransit, "arrives late"))
		d.executeAt = d.arrived.Add(upTo(t, 12*time.Second, "delay"))
	}
	n.undelivered, n.inFlight = append(n.undelivered, d), append(n.inFlight, sent)
}

// advance executes the orders that are due, and reports the outcomes to the leader.
func (n *network) advance(now time.Time, m *Machine) {
	slices.SortStableFunc(n.undelivered, func(a, b delayedOrder) int { return a.executeAt.Compare(b.executeAt) })
	for len(n.undelivered) > 0 && !n.undelivered[0].executeAt.After(now) {
		d := n.undelivered[0]
		n.servers[d.order.Owner.Server].apply(d.order, n.keys, d.arrived)
		n.undelivered = n.undelivered[1:]
	}
	n.inFlight = slices.DeleteFunc(n.inFlight, func(s sentOrder) bool {
		if s.endsAt.After(now) {
			return false
		}
		m.Result(now, s.order, s.outcome, "")
		return true
	})
}

// endTerm gives up the orders in flight, because the leader's lease has ended.
func (n *network) endTerm(now time.Time) {
	latest := now.Add(maxTransit)
	for i := range n.undelivered {
		if n.undelivered[i].heldUp {
			continue
		}
		if late := n.undelivered[i].arrived.Sub(latest); late > 0 {
			n.undelivered[i].arrived = latest
			n.undelivered[i].executeAt = n.undelivered[i].executeAt.Add(-late)
		}
	}
	n.inFlight = nil
}

// kill ends the term of a leader that is killed: nothing resets the connections of the
// orders in flight.
func (n *network) kill(t *rapid.T, now time.Time) {
	for i := range n.undelivered {
		d := &n.undelivered[i]
		if d.heldUp || !d.resetAt.After(now) || !d.arrived.After(now) {
			continue
		}
		d.heldUp = true
		d.arrived = now.Add(upTo(t, maxSurvival, "is held up"))
		d.executeAt = d.arrived
	}
	n.inFlight = nil
}

// requireOneOwner fails the test if both servers hold a key.
func (n *network) requireOneOwner(t *rapid.T, now time.Time) {
	for _, k := range n.keys {
		a, b := n.servers["a"].held[k], n.servers["b"].held[k]
		if a.until.After(now) && b.until.After(now) {
			t.Fatalf("key %d is held by both servers, fences %d and %d, at %v", k, a.fence, b.fence, now.Sub(start))
		}
	}
}

// Guards against two servers that hold a key at the same time, with orders that arrive
// as late as the network allows and are executed seconds after that, lost answers, changes
// of the leader, interruptions of its term, and servers that start again.
func TestOneOwnerAtATime(t *testing.T) {
	keys := []keyrange.Key{0, 1000, 30000, 65535}
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(keys)
		stored := &keyrange.Table{Service: "s", NextFence: 1}
		version := uint64(0)
		m := New(start, stored, version, 10*time.Second, false)
		now := start
		// The leader before began at earlier, and is known to have outlived its lease from
		// livesAt on, unless that is zero.
		var began, earlier, livesAt = start, start, time.Time{}
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(10, 300).Draw(t, "ms")) * time.Millisecond)
			n.advance(now, m)
			// Keys move only where leaders last, so changes of the leader are rare. Values
			// near 0 are drawn more often.
			switch rapid.IntRange(0, 255).Draw(t, "what") {
			case 1, 2, 3:
				first := rapid.SampledFrom(keys).Draw(t, "first")
				m.Vacate(first, keyrange.MaxKey, "")
			case 20, 21, 22, 23, 24, 25, 26, 27, 28, 29:
				n.cut = !n.cut
			case 100, 101, 102: // a new leader, which knows only the stored table
				settled := m.Settled(now)
				n.endTerm(now)
				m = New(now, stored, version, 10*time.Second, settled)
				earlier, began, livesAt = began, now, now.Add(upTo(t, 4*time.Second, "lives"))
			case 103, 104, 105: // the same, and the leader before was killed
				n.kill(t, now)
				m = New(now, stored, version, 10*time.Second, false)
				began, livesAt = now, time.Time{}
			case 150, 151, 152, 153, 154:
				n.restart(rapid.SampledFrom([]topo.ServerID{"a", "b"}).Draw(t, "restarts"), now)
			case 50, 51, 52, 53, 54:
				n.register()
			case 200, 201, 202:
				n.endTerm(now)
				m.Resume(now)
			}
			if !livesAt.IsZero() && now.After(livesAt) {
				m.PredecessorLives(earlier)
				livesAt = time.Time{}
			}
			if len(m.Holds()) == 0 {
				m.AssignInitial([]keyrange.Range{{First: 0, Last: keyrange.MaxKey, Owner: ownerA}})
			}
			for _, h := range m.Holds() {
				if h.Phase == Free {
					m.Assign(h, n.owner(t))
				}
			}
			if table, _, ok := m.Pending(); ok {
				version++
				stored = table
				m.Stored(version)
			}
			for _, o := range m.Tick(now, math.MaxInt, n.condition) {
				n.send(t, now, o)
			}
			n.requireOneOwner(t, now)
		}
	})
}

// Guards against a new leader that sends the grants of all ranges at once, thousands of
// them on as many connections, and against ranges whose turn never comes.
func TestOrdersOfARoundAreLimited(t *testing.T) {
	table := &keyrange.Table{Service: "s", NextFence: 2}
	const ranges = 1024
	for i := range ranges {
		first := i * keyrange.KeyCount / ranges
		table.Ranges = append(table.Ranges, keyrange.Range{
			First: keyrange.Key(first), Last: keyrange.Key(first + keyrange.KeyCount/ranges - 1),
			Owner: keyrange.Owner{Server: "a", StartedAtMs: 1}, Fence: 1,
		})
	}
	m := New(start, table, 1, HoldTime, false)
	granted := make(map[keyrange.Key]int)
	for range 2 * ranges / 100 {
		orders := m.Tick(start, 100, usable)
		require.LessOrEqual(t, len(orders), 100)
		for _, o := range orders {
			granted[o.First]++
			m.Result(start, o, NotSent, "")
		}
	}
	require.Len(t, granted, ranges)
}
