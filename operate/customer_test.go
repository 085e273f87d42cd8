package operate

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/callerkey"
	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/internal/teststore"
	"godwitlock.example/godwitlock/topo"
)

// Guards against changing customers and keys based on an outdated version, and
// against accepting a withdrawn key.
func TestCustomersAndKeys(t *testing.T) {
	st := &teststore.Store{}
	o := newOperator(t, st, "trial", "ana")
	mustSucceed(t)(o.CreateCustomer(ctx, config.Customer{ID: "c1", Rate: 10, Burst: 20, Services: []topo.ServiceName{"ledger"}}, ""))
	_, err := o.CreateCustomer(ctx, config.Customer{ID: "c1", Rate: 10, Burst: 20}, "")
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	_, err = o.CreateCustomer(ctx, config.Customer{ID: "c2", Rate: 10, Burst: 9}, "")
	require.ErrorContains(t, err, "burst 9 (accepted: at least rate x 1s = 10)")
	mustSucceed(t)(o.SetRate(ctx, "c1", 30, 30, 0, 1, ""))
	_, err = o.SetRate(ctx, "c1", 40, 40, 0, 1, "")
	require.ErrorAs(t, err, &conflict)
	_, err = o.SetRate(ctx, "c1", 30, 30, 1, AnyBase, "")
	require.ErrorIs(t, err, ErrNoChange)
	_, err = o.SetRate(ctx, "c9", 30, 30, 1, AnyBase, "")
	require.ErrorIs(t, err, ErrUnknownName)

	mustSucceed(t)(o.Apply(ctx, "f", []byte(doc), 0, ""))
	_, err = o.SetServices(ctx, "c1", []topo.ServiceName{"ledgr"}, AnyBase, "")
	require.ErrorContains(t, err, `no service is named "ledgr" (did you mean "ledger"?)`)
	_, err = o.SetServices(ctx, "c1", []topo.ServiceName{"ledger"}, AnyBase, "")
	require.ErrorIs(t, err, ErrNoChange)
	mustSucceed(t)(o.SetServices(ctx, "c1", nil, AnyBase, ""))
	_, err = o.CreateCustomer(ctx, config.Customer{ID: "c2", Rate: 10, Burst: 10, Services: []topo.ServiceName{"x"}}, "")
	require.ErrorIs(t, err, ErrUnknownName)

	old, _, err := o.IssueCallerKey(ctx, "c1", KeyOptions{NotAfter: t0.Add(time.Hour), Note: "old"}, "")
	require.NoError(t, err)
	next, r, err := o.IssueCallerKey(ctx, "c1", KeyOptions{}, "rotation")
	require.NoError(t, err)
	require.Equal(t, "caller key "+next.ID().String(), auditEntry(t, o, r.AuditID).Detail)
	v, err := o.View(ctx)
	require.NoError(t, err)
	for _, k := range []callerkey.Key{old, next} {
		who, err := v.Keys().Verify(k.Reveal(), t0)
		require.NoError(t, err)
		require.Equal(t, topo.CustomerID("c1"), who.Customer)
	}
	mustSucceed(t)(o.WithdrawCallerKey(ctx, "c1", old.ID(), "leaked"))
	_, err = o.WithdrawCallerKey(ctx, "c1", old.ID(), "again")
	require.ErrorContains(t, err, "was withdrawn by ana")
	_, err = o.WithdrawCallerKey(ctx, "c1", callerkey.ID{}, "")
	require.ErrorIs(t, err, ErrUnknownName)
	v, err = o.View(ctx)
	require.NoError(t, err)
	_, err = v.Keys().Verify(old.Reveal(), t0)
	require.Equal(t, callerkey.ErrWithdrawn, err)
	keys, err := o.ListCallerKeys(ctx, "c1")
	require.NoError(t, err)
	require.Len(t, keys, 2)

	_, _, err = o.IssueCallerKey(ctx, "c1", KeyOptions{NotAfter: t0}, "")
	require.ErrorIs(t, err, ErrInvalid)
	o.Now = func() time.Time { return t0.Add(KeyRetention + time.Second) }
	_, _, err = o.IssueCallerKey(ctx, "c1", KeyOptions{}, "")
	require.NoError(t, err)
	keys, err = o.ListCallerKeys(ctx, "c1")
	require.NoError(t, err)
	require.Len(t, keys, 2, "the key past its retention must be removed")

	loseResponse(st, config.CustomerKey("trial", "c1"), false, nil)
	key, _, err := o.IssueCallerKey(ctx, "c1", KeyOptions{}, "")
	var unresolved *UnresolvedError
	require.ErrorAs(t, err, &unresolved)
	require.Zero(t, key, "a key with an unknown outcome must not be returned")
	mustSucceed(t)(o.RemoveCustomer(ctx, "c1", AnyBase, ""))
	_, err = o.RemoveCustomer(ctx, "c1", AnyBase, "")
	require.ErrorIs(t, err, ErrUnknownName)

	entries, err := st.List(ctx, "")
	require.NoError(t, err)
	for _, e := range entries.Objects {
		for _, k := range []callerkey.Key{old, next} {
			require.NotContains(t, string(e.Value), k.Reveal()[len(k.Reveal())-40:len(k.Reveal())-10], "the store must not contain the secret of a key")
		}
	}
}

