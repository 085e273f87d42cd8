package node

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/store/memstore"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// serverPlatform is a Platform whose servers' entries have as many bytes as they were
// written times before.
type serverPlatform struct{ memPlatform }

func (serverPlatform) Prefixes() Prefixes {
	return Prefixes{Config: "c/", Servers: "s/", Evacuations: "e/"}
}

func (serverPlatform) DecodeServer(o store.Object, _ time.Time) (directory.Server, error) {
	return directory.Server{
		ID: topo.ServerID(o.Key), State: directory.Ready, StartedAtMs: 1, Seq: int64(len(o.Value)), Rev: int64(o.Revision),
	}, nil
}

// newWatcher returns a watcher of a node that needs the store, and that store.
func newWatcher(t *testing.T, name string) (*watcher, *Node, *memstore.Store) {
	st := memstore.New()
	n := &Node{view: view.New(), log: declog.New(io.Discard, "a"), platform: serverPlatform{memPlatform{st}}}
	for _, w := range n.newWatchers() {
		if w.name == name {
			w.needed, w.wait = func() bool { return true }, time.Millisecond
			w.pauseDuration = func() time.Duration { return 0 }
			return w, n, st
		}
	}
	t.Fatalf("there is no watcher %q", name)
	return nil, nil, nil
}

// Guards against dropping servers whose entries expired in an outage of the store, if
// the first response after it already tells so.
func TestServerThatExpiredInAnOutageIsKept(t *testing.T) {
	w, n, st := newWatcher(t, "servers")
	var out bytes.Buffer
	w.log = declog.New(&out, "a")
	ctx, cancel := context.WithCancel(context.Background())
	other := st.Attach()
	o, err := other.Put(ctx, "s/a", nil, store.MustNotExist, "w")
	require.NoError(t, err)
	done := make(chan error)
	go func() { done <- w.Run(ctx) }()
	usable := func() bool { return n.view.Snapshot().Usable("s/a") != nil }
	logged := func(event string) func() bool {
		return func() bool { return len(logLines(t, w.log, &out, event)) > 0 }
	}
	require.Eventually(t, usable, time.Minute, time.Millisecond)
	st.SetFaults(memstore.Faults{Down: true})
	require.Eventually(t, logged("store_lost"), time.Minute, time.Millisecond)
	time.Sleep(minOutage)
	require.NoError(t, other.Delete(ctx, "s/a", o.Version, "expiry"))
	st.SetFaults(memstore.Faults{})
	require.Eventually(t, logged("store_regained"), time.Minute, time.Millisecond)
	require.True(t, usable())
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
}

// Guards against a server that is kept for good on a VM which does not lead.
func TestLapsedServerIsDroppedByTheWatcher(t *testing.T) {
	w, n, _ := newWatcher(t, "servers")
	n.view.Directory(func(d *directory.Directory) {
		d.Put(directory.Server{ID: "s/a", State: directory.Ready, Rev: 1})
		past := bootNow().Add(-directory.StoreRecoveryGrace - time.Second)
		d.StoreRecovered(past)
		d.Remove("s/a", 2, past)
	})
	require.NotNil(t, n.view.Snapshot().Usable("s/a"))
	w.recordSuccess(bootNow(), 3)
	require.Nil(t, n.view.Snapshot().Usable("s/a"))
}

// Guards against a watch that goes on from a revision of before, or waits, when the
// store has come back from an older copy.
func TestWatcherListsAgainAfterARestore(t *testing.T) {
	w, n, st := newWatcher(t, "servers")
	ctx, cancel := context.WithCancel(context.Background())
	_, err := st.Put(ctx, "s/a", nil, store.MustNotExist, "w")
	require.NoError(t, err)
	earlier := st.Copy()
	_, err = st.Put(ctx, "s/b", nil, store.MustNotExist, "w")
	require.NoError(t, err)
	done := make(chan error)
	w.wait = time.Hour
	go func() { done <- w.Run(ctx) }()
	await := func(id topo.ServerID) {
		require.Eventually(t, func() bool { return n.view.Snapshot().Usable(id) != nil }, time.Minute, time.Millisecond)
	}
	await("s/b")
	st.Restore(earlier)
	_, err = st.Put(ctx, "s/c", nil, store.MustNotExist, "w")
	require.NoError(t, err)
	await("s/c")
	require.NotNil(t, n.view.Snapshot().Usable("s/a"))
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
}

// Guards against a log that does not tell which entries are older because the store
// came back from an older copy.
func TestOlderEntryOfARestoredStoreIsLogged(t *testing.T) {
	w, n, st := newWatcher(t, "servers")
	var out bytes.Buffer
	n.log = declog.New(&out, "a")
	ctx := t.Context()
	a, err := st.Put(ctx, "s/a", []byte("1"), store.MustNotExist, "w")
	require.NoError(t, err)
	_, err = st.Put(ctx, "s/b", []byte("1"), store.MustNotExist, "w")
	require.NoError(t, err)
	earlier := st.Copy()
	_, err = st.Put(ctx, "s/a", []byte("22"), a.Version, "w")
	require.NoError(t, err)
	rev, err := w.list(ctx)
	require.NoError(t, err)
	w.recordSuccess(bootNow(), rev)
	require.Empty(t, logLines(t, n.log, &out, "server_older"))
	st.Restore(earlier)
	_, err = w.list(ctx)
	require.NoError(t, err)
	lines := logLines(t, n.log, &out, "server_older")
	require.Len(t, lines, 1, "the entry of s/b is the one known")
	require.Equal(t, "s/a", lines[0]["server"])
	require.Equal(t, 1.0, lines[0]["seq"])
	require.Equal(t, 1.0, lines[0]["era"])
}
