package memstore

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

// TestMain fixes the seed of rapid, so that every run gives the same result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// naiveStore is a reference model that keeps the full log of writes.
type naiveStore struct {
	log []store.Event
}

func (n *naiveStore) current(key string) (store.Object, bool) {
	for i := len(n.log) - 1; i >= 0; i-- {
		if n.log[i].Key == key {
			return n.log[i].Object, !n.log[i].Deleted
		}
	}
	return store.Object{}, false
}

func (n *naiveStore) list(prefix string) []store.Object {
	var objs []store.Object
	seen := map[string]bool{}
	for _, ev := range n.log {
		if o, ok := n.current(ev.Key); ok && !seen[ev.Key] && strings.HasPrefix(ev.Key, prefix) {
			seen[ev.Key] = true
			objs = append(objs, o)
		}
	}
	sort.Slice(objs, func(i, j int) bool { return objs[i].Key < objs[j].Key })
	return objs
}

func (n *naiveStore) since(prefix string, after int) []store.Event {
	var evs []store.Event
	for _, ev := range n.log[after:] {
		if strings.HasPrefix(ev.Key, prefix) {
			evs = append(evs, ev)
		}
	}
	return evs
}

// Guards against differences in versions, conflicts, lists, watches and
// compaction from a reference model that recomputes everything from its log of
// writes.
func TestAgainstNaiveStore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const history = 5
		ctx, st, n := context.Background(), NewWithHistory(history), &naiveStore{}
		oldest := 0
		keys := rapid.SampledFrom([]string{"a/1", "a/2", "b/1"})
		prefixes := rapid.SampledFrom([]string{"", "a/", "a/2", "c"})
		versions := rapid.Uint64Range(0, 3)
		record := func(o store.Object, deleted bool) {
			n.log = append(n.log, store.Event{Object: o, Deleted: deleted})
			oldest = max(oldest, len(n.log)-history)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"put": func(rt *rapid.T) {
				key, v := keys.Draw(rt, "key"), versions.Draw(rt, "version")
				cur, live := n.current(key)
				if !live {
					cur.Version = 0
				}
				writer := fmt.Sprint("w", len(n.log))
				_, err := st.Put(ctx, key, []byte(writer), v, writer)
				if v != cur.Version {
					require.ErrorIs(rt, err, store.ErrConflict)
					return
				}
				require.NoError(rt, err)
				record(store.Object{Key: key, Value: []byte(writer), Version: v + 1, Revision: topo.Revision(len(n.log) + 1), Writer: writer}, false)
			},
			"delete": func(rt *rapid.T) {
				key, v := keys.Draw(rt, "key"), versions.Draw(rt, "version")
				cur, live := n.current(key)
				err := st.Delete(ctx, key, v, "d")
				switch {
				case !live:
					require.ErrorIs(rt, err, store.ErrNotFound)
				case v != cur.Version:
					require.ErrorIs(rt, err, store.ErrConflict)
				default:
					require.NoError(rt, err)
					record(store.Object{Key: key, Version: v, Revision: topo.Revision(len(n.log) + 1), Writer: "d"}, true)
				}
			},
			"compact": func(rt *rapid.T) {
				upTo := rapid.IntRange(0, len(n.log)+1).Draw(rt, "upTo")
				st.Compact(topo.Revision(upTo))
				oldest = max(oldest, min(upTo, len(n.log)))
			},
			"watch": func(rt *rapid.T) {
				prefix, after := prefixes.Draw(rt, "prefix"), rapid.IntRange(0, len(n.log)+1).Draw(rt, "after")
				ch, err := st.Watch(ctx, prefix, topo.Revision(after), 0)
				if after < oldest || after > len(n.log) {
					require.ErrorIs(rt, err, store.ErrCompacted)
					return
				}
				require.NoError(rt, err)
				require.Equal(rt, n.since(prefix, after), ch.Events)
				require.Equal(rt, topo.Revision(len(n.log)), ch.Revision)
			},
			"": func(rt *rapid.T) {
				prefix := prefixes.Draw(rt, "prefix")
				l, err := st.List(ctx, prefix)
				require.NoError(rt, err)
				require.Equal(rt, n.list(prefix), l.Objects)
			},
		})
	})
}

// Guards against a watch that returns early because of a write under another
// prefix, misses a write or exceeds its wait.
func TestWatchWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, st := t.Context(), New()
		start := time.Now()
		go func() {
			time.Sleep(time.Second)
			_, _ = st.Put(ctx, "b/1", nil, 0, "w1")
			time.Sleep(time.Second)
			_, _ = st.Put(ctx, "a/1", nil, 0, "w2")
		}()
		ch, err := st.Watch(ctx, "a/", 0, time.Minute)
		require.NoError(t, err)
		require.Equal(t, 2*time.Second, time.Since(start))
		require.Len(t, ch.Events, 1)
		require.Equal(t, topo.Revision(2), ch.Revision)
		ch, err = st.Watch(ctx, "a/", 2, 800*time.Millisecond)
		require.NoError(t, err)
		require.Empty(t, ch.Events)
		require.Equal(t, 2800*time.Millisecond, time.Since(start))
	})
}

