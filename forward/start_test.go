package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

func newStartingForwarder() *Forwarder {
	return New(Config{
		View: view.New(), Slots: &fakeSlots{}, RateLimiter: &fakeRates{}, Stats: fakeStats{}, Log: declog.New(io.Discard, "vm"),
		Fresh: func() bool { return true }, Budgets: NewBudgets(0.5, func() float64 { return 10 }),
	})
}

// Guards against refusing requests that come a moment before a started VM has its
// configuration.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStartingForwarder()
		go func() {
			time.Sleep(200 * time.Millisecond)
			m, err := routemap.Compile(routemap.Config{Version: 1})
			require.NoError(t, err)
			f.View.SetConfig(m, nil, 1)
		}()
		start := time.Now()
		ans := f.Serve(context.Background(), newRequest("/w/1"))
		require.Equal(t, http.StatusNotFound, ans.Status)
		require.Equal(t, 200*time.Millisecond, time.Since(start))
	})
}

// Guards against holding requests on a VM that gets no configuration, and against
// telling all callers to come back at once.
func TestRefusalWithoutConfigurationIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStartingForwarder()
		seen := make(map[string]bool)
		for range 20 {
			r := newRequest("/w/1")
			r.Deadline = time.Now().Add(2 * time.Second)
			start := time.Now()
			ans := f.Serve(context.Background(), r)
			require.Equal(t, http.StatusServiceUnavailable, ans.Status)
			require.Equal(t, 250*time.Millisecond, time.Since(start))
			text := ans.Header.Get("Retry-After")
			seen[text] = true
			after, err := strconv.ParseFloat(text, 64)
			require.NoError(t, err)
			require.GreaterOrEqual(t, after, 0.19)
			require.LessOrEqual(t, after, 1.75/3+0.001)
		}
		require.Greater(t, len(seen), 3)
	})
}

// Guards against requests that are refused a moment before homes and owners are known
// again after a loss of all VMs, and against ones that wait as long at other times.
func TestChangeWait(t *testing.T) {
	f := &Forwarder{started: clock.Boot()}
	r := &request{deadline: time.Now().Add(4 * time.Second)}
	require.InDelta(t, 2, f.changeWait(r).Seconds(), 0.1)
	r.deadline = time.Now().Add(time.Minute)
	require.InDelta(t, 15, f.changeWait(r).Seconds(), 0.1, "a quarter, not half of a long time")
	f.started = clock.Boot().Add(-startupTime)
	r.deadline = time.Now().Add(4 * time.Second)
	require.InDelta(t, 1, f.changeWait(r).Seconds(), 0.1)
	r.deadline = time.Now().Add(time.Second)
	require.InDelta(t, 0.5, f.changeWait(r).Seconds(), 0.1, "half of a short time, not minOwnerWait")
}

// waitingRates grants no token before ctx ends, and records until when it may wait.
type waitingRates struct {
	fakeRates
	wait time.Duration
}

func (w *waitingRates) Take(ctx context.Context, _ topo.CustomerID, until time.Time) errkind.Kind {
	w.wait = time.Until(until)
	<-ctx.Done()
	return errkind.NotHome
}

// Guards against a stop that a request outlasts while it waits for the home of its
// customer, and against callers that wait at a VM which has had no leader for long.
func TestWaitForTheHomeEnds(t *testing.T) {
	rates := &waitingRates{}
	f := New(Config{RateLimiter: rates, Log: declog.New(io.Discard, "vm")})
	r := &request{deadline: time.Now().Add(time.Minute), customer: &routemap.Customer{ID: "c"}}
	f.RefuseWaiting()
	require.Equal(t, errkind.NotHome, f.takeToken(context.Background(), &view.Snapshot{}, r))
	require.Greater(t, rates.wait, time.Second)
	f.started = clock.Boot().Add(-2 * startupTime)
	require.Equal(t, errkind.NotHome, f.takeToken(context.Background(), &view.Snapshot{}, r))
	require.LessOrEqual(t, rates.wait, time.Duration(0))
}
