package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// maxEndlessBytes is far beyond the limits of the tests.
const maxEndlessBytes = 8 << 20

// Guards against a message of a caller that is read, or waited for, without end.
func TestEndlessMessageOfACallerIsCutOff(t *testing.T) {
	limits := Limits{HeaderBytes: 8 << 10, BodyBytes: 100 << 10, HeaderTimeout: 3 * time.Second}
	kilobyte := strings.Repeat("x", 1<<10)
	chunked := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		start, repeat string
		// pause is the time between two repeats.
		pause time.Duration
		// status is that of the response, which arrives at the time at.
		status   int
		at       time.Duration
		maxBytes int
	}{
		"request line":        {"GET /", kilobyte, 0, 400, 0, 16 << 10},
		"header section":      {"GET / HTTP/1.1\r\n", "X: " + kilobyte + "\r\n", 0, 431, 0, 16 << 10},
		"header value":        {"GET / HTTP/1.1\r\nX: ", kilobyte, 0, 431, 0, 16 << 10},
		"slow header section": {"GET / HTTP/1.1\r\n", "X: x\r\n", time.Second, 408, limits.HeaderTimeout, 1 << 10},
		"chunks":              {chunked, "400\r\n" + kilobyte + "\r\n", 0, 200, 0, 128 << 10},
		"chunk extension":     {chunked + "1;", kilobyte, 0, 400, 0, 16 << 10},
		"chunk extensions":    {chunked, "1;" + kilobyte + "\r\nx\r\n", 0, 400, 0, 32 << 10},
		"trailers":            {chunked + "0\r\n", "X: " + kilobyte + "\r\n", 0, 400, 0, 16 << 10},
		"slow chunks":         {chunked, "1\r\nx\r\n", time.Second, 408, bodyReadTimeout, 1 << 10},
		"slow body by length": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n", "x", time.Second, 408, bodyReadTimeout, 1 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := NewServer(testHeaders, readBodyHandler, func() Limits { return limits })
				caller, server := net.Pipe()
				start, ended := time.Now(), make(chan struct{})
				go func() { newConn(s, server).serve(); close(ended) }()
				accepted := make(chan int, 1)
				go func() {
					total, err := io.WriteString(caller, c.start)
					for err == nil && total < maxEndlessBytes {
						time.Sleep(c.pause)
						var n int
						n, err = io.WriteString(caller, c.repeat)
						total += n
					}
					_ = caller.Close()
					accepted <- total
				}()
				resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
				require.NoError(t, err)
				require.Equal(t, c.status, resp.StatusCode)
				require.Equal(t, c.at, time.Since(start))
				<-ended
				require.LessOrEqual(t, <-accepted, c.maxBytes)
			})
		})
	}
}

// readBodyHandler reads a streamed body to its end and answers with status 200.
func readBodyHandler(_ context.Context, r *Request) *Response {
	if r.Stream != nil {
		_, _ = io.Copy(io.Discard, r.Stream)
	}
	return textResponse(http.StatusOK, "")
}

// Guards against a connection that stays open after its last response because the
// caller goes on sending.
func TestCallerThatNeverStopsSendingIsClosed(t *testing.T) {
	s, nc := startServer(t, Limits{}, echo)
	send(t, nc, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	go func() { _, _ = io.Copy(io.Discard, nc) }()
	var err error
	for start := time.Now(); err == nil && time.Since(start) < 30*time.Second; time.Sleep(time.Millisecond) {
		_, err = io.WriteString(nc, strings.Repeat("x", 1<<10))
	}
	require.Error(t, err, "connection is still open after 30 s")
	for s.OpenConnections() > 0 {
		time.Sleep(time.Millisecond)
	}
}
