package control

import (
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/admission"
	"godwitlock.example/godwitlock/assigner"
	"godwitlock.example/godwitlock/authority"
	"godwitlock.example/godwitlock/callerkey"
	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/grants"
	"godwitlock.example/godwitlock/peer/peerpb"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// maxAssignerInterval is the longest time between two steps of the assigner.
const maxAssignerInterval = 50 * time.Millisecond

// controller is one term of this VM as controller of the cell.
type controller struct {
	node   *Node
	holder *authority.Holder
	term   topo.Term
	log    zerolog.Logger
	pub    *publisher
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu         sync.Mutex
	assigner   *assigner.Assigner
	ledger     *admission.Ledger
	floors     *admission.Floors
	members    map[topo.VMID]*member
	rates      map[topo.CustomerID]admission.Rate
	storeWatch storeWatchState
	// exactlyOnceByServer is true for servers of services with exactly-once
	// routes.
	exactlyOnceByServer map[topo.ServerID]bool
	// stepRequested triggers a step of the assigner before maxAssignerInterval
	// has passed.
	stepRequested chan struct{}
	// fetching contains the VMs whose configuration and table are being
	// fetched.
	fetching map[topo.VMID]bool
}

// member is the state that the controller holds for one VM of the cell.
type member struct {
	vm       topo.VM
	bootID   string
	revision topo.Revision
	leaseEnd time.Time
	probe    peerpb.StoreProbe
}

// startController starts a term. n.mu is not held.
func (n *Node) startController(ctx context.Context, h *authority.Holder) {
	ctx, cancel := context.WithCancel(ctx)
	now := time.Now()
	// A term ends only when its authority expires, never by an early release,
	// so no lease of an earlier term is still valid.
	cfg := assigner.Config{Term: h.Term(), PredecessorLapsed: true, CollectDuration: assigner.MinCollectDuration}
	c := &controller{
		node: n, holder: h, term: h.Term(), stop: cancel,
		log:           n.log.With().Uint64("term", uint64(h.Term())).Logger(),
		assigner:      assigner.New(now, cfg, n.cfg.Tables.Load()),
		ledger:        admission.NewLedger(h.Term(), now),
		floors:        admission.NewFloors(now, h.Term() == 1),
		members:       make(map[topo.VMID]*member),
		rates:         make(map[topo.CustomerID]admission.Rate),
		stepRequested: make(chan struct{}, 1),
		fetching:      make(map[topo.VMID]bool),
	}
	c.pub = newPublisher(n.View(), c.assigner.Table())
	c.configure(n.View())
	n.mu.Lock()
	n.ctrl = c
	n.mu.Unlock()
	c.log.Info().Str("event", "controller_started").Send()
	c.wg.Go(func() { c.run(ctx) })
	c.wg.Go(func() { c.watchConfig(ctx) })
	c.wg.Go(func() { c.maintainCell(ctx) })
	c.wg.Go(func() { c.storeSnapshots(ctx) })
	n.RequestHeartbeat()
}

// stopController ends this VM's term as controller, if there is one, and waits
// for its goroutines.
func (n *Node) stopController() {
	n.mu.Lock()
	c := n.ctrl
	n.ctrl = nil
	n.mu.Unlock()
	if c == nil {
		return
	}
	c.log.Info().Str("event", "controller_stopped").Send()
	c.stop()
	c.pub.close()
	c.wg.Wait()
}

// run steps the assigner until ctx ends.
func (c *controller) run(ctx context.Context) {
	tick := time.NewTicker(maxAssignerInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-c.stepRequested:
		}
		c.stepAssigner()
	}
}

func (c *controller) stepAssigner() {
	until := c.validUntil()
	c.mu.Lock()
	c.assigner.SetAuthority(until)
	res := c.assigner.Tick(time.Now())
	table := c.assigner.Table()
	c.mu.Unlock()
	for _, m := range res.Moves {
		c.log.Info().Str("event", "move").Str("what", string(m.Event)).Str("cause", string(m.Cause)).
			Str("service", string(m.Service)).Str("server", string(m.Server)).
			Str("from", m.From).Str("to", m.To).Int("slices", len(m.Slices)).Send()
	}
	c.pub.setTable(table, res.Delta)
}

// requestStep triggers a step of the assigner. It does not block.
func (c *controller) requestStep() {
	select {
	case c.stepRequested <- struct{}{}:
	default:
	}
}

func (c *controller) validUntil() time.Time {
	c.node.mu.Lock()
	defer c.node.mu.Unlock()
	return c.holder.ValidUntil()
}

// leaseLimit returns the longest VM lease that can be granted at now without
// outliving the authority, or 0 without authority.
func (c *controller) leaseLimit(now time.Time) time.Duration {
	c.node.mu.Lock()
	defer c.node.mu.Unlock()
	if !c.holder.Valid(now) {
		return 0
	}
	return c.holder.Remaining(now)
}

