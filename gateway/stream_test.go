package gateway_test

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/gateway"
	"godwitlock.example/godwitlock/standin/server"
)

// patternReader is a body of n bytes that never repeats a block, so that a
// misplaced block changes the checksum.
type patternReader struct{ offset, n int64 }

func (r *patternReader) Read(p []byte) (int, error) {
	if r.offset == r.n {
		return 0, io.EOF
	}
	p = p[:min(int64(len(p)), r.n-r.offset)]
	for i := range p {
		p[i] = byte((r.offset + int64(i)) * 2654435761 >> 8)
	}
	r.offset += int64(len(p))
	return len(p), nil
}

// maxHeapGrowthBytes bounds how much a 64 MiB body may add to the heap: the
// buffers of gateway, client and stand-in server, with room for garbage.
const maxHeapGrowthBytes = 32 << 20

// heapCheckedReader is a reader that fails the test if the heap grows by
// maxHeapGrowthBytes or more.
type heapCheckedReader struct {
	io.Reader
	tb     testing.TB
	before uint64
	reads  int
}

func newHeapCheckedReader(tb testing.TB, r io.Reader) *heapCheckedReader {
	runtime.GC()
	return &heapCheckedReader{Reader: r, tb: tb, before: heapInUse()}
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func (r *heapCheckedReader) Read(p []byte) (int, error) {
	if r.reads++; r.reads%256 == 0 {
		require.Less(r.tb, heapInUse(), r.before+maxHeapGrowthBytes)
	}
	return r.Reader.Read(p)
}

// Guards against corrupting large bodies or buffering them in memory.
func TestLargeBodies(t *testing.T) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/2.0"} {
		t.Run(proto, func(t *testing.T) {
			s := newStack(t, server.Options{}, nil)
			if proto == "HTTP/2.0" {
				s.useHTTP2()
			}
			want := sha256.New()
			_, _ = io.Copy(want, &patternReader{n: maxBody})
			resp, _ := s.do(t, "POST", "/images/k1", newHeapCheckedReader(t, &patternReader{n: maxBody}))
			require.Equal(t, http.StatusOK, resp.StatusCode)
			rec := s.server.Records()[0]
			require.EqualValues(t, maxBody, rec.BodyBytes)
			require.Equal(t, [32]byte(want.Sum(nil)), rec.BodySHA256)

			for _, framing := range []string{"", "&chunked=1"} {
				resp, err := s.http.Do(s.request(t, t.Context(), "GET", "/images/k1?bytes="+strconv.Itoa(maxBody)+framing, nil))
				require.NoError(t, err)
				n, err := io.Copy(io.Discard, newHeapCheckedReader(t, resp.Body))
				require.NoError(t, err)
				require.EqualValues(t, maxBody, n)
				_ = resp.Body.Close()
			}
		})
	}
}

// Guards against a chunked body over the route's limit that the server accepts
// as complete, and against reporting "not run" for it.
func TestStreamedBodyTooLarge(t *testing.T) {
	s := newStack(t, server.Options{}, nil)
	resp, err := s.http.Do(s.request(t, t.Context(), "POST", "/images/k1", io.MultiReader(&patternReader{n: maxBody + 1})))
	if err == nil {
		requireRefusal(t, resp, errkind.OutcomeUnknown)
		_ = resp.Body.Close()
	}
	require.Empty(t, s.server.Records())
	require.EqualValues(t, 1, s.deps.settled.Load())
}

// Guards against losing trailers, and against forwarding a caller key in a
// trailer.
func TestTrailers(t *testing.T) {
	for _, size := range []int64{3, call.MaxBufferedBody + 1} {
		s := newStack(t, server.Options{}, nil)
		r := s.request(t, t.Context(), "POST", "/images/k1?trailer=1", io.MultiReader(&patternReader{n: size}))
		r.Trailer = http.Header{"X-Sum": {"abc"}, "Authorization": {"Bearer " + testKey}, "Customer-Id": {"c9"}}
		resp, err := s.http.Do(r)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		_ = resp.Body.Close()
		require.NotEmpty(t, resp.Trailer.Get("Checksum"))
		require.Equal(t, http.Header{"X-Sum": {"abc"}}, s.server.Records()[0].Trailer)
	}
}

