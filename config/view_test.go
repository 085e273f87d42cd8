package config

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/callerkey"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

func putEvent(rev topo.Revision, key, value string) store.Event {
	return store.Event{Object: store.Object{Key: key, Value: []byte(value), Version: uint64(rev), Revision: rev, Writer: "ana/1"}}
}

func deleteEvent(rev topo.Revision, key string) store.Event {
	return store.Event{Object: store.Object{Key: key, Revision: rev}, Deleted: true}
}

func newKey(t testing.TB, seed uint8) callerkey.Key {
	k, err := callerkey.Issue(rand.NewChaCha8([32]byte{seed}), "trial")
	require.NoError(t, err)
	return k
}

func customerJSON(t testing.TB, id topo.CustomerID, rate float64, keys ...callerkey.Key) string {
	c := &Customer{ID: id, Rate: rate, Burst: rate, Weight: 1, Services: []topo.ServiceName{"ledger"}}
	for _, k := range keys {
		c.Keys = append(c.Keys, callerkey.Record{ID: k.ID(), Hash: k.Hash()})
	}
	text, err := Encode(c)
	require.NoError(t, err)
	return string(text)
}

func applyDelta(t testing.TB, v *View, from, to topo.Revision, events ...store.Event) *View {
	next, err := v.Apply(Delta{From: from, To: to, Events: events})
	require.NoError(t, err)
	return next
}

// baseView returns a view at revision 10 with a document and a customer. The
// delta behind it also has objects that are not part of the environment's
// configuration.
func baseView(t testing.TB) *View {
	return applyDelta(t, NewView("trial"), 0, 10,
		putEvent(3, DocumentKey("trial"), validDocument), putEvent(4, CustomerKey("trial", "c1"), customerJSON(t, "c1", 5, newKey(t, 1))),
		putEvent(5, AuditPrefix("trial")+"x", "ignored"), putEvent(6, DocumentKey("production"), "ignored"))
}

// Guards against deltas that are applied out of order, applied twice, or applied
// although earlier changes are missing.
func TestRevisionsOnlyRise(t *testing.T) {
	v := baseView(t)
	require.Equal(t, topo.Revision(10), v.Revision())
	_, err := v.Apply(Delta{From: 0, To: 9})
	var older *OlderRevisionError
	require.ErrorAs(t, err, &older)
	require.Equal(t, OlderRevisionError{Have: 10, Offered: 9}, *older)
	_, err = v.Apply(Delta{From: 11, To: 12})
	var gap *GapError
	require.ErrorAs(t, err, &gap)
	require.Equal(t, GapError{Have: 10, From: 11}, *gap)
	same, err := v.Apply(Delta{From: 10, To: 10})
	require.NoError(t, err)
	require.Same(t, v, same)
	_, err = NewView("trial").Apply(Delta{From: 3, To: 4})
	require.ErrorAs(t, err, &gap)

	// The overlapping part of this delta holds an older version of the customer.
	next := applyDelta(t, v, 2, 12, putEvent(4, CustomerKey("trial", "c1"), customerJSON(t, "c1", 1)), putEvent(12, CustomerKey("trial", "c2"), customerJSON(t, "c2", 2)))
	require.Equal(t, 5.0, next.Customer("c1").Rate)
	require.Equal(t, []topo.CustomerID{"c1", "c2"}, next.Customers())
	require.Nil(t, v.Customer("c2"), "the old view does not change")
	require.Len(t, next.Objects(), 3)
	for _, o := range next.Objects() {
		require.True(t, IsConfigObject("trial", o.Key))
	}
	require.False(t, IsConfigObject("trial", ProofKey("trial", 1)))
	require.False(t, IsConfigObject("trial", DocumentKey("production")))
}

// Guards against a full copy that keeps objects of the previous view although
// they have been deleted since.
func TestFullCopyReplaces(t *testing.T) {
	v := baseView(t)
	l := store.Listing{Revision: 20, Objects: []store.Object{putEvent(3, DocumentKey("trial"), validDocument).Object}}
	next, err := v.Apply(FullCopy(l))
	require.NoError(t, err)
	require.Nil(t, next.Customer("c1"))
	require.Zero(t, next.Keys().Len())
	require.NotNil(t, next.Service("ledger"))
}

