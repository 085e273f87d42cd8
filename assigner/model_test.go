package assigner

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"godwitlock.example/godwitlock/grants"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// The simulation connects one controller, the grants machines of the home VMs and
// model servers over a network that delays and drops messages. Every endpoint has
// a clock that drifts.

const modelStep = 10 * time.Millisecond

var epoch = time.Unix(1_700_000_000, 0)

// endpoint is a VM or a server, with its clock and network connection.
type endpoint struct {
	name              string
	clockRate         float64
	clockOffset       time.Duration
	pausedUntil       time.Duration
	partitioned, down bool
	generation        int
}

func (e *endpoint) clock(t time.Duration) time.Time {
	return epoch.Add(e.clockOffset + time.Duration(float64(t)*e.clockRate))
}

type simServer struct {
	endpoint
	spec    ServerSpec
	term    topo.Term
	held    map[topo.SliceID]topo.Fence
	floor   map[topo.SliceID]topo.Fence
	expires uint64
}

func (s *simServer) clockMs(t time.Duration) uint64 {
	return uint64(s.clock(t).Sub(epoch) / time.Millisecond)
}

func (s *simServer) bootID() string { return fmt.Sprint(s.name, s.generation) }

func (s *simServer) reboot() {
	s.generation++
	s.term, s.expires = 0, 0
	s.held, s.floor = map[topo.SliceID]topo.Fence{}, map[topo.SliceID]topo.Fence{}
}

// handle implements the server's side of the control protocol (section 6.4). If
// check is false, the server accepts every call.
func (s *simServer) handle(t time.Duration, c grants.Call, check bool) grants.Reply {
	r := grants.Reply{BootID: s.bootID(), ClockMs: s.clockMs(t), Term: s.term}
	if check && (c.Term < s.term || c.BootID != "" && c.BootID != s.bootID()) {
		return r
	}
	if check && c.ExpiresMs > 0 && c.ExpiresMs <= r.ClockMs {
		return r
	}
	for _, id := range c.Slices {
		old := c.Op == grants.OpGrant && (!s.floor[id].Less(c.Fence()) || c.Fence().Less(s.held[id]))
		if check && old {
			return r
		}
	}
	s.term = max(s.term, c.Term)
	r.Accepted, r.Term = true, s.term
	s.expires = max(s.expires, c.ExpiresMs)
	for _, id := range c.Slices {
		if c.Op == grants.OpGrant {
			s.held[id] = c.Fence()
			continue
		}
		if s.floor[id].Less(c.Fence()) {
			s.floor[id] = c.Fence()
		}
		if !c.Fence().Less(s.held[id]) {
			delete(s.held, id)
		}
	}
	if c.Op == grants.OpClaims {
		for id, f := range s.held {
			r.Slices = append(r.Slices, grants.Claim{Slice: id, Fence: f})
		}
	}
	return r
}

// simVM is a VM that may be home VM of servers and run the controller.
type simVM struct {
	endpoint
	info            topo.VM
	table           *slicemap.Holder
	machines        map[topo.ServerID]*grants.Machine
	desired         map[topo.ServerID]*grants.Desired
	lease           grants.VMLease
	seq             uint64
	nextHeartbeatAt time.Time
	urgentState     string // as last reported; a change makes a heartbeat due at once
	leaving         bool
	runCounts       map[topo.ServerID]runCount
	hotKeys         map[topo.ServerID][]HotKey
	rates           map[topo.ServerID]float64
}

type runCount map[topo.SliceID]int

func (r runCount) Running(id topo.SliceID) int { return r[id] }
func (r runCount) Total() (n int) {
	for _, k := range r {
		n += k
	}
	return n
}

