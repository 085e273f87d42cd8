package egress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// upload is a request body of length bytes. Its first part is read at once, the rest only
// after resume is closed.
type upload struct {
	resume    chan struct{}
	first     int
	remaining int
}

func newUpload(first, length int) *upload {
	return &upload{resume: make(chan struct{}), first: first, remaining: length}
}

func (u *upload) Read(p []byte) (int, error) {
	if u.first == 0 {
		<-u.resume
	}
	if u.remaining == 0 {
		return 0, io.EOF
	}
	n := min(len(p), u.remaining)
	if u.first > 0 {
		n = min(n, u.first)
		u.first -= n
	}
	u.remaining -= n
	return n, nil
}

// earlyAnswer is a server that answers a request as soon as it has its head, and then
// ends the connection.
type earlyAnswer struct {
	response string
	// end ends the connection.
	end func(nc *net.TCPConn)
	// proceed makes the server end the connection; ended is closed after that.
	proceed, ended chan struct{}
}

func (s *earlyAnswer) start(t *testing.T) Target {
	s.proceed, s.ended = make(chan struct{}), make(chan struct{})
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	return startServer(t, func(nc net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(nc, s.response)
		<-s.proceed
		s.end(nc.(*net.TCPConn))
		close(s.ended)
		<-done
	})
}

func resetConn(nc *net.TCPConn) {
	_ = nc.SetLinger(0)
	_ = nc.Close()
}

func uploadRequest(length int64, body io.Reader) *Request {
	req := newGetRequest("a")
	req.Method, req.Stream, req.Length = "POST", body, length
	return req
}

// Guards against a part of a response without a length that passes for a complete one: the
// server resets the connection during the upload, the system reports the reset to the
// write, and the read sees the end of the stream.
func TestResetDuringUploadIsNoEndOfTheBody(t *testing.T) {
	const firstBytes = 256 << 10
	for _, length := range []int64{64 << 20, -1} {
		for _, received := range []string{"", "part of the body", strings.Repeat("part", 4<<10)} {
			for _, readBefore := range []int{0, 4, len(received)} {
				t.Run(fmt.Sprint(length, " ", len(received), " ", readBefore), func(t *testing.T) {
					s := &earlyAnswer{response: okResponse("a", "", received), end: resetConn}
					target := s.start(t)
					body := newUpload(firstBytes, 64<<20)
					resp, err := New(testHeaders).Do(t.Context(), target, uploadRequest(length, body))
					require.NoError(t, err)
					defer func() { _ = resp.Body.Close() }()
					require.True(t, resp.CloseDelimited)
					_, err = io.CopyN(io.Discard, resp.Body, int64(min(readBefore, len(received))))
					require.NoError(t, err)
					close(s.proceed)
					<-s.ended
					close(body.resume)
					// Lets the write meet the reset first.
					time.Sleep(20 * time.Millisecond)
					_, err = io.Copy(io.Discard, resp.Body)
					require.Error(t, err)
				})
			}
		}
	}
}

// Guards against the same where the read and the write wait for the server at the time of
// the reset, so that either may meet it.
func TestResetOfABlockedUploadIsNoEndOfTheBody(t *testing.T) {
	for _, length := range []int64{64 << 20, -1} {
		for range 50 {
			s := &earlyAnswer{response: okResponse("a", "", "part"), end: resetConn}
			target := s.start(t)
			body := newUpload(0, 64<<20)
			close(body.resume)
			c := New(testHeaders)
			resp, err := c.Do(t.Context(), target, uploadRequest(length, body))
			require.NoError(t, err)
			close(s.proceed)
			_, err = io.Copy(io.Discard, resp.Body)
			require.Error(t, err)
			require.NoError(t, resp.Body.Close())
			open, _ := c.Connections()
			require.Zero(t, open)
		}
	}
}

