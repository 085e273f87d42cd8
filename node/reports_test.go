package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/fleet"
	"godwitlock.example/godwitlock/metric"
	"godwitlock.example/godwitlock/placement"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// newReportTest returns the reports of a VM, and the loads of a leader with a hub that
// knows the server s1 of service s.
func newReportTest() (*reports, *loads, *fleet.Hub) {
	v := view.New()
	v.Directory(func(d *directory.Directory) {
		d.Put(directory.Server{ID: "s1", Service: "s", StartedAtMs: 1, State: directory.Ready, Rev: 1})
		d.AdvanceRev(1)
	})
	l := newLoads(v)
	hub := fleet.NewHub(v, view.Member{VM: "leader"}, func() (topo.Term, bool) { return 1, true }, func() uint64 { return 1 }, clock.Boot, l)
	return newReports("a", metric.New()), l, hub
}

// Guards against refusals regardless of load that the leader does not learn of, so that
// keys move because of them.
func TestLeaderLearnsOfRefusalsRegardlessOfLoad(t *testing.T) {
	r, l, hub := newReportTest()
	for range 8 {
		r.TurnedAway("s1", false)
	}
	r.Completed("s1", 100*time.Millisecond)
	hub.ReportLocal(r.take(time.Second))
	l.withLoad("s", func(l *placement.Load) { require.False(t, l.Refusing("s1")) })
	for range 8 {
		r.TurnedAway("s1", true)
	}
	hub.ReportLocal(r.take(time.Second))
	l.withLoad("s", func(l *placement.Load) { require.True(t, l.Refusing("s1")) })
	require.Empty(t, r.take(time.Second).GetWork())
}

// Guards against reports that do not come earlier when keys become hot, and against
// reports that come at once for each request for such a key.
func TestHotKeysAreReportedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _, _ := newReportTest()
		awaited := func() time.Duration {
			began := time.Now()
			r.await(t.Context(), time.Second)
			return time.Since(began)
		}
		require.Equal(t, time.Second, awaited())
		for range 100 {
			r.Arrived("s", 7)
		}
		require.Equal(t, time.Second/hotReportDivisor, awaited())
		req := r.take(time.Second)
		require.Equal(t, []uint32{7}, req.GetLoads()[0].GetKeys())
		require.Equal(t, []uint32{100}, req.GetLoads()[0].GetCounts())
		require.Equal(t, time.Second, awaited(), "the report had these requests")
		time.AfterFunc(700*time.Millisecond, func() { r.Arrived("s", 7) })
		require.Equal(t, 700*time.Millisecond, awaited(), "reported at once after half of the interval")
	})
}
