package pushback

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/topo"
)

var start = time.Unix(1000, 0)

// Guards against a pause that a later, shorter one cuts short, and against one that
// holds for another incarnation of the server.
func TestLongestPauseHolds(t *testing.T) {
	var p Table
	id := topo.Incarnation{Server: "s", StartedAtMs: 1}
	require.False(t, p.Any(start))
	require.True(t, p.Record(id, start.Add(2*time.Second), start))
	require.False(t, p.Record(id, start.Add(time.Second), start))
	require.Equal(t, 2*time.Second, p.Left(id, start))
	require.Zero(t, p.Left(topo.Incarnation{Server: "s", StartedAtMs: 2}, start))
	require.Zero(t, p.Left(id, start.Add(2*time.Second)))
	require.False(t, p.Any(start.Add(2*time.Second)))
}

// Guards against a table that grows without bounds, or that forgets a pause which
// lasts in order to keep one which has ended.
func TestRecordedPausesAreBounded(t *testing.T) {
	var p Table
	for i := range 2 * maxRecorded {
		until := start.Add(time.Second)
		if i == 0 {
			until = start.Add(time.Hour)
		}
		p.Record(topo.Incarnation{Server: "s", StartedAtMs: int64(i)}, until, start)
	}
	require.LessOrEqual(t, len(p.until), maxRecorded)
	require.Equal(t, time.Hour, p.Left(topo.Incarnation{Server: "s"}, start))
}
