package store_test

import (
	"context"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/store/memstore"
)

// interceptedStore wraps a store, counts its calls, and can replace each Put and
// fail each Get. put is called with the wrapped store, and get with the number of
// the call.
type interceptedStore struct {
	store.Store
	puts int
	put  func(st store.Store) error
	get  func(n int) error
	gets int
}

func (i *interceptedStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64, writer string) (store.Object, error) {
	i.puts++
	if i.put == nil {
		return i.Store.Put(ctx, key, value, ifVersion, writer)
	}
	return store.Object{}, i.put(i.Store)
}

func (i *interceptedStore) Get(ctx context.Context, key string) (store.Object, error) {
	i.gets++
	if i.get != nil {
		if err := i.get(i.gets); err != nil {
			return store.Object{}, err
		}
	}
	return i.Store.Get(ctx, key)
}

// Guards against a blind retry after a lost response, against reporting another
// writer's version as applied, and against reporting "not applied" if later
// writes hide whether the update took effect. See the case "response to a
// conditional update lost" in docs/design.md.
func TestUpdateResolvesTheOutcome(t *testing.T) {
	put := func(st store.Store, version uint64, writer string) {
		_, err := st.Put(context.Background(), "k", []byte(writer), version, writer)
		require.NoError(t, err)
	}
	lost := func(writes func(st store.Store)) func(st store.Store) error {
		return func(st store.Store) error {
			writes(st)
			return store.ErrUnavailable
		}
	}
	failReadBack := func(n int) error {
		if n > 1 {
			return store.ErrUnavailable
		}
		return nil
	}
	cases := []struct {
		name    string
		put     func(st store.Store) error
		get     func(n int) error
		outcome store.Outcome
		final   bool
		err     error
	}{
		{"answered", nil, nil, store.Applied, true, nil},
		{"response lost after the effect", lost(func(st store.Store) { put(st, 1, "me") }), nil, store.Applied, true, nil},
		{"request lost", lost(func(store.Store) {}), nil, store.NotApplied, false, store.ErrUnavailable},
		{"another writer took the version", lost(func(st store.Store) { put(st, 1, "other") }), nil, store.NotApplied, true, store.ErrConflict},
		{"overwritten before the read", lost(func(st store.Store) { put(st, 1, "me"); put(st, 2, "other") }), nil, store.Unknown, false, store.ErrUnavailable},
		{"deleted before the read", lost(func(st store.Store) { _ = st.Delete(context.Background(), "k", 1, "other") }), nil, store.Unknown, false, store.ErrUnavailable},
		{"store stays down", lost(func(st store.Store) { put(st, 1, "me") }), failReadBack, store.Unknown, false, store.ErrUnavailable},
		{"throttled", func(store.Store) error { return store.ErrThrottled }, nil, store.NotApplied, true, store.ErrThrottled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			mem := memstore.New()
			put(mem, 0, "first")
			st := &interceptedStore{Store: mem, put: c.put, get: c.get}
			res, err := store.Update(context.Background(), st, "k", "me", func(old *store.Object) ([]byte, error) {
				require.Equal(t, "first", string(old.Value))
				return []byte("me"), nil
			})
			require.ErrorIs(t, err, c.err)
			require.Equal(t, c.outcome, res.Outcome)
			require.Equal(t, c.final, res.Final)
			require.Equal(t, 1, st.puts)
			require.Equal(t, store.Attempt{Key: "k", Previous: 1, Writer: "me"}, res.Attempt)
		})
	}
}

// Guards against a conflict error without the writer and version that won. See
// the case "two operators race" in docs/design.md.
func TestUpdateConflictNamesWinner(t *testing.T) {
	mem := memstore.New()
	ctx := context.Background()
	res, err := store.Update(ctx, mem, "k", "me", func(old *store.Object) ([]byte, error) {
		require.Nil(t, old)
		_, err := mem.Put(ctx, "k", []byte("x"), store.MustNotExist, "rival")
		return []byte("y"), err
	})
	var conflict *store.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, store.ConflictError{Key: "k", Expected: 0, Current: 1, Winner: "rival"}, *conflict)
	require.Equal(t, store.NotApplied, res.Outcome)
}

// Guards against an outcome that stays unknown after the end of an outage.
func TestResolveAfterOutage(t *testing.T) {
	mem := memstore.New()
	ctx := context.Background()
	mine := mem.Attach()
	mine.SetFaults(memstore.Faults{LoseResponses: 1})
	st := &interceptedStore{Store: mine, get: func(n int) error {
		if n == 2 {
			return store.ErrUnavailable
		}
		return nil
	}}
	res, err := store.Update(ctx, st, "k", "me", func(*store.Object) ([]byte, error) { return []byte("v"), nil })
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.Equal(t, store.Unknown, res.Outcome)
	res, err = store.Resolve(ctx, st, res.Attempt)
	require.NoError(t, err)
	require.Equal(t, store.Applied, res.Outcome)
	require.Equal(t, 1, st.puts)
}

// Guards against Update replacing or hiding an error of mutate.
func TestUpdateKeepsMutateError(t *testing.T) {
	refused := errors.ConstError("refused")
	_, err := store.Update(context.Background(), memstore.New(), "k", "me", func(*store.Object) ([]byte, error) { return nil, refused })
	require.ErrorIs(t, err, refused)
}
