package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/egress"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/ingress"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// fakeSlots grants a slot when allowGrant is closed, or at once when allowGrant
// is nil. It closes acquireCalled, if set, at the call of Acquire, and calls onGrant,
// if set, before it grants a slot.
type fakeSlots struct {
	allowGrant    chan struct{}
	acquireCalled chan struct{}
	onGrant       func()
	// failures counts the slots whose server failed.
	failures atomic.Int32
}

type fakeSlot struct{ slots *fakeSlots }

func (s fakeSlot) Finish(r permit.Result) {
	if r.Failed {
		s.slots.failures.Add(1)
	}
}

func (f *fakeSlots) Acquire(ctx context.Context, _ *view.Snapshot, pool string, _ permit.Request) (Slot, permit.Decision) {
	if f.acquireCalled != nil {
		close(f.acquireCalled)
	}
	if f.allowGrant != nil {
		select {
		case <-f.allowGrant:
		case <-ctx.Done():
			return nil, permit.Decision{Verdict: permit.Refused}
		}
	}
	if f.onGrant != nil {
		f.onGrant()
	}
	return fakeSlot{f}, permit.Decision{Verdict: permit.Granted, Server: "s1"}
}

// fakeRates grants all tokens. It calls onTake, if set, before it grants one.
type fakeRates struct {
	onTake   func()
	taken    atomic.Int32
	returned int
	// returnedAge is the age of the token that was returned last.
	returnedAge time.Duration
}

func (f *fakeRates) Take(context.Context, topo.CustomerID, time.Time) errkind.Kind {
	f.taken.Add(1)
	if f.onTake != nil {
		f.onTake()
	}
	return errkind.Unset
}

func (f *fakeRates) Return(_ topo.CustomerID, age time.Duration) {
	f.returned++
	f.returnedAge = age
}

type fakeStats struct{}

func (fakeStats) Arrived(topo.ServiceName, keyrange.Key)       {}
func (fakeStats) Completed(topo.ServerID, time.Duration)       {}
func (fakeStats) TurnedAway(topo.ServerID, bool)               {}
func (fakeStats) Answered(route, kind string, d time.Duration) {}

// testForwarder is a Forwarder in front of one server.
type testForwarder struct {
	*Forwarder
	view  *view.View
	slots *fakeSlots
	rates *fakeRates
	fresh bool
	// received holds the requests that reached the server.
	received chan *http.Request
}

// newTestForwarder returns a Forwarder whose server writes the response that
// reply returns for a request id. An empty response closes the connection.
func newTestForwarder(t *testing.T, reply func(id string) string) *testForwarder {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	tf := &testForwarder{view: view.New(), slots: &fakeSlots{}, rates: &fakeRates{}, fresh: true, received: make(chan *http.Request, 16)}
	go func() {
		for {
			nc, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				br := bufio.NewReader(nc)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					tf.received <- r
					text := reply(r.Header.Get("Request-Id"))
					if text == "" {
						return
					}
					_, _ = io.WriteString(nc, text)
				}
			}()
		}
	}()
	m, err := routemap.Compile(routemap.Config{
		Version: 1,
		Routes: []routemap.Route{
			{Name: "w", Host: "h", PathPrefix: "/w/", Kind: routemap.NonIdempotent, Timeout: 2 * time.Second,
				Objective: time.Second, Attempts: 3, Destinations: []routemap.Destination{{Service: "s", Weight: 1}}},
			{Name: "r", Host: "h", PathPrefix: "/r/", Kind: routemap.Idempotent, Timeout: 2 * time.Second,
				Objective: time.Second, Attempts: 3, Destinations: []routemap.Destination{{Service: "s", Weight: 1}}},
		},
		Services:  []routemap.Service{{Name: "s", Keyed: true}},
		Customers: []routemap.Customer{{ID: "c", Keys: []string{"k"}, Rate: 10, Burst: 10}},
	})
	require.NoError(t, err)
	tf.view.SetConfig(m, nil, 1)
	tf.view.Directory(func(d *directory.Directory) {
		d.Put(directory.Server{ID: "s1", Service: "s", Addr: lis.Addr().String(), Slots: 1, State: directory.Ready, Rev: 1})
	})
	tf.setTable(keyrange.Owned, 1)
	tf.Forwarder = New(Config{
		View: tf.view, Slots: tf.slots, RateLimiter: tf.rates, Stats: fakeStats{}, Log: declog.New(io.Discard, "vm"),
		Fresh: func() bool { return tf.fresh }, Budgets: NewBudgets(0.5, func() float64 { return 10 }),
		Egress: egress.New(egress.Headers{
			RequestID: "Request-Id", DeadlineMS: "Deadline-Ms", Customer: "Customer", ExpectServer: "Expect-Server",
			NotRun: "Not-Run", Seal: "Seal",
		}),
	})
	return tf
}

