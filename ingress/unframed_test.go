package ingress

import (
	"bufio"
	"context"
	"io"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// resetBody returns some bytes and then an error.
type resetBody struct{ sent bool }

func (b *resetBody) Read(p []byte) (int, error) {
	if b.sent {
		return 0, syscall.ECONNRESET
	}
	b.sent = true
	return copy(p, "half"), nil
}

func (b *resetBody) Close() error { return nil }

// unframedResponse returns a response whose end only the close of a connection
// marks.
func unframedResponse(stream io.ReadCloser, body string) *Response {
	return &Response{Status: 200, Stream: stream, Body: []byte(body), Length: -1, CloseDelimited: true}
}

// Guards against a body that gets a length or a last chunk although nothing but
// the close of the server's connection said that it is complete.
func TestCloseDelimitedBodyIsPassedOnWithoutLength(t *testing.T) {
	for _, stream := range []io.ReadCloser{nil, io.NopCloser(newStringReader("whole"))} {
		_, nc := startServer(t, Limits{}, func(context.Context, *Request) *Response {
			if stream == nil {
				return unframedResponse(nil, "whole")
			}
			return unframedResponse(stream, "")
		})
		send(t, nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, body := receive(t, bufio.NewReader(nc))
		require.Equal(t, "whole", body)
		require.True(t, resp.Close)
		require.Equal(t, int64(-1), resp.ContentLength)
		require.Empty(t, resp.TransferEncoding)
	}
}

// Guards against responses that are thrown away because a response before them on
// the connection has no length.
func TestCloseDelimitedBodyLeavesResponsesBehindIt(t *testing.T) {
	second := make(chan struct{})
	_, nc := startServer(t, Limits{}, func(_ context.Context, r *Request) *Response {
		if r.URI == "/2" {
			close(second)
			return textResponse(200, r.URI)
		}
		<-second
		return unframedResponse(nil, r.URI)
	})
	send(t, nc, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	br := bufio.NewReader(nc)
	for _, want := range []string{"/1", "/2"} {
		_, body := receive(t, br)
		require.Equal(t, want, body)
	}
}

// Guards against a body without a length that breaks off at the server and ends at
// the caller as a complete one does.
func TestCloseDelimitedBodyThatBreaksOffIsReset(t *testing.T) {
	_, nc := startServer(t, Limits{}, func(context.Context, *Request) *Response {
		return unframedResponse(&resetBody{}, "")
	})
	send(t, nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err := io.ReadAll(nc)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

func newStringReader(s string) io.Reader {
	r, w := io.Pipe()
	go func() { _, _ = io.WriteString(w, s); _ = w.Close() }()
	return r
}