// Guards against an invalid object that blocks changes of other objects, such as
// the withdrawal of a caller key, and against invalid objects that do not fail
// safe.
func TestUnusableObjects(t *testing.T) {
	k := newKey(t, 1)
	v := baseView(t)
	require.Equal(t, topo.CustomerID("c1"), v.CustomerByKey(k.ID()).ID)
	v = applyDelta(t, v, 10, 20,
		putEvent(11, DocumentKey("trial"), "[limits]\nx = 1\n"),
		putEvent(12, CustomerKey("trial", "c1"), `{"id":"c1","rate":5,"burst":1,"weight":1}`),
		putEvent(13, DataCentreKey("trial", "dc-a"), "garbage"),
		putEvent(14, DrainingKey("trial", "s1"), "garbage"))
	require.Nil(t, v.CustomerByKey(k.ID()), "the customer is refused")
	require.False(t, v.DataCentreInService("dc-a"))
	require.NotNil(t, v.Draining("s1"))
	require.NotNil(t, v.Route("GET", "/ledger/x"), "the last valid document stays in force")
	version, writer := v.DocumentVersion()
	require.Equal(t, []any{uint64(3), "ana/1"}, []any{version, writer})
	var keys []string
	for _, p := range v.Problems() {
		keys = append(keys, strings.TrimPrefix(p.Key, EnvPrefix("trial"))+": "+p.Effect)
	}
	require.Equal(t, []string{"customer/c1: the customer is refused", "datacentre/dc-a: the data centre is out of service", "document: the last usable version stays in force", "draining/s1: the server is draining"}, keys)

	// New local overrides do not hide the problem of the invalid document.
	v = applyDelta(t, v, 20, 21, putEvent(21, LocalKey("trial"), ""))
	require.Len(t, v.Problems(), 4)
	v = applyDelta(t, v, 21, 22, putEvent(22, LocalKey("trial"), "[[service]]\nname = \"nope\"\n"), putEvent(22, DocumentKey("trial"), validDocument))
	require.ErrorContains(t, v.Problems()[2].Err, `the document has no service "nope"`)
	v = applyDelta(t, v, 22, 30, deleteEvent(23, LocalKey("trial")), putEvent(24, CustomerKey("trial", "c1"), customerJSON(t, "c1", 5, k)), deleteEvent(25, DataCentreKey("trial", "dc-a")), deleteEvent(26, DrainingKey("trial", "s1")))
	require.Empty(t, v.Problems())
	version, _ = v.DocumentVersion()
	require.Equal(t, uint64(22), version)
	require.True(t, v.AcceptsNewWork("s1"))
	require.False(t, v.AcceptsNewWork("s9"))
}

// Guards against requests that are attributed to the wrong customer because two
// customers have the same caller key.
func TestSharedCallerKey(t *testing.T) {
	k := newKey(t, 1)
	v := applyDelta(t, baseView(t), 10, 11, putEvent(11, CustomerKey("trial", "c2"), customerJSON(t, "c2", 5, k)))
	require.Nil(t, v.CustomerByKey(k.ID()))
	require.Len(t, v.Problems(), 2)
	v = applyDelta(t, v, 11, 12, deleteEvent(12, CustomerKey("trial", "c2")))
	require.Equal(t, topo.CustomerID("c1"), v.CustomerByKey(k.ID()).ID)
	require.Empty(t, v.Problems())
	v = applyDelta(t, v, 12, 13, putEvent(13, CustomerKey("trial", "c3"), customerJSON(t, "c4", 5)))
	require.Nil(t, v.Customer("c3"))
	require.Nil(t, v.Customer("c4"))
}

// Guards against customer objects with values that the rate ledger or the fair
// queues do not support.
func TestCustomerValidation(t *testing.T) {
	k := callerkey.Record{ID: newKey(t, 1).ID(), Hash: newKey(t, 1).Hash()}
	for want, change := range map[string]func(*Customer){
		`customer id "X"`:                               func(c *Customer) { c.ID = "X" },
		"rate 0 (accepted: above 0":                     func(c *Customer) { c.Rate = 0 },
		"burst 9.5 (accepted: at least rate x 1s = 10)": func(c *Customer) { c.Burst = 9.5 },
		"weight 0": func(c *Customer) { c.Weight = 0 },
		`service "ledger" (malformed or listed twice)`:    func(c *Customer) { c.Services = append(c.Services, "ledger") },
		"caller key " + k.ID.String() + " (listed twice)": func(c *Customer) { c.Keys = []callerkey.Record{k, k} },
		"id does not match its hash":                      func(c *Customer) { c.Keys = []callerkey.Record{{ID: k.ID}} },
		"257 caller keys (accepted: at most 256)":         func(c *Customer) { c.Keys = make([]callerkey.Record, 257) },
	} {
		c := &Customer{ID: "c", Rate: 10, Burst: 10, Weight: 1, Services: []topo.ServiceName{"ledger"}}
		require.NoError(t, c.Validate())
		change(c)
		_, err := Encode(c)
		require.ErrorContains(t, err, want)
	}
	c, err := DecodeCustomer([]byte(`{"id":"c","rate":1,"burst":1,"weight":1,"from_a_newer_version":1}`))
	require.NoError(t, err)
	require.True(t, c.May(&Route{OpenToAll: true, Service: "x"}))
	require.False(t, c.May(&Route{Service: "x"}))
}

