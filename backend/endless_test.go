package backend

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/internal/pipe"
	"godwitlock.example/godwitlock/internal/readlimit"
	"godwitlock.example/godwitlock/topo"
)

// endlessServer answers a request with start, and then repeat again and again
// until its connection is closed, or 8 MiB were written. Without repeat it waits
// until the connection is closed.
type endlessServer struct{ start, repeat string }

// do sends a request to the server, with a deadline of one second. It returns
// the number of bytes accepted from the server before its connection was closed,
// and the error of the request.
func (s *endlessServer) do(t *testing.T) (accepted int, err error) {
	t.Helper()
	lis := pipe.Listen()
	defer func() { _ = lis.Close() }()
	written := make(chan int, 1)
	go func() {
		nc, err := lis.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(nc))
		total, err := io.WriteString(nc, s.start)
		for err == nil && total < 8<<20 && s.repeat != "" {
			var n int
			n, err = io.WriteString(nc, s.repeat)
			total += n
		}
		if err == nil && s.repeat == "" {
			_, _ = nc.Read(make([]byte, 1))
		}
		written <- total
		_ = nc.Close()
	}()
	c := New(topo.BackendServer{ID: "s1", Addr: "s1:80", MaxConns: 3}, lis.Dial)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	req := testRequest()
	req.Method = "GET"
	_, err = c.Do(ctx, req)
	require.NoError(t, ctx.Err(), "ended before the deadline")
	return <-written, err
}

// Guards against a response head that never ends and fills the memory, and
// against the result "not run" for it.
func TestEndlessHeadIsCutOff(t *testing.T) {
	kilobyte := strings.Repeat("x", 1<<10)
	for name, s := range map[string]endlessServer{
		"junk":                    {"\x00", kilobyte},
		"status line":             {"HTTP/1.1 200 ", kilobyte},
		"header section":          {okHead, "X: " + kilobyte + "\r\n"},
		"informational responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				accepted, err := s.do(t)
				require.Equal(t, errkind.OutcomeUnknown, errkind.Of(err))
				require.LessOrEqual(t, accepted, readlimit.ResponseHeadBytes+2*ioBufferBytes)
			})
		})
	}
}

// Guards against a refusal that holds its request until the deadline because its
// body never ends.
func TestRefusalDoesNotWaitForItsBody(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r1\r\nNot-Run: true\r\n"
	for name, s := range map[string]endlessServer{
		"silent": {refusal + "Content-Length: 9\r\n\r\nbusy", ""},
		"long":   {refusal + "Content-Length: 99999999\r\n\r\n", strings.Repeat("x", 1<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				accepted, err := s.do(t)
				require.Equal(t, errkind.ServerRefused, errkind.Of(err))
				require.LessOrEqual(t, accepted, 4*ioBufferBytes)
			})
		})
	}
}