type event struct {
	at  time.Duration
	seq int
	f   func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

// faults holds the shares of messages that are lost or delayed, and whether servers
// skip the check of grants.
type faults struct {
	loss, delayed   float64
	skipServerCheck bool
}

type simulation struct {
	t       time.Duration
	rng     *rand.Rand
	events  events
	seq     int
	faults  faults
	vms     []*simVM
	srvs    []*simServer
	byID    map[topo.ServerID]*simServer
	service ServiceSpec

	controller   *Assigner
	controllerVM *simVM
	term         topo.Term
	authority    time.Duration // end in simulated real time
	nextAttestAt time.Duration
	// lastAuthority is the latest end of the authority of an earlier term,
	// released or not. Leases of those terms end no later.
	lastAuthority time.Duration
	records       []MoveRecord
	versions      int
	bytes         int

	violations []string
}

func newSimulation(seed int64, nVMs, nServers int, slices uint32, unfenced int, f faults) *simulation {
	sim := &simulation{rng: rand.New(rand.NewSource(seed)), faults: f, byID: map[topo.ServerID]*simServer{},
		service: ServiceSpec{Name: "ledger", Kind: topo.Keyed, Slices: slices}}
	for i := range nVMs {
		v := &simVM{endpoint: sim.newEndpoint(fmt.Sprint("vm", i)), table: slicemap.NewHolder()}
		v.info = topo.VM{ID: topo.VMID(v.name), DataCentre: dcName(i), PeerAddr: v.name + ":1"}
		v.reset()
		sim.vms = append(sim.vms, v)
	}
	for i := range nServers {
		s := &simServer{endpoint: sim.newEndpoint(fmt.Sprint("s", i))}
		s.spec = ServerSpec{BackendServer: topo.BackendServer{ID: topo.ServerID(s.name), DataCentre: dcName(i),
			Addr: s.name + ":1", Slots: 3, MaxConns: 10}, ChecksGrants: i >= unfenced}
		s.reboot()
		sim.srvs = append(sim.srvs, s)
		sim.byID[s.spec.ID] = s
		sim.service.Servers = append(sim.service.Servers, s.spec)
	}
	sim.newController(sim.vms[0], true)
	return sim
}

func dcName(i int) topo.DataCentreName { return topo.DataCentreName(fmt.Sprint("dc", i%3)) }

func (sim *simulation) newEndpoint(name string) endpoint {
	return endpoint{name: name, clockRate: 1 + (sim.rng.Float64()-0.5)*grants.MaxDrift*0.9,
		clockOffset: time.Duration(sim.rng.Intn(1000)) * time.Second}
}

func (v *simVM) reset() {
	v.generation++
	v.table, v.lease, v.seq, v.nextHeartbeatAt = slicemap.NewHolder(), grants.VMLease{}, 0, time.Time{}
	v.machines, v.desired = map[topo.ServerID]*grants.Machine{}, map[topo.ServerID]*grants.Desired{}
	v.runCounts = map[topo.ServerID]runCount{}
	v.hotKeys, v.rates = map[topo.ServerID][]HotKey{}, map[topo.ServerID]float64{}
}

// newController starts the next term at a VM, with the table of that VM.
func (sim *simulation) newController(v *simVM, lapsed bool) {
	if sim.controller != nil && !lapsed {
		// A controller that released its term makes no more decisions.
		sim.controller.SetAuthority(time.Time{})
	}
	sim.term += 3
	sim.controllerVM = v
	cfg := Config{Term: sim.term, PredecessorLapsed: lapsed}
	if sim.term%2 == 0 {
		cfg.CollectDuration = MinCollectDuration
	}
	sim.controller = New(v.clock(sim.t), cfg, v.table.Load())
	if err := sim.controller.Configure([]ServiceSpec{sim.service}); err != nil {
		panic(err)
	}
	sim.lastAuthority = max(sim.lastAuthority, sim.authority)
	sim.authority, sim.nextAttestAt = 0, sim.t
}

// send runs f at the receiver after a delay, unless the message is lost. A paused
// receiver gets the message when it resumes, a restarted one doesn't get it.
func (sim *simulation) send(from, to *endpoint, f func()) {
	if from.partitioned || to.partitioned || sim.rng.Float64() < sim.faults.loss {
		return
	}
	d := time.Millisecond + time.Duration(sim.rng.Intn(15))*time.Millisecond
	if sim.rng.Float64() < sim.faults.delayed {
		d += time.Duration(sim.rng.Intn(1500)) * time.Millisecond
	}
	gen := to.generation
	sim.schedule(d, func() { sim.deliver(to, gen, f) })
}

func (sim *simulation) deliver(to *endpoint, gen int, f func()) {
	switch {
	case to.down || to.generation != gen:
	case to.pausedUntil > sim.t:
		sim.schedule(to.pausedUntil-sim.t, func() { sim.deliver(to, gen, f) })
	default:
		f()
	}
}

func (sim *simulation) schedule(d time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.events, event{sim.t + d, sim.seq, f})
}

// run advances the simulation by d, in steps of modelStep.
func (sim *simulation) run(d time.Duration) {
	for end := sim.t + d; sim.t < end; {
		next := sim.t + modelStep
		for len(sim.events) > 0 && sim.events[0].at <= next {
			e := heap.Pop(&sim.events).(event)
			sim.t = max(sim.t, e.at)
			e.f()
		}
		sim.t = next
		sim.stepController()
		for _, v := range sim.vms {
			if !v.down && v.pausedUntil <= sim.t {
				sim.stepVM(v)
			}
		}
		sim.check()
	}
}

func (sim *simulation) stepController() {
	v := sim.controllerVM
	if v.down || v.pausedUntil > sim.t {
		return
	}
	if !v.partitioned && sim.t >= sim.nextAttestAt && (sim.authority == 0 || sim.t < sim.authority) {
		sim.authority, sim.nextAttestAt = sim.t+VMTTL, sim.t+300*time.Millisecond
		sim.controller.SetAuthority(v.clock(sim.t).Add(grants.MinRemote(VMTTL)))
	}
	sim.tick(sim.controller, v)
}

func (sim *simulation) tick(a *Assigner, v *simVM) {
	r := a.Tick(v.clock(sim.t))
	sim.records = append(sim.records, r.Moves...)
	if r.Table == nil {
		return
	}
	sim.versions++
	data := r.Delta.Encode(nil)
	sim.bytes += len(data)
	for _, to := range sim.vms {
		sim.send(&v.endpoint, &to.endpoint, func() { sim.sync(to, data, r.Table) })
	}
}

// sync applies an encoded delta at a VM, or the full table if the VM missed earlier
// deltas.
func (sim *simulation) sync(v *simVM, data []byte, full *slicemap.Table) {
	d, err := slicemap.DecodeDelta(data)
	if err != nil {
		panic(err)
	}
	if err := v.table.Apply(d); err != nil {
		if err.(*slicemap.ApplyError).Reason == slicemap.Older || v.table.Apply(full.FullCopy()) != nil {
			return
		}
	}
	sim.applyTable(v)
}

func (sim *simulation) applyTable(v *simVM) {
	now := v.clock(sim.t)
	v.desired = grants.DesiredOf(v.table.Load(), v.info.ID)
	for id, m := range v.machines {
		m.SetTable(now, v.desired[id])
	}
	for id, desired := range v.desired {
		if v.machines[id] == nil {
			m := grants.New(v.info.ID, id)
			m.SetVMLease(now, v.lease)
			m.SetTable(now, desired)
			v.machines[id], v.runCounts[id] = m, runCount{}
		}
	}
}
