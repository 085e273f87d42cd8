package home

import (
	"context"
	"sync"
	"time"

	"godwitlock.example/godwitlock/backend"
	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/dispatch"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/execution"
	"godwitlock.example/godwitlock/grants"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// agent controls one backend server: it sends grants, renewals and revocations,
// and dispatches the server's requests.
type agent struct {
	server        topo.ServerID
	report        func()
	queue         *dispatch.Dispatcher
	once          *exactlyOnce
	client        *backend.Client
	controlClient *backend.Control
	ctx           context.Context
	stop          context.CancelFunc
	wake          chan struct{}

	mu      sync.Mutex
	machine *grants.Machine
	running runningCount
	// releasing is true while the table requires the server to release slices
	// or leases. The end of a request must then wake the agent, because the
	// machine waits for running requests to end.
	releasing bool
	// want is the part of the current table that concerns the server. It is nil
	// once the server's home is another VM.
	want *grants.Desired
	load loadCounter
	// cold is true if the server was cold in the last report, see
	// grants.Report.
	cold bool
}

func newAgent(m *Manager, id topo.ServerID, want *grants.Desired) *agent {
	srv := want.Server
	target := topo.BackendServer{
		ID: id, Service: want.Service, DataCentre: srv.DataCentre,
		Addr: srv.Addr, Slots: int(srv.Slots), MaxConns: int(srv.MaxConns),
	}
	ctx, cancel := context.WithCancel(m.ctx)
	a := &agent{
		server: id, report: m.report, ctx: ctx, stop: cancel,
		client:        backend.New(target, m.dial),
		controlClient: backend.NewControl(target, m.dial),
		machine:       grants.New(m.vm, id),
		running:       runningCount{bySlice: make(map[topo.SliceID]int)},
		wake:          make(chan struct{}, 1),
	}
	a.load.start(time.Now())
	cfg := dispatch.Config{
		Slots: target.Slots, MaxConns: target.MaxConns,
		MaxQueued: m.limits.QueueLength, MaxWait: time.Duration(m.limits.QueueWait),
	}
	a.queue = dispatch.NewDispatcher(cfg, call.DoerFunc(a.send), nil)
	a.once = newExactlyOnce()
	return a
}

// run executes the control calls that the machine requests, until ctx ends.
func (a *agent) run(ctx context.Context) {
	defer a.client.Close()
	defer a.controlClient.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		a.mu.Lock()
		now := time.Now()
		controlCall, ok := a.machine.Step(now, &a.running)
		next := a.machine.NextWake(now)
		a.mu.Unlock()
		if ok {
			a.perform(ctx, controlCall)
			continue
		}
		timer.Reset(max(next.Sub(now), time.Millisecond))
		select {
		case <-ctx.Done():
		case <-a.wake:
		case <-timer.C:
		}
	}
}

// perform sends one control call and passes its result to the machine.
func (a *agent) perform(ctx context.Context, controlCall grants.Call) {
	ctx, cancel := context.WithTimeout(ctx, grants.CallTimeout)
	defer cancel()
	reply, err := a.sendControlCall(ctx, controlCall)
	now := time.Now()
	a.mu.Lock()
	before := a.summariseReport()
	if err != nil {
		a.machine.CallFailed(controlCall.ID)
	} else {
		a.machine.Reply(now, controlCall.ID, replyOf(reply))
	}
	changed := a.summariseReport() != before
	a.handleColdStart()
	a.mu.Unlock()
	if changed || controlCall.Op == grants.OpRevoke {
		a.report()
	}
	if err != nil {
		// The machine treats the call as failed immediately. The delay avoids a
		// tight loop against a server that refuses connections.
		sleep(ctx, failedCallDelay)
	}
}

// failedCallDelay is the delay between attempts to reach a server that does not
// respond.
const failedCallDelay = 50 * time.Millisecond

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (a *agent) sendControlCall(ctx context.Context, c grants.Call) (backend.Reply, error) {
	switch c.Op {
	case grants.OpGrant:
		return a.controlClient.Grant(ctx, c.Fence(), c.Slices, int64(c.ExpiresMs), c.BootID)
	case grants.OpRenew:
		return a.controlClient.Renew(ctx, c.Term, int64(c.ExpiresMs), c.BootID)
	case grants.OpRevoke:
		return a.controlClient.Revoke(ctx, c.Fence(), c.Slices)
	default:
		return a.controlClient.Claims(ctx, c.Term)
	}
}

