package ownership

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/topo"
)

func TestTableIsStoredAgainAfterTheStoreReturnedToAnOlderCopy(t *testing.T) {
	m, now := newGrantedMachine(t)
	_, _, ok := m.Pending()
	require.False(t, ok)
	m.SetEra(1)
	table, version, ok := m.Pending()
	require.True(t, ok)
	require.Equal(t, uint64(1), version)
	require.Equal(t, topo.Era(1), table.Era)
	m.StoreOverwritten(9)
	_, version, ok = m.Pending()
	require.True(t, ok)
	require.Equal(t, uint64(9), version)
	m.Stored(10)
	_, _, ok = m.Pending()
	require.False(t, ok)
	require.Equal(t, []Phase{Held}, phases(m), "the owner keeps its keys")
	require.Equal(t, Grant, m.Tick(now.Add(RenewInterval), math.MaxInt, usable)[0].Kind)
}

func TestOrdersInFlightCountAsUnansweredWhenATermResumes(t *testing.T) {
	m, now := newGrantedMachine(t)
	now = now.Add(RenewInterval)
	require.Len(t, m.Tick(now, math.MaxInt, usable), 1)
	m.SetEra(1)
	_, _, ok := m.Pending()
	require.True(t, ok)
	now = now.Add(time.Second)
	m.Resume(now)
	require.False(t, m.Holds()[0].Movable(now.Add(HoldTime)), "the grant in flight may still take effect")
	require.Len(t, m.Tick(now, math.MaxInt, usable), 1, "the hold is renewed")
	_, _, ok = m.Pending()
	require.True(t, ok, "the table is stored again")
}

func TestKeysOfARestoredTableHaveNoOwnerBeforeAllHoldsExpired(t *testing.T) {
	table := (&keyrange.Table{Service: "s", NextFence: 5}).Assign(keyrange.Range{Last: keyrange.MaxKey, Owner: ownerA})
	m := NewRestored(start, table, 7, 10*time.Second, 1, 0)
	replaced := func(keyrange.Owner) Condition { return Replaced }
	for now := start; now.Before(start.Add(HoldTime)); now = now.Add(50 * time.Millisecond) {
		require.Empty(t, m.Tick(now, math.MaxInt, replaced))
		require.Equal(t, []Phase{Unknown}, phases(m))
	}
	r, _ := m.RoutingTable().Find(0)
	require.Equal(t, keyrange.Orphaned, r.State)
	now := start.Add(RestoreWait(10*time.Second) + time.Millisecond)
	m.Tick(now, math.MaxInt, usable)
	require.Equal(t, []Phase{Free}, phases(m))
	require.Equal(t, ownerA.Server, m.Holds()[0].Target)
	require.True(t, m.Assign(m.Holds()[0], ownerA))
	stored, _, ok := m.Pending()
	require.True(t, ok)
	require.Equal(t, topo.Era(1), stored.Era)
	require.Greater(t, stored.Ranges[0].Fence, int64(keyrange.FencesPerEra), "fences of the lost tables are not given out again")
}

func TestTableIsIncompleteUntilAllKeysOfARestoredTableHaveNewFences(t *testing.T) {
	table := (&keyrange.Table{Service: "s", NextFence: 5}).Assign(
		keyrange.Range{Last: 99, Owner: ownerA}, keyrange.Range{First: 100, Last: keyrange.MaxKey, Owner: ownerB})
	m := NewRestored(start, table, 7, 10*time.Second, 1, 0)
	m.Tick(start.Add(time.Minute), math.MaxInt, usable)
	require.True(t, m.Assign(m.Holds()[0], ownerA))
	stored, _, ok := m.Pending()
	require.True(t, ok)
	require.Equal(t, topo.Era(0), stored.Era, "the next leader must not renew the hold that the copy names")
	m.Stored(8)
	_, _, ok = m.Pending()
	require.False(t, ok)
	require.True(t, m.Assign(m.Holds()[1], ownerB))
	stored, _, _ = m.Pending()
	require.Equal(t, topo.Era(1), stored.Era)
}