// setTable publishes a table with all keys at the server, in the given state.
func (tf *testForwarder) setTable(state keyrange.State, version uint64) {
	t := &keyrange.Table{Service: "s", Ranges: []keyrange.Range{
		{First: 0, Last: keyrange.MaxKey, Owner: keyrange.Owner{Server: "s1"}, State: state}}}
	tf.view.SetTables(view.TableVersion{Term: 1, Version: version}, map[topo.ServiceName]*keyrange.Table{"s": t})
}

func newRequest(path string) *ingress.Request {
	return &ingress.Request{
		ID: "x", Method: "POST", URI: path, Path: path, Host: "h", CallerKey: "k", HasKey: true, Key: 7,
		Header: http.Header{"Request-Id": {"x"}}, Arrived: time.Now(),
	}
}

func okResponse(id string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody"
}

// Guards against sending a request after its caller disconnected during the
// wait for a slot. Only a request that was already sent may finish without its
// caller.
func TestRequestIsNotSentAfterCallerDisconnects(t *testing.T) {
	tf := newTestForwarder(t, okResponse)
	tf.slots.allowGrant, tf.slots.acquireCalled = make(chan struct{}), make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { tf.Serve(ctx, newRequest("/w/1")); close(done) }()
	<-tf.slots.acquireCalled
	cancel()
	close(tf.slots.allowGrant)
	<-done
	require.Empty(t, tf.received)
	require.Equal(t, 1, tf.rates.returned)
}

// Guards against a token that is returned as if it had just been taken, although its
// request waited.
func TestReturnedTokenHasItsAge(t *testing.T) {
	tf := newTestForwarder(t, okResponse)
	tf.slots.allowGrant, tf.slots.acquireCalled = make(chan struct{}), make(chan struct{})
	var taken time.Time
	tf.rates.onTake = func() { taken = clock.Boot() }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { tf.Serve(ctx, newRequest("/w/1")); close(done) }()
	<-tf.slots.acquireCalled
	time.Sleep(20 * time.Millisecond)
	waited := clock.Boot().Sub(taken)
	cancel()
	<-done
	require.Equal(t, 1, tf.rates.returned)
	require.GreaterOrEqual(t, tf.rates.returnedAge, waited)
}

// Guards against a shutdown that closes the connections of requests which wait
// for a slot, instead of refusing the requests.
func TestRefuseWaitingRefusesWaitingRequests(t *testing.T) {
	tf := newTestForwarder(t, okResponse)
	tf.slots.allowGrant, tf.slots.acquireCalled = make(chan struct{}), make(chan struct{})
	go func() { <-tf.slots.acquireCalled; tf.RefuseWaiting() }()
	ans := tf.Serve(context.Background(), newRequest("/w/1"))
	require.Equal(t, 503, ans.Status)
	require.Equal(t, "shutting_down\n", string(ans.Body))
	require.Empty(t, tf.received)
}

// Guards against changing an answer on its way to the caller, and against
// sending a caller key to a server.
func TestAnswerIsRelayedUnchanged(t *testing.T) {
	tf := newTestForwarder(t, okResponse)
	ans := tf.Serve(context.Background(), newRequest("/w/1"))
	require.Equal(t, 200, ans.Status)
	require.Equal(t, "body", string(ans.Body))
	require.Equal(t, "s", ans.Header.Get("Seal"))
	r := <-tf.received
	require.Equal(t, "c", r.Header.Get("Customer"))
	require.Equal(t, "s1", r.Header.Get("Expect-Server"))
	for _, v := range r.Header {
		require.NotContains(t, v, "k")
	}
}

// Guards against a second run of a request that is not repeatable when its
// answer is lost, and against the answer "not run" to a request that may have
// run.
func TestLostAnswerOfNonIdempotentRequestIsUnknown(t *testing.T) {
	tf := newTestForwarder(t, func(string) string { return "" })
	ans := tf.Serve(context.Background(), newRequest("/w/1"))
	require.Equal(t, http.StatusBadGateway, ans.Status)
	require.Empty(t, ans.Header.Get("Retry-After"))
	require.Len(t, tf.received, 1)
	require.Zero(t, tf.rates.returned)
	tf = newTestForwarder(t, func(string) string { return "" })
	tf.Serve(context.Background(), newRequest("/r/1"))
	require.Len(t, tf.received, 3, "a repeatable request is sent again")
}

// Guards against relaying a successful answer that lacks the seal header, which
// only the server itself sets.
func TestSuccessWithoutSealIsNotRelayed(t *testing.T) {
	tf := newTestForwarder(t, func(id string) string {
		return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: 4\r\n\r\nbody"
	})
	require.Equal(t, http.StatusBadGateway, tf.Serve(context.Background(), newRequest("/w/1")).Status)
}

