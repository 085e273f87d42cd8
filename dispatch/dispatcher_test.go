package dispatch

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/topo"
)

// fakeServer returns the head of each response after a fixed latency.
type fakeServer struct {
	mu            sync.Mutex
	latency       time.Duration
	running, peak int
	sent          int
}

func (f *fakeServer) Do(ctx context.Context, _ *call.Request) (*call.Response, error) {
	f.mu.Lock()
	f.running++
	f.sent++
	f.peak = max(f.peak, f.running)
	f.mu.Unlock()
	defer func() { f.mu.Lock(); f.running--; f.mu.Unlock() }()
	select {
	case <-time.After(f.latency):
		return &call.Response{Status: 200, Body: io.NopCloser(strings.NewReader("complete"))}, nil
	case <-ctx.Done():
		return nil, errkind.Wrap(ctx.Err(), errkind.DeadlineAfterRun, "cut")
	}
}

func (f *fakeServer) counts() (sent, peak int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent, f.peak
}

func newRequest(s topo.SliceID) *call.Request {
	return &call.Request{Customer: "a", Slice: s}
}

// readAll reads a response body to its end, which frees the slot.
func readAll(resp *call.Response, err error) error {
	if err != nil {
		return err
	}
	b, err := io.ReadAll(resp.Body)
	if err == nil && string(b) != "complete" {
		err = errors.New("truncated")
	}
	return err
}

var oneSlot = Config{Slots: 1, MaxConns: 10, WarmLatency: 10 * ms}

// Guards against a slot that is freed before the response body has been read or
// closed, or that is never freed.
func TestSlotIsHeldUntilTheBodyEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{latency: 10 * ms}
		d := NewDispatcher(oneSlot, f, nil)
		first, err := d.Do(t.Context(), newRequest(0))
		require.NoError(t, err)
		second := make(chan error, 1)
		go func() { second <- readAll(d.Do(t.Context(), newRequest(0))) }()
		time.Sleep(time.Second)
		sent, _ := f.counts()
		require.Equal(t, 1, sent, "a request was sent before the first response body was closed")
		require.Equal(t, Stats{Queued: 1, Running: 1, Limit: 1, Cold: true}, d.Stats())
		require.NoError(t, first.Body.Close())
		require.NoError(t, first.Body.Close())
		require.NoError(t, <-second)
		require.Zero(t, d.Stats().Running)
	})
}

// Guards against sending a request after its caller got the outcome "not run",
// because it was cancelled or refused while queued, or because the lease had
// lapsed at the moment of sending.
func TestRefusedRequestsWereNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{latency: time.Second}
		var lease error
		d := NewDispatcher(oneSlot, f, func(*call.Request) error { return lease })
		ctx, cancel := context.WithCancel(t.Context())
		running := make(chan error, 1)
		go func() { running <- readAll(d.Do(t.Context(), newRequest(0))) }()
		synctest.Wait()
		cancelled := make(chan error, 1)
		go func() { cancelled <- readAll(d.Do(ctx, newRequest(0))) }()
		late, stop := context.WithTimeout(t.Context(), 100*ms)
		defer stop()
		err := readAll(d.Do(late, newRequest(0)))
		require.Equal(t, errkind.DeadlineBeforeRun, errkind.Of(err))
		cancel()
		err = <-cancelled
		require.Equal(t, errkind.NotRun, errkind.Of(err).Answer().Outcome)
		require.NoError(t, <-running)
		lease = errors.New("lease lapsed")
		err = readAll(d.Do(t.Context(), newRequest(0)))
		require.Equal(t, errkind.NotHome, errkind.Of(err))
		sent, _ := f.counts()
		require.Equal(t, 1, sent)
		require.Equal(t, 0, d.Stats().Running, "a slot leaked")
	})
}

// Guards against a request that stays queued beyond MaxWait because no other event
// wakes the dispatcher.
func TestQueuedRequestEndsAfterMaxWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDispatcher(oneSlot, &fakeServer{latency: time.Hour}, nil)
		ctx, cancel := context.WithCancel(t.Context())
		running := make(chan error, 1)
		go func() { running <- readAll(d.Do(ctx, newRequest(0))) }()
		synctest.Wait()
		start := time.Now()
		err := readAll(d.Do(t.Context(), newRequest(0)))
		require.Equal(t, errkind.DeadlineBeforeRun, errkind.Of(err))
		require.Equal(t, DefaultMaxWait, time.Since(start))
		cancel()
		require.Equal(t, errkind.DeadlineAfterRun, errkind.Of(<-running))
	})
}

