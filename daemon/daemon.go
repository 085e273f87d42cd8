// Package daemon runs the tasks of one VM in a process: the front end for
// callers, the peer service for other VMs, the control of the cell and the home
// VM's dispatch. A supervisor restarts a task that fails.
package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"
	"google.golang.org/grpc"

	"godwitlock.example/godwitlock/accept"
	"godwitlock.example/godwitlock/admission"
	"godwitlock.example/godwitlock/backend"
	"godwitlock.example/godwitlock/callerkey"
	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/control"
	"godwitlock.example/godwitlock/gateway"
	"godwitlock.example/godwitlock/home"
	"godwitlock.example/godwitlock/internal/supervised"
	"godwitlock.example/godwitlock/membudget"
	"godwitlock.example/godwitlock/peer"
	"godwitlock.example/godwitlock/router"
	"godwitlock.example/godwitlock/settings"
	"godwitlock.example/godwitlock/store"
)

// ShutdownTimeout bounds a graceful shutdown. It is longer than the longest
// default timeout of a request, so that no request is aborted.
const ShutdownTimeout = 90 * time.Second

// Options holds the dependencies that the quickstart and tests replace when
// they run a daemon inside their own process. The zero value selects the
// dependencies of a stand-alone daemon.
type Options struct {
	// Store replaces the HTTP client of the platform's object API.
	Store store.Store
	// Dial replaces TCP connections to backend servers, to other VMs and to the
	// platform.
	Dial backend.DialFunc
	// Listen replaces net.Listen.
	Listen ListenFunc
	Log    zerolog.Logger
}

// ListenFunc opens a listener on an address, as net.Listen does.
type ListenFunc func(network, addr string) (net.Listener, error)

// Daemon runs godwitlock on one VM.
type Daemon struct {
	cfg       *settings.Settings
	log       zerolog.Logger
	pool      *peer.Pool
	tables    *router.Tables
	home      *home.Manager
	node      *control.Node
	share     *admission.Share
	gate      *admission.Gate
	freshness *callerkey.Freshness
	verifier  *callerkey.Verifier
	router    *router.Router
	routes    reloadableRoutes
	customers customerRates
	gateway   *gateway.Gateway
	grpc      *grpc.Server

	peerLis, callerLis, adminLis net.Listener
	stopHome                     context.CancelFunc
	certs                        []*certificate
	killed, stopping             atomic.Bool
}

// Listen loads the certificates, opens listeners on the daemon's addresses and
// returns a Daemon that is ready to Run. It fails immediately if an address is
// in use.
func Listen(cfg *settings.Settings, opt Options) (*Daemon, error) {
	setup, err := loadTLS(cfg)
	if err != nil {
		return nil, err
	}
	d := &Daemon{cfg: cfg, log: opt.Log.With().Str("vm", string(cfg.VM)).Logger()}
	if err := d.listen(opt.Listen); err != nil {
		d.closeListeners()
		return nil, err
	}
	d.assemble(opt, setup)
	return d, nil
}

func (d *Daemon) listen(listen ListenFunc) (err error) {
	if listen == nil {
		listen = net.Listen
	}
	if d.peerLis, err = d.listenOn(listen, "peer_addr", d.cfg.PeerAddr); err != nil {
		return err
	}
	if d.callerLis, err = d.listenOn(listen, "caller_addr", d.cfg.CallerAddr); err != nil {
		return err
	}
	if d.cfg.AdminAddr != "" {
		d.adminLis, err = d.listenOn(listen, "admin_addr", d.cfg.AdminAddr)
	}
	return err
}

func (d *Daemon) listenOn(listen ListenFunc, field, addr string) (net.Listener, error) {
	lis, err := listen("tcp", addr)
	if err != nil {
		return nil, errors.Annotatef(err, "%s", field)
	}
	return accept.New(lis, func(c accept.Change) {
		if c.Err != nil {
			d.log.Error().Str("event", "accept_fails").Str("listener", field).Err(c.Err).Send()
			return
		}
		d.log.Info().Str("event", "accept_works").Str("listener", field).Int("failures", c.Failures).Dur("after_ms", c.After).Send()
	}), nil
}

func (d *Daemon) closeListeners() {
	for _, lis := range []net.Listener{d.peerLis, d.callerLis, d.adminLis} {
		if lis != nil {
			_ = lis.Close()
		}
	}
}

