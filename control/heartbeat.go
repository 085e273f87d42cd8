package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/admission"
	"godwitlock.example/godwitlock/assigner"
	"godwitlock.example/godwitlock/authority"
	"godwitlock.example/godwitlock/grants"
	"godwitlock.example/godwitlock/peer/peerpb"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

const (
	// heartbeatTimeout bounds one Heartbeat or Draw call. It is the delay before
	// the next VM is tried when a controller does not respond.
	heartbeatTimeout = 200 * time.Millisecond
	// searchInterval separates heartbeats while no controller responds.
	searchInterval = 50 * time.Millisecond
	// minHeartbeatInterval is the minimum interval between heartbeats,
	// including those triggered by reports.
	minHeartbeatInterval = 20 * time.Millisecond
	// probeTimeout bounds one probe of the store.
	probeTimeout = 300 * time.Millisecond
)

// errNoController means that the contacted VM is not the controller, or that
// the address to contact is unknown.
const errNoController = errors.ConstError("not the controller")

// RunHeartbeats sends heartbeats to the controller until ctx ends. While no
// controller responds, it tries the other known VMs in turn.
func (n *Node) RunHeartbeats(ctx context.Context) error {
	misses := 0
	for ctx.Err() == nil {
		interval := assigner.HeartbeatInterval
		if err := n.heartbeat(ctx, n.nextTarget(misses)); err != nil {
			misses++
			interval = searchInterval
		} else {
			misses = 0
		}
		n.waitForHeartbeat(ctx, interval)
	}
	return ctx.Err()
}

func (n *Node) waitForHeartbeat(ctx context.Context, interval time.Duration) {
	if !sleep(ctx, min(interval, minHeartbeatInterval)) {
		return
	}
	timer := time.NewTimer(interval - min(interval, minHeartbeatInterval))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.heartbeatRequested:
	case <-ctx.Done():
	}
}

// attemptsPerOtherVM sets how often a search for the controller contacts a VM
// that the cell object does not name: once in this many attempts. The named VMs
// are far more likely to be controller, and a new controller waits only
// assigner.MinCollectDuration for all VMs to find it.
const attemptsPerOtherVM = 4

// nextTarget returns the address for the next heartbeat, where misses is the
// number of consecutive failed attempts. The first attempt goes to the last
// known controller. Later attempts go to the VMs that the cell object names in
// turn, and every attemptsPerOtherVM-th attempt goes to another VM.
func (n *Node) nextTarget(misses int) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	preferred, others := n.heartbeatTargets()
	switch {
	case len(preferred)+len(others) == 0:
		return ""
	case len(preferred) == 0:
		return others[misses%len(others)]
	case len(others) > 0 && misses%attemptsPerOtherVM == attemptsPerOtherVM-1:
		return others[misses/attemptsPerOtherVM%len(others)]
	}
	return preferred[(misses-misses/attemptsPerOtherVM)%len(preferred)]
}

// heartbeatTargets returns the peer addresses of the preferred targets, which
// are the last known controller and the VMs named in the cell object, and the
// addresses of all other VMs and seeds. n.mu is held.
func (n *Node) heartbeatTargets() (preferred, others []string) {
	cell := n.successor.Cell()
	seen := map[string]bool{"": true}
	add := func(list []string, addr string) []string {
		if seen[addr] {
			return list
		}
		seen[addr] = true
		return append(list, addr)
	}
	preferred = add(preferred, n.knownVMs[n.target].PeerAddr)
	preferred = add(preferred, n.knownVMs[cell.Holder.VM].PeerAddr)
	for _, s := range cell.Successors {
		preferred = add(preferred, n.knownVMs[s.VM].PeerAddr)
	}
	for _, id := range slices.Sorted(maps.Keys(n.knownVMs)) {
		others = add(others, n.knownVMs[id].PeerAddr)
	}
	for _, seed := range n.cfg.Seeds {
		others = add(others, seed)
	}
	return preferred, others
}

func (n *Node) heartbeat(ctx context.Context, addr string) error {
	if addr == "" {
		return errNoController
	}
	client, err := n.cfg.Pool.Client(addr)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	req := n.heartbeatRequest()
	sent := time.Now()
	resp, err := client.Heartbeat(ctx, req)
	if err != nil {
		return errors.Trace(err)
	}
	n.recordAddresses(decodeVMs(resp.GetVms())...)
	if resp.GetTerm() == 0 {
		if cell, err := authority.DecodeCell(resp.GetCell()); err == nil {
			n.adoptTargetHint(cell)
		}
		return errNoController
	}
	cell, err := n.confirmedCell(resp)
	n.applyHeartbeatResponse(sent, resp, cell, err == nil)
	return nil
}

