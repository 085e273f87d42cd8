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

// loseResponse makes the answer to the next put or delete of key be lost, with or
// without effect, and lets then run before the error is returned.
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

// Guards against an update that is sent twice or misreported after its answer
// was lost.
func TestLostAnswers(t *testing.T) {
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
			mustSucceed(t)(operator(t, st, "trial", "ben").Apply(ctx, "f", []byte(doc+"# ben\n"), 1, ""))
		}, &ConflictError{}, audit.Lost},
		{"took effect, another followed", true, func(t *testing.T, st *teststore.Store) {
			mustSucceed(t)(operator(t, st, "trial", "ben").Apply(ctx, "f", []byte(doc+"# ben\n"), 2, ""))
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
			o := operator(t, st, "trial", "ana")
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
			require.LessOrEqual(t, st.Calls["put "+key]-calls, 2, "own write and that of ben")
			st.Before = nil
			require.Equal(t, c.result, auditEntry(t, o, r.AuditID).Result)
		})
	}
}

// Guards against a delete whose lost answer is reported as unknown for ever,
// and against one that reports another's delete as its own.
func TestLostDelete(t *testing.T) {
	st := &teststore.Store{}
	o := operator(t, st, "trial", "ana")
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
			mustSucceed(t)(operator(t, st, "trial", "ben").DrainServer(ctx, "s1", false, ""))
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

// Guards against an operator's interrupt that leaves the outcome or the trail
// open although the store answers.
func TestCancelledContext(t *testing.T) {
	st := &teststore.Store{}
	o := operator(t, st, "trial", "ana")
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

// Guards against a change that the trail does not know of, and against a
// refused attempt that is forgotten in an outage.
func TestAuditDuringOutage(t *testing.T) {
	st := &teststore.Store{}
	o := operator(t, st, "trial", "ana")
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

	// The store goes down after the change and before its result is recorded.
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

// Guards against throttled or oversized updates that are reported as unknown.
func TestThrottled(t *testing.T) {
	st := &teststore.Store{}
	o := operator(t, st, "trial", "ana")
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