// Guards against an error message that lists thousands of names.
func TestUnknownNameErrorIsBounded(t *testing.T) {
	var known []string
	for i := range 45 {
		known = append(known, "c"+strconv.Itoa(i+100))
	}
	require.ErrorContains(t, unknownNameError("customer", "nobody", known), "c100, c101")
	require.ErrorContains(t, unknownNameError("customer", "nobody", known), "c139 and 5 more)")
	require.ErrorContains(t, unknownNameError("customer", "nobody", nil), "(known: none)")
}

// Guards against taking an unknown data centre or the last one out of service,
// and against draining an unknown server.
func TestDataCentreAndDrain(t *testing.T) {
	o := newOperator(t, &teststore.Store{}, "trial", "ana")
	mustSucceed(t)(o.Apply(ctx, "f", []byte(doc), 0, ""))
	_, err := o.SetDataCentreOut(ctx, "dc-x", true, false, "")
	require.ErrorContains(t, err, `no data centre is named "dc-x" (did you mean "dc-a"?)`)
	_, err = o.SetDataCentreOut(ctx, "dc-a", false, false, "")
	require.ErrorIs(t, err, ErrNoChange)
	mustSucceed(t)(o.SetDataCentreOut(ctx, "dc-a", true, false, "power"))
	_, err = o.SetDataCentreOut(ctx, "dc-a", true, false, "")
	require.ErrorContains(t, err, "dc-a is already out, by ana since 2026-03-01")
	_, err = o.SetDataCentreOut(ctx, "dc-b", true, false, "")
	require.ErrorIs(t, err, ErrUnsafe)
	r := mustSucceed(t)(o.SetDataCentreOut(ctx, "dc-b", true, true, "all out"))
	require.True(t, auditEntry(t, o, r.AuditID).Forced)
	mustSucceed(t)(o.SetDataCentreOut(ctx, "dc-a", false, false, ""))
	v, err := o.View(ctx)
	require.NoError(t, err)
	require.Equal(t, []bool{true, false}, []bool{v.DataCentreInService("dc-a"), v.DataCentreInService("dc-b")})

	_, err = o.DrainServer(ctx, "s9", true, "")
	require.ErrorIs(t, err, ErrUnknownName)
	mustSucceed(t)(o.DrainServer(ctx, "s1", true, "disk"))
	_, err = o.DrainServer(ctx, "s1", true, "")
	require.ErrorIs(t, err, ErrNoChange)
	v, err = o.View(ctx)
	require.NoError(t, err)
	require.Equal(t, "disk", v.Draining("s1").Reason)
	require.False(t, v.AcceptsNewWork("s1"))
}
