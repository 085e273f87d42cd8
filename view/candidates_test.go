package view

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/topo"
)

// Guards against candidates for the leadership that are small while large VMs are
// there, that are all lost with one data centre, or on which VMs disagree.
func TestLeaderRanks(t *testing.T) {
	var members []Member
	for i := range 30 {
		m := Member{VM: topo.VMID(fmt.Sprint("vm", i)), DataCentre: topo.DataCentreName(fmt.Sprint("dc", i%3)), CPUShare: 0.16}
		if i < 9 {
			m.CPUShare = 0.8
		}
		members = append(members, m)
	}
	ranks := LeaderRanks(members)
	require.ElementsMatch(t, members, ranks)
	seen := make(map[topo.DataCentreName]bool)
	for i, m := range ranks[:9] {
		require.Equal(t, 0.8, m.CPUShare)
		seen[m.DataCentre] = true
		if i == 2 {
			require.Len(t, seen, 3)
		}
	}
	slices.Reverse(members)
	require.Equal(t, ranks, LeaderRanks(members))
}
