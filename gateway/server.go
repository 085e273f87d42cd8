package gateway

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/membudget"
)

const (
	// IdempotencyKeyPath is the endpoint that issues idempotency keys.
	IdempotencyKeyPath = "/.godwitlock/idempotency-key"
	// HealthPath and ReadyPath are the probe endpoints for the platform's load
	// balancer.
	HealthPath = "/healthz"
	ReadyPath  = "/readyz"

	// maxHTTP2Streams limits the concurrent requests on one HTTP/2 connection.
	maxHTTP2Streams = 250
	// connPollInterval is how often Shutdown checks for open connections.
	connPollInterval = 20 * time.Millisecond
)

// Gateway is the HTTP front end. It is an http.Handler; Serve and ServeTLS run
// it on a listener.
type Gateway struct {
	cfg        Config
	mux        *http.ServeMux
	server     *http.Server
	stats      *stats
	successLog zerolog.Logger
	refusalLog zerolog.Logger
	draining   atomic.Bool
	// shutdownEnd is the deadline of Shutdown, nil before it and without one.
	shutdownEnd atomic.Pointer[time.Time]
	inFlight    atomic.Int64
	conns       atomic.Int64
	tracker     connTracker
}

// New returns a Gateway. All interfaces of cfg must be set.
func New(cfg Config) *Gateway {
	cfg = cfg.withDefaults()
	g := &Gateway{cfg: cfg, mux: http.NewServeMux(), stats: newStats()}
	g.tracker.conns, g.tracker.memory = make(map[*trackedConn]struct{}), cfg.Memory
	g.successLog, g.refusalLog = sampledLogs(cfg)
	g.mux.HandleFunc("GET "+HealthPath, g.probe(cfg.Probes.Healthy))
	g.mux.HandleFunc("GET "+ReadyPath, g.probe(g.ready))
	g.mux.HandleFunc("POST "+IdempotencyKeyPath, g.issueKey)
	g.mux.HandleFunc("/", g.forward)
	g.server = &http.Server{
		Handler: g,
		// net/http's limit is higher than cfg.MaxHeaderBytes, so that most
		// oversized heads reach the handler and get an error response that
		// names the kind.
		MaxHeaderBytes:    2 * cfg.MaxHeaderBytes,
		ReadHeaderTimeout: cfg.HeadTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		Protocols:         new(http.Protocols),
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxHTTP2Streams},
		TLSConfig:         cfg.TLS,
		ErrorLog:          newErrorLog(cfg.Log),
		// By default, net/http responds to OPTIONS * itself.
		DisableGeneralOptionsHandler: true,
		ConnState:                    g.onConnState,
		ConnContext:                  withTracked,
	}
	g.server.Protocols.SetHTTP1(true)
	g.server.Protocols.SetHTTP2(true)
	g.server.Protocols.SetUnencryptedHTTP2(true)
	return g
}

// Vars returns the gateway's counters for expvar.Publish.
func (g *Gateway) Vars() *expvar.Map { return g.stats.vars }

// Serve accepts connections without TLS (HTTP/1.1 and h2c) until Shutdown, and
// then returns http.ErrServerClosed.
func (g *Gateway) Serve(l net.Listener) error {
	return g.serveError(g.server.Serve(listener{g.tracker.listen(l)}))
}

// ServeTLS accepts TLS connections (HTTP/1.1 and HTTP/2) until Shutdown, and
// then returns http.ErrServerClosed. Config.TLS must hold a certificate.
func (g *Gateway) ServeTLS(l net.Listener) error {
	return g.serveError(g.server.ServeTLS(g.tracker.listen(l), "", ""))
}

