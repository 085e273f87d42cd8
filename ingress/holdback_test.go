package ingress

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// breakingBody returns size bytes and breaks off after the gate was opened.
type breakingBody struct {
	size int
	gate chan struct{}
}

func (b *breakingBody) Read(p []byte) (int, error) {
	if b.size > 0 {
		n := min(b.size, len(p))
		b.size -= n
		copy(p, strings.Repeat("x", n))
		return n, nil
	}
	<-b.gate
	return 0, io.ErrUnexpectedEOF
}

func (b *breakingBody) Close() error { return nil }

// Guards against a streamed answer that breaks off in its turn, ends the connection, and
// loses the complete answers of other servers behind it.
func TestAnswerThatBreaksOffInItsTurnKeepsThoseBehindIt(t *testing.T) {
	for name, size := range map[string]int{"short": 20 << 10, "longer than what is read ahead": 4 * maxReadAheadBytes} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var written error
				body := &breakingBody{size: size, gate: make(chan struct{})}
				s, c := dialPipe(t, defaults, func(_ context.Context, r *Request) *Response {
					if r.URI != "/1" {
						return textResponse(200, r.URI)
					}
					return &Response{Status: 200, Stream: body, Length: int64(size) + 1, OnWritten: func(err error) { written = err }}
				})
				send(t, c, get("/1", "/2", "/3", "/4"))
				synctest.Wait()
				close(body.gate)
				resp, _ := receive(t, c.br)
				require.Equal(t, http.StatusBadGateway, resp.StatusCode)
				c.requireAnswer(t, "/2", false)
				c.requireAnswer(t, "/3", false)
				c.requireAnswer(t, "/4", false)
				require.ErrorIs(t, written, io.ErrUnexpectedEOF)
				require.Zero(t, s.heldBack.Load())
			})
		})
	}
}

// Guards against a body that ends early without an error, in front of other answers.
func TestAnswerThatIsTooShortKeepsThoseBehindIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGates("/2")
		_, c := dialPipe(t, defaults, func(ctx context.Context, r *Request) *Response {
			if r.URI != "/1" {
				return g.handle(ctx, r)
			}
			return &Response{Status: 200, Stream: io.NopCloser(strings.NewReader("short")), Length: 100}
		})
		send(t, c, get("/1", "/2"))
		synctest.Wait()
		g.open("/2")
		resp, _ := receive(t, c.br)
		require.Equal(t, http.StatusBadGateway, resp.StatusCode)
		c.requireAnswer(t, "/2", false)
	})
}

// Guards against starting a request behind an answer that is already being written and may
// break off: its answer would be lost with the connection.
func TestNoRequestIsStartedBehindAnAnswerThatMayBreakOff(t *testing.T) {
	for name, breaks := range map[string]bool{"breaks off": true, "complete": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGates()
				pr, pw := io.Pipe()
				_, c := dialPipe(t, defaults, func(ctx context.Context, r *Request) *Response {
					if r.URI != "/1" {
						return g.handle(ctx, r)
					}
					return &Response{Status: 200, Stream: pr, Length: 4}
				})
				send(t, c, get("/1"))
				go func() { _, _ = pw.Write([]byte("ab")) }()
				resp, err := http.ReadResponse(c.br, nil)
				require.NoError(t, err)
				send(t, c, get("/2"))
				synctest.Wait()
				require.Empty(t, g.uris(), "the request behind the answer was started")
				if breaks {
					_ = pw.CloseWithError(io.ErrUnexpectedEOF)
					_, err = io.ReadAll(resp.Body)
					require.Error(t, err)
					synctest.Wait()
					require.Empty(t, g.uris())
					return
				}
				go func() { _, _ = pw.Write([]byte("cd")); _ = pw.Close() }()
				_, err = io.ReadAll(resp.Body)
				require.NoError(t, err)
				c.requireAnswer(t, "/2", false)
			})
		})
	}
}

// Guards against holding back more than the process has room for: the answer is then
// written as it arrives.
func TestHeldBackAnswersAreBounded(t *testing.T) {
	body := strings.Repeat("x", 2*maxHeldBackBytes)
	for name, reserved := range map[string]int64{"one answer": 0, "all answers": maxAllHeldBackBytes} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := strings.NewReader(body)
				s, c := dialPipe(t, defaults, func(_ context.Context, r *Request) *Response {
					if r.URI == "/1" {
						return &Response{Status: 200, Stream: io.NopCloser(source), Length: int64(len(body))}
					}
					return textResponse(200, r.URI)
				})
				s.heldBack.Store(reserved)
				send(t, c, get("/1", "/2"))
				synctest.Wait()
				limit := maxHeldBackBytes
				if reserved > 0 {
					limit = maxReadAheadBytes
				}
				require.InDelta(t, len(body)-limit, source.Len(), 2*bufferBytes)
				c.requireAnswer(t, body, false)
				c.requireAnswer(t, "/2", false)
				require.Equal(t, reserved, s.heldBack.Load())
			})
		})
	}
}

// Guards against a caller whose end is not noticed while a request of it waits behind an
// answer that is being written: the server of that answer would go on working for nobody.
func TestDisconnectIsNoticedBehindAnAnswerThatMayBreakOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGates()
		pr, pw := io.Pipe()
		ended := make(chan struct{})
		_, c := dialPipe(t, defaults, func(ctx context.Context, r *Request) *Response {
			if r.URI != "/1" {
				return g.handle(ctx, r)
			}
			context.AfterFunc(ctx, func() { close(ended); _ = pw.CloseWithError(ctx.Err()) })
			return &Response{Status: 200, Stream: pr, Length: 4}
		})
		send(t, c, get("/1"))
		go func() { _, _ = pw.Write([]byte("ab")) }()
		_, err := http.ReadResponse(c.br, nil)
		require.NoError(t, err)
		send(t, c, get("/2"))
		synctest.Wait()
		require.NoError(t, c.Close())
		synctest.Wait()
		select {
		case <-ended:
		default:
			t.Error("the context of the request has not ended")
			_ = pw.CloseWithError(io.ErrUnexpectedEOF)
		}
		synctest.Wait()
		require.Empty(t, g.uris())
	})
}
