package topo

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRevisionsOfALaterEraAreHigher(t *testing.T) {
	before, after := RevisionOf(0, 900), RevisionOf(1, 12)
	require.Greater(t, after, before)
	require.Equal(t, Era(1), after.Era())
	require.Equal(t, uint64(12), after.Counter())
	require.Equal(t, Revision(900), before, "revisions of the first era are the store's own numbers")
}