// confirmedCell returns the cell object that the controller's response
// confirms: the one in the response, or else this VM's own copy if its base
// term matches.
func (n *Node) confirmedCell(resp *peerpb.HeartbeatResponse) (authority.Cell, error) {
	if len(resp.GetCell()) > 0 {
		return authority.DecodeCell(resp.GetCell())
	}
	cell := n.currentCell()
	if uint64(cell.BaseTerm) != resp.GetCellBaseTerm() {
		return cell, errors.NotFoundf("cell object of base term %d", resp.GetCellBaseTerm())
	}
	return cell, nil
}

// adoptTargetHint uses a cell object from a VM that is not the controller to
// find the next heartbeat target. It does not treat the cell object as
// confirmed.
func (n *Node) adoptTargetHint(cell authority.Cell) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if vm := cell.Holder.VM; n.target == "" && vm != n.cfg.VM.ID {
		n.target = vm
	}
}

func (n *Node) heartbeatRequest() *peerpb.HeartbeatRequest {
	table := n.cfg.Tables.Load().Version()
	n.heartbeatSeq++
	req := &peerpb.HeartbeatRequest{
		Vm: encodeVM(n.cfg.VM), BootId: n.cfg.BootID, Sequence: n.heartbeatSeq,
		ConfigRevision: uint64(n.View().Revision()),
		TableTerm:      uint64(table.Term), TableVersion: table.Seq,
		Leaving: n.leaving.Load(),
	}
	if slot := n.cfg.Share.FloorSlot(time.Now()); slot >= 0 {
		req.FloorSlot = uint32(slot) + 1
	}
	for _, r := range n.cfg.Home.Reports() {
		req.Servers = append(req.Servers, encodeReport(r))
	}
	n.mu.Lock()
	req.StoreProbe, req.VmsSum = n.storeProbe, n.vmsChecksum
	req.CellBaseTerm = uint64(n.successor.Cell().BaseTerm)
	n.mu.Unlock()
	return req
}

// applyHeartbeatResponse applies the controller's response to a heartbeat sent
// at sent. It ignores responses of an older term.
func (n *Node) applyHeartbeatResponse(sent time.Time, resp *peerpb.HeartbeatResponse, cell authority.Cell, cellConfirmed bool) {
	term := topo.Term(resp.GetTerm())
	n.mu.Lock()
	if term < n.term {
		n.mu.Unlock()
		return
	}
	if n.term != term {
		n.log.Info().Str("event", "controller_changed").Uint64("term", uint64(term)).Str("controller", resp.GetHolder()).Send()
	}
	if target := topo.VMID(resp.GetHolder()); n.term != term || n.target != target {
		n.term, n.target = term, target
		close(n.targetChanged)
		n.targetChanged = make(chan struct{})
	}
	n.vmsChecksum = resp.GetVmsSum()
	if cellConfirmed {
		n.successor.OnHeartbeatResponse(sent, cell)
	}
	n.mu.Unlock()

	if ms := resp.GetVmLeaseMs(); ms > 0 {
		n.cfg.Home.SetLease(grants.VMLease{
			End: sent.Add(time.Duration(ms) * time.Millisecond), Term: term,
			Required: slicemap.Version{Term: topo.Term(resp.GetRequiredTerm()), Seq: resp.GetRequiredSeq()},
			Rebuild:  resp.GetRebuild(),
		})
	}
	if ms := resp.GetFreshnessMs(); ms > 0 {
		n.cfg.Freshness.Renew(sent, time.Duration(ms)*time.Millisecond, topo.Revision(resp.GetConfigRevision()))
	}
	floor := resp.GetFloor()
	n.cfg.Share.SetFloor(time.Now(), sent, admission.FloorGrant{Slot: int(floor.GetSlot()), Confirmed: floor.GetConfirmed()}, floor != nil)
	if resp.GetProbeStore() {
		go n.probeStore()
	} else {
		n.setStoreProbe(peerpb.StoreProbe_STORE_PROBE_UNKNOWN)
	}
}

func (n *Node) setStoreProbe(p peerpb.StoreProbe) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storeProbe = p
}

// probeStore probes the store once, records the result and requests a heartbeat
// that reports it.
func (n *Node) probeStore() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := n.cfg.Store.Get(ctx, authority.CellKey(n.cell))
	if err == nil || errors.Is(err, store.ErrNotFound) {
		n.setStoreProbe(peerpb.StoreProbe_STORE_PROBE_REACHABLE)
	} else {
		n.setStoreProbe(peerpb.StoreProbe_STORE_PROBE_UNREACHABLE)
	}
	n.RequestHeartbeat()
}

// Draw implements admission.Drawer: it requests rate tokens from the
// controller.
func (n *Node) Draw(ctx context.Context, req admission.DrawRequest) (admission.DrawReply, error) {
	n.mu.Lock()
	target := n.target
	n.mu.Unlock()
	client, ok := n.client(target)
	if !ok {
		return admission.DrawReply{}, errNoController
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	resp, err := client.Draw(ctx, encodeDraw(req))
	if err != nil {
		return admission.DrawReply{}, errors.Trace(err)
	}
	return decodeBlocks(resp), nil
}
