package operate

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/internal/teststore"
	"godwitlock.example/godwitlock/store"
)

// Guards against promoting a document other than the proven one, whatever changes
// between proof and promotion.
func TestProvePromoteRollback(t *testing.T) {
	st := &teststore.Store{}
	trial, prod := newOperator(t, st, "trial", "ana"), newOperator(t, st, "production", "ben")
	mustSucceed(t)(trial.Apply(ctx, "f", []byte(doc), 0, ""))
	promotion := Promotion{From: "trial", Version: 1, Base: 0, Reason: "release"}
	_, err := prod.Promote(ctx, promotion)
	require.ErrorIs(t, err, ErrNotProven)
	_, err = trial.Prove(ctx, 1, true, "")
	require.ErrorIs(t, err, ErrInvalid)
	_, err = trial.Prove(ctx, 2, true, "e")
	require.ErrorContains(t, err, "is at version 1")
	mustSucceed(t)(trial.Prove(ctx, 1, false, "load run: 2 errors"))
	_, err = prod.Promote(ctx, promotion)
	require.ErrorContains(t, err, "the proof of trial version 1 by ana failed")
	mustSucceed(t)(trial.Prove(ctx, 1, true, "load run: no errors"))

	// The store is unavailable between proof and promotion.
	st.Before = func(string, string) error { return store.ErrUnavailable }
	_, err = prod.Promote(ctx, promotion)
	require.ErrorIs(t, err, store.ErrUnavailable)
	st.Before = nil
	_, err = st.Get(ctx, config.DocumentKey("production"))
	require.ErrorIs(t, err, store.ErrNotFound)
	r := mustSucceed(t)(prod.Promote(ctx, promotion))
	require.Equal(t, doc, string(storedDocument(t, prod).Value))
	require.Contains(t, auditEntry(t, prod, r.AuditID).Detail, "from trial version 1, sha256 "+Digest([]byte(doc))+", proven by ana")
	_, err = prod.Audit.Flush(ctx, t0)
	require.NoError(t, err)
	require.ElementsMatch(t, []string{"ben promote refused 0->0", "ben promote refused 0->0", "ben promote refused 0->0", "ben promote done 0->1"}, auditSummaries(t, prod))

	// The document of trial has changed since the proof.
	mustSucceed(t)(trial.Apply(ctx, "f", []byte(doc2), 1, ""))
	_, err = prod.Promote(ctx, Promotion{From: "trial", Version: 1, Base: 1})
	require.ErrorContains(t, err, "env/trial/document is at version 2, written by ana/")
	// The document of production has changed since the operator read it.
	mustSucceed(t)(trial.Prove(ctx, 2, true, "e"))
	_, err = prod.Promote(ctx, Promotion{From: "trial", Version: 2, Base: 0})
	require.ErrorContains(t, err, "env/production/document is at version 1, written by ben/")
	// The proof has the digest of another document.
	proof, err := st.Get(ctx, config.ProofKey("trial", 2))
	require.NoError(t, err)
	_, err = st.Put(ctx, proof.Key, []byte(strings.Replace(string(proof.Value), Digest([]byte(doc2)), Digest([]byte(doc)), 1)), proof.Version, "x/1")
	require.NoError(t, err)
	_, err = prod.Promote(ctx, Promotion{From: "trial", Version: 2, Base: 1})
	require.ErrorContains(t, err, "is of another document")
	_, err = prod.Promote(ctx, Promotion{From: "trial", Version: 2, Base: 1, Force: true})
	require.ErrorContains(t, err, "needs a reason")
	r = mustSucceed(t)(prod.Promote(ctx, Promotion{From: "trial", Version: 2, Base: 1, Force: true, Reason: "urgent"}))
	e := auditEntry(t, prod, r.AuditID)
	require.True(t, e.Forced)
	require.Contains(t, e.Detail, "not proven, forced")

	r = mustSucceed(t)(prod.Rollback(ctx, 1, 2, "errors"))
	require.Equal(t, []uint64{2, 3}, []uint64{r.From, r.To})
	require.Equal(t, doc, string(storedDocument(t, prod).Value))
	_, err = prod.Rollback(ctx, 1, 3, "")
	require.ErrorIs(t, err, ErrNoChange)
	_, err = prod.Rollback(ctx, 9, 3, "")
	require.ErrorIs(t, err, ErrUnknownName)
	mustSucceed(t)(prod.Rollback(ctx, 2, 3, "back again"))
	for _, p := range []Promotion{{From: "production"}, {From: "T"}, {From: "trial", Version: AnyBase}} {
		_, err = prod.Promote(ctx, p)
		require.ErrorIs(t, err, ErrInvalid)
	}
}

// Guards against an unbounded number of copies of replaced documents, and against
// a missing copy after a store failure during a replacement.
func TestHistoryIsBoundedAndComplete(t *testing.T) {
	st := &teststore.Store{}
	o := newOperator(t, st, "trial", "ana")
	for i := range uint64(MaxHistoryVersions + 10) {
		if i%7 == 3 { // the copy is written, but the response is lost
			loseResponse(st, config.HistoryKey("trial", i), true, nil)
			_, err := o.Apply(ctx, "f", []byte(doc+fmt.Sprintf("# %d\n", i)), i, "")
			require.ErrorIs(t, err, store.ErrUnavailable)
			require.False(t, errors.As(err, new(*UnresolvedError)), "the document itself must not have been written")
		}
		mustSucceed(t)(o.Apply(ctx, "f", []byte(doc+fmt.Sprintf("# %d\n", i)), i, ""))
	}
	l, err := st.List(ctx, config.HistoryPrefix("trial"))
	require.NoError(t, err)
	require.Len(t, l.Objects, MaxHistoryVersions)
	for i, obj := range l.Objects {
		version := uint64(i + 10)
		require.Equal(t, config.HistoryKey("trial", version), obj.Key)
		require.Equal(t, doc+fmt.Sprintf("# %d\n", version-1), string(obj.Value))
	}
}
