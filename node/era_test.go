package node

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/declog"
)

// Guards against a log that does not show when the store came back from an older
// copy, or shows the era that a process finds at its start as such a return.
func TestEraOfTheStoreIsLogged(t *testing.T) {
	var out bytes.Buffer
	n := &Node{log: declog.New(&out, "a")}
	n.recordStoreEra(2)
	n.recordStoreEra(3)
	n.recordStoreEra(3)
	n.recordStoreEra(2)
	lines := logLines(t, n.log, &out, "store_era")
	require.Len(t, lines, 2)
	require.Equal(t, 2.0, lines[0]["era"])
	require.Equal(t, false, lines[0]["restored"])
	require.Equal(t, 3.0, lines[1]["era"])
	require.Equal(t, true, lines[1]["restored"])
}
