package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/call"
)

func plan(target string) *Plan {
	return &Plan{
		Targets: []string{target}, Customers: []Customer{{ID: "c", CallerKey: "secret", Rate: 1000}},
		Kinds: []Kind{{Name: "k", Method: "GET", Path: "/x/%s", Share: 1}},
		Keys:  100, ZipfS: 1.1, HotKeyPeriod: time.Second, Timeout: time.Second, Duration: time.Hour,
		MaxRequests: 20, MaxInFlight: 100, Seed: 7,
	}
}

// Guards against coordinated omission by a schedule that waits for responses,
// and against a schedule that differs between runs with the same seed.
func TestScheduleDependsOnThePlanAlone(t *testing.T) {
	a, b := newSchedule(plan("http://x")), newSchedule(plan("http://x"))
	last := time.Duration(0)
	for range 1000 {
		at, j := a.next()
		at2, j2 := b.next()
		require.Equal(t, at, at2)
		require.Equal(t, j.key, j2.key)
		require.GreaterOrEqual(t, at, last)
		last = at
	}
}

// Guards against a set of hot keys that never changes.
func TestHotSetChanges(t *testing.T) {
	s := newSchedule(plan("http://x"))
	mostFrequentKey := func(at time.Duration) string {
		counts, best := map[string]int{}, ""
		for range 2000 {
			k := s.key(at)
			if counts[k]++; counts[k] > counts[best] {
				best = k
			}
		}
		return best
	}
	require.Equal(t, mostFrequentKey(0), mostFrequentKey(time.Second/2))
	require.NotEqual(t, mostFrequentKey(0), mostFrequentKey(time.Second))
}

// Guards against latencies that exclude the time that a request waited before
// it was sent.
func TestLatencyCountsFromTheIntendedTime(t *testing.T) {
	at := time.Unix(100, 0)
	r := Record{Intended: at, Sent: at.Add(3 * time.Second), Done: at.Add(4 * time.Second)}
	require.Equal(t, 4*time.Second, r.Latency())
	require.InEpsilon(t, 4e6, float64(Histogram([]Record{r}).Max()), 0.001)
}

// Guards against runs without a bound, requests beyond the bound, and records
// that are lost or do not show what the caller saw.
func TestRunIsBoundedAndRecordsEveryRequest(t *testing.T) {
	var n atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(call.HeaderRequestID, r.Header.Get(call.HeaderRequestID))
		switch n.Add(1) {
		case 1:
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"key":"`))
			panic(http.ErrAbortHandler)
		case 2:
			w.Header().Set(call.HeaderError, "queue_full")
			w.Header().Set(call.HeaderOutcome, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			_, _ = w.Write([]byte(`{"key":"` + strings.TrimPrefix(r.URL.Path, "/x/") + `"}`))
		}
	}))
	defer srv.Close()
	p := plan(srv.URL)
	records, err := Run(context.Background(), p)
	require.NoError(t, err)
	require.Len(t, records, p.MaxRequests)
	broken, refused := 0, 0
	for _, r := range records {
		switch {
		case r.TransportError != "":
			require.False(t, r.OK())
			broken++
		case r.Outcome == "not-run":
			refused++
		default:
			require.True(t, r.OK())
			require.Equal(t, r.Key, r.ResponseKey)
			require.Equal(t, r.ID, r.EchoedID)
		}
	}
	require.Equal(t, 1, broken)
	require.Equal(t, 1, refused)
	lines := Summarise(records)
	require.Equal(t, "all", lines[0].Group)
	require.Equal(t, map[string]int{"connection_fault": 1, "queue_full": 1}, lines[0].Errors)

	p.Duration = 0
	_, err = Run(context.Background(), p)
	require.Error(t, err)
}

// Guards against a repeat with a new idempotency key, which would hide a double
// execution.
func TestRepeatHasTheSameIdempotencyKey(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer srv.Close()
	p := plan(srv.URL)
	p.Kinds[0] = Kind{Name: "once", Method: "POST", Path: "/x/%s", Share: 1, ExactlyOnce: true, BodyBytes: 10}
	p.RepeatShare, p.MaxRequests = 1, 3
	records, err := Run(context.Background(), p)
	require.NoError(t, err)
	times := map[string]int{}
	for _, r := range records {
		times[r.IdempotencyKey]++
	}
	require.Len(t, times, 3)
	for key, n := range times {
		require.Equal(t, 2, n, key)
	}
}

// Guards against net/http sending a request twice with one id. A refusal of the
// second copy would look like a false "not run" of the first.
func TestEachRecordIsOneRequest(t *testing.T) {
	var n atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 || len(r.TransferEncoding) > 0 {
			t.Error("a GET request was sent with a body")
		}
		if n.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer srv.Close()
	p := plan(srv.URL)
	p.MaxInFlight, p.MaxRequests = 1, 10
	p.Customers[0].Rate = 100
	records, err := Run(context.Background(), p)
	require.NoError(t, err)
	sent, broken := 0, 0
	for _, r := range records {
		if !r.Unsent {
			sent++
		}
		if r.TransportError != "" && !r.Unsent {
			broken++
		}
	}
	require.EqualValues(t, sent, n.Load())
	require.Equal(t, sent-1, broken)
}
