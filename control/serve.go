package control

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"godwitlock.example/godwitlock/authority"
	"godwitlock.example/godwitlock/peer/peerpb"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"

	"godwitlock.example/godwitlock/config"
)

// Attest implements peer.Control: it asks this VM's witness to attest a term.
func (n *Node) Attest(_ context.Context, req *peerpb.AttestRequest) (*peerpb.AttestResponse, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	resp := n.witness.Attest(time.Now(), authority.AttestRequest{
		Cell: topo.CellName(req.GetCell()), Term: topo.Term(req.GetTerm()),
		Holder: req.GetHolder(), RosterVersion: req.GetRosterVersion(),
	})
	return &peerpb.AttestResponse{
		Ok: resp.OK, HighestTerm: uint64(resp.HighestTerm), RemainingMs: uint64(resp.Remaining.Milliseconds()),
	}, nil
}

// Release implements peer.Control: it ends the attestation of a term by this
// VM's witness early.
func (n *Node) Release(_ context.Context, req *peerpb.ReleaseRequest) (*peerpb.ReleaseResponse, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.witness.Release(time.Now(), authority.ReleaseRequest{Cell: topo.CellName(req.GetCell()), Term: topo.Term(req.GetTerm())})
	return &peerpb.ReleaseResponse{}, nil
}

// Heartbeat implements peer.Control. A VM that is not the controller responds
// with term 0, its cell object and the VM addresses that it knows.
func (n *Node) Heartbeat(_ context.Context, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	if c := n.controller(); c != nil {
		return c.heartbeat(req), nil
	}
	cell, _ := n.encodedCell()
	n.mu.Lock()
	defer n.mu.Unlock()
	resp := &peerpb.HeartbeatResponse{Cell: cell}
	for _, vm := range n.knownVMs {
		resp.Vms = append(resp.Vms, encodeVM(vm))
	}
	return resp, nil
}

// serveDraw grants rate tokens if this VM is the controller, and fails with
// codes.Unavailable otherwise.
func (n *Node) serveDraw(req *peerpb.DrawRequest) (*peerpb.DrawResponse, error) {
	if c := n.controller(); c != nil {
		if resp, ok := c.draw(req); ok {
			return resp, nil
		}
	}
	return nil, status.Error(codes.Unavailable, errNoController.Error())
}

// Snapshot implements peer.Control: it returns full copies of the configuration
// and the routing table in use.
func (n *Node) Snapshot(context.Context, *peerpb.SnapshotRequest) (*peerpb.SyncEvent, error) {
	view, table := n.View(), n.cfg.Tables.Load()
	ev := &peerpb.SyncEvent{
		Config: encodeConfig(config.FullCopy(store.Listing{Objects: view.Objects(), Revision: view.Revision()})),
	}
	if table.Version() != (slicemap.Version{}) {
		ev.Table = &peerpb.TableDelta{Data: table.FullCopy().Encode(nil)}
	}
	return ev, nil
}

// Sync implements peer.Control: it streams changes while this VM is the
// controller, and then fails with codes.Unavailable.
func (n *Node) Sync(req *peerpb.SyncRequest, stream grpc.ServerStreamingServer[peerpb.SyncEvent]) error {
	c := n.controller()
	if c == nil {
		return status.Error(codes.Unavailable, errNoController.Error())
	}
	pos := position{
		revision: topo.Revision(req.GetConfigRevision()),
		table:    slicemap.Version{Term: topo.Term(req.GetTableTerm()), Seq: req.GetTableVersion()},
	}
	for {
		ev, after, changed, ok := c.pub.next(pos)
		if !ok || n.controller() != c {
			return status.Error(codes.Unavailable, errNoController.Error())
		}
		if ev.Config != nil || ev.Table != nil {
			ev.Term = uint64(c.term)
			if err := stream.Send(ev); err != nil {
				return err
			}
		}
		if after != pos {
			// Each event contains at most one table delta, so more may be
			// available.
			pos = after
			continue
		}
		select {
		case <-changed:
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// Peer returns the node as an implementation of peer.Control.
func (n *Node) Peer() *Peer { return &Peer{n} }

// Peer adapts a Node to peer.Control, whose Draw method has a different
// signature from that of admission.Drawer.
type Peer struct{ *Node }

// Draw implements peer.Control.
func (p *Peer) Draw(_ context.Context, req *peerpb.DrawRequest) (*peerpb.DrawResponse, error) {
	return p.serveDraw(req)
}
