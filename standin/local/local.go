// Package local starts a whole deployment in one process, on loopback or on an
// in-memory network: the platform stand-in, backend server stand-ins and
// daemons. They communicate over TCP connections or their in-memory equivalent,
// with the protocols used in production. The quickstart, the load tests and the
// end-to-end tests use it.
package local

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/backend"
	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/daemon"
	"godwitlock.example/godwitlock/settings"
	"godwitlock.example/godwitlock/standin/memnet"
	"godwitlock.example/godwitlock/standin/platform"
	"godwitlock.example/godwitlock/standin/server"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

// Options configures a deployment.
type Options struct {
	Environment string
	// Document is the TOML configuration document. Start runs a stand-in for
	// each server in it. A server address with port 0 gets a free port.
	Document []byte
	// VMsPerDataCentre is the number of daemons in each data centre.
	VMsPerDataCentre int
	// ServiceTime is how long a backend server takes to run a request.
	ServiceTime time.Duration
	// Net, if set, is an in-memory network that replaces loopback. Its hosts
	// are the VMs, the backend servers, PlatformHost and CallerHost.
	Net *memnet.Network
	// SeedAllVMs lists all VMs as seed peers in the settings of every VM. It
	// requires Net, where the addresses are known before the VMs start.
	SeedAllVMs bool
	// IgnoreGrants starts servers that run requests without a grant, as a
	// baseline without ownership.
	IgnoreGrants bool
	// Dial, if set, replaces TCP for the connections that daemons open to
	// backend servers, to other VMs and to the platform.
	Dial backend.DialFunc
	Log  zerolog.Logger
}

// PlatformHost and CallerHost are the hosts of the platform stand-in and of
// callers and operators on an in-memory network.
const (
	PlatformHost = "platform"
	CallerHost   = "callers"
)

// Deployment is a running set of daemons and stand-ins. Start creates it and
// Close stops it.
type Deployment struct {
	opt      Options
	doc      *config.Document
	Platform *platform.Platform
	// PlatformURL is the base URL of the object API.
	PlatformURL string
	Servers     map[topo.ServerID]*server.Server
	// KilledServers holds the servers that KillServer has ended, with their
	// execution records.
	KilledServers []KilledServer
	VMs           []*VM

	platformServer *http.Server
	wg             sync.WaitGroup
}

// KilledServer is a backend server that KillServer has ended.
type KilledServer struct {
	ID     topo.ServerID
	Server *server.Server
	At     time.Time
}

// VM is one VM of a deployment, with its settings and its daemon.
type VM struct {
	Settings *settings.Settings
	Daemon   *daemon.Daemon
	net      *memnet.Network

	// mu guards stop, and Daemon while StartVM replaces it.
	mu   sync.Mutex
	stop context.CancelFunc
	done chan error
}