// Guards against faults that affect another access point, against a watch that
// keeps waiting in an outage, against a slow call without delay, and against a
// lost response whose write did not take effect.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, st := t.Context(), New()
		other := st.Attach()
		watchErr := make(chan error, 1)
		go func() {
			_, err := st.Watch(ctx, "", 0, time.Hour)
			watchErr <- err
		}()
		synctest.Wait()
		st.SetFaults(Faults{Down: true})
		require.ErrorIs(t, <-watchErr, store.ErrUnavailable)
		_, err := st.Put(ctx, "k", nil, 0, "w")
		require.ErrorIs(t, err, store.ErrUnavailable)
		_, err = other.Get(ctx, "k")
		require.ErrorIs(t, err, store.ErrNotFound)

		st.SetFaults(Faults{LoseResponses: 1})
		_, err = st.Put(ctx, "k", nil, 0, "w")
		require.ErrorIs(t, err, store.ErrUnavailable)
		obj, err := other.Get(ctx, "k")
		require.NoError(t, err)
		require.Equal(t, "w", obj.Writer)
		_, err = st.Put(ctx, "k", nil, 1, "w2")
		require.NoError(t, err)

		st.SetFaults(Faults{Slow: 3 * time.Second})
		start := time.Now()
		_, err = st.Get(ctx, "k")
		require.NoError(t, err)
		require.Equal(t, 3*time.Second, time.Since(start))
	})
}

// Guards against a rate limit that admits more than one second's burst, never
// refills, or counts a waiting watch more than once.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, st := t.Context(), New()
		st.SetFaults(Faults{ReadsPerSecond: 2, WritesPerSecond: 1})
		_, err := st.Watch(ctx, "", 0, 0)
		require.NoError(t, err)
		_, err = st.VMs(ctx)
		require.NoError(t, err)
		_, err = st.List(ctx, "")
		require.ErrorIs(t, err, store.ErrThrottled)
		_, err = st.Put(ctx, "k", nil, 0, "w")
		require.NoError(t, err)
		require.ErrorIs(t, st.Delete(ctx, "k", 1, "w2"), store.ErrThrottled)
		time.Sleep(time.Second)
		require.NoError(t, st.Delete(ctx, "k", 1, "w2"))
	})
}

// Guards against accepting values that the platform would refuse, and keys that
// cannot be part of a path.
func TestPutLimits(t *testing.T) {
	ctx, st := context.Background(), New()
	_, err := st.Put(ctx, "k", make([]byte, store.MaxValueBytes), 0, "w")
	require.NoError(t, err)
	_, err = st.Put(ctx, "k", make([]byte, store.MaxValueBytes+1), 1, "w")
	require.ErrorIs(t, err, store.ErrTooLarge)
	for _, key := range []string{"", "a//b", "../a", "a/."} {
		_, err = st.Put(ctx, key, nil, 0, "w")
		require.Error(t, err, key)
	}
}

// Guards against a restored store that keeps later writes, gives out versions or
// revisions that it gave out before, or leaves watches of the earlier era waiting.
func TestRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, st := t.Context(), New()
		first, err := st.Put(ctx, "a", []byte("1"), 0, "w1")
		require.NoError(t, err)
		earlier := st.Copy()
		second, err := st.Put(ctx, "a", []byte("2"), first.Version, "w2")
		require.NoError(t, err)
		_, err = st.Put(ctx, "b", nil, 0, "w3")
		require.NoError(t, err)
		before, err := st.List(ctx, "")
		require.NoError(t, err)
		watchErr := make(chan error, 1)
		go func() {
			_, err := st.Watch(ctx, "", before.Revision, time.Hour)
			watchErr <- err
		}()
		synctest.Wait()
		st.Restore(earlier)
		require.ErrorIs(t, <-watchErr, store.ErrCompacted)

		after, err := st.List(ctx, "")
		require.NoError(t, err)
		require.Len(t, after.Objects, 1)
		require.Equal(t, "1", string(after.Objects[0].Value))
		require.Equal(t, topo.Era(1), after.Revision.Era())
		require.Equal(t, first.Revision.Counter(), after.Objects[0].Revision.Counter())
		_, err = st.Put(ctx, "a", []byte("3"), first.Version, "w4")
		require.ErrorIs(t, err, store.ErrConflict)
		third, err := st.Put(ctx, "a", []byte("3"), after.Objects[0].Version, "w4")
		require.NoError(t, err)
		require.Greater(t, third.Version, second.Version)
		_, err = st.Put(ctx, "a", []byte("4"), second.Version, "w5")
		require.ErrorIs(t, err, store.ErrConflict)
		ch, err := st.Watch(ctx, "", after.Revision, 0)
		require.NoError(t, err)
		require.Len(t, ch.Events, 1)
		require.Equal(t, third, ch.Events[0].Object)
		_, err = st.Put(ctx, "b", nil, 0, "w6")
		require.NoError(t, err)
		require.NoError(t, st.Delete(ctx, "a", third.Version, "w7"))
	})
}
