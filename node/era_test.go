package node

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/store"
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
	require.Equal(t, time.Millisecond, n.storeEra.watchLimit(settled.Add(time.Second), before), "the next read can confirm it")
	w.recordSuccess(settled, topo.RevisionOf(1, 50))
	require.Equal(t, settled.UnixNano(), n.view.Confirmed().UnixNano())
	require.Equal(t, watchTimeout, w.waitLimit())
}

// Guards against new requests to a data centre out of service because the store came
// back from a copy that is older than its evacuation, and against keeping it out of
// service for good.
func TestEvacuationIsKeptForTheGraceTimeAfterARestore(t *testing.T) {
	w, n, st := newWatcher(t, "evacuations")
	ctx := t.Context()
	earlier := st.Copy()
	for _, name := range []string{"again", "lifted", "lost"} {
		_, err := st.Put(ctx, "e/"+name, nil, store.MustNotExist, "w")
		require.NoError(t, err)
	}
	evacuated := func() (names []string) {
		n.view.Directory(func(d *directory.Directory) {
			for _, name := range d.Evacuated() {
				names = append(names, string(name))
			}
		})
		return names
	}
	list := func() topo.Revision {
		rev, err := w.list(ctx)
		require.NoError(t, err)
		w.recordSuccess(bootNow(), rev)
		return rev
	}
	list()
	st.Restore(earlier)
	rev := list()
	require.ElementsMatch(t, []string{"e/again", "e/lifted", "e/lost"}, evacuated())

	for _, name := range []string{"again", "lifted"} {
		_, err := st.Put(ctx, "e/"+name, nil, store.MustNotExist, "w")
		require.NoError(t, err)
	}
	o, err := st.Get(ctx, "e/lifted")
	require.NoError(t, err)
	require.NoError(t, st.Delete(ctx, "e/lifted", o.Version, "w"))
	rev, err = w.watch(ctx, rev)
	require.NoError(t, err)
	w.recordSuccess(bootNow(), rev)
	require.ElementsMatch(t, []string{"e/again", "e/lost"}, evacuated())

	e := &evacuations{node: n, listed: map[topo.DataCentreName]bool{"e/again": true}, kept: map[topo.DataCentreName]time.Time{"e/lost": bootNow()}}
	e.apply(rev, bootNow())
	require.Equal(t, []string{"e/again"}, evacuated())
}

// Guards against a response of a new era that is applied before the era is recorded, as
// another call has received the first response of that era at the same time.
func TestReadOfAnEraThatIsNotRecordedYetProvesNothing(t *testing.T) {
	var s storeEra
	now := time.Unix(1000, 0)
	s.record(1, now)
	require.True(t, s.proves(topo.RevisionOf(1, 7), now))
	require.False(t, s.proves(topo.RevisionOf(2, 5), now.Add(time.Second)))
}

// Guards against a process that starts as the store comes back from an older copy, and
// accepts keys whose withdrawal the copy lacks.
func TestProcessThatStartsAfterARestoreDoesNotConfirmTheConfigurationAtOnce(t *testing.T) {
	for era, waits := range map[topo.Era]bool{0: false, firstEra: false, firstEra + 1: true} {
		var s storeEra
		now := time.Unix(1000, 0)
		first, restored := s.record(era, now)
		require.True(t, first)
		require.False(t, restored)
		rev := topo.RevisionOf(era, 7)
		require.Equal(t, !waits, s.proves(rev, now))
		require.Equal(t, !waits, s.proves(rev, now.Add(directory.StoreRecoveryGrace-1)))
		require.True(t, s.proves(rev, now.Add(directory.StoreRecoveryGrace)))
	}
}

// Guards against accepting keys while another VM is known to have had a newer
// configuration in force, however recently the store has confirmed this one.
func TestConfigurationOlderThanAnotherVMsIsNotFresh(t *testing.T) {
	n := &Node{log: declog.New(&bytes.Buffer{}, "a"), view: view.New(), platform: versionPlatform{}}
	b := DefaultBounds()
	n.activeBounds.Store(&b)
	require.NoError(t, n.setConfig([]byte{1}, int64(topo.RevisionOf(2, 50))))
	n.view.Confirm(bootNow())
	require.True(t, n.configFresh())
	n.view.HearVersion(2)
	require.False(t, n.configFresh())
	require.NoError(t, n.adoptConfig([]byte{2}))
	require.True(t, n.configFresh())
}