func TestContinuedTermRenewsHoldsAtOnceAndGivesNoOtherKeys(t *testing.T) {
	m, now := newGrantedMachine(t)
	m.Vacate(100, 199, "b")
	m.Result(now, m.Tick(now, math.MaxInt, usable)[0], Done, "")
	require.True(t, m.Assign(m.Holds()[1], ownerB))
	_, _, ok := m.Pending()
	require.True(t, ok, "the leader after it may have read this table")

	m.Continue(now, 9, 1, 0)
	require.Equal(t, []Phase{Held, Unknown, Held}, phases(m))
	orders := m.Tick(now, math.MaxInt, usable)
	require.Len(t, orders, 2)
	for _, o := range orders {
		require.Equal(t, Grant, o.Kind)
		m.Result(now, o, Done, "")
	}
	require.False(t, m.Holds()[0].Movable(now.Add(HoldTime)), "the leader in between may have renewed the hold late")
	m.Tick(now.Add(HoldTime), math.MaxInt, usable)
	require.Equal(t, Unknown, phases(m)[1], "another server may hold the keys")

	m.Tick(now.Add(RestoreWait(10*time.Second)+time.Millisecond), math.MaxInt, usable)
	require.Equal(t, Free, phases(m)[1])
	_, _, ok = m.Pending()
	require.False(t, ok, "the next leader must not renew the hold that the last table names")
	require.True(t, m.Assign(m.Holds()[1], ownerA))
	table, _, ok := m.Pending()
	require.True(t, ok)
	require.Equal(t, topo.Era(1), table.Era)
	require.Equal(t, topo.Term(9), table.Term)
	r, _ := table.Find(150)
	require.Greater(t, r.Fence, int64(keyrange.FencesPerEra))
}

func TestKeysOfAServerReplacedInTheGapBeforeAContinuedTermAreNotGiven(t *testing.T) {
	m, now := newGrantedMachine(t)
	m.Continue(now, 9, 1, 0)
	replaced := func(keyrange.Owner) Condition { return Replaced }
	require.Empty(t, m.Tick(now.Add(HoldTime), math.MaxInt, replaced))
	require.Equal(t, []Phase{Unknown}, phases(m), "the leader in between may have given the keys to another server")
	m.Tick(now.Add(RestoreWait(10*time.Second)+time.Millisecond), math.MaxInt, replaced)
	require.Equal(t, []Phase{Free}, phases(m))
}

// Guards against two owners of a key, and against fences that are given out twice, where
// the store loses tables or carries out writes late, servers restart, and leaders change, go on or continue their
// term after others have led.
func TestOneOwnerAtATimeAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newEraFleet()
		for range 400 {
			f.now = f.now.Add(time.Duration(10+uniform(t, "ms", 8)) * time.Millisecond)
			f.executeDelayed()
			f.event(t)
			f.assign(t)
			f.order(t)
			f.check(t)
		}
	})
}

// maxLedInGap bounds how long others have led before a term that continues another.
const maxLedInGap = 5200 * time.Millisecond

var eraKeys = []keyrange.Key{0, 1000, 30000, 65535}

// eraFleet is a simulation of servers and their leader with a store that can return to an
// older copy.
type eraFleet struct {
	now     time.Time
	era     topo.Era
	term    topo.Term
	history []*keyrange.Table
	// leaders is the number of leaders that began in the era, and earlier the tables of
	// the era before.
	leaders int
	earlier []*keyrange.Table
	m       *Machine
	// deposed is the machine of the last leader, whose lease ended at lapsed.
	deposed *Machine
	lapsed  time.Time
	// servers holds the live servers.
	servers map[keyrange.Owner]*server
	delayed []delayedOrder
	fences  map[keyrange.Key]int64
	owners  map[keyrange.Key]keyrange.Owner
}

func newEraFleet() *eraFleet {
	f := &eraFleet{
		now: start, history: []*keyrange.Table{{Service: "s", NextFence: 1}},
		servers: map[keyrange.Owner]*server{ownerA: newServer(), ownerB: newServer()},
		fences:  make(map[keyrange.Key]int64), owners: make(map[keyrange.Key]keyrange.Owner),
	}
	f.m = New(start, f.stored(), 0, 10*time.Second, false)
	return f
}

// uniform draws a number below 2^bits. The generators of integers prefer small numbers,
// by which the first few events would follow each other again and again.
func uniform(t *rapid.T, label string, bits int) int {
	n := 0
	for range bits {
		n <<= 1
		if rapid.Bool().Draw(t, label) {
			n++
		}
	}
	return n
}

func (f *eraFleet) stored() *keyrange.Table { return f.history[len(f.history)-1] }

func (f *eraFleet) condition(o keyrange.Owner) Condition {
	if f.servers[o] == nil {
		return Replaced
	}
	return Usable
}