// Guards against a truncated response that the caller receives as complete.
func TestTruncatedResponse(t *testing.T) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/2.0"} {
		for _, query := range []string{"?bytes=100000", "?bytes=100000&chunked=1", "?bytes=10", "?trailer=1"} {
			t.Run(proto+query, func(t *testing.T) {
				s := newStack(t, server.Options{}, nil)
				if proto == "HTTP/2.0" {
					s.useHTTP2()
				}
				one := 1
				s.server.Apply(server.Faults{Truncate: &one})
				resp, err := s.http.Do(s.request(t, t.Context(), "GET", "/images/k1"+query, nil))
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				require.Error(t, err)
			})
		}
	}
}

// Guards against a second run after the response was lost or replaced by that
// of another request.
func TestOutcomeUnknown(t *testing.T) {
	one := 1
	for name, f := range map[string]server.Faults{"lost": {LoseResponse: &one}, "crossed": {CrossResponse: &one}} {
		t.Run(name, func(t *testing.T) {
			s := newStack(t, server.Options{}, nil)
			s.do(t, "GET", "/orders/k0", nil)
			s.server.Apply(f)
			resp, _ := s.do(t, "POST", "/orders/k1", strings.NewReader("x"), "Idempotency-Key", uuid.Must(uuid.NewV7()).String())
			requireRefusal(t, resp, errkind.OutcomeUnknown)
			require.Len(t, s.server.Records(), 2)
			require.Equal(t, 1, s.server.ExecutionsForKey("k1"))
			require.Zero(t, s.deps.released.Load())
		})
	}
}

// Guards against a request that keeps running after its caller disconnected or
// its deadline passed, and against a deadline that is not sent to the server.
func TestCancelAndDeadline(t *testing.T) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/2.0"} {
		t.Run(proto, func(t *testing.T) {
			// Otherwise the server would respond with 504 itself at the
			// deadline.
			s := newStack(t, server.Options{IgnoresDeadline: true}, nil)
			if proto == "HTTP/2.0" {
				s.useHTTP2()
			}
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				for s.server.Stats().Executions == 0 {
					time.Sleep(time.Millisecond)
				}
				cancel()
			}()
			_, err := s.http.Do(s.request(t, ctx, "POST", "/images/k1?work_ms=600000", strings.NewReader("x")))
			require.ErrorIs(t, err, context.Canceled)
			s.awaitCancelled(1)

			resp, _ := s.do(t, "POST", "/images/k1?work_ms=600000", strings.NewReader("x"), "Request-Timeout-Ms", "50")
			requireRefusal(t, resp, errkind.DeadlineAfterRun)
			s.awaitCancelled(2)
			ms, err := strconv.Atoi(s.server.Records()[1].TimeoutMS)
			require.NoError(t, err)
			require.LessOrEqual(t, ms, 50)
			ms, err = strconv.Atoi(s.server.Records()[0].TimeoutMS)
			require.NoError(t, err)
			require.LessOrEqual(t, ms, 60_000, "timeout sent to the server exceeds the route's default")
		})
	}
}

// awaitCancelled waits until the server has cancelled n executions.
func (s *stack) awaitCancelled(n uint64) {
	for s.server.Stats().Cancelled < n {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a planned shutdown that aborts a request in flight or fails
// one more request on a keep-alive connection.
func TestShutdown(t *testing.T) {
	s := newStack(t, server.Options{}, func(c *gateway.Config) { c.DrainTimeout = time.Hour })
	beforeShutdown, _ := s.do(t, "GET", "/orders/k1", nil)
	require.False(t, beforeShutdown.Close)
	type result struct {
		resp *http.Response
		body []byte
	}
	running := make(chan result)
	go func() {
		resp, body := s.do(t, "GET", "/orders/k1?work_ms=100&bytes=100000", nil)
		running <- result{resp, body}
	}()
	for s.server.Stats().Executions < 2 {
		time.Sleep(time.Millisecond)
	}
	done := make(chan error)
	go func() { done <- s.gateway.Shutdown(context.Background()) }()
	for ready := 0; ready != http.StatusServiceUnavailable; {
		resp, _ := s.do(t, "GET", gateway.ReadyPath, nil)
		ready = resp.StatusCode
	}
	whileDraining, _ := s.do(t, "GET", "/orders/k2", nil)
	require.Equal(t, http.StatusOK, whileDraining.StatusCode)
	require.True(t, whileDraining.Close, "Connection: close is missing")
	r := <-running
	require.Equal(t, http.StatusOK, r.resp.StatusCode)
	require.Len(t, r.body, 100000)
	s.http.CloseIdleConnections()
	require.NoError(t, <-done)
}