func replyOf(r backend.Reply) grants.Reply {
	reply := grants.Reply{BootID: r.BootID, ClockMs: uint64(r.ClockMS), Term: r.Term, Accepted: r.Accepted}
	for _, s := range r.Slices {
		reply.Slices = append(reply.Slices, grants.Claim{Slice: s.Slice, Fence: s.Fence})
	}
	return reply
}

// reportSummary holds the parts of a report whose change triggers a heartbeat
// immediately. reportsAvailable is 1 if there is a report, and 0 otherwise.
type reportSummary struct {
	lost, released            bool
	drained, claims           int
	claimsTerm                topo.Term
	lostTerm                  topo.Term
	lostSeq                   uint64
	missing, reportsAvailable int
}

// summariseReport returns the summary of the current report. a.mu is held.
func (a *agent) summariseReport() reportSummary {
	r, ok := a.machine.Report(time.Now())
	summary := reportSummary{
		lost: r.Lost, released: r.Released, drained: len(r.Drained), claims: len(r.Claims), claimsTerm: r.ClaimsTerm,
		lostTerm: r.LostAt.Term, lostSeq: r.LostAt.Seq, missing: len(r.Missing),
	}
	if ok {
		summary.reportsAvailable = 1
	}
	return summary
}

// handleColdStart starts the queue's warm-up ramp when the server has
// restarted. a.mu is held.
func (a *agent) handleColdStart() {
	r, _ := a.machine.Report(time.Now())
	if r.Cold && !a.cold {
		go a.queue.ColdStart()
	}
	a.cold = r.Cold
}

func (a *agent) setTable(want *grants.Desired) {
	a.mu.Lock()
	a.machine.SetTable(time.Now(), want)
	a.want = want
	a.releasing = want == nil || want.Server.Releasing || hasDraining(want)
	a.mu.Unlock()
	a.wakeUp()
}

func hasDraining(want *grants.Desired) bool {
	for _, e := range want.Entries {
		if e.Phase == slicemap.Draining {
			return true
		}
	}
	return false
}

func (a *agent) setLease(l grants.VMLease) {
	a.mu.Lock()
	a.machine.SetVMLease(time.Now(), l)
	a.mu.Unlock()
	a.wakeUp()
}

func (a *agent) setWeights(weights map[topo.CustomerID]float64) {
	for id, w := range weights {
		a.queue.SetWeight(id, w)
	}
}

func (a *agent) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// idle reports whether this VM has no queued or running requests for the
// server.
func (a *agent) idle() bool {
	s := a.queue.Stats()
	return s.Queued == 0 && s.Running == 0
}

func (a *agent) currentReport() (Report, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.machine.Report(time.Now())
	if !ok {
		return Report{}, false
	}
	s := a.queue.Stats()
	rate, hot := a.load.lastWindow(time.Now())
	return Report{Report: r, Queued: s.Queued, Running: s.Running, Rate: rate, HotKeys: hot}, true
}

// send is the last stage before the server. It checks the leases immediately
// before sending and counts the request as running until its response has
// ended.
func (a *agent) send(ctx context.Context, req *call.Request) (*call.Response, error) {
	fence, err := a.admit(req)
	if err != nil {
		return nil, err
	}
	outgoing := *req
	outgoing.Fence = fence
	resp, err := a.client.Do(ctx, &outgoing)
	if err != nil {
		a.requestEnded(req.Slice)
		return nil, err
	}
	resp.Server = a.server
	resp.Body = call.OnEnd(resp.Body, func() { a.requestEnded(req.Slice) })
	return resp, nil
}

func (a *agent) admit(req *call.Request) (topo.Fence, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running.add(req.Slice, 1)
	fence, ok := req.Fence, false
	now := time.Now()
	if a.want != nil && !a.want.Keyed {
		ok = a.machine.MaySendPooled(now)
	} else {
		fence, ok = a.machine.MaySend(now, req.Slice, req.Fence)
	}
	if !ok {
		a.running.add(req.Slice, -1)
		return topo.Fence{}, execution.Fail(execution.HomeRefused, errkind.NotHome, "the server does not hold the key at the moment", nil)
	}
	a.load.count(req.Key)
	return fence, nil
}

func (a *agent) requestEnded(id topo.SliceID) {
	a.mu.Lock()
	a.running.add(id, -1)
	releasing := a.releasing
	a.mu.Unlock()
	if releasing {
		a.wakeUp()
	}
}
