package control

import (
	"godwitlock.example/godwitlock/admission"
	"godwitlock.example/godwitlock/assigner"
	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/grants"
	"godwitlock.example/godwitlock/home"
	"godwitlock.example/godwitlock/peer/peerpb"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

func encodeVM(v topo.VM) *peerpb.VM {
	return &peerpb.VM{
		Id: string(v.ID), Cell: string(v.Cell), DataCentre: string(v.DataCentre),
		PeerAddr: v.PeerAddr, CallerAddr: v.CallerAddr,
	}
}

func decodeVM(v *peerpb.VM) topo.VM {
	return topo.VM{
		ID: topo.VMID(v.GetId()), Cell: topo.CellName(v.GetCell()), DataCentre: topo.DataCentreName(v.GetDataCentre()),
		PeerAddr: v.GetPeerAddr(), CallerAddr: v.GetCallerAddr(),
	}
}

func decodeVMs(list []*peerpb.VM) []topo.VM {
	vms := make([]topo.VM, 0, len(list))
	for _, v := range list {
		vms = append(vms, decodeVM(v))
	}
	return vms
}

func encodeSlices(ids []topo.SliceID) []uint32 {
	out := make([]uint32, 0, len(ids))
	for _, id := range ids {
		out = append(out, uint32(id))
	}
	return out
}

func decodeSlices(ids []uint32) []topo.SliceID {
	out := make([]topo.SliceID, 0, len(ids))
	for _, id := range ids {
		out = append(out, topo.SliceID(id))
	}
	return out
}

func encodeReport(r home.Report) *peerpb.ServerReport {
	out := &peerpb.ServerReport{
		Server: string(r.Server), Queued: uint32(r.Queued), Running: uint32(r.Running), Rate: r.Rate,
		DrainedSlices: encodeSlices(r.Drained), Lost: r.Lost, LostTerm: uint64(r.LostAt.Term), LostSeq: r.LostAt.Seq,
		LetGo: r.Released, ClaimsTerm: uint64(r.ClaimsTerm), Missing: encodeSlices(r.Missing), Cold: r.Cold,
	}
	for _, c := range r.Claims {
		out.Claims = append(out.Claims, &peerpb.Claim{Slice: uint32(c.Slice), FenceTerm: uint64(c.Fence.Term), FenceSeq: c.Fence.Seq})
	}
	for _, h := range r.HotKeys {
		out.HotKeys = append(out.HotKeys, &peerpb.HotKey{Key: h.Key, Rate: h.Rate})
	}
	return out
}

func decodeReport(r *peerpb.ServerReport) assigner.ServerReport {
	out := assigner.ServerReport{
		Report: grants.Report{
			Server: topo.ServerID(r.GetServer()), Drained: decodeSlices(r.GetDrainedSlices()), Lost: r.GetLost(),
			LostAt: slicemap.Version{Term: topo.Term(r.GetLostTerm()), Seq: r.GetLostSeq()}, Released: r.GetLetGo(),
			ClaimsTerm: topo.Term(r.GetClaimsTerm()), Missing: decodeSlices(r.GetMissing()), Cold: r.GetCold(),
		},
		Queued: r.GetQueued(), Running: r.GetRunning(), Rate: r.GetRate(),
	}
	for _, c := range r.GetClaims() {
		out.Claims = append(out.Claims, grants.Claim{
			Slice: topo.SliceID(c.GetSlice()), Fence: topo.Fence{Term: topo.Term(c.GetFenceTerm()), Seq: c.GetFenceSeq()},
		})
	}
	for _, h := range r.GetHotKeys() {
		out.HotKeys = append(out.HotKeys, assigner.HotKey{Key: h.GetKey(), Rate: h.GetRate()})
	}
	return out
}

func decodeHeartbeat(req *peerpb.HeartbeatRequest) assigner.Heartbeat {
	hb := assigner.Heartbeat{
		VM: decodeVM(req.GetVm()), BootID: req.GetBootId(), Sequence: req.GetSequence(),
		Table:   slicemap.Version{Term: topo.Term(req.GetTableTerm()), Seq: req.GetTableVersion()},
		Leaving: req.GetLeaving(),
	}
	for _, r := range req.GetServers() {
		hb.Servers = append(hb.Servers, decodeReport(r))
	}
	return hb
}

func encodeDraw(req admission.DrawRequest) *peerpb.DrawRequest {
	out := &peerpb.DrawRequest{Vm: string(req.VM)}
	for _, w := range req.Wants {
		out.Draws = append(out.Draws, &peerpb.Draw{Customer: string(w.Customer), Wanted: w.Tokens})
	}
	for _, r := range req.Returns {
		out.Returns = append(out.Returns, &peerpb.Return{
			Term: uint64(r.Term), Block: uint64(r.Block), Customer: string(r.Customer), Tokens: r.Tokens,
		})
	}
	return out
}

func decodeDraw(req *peerpb.DrawRequest) admission.DrawRequest {
	out := admission.DrawRequest{VM: topo.VMID(req.GetVm())}
	for _, w := range req.GetDraws() {
		out.Wants = append(out.Wants, admission.Want{Customer: topo.CustomerID(w.GetCustomer()), Tokens: w.GetWanted()})
	}
	for _, r := range req.GetReturns() {
		out.Returns = append(out.Returns, admission.Return{
			Term: topo.Term(r.GetTerm()), Block: admission.BlockID(r.GetBlock()),
			Customer: topo.CustomerID(r.GetCustomer()), Tokens: r.GetTokens(),
		})
	}
	return out
}

func encodeBlocks(reply admission.DrawReply) *peerpb.DrawResponse {
	out := &peerpb.DrawResponse{}
	for _, b := range reply.Blocks {
		out.Blocks = append(out.Blocks, &peerpb.Block{
			Term: uint64(b.Term), Id: uint64(b.ID), Customer: string(b.Customer), Tokens: b.Tokens,
		})
	}
	return out
}

func decodeBlocks(resp *peerpb.DrawResponse) admission.DrawReply {
	var out admission.DrawReply
	for _, b := range resp.GetBlocks() {
		out.Blocks = append(out.Blocks, admission.Block{
			Term: topo.Term(b.GetTerm()), ID: admission.BlockID(b.GetId()),
			Customer: topo.CustomerID(b.GetCustomer()), Tokens: b.GetTokens(),
		})
	}
	return out
}

func encodeConfig(d config.Delta) *peerpb.ConfigDelta {
	out := &peerpb.ConfigDelta{From: uint64(d.From), To: uint64(d.To)}
	for _, e := range d.Events {
		out.Objects = append(out.Objects, &peerpb.ConfigObject{
			Key: e.Key, Value: e.Value, Version: e.Version, Revision: uint64(e.Revision), Deleted: e.Deleted,
		})
	}
	return out
}

func decodeConfig(d *peerpb.ConfigDelta) config.Delta {
	out := config.Delta{From: topo.Revision(d.GetFrom()), To: topo.Revision(d.GetTo())}
	for _, o := range d.GetObjects() {
		out.Events = append(out.Events, store.Event{
			Object:  store.Object{Key: o.GetKey(), Value: o.GetValue(), Version: o.GetVersion(), Revision: topo.Revision(o.GetRevision())},
			Deleted: o.GetDeleted(),
		})
	}
	return out
}
