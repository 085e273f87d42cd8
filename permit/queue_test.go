package permit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitlock.example/godwitlock/topo"
)

// naiveQueue is a reference implementation that searches all requests for each
// decision.
type naiveQueue struct {
	list  []naiveWaiter
	last  int
	usage *customerUsage
}

type naiveWaiter struct {
	Request
	late bool
	seq  int
}

func (n *naiveQueue) push(now time.Time, r Request) {
	n.last++
	n.list = append(n.list, naiveWaiter{Request: r, late: now.After(r.PromptBy), seq: n.last})
}

// demoteLate appends requests that have become late to the late requests of
// their customer, in the order of arrival.
func (n *naiveQueue) demoteLate(now time.Time) {
	for i, w := range n.list {
		if late := now.After(w.PromptBy); late && !w.late {
			n.last++
			n.list[i].late, n.list[i].seq = true, n.last
		}
	}
	slices.SortFunc(n.list, func(a, b naiveWaiter) int { return a.seq - b.seq })
}

func (n *naiveQueue) remove(id uint64) {
	n.list = slices.DeleteFunc(n.list, func(w naiveWaiter) bool { return w.ID == id })
}

// next considers only the first request of each customer in each rank.
func (n *naiveQueue) next(fits func(Request) bool) (Request, bool) {
	best := -1
	heads := map[string]bool{}
	for i, w := range n.list {
		flow := fmt.Sprint(w.late, w.Priority, w.Customer)
		if heads[flow] {
			continue
		}
		heads[flow] = true
		if fits(w.Request) && (best < 0 || n.before(w, n.list[best])) {
			best = i
		}
	}
	if best < 0 {
		return Request{}, false
	}
	r := n.list[best].Request
	n.remove(r.ID)
	return r, true
}

func (n *naiveQueue) before(a, b naiveWaiter) bool {
	if c := compareRanks(a.late, a.Priority, b.late, b.Priority); c != 0 {
		return c < 0
	}
	return n.usage.of(a.Customer) < n.usage.of(b.Customer)
}

// Guards against a queue whose order differs from a search of all requests:
// prompt requests before late ones, then by priority, then by the usage of the
// customers.
func TestQueueOrderMatchesSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		usage := newUsage()
		// Different offsets in microseconds prevent ties, as all other usage is
		// in whole milliseconds.
		for i, id := range []topo.CustomerID{"a", "b", "c"} {
			usage.add(id, time.Duration(i+1)*time.Microsecond)
		}
		q, naive, now := newQueue(usage), &naiveQueue{usage: usage}, start
		for id := uint64(1); id < 120; id++ {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				r := Request{
					ID: id, Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					Customer: topo.CustomerID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")),
					PromptBy: now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "prompt")) * 100 * time.Millisecond),
				}
				q.push(now, r)
				naive.push(now, r)
			case 2:
				if len(naive.list) > 0 {
					removed := rapid.SampledFrom(naive.list).Draw(t, "left").ID
					require.True(t, q.remove(removed))
					naive.remove(removed)
				}
			case 3:
				now = now.Add(100*time.Millisecond + time.Nanosecond)
				q.demoteLate(now)
				naive.demoteLate(now)
			case 4:
				odd := rapid.Bool().Draw(t, "odd")
				fits := func(r Request) bool { return !odd || r.ID%2 == 1 }
				want, wantOK := naive.next(fits)
				got, ok := q.next(fits)
				require.Equal(t, wantOK, ok)
				require.Equal(t, want.ID, got.ID)
				usage.add(want.Customer, time.Duration(want.ID)*time.Millisecond)
			}
			require.Equal(t, len(naive.list), q.Len())
		}
	})
}

// Guards against a decision whose CPU time on the home VM grows with the
// length of the queue: with 256 queued requests in a pool of 21 servers, each
// further request took 2.9 ms.
func TestNextChecksOneRequestPerCustomer(t *testing.T) {
	q := newQueue(newUsage())
	for id := range uint64(256) {
		q.push(start, Request{ID: id, Customer: topo.CustomerID(fmt.Sprint(id % 4)), PromptBy: start.Add(time.Second)})
	}
	checks := 0
	_, ok := q.next(func(Request) bool { checks++; return false })
	require.False(t, ok)
	require.Equal(t, 4, checks)
}

// Guards against a pass over all queued requests on every Tick, that is, for
// every answer of a server.
func TestQueueIsSweptAtIntervals(t *testing.T) {
	p := newPool(Server{ID: "s", Slots: 1})
	p.Offer(start, request(1, start))
	for id := uint64(2); id < 6; id++ {
		r := request(id, start)
		r.StartBy, r.PromptBy = start.Add(time.Minute), start.Add(time.Minute)
		require.Equal(t, Queued, p.Offer(start, r).Verdict)
	}
	p.Tick(start)
	lastSweep := p.lastSweep
	for ms := range 3 {
		p.Tick(start.Add(time.Duration(ms) * time.Millisecond))
	}
	require.Equal(t, lastSweep, p.lastSweep)
	p.Tick(start.Add(sweepInterval))
	require.NotEqual(t, lastSweep, p.lastSweep)
}

// Guards against an estimated wait of one customer that includes all queued
// requests of another one, although customers are served in turn.
func TestAheadAssumesRoundRobin(t *testing.T) {
	q := newQueue(newUsage())
	for id := range uint64(20) {
		q.push(start, Request{ID: id, Customer: "flood", PromptBy: start.Add(time.Second)})
	}
	r := Request{ID: 100, Customer: "small", PromptBy: start.Add(time.Second)}
	require.Equal(t, 1, q.ahead(false, r))
	r.Customer = "flood"
	require.Equal(t, 20, q.ahead(false, r))
}
