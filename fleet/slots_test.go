package fleet

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"godwitlock.example/godwitlock/broker"
	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/peer"
	"godwitlock.example/godwitlock/permit"
)

// Guards against a refusal whose cause or Retry-After is lost on the way from the home VM
// to the sender.
func TestCauseReachesTheSender(t *testing.T) {
	for c := range permit.Cause(permit.Causes) {
		d := permit.Decision{Verdict: permit.Refused, RetryAfter: 250 * time.Millisecond, Cause: c}
		require.Equal(t, d, refusalOf(refusedResponse(d)))
	}
	// Home VMs of earlier versions send no cause, those of later ones perhaps others.
	require.Equal(t, permit.NoCause, refusalOf(&fleetpb.AcquireResponse{}).Cause)
	require.Equal(t, permit.NoCause, refusalOf(&fleetpb.AcquireResponse{Cause: "of a later version"}).Cause)
}

// Guards against a cause that only one end of the connection uses: a refusal of a home
// VM's broker reaches a sender on another VM, and counts at the home VM.
func TestRefusalOfAHomeVM(t *testing.T) {
	noServers := func(string, uint64) ([]permit.Server, uint64) { return nil, 1 }
	home := broker.New(noServers, 1, rand.New(rand.NewPCG(1, 2)))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := grpc.NewServer(peer.ServerOptions()...)
	fleetpb.RegisterFleetServer(g, NewServer(nil, home, nil))
	go g.Serve(l)
	defer g.Stop()
	peers := peer.NewPool(insecure.NewCredentials(), nil)
	defer peers.Close()
	s := NewSlots("a", "dc", peers, nil, nil)
	now := clock.Boot()
	slot, d, err := s.acquireRemote(t.Context(), l.Addr().String(), "p", permit.Request{
		Priority: 2, StartBy: now.Add(time.Second), PromptBy: now.Add(time.Second),
	})
	require.NoError(t, err)
	require.Nil(t, slot)
	require.Equal(t, permit.Refused, d.Verdict)
	require.Equal(t, permit.NoServer, d.Cause)
	require.EqualValues(t, 1, home.Stats.Refusals(2, permit.NoServer))
}
