package peer

import (
	"context"
	"strings"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// Traffic counts the calls between this VM and others and their bytes on the
// wire, without the framing of HTTP/2 and TCP. It implements stats.Handler.
type Traffic struct {
	// Control and Forward count bytes, both directions together: Forward for the
	// calls that carry callers' requests, Control for all other calls.
	Control, Forward atomic.Uint64
	// ControlCalls is the number of calls whose bytes Control counts.
	ControlCalls atomic.Uint64
	// Connections is the number of open connections.
	Connections atomic.Int64
}

// counterKey is the context key of the counter for a call's bytes.
type counterKey struct{}

// TagRPC implements stats.Handler.
func (t *Traffic) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	if strings.HasSuffix(info.FullMethodName, "/Forward") {
		return context.WithValue(ctx, counterKey{}, &t.Forward)
	}
	t.ControlCalls.Add(1)
	return context.WithValue(ctx, counterKey{}, &t.Control)
}

// HandleRPC implements stats.Handler.
func (t *Traffic) HandleRPC(ctx context.Context, s stats.RPCStats) {
	counter, ok := ctx.Value(counterKey{}).(*atomic.Uint64)
	if !ok {
		return
	}
	switch s := s.(type) {
	case *stats.InPayload:
		counter.Add(uint64(s.WireLength))
	case *stats.OutPayload:
		counter.Add(uint64(s.WireLength))
	case *stats.InHeader:
		counter.Add(uint64(s.WireLength))
	case *stats.InTrailer:
		counter.Add(uint64(s.WireLength))
	}
}

// TagConn implements stats.Handler.
func (t *Traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (t *Traffic) HandleConn(_ context.Context, s stats.ConnStats) {
	switch s.(type) {
	case *stats.ConnBegin:
		t.Connections.Add(1)
	case *stats.ConnEnd:
		t.Connections.Add(-1)
	}
}