func (f *eraFleet) executeDelayed() {
	for i := 0; i < len(f.delayed); i++ {
		d := f.delayed[i]
		if d.executeAt.After(f.now) {
			continue
		}
		// An order that waits at a server is lost with its process.
		if s := f.servers[d.order.Owner]; s != nil {
			s.apply(d.order, eraKeys, d.arrived)
		}
		f.delayed = append(f.delayed[:i], f.delayed[i+1:]...)
		i--
	}
}

func (f *eraFleet) event(t *rapid.T) {
	switch uniform(t, "what", 6) {
	case 0:
		f.lead(f.m.Settled(f.now) && f.stored().Era == f.era)
	case 1: // the leader goes on
		f.restore(t)
	case 2, 3:
		f.m.SetEra(f.era)
	case 4, 5, 6, 7:
		f.m.Vacate(rapid.SampledFrom(eraKeys).Draw(t, "first"), keyrange.MaxKey, "")
	case 8, 9, 10:
		if f.deposed == nil && len(f.history) > 1 {
			f.deposed, f.lapsed = f.m, f.now
			f.lead(false)
		}
	case 11, 12:
		if f.deposed != nil && f.now.Sub(f.lapsed) < maxLedInGap {
			f.restore(t)
			f.term++
			f.m = f.deposed
			f.m.Continue(f.now, f.term, f.era, f.leaders)
			f.leaders++
		}
		f.deposed = nil
	case 14, 15: // a delayed write of the era before
		if n := len(f.earlier); n > 1 {
			f.history = append(f.history, f.earlier[n-1-uniform(t, "delayed", 2)%(n-1)])
		}
	case 13:
		f.restart(rapid.SampledFrom([]topo.ServerID{"a", "b"}).Draw(t, "server"))
	}
}

// lead makes another process lead, which knows only the stored table.
func (f *eraFleet) lead(settled bool) {
	if f.stored().Era < f.era {
		f.m = NewRestored(f.now, f.stored(), 0, 10*time.Second, f.era, f.leaders)
	} else {
		f.m = New(f.now, f.stored(), 0, 10*time.Second, settled)
	}
	f.m.SetEra(f.era)
	f.leaders++
}

// restore makes the store return to an older copy. The first assignment of all keys is
// not lost.
func (f *eraFleet) restore(t *rapid.T) {
	f.era++
	f.leaders, f.earlier = 0, f.history
	lost := min(rapid.IntRange(0, 6).Draw(t, "lost"), len(f.history)-2)
	f.history = slices.Clone(f.history[:len(f.history)-max(0, lost)])
}

func (f *eraFleet) restart(id topo.ServerID) {
	o := f.incarnation(id)
	delete(f.servers, o)
	o.StartedAtMs++
	f.servers[o] = newServer()
}

func (f *eraFleet) incarnation(id topo.ServerID) keyrange.Owner {
	for o := range f.servers {
		if o.Server == id {
			return o
		}
	}
	return keyrange.Owner{}
}

// present returns the live incarnation of a server, which takes the orders for earlier
// ones too.
func (f *eraFleet) present(o keyrange.Owner) *server { return f.servers[f.incarnation(o.Server)] }

func (f *eraFleet) assign(t *rapid.T) {
	if len(f.m.Holds()) == 0 {
		f.m.AssignInitial([]keyrange.Range{{First: 0, Last: keyrange.MaxKey, Owner: f.incarnation("a")}})
	}
	for _, h := range f.m.Holds() {
		if h.Phase == Free && uniform(t, "assign", 2) > 0 {
			f.m.Assign(h, f.incarnation(rapid.SampledFrom([]topo.ServerID{"a", "b"}).Draw(t, "owner")))
		}
	}
	table, _, ok := f.m.Pending()
	switch {
	case !ok:
	case f.m.era == f.era && rapid.IntRange(0, 4).Draw(t, "answer") == 0:
		f.history = append(f.history, table)
		f.m.StoreFailed()
	case f.m.era == f.era:
		f.history = append(f.history, table)
		f.m.Stored(0)
	default:
		f.m.StoreFailed()
	}
}

