package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against taking callers that return after a refusal for new ones, and the reverse:
// retries would be spent on callers that can still return.
func TestReturningCallersAllowLessTime(t *testing.T) {
	d := newReturnDetector()
	require.False(t, d.Returned("a", 2*time.Second))
	require.False(t, d.Returned("a", 1990*time.Millisecond), "the usual jitter of the network")
	require.True(t, d.Returned("a", 1700*time.Millisecond))
	require.False(t, d.Returned("b", 500*time.Millisecond), "another route")
	require.False(t, d.Returned("a", 0), "no deadline")
	for range 20000 {
		d.Returned("a", time.Second)
	}
	require.False(t, d.Returned("a", time.Second), "callers allow less time from now on")
}
