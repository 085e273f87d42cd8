package gateway_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/standin/server"
)

// BenchmarkRequest compares a request through the gateway and the backend
// client with the same request sent directly to the stand-in server.
func BenchmarkRequest(b *testing.B) {
	for _, routed := range []bool{false, true} {
		for _, callers := range []int{1, 64} {
			name := map[bool]string{false: "direct", true: "routed"}[routed]
			b.Run(name+"/callers="+map[int]string{1: "1", 64: "64"}[callers], func(b *testing.B) {
				s := newStack(b, server.Options{Slots: 128, MaxConns: 256, MaxRecords: 1}, nil)
				addr := s.server.Addr()
				if routed {
					addr = s.addr
				}
				benchmarkCallers(b, s, addr, callers)
			})
		}
	}
}

func benchmarkCallers(b *testing.B, s *stack, addr string, callers int) {
	b.ReportAllocs()
	total := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	work := make(chan struct{}, b.N)
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	b.ResetTimer()
	for range callers {
		wg.Go(func() {
			perCaller := hdrhistogram.New(1, int64(time.Minute), 3)
			for range work {
				start := time.Now()
				benchmarkOne(b, s, addr)
				_ = perCaller.RecordValue(int64(time.Since(start)))
			}
			mu.Lock()
			defer mu.Unlock()
			total.Merge(perCaller)
		})
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(total.ValueAtQuantile(50))/1e3, "p50-us")
	b.ReportMetric(float64(total.ValueAtQuantile(99))/1e3, "p99-us")
}

func benchmarkOne(b *testing.B, s *stack, addr string) {
	r, err := http.NewRequest("GET", "http://"+addr+"/orders/k1", nil)
	require.NoError(b, err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set(call.HeaderRequestID, "r1")
	resp, err := s.http.Do(r)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(b, err)
	_ = resp.Body.Close()
	require.Equal(b, http.StatusOK, resp.StatusCode)
}
