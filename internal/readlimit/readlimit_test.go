package readlimit

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against reading beyond the limit, and against a limit that outlives its
// step.
func TestReadFailsBeyondTheLimit(t *testing.T) {
	source := strings.NewReader("headbody")
	r := New(source)
	r.SetLimit(4)
	data, err := io.ReadAll(r)
	require.ErrorIs(t, err, ErrExceeded)
	require.Equal(t, "head", string(data))
	require.Equal(t, 4, source.Len())
	r.Unlimit()
	data, err = io.ReadAll(r)
	require.NoError(t, err)
	require.Equal(t, "body", string(data))
}
