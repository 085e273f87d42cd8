package node

import (
	"net/http"
	"time"
)

const (
	// maxProbeHeadBytes bounds the head of a request to the ready or metrics
	// address. net/http adds 4 KiB. A parsed head of short fields takes about 20
	// times as much.
	maxProbeHeadBytes = 4 << 10
	// maxProbeConns bounds the connections to the ready and to the metrics address
	// each. The oldest one is closed for a new one: a probe takes a few milliseconds,
	// so that others cannot keep it from being answered by staying.
	maxProbeConns = 24
	// probeTimeout bounds reading a request and writing the response to it.
	probeTimeout = 5 * time.Second
	// probeIdleTimeout is how long an idle connection is kept. The platform asks
	// once per second.
	probeIdleTimeout = 30 * time.Second
)

// newProbeServer returns a server for the requests of the platform to the ready
// or metrics address.
func newProbeServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: maxProbeHeadBytes,
		ReadTimeout: probeTimeout, WriteTimeout: probeTimeout, IdleTimeout: probeIdleTimeout,
	}
}
