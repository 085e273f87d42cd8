package call

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Names of the header fields that godwitlock reads or writes.
const (
	HeaderAuthorization  = "Authorization"
	HeaderCustomerID     = "Customer-Id"
	HeaderGrantFence     = "Grant-Fence"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderNotRun         = "Not-Run"
	HeaderRequestID      = "Request-Id"
	HeaderTimeoutMS      = "Request-Timeout-Ms"
	HeaderError          = "Godwitlock-Error"
	HeaderOutcome        = "Godwitlock-Outcome"
)

// hopByHopFields lists the fields that RFC 9110 section 7.6.1 forbids a proxy
// to forward, and the fields that net/http writes itself.
var hopByHopFields = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
	"Content-Length", "Expect",
}

// internalFields lists the fields that only godwitlock may send to a backend
// server, and the field of the caller key, which no backend server may see.
var internalFields = []string{
	HeaderAuthorization, HeaderCustomerID, HeaderGrantFence, HeaderIdempotencyKey,
	HeaderNotRun, HeaderRequestID, HeaderTimeoutMS, HeaderError, HeaderOutcome,
}

// StripHopByHop removes from h the hop-by-hop fields, including those that the
// Connection field names.
func StripHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopFields {
		delete(h, name)
	}
}

// StripInternal removes from h the caller key and every field that only
// godwitlock may write.
func StripInternal(h http.Header) {
	for _, name := range internalFields {
		delete(h, name)
	}
}
