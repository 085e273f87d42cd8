package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/leader"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// Guards against a small VM that acquires the lease while a large one is a candidate,
// and against more candidates in a larger fleet.
func TestFewVMsAreCandidates(t *testing.T) {
	for _, vms := range []int{12, 82, 195} {
		members := []view.Member{}
		for i := range vms {
			members = append(members, view.Member{VM: topo.VMID(rune('a' + i)), CPUShare: 0.16})
		}
		members[vms-1].CPUShare = 0.8
		require.Zero(t, candidacyOf(members[vms-1].VM, 0.8, members).Delay)
		candidates := 0
		for _, m := range members {
			if c := candidacyOf(m.VM, m.CPUShare, members); c.Poll == 0 {
				candidates++
				require.Less(t, c.Delay, 250*time.Millisecond)
			}
		}
		require.Equal(t, leader.MaxCandidates, candidates)
	}
	require.Positive(t, candidacyOf("unknown", 0.16, []view.Member{{VM: "a"}, {VM: "b"}}).Delay)
	require.Equal(t, leaseYieldDelay(0.16, nil), candidacyOf("a", 0.16, nil).Delay)
}
