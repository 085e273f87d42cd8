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

// Attest implements peer.Control.
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

// Release implements peer.Control.
func (n *Node) Release(_ context.Context, req *peerpb.ReleaseRequest) (*peerpb.ReleaseResponse, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.witness.Release(time.Now(), authority.ReleaseRequest{Cell: topo.CellName(req.GetCell()), Term: topo.Term(req.GetTerm())})
	return &peerpb.ReleaseResponse{}, nil
}

// Heartbeat implements peer.Control. A VM that is not controller answers with
// term 0, the cell object and the addresses that it knows.
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

// Draw implements peer.Control.
func (n *Node) serveDraw(req *peerpb.DrawRequest) (*peerpb.DrawResponse, error) {
	if c := n.controller(); c != nil {
		if resp, ok := c.draw(req); ok {
			return resp, nil
		}
	}
	return nil, status.Error(codes.Unavailable, errNoController.Error())
}

// Snapshot implements peer.Control.
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

// Sync implements peer.Control: it streams changes while this VM is controller.
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
			// There may be more: a stream sends one delta at a time.
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

// Peer returns the node as the control part of the peer service.
func (n *Node) Peer() *Peer { return &Peer{n} }

// Peer adapts a Node to peer.Control, whose Draw differs from that of
// admission.Drawer.
type Peer struct{ *Node }

// Draw implements peer.Control.
func (p *Peer) Draw(_ context.Context, req *peerpb.DrawRequest) (*peerpb.DrawResponse, error) {
	return p.serveDraw(req)
}
