package control

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"godwitlock.example/godwitlock/authority"
	"godwitlock.example/godwitlock/peer/peerpb"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

const (
	// authorityPollInterval is how often the node checks whether it has to act.
	// It is well below authority.AttestInterval.
	authorityPollInterval = 25 * time.Millisecond
	// storeTimeout bounds the store calls of one operation, such as a refresh
	// of the cell object, and the fetch of another VM's state.
	storeTimeout = time.Second
	// attestTimeout bounds one attestation call to a witness.
	attestTimeout = 250 * time.Millisecond
	// cellRetryDelay separates attempts to read or write the cell object.
	cellRetryDelay = 250 * time.Millisecond
)

// RunAuthority runs this VM's part of the controller election until ctx ends:
// the VM takes over as controller when it is its turn, renews its authority, and
// stops the controller when the authority ends.
func (n *Node) RunAuthority(ctx context.Context) error {
	tick := time.NewTicker(authorityPollInterval)
	defer tick.Stop()
	defer n.stopController()
	var nextCellRefresh time.Time
	for {
		if n.resigned.Load() {
			n.stopController()
			<-ctx.Done()
			return ctx.Err()
		}
		now := time.Now()
		n.mu.Lock()
		step := n.successor.Next(now)
		n.mu.Unlock()
		if step.Action != authority.RunHolder {
			n.stopController()
		}
		switch {
		case step.Action == authority.RunHolder:
			n.runHolder(ctx, now, step.Holder)
		case step.Action != authority.Wait && now.After(nextCellRefresh):
			n.refreshCell(ctx, step.Action)
			nextCellRefresh = time.Now().Add(cellRetryDelay)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (n *Node) runHolder(ctx context.Context, now time.Time, h *authority.Holder) {
	n.mu.Lock()
	calls := h.Tick(now, nil)
	valid := h.Valid(now)
	start := valid && (n.ctrl == nil || n.ctrl.holder != h)
	n.mu.Unlock()
	for _, attestCall := range calls {
		go n.requestAttestation(ctx, h, attestCall)
	}
	if start {
		n.stopController()
		n.startController(ctx, h)
	}
	if !valid {
		n.stopController()
	}
}

// requestAttestation requests one attestation and passes the response to the
// holder.
func (n *Node) requestAttestation(ctx context.Context, h *authority.Holder, attestCall authority.AttestCall) {
	resp, err := n.attest(ctx, attestCall)
	if err != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	h.OnResponse(time.Now(), attestCall, resp)
}

func (n *Node) attest(ctx context.Context, attestCall authority.AttestCall) (authority.AttestResponse, error) {
	if attestCall.To == n.cfg.VM.ID {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.witness.Attest(time.Now(), attestCall.Request), nil
	}
	client, ok := n.client(attestCall.To)
	if !ok {
		return authority.AttestResponse{}, errors.NotFoundf("address of VM %s", attestCall.To)
	}
	ctx, cancel := context.WithTimeout(ctx, attestTimeout)
	defer cancel()
	resp, err := client.Attest(ctx, &peerpb.AttestRequest{
		Cell: string(attestCall.Request.Cell), Term: uint64(attestCall.Request.Term),
		Holder: attestCall.Request.Holder, RosterVersion: attestCall.Request.RosterVersion,
	})
	if err != nil {
		return authority.AttestResponse{}, errors.Trace(err)
	}
	return authority.AttestResponse{
		OK: resp.GetOk(), HighestTerm: topo.Term(resp.GetHighestTerm()),
		Remaining: time.Duration(resp.GetRemainingMs()) * time.Millisecond,
	}, nil
}

// refreshCell reads the cell object. It creates the object if there is none,
// and claims it for this VM if action is authority.Claim, that is, if no VM
// named in it appears able to be controller.
func (n *Node) refreshCell(ctx context.Context, action authority.Action) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	n.loadAddresses(ctx)
	sentAt := time.Now()
	obj, err := n.cfg.Store.Get(ctx, authority.CellKey(n.cell))
	n.setCellFailing(err)
	switch {
	case errors.Is(err, store.ErrNotFound):
		n.writeCell(ctx, nil)
	case err != nil:
	default:
		n.applyStoredCell(sentAt, obj.Value)
		if action == authority.Claim {
			n.writeCell(ctx, func(c authority.Cell) (authority.Cell, bool) {
				return c.Claim(n.self, nil), true
			})
		}
	}
}

// setCellFailing logs when the cell object becomes unreadable and when it
// becomes readable again. The object is read four times a second, so logging
// every failure would fill the log during an outage.
func (n *Node) setCellFailing(err error) {
	failing := err != nil && !errors.Is(err, store.ErrNotFound)
	if failing == n.cellFailing {
		return
	}
	n.cellFailing = failing
	if failing {
		n.log.Warn().Err(err).Str("event", "platform_unreachable").Msg("cannot read the cell object; retrying")
		return
	}
	n.log.Info().Str("event", "platform_reached").Msg("cell object is readable again")
}

func (n *Node) applyStoredCell(sentAt time.Time, value []byte) {
	cell, err := authority.DecodeCell(value)
	if err != nil {
		n.log.Error().Err(err).Msg("cannot decode the stored cell object")
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.successor.OnStoredCell(sentAt, cell)
}

// writeCell changes the cell object with one conditional update. If change is
// nil, it creates the object with this VM as holder.
func (n *Node) writeCell(ctx context.Context, change func(authority.Cell) (authority.Cell, bool)) {
	sentAt := time.Now()
	res, err := store.Update(ctx, n.cfg.Store, authority.CellKey(n.cell), n.newWriterID(), func(old *store.Object) ([]byte, error) {
		return n.encodeNextCell(old, change)
	})
	if err != nil {
		n.log.Info().Err(err).Msg("cell object was not written")
		return
	}
	n.applyStoredCell(sentAt, res.Current.Value)
}

// errNoChange ends a conditional update that has nothing to write.
const errNoChange = errors.ConstError("no change")

func (n *Node) encodeNextCell(old *store.Object, change func(authority.Cell) (authority.Cell, bool)) ([]byte, error) {
	if old == nil {
		if change != nil {
			return nil, errNoChange
		}
		return authority.NewCell(n.cell, n.self, nil, n.initialWitnesses()).Encode()
	}
	cell, err := authority.DecodeCell(old.Value)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if change == nil {
		return nil, errNoChange
	}
	next, ok := change(cell)
	if !ok {
		return nil, errNoChange
	}
	if err := authority.CheckUpdate(cell, next); err != nil {
		return nil, errors.Trace(err)
	}
	return next.Encode()
}

// initialWitnesses returns the roster of a new cell, which is the set of its
// witnesses, chosen from the VMs that have registered their addresses. A roster
// of only this VM would take 40 s to grow to five members, and losing this VM
// during that time would leave the cell without a controller.
func (n *Node) initialWitnesses() []topo.VMID {
	n.mu.Lock()
	defer n.mu.Unlock()
	var candidates []authority.Candidate
	for _, vm := range n.knownVMs {
		candidates = append(candidates, authority.Candidate{Process: authority.Process{VM: vm.ID}, DataCentre: vm.DataCentre})
	}
	return authority.ChooseWitnesses(candidates, authority.RosterSize(len(candidates)), nil)
}

// newWriterID returns an id that is unique for each write attempt.
func (n *Node) newWriterID() string { return n.self.String() + "/" + uuid.NewString() }