// heartbeat processes the heartbeat of a VM and returns the response.
func (c *controller) heartbeat(req *peerpb.HeartbeatRequest) *peerpb.HeartbeatResponse {
	hb := decodeHeartbeat(req)
	c.dropHotKeys(&hb)
	limit := c.leaseLimit(time.Now())
	until := c.validUntil()
	c.mu.Lock()
	now := time.Now()
	c.assigner.SetAuthority(until)
	reply := c.assigner.Heartbeat(now, hb)
	m := c.recordMember(now, hb, req, reply.Lease)
	slot, haveSlot := c.floors.Lease(now, hb.VM.ID, int(req.GetFloorSlot())-1)
	// A VM may have a newer configuration than a controller that took over
	// during a store outage.
	newer := m.revision > c.pub.revision()
	fetch := (reply.WantTable || newer) && !c.fetching[hb.VM.ID]
	if fetch {
		c.fetching[hb.VM.ID] = true
	}
	fresh, probe := c.storeWatch.freshness(now, c.node.cfg.VM.ID, c.rosterProbes(), c.assigner.Rebuilding())
	fresh = fresh && !newer
	leasedVMs, checksum := c.leasedVMs(now)
	c.mu.Unlock()
	if fetch {
		go c.fetchState(m.vm)
	}
	c.node.recordAddresses(hb.VM)
	c.requestStep()

	cell := c.node.currentCell()
	resp := &peerpb.HeartbeatResponse{
		Term: uint64(c.term), Holder: string(c.node.cfg.VM.ID),
		VmLeaseMs: uint64(min(reply.Lease, limit).Milliseconds()),
		TableTerm: uint64(c.pub.tableVersion().Term), TableVersion: c.pub.tableVersion().Seq,
		RequiredTerm: uint64(reply.Required.Term), RequiredSeq: reply.Required.Seq, Rebuild: reply.Rebuild,
		ConfigRevision: uint64(c.pub.revision()), ProbeStore: probe,
		CellBaseTerm: uint64(cell.BaseTerm), VmsSum: checksum,
	}
	if req.GetCellBaseTerm() != resp.CellBaseTerm {
		resp.Cell, _ = cell.Encode()
	}
	if req.GetVmsSum() != checksum {
		resp.Vms = leasedVMs
	}
	if fresh && limit > 0 {
		resp.FreshnessMs = uint64(callerkey.FreshnessTTL.Milliseconds())
	}
	if haveSlot {
		resp.Floor = &peerpb.FloorGrant{Slot: uint32(slot.Slot), Confirmed: slot.Confirmed}
	}
	return resp
}

// dropHotKeys removes the hot keys of servers whose service has exactly-once
// routes. Such a key must not be moved out of its slice, because the slice's
// history would lack the requests that ran while the key had another owner.
func (c *controller) dropHotKeys(hb *assigner.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range hb.Servers {
		if c.exactlyOnceByServer[hb.Servers[i].Server] {
			hb.Servers[i].HotKeys = nil
		}
	}
}

// recordMember stores the state that a heartbeat reports about its VM. c.mu is
// held.
func (c *controller) recordMember(now time.Time, hb assigner.Heartbeat, req *peerpb.HeartbeatRequest, lease time.Duration) *member {
	m := c.members[hb.VM.ID]
	if m == nil {
		m = &member{}
		c.members[hb.VM.ID] = m
	}
	m.vm, m.bootID, m.revision, m.probe = hb.VM, hb.BootID, topo.Revision(req.GetConfigRevision()), req.GetStoreProbe()
	if lease > 0 {
		m.leaseEnd = now.Add(grants.MaxLocal(lease))
	}
	return m
}

// leasedVMs returns the VMs that hold a lease, ordered by id, and a checksum of
// the list. c.mu is held.
func (c *controller) leasedVMs(now time.Time) ([]*peerpb.VM, uint64) {
	leasedVMs := make([]*peerpb.VM, 0, len(c.members))
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		if m := c.members[id]; now.Before(m.leaseEnd) {
			leasedVMs = append(leasedVMs, encodeVM(m.vm))
		}
	}
	return leasedVMs, checksumVMs(leasedVMs)
}

func checksumVMs(vms []*peerpb.VM) uint64 {
	h := fnv.New64a()
	for _, v := range vms {
		_, _ = fmt.Fprintf(h, "%s|%s|%s\n", v.GetId(), v.GetPeerAddr(), v.GetDataCentre())
	}
	return h.Sum64()
}

// rosterProbes returns the store probe results reported by the roster's
// members. c.mu is held.
func (c *controller) rosterProbes() map[topo.VMID]peerpb.StoreProbe {
	out := make(map[topo.VMID]peerpb.StoreProbe)
	for _, id := range c.storeWatch.roster {
		out[id] = peerpb.StoreProbe_STORE_PROBE_UNKNOWN
		if m := c.members[id]; m != nil {
			out[id] = m.probe
		}
	}
	return out
}

