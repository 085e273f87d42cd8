package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an estimate from one or two responses, which may be the first ones
// of a cold server.
func TestNoEstimateFromFewSamples(t *testing.T) {
	tab := New()
	for range minSamples - 1 {
		tab.Record("r", 100*time.Millisecond)
		require.Zero(t, tab.Of("r"))
	}
	tab.Record("r", 100*time.Millisecond)
	require.Equal(t, Estimate{Mean: 100 * time.Millisecond, Samples: minSamples}, tab.Of("r"))
	require.Zero(t, tab.Of("other"))
}

// Guards against an estimate that does not converge to the mean and the mean absolute
// deviation, or that keeps an earlier level after the work of a route has changed.
func TestEstimateFollowsTheServiceTime(t *testing.T) {
	tab, rng := New(), rand.New(rand.NewPCG(1, 2))
	for _, mean := range []float64{0.370, 0.120} {
		for range 400 {
			// Uniform between half and three halves: the mean deviation is a quarter.
			tab.Record("r", time.Duration(mean*(0.5+rng.Float64())*float64(time.Second)))
		}
		got := tab.Of("r")
		require.InEpsilon(t, mean, got.Mean.Seconds(), 0.15)
		require.InEpsilon(t, mean/4, got.Deviation.Seconds(), 0.3)
	}
}

// Guards against a service time that no server of a route needs, such as one measured
// across a suspension of the VM.
func TestImpossibleTimesAreIgnored(t *testing.T) {
	tab := New()
	for range 2 * minSamples {
		tab.Record("r", 0)
		tab.Record("r", -time.Second)
		tab.Record("r", math.MaxInt64)
	}
	require.Zero(t, tab.Of("r"))
}

// Guards against a table that grows with every name, and against one in which the
// routes of an earlier configuration leave no room for those of the current one.
func TestRoutesAreBounded(t *testing.T) {
	tab := New()
	for i := range 2 * maxRoutes {
		for range minSamples {
			tab.Record("used", time.Second)
			tab.Record(fmt.Sprint("r", i), time.Second)
		}
	}
	require.Len(t, tab.routes, maxRoutes)
	require.NotZero(t, tab.Of("used"))
	require.NotZero(t, tab.Of(fmt.Sprint("r", 2*maxRoutes-1)))
	require.Zero(t, tab.Of("r0"))
}

// Guards against a data race between requests.
func TestConcurrentUse(t *testing.T) {
	tab := New()
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 1000 {
				tab.Record("r", time.Millisecond)
				_ = tab.Of("r")
			}
		})
	}
	wg.Wait()
	require.Equal(t, 4000, tab.Of("r").Samples)
}

// Guards against a deployment without estimates that ends the process.
func TestNoTableHasNoEstimates(t *testing.T) {
	var table *Table
	table.Record("a", time.Second)
	require.Zero(t, table.Of("a"))
}
