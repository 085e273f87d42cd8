package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
)

const (
	maxCallerKeyBytes = 512
	maxRequestIDBytes = 128
	// maxTimeoutDigits bounds Request-Timeout-Ms to 11 days.
	maxTimeoutDigits = 9
	// fieldOverheadBytes counts the colon, the space and the line end of a
	// header field.
	fieldOverheadBytes = 4
)

// singleValue returns the value of a header field that may occur at most once.
func singleValue(h http.Header, name string) (value string, present bool, err error) {
	v := h[name]
	switch len(v) {
	case 0:
		return "", false, nil
	case 1:
		return v[0], true, nil
	}
	return "", true, errkind.New(errkind.BadRequest, "%s is repeated", name)
}

// checkHead rejects requests that no route could accept. It returns the
// unescaped path segments.
func checkHead(r *http.Request, maxHeaderBytes int) ([]string, error) {
	if r.ProtoMajor < 2 && !r.ProtoAtLeast(1, 1) {
		// An HTTP/1.0 caller cannot distinguish a truncated response from a
		// complete one.
		return nil, errkind.New(errkind.BadRequest, "HTTP/1.1 or HTTP/2 is needed")
	}
	if headSize(r) > maxHeaderBytes {
		return nil, errkind.New(errkind.HeaderTooLarge, "the head is larger than %d bytes", maxHeaderBytes)
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace || r.URL.Opaque != "" {
		return nil, errkind.New(errkind.BadRequest, "this method or target is not supported")
	}
	for i := 0; i < len(r.URL.RawQuery); i++ {
		if c := r.URL.RawQuery[i]; c <= ' ' || c >= 0x7f {
			return nil, errkind.New(errkind.BadRequest, "the query has an unescaped byte")
		}
	}
	return splitPath(r.URL.EscapedPath())
}

// headSize returns the size of the head in HTTP/1.1 encoding, in bytes.
func headSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + fieldOverheadBytes
		}
	}
	return n
}

// callerKey returns the caller key from the Authorization field.
func callerKey(h http.Header) (string, error) {
	v, present, err := singleValue(h, call.HeaderAuthorization)
	if err != nil {
		return "", err
	}
	if !present {
		return "", errkind.New(errkind.CallerKeyMissing, "Authorization is missing")
	}
	scheme, key, _ := strings.Cut(v, " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", errkind.New(errkind.CallerKeyMissing, "Authorization is not of the form Bearer <caller key>")
	}
	if len(key) > maxCallerKeyBytes || !isVisibleASCII(key) {
		return "", errkind.New(errkind.CallerKeyInvalid, "the caller key is malformed")
	}
	return key, nil
}

// isVisibleASCII reports whether s consists only of visible ASCII characters.
func isVisibleASCII(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

// parseCallerRequestID returns the caller's Request-Id, or "" if there is none.
// The ID only helps the caller to correlate logs: callers may reuse one, so it
// cannot match responses to requests.
func parseCallerRequestID(h http.Header) (string, error) {
	v, _, err := singleValue(h, call.HeaderRequestID)
	if err != nil {
		return "", err
	}
	if len(v) > maxRequestIDBytes || !isVisibleASCII(v) {
		return "", errkind.New(errkind.BadRequest, "Request-Id is malformed")
	}
	return v, nil
}

// requestTimeout returns the time allowed for the request: the caller's
// Request-Timeout-Ms, limited to the route's maximum, or the route's default if
// the caller sent none.
func requestTimeout(h http.Header, rt *Route) (time.Duration, error) {
	v, present, err := singleValue(h, call.HeaderTimeoutMS)
	if err != nil {
		return 0, err
	}
	if !present {
		return rt.DefaultTimeout, nil
	}
	ms, err := strconv.ParseUint(v, 10, 32)
	if err != nil || len(v) > maxTimeoutDigits || ms == 0 || v[0] == '+' {
		return 0, errkind.New(errkind.BadRequest, "Request-Timeout-Ms must be a positive number of milliseconds")
	}
	return min(time.Duration(ms)*time.Millisecond, rt.MaxTimeout), nil
}

// idempotencyKey returns the Idempotency-Key in its canonical form, or "" if
// there is none. The format is checked on every route. The age is checked only
// by the idempotency history, whose clock is authoritative.
func idempotencyKey(h http.Header, required bool) (string, error) {
	v, present, err := singleValue(h, call.HeaderIdempotencyKey)
	if err != nil {
		return "", errkind.New(errkind.IdempotencyKeyInvalid, "Idempotency-Key is repeated")
	}
	if !present {
		if required {
			return "", errkind.New(errkind.IdempotencyKeyMissing, "this route needs an Idempotency-Key")
		}
		return "", nil
	}
	id, err := uuid.Parse(v)
	if err != nil || len(v) != len(id.String()) || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return "", errkind.New(errkind.IdempotencyKeyInvalid, "Idempotency-Key is not a UUIDv7")
	}
	return id.String(), nil
}
