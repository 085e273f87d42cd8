package peer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"godwitlock.example/godwitlock/standin/memnet"
)

// Guards against a peer that connects, sends nothing and holds up the stop of the
// server.
func TestSilentPeerDoesNotHoldUpStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		lis, err := network.Host("a").Listen("tcp", "a:1")
		require.NoError(t, err)
		g := grpc.NewServer(ServerOptions()...)
		served := make(chan error, 1)
		go func() { served <- g.Serve(lis) }()
		nc, err := network.Host("b").Dial(t.Context(), "tcp", "a:1")
		require.NoError(t, err)
		time.Sleep(time.Second)
		began := time.Now()
		g.Stop()
		require.LessOrEqual(t, time.Since(began), HandshakeTimeout)
		require.NoError(t, <-served)
		require.NoError(t, nc.Close())
	})
}
