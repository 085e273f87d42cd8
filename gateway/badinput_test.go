package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/gateway"
	"godwitlock.example/godwitlock/standin/server"
)

const authHeaderLine = "Authorization: Bearer " + testKey + "\r\n"

// sendRaw sends text on a new connection and returns the response.
func (s *stack) sendRaw(tb testing.TB, text string) *http.Response {
	c, err := net.Dial("tcp", s.addr)
	require.NoError(tb, err)
	tb.Cleanup(func() { _ = c.Close() })
	_, err = c.Write([]byte(text))
	require.NoError(tb, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(tb, err)
	return resp
}

// Guards against malformed requests that are forwarded, charged to the
// customer's rate or answered without an error kind.
func TestBadInput(t *testing.T) {
	s := newStack(t, server.Options{}, func(c *gateway.Config) { c.BodyTimeout = 20 * time.Millisecond })
	v4 := uuid.NewString()
	v7 := uuid.Must(uuid.NewV7()).String()
	post := "POST /orders/k1 HTTP/1.1\r\nHost: h\r\n" + authHeaderLine
	image := "POST /images/k1 HTTP/1.1\r\nHost: h\r\n" + authHeaderLine
	tests := []struct {
		name, text string
		kind       errkind.Kind
	}{
		{"no caller key", "GET /orders/k1 HTTP/1.1\r\nHost: h\r\n\r\n", errkind.CallerKeyMissing},
		{"other scheme", "GET /orders/k1 HTTP/1.1\r\nHost: h\r\nAuthorization: Basic eA==\r\n\r\n", errkind.CallerKeyMissing},
		{"unknown caller key", "GET /orders/k1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer x\r\n\r\n", errkind.CallerKeyInvalid},
		{"control byte in caller key", "GET /orders/k1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer a b\r\n\r\n", errkind.CallerKeyInvalid},
		{"repeated caller key", "GET /orders/k1 HTTP/1.1\r\nHost: h\r\n" + authHeaderLine + authHeaderLine + "\r\n", errkind.BadRequest},
		{"head above the gateway's limit", "GET /orders/k1 HTTP/1.1\r\nHost: h\r\n" + authHeaderLine + "X: " + strings.Repeat("x", 17<<10) + "\r\n\r\n", errkind.HeaderTooLarge},
		{"head above net/http's limit", "GET /orders/k1 HTTP/1.1\r\nHost: h\r\n" + authHeaderLine + "X: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", errkind.HeaderTooLarge},
		{"conflicting lengths", post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", errkind.BadRequest},
		{"negative length", post + "Content-Length: -1\r\n\r\n", errkind.BadRequest},
		{"unknown transfer encoding", post + "Transfer-Encoding: gzip\r\n\r\n", errkind.BadRequest},
		{"HTTP/1.0", "GET /orders/k1 HTTP/1.0\r\n" + authHeaderLine + "\r\n", errkind.BadRequest},
		{"dot segment", "GET /orders/../closed/k1 HTTP/1.1\r\nHost: h\r\n" + authHeaderLine + "\r\n", errkind.BadRequest},
		{"escaped dot segment", "GET /orders/%2e%2e/closed HTTP/1.1\r\nHost: h\r\n" + authHeaderLine + "\r\n", errkind.BadRequest},
		{"empty segment", "GET //orders/k1 HTTP/1.1\r\nHost: h\r\n" + authHeaderLine + "\r\n", errkind.BadRequest},
		{"only slashes", "GET // HTTP/1.1\r\nHost: h\r\n" + authHeaderLine + "\r\n", errkind.BadRequest},
		{"asterisk", "OPTIONS * HTTP/1.1\r\nHost: h\r\n" + authHeaderLine + "\r\n", errkind.BadRequest},
		{"tunnel", "CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n" + authHeaderLine + "\r\n", errkind.BadRequest},
		{"no route", "GET /other HTTP/1.1\r\nHost: h\r\n" + authHeaderLine + "\r\n", errkind.RouteNotFound},
		{"prefix inside a segment", "GET /ordersx/k1 HTTP/1.1\r\nHost: h\r\n" + authHeaderLine + "\r\n", errkind.RouteNotFound},
		{"closed route", "GET /closed/k1 HTTP/1.1\r\nHost: h\r\n" + authHeaderLine + "\r\n", errkind.RouteForbidden},
		{"no key", "GET /orders HTTP/1.1\r\nHost: h\r\n" + authHeaderLine + "\r\n", errkind.BadRequest},
		{"timeout of 0", image + "Request-Timeout-Ms: 0\r\n\r\n", errkind.BadRequest},
		{"timeout with sign", image + "Request-Timeout-Ms: +5\r\n\r\n", errkind.BadRequest},
		{"timeout too long", image + "Request-Timeout-Ms: 99999999999999999999\r\n\r\n", errkind.BadRequest},
		{"repeated timeout", image + "Request-Timeout-Ms: 5\r\nRequest-Timeout-Ms: 6\r\n\r\n", errkind.BadRequest},
		{"no idempotency key", post + "\r\n", errkind.IdempotencyKeyMissing},
		{"UUIDv4", post + "Idempotency-Key: " + v4 + "\r\n\r\n", errkind.IdempotencyKeyInvalid},
		{"UUID in braces", post + "Idempotency-Key: {" + v7 + "}\r\n\r\n", errkind.IdempotencyKeyInvalid},
		{"repeated idempotency key", post + strings.Repeat("Idempotency-Key: "+v7+"\r\n", 2) + "\r\n", errkind.IdempotencyKeyInvalid},
		{"malformed idempotency key on another route", image + "Idempotency-Key: x\r\n\r\n", errkind.IdempotencyKeyInvalid},
		{"declared body too large", image + "Content-Length: 99999999\r\n\r\n", errkind.BodyTooLarge},
		{"slow body", image + "Content-Length: 10\r\n\r\nabc", errkind.RequestTimeout},
		{"malformed chunk", image + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", errkind.BadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			requireRefusal(t, s.sendRaw(t, tt.text), tt.kind)
		})
	}
	require.Empty(t, s.server.Records())
	require.Zero(t, s.server.Stats().Executions)
	require.Zero(t, s.deps.settled.Load())
}

// Guards against forwarding a truncated body as complete.
func TestTruncatedRequestBody(t *testing.T) {
	s := newStack(t, server.Options{}, nil)
	for _, framing := range []string{"Content-Length: 10\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"} {
		c, err := net.Dial("tcp", s.addr)
		require.NoError(t, err)
		_, err = fmt.Fprintf(c, "POST /images/k1 HTTP/1.1\r\nHost: h\r\n%s%s", authHeaderLine, framing)
		require.NoError(t, err)
		require.NoError(t, c.(*net.TCPConn).CloseWrite())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		requireRefusal(t, resp, errkind.BodyIncomplete)
		_ = c.Close()
	}
	require.Empty(t, s.server.Records())
	require.EqualValues(t, 2, s.deps.released.Load())
}

// Guards against a request over the rate limit that reaches the server or is
// reported as run.
func TestRateExceeded(t *testing.T) {
	s := newStack(t, server.Options{}, nil)
	s.deps.full.Store(true)
	resp, _ := s.do(t, "GET", "/orders/k1", nil)
	requireRefusal(t, resp, errkind.RateExceeded)
	require.Empty(t, s.server.Records())
}

// Guards against issuing an idempotency key that exactly-once routes reject.
func TestIssuedIdempotencyKey(t *testing.T) {
	s := newStack(t, server.Options{}, nil)
	_, key := s.do(t, "POST", gateway.IdempotencyKeyPath, nil)
	resp, _ := s.do(t, "POST", "/orders/k1", strings.NewReader("x"), "Idempotency-Key", strings.TrimSpace(string(key)))
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, strings.TrimSpace(string(key)), s.server.Records()[0].IdempotencyKey)
}

// Guards against request smuggling: a second request hidden in the body of a
// request that has both Content-Length and chunked encoding. net/http uses the
// chunks and drops the length before the gateway sees it, so the request is not
// refused; the server must receive exactly the chunks.
func TestContentLengthWithChunkedEncoding(t *testing.T) {
	s := newStack(t, server.Options{}, nil)
	smuggled := "GET /images/k2 HTTP/1.1\r\nHost: h\r\n" + authHeaderLine + "\r\n"
	resp := s.sendRaw(t, fmt.Sprintf("POST /images/k1 HTTP/1.1\r\nHost: h\r\n%sConnection: close\r\nContent-Length: 4\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", authHeaderLine, len(smuggled), smuggled))
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Len(t, s.server.Records(), 1)
	require.EqualValues(t, len(smuggled), s.server.Records()[0].BodyBytes)
}
