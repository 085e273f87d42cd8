// Package home manages the backend servers whose home is this VM. The home VM
// of a server keeps the server's grants in line with the routing table, queues
// and sends all requests to the server, and reports its state to the
// controller.
//
// A request is sent to a server only while both this VM's lease and the
// server's lease are valid. Both are checked after the request has acquired a
// slot, immediately before its first byte is written.
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

// Report is the part of a heartbeat that describes one server.
type Report struct {
	grants.Report
	Queued, Running int
	// Rate is the number of requests per second over the last load window, see
	// loadWindow.
	Rate    float64
	HotKeys []HotKey
}

// HotKey is a key that receives a large share of a server's requests.
type HotKey struct {
	Key string
	// Rate is the number of requests per second for the key.
	Rate float64
}

// Manager runs one agent for each server whose home is this VM. It is safe for
// concurrent use.
type Manager struct {
	vm     topo.VMID
	dial   backend.DialFunc
	report func()

	histories HistorySource

	mu     sync.Mutex
	agents map[topo.ServerID]*agent
	// retired keeps the histories of servers that have moved to another home
	// VM, so that the new home VM can still fetch them.
	retired map[topo.ServerID]retiredHistory
	owners  ownerIndex
	lease   grants.VMLease
	limits  config.Limits
	// weights are the customers' weights in the fair queues.
	weights map[topo.CustomerID]float64
	wg      sync.WaitGroup
	ctx     context.Context
}

// HistorySource transfers the idempotency history of slices from another VM to
// this one; see peer.Pool. ok is false while a request of the slices is still
// in progress there.
type HistorySource interface {
	History(ctx context.Context, addr string, server topo.ServerID, slices []topo.SliceID) (data []byte, ok bool, err error)
}

// New returns a manager for vm. The manager calls report, which must not block,
// when a change should be reported before the next regular heartbeat. If dial is
// nil, the agents connect over TCP. The servers' agents run until ctx ends.
func New(ctx context.Context, vm topo.VMID, dial backend.DialFunc, histories HistorySource, report func()) *Manager {
	return &Manager{
		vm: vm, dial: dial, histories: histories, report: report, ctx: ctx,
		retired: make(map[topo.ServerID]retiredHistory), owners: make(ownerIndex),
		agents: make(map[topo.ServerID]*agent), weights: make(map[topo.CustomerID]float64),
	}
}

// Configure sets the customers' weights, and the limits of queues that are
// created later. Existing queues keep their limits.
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

// SetTable applies a routing table. Versions must not decrease. consecutive
// reports whether t directly follows the previous table. If versions were
// skipped, a slice may have had an owner that this VM does not know of, so the
// histories of newly assigned slices count as lost.
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

// SetLease sets this VM's lease and passes it to the agents of all servers.
func (m *Manager) SetLease(l grants.VMLease) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease = l
	for _, a := range m.agents {
		a.setLease(l)
	}
}

// Reports returns the server reports for the next heartbeat.
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

// Do implements call.Doer for requests to servers whose home is this VM.
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

// Shutdown stops accepting requests and waits until the running ones have ended
// or ctx ends.
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

// Wait blocks until all agents have stopped, which they do when the context
// passed to New ends.
func (m *Manager) Wait() { m.wg.Wait() }
