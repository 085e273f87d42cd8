package gateway

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
)

// retryAfterSeconds is the Retry-After value of error responses whose request
// may be repeated.
const retryAfterSeconds = "1"

// refusalBody is the JSON body of an error response.
type refusalBody struct {
	Error     string `json:"error"`
	Outcome   string `json:"outcome"`
	Message   string `json:"message,omitempty"`
	RequestID string `json:"request_id,omitempty"`
}

// refusal returns the header, status and body of the error response for err.
func refusal(err error, requestID string) (h http.Header, status int, body []byte) {
	kind := errkind.Of(err)
	a := kind.Answer()
	var e *errkind.Error
	b := refusalBody{Error: a.Name, Outcome: a.Outcome.String(), RequestID: requestID}
	if errors.As(err, &e) {
		b.Message = e.Msg
	}
	// Marshalling a struct of strings cannot fail.
	body, _ = json.Marshal(b)
	h = http.Header{
		call.HeaderError:   {a.Name},
		call.HeaderOutcome: {b.Outcome},
		"Content-Type":     {"application/json"},
		"Content-Length":   {strconv.Itoa(len(body))},
	}
	if a.Repeatable {
		h["Retry-After"] = []string{retryAfterSeconds}
	}
	return h, a.Status, body
}

// listener wraps connections so that error responses that net/http writes
// itself, before any handler runs, name their kind. An example is the response
// to conflicting lengths.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &plainConn{c}, nil
}

// plainConn is a connection without TLS that rewrites the error responses of
// net/http.
type plainConn struct{ net.Conn }

// netHTTPErrorHeader follows the status line in error responses that net/http
// writes itself.
var netHTTPErrorHeader = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// Write replaces an error response of net/http by one that names the kind. All
// other data passes through unchanged.
func (c *plainConn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, []byte("HTTP/1.1 4")) && !bytes.HasPrefix(p, []byte("HTTP/1.1 5")) {
		return c.Conn.Write(p)
	}
	line, _, _ := bytes.Cut(p, []byte("\r\n"))
	if !bytes.HasPrefix(p[len(line):], netHTTPErrorHeader) {
		return c.Conn.Write(p)
	}
	kind := errkind.BadRequest
	if bytes.HasPrefix(line, []byte("HTTP/1.1 431")) {
		kind = errkind.HeaderTooLarge
	}
	h, status, body := refusal(errkind.New(kind, "the head is malformed or too large"), "")
	var out bytes.Buffer
	out.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nConnection: close\r\n")
	_ = h.Write(&out)
	out.WriteString("\r\n")
	out.Write(body)
	if _, err := c.Conn.Write(out.Bytes()); err != nil {
		return 0, err
	}
	return len(p), nil
}

// CloseWrite lets net/http deliver an error response completely before it
// closes the connection.
func (c *plainConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
