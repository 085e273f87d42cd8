package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endingBody returns size bytes and then end.
type endingBody struct {
	size int
	end  error
}

func (b *endingBody) Read(p []byte) (int, error) {
	if b.size == 0 {
		// Lets the caller's upload fill the buffers of the connection.
		time.Sleep(10 * time.Millisecond)
		return 0, b.end
	}
	n := min(b.size, len(p))
	b.size -= n
	return n, nil
}

func (b *endingBody) Close() error { return nil }

// upload sends a long request to a server that answers it with the given body, without a
// length, while the request is still being sent. It returns what the caller gets.
func upload(t *testing.T, answer *endingBody) (*http.Response, int64, error) {
	t.Helper()
	_, nc := startServer(t, Limits{BodyBytes: 1 << 40}, func(_ context.Context, r *Request) *Response {
		go func() { _, _ = io.Copy(io.Discard, r.Stream) }()
		return unframedResponse(answer, "")
	})
	send(t, nc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "+strconv.Itoa(1<<40)+"\r\n\r\n")
	go func(nc net.Conn) {
		for block := make([]byte, 64<<10); ; {
			if _, err := nc.Write(block); err != nil {
				return
			}
		}
	}(nc)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return nil, 0, err
	}
	n, err := io.Copy(io.Discard, resp.Body)
	return resp, n, err
}

// Guards against the start of an answer without a length that its caller takes for the
// whole: the caller is still sending its request, so that its write meets the reset of the
// connection and its read sees an ordinary end.
func TestCloseDelimitedBodyThatBreaksOffDuringTheUpload(t *testing.T) {
	for range 10 {
		for _, size := range []int{0, 100_000, 3 << 20} {
			resp, n, err := upload(t, &endingBody{size: size, end: syscall.ECONNRESET})
			if err == nil {
				require.Equal(t, http.StatusBadGateway, resp.StatusCode, "answer with %d of %d bytes", n, size)
			}
		}
	}
}

// Guards against losing a complete answer without a length for the same caller.
func TestCloseDelimitedBodyDuringTheUploadIsPassedOn(t *testing.T) {
	for _, size := range []int{0, 100_000, 3 << 20} {
		resp, n, err := upload(t, &endingBody{size: size, end: io.EOF})
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, int64(size), n)
	}
}
