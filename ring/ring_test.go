package ring

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against Put blocking on a full ring whose policy is DropOldest or
// Refuse, and against Block ignoring a cancelled context.
func TestPolicies(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()

	b := New[int](1, Block)
	require.True(t, b.putOrRefuse(1))
	require.False(t, b.putBlocking(ctx, 2))

	d := New[int](2, DropOldest)
	for i := range 4 {
		require.True(t, d.Put(ctx, i))
	}
	require.Equal(t, 2, <-d.C())
	require.EqualValues(t, 2, d.Dropped())

	r := New[int](1, Refuse)
	require.True(t, r.Put(ctx, 1))
	require.False(t, r.Put(ctx, 2))
	require.Equal(t, 1, r.Len())
}
