package daemon

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"

	"godwitlock.example/godwitlock/backend"
	"godwitlock.example/godwitlock/control"
	"godwitlock.example/godwitlock/internal/httphead"
	"godwitlock.example/godwitlock/peer"
	"godwitlock.example/godwitlock/router"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

func (d *Daemon) serveCallers(context.Context) error {
	var err error
	if d.cfg.CallerTLS.Cert != "" {
		err = d.gateway.ServeTLS(d.callerLis)
	} else {
		err = d.gateway.Serve(d.callerLis)
	}
	return taskResult(err)
}

// peerStopTimeout bounds the graceful stop of the streams between VMs. Requests
// have ended by then; what may remain are the last bytes of responses and the
// update streams to other VMs.
const peerStopTimeout = 2 * time.Second

func (d *Daemon) servePeers(ctx context.Context) error {
	// Without an explicit stop, the service would continue until the supervisor
	// abandons it after 10 s, and every planned shutdown would take that long.
	cancel := context.AfterFunc(ctx, d.stopPeers)
	defer cancel()
	err := d.grpc.Serve(d.peerLis)
	if err == nil || errors.Is(err, grpc.ErrServerStopped) {
		return errTaskDone
	}
	return err
}

func (d *Daemon) stopPeers() {
	forceStop := time.AfterFunc(peerStopTimeout, d.grpc.Stop)
	defer forceStop.Stop()
	d.grpc.GracefulStop()
}

// taskResult replaces http.ErrServerClosed by errTaskDone, so that the
// supervisor does not restart a server that was shut down.
func taskResult(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return errTaskDone
	}
	return err
}

const (
	// maxAdminHeadBytes bounds the head of a request to the admin address. net/http adds
	// 4 KiB.
	maxAdminHeadBytes = 4 << 10
	// adminTimeout bounds reading such a request and writing the response to it.
	adminTimeout = 5 * time.Second
	// adminIdleTimeout is how long an idle connection to the admin address is kept.
	adminIdleTimeout = 30 * time.Second
)

// serveAdmin serves status, owner lookups and metrics to operators.
func (d *Daemon) serveAdmin(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.node.Status()) })
	mux.HandleFunc("GET /owner", d.owner)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { writeVars(w, d.vars()) })
	mux.Handle("GET /debug/vars", expvar.Handler())
	srv := &http.Server{
		Handler: mux, MaxHeaderBytes: maxAdminHeadBytes,
		ReadTimeout: adminTimeout, WriteTimeout: adminTimeout, IdleTimeout: adminIdleTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	return taskResult(srv.Serve(d.adminLis))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeVars(w http.ResponseWriter, vars *expvar.Map) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(vars.String()))
}

func (d *Daemon) owner(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	owner, ok := d.router.Owner(topo.ServiceName(q.Get("service")), q.Get("key"))
	if !ok {
		http.Error(w, "unknown service", http.StatusNotFound)
		return
	}
	writeJSON(w, owner)
}

// Traffic returns the counters of the calls between this VM and other VMs and
// of their bytes.
func (d *Daemon) Traffic() *peer.Traffic { return &d.pool.Traffic }

// Status returns this VM's state in the control of its cell.
func (d *Daemon) Status() control.Status { return d.node.Status() }

// Owner returns the owner of a key. It returns false if the service is unknown.
func (d *Daemon) Owner(service topo.ServiceName, key string) (router.Owner, bool) {
	return d.router.Owner(service, key)
}

// FullyAssigned reports whether, in this VM's routing table, every slice is
// served and every serving backend server has a home VM.
func (d *Daemon) FullyAssigned() bool { return fullyAssigned(d.tables.Load()) }

// Ready reports whether the daemon can serve callers. It returns false once a
// shutdown has begun.
func (d *Daemon) Ready() bool { return d.node.Ready() && !d.stopping.Load() }

// storeTransport returns an HTTP client that connects with dial. If dial is
// nil, it returns nil, which selects the default client of package store.
func storeTransport(dial backend.DialFunc) *http.Client {
	if dial == nil {
		return nil
	}
	transport := store.NewTransport()
	transport.DialContext = httphead.Dial(dial)
	return &http.Client{Transport: transport}
}
