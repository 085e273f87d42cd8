package local

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/examples"
	"godwitlock.example/godwitlock/standin/memnet"
)

// Guards against a deployment that does not become ready in a synctest bubble,
// or whose goroutines outlive Close.
func TestStartInMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, err := Start(Options{
			Environment: "trial", Document: examples.Quickstart, VMsPerDataCentre: 2, Net: memnet.New(),
		})
		require.NoError(t, err)
		defer d.Close()
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		require.NoError(t, d.WaitReady(ctx))
		t.Logf("ready after %v", time.Since(start))
	})
}
