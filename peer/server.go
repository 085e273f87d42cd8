package peer

import (
	"context"
	"io"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/peer/peerpb"
	"godwitlock.example/godwitlock/topo"
)

// Control handles the calls between VMs that do not carry callers' requests. Its
// methods are those of peerpb.PeerServer except Forward and History.
type Control interface {
	Attest(context.Context, *peerpb.AttestRequest) (*peerpb.AttestResponse, error)
	Release(context.Context, *peerpb.ReleaseRequest) (*peerpb.ReleaseResponse, error)
	Heartbeat(context.Context, *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error)
	Draw(context.Context, *peerpb.DrawRequest) (*peerpb.DrawResponse, error)
	Sync(*peerpb.SyncRequest, grpc.ServerStreamingServer[peerpb.SyncEvent]) error
	Snapshot(context.Context, *peerpb.SnapshotRequest) (*peerpb.SyncEvent, error)
}

// Histories hands over the idempotency history of slices that moved.
type Histories interface {
	// ExportHistory returns the encoded history of slices that server held. It
	// returns false while a request for a key of the slices is in progress.
	ExportHistory(server topo.ServerID, slices []topo.SliceID) ([]byte, bool)
}

// Server implements peerpb.PeerServer. Control handles control calls, Home
// requests to backend servers whose home VM this is, and Histories the transfer
// of the history of slices that moved away.
type Server struct {
	unimplemented
	Control
	Home      call.Doer
	Histories Histories
}

// History implements peerpb.PeerServer.
func (s *Server) History(_ context.Context, req *peerpb.HistoryRequest) (*peerpb.HistoryResponse, error) {
	slices := make([]topo.SliceID, 0, len(req.GetSlices()))
	for _, id := range req.GetSlices() {
		slices = append(slices, topo.SliceID(id))
	}
	data, ok := s.Histories.ExportHistory(topo.ServerID(req.GetServer()), slices)
	return &peerpb.HistoryResponse{Ok: ok, Data: data}, nil
}

// unimplemented embeds the generated default methods one level deeper than
// Control, so that Control's methods take precedence.
type unimplemented struct{ peerpb.UnimplementedPeerServer }

// Register adds the service to g.
func (s *Server) Register(g *grpc.Server) { peerpb.RegisterPeerServer(g, s) }

type forwardServer = grpc.BidiStreamingServer[peerpb.ForwardUp, peerpb.ForwardDown]

// Forward implements peerpb.PeerServer.
func (s *Server) Forward(stream forwardServer) error {
	frame, err := stream.Recv()
	if err != nil {
		return err
	}
	head := frame.GetHead()
	if head == nil {
		return status.Error(codes.InvalidArgument, "the first frame must be a request head")
	}
	req := decodeHead(head)
	if head.GetHasBody() {
		req.Body = newRequestBody(stream, req)
	}
	resp, err := s.Home.Do(stream.Context(), req)
	if err != nil {
		return sendRefusal(stream, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return sendResponse(stream, resp)
}

func sendRefusal(stream forwardServer, err error) error {
	return stream.Send(&peerpb.ForwardDown{Frame: &peerpb.ForwardDown_Refusal{Refusal: encodeRefusal(err)}})
}

func sendResponse(stream forwardServer, resp *call.Response) error {
	head := &peerpb.ResponseHead{
		Status: uint32(resp.Status), Header: encodeHeader(resp.Header),
		ContentLength: resp.ContentLength, Server: string(resp.Server),
	}
	if err := stream.Send(&peerpb.ForwardDown{Frame: &peerpb.ForwardDown_Head{Head: head}}); err != nil {
		return errors.Trace(err)
	}
	chunks := chunker{remaining: resp.ContentLength}
	for {
		buf := chunks.next()
		n, err := resp.Body.Read(buf)
		chunks.consumed(n)
		if n > 0 {
			if err := stream.Send(&peerpb.ForwardDown{Frame: &peerpb.ForwardDown_Body{Body: buf[:n]}}); err != nil {
				return errors.Trace(err)
			}
		}
		if err == io.EOF {
			end := &peerpb.End{Trailer: encodeHeader(resp.Trailer)}
			return stream.Send(&peerpb.ForwardDown{Frame: &peerpb.ForwardDown_End{End: end}})
		}
		if err != nil {
			return sendRefusal(stream, err)
		}
	}
}
