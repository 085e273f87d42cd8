package fleet

import (
	"context"
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

const (
	// attestInterval is the interval at which a home that has lost the leader asks the
	// witnesses, and attestTimeout bounds an Attest call. An attestation outlives one
	// call without a response.
	attestInterval = 200 * time.Millisecond
	attestTimeout  = 150 * time.Millisecond
)

// attest reports whether this VM has the given list of members and does not lead.
func (r *Rates) attest(list topo.ListVersion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Boot()
	r.refreshLeadership(now)
	return r.standing.Attest(now, list)
}

// RunAttestations asks the witnesses of the list of members for attestations while this
// VM is home of customers and does not hear the leader, until ctx ends.
func (r *Rates) RunAttestations(ctx context.Context) error {
	t := time.NewTicker(attestInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		r.askWitnesses(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (r *Rates) askWitnesses(ctx context.Context) {
	r.mu.Lock()
	now := clock.Boot()
	r.refreshLeadership(now)
	list, witnesses := r.standing.List(), r.standing.Witnesses(now)
	if r.home.Len() == 0 {
		witnesses = nil
	}
	r.mu.Unlock()
	if len(witnesses) == 0 {
		return
	}
	addrs := addresses(r.view.Snapshot().Members)
	for _, vm := range witnesses {
		if vm == r.self {
			if r.attest(list) {
				r.recordAttestation(vm, list, now)
			}
			continue
		}
		go r.askWitness(ctx, vm, addrs[vm], list)
	}
}

// askWitness asks one witness. No response means no attestation.
func (r *Rates) askWitness(ctx context.Context, vm topo.VMID, addr string, list topo.ListVersion) {
	conn, err := r.peers.Conn(addr)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, attestTimeout)
	defer cancel()
	asked := clock.Boot()
	resp, err := fleetpb.NewFleetClient(conn).Attest(ctx, &fleetpb.AttestRequest{List: encodeList(list)})
	if err == nil && resp.GetAttested() {
		r.recordAttestation(vm, list, asked)
	}
}

func (r *Rates) recordAttestation(vm topo.VMID, list topo.ListVersion, asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.standing.RecordAttestation(vm, list, asked)
}

func addresses(members []view.Member) map[topo.VMID]string {
	out := make(map[topo.VMID]string, len(members))
	for _, m := range members {
		out[m.VM] = m.Addr
	}
	return out
}