// serveError returns http.ErrServerClosed if Shutdown closed the listener.
func (g *Gateway) serveError(err error) error {
	if g.draining.Load() && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

func (g *Gateway) onConnState(nc net.Conn, s http.ConnState) {
	c := trackedOf(nc)
	switch s {
	case http.StateNew:
		g.conns.Add(1)
	case http.StateIdle:
		if c != nil {
			c.state.CompareAndSwap(connHandling, connIdle)
		}
	case http.StateClosed, http.StateHijacked:
		g.conns.Add(-1)
		if c != nil {
			g.tracker.remove(c)
		}
	}
}

// Shutdown stops the gateway without aborting a request. From then on, /readyz
// returns 503 and each response closes its connection. Once no connection is
// left or DrainTimeout has passed, Shutdown closes listeners and idle
// connections and waits until the requests in flight, and those being read, have
// ended or ctx is done. It refuses new requests that may outlast the deadline of ctx.
func (g *Gateway) Shutdown(ctx context.Context) error {
	if end, ok := ctx.Deadline(); ok {
		g.shutdownEnd.Store(&end)
	}
	g.draining.Store(true)
	drained := time.NewTimer(g.cfg.DrainTimeout)
	defer drained.Stop()
	poll := time.NewTicker(connPollInterval)
	defer poll.Stop()
	// Wait for at least one interval: the load balancer may have opened a
	// connection that is not yet accepted.
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
	g.tracker.closeListeners()
	g.awaitRequestsBeingRead(ctx)
	return g.server.Shutdown(ctx)
}

// awaitRequestsBeingRead closes idle connections and waits until a handler runs for
// each request that is being read, at most for HeadTimeout. http.Server.Shutdown
// would drop these requests.
func (g *Gateway) awaitRequestsBeingRead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.HeadTimeout)
	defer cancel()
	poll := time.NewTicker(connPollInterval)
	defer poll.Stop()
	for g.tracker.closeIdle() > 0 {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close closes all connections immediately, which aborts requests in flight.
func (g *Gateway) Close() error { return g.server.Close() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	beginHandling(r)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	switch r.URL.Path {
	case HealthPath, ReadyPath, IdempotencyKeyPath:
		g.mux.ServeHTTP(w, r)
	default:
		// ServeMux would redirect a path that is not clean.
		g.forward(w, r)
	}
}

// forward handles one request through an exchange and records its result.
func (g *Gateway) forward(w http.ResponseWriter, r *http.Request) {
	x := &exchange{g: g, w: w, r: r, control: http.NewResponseController(w), start: g.cfg.Now()}
	x.log = logEntry{id: g.cfg.NewID(), proto: r.Proto, method: r.Method}
	g.stats.requests.Add(1)
	g.stats.inFlight.Add(1)
	defer g.stats.inFlight.Add(-1)
	defer g.inFlight.Add(-1)
	defer x.releaseMemory()
	var err error
	switch {
	case g.inFlight.Add(1) > int64(g.cfg.MaxInFlight):
		err = errkind.New(errkind.QueueFull, "too many requests are in progress")
	case !x.takeMemory(membudget.Heads, membudget.NewHead, membudget.HeadBytes(headSize(r), headLines(r))+requestBytes):
		err = errNoRequestMemory()
	default:
		err = x.run()
	}
	g.finish(x, err)
}

// finish sends the error response of a failed request. If the response head was
// already written, it aborts the connection instead.
func (g *Gateway) finish(x *exchange, err error) {
	// The context is also cancelled if the body could not be read. That error
	// keeps its own kind, whose outcome is NotRun.
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

// probe returns a handler that responds with 200 if check succeeds, and with
// 503 otherwise.
func (g *Gateway) probe(check func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := check(); err != nil {
			http.Error(w, "not available", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	}
}

// issueKey responds with a new idempotency key. The timestamp in the key comes
// from this VM's clock; execution.MaxKeySkew is the tolerance for its skew.
func (g *Gateway) issueKey(w http.ResponseWriter, _ *http.Request) {
	// NewV7 fails only if no random numbers are available, which crypto/rand
	// rules out.
	id := uuid.Must(uuid.NewV7()).String()
	w.Header().Set(call.HeaderIdempotencyKey, id)
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write([]byte(id + "\n"))
}
