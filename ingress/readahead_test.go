package ingress

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// watchedBody calls onEnd when it was read to its end or closed.
type watchedBody struct {
	io.Reader
	once  sync.Once
	onEnd func()
}

func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.once.Do(b.onEnd)
	}
	return n, err
}

func (b *watchedBody) Close() error { b.once.Do(b.onEnd); return nil }

// Guards against a request that waits for what a streamed answer behind it holds.
func TestStreamedAnswerIsReadBeforeItsTurn(t *testing.T) {
	body := strings.Repeat("x", maxReadAheadBytes/2)
	synctest.Test(t, func(t *testing.T) {
		released := make(chan struct{})
		_, c := dialPipe(t, defaults, func(ctx context.Context, r *Request) *Response {
			if r.URI == "/2" {
				stream := &watchedBody{Reader: strings.NewReader(body), onEnd: func() { close(released) }}
				return &Response{Status: 200, Stream: stream, Length: -1}
			}
			select {
			case <-released:
				return textResponse(200, r.URI)
			case <-ctx.Done():
				return textResponse(503, "")
			}
		})
		send(t, c, get("/1", "/2"))
		c.requireAnswer(t, "/1", false)
		c.requireAnswer(t, body, false)
	})
}

// Guards against a truncated answer that ends the connection, with the answers
// behind it, although it broke off before its turn.
func TestAnswerThatBreaksOffBeforeItsTurnKeepsThoseBehindIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var written error
		g := newGates("/1")
		_, c := dialPipe(t, defaults, func(ctx context.Context, r *Request) *Response {
			if r.URI != "/2" {
				return g.handle(ctx, r)
			}
			return &Response{Status: 200, Stream: &brokenBody{}, Length: 100, OnWritten: func(err error) { written = err }}
		})
		send(t, c, get("/1", "/2", "/3"))
		synctest.Wait()
		g.open("/1")
		c.requireAnswer(t, "/1", false)
		resp, _ := receive(t, c.br)
		require.Equal(t, http.StatusBadGateway, resp.StatusCode)
		c.requireAnswer(t, "/3", false)
		require.ErrorIs(t, written, io.ErrUnexpectedEOF)
	})
}

// Guards against an answer that is read ahead without bound, and against one that
// is not read on after its turn has come.
func TestReadAheadIsBounded(t *testing.T) {
	body := strings.Repeat("x", 4*maxReadAheadBytes)
	synctest.Test(t, func(t *testing.T) {
		source := strings.NewReader(body)
		g := newGates("/1")
		_, c := dialPipe(t, defaults, func(ctx context.Context, r *Request) *Response {
			if r.URI == "/1" {
				return g.handle(ctx, r)
			}
			return &Response{Status: 200, Stream: io.NopCloser(source), Length: int64(len(body))}
		})
		send(t, c, get("/1", "/2"))
		synctest.Wait()
		require.Equal(t, len(body)-maxReadAheadBytes, source.Len())
		g.open("/1")
		c.requireAnswer(t, "/1", false)
		c.requireAnswer(t, body, false)
	})
}
