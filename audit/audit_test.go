package audit

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/callerkey"
	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/internal/teststore"
	"godwitlock.example/godwitlock/store"
)

var t0 = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func newLog(st store.Store) *Log { return New(st, "trial", rand.NewChaCha8([32]byte{1})) }

func newEntry(t *testing.T, l *Log, i int, who, action, target string) *Entry {
	e, err := l.NewEntry(t0.Add(time.Duration(i)*time.Second), who, action, target)
	require.NoError(t, err)
	return e
}

func summaries(entries []Entry) string {
	var out []string
	for _, e := range entries {
		out = append(out, e.Who+" "+e.Action+" "+string(e.Result))
	}
	return strings.Join(out, ", ")
}

// Guards against a filter that omits matching entries or returns others.
func TestListAndFilter(t *testing.T) {
	ctx, l := context.Background(), newLog(&teststore.Store{})
	for i, c := range []struct{ who, action, target string }{{"ana", "apply", "document"}, {"ben", "apply", "document"}, {"ana", "set-rate", "customer/c1"}, {"ana", "set-rate", "customer/c10"}} {
		e := newEntry(t, l, i, c.who, c.action, c.target)
		e.Result = []Result{Done, Lost, Refused, Unknown}[i]
		require.NoError(t, l.Write(ctx, e))
	}
	for _, c := range []struct {
		f    Filter
		want string
	}{
		{Filter{}, "ana apply done, ben apply lost, ana set-rate refused, ana set-rate unknown"},
		{Filter{Who: "ben"}, "ben apply lost"},
		{Filter{Action: "set-rate", Limit: 1}, "ana set-rate unknown"},
		{Filter{Target: "customer/c1"}, "ana set-rate refused"},
		{Filter{Target: "customer/"}, "ana set-rate refused, ana set-rate unknown"},
		{Filter{Result: Done}, "ana apply done"},
		{Filter{Since: t0.Add(time.Second), Until: t0.Add(2 * time.Second)}, "ben apply lost"},
	} {
		got, err := l.List(ctx, c.f)
		require.NoError(t, err)
		require.Equal(t, c.want, summaries(got), "%+v", c.f)
	}
}

// Guards against an entry that is duplicated or missing after the response to its
// write was lost, and against a buffer that is blocked by an entry whose key
// another writer holds.
func TestLostResponse(t *testing.T) {
	ctx, st := context.Background(), &teststore.Store{}
	l := newLog(st)
	e := newEntry(t, l, 0, "ana", "apply", "document")
	st.After = func(op, _ string) error { return store.ErrUnavailable }
	require.ErrorIs(t, l.Write(ctx, e), store.ErrUnavailable)
	st.After = nil
	e.Result = Done
	require.NoError(t, l.Write(ctx, e))
	got, err := l.List(ctx, Filter{})
	require.NoError(t, err)
	require.Equal(t, "ana apply done", summaries(got))

	foreign := newEntry(t, l, 1, "ana", "apply", "document")
	_, err = st.Put(ctx, config.AuditPrefix("trial")+foreign.ID, []byte("x"), 0, "other/1")
	require.NoError(t, err)
	require.ErrorContains(t, l.Write(ctx, foreign), "already exists")
	require.True(t, l.Buffer(foreign))
	n, err := l.Flush(ctx, t0)
	require.NoError(t, err)
	require.Zero(t, n)
	require.Zero(t, l.Pending(), "an entry that can never be written must not block the others")
	got, err = l.List(ctx, Filter{Result: Unknown})
	require.NoError(t, err)
	require.Contains(t, got[0].Detail, "entry cannot be read")
}

// Guards against a buffer that grows without bound during a store outage, drops
// entries without recording it, or writes entries twice after the outage.
func TestBufferDuringOutage(t *testing.T) {
	ctx, st := context.Background(), &teststore.Store{}
	l := newLog(st)
	down := func(string, string) error { return store.ErrUnavailable }
	st.Before = down
	for i := range BufferSize + 6 {
		require.Equal(t, i < BufferSize, l.Buffer(newEntry(t, l, i, fmt.Sprint(i), "apply", "document")))
	}
	n, err := l.Flush(ctx, t0)
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.Zero(t, n)
	require.Equal(t, []any{BufferSize, uint64(6)}, []any{l.Pending(), l.Dropped()})

	writes := 0
	st.Before = func(op, key string) error { // the store fails again after 100 writes
		if writes++; writes > 100 {
			return store.ErrUnavailable
		}
		return nil
	}
	n, err = l.Flush(ctx, t0)
	require.Error(t, err)
	require.Equal(t, 100, n)
	st.Before = nil
	n, err = l.Flush(ctx, t0.Add(time.Hour))
	require.NoError(t, err)
	require.Equal(t, BufferSize-100, n)
	got, err := l.List(ctx, Filter{})
	require.NoError(t, err)
	require.Len(t, got, BufferSize+1)
	require.Equal(t, "0", got[0].Who)
	last := got[BufferSize]
	require.Equal(t, DroppedAction, last.Action)
	require.Contains(t, last.Detail, "6 entries were dropped")
	_, err = l.Flush(ctx, t0)
	require.NoError(t, err)
	got, err = l.List(ctx, Filter{})
	require.NoError(t, err)
	require.Len(t, got, BufferSize+1, "dropped entries must be reported only once")
}

// Guards against an audit log that grows without bound, and against pruning that
// deletes the newest entries or fails when another process deletes the same entry.
func TestPrune(t *testing.T) {
	ctx, st := context.Background(), &teststore.Store{}
	l := newLog(st)
	for i := range 230 {
		require.NoError(t, l.Write(ctx, newEntry(t, l, i, fmt.Sprint(i), "apply", "document")))
	}
	for _, want := range []int{100, 100, 10, 0} {
		n, err := l.Prune(ctx, 20)
		require.NoError(t, err)
		require.Equal(t, want, n)
	}
	got, err := l.List(ctx, Filter{})
	require.NoError(t, err)
	require.Equal(t, []any{20, "210"}, []any{len(got), got[0].Who})
	st.Before = func(op, _ string) error {
		if op == "delete" {
			return store.ErrNotFound // another process deleted it first
		}
		return nil
	}
	n, err := l.Prune(ctx, 10)
	require.NoError(t, err)
	require.Zero(t, n)
	st.Before = func(op, _ string) error { return errors.New("down") }
	_, err = l.Prune(ctx, 10)
	require.Error(t, err)
}

// Guards against secrets and oversized texts in the audit log.
func TestBoundedTexts(t *testing.T) {
	ctx, l := context.Background(), newLog(&teststore.Store{})
	k, err := callerkey.Issue(rand.NewChaCha8([32]byte{2}), "trial")
	require.NoError(t, err)
	e := newEntry(t, l, 0, "ana", "withdraw", "customer/c1")
	e.Reason, e.Detail = "leaked: "+k.Reveal(), strings.Repeat("é", maxTextBytes)
	require.NoError(t, l.Write(ctx, e))
	got, err := l.List(ctx, Filter{})
	require.NoError(t, err)
	require.Equal(t, "leaked: "+k.String(), got[0].Reason)
	require.LessOrEqual(t, len(got[0].Detail), maxTextBytes+4)
}
