package operate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/audit"
	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/internal/teststore"
	"godwitlock.example/godwitlock/store"
)

var (
	ctx = context.Background()
	t0  = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
)

const (
	doc = `
data_centre = [{ name = "dc-a" }, { name = "dc-b" }]
[[service]]
name = "ledger"
kind = "keyed"
server = [
  { id = "s1", data_centre = "dc-a", addr = "127.0.0.1:21001", slots = 3, max_conns = 16 },
  { id = "s2", data_centre = "dc-b", addr = "127.0.0.1:21002", slots = 3, max_conns = 16 },
]
`
	doc2 = doc + "# two\n"
)

func newOperator(t testing.TB, st store.Store, env, who string) *Operator {
	seed := [32]byte{}
	copy(seed[:], who+env)
	o, err := New(Settings{Store: st, Env: env, OperatorName: who, Now: func() time.Time { return t0 }, Random: rand.NewChaCha8(seed), Pause: func(context.Context, time.Duration) {}})
	require.NoError(t, err)
	return o
}

// auditSummaries returns "who action result from->to" of all audit entries.
func auditSummaries(t testing.TB, o *Operator) []string {
	entries, err := o.History(ctx, audit.Filter{})
	require.NoError(t, err)
	var out []string
	for _, e := range entries {
		out = append(out, fmt.Sprintf("%s %s %s %d->%d", e.Who, e.Action, e.Result, e.From, e.To))
	}
	return out
}

func auditEntry(t testing.TB, o *Operator, id string) audit.Entry {
	entries, err := o.History(ctx, audit.Filter{})
	require.NoError(t, err)
	for _, e := range entries {
		if e.ID == id {
			return e
		}
	}
	t.Fatalf("no audit entry %s", id)
	return audit.Entry{}
}

func mustSucceed(t testing.TB) func(Receipt, error) Receipt {
	return func(r Receipt, err error) Receipt {
		t.Helper()
		require.NoError(t, err)
		return r
	}
}

func storedDocument(t testing.TB, o *Operator) store.Object {
	obj, err := o.Store.Get(ctx, config.DocumentKey(o.Env))
	require.NoError(t, err)
	return obj
}

// Guards against a document that is stored without validation, without a check of
// its base or without an audit entry.
func TestApply(t *testing.T) {
	o := newOperator(t, &teststore.Store{}, "trial", "ana")
	r := mustSucceed(t)(o.Apply(ctx, "f", []byte(doc), 0, "first"))
	require.Equal(t, []uint64{0, 1}, []uint64{r.From, r.To})
	require.True(t, strings.HasPrefix(r.Writer, "ana/"))
	e := auditEntry(t, o, r.AuditID)
	require.Equal(t, []any{audit.Done, "first", "sha256 " + Digest([]byte(doc)), uint64(1)}, []any{e.Result, e.Reason, e.Detail, e.To})

	_, err := o.Apply(ctx, "f", []byte(doc), 1, "")
	require.ErrorIs(t, err, ErrNoChange)
	r, err = o.Apply(ctx, "f.toml", []byte("[limit]\n"), 1, "")
	require.ErrorIs(t, err, ErrInvalid)
	require.ErrorContains(t, err, `f.toml:1:2: limit: unknown field (did you mean "limits"?)`)
	var problems config.Problems
	require.ErrorAs(t, err, &problems, "the command line prints the problems as JSON")
	require.Equal(t, audit.Refused, auditEntry(t, o, r.AuditID).Result)
	r, err = o.Apply(ctx, "f", []byte(doc2), 7, "")
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, []any{uint64(7), uint64(1)}, []any{conflict.Base, conflict.Version})
	require.ErrorContains(t, err, "is at version 1, written by ana/")
	require.Equal(t, audit.Lost, auditEntry(t, o, r.AuditID).Result)

	changes, base, err := o.Diff(ctx, "f", []byte(strings.Replace(doc, "slots = 3", "slots = 4", 1)))
	require.NoError(t, err)
	require.Equal(t, uint64(1), base)
	require.Equal(t, "server s1 changed: slots: 3 -> 4\n", changes.String())
}

// Guards against an environment's own part and a document that are valid
// separately but inconsistent with each other.
func TestApplyLocal(t *testing.T) {
	o := newOperator(t, &teststore.Store{}, "trial", "ana")
	mustSucceed(t)(o.Apply(ctx, "f", []byte(doc), 0, ""))
	_, err := o.ApplyLocal(ctx, "l", []byte("[[service]]\nname = \"ledgr\"\n"), 0, "")
	require.ErrorContains(t, err, `the document has no service "ledgr" (did you mean "ledger"?)`)
	local := "data_centre = [{ name = \"t\" }]\n[[service]]\nname = \"ledger\"\nserver = [{ id = \"t1\", data_centre = \"t\", addr = \"127.0.0.1:1\", slots = 1, max_conns = 1 }]\n"
	mustSucceed(t)(o.ApplyLocal(ctx, "l", []byte(local), 0, ""))
	v, err := o.View(ctx)
	require.NoError(t, err)
	require.NotNil(t, v.Server("t1"))
	_, err = o.Apply(ctx, "f", []byte(strings.Replace(doc, `name = "ledger"`, `name = "other"`, 1)), 1, "")
	require.ErrorContains(t, err, `the document has no service "ledger"`)
}

// Guards against a race in which two operators' updates both report success, or
// in which the error of the loser does not name the winner.
func TestRacingOperators(t *testing.T) {
	st := &teststore.Store{}
	mustSucceed(t)(newOperator(t, st, "trial", "first").Apply(ctx, "f", []byte(doc), 0, ""))
	const n = 8
	var wg sync.WaitGroup
	errs := make([]error, n)
	for i := range n {
		o := newOperator(t, st, "trial", fmt.Sprintf("op%d", i))
		wg.Go(func() { _, errs[i] = o.Apply(ctx, "f", []byte(doc+fmt.Sprintf("# %d\n", i)), 1, "") })
	}
	wg.Wait()
	o := newOperator(t, st, "trial", "reader")
	final := storedDocument(t, o)
	require.Equal(t, uint64(2), final.Version)
	winners := 0
	for i, err := range errs {
		if err == nil {
			winners++
			require.True(t, strings.HasPrefix(final.Writer, fmt.Sprintf("op%d/", i)))
			continue
		}
		var conflict *ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, []any{final.Writer, uint64(2)}, []any{conflict.Writer, conflict.Version})
	}
	require.Equal(t, 1, winners)
	results := map[audit.Result]int{}
	entries, err := o.History(ctx, audit.Filter{})
	require.NoError(t, err)
	for _, e := range entries {
		results[e.Result]++
	}
	require.Equal(t, map[audit.Result]int{audit.Done: 2, audit.Lost: n - 1}, results)
}

// Guards against accepting settings without a store, with an invalid environment
// or with an invalid operator name.
func TestNewRejectsInvalidSettings(t *testing.T) {
	for want, s := range map[string]Settings{
		"without store":   {},
		`environment "E"`: {Store: &teststore.Store{}, Random: rand.NewChaCha8([32]byte{}), Env: "E", OperatorName: "ana"},
		`operator "a/b"`:  {Store: &teststore.Store{}, Random: rand.NewChaCha8([32]byte{}), Env: "e", OperatorName: "a/b"},
	} {
		_, err := New(s)
		require.ErrorContains(t, err, want)
	}
}
