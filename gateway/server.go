package gateway

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
)

const (
	// IdempotencyKeyPath issues idempotency keys.
	IdempotencyKeyPath = "/.godwitlock/idempotency-key"
	// HealthPath and ReadyPath are for the platform's load balancer.
	HealthPath = "/healthz"
	ReadyPath  = "/readyz"

	// maxHTTP2Streams is the number of requests that an HTTP/2 caller runs at once.
	maxHTTP2Streams = 250
	// connPollInterval is how often Shutdown looks for connections that are left.
	connPollInterval = 20 * time.Millisecond
)

// Gateway is the HTTP front end. It is an http.Handler; Serve runs it on a
// listener.
type Gateway struct {
	cfg        Config
	mux        *http.ServeMux
	server     *http.Server
	stats      *stats
	successLog zerolog.Logger
	refusalLog zerolog.Logger
	draining   atomic.Bool
	inFlight   atomic.Int64
	conns      atomic.Int64
}

// New returns a gateway. All interfaces of cfg must be set.
func New(cfg Config) *Gateway {
	cfg = cfg.withDefaults()
	g := &Gateway{cfg: cfg, mux: http.NewServeMux(), stats: newStats()}
	g.successLog, g.refusalLog = sampledLogs(cfg)
	g.mux.HandleFunc("GET "+HealthPath, g.probe(cfg.Probes.Healthy))
	g.mux.HandleFunc("GET "+ReadyPath, g.probe(g.ready))
	g.mux.HandleFunc("POST "+IdempotencyKeyPath, g.issueKey)
	g.mux.HandleFunc("/", g.forward)
	g.server = &http.Server{
		Handler: g,
		// net/http's own limit is above ours, so that most oversized heads
		// reach the handler and get an answer that names the kind.
		MaxHeaderBytes:    2 * cfg.MaxHeaderBytes,
		ReadHeaderTimeout: cfg.HeadTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		Protocols:         new(http.Protocols),
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxHTTP2Streams},
		TLSConfig:         cfg.TLS,
		ErrorLog:          newErrorLog(cfg.Log),
		// net/http would answer OPTIONS * itself.
		DisableGeneralOptionsHandler: true,
		ConnState:                    g.onConnState,
	}
	g.server.Protocols.SetHTTP1(true)
	g.server.Protocols.SetHTTP2(true)
	g.server.Protocols.SetUnencryptedHTTP2(true)
	return g
}

// Vars returns the gateway's counters for expvar.Publish.
func (g *Gateway) Vars() *expvar.Map { return g.stats.vars }

// Serve accepts plain connections (HTTP/1.1 and h2c) until Shutdown, and then
// returns http.ErrServerClosed.
func (g *Gateway) Serve(l net.Listener) error { return g.server.Serve(listener{l}) }

// ServeTLS accepts TLS connections (HTTP/1.1 and HTTP/2) until Shutdown, and
// then returns http.ErrServerClosed. Config.TLS must hold a certificate.
func (g *Gateway) ServeTLS(l net.Listener) error { return g.server.ServeTLS(l, "", "") }

func (g *Gateway) onConnState(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		g.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		g.conns.Add(-1)
	}
}

// Shutdown stops the gateway without cutting a request. /readyz fails at once
// and each response closes its connection. After DrainTime, or once no
// connection is left, listeners and idle connections are closed, and Shutdown
// waits until running requests have ended or ctx ends.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.draining.Store(true)
	drained := time.NewTimer(g.cfg.DrainTimeout)
	defer drained.Stop()
	poll := time.NewTicker(connPollInterval)
	defer poll.Stop()
	// At least one interval passes, since the load balancer may have sent a
	// connection here that is not accepted yet.
	for waiting := true; waiting; {
		select {
		case <-poll.C:
			waiting = g.conns.Load() > 0
		case <-drained.C:
			waiting = false
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return g.server.Shutdown(ctx)
}

// Close closes all connections at once, and cuts running requests.
func (g *Gateway) Close() error { return g.server.Close() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	switch r.URL.Path {
	case HealthPath, ReadyPath, IdempotencyKeyPath:
		g.mux.ServeHTTP(w, r)
	default:
		// The mux would answer an unclean path with a redirect.
		g.forward(w, r)
	}
}

// forward passes a request on and answers it.
func (g *Gateway) forward(w http.ResponseWriter, r *http.Request) {
	x := &exchange{g: g, w: w, r: r, control: http.NewResponseController(w), start: g.cfg.Now()}
	x.log = logEntry{id: g.cfg.NewID(), proto: r.Proto, method: r.Method}
	g.stats.requests.Add(1)
	g.stats.inFlight.Add(1)
	defer g.stats.inFlight.Add(-1)
	defer g.inFlight.Add(-1)
	var err error
	if g.inFlight.Add(1) > int64(g.cfg.MaxInFlight) {
		err = errkind.New(errkind.QueueFull, "too many requests are in progress")
	} else {
		err = x.run()
	}
	g.finish(x, err)
}

// finish answers a failed request, or breaks the connection when part of a
// response was written.
func (g *Gateway) finish(x *exchange, err error) {
	// The context also ends when a body could not be read; such an error has
	// a kind of its own and did not run.
	if err != nil && x.r.Context().Err() != nil && errkind.Of(err).Answer().Outcome != errkind.NotRun {
		err = errkind.Wrap(err, errkind.CallerGone, "the caller left")
	}
	if err != nil && !x.headWritten {
		x.refuse(err)
	}
	x.log.bytesIn = x.body.stop()
	x.log.err, x.log.aborted = err, err != nil && x.headWritten
	g.record(&x.log, g.cfg.Now().Sub(x.start))
	if x.log.aborted {
		panic(http.ErrAbortHandler)
	}
}

func (g *Gateway) ready() error {
	if g.draining.Load() {
		return errkind.New(errkind.ShuttingDown, "this VM is stopping")
	}
	return g.cfg.Probes.Ready()
}

// probe answers 200 or 503.
func (g *Gateway) probe(check func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := check(); err != nil {
			http.Error(w, "not available", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	}
}

// issueKey answers with a new idempotency key. Its timestamp is this VM's
// clock, which execution.MaxKeySkew allows for.
func (g *Gateway) issueKey(w http.ResponseWriter, _ *http.Request) {
	// NewV7 fails only when there are no random numbers, which crypto/rand
	// excludes.
	id := uuid.Must(uuid.NewV7()).String()
	w.Header().Set(call.HeaderIdempotencyKey, id)
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write([]byte(id + "\n"))
}
