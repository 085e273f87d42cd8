package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against the start of an answer without a length that a caller gets as a complete
// one, because the server reset its connection while the caller's body was being written.
func TestAnswerThatIsResetDuringTheUploadIsIncomplete(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: x\r\nSeal: s\r\n\r\n"
	for _, path := range []string{"/w/1", "/r/1"} {
		for range 20 {
			ff := newFaultyForwarder(t, func(nc net.Conn, _ int32) {
				_, _ = io.WriteString(nc, head+"part")
				_ = nc.(*net.TCPConn).SetLinger(0)
				_ = nc.Close()
			})
			in := newRequest(path)
			in.Method, in.Stream, in.Length = "POST", endlessBody{}, 1<<40
			ans := ff.Serve(context.Background(), in)
			require.Equal(t, http.StatusBadGateway, ans.Status)
			<-ff.closed
		}
	}
	for range 20 {
		reset := make(chan struct{})
		ff := newFaultyForwarder(t, func(nc net.Conn, _ int32) {
			_, _ = io.WriteString(nc, head+strings.Repeat("x", 2*maxBufferedAnswerBytes))
			<-reset
			_ = nc.(*net.TCPConn).SetLinger(0)
			_ = nc.Close()
		})
		in := newRequest("/w/1")
		in.Method, in.Stream, in.Length = "POST", endlessBody{}, 1<<40
		ans := ff.Serve(context.Background(), in)
		require.NotNil(t, ans.Stream, "answer of status %d: %s", ans.Status, ans.Body)
		close(reset)
		_, err := io.Copy(io.Discard, ans.Stream)
		require.Error(t, err)
		require.NoError(t, ans.Stream.Close())
		<-ff.closed
	}
}
