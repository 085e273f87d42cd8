package balance

import (
	"context"
	"io"
	"math/rand"
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

// fakeBackend is a call.Doer that answers with the server's name, after a latency
// that is set per server.
type fakeBackend struct {
	mu        sync.Mutex
	latency   map[topo.ServerID]time.Duration
	fail      map[topo.ServerID]bool
	sent      []topo.ServerID
	cancelled int // requests that ended by cancellation
	opened    int
	closed    int
}

type countedBody struct {
	io.Reader
	f *fakeBackend
}

func (c countedBody) Close() error {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.f.closed++
	return nil
}

func (f *fakeBackend) Do(ctx context.Context, req *call.Request) (*call.Response, error) {
	f.mu.Lock()
	f.sent = append(f.sent, req.Server)
	latency, fail := f.latency[req.Server], f.fail[req.Server]
	f.mu.Unlock()
	if latency == 0 {
		latency = 10 * ms
	}
	req.Header.Set("Server", string(req.Server))
	select {
	case <-time.After(latency):
	case <-ctx.Done():
		f.mu.Lock()
		f.cancelled++
		f.mu.Unlock()
		return nil, errkind.Wrap(ctx.Err(), errkind.CallerGone, "cut")
	}
	if fail {
		return nil, errkind.New(errkind.ServerUnreachable, "no connection to %s", req.Server)
	}
	f.mu.Lock()
	f.opened++
	f.mu.Unlock()
	return &call.Response{Status: 200, Server: req.Server, Body: countedBody{strings.NewReader(string(req.Server)), f}}, nil
}

func (f *fakeBackend) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func idempotentRequest() *call.Request {
	return &call.Request{Idempotent: true, Header: map[string][]string{}}
}

// get sends a request, reads the response and returns the server that answered.
func get(t *testing.T, b *Balancer, req *call.Request) (topo.ServerID, error) {
	resp, err := b.Do(t.Context(), req)
	if err != nil {
		return "", err
	}
	got, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, string(resp.Server), string(got), "the body is from another attempt than the response head")
	return resp.Server, nil
}

func warmBalancer(t *testing.T, n int) (*Balancer, *fakeBackend) {
	f := &fakeBackend{latency: map[topo.ServerID]time.Duration{}, fail: map[topo.ServerID]bool{}}
	b := NewBalancer(servers(n), rand.New(rand.NewSource(1)), f)
	for range 500 {
		_, err := get(t, b, idempotentRequest())
		require.NoError(t, err)
	}
	// A hedge may start at the moment when a response arrives; wait until it
	// has ended.
	synctest.Wait()
	f.withLock(func() { f.sent, f.cancelled = nil, 0 })
	return b, f
}

// TestHedgeWinsAndLoserIsCancelled guards against a hedge that is not sent, a losing
// attempt that is not cancelled or whose response reaches the caller, and a response
// body that is never closed.
func TestHedgeWinsAndLoserIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, f := warmBalancer(t, 2)
		f.withLock(func() { f.latency["s0"] = time.Hour })
		for range 20 {
			start := time.Now()
			got, err := get(t, b, idempotentRequest())
			require.NoError(t, err)
			require.EqualValues(t, "s1", got)
			require.LessOrEqual(t, time.Since(start), 50*ms)
		}
		synctest.Wait()
		f.withLock(func() {
			require.Positive(t, f.cancelled)
			require.Equal(t, f.cancelled, len(f.sent)-20, "every losing attempt must be cancelled")
			require.Equal(t, f.opened, f.closed)
		})
		for _, s := range b.States() {
			require.Zero(t, s.Outstanding)
		}
	})
}

// TestSecondResponseIsDropped covers two attempts that have both answered before
// either response is read. The second response must be closed and not reach the
// caller.
func TestSecondResponseIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeBackend{}
		b := NewBalancer(servers(2), rand.New(rand.NewSource(1)), f)
		results := make(chan *attempt, 2)
		first, _ := b.pick(idempotentRequest(), "s1")
		second, _ := b.pick(idempotentRequest(), "s0")
		attempts := []*attempt{
			b.start(t.Context(), idempotentRequest(), first, results),
			b.start(t.Context(), idempotentRequest(), second, results),
		}
		time.Sleep(time.Second)
		synctest.Wait()
		require.Len(t, results, 2, "both attempts must have answered")
		resp, err := b.firstSuccess(attempts, results)
		require.NoError(t, err)
		synctest.Wait()
		f.withLock(func() { require.Equal(t, 1, f.closed, "the other response must be closed") })
		require.NoError(t, resp.Body.Close())
		f.withLock(func() { require.Equal(t, f.opened, f.closed) })
	})
}

// TestOnlyRepeatableRequestsAreHedged guards against sending a request twice that is
// not idempotent or whose body can be read only once.
func TestOnlyRepeatableRequestsAreHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, f := warmBalancer(t, 2)
		f.withLock(func() { f.latency["s0"], f.latency["s1"] = time.Second, time.Second })
		nonIdempotent := idempotentRequest()
		nonIdempotent.Idempotent = false
		streamed := idempotentRequest()
		streamed.Body = strings.NewReader("body")
		for _, req := range []*call.Request{nonIdempotent, streamed} {
			f.withLock(func() { f.sent = nil })
			_, err := get(t, b, req)
			require.NoError(t, err)
			f.withLock(func() { require.Equal(t, []topo.ServerID{req.Server}, f.sent) })
		}
	})
}

// TestFailureOfOneAttempt guards against losing the hedge's response because the
// first attempt fails while the hedge is running, and against retrying at the server
// that just failed.
func TestFailureOfOneAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, f := warmBalancer(t, 2)
		f.withLock(func() { f.latency["s0"], f.fail["s0"], f.latency["s1"] = 35*ms, true, 60*ms })
		req := idempotentRequest()
		for req.Server != "s0" {
			req = idempotentRequest()
			got, err := get(t, b, req)
			require.NoError(t, err, "the hedge must answer")
			require.EqualValues(t, "s1", got)
		}
		f.withLock(func() { f.fail["s1"] = true })
		req = idempotentRequest()
		_, err := get(t, b, req)
		require.Equal(t, errkind.ServerUnreachable, errkind.Of(err))
		failed := req.Server
		f.withLock(func() { f.fail = map[topo.ServerID]bool{} })
		_, err = get(t, b, req)
		require.NoError(t, err)
		require.NotEqual(t, failed, req.Server)
	})
}
