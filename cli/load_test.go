package cli

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against customers' rates that do not follow their shares of the total
// rate, and against a caller key in an error message.
func TestParseCustomers(t *testing.T) {
	list, err := parseCustomers("a 3 key-a\n\nb 1 key-b\n", 100)
	require.NoError(t, err)
	require.Len(t, list, 2)
	require.InDelta(t, 75, list[0].Rate, 1e-9)
	require.InDelta(t, 25, list[1].Rate, 1e-9)
	_, err = parseCustomers("a 3 key-a\nb secret-key\n", 100)
	require.ErrorContains(t, err, "line 2")
	require.NotContains(t, err.Error(), "secret")
}
