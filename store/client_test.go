package store

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/internal/pipe"
	"godwitlock.example/godwitlock/internal/readlimit"
)

// Guards against a response of the store that never ends and fills the memory of
// a VM.
func TestEndlessResponseIsCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		start, repeat string
		maxBytes      int
	}{
		"head": {"HTTP/1.1 200 OK\r\n", "X: " + strings.Repeat("x", 1<<10) + "\r\n", 2 * readlimit.ResponseHeadBytes},
		"body": {"HTTP/1.1 200 OK\r\n\r\n{\"objects\":[]}", strings.Repeat(" ", 64<<10), 40 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			lis := pipe.Listen()
			defer func() { _ = lis.Close() }()
			accepted := make(chan int, 1)
			go func() {
				nc, err := lis.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(nc))
				total, err := io.WriteString(nc, c.start)
				for err == nil && total < 512<<20 {
					var n int
					n, err = io.WriteString(nc, c.repeat)
					total += n
				}
				accepted <- total
				_ = nc.Close()
			}()
			transport := NewTransport()
			transport.DialContext = lis.Dial
			_, err := NewClient("http://store", &http.Client{Transport: transport}).List(t.Context(), "")
			require.ErrorIs(t, err, ErrUnavailable)
			require.LessOrEqual(t, <-accepted, c.maxBytes)
		})
	}
}
