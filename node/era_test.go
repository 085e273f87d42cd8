package node

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
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

// Guards against a log whose revisions cannot be found in the store.
func TestRevisionsAreLoggedAsTheStoreCountsThem(t *testing.T) {
	var out bytes.Buffer
	log := declog.New(&out, "a")
	revision(log.Event("x"), 7).Send()
	revision(log.Event("x"), topo.RevisionOf(2, 5)).Send()
	lines := logLines(t, log, &out, "x")
	require.Equal(t, 7.0, lines[0]["rev"])
	require.NotContains(t, lines[0], "era")
	require.Equal(t, 5.0, lines[1]["rev"])
	require.Equal(t, 2.0, lines[1]["era"])
}

// Guards against a log that does not tell why a configuration was ignored.
func TestOlderConfigurationIsLoggedWithItsReason(t *testing.T) {
	var out bytes.Buffer
	n := &Node{log: declog.New(&out, "a"), view: view.New(), platform: versionPlatform{}}
	for _, c := range []struct {
		version byte
		rev     topo.Revision
	}{{12, 70}, {11, 60}, {10, topo.RevisionOf(1, 50)}, {11, topo.RevisionOf(1, 51)}, {13, topo.RevisionOf(1, 52)}} {
		require.NoError(t, n.setConfig([]byte{c.version}, int64(c.rev)))
	}
	reasons := []any{}
	for _, line := range logLines(t, n.log, &out, "config_older") {
		require.Equal(t, 12.0, line["in_force"])
		reasons = append(reasons, line["reason"])
	}
	require.Equal(t, []any{"stale_read", "store_restored", "written_older"}, reasons)
	require.Len(t, logLines(t, n.log, &out, "config_in_force"), 2)
}

// versionPlatform is a Platform whose configurations consist of the version.
type versionPlatform struct{ memPlatform }

func (versionPlatform) DecodeConfig(raw []byte) (routemap.Config, error) {
	return routemap.Config{Version: int64(raw[0])}, nil
}

// Guards against accepting a withdrawn key because the store came back from a copy that
// is older than the withdrawal, and against a confirmation that is late after that.
func TestRestoredStoreDoesNotConfirmTheConfigurationAtOnce(t *testing.T) {
	w, n, _ := newWatcher(t, "config")
	before := bootNow()
	n.recordStoreEra(0)
	w.recordSuccess(before, 70)
	require.Equal(t, before.UnixNano(), n.view.Confirmed().UnixNano())
	require.Equal(t, watchTimeout, w.waitLimit())

	n.recordStoreEra(1)
	restored := bootNow()
	w.recordSuccess(restored, topo.RevisionOf(1, 50))
	require.Equal(t, before.UnixNano(), n.view.Confirmed().UnixNano(), "the withdrawal may not be written again yet")
	w.recordSuccess(before.Add(time.Nanosecond), 71)
	require.Equal(t, before.Add(time.Nanosecond).UnixNano(), n.view.Confirmed().UnixNano(), "a read of before the restore")

	settled := n.storeEra.settled
	require.Equal(t, time.Millisecond, n.storeEra.watchLimit(settled.Add(-time.Millisecond), before))
	require.Zero(t, n.storeEra.watchLimit(settled.Add(time.Millisecond), before), "the next read can confirm it")
	w.recordSuccess(settled, topo.RevisionOf(1, 50))
	require.Equal(t, settled.UnixNano(), n.view.Confirmed().UnixNano())
	require.Equal(t, watchTimeout, w.waitLimit())
}