// linearMatch is a reference implementation of routeTable.match: it checks all
// routes for the longest prefix that accepts the method.
func linearMatch(routes []Route, method, path string) *Route {
	var best *Route
	for i := range routes {
		r := &routes[i]
		matches := path == r.Path || strings.HasPrefix(path, strings.TrimSuffix(r.Path, "/")+"/")
		if strings.HasSuffix(r.Path, "/") {
			matches = strings.HasPrefix(path, r.Path)
		}
		if matches && routeForMethod([]*Route{r}, method) != nil && (best == nil || len(r.Path) > len(best.Path)) {
			best = r
		}
	}
	return best
}

// Guards against a look-up whose result differs from the reference
// implementation on random routes, and against allocations per request.
func TestRouteLookup(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	word := func() string {
		var b strings.Builder
		for range 1 + r.IntN(4) {
			b.WriteString([]string{"/", "/a", "/b", "/ab", "/a/"}[r.IntN(5)])
		}
		return strings.ReplaceAll(b.String(), "//", "/")
	}
	for range 2000 {
		var routes []Route
		for i := range r.IntN(6) {
			routes = append(routes, Route{Path: word(), Methods: []string{[]string{"GET", "POST"}[r.IntN(2)]}, MaxBody: ByteSize(i)})
		}
		table := newRouteTable(routes)
		for range 10 {
			method, path := []string{"GET", "POST"}[r.IntN(2)], word()
			require.Equal(t, linearMatch(routes, method, path), table.match(method, path), "%v %s %s", routes, method, path)
		}
	}
	v := baseView(t)
	require.Zero(t, testing.AllocsPerRun(100, func() { v.Route("GET", "/ledger/some/longer/path") }))
}

// Guards against a key that the backend server could read differently: from a
// repeated header or parameter, or from an escaped path.
func TestRouteKey(t *testing.T) {
	header := http.Header{"Order-Id": {"o1"}, "Twice": {"a", "b"}}
	for _, c := range []struct {
		route Route
		path  string
		query string
		want  string
		ok    bool
	}{
		{Route{KeySegment: 2}, "/ledger/k%2F1/x", "", "k/1", true},
		{Route{KeySegment: 2}, "/ledger/k", "", "k", true},
		{Route{KeySegment: 2}, "/ledger/", "", "", false},
		{Route{KeySegment: 2}, "/ledger", "", "", false},
		{Route{KeySegment: 1}, "/%zz", "", "", false},
		{Route{KeyQuery: "c"}, "/", "c=x%20y&d=1", "x y", true},
		{Route{KeyQuery: "c"}, "/", "c=1&c=2", "", false},
		{Route{KeyQuery: "c"}, "/", "c=%zz", "", false},
		{Route{KeyHeader: "order-id"}, "/", "", "o1", true},
		{Route{KeyHeader: "Twice"}, "/", "", "", false},
		{Route{KeyHeader: "Missing"}, "/", "", "", false},
		{Route{}, "/", "", "", true},
	} {
		key, ok := c.route.Key(c.path, c.query, header)
		require.Equal(t, []any{c.want, c.ok}, []any{key, ok}, "%+v %s", c.route, c.path)
	}
}

func BenchmarkRoute(b *testing.B) {
	doc := readExample(b, "sutokatha.toml")
	table := newRouteTable(doc.Routes)
	b.ReportAllocs()
	for b.Loop() {
		if table.match("POST", "/orders/42/items/7") == nil {
			b.Fatal("no route")
		}
	}
}

// BenchmarkApplyCustomer measures a delta that changes one of 1,000 customers.
func BenchmarkApplyCustomer(b *testing.B) {
	events := []store.Event{putEvent(1, DocumentKey("trial"), validDocument)}
	for i := range 1000 {
		id := topo.CustomerID(fmt.Sprintf("c%d", i))
		k, err := callerkey.Issue(rand.NewChaCha8([32]byte{byte(i), byte(i >> 8)}), "trial")
		require.NoError(b, err)
		events = append(events, putEvent(1, CustomerKey("trial", id), customerJSON(b, id, 5, k)))
	}
	v := applyDelta(b, NewView("trial"), 0, 1, events...)
	d := Delta{From: 1, To: 2, Events: []store.Event{putEvent(2, CustomerKey("trial", "c1"), customerJSON(b, "c1", 6))}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := v.Apply(d); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a view that changes while a reader uses it and deltas are
// applied. The race detector is needed to find unsynchronised accesses.
func TestViewIsImmutable(t *testing.T) {
	v, id := baseView(t), newKey(t, 1).ID()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 200 {
			v.Customers()
			v.CustomerByKey(id)
			v.Route("GET", "/ledger/x")
			v.Problems()
			_ = *v.Server("s1")
		}
	}()
	next := v
	for i := topo.Revision(11); i < 100; i++ {
		next = applyDelta(t, next, i-1, i, putEvent(i, CustomerKey("trial", "c1"), customerJSON(t, "c1", float64(i))), putEvent(i, LocalKey("trial"), fmt.Sprintf("# %d", i)))
	}
	<-done
	require.Equal(t, 5.0, v.Customer("c1").Rate)
	require.Equal(t, topo.Revision(10), v.Revision())
}