// Guards against a drain that returns while requests of the slice are running,
// aborts them, or leaves the slice draining after a time-out.
func TestDrainWaitsForRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{latency: 300 * ms}
		d := NewDispatcher(oneSlot, f, nil)
		results := make(chan error, 2)
		go func() { results <- readAll(d.Do(t.Context(), newRequest(1))) }()
		synctest.Wait()
		go func() { results <- readAll(d.Do(t.Context(), newRequest(1))) }()
		synctest.Wait()
		short, cancel := context.WithTimeout(t.Context(), 100*ms)
		defer cancel()
		require.Error(t, d.Drain(short, 1))
		require.Equal(t, errkind.NotHome, errkind.Of(<-results), "a queued request must be refused so that it is routed again")
		require.False(t, d.queue.draining[1], "the slice must accept requests again after a drain that timed out")
		start := time.Now()
		require.NoError(t, d.Drain(t.Context(), 1))
		require.Equal(t, 200*ms, time.Since(start))
		require.NoError(t, <-results)
		require.Equal(t, errkind.NotHome, errkind.Of(readAll(d.Do(t.Context(), newRequest(1)))))
		require.NoError(t, readAll(d.Do(t.Context(), newRequest(2))), "other slices must not be affected")
		d.Undrain(1)
		require.NoError(t, readAll(d.Do(t.Context(), newRequest(1))))
	})
}

// Guards against a planned stop that aborts or refuses requests that were already
// accepted, and against sending queued requests to a server after Leave.
func TestStopServesQueuedRequestsAndLeaveRefusesThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, leave := range []bool{false, true} {
			f := &fakeServer{latency: 10 * ms}
			d := NewDispatcher(oneSlot, f, nil)
			results := make(chan error, 5)
			for range 5 {
				go func() { results <- readAll(d.Do(t.Context(), newRequest(0))) }()
			}
			synctest.Wait()
			if leave {
				require.NoError(t, d.Leave(t.Context()))
			} else {
				require.NoError(t, d.Stop(t.Context()))
			}
			served := 0
			for range 5 {
				if err := <-results; err == nil {
					served++
				} else {
					require.Equal(t, errkind.NotHome, errkind.Of(err))
				}
			}
			require.Equal(t, map[bool]int{false: 5, true: 1}[leave], served)
			err := readAll(d.Do(t.Context(), newRequest(0)))
			require.Equal(t, errkind.NotRun, errkind.Of(err).Answer().Outcome)
		}
	})
}

// Guards against a customer whose requests cause errors in the server's code, such
// as status 500, and thereby make the server count as cold for all customers.
func TestOnlyOverloadStatusesCountAsFailures(t *testing.T) {
	for status, want := range map[int]Verdict{200: Served, 404: Served, 500: Served, 429: Failed, 503: Failed} {
		require.Equal(t, want, verdictOfStatus(status), status)
	}
}

// Guards against a slot that leaks when it is granted to a request while its caller
// cancels. The order of the two events is random, so the test repeats 100 times.
func TestSlotDoesNotLeakWhenCallerCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDispatcher(oneSlot, &fakeServer{latency: ms}, nil)
		for range 100 {
			first, err := d.Do(t.Context(), newRequest(0))
			require.NoError(t, err)
			ctx, cancel := context.WithCancel(t.Context())
			second := make(chan error, 1)
			go func() { second <- readAll(d.Do(ctx, newRequest(0))) }()
			synctest.Wait()
			d.mu.Lock()
			cancel()
			go first.Body.Close()
			d.mu.Unlock()
			<-second
			synctest.Wait()
			require.True(t, d.queue.Idle())
		}
	})
}

// Guards against leaked or excess slots when many callers arrive, cancel and time
// out concurrently, with the slot counts of both deployments.
func TestSlotsAndConnectionsUnderChurn(t *testing.T) {
	for _, slots := range []int{3, 6} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeServer{latency: 7 * ms}
			d := NewDispatcher(Config{Slots: slots, MaxConns: 120, WarmLatency: 7 * ms}, f, nil)
			var wg sync.WaitGroup
			for i := range 2000 {
				time.Sleep(ms)
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(3+i*7%50)*ms)
					defer cancel()
					_ = readAll(d.Do(ctx, newRequest(topo.SliceID(i%5))))
				})
			}
			wg.Wait()
			require.NoError(t, d.Stop(t.Context()))
			sent, peak := f.counts()
			require.Equal(t, slots, peak)
			require.Greater(t, sent, 500)
			require.Equal(t, 0, d.Stats().Running)
		})
	}
}