// Start starts a deployment. The caller must close it.
func Start(opt Options) (*Deployment, error) {
	doc, err := config.ParseDocument("document", opt.Document)
	if err != nil {
		return nil, err
	}
	d := &Deployment{opt: opt, doc: doc, Servers: make(map[topo.ServerID]*server.Server)}
	if err := d.start(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	if err := d.startPlatform(); err != nil {
		return err
	}
	for _, svc := range d.doc.Services {
		for _, s := range svc.Servers {
			if err := d.startServer(svc, s); err != nil {
				return err
			}
		}
	}
	key := config.DocumentKey(d.opt.Environment)
	if _, err := d.Platform.Store().Put(context.Background(), key, d.opt.Document, store.MustNotExist, "local/first-document"); err != nil {
		return errors.Trace(err)
	}
	for _, dc := range d.doc.DataCentres {
		for i := range d.opt.VMsPerDataCentre {
			if err := d.addVM(dc.Name, i); err != nil {
				return err
			}
		}
	}
	return nil
}

// listenAs returns the listen function of a host.
func (d *Deployment) listenAs(host string) daemon.ListenFunc {
	if d.opt.Net == nil {
		return net.Listen
	}
	return d.opt.Net.Host(host).Listen
}

// DialAs returns the dial function of a host; nil means TCP.
func (d *Deployment) DialAs(host string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	if d.opt.Net == nil {
		return nil
	}
	return d.opt.Net.Host(host).Dial
}

// daemonDial returns the dial function that the daemon of a host uses for
// backend servers, peers and the platform; nil means TCP.
func (d *Deployment) daemonDial(host string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	if d.opt.Dial != nil {
		return d.opt.Dial
	}
	return d.DialAs(host)
}

func (d *Deployment) startPlatform() error {
	lis, err := d.listenAs(PlatformHost)("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Annotate(err, "listen for platform stand-in")
	}
	d.Platform = platform.New(platform.Options{})
	d.PlatformURL = "http://" + lis.Addr().String()
	d.platformServer = &http.Server{Handler: d.Platform, ReadHeaderTimeout: 5 * time.Second}
	d.wg.Go(func() { _ = d.platformServer.Serve(lis) })
	return nil
}

func (d *Deployment) startServer(svc config.Service, s topo.BackendServer) error {
	lis, err := d.listenAs(string(s.ID))("tcp", s.Addr)
	if err != nil {
		return errors.Annotatef(err, "listen for backend server %s", s.ID)
	}
	srv := server.New(server.Options{
		ID: s.ID, Slots: s.Slots, MaxConns: s.MaxConns, ServiceTime: d.opt.ServiceTime,
		ChecksGrants: svc.Kind == topo.Keyed && svc.ChecksGrants && !d.opt.IgnoreGrants,
	})
	d.Servers[s.ID] = srv
	d.wg.Go(func() { _ = srv.Serve(lis) })
	return nil
}

// KillServer ends a backend server at once, as a machine failure does.
func (d *Deployment) KillServer(id topo.ServerID) {
	s := d.Servers[id]
	d.KilledServers = append(d.KilledServers, KilledServer{ID: id, Server: s, At: time.Now()})
	_ = s.Close()
}

// RestartServer starts a killed backend server again at its address, without
// any of its earlier state.
func (d *Deployment) RestartServer(id topo.ServerID) error {
	for _, svc := range d.doc.Services {
		for _, s := range svc.Servers {
			if s.ID == id {
				return d.startServer(svc, s)
			}
		}
	}
	return errors.NotFoundf("backend server %s", id)
}

func (d *Deployment) addVM(dc topo.DataCentreName, i int) error {
	addrs, err := d.vmAddrs(len(d.VMs))
	if err != nil {
		return err
	}
	set := &settings.Settings{
		VM: topo.VMID(fmt.Sprintf("vm-%s-%d", dc, i+1)), Cell: settings.DefaultCell, DataCentre: dc,
		Environment: d.opt.Environment, PeerAddr: addrs[0], CallerAddr: addrs[1], AdminAddr: addrs[2],
		PlatformURL: d.PlatformURL, AllowPlainHTTP: true, AllowPlaintextPeers: true,
	}
	if d.opt.SeedAllVMs {
		set.SeedPeers = d.seedPeers()
	}
	vm := &VM{Settings: set, net: d.opt.Net}
	if err := d.StartVM(vm); err != nil {
		return err
	}
	d.VMs = append(d.VMs, vm)
	return nil
}

// StartVM starts the daemon of a VM, for the first time or after Stop or Kill.
func (d *Deployment) StartVM(vm *VM) error {
	host := string(vm.Settings.VM)
	if d.opt.Net != nil {
		d.opt.Net.Revive(host)
	}
	dm, err := daemon.Listen(vm.Settings, daemon.Options{
		Listen: d.listenAs(host), Dial: d.daemonDial(host), Log: d.opt.Log,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	vm.mu.Lock()
	vm.Daemon, vm.stop, vm.done = dm, cancel, done
	vm.mu.Unlock()
	d.Platform.SetVM(store.VMState{ID: vm.Settings.VM})
	go func() { done <- dm.Run(ctx) }()
	return nil
}

// Stop shuts a VM's daemon down gracefully and waits until it has ended.
func (vm *VM) Stop() error {
	if !vm.Running() {
		return nil
	}
	vm.stop()
	err := <-vm.done
	vm.markStopped()
	return err
}

func (vm *VM) markStopped() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.stop = nil
}

// Kill ends a VM's daemon and cuts its connections at once, as a crash does.
func (vm *VM) Kill() {
	if !vm.Running() {
		return
	}
	if vm.net != nil {
		vm.net.Kill(string(vm.Settings.VM))
	}
	vm.Daemon.Kill()
	vm.stop()
	<-vm.done
	vm.markStopped()
}

// WaitReady waits until every running daemon can serve callers and its table
// routes to every slice and server, or until ctx ends.
func (d *Deployment) WaitReady(ctx context.Context) error {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		if d.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "the deployment did not become ready")
		case <-tick.C:
		}
	}
}

func (d *Deployment) ready() bool {
	for _, vm := range d.VMs {
		if vm.Running() && !(vm.Daemon.Ready() && vm.Daemon.FullyAssigned()) {
			return false
		}
	}
	return true
}

// Close stops everything. It kills daemons instead of draining them, because
// there are no more callers.
func (d *Deployment) Close() {
	var wg sync.WaitGroup
	for _, vm := range d.VMs {
		wg.Go(vm.Kill)
	}
	wg.Wait()
	for _, s := range d.Servers {
		_ = s.Close()
	}
	if d.platformServer != nil {
		_ = d.platformServer.Close()
	}
	d.wg.Wait()
}

// Running reports whether the VM's daemon is running.
func (vm *VM) Running() bool {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.stop != nil
}

// Ready reports whether the VM's daemon is running and can serve callers.
func (vm *VM) Ready() bool {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.stop != nil && vm.Daemon.Ready()
}

// vmAddrs returns the addresses of the i-th VM for peers, callers and
// operators, in this order.
func (d *Deployment) vmAddrs(i int) ([]string, error) {
	if d.opt.Net == nil {
		return freeAddrs(3)
	}
	ip := fmt.Sprintf("10.255.0.%d", i+1)
	return []string{ip + ":7001", ip + ":8080", ip + ":9090"}, nil
}

// seedPeers returns the peer addresses of all VMs on an in-memory network.
func (d *Deployment) seedPeers() []string {
	var seedPeers []string
	for i := range len(d.doc.DataCentres) * d.opt.VMsPerDataCentre {
		addrs, _ := d.vmAddrs(i)
		seedPeers = append(seedPeers, addrs[0])
	}
	return seedPeers
}

// freeAddrs returns n different loopback addresses whose ports are free.
func freeAddrs(n int) ([]string, error) {
	var addrs []string
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for range n {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Trace(err)
		}
		open = append(open, lis)
		addrs = append(addrs, lis.Addr().String())
	}
	return addrs, nil
}

// ServersIn returns the backend servers of a data centre.
func (d *Deployment) ServersIn(dc topo.DataCentreName) []*server.Server {
	var list []*server.Server
	for _, svc := range d.doc.Services {
		for _, s := range svc.Servers {
			if s.DataCentre == dc {
				list = append(list, d.Servers[s.ID])
			}
		}
	}
	return list
}
