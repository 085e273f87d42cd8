package operate

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/audit"
	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/internal/teststore"
	"godwitlock.example/godwitlock/store"
)

// loseResponse makes the next put or delete of key return ErrUnavailable, after
// the write if effect is true and instead of it otherwise. It calls then before
// the error is returned.
func loseResponse(st *teststore.Store, key string, effect bool, then func()) {
	hook := func(op, k string) error {
		if k != key || op != "put" && op != "delete" {
			return nil
		}
		st.Before, st.After = nil, nil
		if then != nil {
			then()
		}
		return store.ErrUnavailable
	}
	if effect {
		st.After = hook
	} else {
		st.Before = hook
	}
}

// Guards against an update that is sent twice, or whose outcome is misreported,
// after its response was lost.
func TestLostResponses(t *testing.T) {
	key := config.DocumentKey("trial")
	for _, c := range []struct {
		name   string
		effect bool
		then   func(t *testing.T, st *teststore.Store)
		want   any // type of the error
		result audit.Result
	}{
		{"took effect", true, nil, nil, audit.Done},
		{"had no effect", false, nil, &UnresolvedError{}, audit.Unknown},
		{"had no effect, another was faster", false, func(t *testing.T, st *teststore.Store) {
			mustSucceed(t)(newOperator(t, st, "trial", "ben").Apply(ctx, "f", []byte(doc+"# ben\n"), 1, ""))
		}, &ConflictError{}, audit.Lost},
		{"took effect, another followed", true, func(t *testing.T, st *teststore.Store) {
			mustSucceed(t)(newOperator(t, st, "trial", "ben").Apply(ctx, "f", []byte(doc+"# ben\n"), 2, ""))
		}, &UnresolvedError{}, audit.Unknown},
		{"cannot be read back", true, func(_ *testing.T, st *teststore.Store) {
			st.Before = func(op, k string) error {
				if op == "get" && k == key {
					return store.ErrUnavailable
				}
				return nil
			}
		}, &UnresolvedError{}, audit.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			st := &teststore.Store{}
			o := newOperator(t, st, "trial", "ana")
			mustSucceed(t)(o.Apply(ctx, "f", []byte(doc), 0, ""))
			calls := st.Calls["put "+key]
			loseResponse(st, key, c.effect, func() {
				if c.then != nil {
					c.then(t, st)
				}
			})
			r, err := o.Apply(ctx, "f", []byte(doc2), 1, "")
			switch c.want.(type) {
			case nil:
				require.NoError(t, err)
				require.True(t, r.Resolved)
				require.Equal(t, uint64(2), r.To)
			case *ConflictError:
				var conflict *ConflictError
				require.ErrorAs(t, err, &conflict)
				require.True(t, strings.HasPrefix(conflict.Writer, "ben/"))
			default:
				var unresolved *UnresolvedError
				require.ErrorAs(t, err, &unresolved)
				require.ErrorIs(t, err, store.ErrUnavailable)
			}
			require.LessOrEqual(t, st.Calls["put "+key]-calls, 2, "at most the write of ana and that of ben")
			st.Before = nil
			require.Equal(t, c.result, auditEntry(t, o, r.AuditID).Result)
		})
	}
}

// Guards against a delete that is reported as unresolved although the object no
// longer exists, and against reporting another operator's delete as one's own.
func TestLostDelete(t *testing.T) {
	st := &teststore.Store{}
	o := newOperator(t, st, "trial", "ana")
	mustSucceed(t)(o.Apply(ctx, "f", []byte(doc), 0, ""))
	mustSucceed(t)(o.DrainServer(ctx, "s1", true, ""))
	key := config.DrainingKey("trial", "s1")
	loseResponse(st, key, true, nil)
	r := mustSucceed(t)(o.DrainServer(ctx, "s1", false, ""))
	require.True(t, r.Resolved)
	mustSucceed(t)(o.DrainServer(ctx, "s1", true, ""))
	st.Before = func(op, k string) error {
		if op == "delete" && k == key {
			st.Before = nil
			mustSucceed(t)(newOperator(t, st, "trial", "ben").DrainServer(ctx, "s1", false, ""))
		}
		return nil
	}
	_, err := o.DrainServer(ctx, "s1", false, "")
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.ErrorContains(t, err, "does not exist any more")
	_, err = o.DrainServer(ctx, "s1", false, "")
	require.ErrorIs(t, err, ErrNoChange)
}

// Guards against an outcome or an audit result that stays unknown because the
// operator cancelled the command, although the store is available.
func TestCancelledContext(t *testing.T) {
	st := &teststore.Store{}
	o := newOperator(t, st, "trial", "ana")
	c, cancel := context.WithCancel(ctx)
	st.After = func(op, k string) error {
		if op == "put" && k == config.DocumentKey("trial") {
			cancel()
			return c.Err()
		}
		return nil
	}
	r := mustSucceed(t)(o.Apply(c, "f", []byte(doc), 0, ""))
	require.True(t, r.Resolved)
	require.Equal(t, audit.Done, auditEntry(t, o, r.AuditID).Result)
}

// Guards against a change without an audit entry, and against losing the audit
// entry of an attempt that was refused during a store outage.
func TestAuditDuringOutage(t *testing.T) {
	st := &teststore.Store{}
	o := newOperator(t, st, "trial", "ana")
	st.Before = func(string, string) error { return store.ErrUnavailable }
	_, err := o.Apply(ctx, "f", []byte(doc), 0, "")
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.Equal(t, 1, o.Audit.Pending())
	st.Before = nil
	_, err = o.Audit.Flush(ctx, t0)
	require.NoError(t, err)
	require.Equal(t, []string{"ana apply refused 0->0"}, auditSummaries(t, o))

	// The store fails after the change and before its result is recorded.
	st.After = func(op, k string) error {
		if k == config.DocumentKey("trial") && op == "put" {
			st.Before = func(string, string) error { return store.ErrUnavailable }
		}
		return nil
	}
	r := mustSucceed(t)(o.Apply(ctx, "f", []byte(doc), 0, ""))
	require.True(t, r.AuditPending)
	st.Before, st.After = nil, nil
	require.Equal(t, audit.Unknown, auditEntry(t, o, r.AuditID).Result)
	_, err = o.Audit.Flush(ctx, t0)
	require.NoError(t, err)
	require.Equal(t, audit.Done, auditEntry(t, o, r.AuditID).Result)
}

// Guards against a throttled update that is reported as unresolved.
func TestThrottled(t *testing.T) {
	st := &teststore.Store{}
	o := newOperator(t, st, "trial", "ana")
	st.Before = func(op, k string) error {
		if op == "put" && k == config.DocumentKey("trial") {
			return store.ErrThrottled
		}
		return nil
	}
	r, err := o.Apply(ctx, "f", []byte(doc), 0, "")
	require.ErrorIs(t, err, store.ErrThrottled)
	require.Equal(t, audit.Refused, auditEntry(t, o, r.AuditID).Result)
}
