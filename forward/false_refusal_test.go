package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// failingServer answers each request with the status and a sealed body of size bytes, as
// a server does that began to work on it. It does not state that the request did not run.
func failingServer(status, size int) func(string) string {
	return func(id string) string {
		return fmt.Sprintf("HTTP/1.1 %d Failure\r\nRequest-Id: %s\r\nSeal: s\r\nRetry-After: 1\r\nContent-Length: %d\r\n\r\n%s",
			status, id, size, strings.Repeat("x", size))
	}
}

// Guards against a status that promises "not run" for a request that has run and must
// not run twice: its caller would send it again.
func TestServersFailureDoesNotPromiseNotRun(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, size := range []int{0, 4, maxBufferedAnswerBytes + 1} {
			for _, upload := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d with %d bytes, upload %v", status, size, upload), func(t *testing.T) {
					tf := newTestForwarder(t, failingServer(status, size))
					in := newRequest("/w/1")
					if upload {
						in.Stream, in.Length = io.NopCloser(strings.NewReader("body")), 4
					}
					ans := tf.Serve(context.Background(), in)
					require.Equal(t, http.StatusBadGateway, ans.Status)
					require.NotContains(t, ans.Header, "Seal")
					require.NotContains(t, ans.Header, "Retry-After")
					require.Len(t, tf.received, 1)
					require.Zero(t, tf.rates.returned, "the request counts for the customer's rate")
				})
			}
		}
	}
}

// Guards against the same status if the caller's upload breaks off after its server has begun
// to receive it.
func TestBrokenUploadDoesNotPromiseNotRun(t *testing.T) {
	received := make(chan struct{})
	tf := newTestForwarder(t, func(string) string { close(received); <-t.Context().Done(); return "" })
	body, caller := io.Pipe()
	go func() {
		_, _ = caller.Write([]byte("half"))
		<-received
		caller.CloseWithError(os.ErrDeadlineExceeded)
	}()
	in := newRequest("/w/1")
	in.Stream, in.Length = body, 1000
	ans := tf.Serve(context.Background(), in)
	require.False(t, promisesNotRun(ans.Status), "status %d", ans.Status)
	require.NotContains(t, ans.Header, "Retry-After")
}

// Guards against changing answers that promise nothing, or whose request may run twice.
func TestServersFailureIsPassedOn(t *testing.T) {
	for _, c := range []struct {
		path   string
		status int
	}{
		{"/w/1", http.StatusInternalServerError}, {"/w/1", http.StatusGatewayTimeout}, {"/w/1", http.StatusConflict},
		{"/r/1", http.StatusServiceUnavailable}, {"/r/1", http.StatusTooManyRequests},
	} {
		t.Run(fmt.Sprintf("%s %d", c.path, c.status), func(t *testing.T) {
			ans := newTestForwarder(t, failingServer(c.status, 4)).Serve(context.Background(), newRequest(c.path))
			require.Equal(t, c.status, ans.Status)
			require.Equal(t, "s", ans.Header.Get("Seal"))
			require.Equal(t, "xxxx", string(ans.Body))
		})
	}
}
