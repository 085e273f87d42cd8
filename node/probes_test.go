package node

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/internal/pipe"
)

// Guards against connections to the ready and metrics addresses that stay open,
// or fill the memory, while their request never ends.
func TestEndlessProbeIsCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		repeat string
		pause  time.Duration
	}{
		"header section":      {"X: " + strings.Repeat("x", 1<<10) + "\r\n", 0},
		"slow header section": {"X: x\r\n", time.Second},
		"silence":             {"", time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lis := pipe.Listen()
				srv := newProbeServer(http.NotFoundHandler())
				go func() { _ = srv.Serve(lis) }()
				nc, err := lis.Dial(t.Context(), "", "")
				require.NoError(t, err)
				closed, start := make(chan struct{}), time.Now()
				go func() {
					defer close(closed)
					_, _ = io.Copy(io.Discard, nc)
					_ = nc.Close()
				}()
				total, err := io.WriteString(nc, "GET /ready HTTP/1.1\r\nHost: h\r\n")
				for err == nil && total < 8<<20 && time.Since(start) < time.Minute {
					time.Sleep(c.pause)
					var n int
					n, err = io.WriteString(nc, c.repeat)
					total += n
				}
				require.LessOrEqual(t, total, 2*maxProbeHeadBytes)
				select {
				case <-closed:
				case <-time.After(time.Minute):
					require.Fail(t, "connection is still open")
				}
				require.NoError(t, srv.Close())
			})
		})
	}
}
