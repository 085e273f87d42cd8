package node

import (
	"net/http"
	"time"
)

const (
	// maxProbeHeadBytes bounds the head of a request to the ready or metrics
	// address. net/http adds 4 KiB.
	maxProbeHeadBytes = 16 << 10
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