// fetchState fetches the configuration and the routing table of a VM and adopts
// those that are newer.
func (c *controller) fetchState(vm topo.VM) {
	defer func() {
		c.mu.Lock()
		delete(c.fetching, vm.ID)
		c.mu.Unlock()
	}()
	client, err := c.node.cfg.Pool.Client(vm.PeerAddr)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	ev, err := client.Snapshot(ctx, &peerpb.SnapshotRequest{})
	if err != nil {
		return
	}
	if ev.GetConfig() != nil {
		c.applyConfig(decodeConfig(ev.GetConfig()), time.Time{})
	}
	if ev.GetTable() == nil {
		return
	}
	table, err := decodeTable(ev.GetTable().GetData())
	if err != nil {
		c.log.Error().Err(err).Str("vm", string(vm.ID)).Msg("cannot decode the routing table fetched from a VM")
		return
	}
	c.mu.Lock()
	c.assigner.Adopt(time.Now(), table)
	c.mu.Unlock()
	c.requestStep()
}

// draw processes a VM's request for rate tokens. It returns false if this VM
// does not have authority.
func (c *controller) draw(req *peerpb.DrawRequest) (*peerpb.DrawResponse, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.leaseLimit(now) <= 0 {
		return nil, false
	}
	return encodeBlocks(c.ledger.Draw(now, decodeDraw(req))), true
}

// configure passes a configuration to the assigner and the ledger.
func (c *controller) configure(view *config.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if doc := view.Document(); doc != nil {
		c.exactlyOnceByServer = exactlyOnceServers(doc)
		if err := c.assigner.Configure(serviceSpecs(doc, c.node.cfg.VM.Cell)); err != nil {
			c.log.Error().Err(err).Str("event", "config_refused").Msg("cannot apply the services of the new configuration")
		}
		for _, dc := range doc.DataCentres {
			c.assigner.SetDataCentre(dc.Name, view.DataCentreInService(dc.Name))
		}
		for _, s := range doc.Services {
			for _, srv := range s.Servers {
				c.assigner.SetDraining(srv.ID, view.Draining(srv.ID) != nil)
			}
		}
	}
	c.setRates(now, view)
	c.requestStep()
}

func (c *controller) setRates(now time.Time, view *config.View) {
	for id := range c.rates {
		if view.Customer(id) == nil {
			c.ledger.RemoveCustomer(now, id)
			delete(c.rates, id)
		}
	}
	for _, id := range view.Customers() {
		rate := rateOf(view.Customer(id))
		if c.rates[id] == rate {
			continue
		}
		if err := c.ledger.SetCustomer(now, id, rate); err != nil {
			c.log.Error().Err(err).Str("customer", string(id)).Msg("cannot set the customer's rate")
			continue
		}
		c.rates[id] = rate
	}
}

func rateOf(cust *config.Customer) admission.Rate {
	return admission.Rate{PerSecond: cust.Rate, Burst: cust.Burst}
}

func exactlyOnceServers(doc *config.Document) map[topo.ServerID]bool {
	services := make(map[topo.ServiceName]bool)
	for _, r := range doc.Routes {
		if r.ExactlyOnce {
			services[r.Service] = true
		}
	}
	servers := make(map[topo.ServerID]bool)
	for _, s := range doc.Services {
		for _, srv := range s.Servers {
			servers[srv.ID] = services[s.Name]
		}
	}
	return servers
}

func serviceSpecs(doc *config.Document, cell topo.CellName) []assigner.ServiceSpec {
	var specs []assigner.ServiceSpec
	for _, s := range doc.Services {
		if s.Cell != cell {
			continue
		}
		spec := assigner.ServiceSpec{Name: s.Name, Kind: s.Kind}
		if s.Kind == topo.Keyed {
			spec.Slices = uint32(s.Slices)
		}
		for _, srv := range s.Servers {
			srv.Service = s.Name
			spec.Servers = append(spec.Servers, assigner.ServerSpec{BackendServer: srv, ChecksGrants: s.ChecksGrants})
		}
		specs = append(specs, spec)
	}
	return specs
}

func (c *controller) status(now time.Time) ([]MemberStatus, *time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []MemberStatus
	for id, m := range c.members {
		if left := m.leaseEnd.Sub(now); left > 0 {
			out = append(out, MemberStatus{VM: id, ConfigRevision: m.revision, LeaseMs: left.Milliseconds()})
		}
	}
	age := now.Sub(c.storeWatch.asOf)
	return out, &age
}

func decodeTable(data []byte) (*slicemap.Table, error) {
	delta, err := slicemap.DecodeDelta(data)
	if err != nil {
		return nil, err
	}
	return slicemap.Empty().Apply(delta)
}
