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

// testHeartbeat is the time between two writes of the tests' servers.
const testHeartbeat = 550 * time.Millisecond

// newWatcher returns a watcher of a node that needs the store, and that store.
func newWatcher(t *testing.T, name string) (*watcher, *Node, *memstore.Store) {
	st := memstore.New()
	n := &Node{view: view.New(), log: declog.New(io.Discard, "a"), platform: serverPlatform{memPlatform{st}}}
	n.contact = newStoreContact(testHeartbeat, n.view, n.log)
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

// interrupted runs the watcher of the servers, makes calls to the store fail for a time,
// removes the entry of a server meanwhile, and reports whether the server is in use right
// after the store answers again.
func interrupted(t *testing.T, lasts time.Duration, meanwhile func(*Node)) (inUse bool) {
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
	time.Sleep(lasts)
	require.NoError(t, other.Delete(ctx, "s/a", o.Version, "expiry"))
	meanwhile(n)
	st.SetFaults(memstore.Faults{})
	require.Eventually(t, logged("store_regained"), time.Minute, time.Millisecond)
	inUse = usable()
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
	return inUse
}

// Guards against dropping servers whose entries expired in an outage of the store, if
// the first response after it already tells so.
func TestServerThatExpiredInAnOutageIsKept(t *testing.T) {
	require.True(t, interrupted(t, 3*testHeartbeat, func(*Node) {}))
}

// Guards against VMs that send requests for over two seconds to a server that left, because
// the leader alone could not reach the store when the entry was removed (review, case 15).
func TestServerThatLeftWhileTheStoreDidNotAnswerThisVMIsDropped(t *testing.T) {
	require.False(t, interrupted(t, 400*time.Millisecond, func(*Node) {}), "no entry expires in so short a time")
	require.False(t, interrupted(t, 3*testHeartbeat, func(n *Node) {
		now := bootNow()
		n.contact.Learn(now, []time.Time{now.Add(-2 * testHeartbeat), now.Add(-testHeartbeat), now}, time.Time{})
	}), "the store answered another VM meanwhile")
}

// Guards against a server that stays in use although another VM tells, right after the store
// answers this one again, that the store was available all the while.
func TestServerIsDroppedOnceAnotherVMTellsThatTheStoreAnswered(t *testing.T) {
	n := &Node{view: view.New(), log: declog.New(io.Discard, "a")}
	c := newStoreContact(testHeartbeat, n.view, n.log)
	now := bootNow()
	c.record(now.Add(-3*testHeartbeat), nil)
	c.record(now.Add(-time.Millisecond), store.ErrUnavailable)
	c.record(now, nil)
	n.view.Directory(func(d *directory.Directory) {
		d.Put(directory.Server{ID: "a", State: directory.Ready, Rev: 1})
		d.Remove("a", 2, now)
	})
	require.NotNil(t, n.view.Snapshot().Usable("a"))
	c.Learn(now, []time.Time{now.Add(-2 * testHeartbeat), now.Add(-testHeartbeat)}, time.Time{})
	require.Nil(t, n.view.Snapshot().Usable("a"))
}

// Guards against a new leader that drops servers whose entries expired in an outage which
// only the leader before saw, and against one that takes failures of long ago, when it last
// read the store, for an outage.
func TestNewLeaderKnowsOfAnOutageFromTheOneBefore(t *testing.T) {
	c := newStoreContact(testHeartbeat, view.New(), declog.New(io.Discard, "a"))
	now := bootNow()
	c.record(now.Add(-time.Minute), store.ErrUnavailable)
	c.Learn(now, []time.Time{now.Add(-time.Second)}, now.Add(-time.Minute))
	c.record(now, nil)
	require.Zero(t, c.outageEnd, "the store has answered the leader before")

	answers, failure := c.Known(now)
	require.Equal(t, []time.Time{now}, answers, "no failure since")
	require.Equal(t, now.Add(-time.Minute), failure)
	c.Learn(now, []time.Time{now.Add(time.Second)}, now.Add(1400*time.Millisecond))
	answers, _ = c.Known(now.Add(2 * time.Second))
	require.Equal(t, []time.Time{now.Add(-time.Second), now, now.Add(time.Second)}, answers)
	c.record(now.Add(4*time.Second), nil)
	require.Equal(t, now.Add(4*time.Second), c.outageEnd)
}

// Guards against a server that is kept for good on a VM which does not lead.
func TestLapsedServerIsDroppedByTheWatcher(t *testing.T) {
	w, n, _ := newWatcher(t, "servers")
	n.view.Directory(func(d *directory.Directory) {
		d.Put(directory.Server{ID: "s/a", State: directory.Ready, Rev: 1})
		past := bootNow().Add(-directory.StoreRecoveryGrace - time.Second)
		d.SetOutageEnd(past)
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