func (d *Daemon) assemble(opt Options, setup tlsSetup) {
	now := time.Now()
	st := opt.Store
	if st == nil {
		st = store.NewClient(d.cfg.PlatformURL, storeTransport(opt.Dial))
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.stopHome = cancel
	d.pool = peer.NewPool(setup.client, peer.DialFunc(opt.Dial))
	d.tables = router.NewTables()
	d.share = admission.NewShare(d.cfg.VM, now)
	d.freshness = callerkey.NewFreshness(now)
	d.verifier = callerkey.NewVerifier(d.freshness)
	d.home = home.New(ctx, d.cfg.VM, opt.Dial, d.pool, func() { d.node.RequestHeartbeat() })
	d.node = control.New(control.Config{
		VM: d.cfg.VMRecord(), BootID: uuid.NewString(), Environment: d.cfg.Environment, Seeds: d.cfg.SeedPeers,
		Store: st, Pool: d.pool, Tables: d.tables, Home: d.home, Share: d.share, Freshness: d.freshness,
		OnConfig: d.configure, Log: d.log,
	})
	d.gate = admission.NewGate(d.share, d.node)
	d.router = router.New(d.cfg.VM, d.tables, d.home, d.pool, uint64(now.UnixNano()))
	d.gateway = gateway.New(gateway.Config{
		Authenticator: authenticator{d.verifier}, Admitter: admitter{d.gate},
		Routes: &d.routes, Probes: probes{d.node}, Doer: d.router, Log: d.log, TLS: setup.caller,
		Memory: membudget.New(membudget.CallerLimit(d.cfg.MemoryMB << 20)),
	})
	d.certs = setup.certs
	d.grpc = grpc.NewServer(append(setup.server, grpc.MaxConcurrentStreams(maxPeerStreams), grpc.StatsHandler(&d.pool.Traffic),
		grpc.ConnectionTimeout(peer.HandshakeTimeout))...)
	(&peer.Server{Control: d.node.Peer(), Home: d.home, Histories: d.home}).Register(d.grpc)
}

// maxPeerStreams limits the concurrent requests that one VM forwards to
// another.
const maxPeerStreams = 10_000

// configure applies a configuration to this VM.
func (d *Daemon) configure(view *config.View) {
	d.verifier.Set(view.Keys())
	d.routes.update(view, d.log)
	d.customers.update(view, d.share, d.log)
	d.home.Configure(view)
}

// Run serves until ctx is done and then shuts down gracefully: requests in
// flight are not aborted within ShutdownTimeout.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.pool.Close()
	sup := d.supervise(d.tasks())
	// The tasks continue during the shutdown, because requests in flight need
	// leases.
	supCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := sup.ServeBackground(supCtx)
	d.log.Info().Str("event", "started").Str("peer_addr", d.cfg.PeerAddr).Str("caller_addr", d.cfg.CallerAddr).Send()
	<-ctx.Done()
	var err error
	if !d.killed.Load() {
		err = d.shutdown()
	}
	stop()
	<-done
	d.stopHome()
	d.home.Wait()
	d.grpc.Stop()
	d.closeListeners()
	d.log.Info().Str("event", "stopped").Err(err).Send()
	return err
}

// Kill closes all connections immediately, as a crash does. The context of Run
// must be cancelled afterwards. Tests use Kill to simulate failures.
func (d *Daemon) Kill() {
	d.killed.Store(true)
	_ = d.gateway.Close()
	d.grpc.Stop()
	d.pool.Close()
	d.stopHome()
}

// shutdown stops serving callers, then notifies the controller that this VM is
// leaving, and waits until other VMs have taken over its servers.
func (d *Daemon) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), ShutdownTimeout)
	defer cancel()
	d.stopping.Store(true)
	err := d.gateway.Shutdown(ctx)
	d.node.Leave()
	d.awaitHandOver(ctx)
	if stopErr := d.home.Shutdown(ctx); err == nil {
		err = stopErr
	}
	return errors.Trace(err)
}

// handOverTimeout bounds the wait for other VMs to take over this VM's servers.
// Without a controller no VM can take over. Requests in flight are awaited in
// any case.
const handOverTimeout = 5 * time.Second

func (d *Daemon) awaitHandOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	wasHome := false
	for {
		table, changed := d.tables.Watch()
		if !isHomeVM(table, d.cfg.VM) {
			break
		}
		wasHome = true
		select {
		case <-changed:
		case <-ctx.Done():
			d.node.Resign()
			return
		}
	}
	d.node.Resign()
	if wasHome {
		awaitHistoryTransfers(ctx)
	}
}

// historyTransferWindow is how long a VM keeps running after its servers have
// moved to other home VMs, which then request the idempotency histories from
// it.
const historyTransferWindow = 500 * time.Millisecond

func awaitHistoryTransfers(ctx context.Context) {
	select {
	case <-time.After(historyTransferWindow):
	case <-ctx.Done():
	}
}

// supervise returns a supervisor of the tasks.
func (d *Daemon) supervise(tasks []task) *suture.Supervisor {
	sup := suture.New(string(d.cfg.VM), supervised.Spec(func(e suture.Event) {
		d.log.Error().Str("event", "duty_failed").Msg(e.String())
	}))
	for _, t := range tasks {
		sup.Add(supervised.Task{Name: t.name, Run: t.run, OnFailure: func(name string, err error, pause time.Duration) {
			d.log.Error().Str("event", "duty_failed").Str("task", name).Err(err).Dur("pause_ms", pause).Send()
		}})
	}
	return sup
}

// task is a duty of the process. It runs again when it ends.
type task struct {
	name string
	run  func(context.Context) error
}

// tasks returns the tasks that the supervisor runs. Their names appear in the log.
func (d *Daemon) tasks() []task {
	list := []task{
		{"peer service", d.servePeers},
		{"front end", d.serveCallers},
		{"authority", d.node.RunAuthority},
		{"member", d.node.RunHeartbeats},
		{"follow", d.node.Follow},
		{"register", d.node.Register},
		{"draws", d.gate.Run},
		{"certificates", d.watchCertificates},
	}
	if d.adminLis != nil {
		list = append(list, task{"admin", d.serveAdmin})
	}
	return list
}