// Guards against a response whose status no caller knows and that reaches one, and against
// a second run of its request.
func TestInvalidStatusIsNotRelayed(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "abc", "2000"} {
		for _, length := range []string{"4", "100000"} {
			tf := newTestForwarder(t, func(id string) string {
				return "HTTP/1.1 " + status + " X\r\nRequest-Id: " + id + "\r\nSeal: s\r\nNot-Run: 1\r\nContent-Length: " + length + "\r\n\r\nbody"
			})
			ans := tf.Serve(context.Background(), newRequest("/w/1"))
			require.Equal(t, 502, ans.Status, status)
			require.Equal(t, "outcome_unknown\n", string(ans.Body), status)
			require.Len(t, tf.received, 1, "it may have run, and is not sent again")
			ans = tf.Serve(context.Background(), newRequest("/r/1"))
			require.GreaterOrEqual(t, ans.Status, 500, status)
			require.Less(t, ans.Status, 600, status)
		}
	}
}

// Guards against admitting requests with an unknown caller key, for a route that
// does not exist, or while the configuration is not confirmed recently enough.
func TestAdmission(t *testing.T) {
	tf := newTestForwarder(t, okResponse)
	wrong := newRequest("/w/1")
	wrong.CallerKey = "other"
	require.Equal(t, 401, tf.Serve(context.Background(), wrong).Status)
	require.Equal(t, 404, tf.Serve(context.Background(), newRequest("/none/")).Status)
	tf.fresh = false
	for _, path := range []string{"/w/1", "/none/"} {
		ans := tf.Serve(context.Background(), newRequest(path))
		require.Equal(t, 503, ans.Status)
		require.NotEmpty(t, ans.Header.Get("Retry-After"))
	}
	require.Empty(t, tf.received)
}

// Guards against requests that wait for an owner although their key is orphaned
// and gets no owner soon, and against requests that are refused at once while
// their key is being handed over.
func TestOrphanedAndMovingKeys(t *testing.T) {
	tf := newTestForwarder(t, okResponse)
	tf.setTable(keyrange.Orphaned, 2)
	var lines bytes.Buffer
	tf.Log = declog.New(&lines, "vm")
	require.Equal(t, 503, tf.Serve(context.Background(), newRequest("/w/1")).Status)
	tf.Log.Flush()
	require.NotContains(t, lines.String(), "await_owner")
	tf.setTable(keyrange.Moving, 3)
	go func() { time.Sleep(50 * time.Millisecond); tf.setTable(keyrange.Owned, 4) }()
	require.Equal(t, 200, tf.Serve(context.Background(), newRequest("/w/1")).Status)
}

// Guards against requests that wait for an owner of their key although their
// service has no server that could become one.
func TestRequestIsRefusedAtOnceWithoutUsableServers(t *testing.T) {
	for name, entry := range map[string]directory.Server{
		"leaving":       {ID: "s1", Service: "s", State: directory.Leaving, Rev: 2},
		"other service": {ID: "s1", Service: "other", State: directory.Ready, Rev: 2},
	} {
		t.Run(name, func(t *testing.T) {
			tf := newTestForwarder(t, okResponse)
			tf.view.Directory(func(d *directory.Directory) { d.Put(entry) })
			var lines bytes.Buffer
			tf.Log = declog.New(&lines, "vm")
			for _, state := range []keyrange.State{keyrange.Owned, keyrange.Moving} {
				tf.setTable(state, uint64(state)+2)
				for _, path := range []string{"/w/1", "/r/1"} {
					ans := tf.Serve(context.Background(), newRequest(path))
					require.Equal(t, http.StatusServiceUnavailable, ans.Status)
					require.Equal(t, "no_owner\n", string(ans.Body))
					require.NotEmpty(t, ans.Header.Get("Retry-After"))
				}
			}
			tf.Log.Flush()
			require.NotContains(t, lines.String(), "await_owner")
			require.Empty(t, tf.received)
			require.Equal(t, 4, tf.rates.returned)
		})
	}
}

// Guards against serving requests with any key, or with none, once the last customer was
// removed, and against asking for keys on routes that are public or if no list of customers
// was given.
func TestEmptyListOfCustomersLetsNobodyIn(t *testing.T) {
	for _, authenticate := range []bool{false, true} {
		tf := newTestForwarder(t, func(id string) string {
			return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody"
		})
		route := routemap.Route{Name: "w", Host: "h", PathPrefix: "/w/", Kind: routemap.NonIdempotent, Timeout: 2 * time.Second,
			Attempts: 3, Destinations: []routemap.Destination{{Service: "s", Weight: 1}}}
		public := route
		public.Name, public.PathPrefix, public.Public = "p", "/p/", true
		m, err := routemap.Compile(routemap.Config{
			Version: 2, Routes: []routemap.Route{route, public}, Services: []routemap.Service{{Name: "s", Keyed: true}}, Authenticate: authenticate,
		})
		require.NoError(t, err)
		require.True(t, tf.view.SetConfig(m, nil, 2))
		refused := http.StatusOK
		if authenticate {
			refused = http.StatusUnauthorized
		}
		for _, key := range []string{"k", "another", ""} {
			in := newRequest("/w/x")
			in.CallerKey = key
			require.Equal(t, refused, tf.Serve(t.Context(), in).Status, "key %q", key)
			in = newRequest("/p/x")
			in.CallerKey = key
			require.Equal(t, http.StatusOK, tf.Serve(t.Context(), in).Status, "key %q", key)
		}
	}
}
