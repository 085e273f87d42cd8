package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/peer/peerpb"
	"godwitlock.example/godwitlock/topo"
)

const (
	unknown     = peerpb.StoreProbe_STORE_PROBE_UNKNOWN
	reachable   = peerpb.StoreProbe_STORE_PROBE_REACHABLE
	unreachable = peerpb.StoreProbe_STORE_PROBE_UNREACHABLE
)

// Guards against two faults: a controller that attests its configuration
// although it is the only VM cut off from the store, and a store outage that
// makes the VMs refuse all callers.
func TestFreshness(t *testing.T) {
	now := time.Now()
	roster := []topo.VMID{"self", "b", "c", "d", "e"}
	for _, tt := range []struct {
		name       string
		age        time.Duration
		failing    bool
		probes     map[topo.VMID]peerpb.StoreProbe
		fresh      bool
		probe      bool
		rebuilding bool
	}{
		{"watch alive", maxStoreResponseAge, false, nil, true, false, false},
		{"first failure", maxStoreResponseAge / 2, true, nil, true, true, false},
		{"no store response for too long, not failing yet", maxStoreResponseAge + 1, false, nil, false, true, false},
		{"failing, no reports from other VMs", time.Hour, true, nil, false, true, false},
		{"one of five agrees", time.Hour, true, map[topo.VMID]peerpb.StoreProbe{"b": unreachable}, false, true, false},
		{"majority agrees", time.Hour, true, map[topo.VMID]peerpb.StoreProbe{"b": unreachable, "c": unreachable, "d": unknown}, true, true, false},
		{"majority agrees but one reaches the store", time.Hour, true,
			map[topo.VMID]peerpb.StoreProbe{"b": unreachable, "c": unreachable, "d": reachable}, false, true, false},
		{"agreement of VMs outside the roster", time.Hour, true,
			map[topo.VMID]peerpb.StoreProbe{"x": unreachable, "y": unreachable}, false, true, false},
		{"outage, but a VM that has not reported may have a newer configuration", time.Hour, true,
			map[topo.VMID]peerpb.StoreProbe{"b": unreachable, "c": unreachable}, false, true, true},
		{"a store response counts while rebuilding", maxStoreResponseAge, false, nil, true, false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := storeWatchState{asOf: now.Add(-tt.age), failing: tt.failing, roster: roster}
			fresh, probe := f.freshness(now, "self", tt.probes, tt.rebuilding)
			require.Equal(t, tt.fresh, fresh, "fresh")
			require.Equal(t, tt.probe, probe, "probe")
		})
	}
	fresh, _ := (&storeWatchState{}).freshness(now, "self", nil, false)
	require.False(t, fresh, "a controller without any store response must not attest freshness")
}
