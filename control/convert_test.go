package control

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"godwitlock.example/godwitlock/admission"
	"godwitlock.example/godwitlock/assigner"
	"godwitlock.example/godwitlock/grants"
	"godwitlock.example/godwitlock/home"
	"godwitlock.example/godwitlock/peer/peerpb"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

func fullReport() home.Report {
	return home.Report{
		Report: grants.Report{
			Server: "s1", Drained: []topo.SliceID{1, 2}, Lost: true, LostAt: slicemap.Version{Term: 3, Seq: 4},
			Released: true, ClaimsTerm: 5, Missing: []topo.SliceID{9}, Cold: true,
			Claims: []grants.Claim{{Slice: 7, Fence: topo.Fence{Term: 2, Seq: 8}}},
		},
		Queued: 1, Running: 2, Rate: 3.5, HotKeys: []home.HotKey{{Key: "k", Rate: 2}},
	}
}

// Guards against losing a field of a report between home VM and controller,
// which would leave the owner of a slice unknown.
func TestServerReportRoundTrip(t *testing.T) {
	in := fullReport()
	wire, err := proto.Marshal(encodeReport(in))
	require.NoError(t, err)
	var msg peerpb.ServerReport
	require.NoError(t, proto.Unmarshal(wire, &msg))
	require.Equal(t, assigner.ServerReport{
		Report: in.Report, Queued: 1, Running: 2, Rate: 3.5, HotKeys: []assigner.HotKey{{Key: "k", Rate: 2}},
	}, decodeReport(&msg))
}

// Guards against tokens that are lost or counted twice between VM and ledger.
func TestDrawRoundTrip(t *testing.T) {
	req := admission.DrawRequest{
		VM: "v", Wants: []admission.Want{{Customer: "c", Tokens: 5}},
		Returns: []admission.Return{{Term: 1, Block: 2, Customer: "c", Tokens: 3}},
	}
	require.Equal(t, req, decodeDraw(encodeDraw(req)))
	reply := admission.DrawReply{Blocks: []admission.Block{{Term: 1, ID: 2, Customer: "c", Tokens: 3}}}
	require.Equal(t, reply, decodeBlocks(encodeBlocks(reply)))
}

// BenchmarkHeartbeatBytes reports the size of a heartbeat of a home VM with 5
// servers and no changes to report.
func BenchmarkHeartbeatBytes(b *testing.B) {
	req := &peerpb.HeartbeatRequest{
		Vm:     encodeVM(topo.VM{ID: "vm-lisbon-1-01", Cell: "main", DataCentre: "lisbon-1", PeerAddr: "10.0.0.1:7001", CallerAddr: "10.0.0.1:7000"}),
		BootId: "0190b5f2-1d2e-7c3a-9b4d-5e6f708192a3", Sequence: 100_000, ConfigRevision: 100_000, TableTerm: 3, TableVersion: 4_000, FloorSlot: 3,
	}
	for range 5 {
		req.Servers = append(req.Servers, encodeReport(home.Report{Report: grants.Report{Server: "ledger-01", ClaimsTerm: 3}, Rate: 800}))
	}
	var size int
	for b.Loop() {
		wire, err := proto.Marshal(req)
		if err != nil {
			b.Fatal(err)
		}
		size = len(wire)
	}
	b.ReportMetric(float64(size), "bytes/heartbeat")
}
