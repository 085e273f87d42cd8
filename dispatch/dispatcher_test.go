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

// fakeServer takes a fixed time for the head of each response.
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

// readAll reads a response to its end, which frees the slot.
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

// Guards against a slot that is freed before the response was read, or never.
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
		require.Equal(t, 1, sent, "sent while the first response was being read")
		require.Equal(t, Stats{Queued: 1, Running: 1, Limit: 1, Cold: true}, d.Stats())
		require.NoError(t, first.Body.Close())
		require.NoError(t, first.Body.Close())
		require.NoError(t, <-second)
		require.Zero(t, d.Stats().Running)
	})
}

// Guards against requests that run though their caller was told "not run":
// ended or refused while queued, or without a lease at the moment of sending.
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
		require.Equal(t, 0, d.Stats().Running, "a slot was lost")
	})
}

// Guards against a request that waits beyond MaxWait because nothing else
// happens at the server.
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

// Guards against a move that starts while requests of the slice run, that cuts
// them, or that goes on when the drain took too long.
func TestDrainWaitsAndCutsNothing(t *testing.T) {
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
		require.Equal(t, errkind.NotHome, errkind.Of(<-results), "queued requests are routed anew")
		require.False(t, d.queue.draining[1], "a move that was given up leaves the slice closed")
		start := time.Now()
		require.NoError(t, d.Drain(t.Context(), 1))
		require.Equal(t, 200*ms, time.Since(start))
		require.NoError(t, <-results)
		require.Equal(t, errkind.NotHome, errkind.Of(readAll(d.Do(t.Context(), newRequest(1)))))
		require.NoError(t, readAll(d.Do(t.Context(), newRequest(2))), "other slices go on")
		d.Undrain(1)
		require.NoError(t, readAll(d.Do(t.Context(), newRequest(1))))
	})
}

// Guards against a planned stop that cuts or refuses requests it had taken, and
// against a server that is leaving and still gets queued ones.
func TestStopRunsTheQueueOutAndLeaveDoesNot(t *testing.T) {
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

// Guards against a customer whose requests fail in the server's code and make
// the server count as cold for all.
func TestStatusOfTheRequestSaysNothingOfTheServer(t *testing.T) {
	for status, want := range map[int]Verdict{200: Served, 404: Served, 500: Served, 429: Failed, 503: Failed} {
		require.Equal(t, want, verdictOfStatus(status), status)
	}
}

// Guards against a slot that is lost when it is given to a request at the moment
// at which its caller leaves. The order of the two is left to chance, 100 times.
func TestSlotIsNotLostToACallerThatLeaves(t *testing.T) {
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

// Guards against slots lost or exceeded when many callers come, leave and time
// out at once, with the sizes of both deployments.
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
