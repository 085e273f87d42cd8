package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/leader"
	"godwitlock.example/godwitlock/ownership"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// unansweredPlatform is a platform whose orders get no answer, and are given up once
// givenUp is closed.
type unansweredPlatform struct {
	memPlatform
	sent    chan time.Time
	givenUp chan struct{}
}

func (p unansweredPlatform) SendOrder(ctx context.Context, _ string, _ ownership.Order, leaseEnd func() time.Time) (ownership.Outcome, string, error) {
	p.sent <- leaseEnd()
	<-ctx.Done()
	<-p.givenUp
	return ownership.Unanswered, "", ctx.Err()
}

// Guards against a term that begins, or is resumed, while orders of the one before it may
// still be sent: the holds of their servers would be bounded from too early a time.
func TestTermEndsAfterItsOrdersAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newErasStore()
		a := newTableAssigner(t, s)
		p := unansweredPlatform{memPlatform{s}, make(chan time.Time, 1), make(chan struct{})}
		a.node.platform = p
		a.node.view.Directory(func(d *directory.Directory) {
			d.Replace([]directory.Server{{ID: "i", Service: "s", State: directory.Ready, Slots: 1, StartedAtMs: 1, Rev: 2, Addr: "server"}}, 2, bootNow())
		})
		storeTable(t, a, 0)
		ctx, cancel := context.WithCancel(t.Context())
		running := make(chan struct{})
		go func() { defer close(running); _ = a.node.lease.Run(ctx) }()
		for leads := false; !leads; _, leads = a.node.lease.Leads() {
			time.Sleep(time.Millisecond)
		}
		term, _ := a.node.lease.Leads()
		ended := make(chan struct{})
		go func() { defer close(ended); a.runTerm(ctx, term) }()
		leaseEnd := <-p.sent
		require.LessOrEqual(t, leaseEnd.Sub(bootNow()), leader.TTL)
		require.True(t, a.node.lease.LeadsUntil(term+1).IsZero())
		cancel()
		<-running
		synctest.Wait()
		select {
		case <-ended:
			t.Fatal("the term has ended while an order is being sent")
		default:
		}
		close(p.givenUp)
		<-ended
	})
}

// Guards against a release of keys that does not reach the new incarnation of a server,
// which may have taken grants for the earlier one at its address.
func TestOrdersForAnEarlierIncarnationReachThePresentOne(t *testing.T) {
	a := newTableAssigner(t, newErasStore())
	owner := keyrange.Owner{Server: "i", StartedAtMs: 1}
	snapshot := func(servers ...*directory.Server) *view.Snapshot {
		snap := &view.Snapshot{Servers: make(map[topo.ServerID]*directory.Server)}
		for _, s := range servers {
			snap.Servers[s.ID] = s
		}
		return snap
	}
	require.Equal(t, "first", a.serverAddress(snapshot(&directory.Server{ID: "i", StartedAtMs: 1, Addr: "first"}), owner))
	require.Equal(t, "first", a.serverAddress(snapshot(), owner))
	require.Equal(t, "second", a.serverAddress(snapshot(&directory.Server{ID: "i", StartedAtMs: 2, Addr: "second"}), owner))
}

// Guards against releases of a hot set that hold up the renewals of other keys and the
// grants to the set's new owners, and against releases without a bound.
func TestReleasesDoNotHoldUpOtherOrders(t *testing.T) {
	for _, ranges := range []int{100, 1000} {
		for _, vacating := range []int{0, 60, maxReleasesApart} {
			require.Equal(t, orderLimit(ranges, 0), orderLimit(ranges, vacating)-vacating)
		}
		require.Equal(t, orderLimit(ranges, maxReleasesApart), orderLimit(ranges, 10*maxReleasesApart))
	}
}
