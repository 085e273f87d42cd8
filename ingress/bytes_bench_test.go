package ingress

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/membudget"
)

// BenchmarkBytesPerConnection measures what a connection holds in each state, heap and
// stacks, and what is accounted for it. The callers' ends are part of the figure.
func BenchmarkBytesPerConnection(b *testing.B) {
	get, post := "GET /hold HTTP/1.1\r\nHost: h\r\n", "POST /hold HTTP/1.1\r\nHost: h\r\n"
	for _, c := range []struct{ name, text string }{
		{"idle", ""},
		{"idle after a request", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"head of 1 kB without end", get + fields(10, 90)},
		{"head of 15 kB without end", get + fields(2500, 0)},
		{"request running", get + "\r\n"},
		{"request running with 2300 fields", get + fields(2300, 0) + "\r\n"},
		{"16 requests running", strings.Repeat(get+"\r\n", 16)},
		{"body of 65000 bytes one byte short", post + "Content-Length: 65000\r\n\r\n" + strings.Repeat("x", 64999)},
		{"chunked body of 65000 bytes one byte short", post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 64999)},
		{"16 answers of 20 kB behind one that runs", get + "\r\n" + strings.Repeat("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n", 15)},
	} {
		b.Run(c.name, func(b *testing.B) {
			release := make(chan struct{})
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			s := NewServer(testHeaders, func(_ context.Context, r *Request) *Response {
				switch r.Path {
				case "/hold":
					<-release
				case "/stream":
					return &Response{Status: 200, Stream: io.NopCloser(strings.NewReader(strings.Repeat("x", 20_000))), Length: 20_000}
				}
				return textResponse(200, "x")
			}, func() Limits { return Limits{HeaderTimeout: time.Minute} })
			s.Memory = membudget.New(1 << 30)
			s.Callers.BodyTime = time.Minute
			go func() { _ = s.Serve(lis) }()
			used := func() int64 {
				runtime.GC()
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return int64(m.HeapAlloc + m.StackInuse)
			}
			held := func() (sum int64) {
				for _, p := range membudget.Purposes() {
					sum += s.Memory.Held(p)
				}
				return sum
			}
			const conns = 200
			before := used()
			var open []net.Conn
			for range conns {
				nc, err := net.Dial("tcp", lis.Addr().String())
				require.NoError(b, err)
				_, err = io.WriteString(nc, c.text)
				require.NoError(b, err)
				open = append(open, nc)
			}
			for last := int64(-1); held() != last; time.Sleep(500 * time.Millisecond) {
				last = held()
			}
			b.ReportMetric(float64(used()-before)/conns, "bytes/conn")
			b.ReportMetric(float64(held())/conns, "accounted/conn")
			close(release)
			for _, nc := range open {
				_ = nc.Close()
			}
			_ = lis.Close()
			s.wg.Wait()
		})
	}
}