// Guards against losing a complete response that arrives during the upload: its end is
// marked by the server's close of its side, whether the server goes on reading, stops
// reading, or resets the connection afterwards.
func TestCompleteResponseDuringUploadIsPassedOn(t *testing.T) {
	want := strings.Repeat("the whole body", 4<<10)
	chunked := strconv.FormatInt(int64(len(want)), 16) + "\r\n" + want + "\r\n0\r\n\r\n"
	stopReading := func(nc *net.TCPConn) { _ = nc.CloseWrite() }
	ends := map[string]func(nc *net.TCPConn){
		"reads on":      func(nc *net.TCPConn) { _ = nc.CloseWrite(); go func() { _, _ = io.Copy(io.Discard, nc) }() },
		"stops reading": stopReading,
		"resets after":  func(nc *net.TCPConn) { stopReading(nc); time.Sleep(5 * time.Millisecond); resetConn(nc) },
	}
	responses := map[string]string{
		"no length": okResponse("a", "", want),
		"length":    okResponse("a", "Content-Length: "+strconv.Itoa(len(want))+"\r\n", want),
		"chunks":    okResponse("a", "Transfer-Encoding: chunked\r\n", chunked),
	}
	for endName, end := range ends {
		for responseName, response := range responses {
			for _, length := range []int64{64 << 20, -1} {
				for _, stalled := range []bool{false, true} {
					t.Run(fmt.Sprint(endName, " ", responseName, " ", length, " ", stalled), func(t *testing.T) {
						s := &earlyAnswer{response: response, end: end}
						target := s.start(t)
						body := newUpload(256<<10, 64<<20)
						if stalled {
							defer close(body.resume)
						} else {
							close(body.resume)
						}
						ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
						defer cancel()
						resp, err := New(testHeaders).Do(ctx, target, uploadRequest(length, body))
						require.NoError(t, err)
						close(s.proceed)
						<-s.ended
						require.Equal(t, want, readAll(t, resp))
						require.NoError(t, resp.Body.Close())
						require.NoError(t, ctx.Err(), "the end of the response does not wait for the upload")
					})
				}
			}
		}
	}
}

// Guards against a reader that reads on after the error of a reset, which the system
// reports once, and is told then that the body has ended.
func TestResetIsReportedByEveryRead(t *testing.T) {
	s := &earlyAnswer{response: okResponse("a", "", "part"), end: resetConn}
	target := s.start(t)
	resp, err := New(testHeaders).Do(t.Context(), target, newGetRequest("a"))
	require.NoError(t, err)
	close(s.proceed)
	<-s.ended
	_, err = io.Copy(io.Discard, resp.Body)
	require.Error(t, err)
	_, err = resp.Body.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// failingUpload is a connection whose server has sent response, and on which writes after
// the first one fail with err.
type failingUpload struct {
	net.Conn
	response io.Reader
	err      error
	written  atomic.Bool
	failed   chan struct{}
}

func (c *failingUpload) Read(p []byte) (int, error) { return c.response.Read(p) }

func (c *failingUpload) Write(p []byte) (int, error) {
	if !c.written.Swap(true) {
		return len(p), nil
	}
	defer close(c.failed)
	return 0, c.err
}

// Guards against a broken connection other than by a reset, as by packets that are not
// acknowledged, whose error only the write gets. A server that had closed its side before
// has sent its response completely.
func TestOnlyTheServersCloseEndsTheBody(t *testing.T) {
	for err, complete := range map[error]bool{
		syscall.ECONNRESET: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false, syscall.EPIPE: true,
	} {
		here, there := net.Pipe()
		defer func() { _ = here.Close(); _ = there.Close() }()
		fc := &failingUpload{Conn: here, response: strings.NewReader(okResponse("a", "", "part")), err: err, failed: make(chan struct{})}
		cn := newConn(New(testHeaders), testIncarnation, fc)
		resp, doErr := cn.exchange(t.Context(), &testHeaders, Target{Incarnation: testIncarnation}, uploadRequest(4, strings.NewReader("body")))
		require.NoError(t, doErr)
		<-fc.failed
		_, readErr := io.Copy(io.Discard, resp.Body)
		if complete {
			require.NoError(t, readErr)
		} else {
			require.ErrorIs(t, readErr, err)
		}
	}
}

// Guards against losing a response whose framing shows that it is complete, because its
// server resets the connection right behind it.
func TestFramedResponseOutlivesAReset(t *testing.T) {
	want := strings.Repeat("the whole body", 4<<10)
	for _, framing := range []string{
		"Content-Length: " + strconv.Itoa(len(want)) + "\r\n\r\n" + want,
		"Transfer-Encoding: chunked\r\n\r\n" + chunks(want, 1000) + "0\r\n\r\n",
	} {
		for _, length := range []int64{64 << 20, -1} {
			s := &earlyAnswer{response: "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nSeal: x\r\n" + framing, end: resetConn}
			target := s.start(t)
			body := newUpload(256<<10, 64<<20)
			resp, err := New(testHeaders).Do(t.Context(), target, uploadRequest(length, body))
			require.NoError(t, err)
			close(s.proceed)
			<-s.ended
			close(body.resume)
			require.Equal(t, want, readAll(t, resp))
			require.NoError(t, resp.Body.Close())
		}
	}
}
