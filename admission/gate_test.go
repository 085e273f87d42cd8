package admission

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/topo"
)

// fakeController answers draws from a ledger after a round trip.
type fakeController struct {
	mu     sync.Mutex
	ledger *Ledger
	down   bool
	draws  int
}

func (f *fakeController) Draw(ctx context.Context, req DrawRequest) (DrawReply, error) {
	sleep(ctx, roundTrip)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draws++
	if f.down {
		return DrawReply{}, errors.New("unreachable")
	}
	return f.ledger.Draw(time.Now(), req), nil
}

func startGate(t *testing.T, rate Rate) (*Gate, *fakeController) {
	now := time.Now()
	f := &fakeController{ledger: NewLedger(1, now)}
	require.NoError(t, f.ledger.SetCustomer(now, customer, rate))
	share := NewShare("a", now)
	require.NoError(t, share.SetCustomer(now, customer, rate))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	g := NewGate(share, f)
	go func() { defer close(done); _ = g.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	time.Sleep(3 * time.Second)
	return g, f
}

// TestGateWaitsForDraw guards against refusing the first request on a VM
// that holds no block although the customer is within its rate, and against a
// request waiting longer than MaxDrawWait while the controller is unreachable.
func TestGateWaitsForDraw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := startGate(t, Rate{100, 100})
		start := time.Now()
		_, err := g.Reserve(t.Context(), customer)
		require.NoError(t, err)
		require.LessOrEqual(t, time.Since(start), MaxDrawWait)

		time.Sleep(5 * time.Second)
		f.mu.Lock()
		f.down = true
		f.mu.Unlock()
		start = time.Now()
		_, err = g.Reserve(t.Context(), customer)
		require.Equal(t, errkind.RateExceeded, errkind.Of(err))
		require.LessOrEqual(t, time.Since(start), MaxDrawWait)
		_, err = g.Reserve(t.Context(), "unknown")
		require.Equal(t, errkind.RateExceeded, errkind.Of(err))
	})
}

// TestGateBoundsDrawsOfACustomerOverItsRate guards against a customer that exceeds
// its rate and thereby makes the VM flood the controller with draws.
func TestGateBoundsDrawsOfACustomerOverItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := startGate(t, Rate{100, 100})
		f.draws = 0
		admitted := 0
		for range 8000 {
			if r, ok := g.share.Bucket(customer).Reserve(time.Now()); ok {
				r.Settle(time.Now())
				admitted++
			}
			time.Sleep(1250 * time.Microsecond)
		}
		require.LessOrEqual(t, admitted, 1100)
		require.Greater(t, admitted, 700, "80% of the rate is issued by the ledger")
		require.Less(t, f.draws, 10*25, "too many draws in 10 s")
	})
}

// BenchmarkReserve measures bucket look-up, Reserve and Settle, with one reading
// of the clock per request. Run it with -cpu 1,2,4,8,10. The sub-benchmarks named
// hot use one customer, those named spread use 8.
func BenchmarkReserve(b *testing.B) {
	for _, n := range []int{1, 8} {
		name := map[int]string{1: "hot", 8: "spread"}[n]
		b.Run("blocks/"+name, func(b *testing.B) {
			s, now := NewShare("a", time.Now()), time.Now()
			ids := benchCustomers(n)
			for i, id := range ids {
				must(s.SetCustomer(now, id, Rate{1e9, 1e9}))
				s.Bucket(id).add(0, int64(time.Hour), Block{ID: BlockID(i), Customer: id, Tokens: 1 << 40})
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					now := time.Now()
					r, ok := s.Bucket(ids[i%n]).Reserve(now)
					if !ok {
						panic("no token")
					}
					r.Settle(now)
				}
			})
		})
		b.Run("one lock/"+name, func(b *testing.B) {
			var mu sync.Mutex
			buckets := map[topo.CustomerID]*naiveBucket{}
			ids := benchCustomers(n)
			for _, id := range ids {
				buckets[id] = &naiveBucket{Rate{1e12, 1e12}, 1e12, time.Now()}
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					now := time.Now()
					mu.Lock()
					ok := buckets[ids[i%n]].take(now)
					mu.Unlock()
					if !ok {
						panic("no token")
					}
				}
			})
		})
	}
}

func benchCustomers(n int) []topo.CustomerID {
	ids := make([]topo.CustomerID, n)
	for i := range ids {
		ids[i] = topo.CustomerID("customer-" + strconv.Itoa(i))
	}
	return ids
}

// TestReserveDoesNotAllocate guards against heap allocations in Reserve and Settle,
// which run for every request.
func TestReserveDoesNotAllocate(t *testing.T) {
	s, now := NewShare("a", time.Unix(0, 0)), time.Unix(0, 0)
	require.NoError(t, s.SetCustomer(now, customer, Rate{1e6, 1e6}))
	s.Bucket(customer).add(0, 0, Block{ID: 1, Customer: customer, Tokens: 1 << 40})
	n := testing.AllocsPerRun(1000, func() {
		r, _ := s.Bucket(customer).Reserve(now)
		r.Settle(now)
	})
	require.Zero(t, n)
}
