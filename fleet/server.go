package fleet

import (
	stdgzip "compress/gzip"
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"

	"godwitlock.example/godwitlock/broker"
	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/workload"
)

// Server implements fleetpb.FleetServer for the calls of other VMs.
type Server struct {
	fleetpb.UnimplementedFleetServer
	hub    *Hub
	broker *broker.Broker
	rates  *Rates
}

// NewServer returns a server that serves followers from hub, slots from b and
// rate-limit tokens from rates.
func NewServer(hub *Hub, b *broker.Broker, rates *Rates) *Server {
	setCompressionLevel()
	return &Server{hub: hub, broker: b, rates: rates}
}

// setCompressionLevel makes gRPC compress fast rather than well: the leader answers
// hundreds of VMs within a second.
var setCompressionLevel = sync.OnceFunc(func() {
	if err := gzip.SetLevel(stdgzip.BestSpeed); err != nil {
		panic(err) // the level is a constant of the same package
	}
})

// Take implements fleetpb.FleetServer.
func (s *Server) Take(_ context.Context, req *fleetpb.TakeRequest) (*fleetpb.TakeResponse, error) {
	if req.GetGiveBack() {
		s.rates.returnToken(topo.CustomerID(req.GetCustomer()), millis(req.GetAgeMs()))
		return &fleetpb.TakeResponse{}, nil
	}
	verdict := s.rates.take(topo.CustomerID(req.GetCustomer()))
	return &fleetpb.TakeResponse{Verdict: uint32(verdict)}, nil
}

// Attest implements fleetpb.FleetServer.
func (s *Server) Attest(_ context.Context, req *fleetpb.AttestRequest) (*fleetpb.AttestResponse, error) {
	return &fleetpb.AttestResponse{Attested: s.rates.attest(decodeList(req.GetList()))}, nil
}

// Follow implements fleetpb.FleetServer.
func (s *Server) Follow(ctx context.Context, req *fleetpb.FollowRequest) (*fleetpb.FollowResponse, error) {
	resp, err := s.hub.follow(ctx, req)
	if err == nil && isLong(resp) {
		// After a loss of all VMs, each one gets the servers, tables and members
		// whole, over the link of one leader.
		err = grpc.SetSendCompressor(ctx, gzip.Name)
	}
	return resp, err
}

// minCompressed is the number of servers, ranges and members from which a response is
// compressed.
const minCompressed = 64

func isLong(resp *fleetpb.FollowResponse) bool {
	n := len(resp.GetServers()) + len(resp.GetIds()) + len(resp.GetMembers())
	for _, t := range resp.GetTables() {
		n += len(t.GetFirst())
	}
	return n >= minCompressed
}

// Report implements fleetpb.FleetServer.
func (s *Server) Report(_ context.Context, req *fleetpb.ReportRequest) (*fleetpb.ReportResponse, error) {
	return s.hub.report(req), nil
}

// Acquire implements fleetpb.FleetServer.
func (s *Server) Acquire(ctx context.Context, req *fleetpb.AcquireRequest) (*fleetpb.AcquireResponse, error) {
	r := permitRequest(clock.Boot(), req)
	d, ok := s.broker.Acquire(ctx, req.GetPool(), r)
	if !ok {
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	if d.Verdict != permit.Granted {
		return refusedResponse(d), nil
	}
	if ctx.Err() != nil {
		s.broker.Finish(req.GetPool(), d.ID, permit.Result{})
		return nil, status.Error(codes.Canceled, "request was withdrawn")
	}
	return &fleetpb.AcquireResponse{
		Verdict: fleetpb.AcquireResponse_GRANTED, Server: string(d.Server), Permit: d.ID,
	}, nil
}

// refusedResponse returns the response that tells another VM of a refusal.
func refusedResponse(d permit.Decision) *fleetpb.AcquireResponse {
	return &fleetpb.AcquireResponse{
		Verdict: fleetpb.AcquireResponse_REFUSED, RetryAfterMs: d.RetryAfter.Milliseconds(), Cause: d.Cause.String(),
	}
}

// permitRequest returns the request of another VM. VMs of earlier versions send neither
// the work nor the times by which the response is due.
func permitRequest(now time.Time, req *fleetpb.AcquireRequest) permit.Request {
	r := permit.Request{
		Customer: topo.CustomerID(req.GetCustomer()), Priority: int(req.GetPriority()),
		StartBy: now.Add(millis(req.GetPatienceMs())), PromptBy: now.Add(millis(req.GetPromptMs())),
		Repeatable: req.GetRepeatable(), Bytes: max(req.GetBodyBytes(), 0), Lease: millis(req.GetLeaseMs()),
		DataCentre: topo.DataCentreName(req.GetDataCentre()), Route: req.GetRoute(),
		ObjectiveBy: timeAfter(now, req.GetObjectiveMs()), AnswerBy: timeAfter(now, req.GetAnswerMs()),
	}
	if us := req.GetWorkUs(); us > 0 {
		// The sender sends an estimate only when it has enough samples.
		r.Work = workload.Estimate{Mean: micros(us), Deviation: micros(max(0, req.GetDeviationUs())), Samples: 1}
	}
	for _, id := range req.GetAvoid() {
		r.Avoid = append(r.Avoid, topo.ServerID(id))
	}
	for _, id := range req.GetExcluded() {
		r.Excluded = append(r.Excluded, topo.ServerID(id))
	}
	return r
}

// Finish implements fleetpb.FleetServer.
func (s *Server) Finish(_ context.Context, req *fleetpb.FinishRequest) (*fleetpb.FinishResponse, error) {
	for _, f := range req.GetFinished() {
		s.broker.Finish(f.GetPool(), f.GetPermit(), permit.Result{
			ServiceTime: micros(f.GetWorkUs()), Full: f.GetFull(), Failed: f.GetFailed(),
			Slowdown: float64(f.GetSlowdownPercent()) / 100,
		})
	}
	return &fleetpb.FinishResponse{}, nil
}
