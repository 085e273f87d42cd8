// Package home runs what a home VM does for its backend servers: it makes them
// agree with the routing table, queues and dispatches requests to them, and
// reports to the controller.
//
// A request is sent to a server only while this VM's lease and the server's
// lease hold; both are checked after the request has its slot, immediately
// before its first byte is written.
package home

import (
	"context"
	"sync"
	"time"

	"godwitlock.example/godwitlock/backend"
	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/execution"
	"godwitlock.example/godwitlock/grants"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// Report is what the heartbeat says about one server.
type Report struct {
	grants.Report
	Queued, Running int
	// Rate is in requests per second since the last report.
	Rate    float64
	HotKeys []HotKey
}

// HotKey is a frequent key of a server.
type HotKey struct {
	Key string
	// Rate is in requests per second.
	Rate float64
}

// Manager holds the servers whose home VM this is. It is safe for concurrent
// use.
type Manager struct {
	vm     topo.VMID
	dial   backend.DialFunc
	report func()

	histories HistorySource

	mu     sync.Mutex
	agents map[topo.ServerID]*agent
	// retired keeps the histories of servers that have another home VM now,
	// until they are asked for.
	retired map[topo.ServerID]retiredHistory
	owners  ownerIndex
	lease   grants.VMLease
	limits  config.Limits
	// weights are the customers' weights in the fair queues.
	weights map[topo.CustomerID]float64
	wg      sync.WaitGroup
	ctx     context.Context
}

// HistorySource takes over the idempotency history of slices from another VM;
// see peer.Pool.
type HistorySource interface {
	History(ctx context.Context, addr string, server topo.ServerID, slices []topo.SliceID) (data []byte, ok bool, err error)
}

// New returns a manager for vm. It calls report, which must not block, when
// there is something that the next heartbeat should not wait for. A nil dial
// means TCP. The agents of servers run until ctx ends.
func New(ctx context.Context, vm topo.VMID, dial backend.DialFunc, histories HistorySource, report func()) *Manager {
	return &Manager{
		vm: vm, dial: dial, histories: histories, report: report, ctx: ctx,
		retired: make(map[topo.ServerID]retiredHistory), owners: make(ownerIndex),
		agents: make(map[topo.ServerID]*agent), weights: make(map[topo.CustomerID]float64),
	}
}

// Configure sets the limits of queues that are made from now on, and the
// customers' weights.
func (m *Manager) Configure(view *config.View) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if view.Document() != nil {
		m.limits = view.Limits()
	}
	for _, id := range view.Customers() {
		m.weights[id] = float64(view.Customer(id).Weight)
	}
	for _, a := range m.agents {
		a.setWeights(m.weights)
	}
}

// SetTable applies a routing table. Versions must not decrease. next says that
// no version between the last table and t was left out. Without that, an owner
// between the two may be unknown here, and the histories of slices that arrive
// count as lost.
func (m *Manager) SetTable(t *slicemap.Table, consecutive bool) {
	desired := grants.DesiredOf(t, m.vm)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !consecutive {
		clear(m.owners)
	}
	for id, want := range desired {
		if m.agents[id] == nil {
			m.startAgent(id, want)
		}
	}
	for id, a := range m.agents {
		a.setTable(desired[id])
		m.fetchHistories(a, desired[id])
		if desired[id] == nil && a.idle() {
			a.stop()
			delete(m.agents, id)
			m.retire(a)
		}
	}
	m.owners.update(t)
}

func (m *Manager) startAgent(id topo.ServerID, want *grants.Desired) {
	a := newAgent(m, id, want)
	a.machine.SetVMLease(time.Now(), m.lease)
	a.setWeights(m.weights)
	m.agents[id] = a
	m.wg.Go(func() { a.run(a.ctx) })
}

// SetLease sets this VM's lease.
func (m *Manager) SetLease(l grants.VMLease) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease = l
	for _, a := range m.agents {
		a.setLease(l)
	}
}

// Reports returns what the next heartbeat says.
func (m *Manager) Reports() []Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	var reports []Report
	for _, a := range m.agents {
		if r, ok := a.currentReport(); ok {
			reports = append(reports, r)
		}
	}
	return reports
}

// Do implements call.Doer for requests whose server has this VM as its home.
func (m *Manager) Do(ctx context.Context, req *call.Request) (*call.Response, error) {
	m.mu.Lock()
	a := m.agents[req.Server]
	m.mu.Unlock()
	if a == nil {
		return nil, execution.Fail(execution.HomeRefused, errkind.NotHome, "this VM is not the home of the server", nil)
	}
	if req.ExactlyOnce {
		return a.once.do(ctx, req, a.queue)
	}
	return a.queue.Do(ctx, req)
}

// Shutdown stops taking requests and waits until the running ones are done or
// ctx ends.
func (m *Manager) Shutdown(ctx context.Context) error {
	m.mu.Lock()
	agents := make([]*agent, 0, len(m.agents))
	for _, a := range m.agents {
		agents = append(agents, a)
	}
	m.mu.Unlock()
	for _, a := range agents {
		if err := a.queue.Stop(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Wait returns when all agents have ended, after the context of New ended.
func (m *Manager) Wait() { m.wg.Wait() }
