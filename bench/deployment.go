package bench

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/execution"
	"godwitlock.example/godwitlock/load"
	"godwitlock.example/godwitlock/operate"
	"godwitlock.example/godwitlock/standin/local"
	"godwitlock.example/godwitlock/standin/server"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

// environment is the environment name of every benchmarked deployment.
const environment = "bench"

// startTimeout is how long the daemons of a deployment may take to become ready.
const startTimeout = 20 * time.Second

// deployment is a deployment under test: daemons or the baseline, and server
// stand-ins.
type deployment struct {
	*local.Deployment
	doc     *config.Document
	targets []string
	// callerKey returns the key with which callers of a customer authenticate.
	callerKey func(topo.CustomerID) string
	// setOutOfService takes a data centre out of service or brings it back. It
	// returns when the change has been acknowledged.
	setOutOfService func(ctx context.Context, dc topo.DataCentreName, outOfService bool) error
	stop            func()
}

// start starts the deployment of a workload under a policy. The caller must
// close it.
func start(ctx context.Context, w *Workload, policy string, log zerolog.Logger) (*deployment, error) {
	document, doc, err := w.withLoopbackAddrs()
	if err != nil {
		return nil, err
	}
	opt := local.Options{
		Environment: environment, Document: document, VMsPerDataCentre: w.VMsPerDataCentre,
		ServiceTime: w.ServiceTime, Dial: delayedDial, Log: log,
	}
	if policy == Naive {
		opt.VMsPerDataCentre, opt.IgnoreGrants = 0, true
	}
	l, err := local.Start(opt)
	if err != nil {
		return nil, err
	}
	d := &deployment{Deployment: l, doc: doc, stop: func() {}}
	if policy == Naive {
		err = d.startNaive()
	} else {
		err = d.startCurrent(ctx, customers())
	}
	if err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) close() {
	d.stop()
	d.Close()
}

// delayedDial delays each new connection by connectDelay, since connecting over
// loopback is faster than between machines.
func delayedDial(ctx context.Context, network, addr string) (net.Conn, error) {
	if !sleep(ctx, connectDelay) {
		return nil, ctx.Err()
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, addr)
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (d *deployment) startCurrent(ctx context.Context, list []customer) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	op, err := operate.New(operate.Settings{
		Store: store.NewClient(d.PlatformURL, nil), Env: environment, OperatorName: "bench", Random: rand.Reader,
	})
	if err != nil {
		return err
	}
	var services []topo.ServiceName
	for _, s := range d.doc.Services {
		services = append(services, s.Name)
	}
	keys := map[topo.CustomerID]string{}
	for _, c := range list {
		_, err := op.CreateCustomer(ctx, config.Customer{ID: c.id, Rate: c.PerSecond, Burst: c.Burst, Weight: 1, Services: services}, "bench")
		if err != nil {
			return errors.Annotatef(err, "create customer %s", c.id)
		}
		key, _, err := op.IssueCallerKey(ctx, c.id, operate.KeyOptions{}, "bench")
		if err != nil {
			return errors.Annotatef(err, "issue caller key of %s", c.id)
		}
		keys[c.id] = key.Reveal()
	}
	d.callerKey = func(id topo.CustomerID) string { return keys[id] }
	d.setOutOfService = func(ctx context.Context, dc topo.DataCentreName, outOfService bool) error {
		_, err := op.SetDataCentreOut(ctx, dc, outOfService, false, "bench")
		return err
	}
	for _, vm := range d.VMs {
		d.targets = append(d.targets, "http://"+vm.Settings.CallerAddr)
	}
	if err := d.WaitReady(ctx); err != nil {
		return err
	}
	// A new deployment refuses exactly-once requests with history_lost until
	// MaxKeySkew has passed.
	sleep(ctx, execution.MaxKeySkew)
	return ctx.Err()
}

func (d *deployment) startNaive() error {
	n := newNaive(d.doc)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Trace(err)
	}
	httpServer := &http.Server{Handler: n, ReadHeaderTimeout: callerTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = httpServer.Serve(lis) })
	wg.Go(func() { n.runHealthChecks(ctx) })
	d.stop = func() {
		cancel()
		_ = httpServer.Close()
		wg.Wait()
	}
	d.targets = []string{"http://" + lis.Addr().String()}
	d.callerKey = func(id topo.CustomerID) string { return string(id) }
	d.setOutOfService = func(_ context.Context, dc topo.DataCentreName, outOfService bool) error {
		n.setOutOfService(dc, outOfService)
		return nil
	}
	return nil
}

// executions returns the executions that all server stand-ins recorded, including
// those of lost servers.
func (d *deployment) executions() ([]Execution, error) {
	var all []Execution
	for _, svc := range d.doc.Services {
		for _, s := range svc.Servers {
			add := func(from *server.Server) error {
				if n := from.Stats().RecordsDropped; n > 0 {
					return errors.Errorf("server %s dropped %d execution records", s.ID, n)
				}
				for _, r := range from.Records() {
					all = append(all, Execution{
						Record: r, Server: s.ID, DataCentre: s.DataCentre, Keyed: svc.Kind == topo.Keyed,
						LoadID: r.Header.Get(load.HeaderID),
					})
				}
				return nil
			}
			if err := add(d.Servers[s.ID]); err != nil {
				return nil, err
			}
			for _, l := range d.KilledServers {
				if l.ID == s.ID {
					if err := add(l.Server); err != nil {
						return nil, err
					}
				}
			}
		}
	}
	return all, nil
}