func (f *eraFleet) order(t *rapid.T) {
	for _, o := range f.m.Tick(f.now, math.MaxInt, f.condition) {
		f.checkFence(t, o)
		if rapid.IntRange(0, 3).Draw(t, "order_outcome") == 0 {
			delay := time.Duration(rapid.IntRange(0, 12000).Draw(t, "delay")) * time.Millisecond
			taken := o
			taken.Owner = f.incarnation(o.Owner.Server)
			f.delayed = append(f.delayed, delayedOrder{order: taken, arrived: f.now, executeAt: f.now.Add(delay)})
			f.m.Result(f.now, o, Unanswered, "")
			continue
		}
		f.present(o.Owner).apply(o, eraKeys, f.now)
		f.m.Result(f.now, o, Done, "")
	}
}

func (f *eraFleet) checkFence(t *rapid.T, o Order) {
	for _, k := range eraKeys {
		if o.Kind != Grant || k < o.First || k > o.Last {
			continue
		}
		if f.owners[k] != o.Owner && o.Fence <= f.fences[k] {
			t.Fatalf("key %d moves to %v with fence %d, which is not above %d", k, o.Owner, o.Fence, f.fences[k])
		}
		f.fences[k], f.owners[k] = max(f.fences[k], o.Fence), o.Owner
	}
}

func (f *eraFleet) check(t *rapid.T) {
	for _, k := range eraKeys {
		a, b := f.servers[f.incarnation("a")].held[k], f.servers[f.incarnation("b")].held[k]
		if a.until.After(f.now) && b.until.After(f.now) {
			t.Fatalf("key %d is held by both servers, fences %d and %d, at %v", k, a.fence, b.fence, f.now.Sub(start))
		}
	}
}

// Guards against the same where orders are late and the network is cut.
func TestOneOwnerAtATimeAcrossErasWithLateOrders(t *testing.T) {
	keys := []keyrange.Key{0, 1000, 30000, 65535}
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(keys)
		era, leaders := topo.Era(0), 0
		history := []*keyrange.Table{{Service: "s", NextFence: 1}}
		stored := func() *keyrange.Table { return history[len(history)-1] }
		m := New(start, stored(), 0, 10*time.Second, false)
		now := start
		fences := make(map[keyrange.Key]int64)
		owners := make(map[keyrange.Key]keyrange.Owner)
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(10, 300).Draw(t, "ms")) * time.Millisecond)
			n.advance(now, m)
			// Keys move only where leaders last. Values near 0 are drawn more often.
			switch rapid.IntRange(0, 255).Draw(t, "what") {
			case 1, 2, 3:
				m.Vacate(rapid.SampledFrom(keys).Draw(t, "first"), keyrange.MaxKey, "")
			case 10, 11: // the leader hears of the era
				m.SetEra(era)
			case 20, 21, 22, 23, 24, 25, 26, 27, 28, 29:
				n.cut = !n.cut
			case 100, 101, 102: // a new leader, which knows only the stored table
				settled := m.Settled(now) && stored().Era == era
				n.endTerm(now)
				if stored().Era < era {
					m = NewRestored(now, stored(), 0, 10*time.Second, era, leaders)
				} else {
					m = New(now, stored(), 0, 10*time.Second, settled)
				}
				m.SetEra(era)
				leaders++
			case 200, 201, 202: // the store returns to an older copy, and the leader goes on
				era++
				leaders = 0
				// The first assignment of all keys is not lost.
				lost := min(rapid.IntRange(0, 6).Draw(t, "lost"), len(history)-2)
				history = history[:len(history)-max(0, lost)]
			}
			if len(m.Holds()) == 0 {
				m.AssignInitial([]keyrange.Range{{First: 0, Last: keyrange.MaxKey, Owner: ownerA}})
			}
			for _, h := range m.Holds() {
				if h.Phase == Free {
					m.Assign(h, rapid.SampledFrom([]keyrange.Owner{ownerA, ownerB}).Draw(t, "owner"))
				}
			}
			if table, _, ok := m.Pending(); ok {
				if m.era == era {
					history = append(history, table)
					m.Stored(0)
				} else {
					m.StoreFailed()
				}
			}
			for _, o := range m.Tick(now, math.MaxInt, usable) {
				for _, k := range keys {
					if o.Kind != Grant || k < o.First || k > o.Last {
						continue
					}
					if owners[k] != o.Owner && o.Fence <= fences[k] {
						t.Fatalf("key %d moves to %v with fence %d, which is not above %d", k, o.Owner, o.Fence, fences[k])
					}
					fences[k], owners[k] = max(fences[k], o.Fence), o.Owner
				}
				n.send(t, now, o)
			}
			n.requireOneOwner(t, now)
		}
	})
}
