package backend

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/errkind"
)

// endlessUpload is a request body without end.
type endlessUpload struct{}

func (endlessUpload) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a part of a response that passes for a complete one because the server
// reset its connection during the upload, whatever frames the body.
func TestResetDuringUploadIsNoEndOfTheBody(t *testing.T) {
	for _, framing := range []string{
		"\r\n", "Connection: close\r\n\r\n", "Content-Length: 5\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n4\r\n",
	} {
		for _, length := range []int64{1 << 40, -1} {
			for range 10 {
				s := startScriptedServer(t, func(c net.Conn, _ *http.Request) bool {
					_, _ = io.WriteString(c, okHead+framing+"part")
					_ = c.(*net.TCPConn).SetLinger(0)
					return false
				})
				req := testRequest()
				req.Body, req.ContentLength = endlessUpload{}, length
				resp, err := newTestClient(t, s.addr, 3).Do(t.Context(), req)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					require.NoError(t, resp.Body.Close())
				}
				require.Equal(t, errkind.OutcomeUnknown, errkind.Of(err), "framing %q: %v", framing, err)
			}
		}
	}
}

// Guards against losing a complete response that arrives during the upload.
func TestCompleteResponseDuringUploadIsPassedOn(t *testing.T) {
	body := strings.Repeat("the whole body", 4<<10)
	s := startScriptedServer(t, func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, okHead+"Content-Length: 57344\r\n\r\n"+body)
		_, _ = io.Copy(io.Discard, r.Body)
		return false
	})
	req := testRequest()
	req.Body, req.ContentLength = endlessUpload{}, -1
	resp, err := newTestClient(t, s.addr, 3).Do(t.Context(), req)
	require.NoError(t, err)
	got, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, body, string(got))
}
