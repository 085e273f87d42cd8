package platform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/store/memstore"
	"godwitlock.example/godwitlock/topo"
)

func serve(t *testing.T, opts Options) (*Platform, *store.Client, string) {
	p := New(opts)
	srv := httptest.NewUnstartedServer(p)
	srv.Config.ErrorLog = log.New(io.Discard, "", 0)
	srv.Start()
	t.Cleanup(srv.Close)
	return p, store.NewClient(srv.URL, srv.Client()), srv.URL
}

// Guards against any difference in results or kinds of error between the store
// over HTTP and the in-memory store.
func TestClientAgainstMemstore(t *testing.T) {
	_, cl, _ := serve(t, Options{Store: memstore.NewWithHistory(20)})
	mem := memstore.NewWithHistory(20)
	ctx, rnd := context.Background(), rand.New(rand.NewSource(7))
	keys := []string{"env/x/document", "env/x/customer/a b", "env/y/%2F?#", "q"}
	for i := range 600 {
		key, version := keys[rnd.Intn(len(keys))], uint64(rnd.Intn(4))
		after := topo.Revision(max(0, rnd.Intn(i+1)-1))
		for _, call := range []func(st store.Store) (any, error){
			func(st store.Store) (any, error) {
				return st.Put(ctx, key, []byte(key), version, fmt.Sprint("w", i))
			},
			func(st store.Store) (any, error) { return st.Get(ctx, key) },
			func(st store.Store) (any, error) { return st.List(ctx, "env/x") },
			func(st store.Store) (any, error) { return st.Watch(ctx, "env/", after, 0) },
			func(st store.Store) (any, error) {
				return nil, st.Delete(ctx, key, uint64(rnd.Intn(4)), fmt.Sprint("d", i))
			},
		} {
			seed := rnd.Int63()
			rnd.Seed(seed)
			want, wantErr := call(mem)
			rnd.Seed(seed)
			got, gotErr := call(cl)
			require.Equal(t, errors.Cause(wantErr), errors.Cause(gotErr), "call %d", i)
			require.Equal(t, fmt.Sprintf("%q", want), fmt.Sprintf("%q", got), "call %d", i)
		}
	}
}

// Guards against status codes and headers that differ from docs/design.md
// section 6.3.
func TestStatusCodes(t *testing.T) {
	p, _, url := serve(t, Options{})
	ctx := context.Background()
	_, err := p.Store().Put(ctx, "a/b", []byte("v"), 0, "w1")
	require.NoError(t, err)
	_, err = p.Store().Put(ctx, "a/c", []byte("v"), 0, "w2")
	require.NoError(t, err)
	p.Store().Compact(1)
	big := strings.Repeat("x", store.MaxValueBytes+1)
	cases := []struct {
		method, path, ifVersion, writer, body string
		faults                                string
		status                                int
		version                               string
	}{
		{"GET", "/v1/objects/a/b", "", "", "", "{}", 200, "1"},
		{"GET", "/v1/objects/none", "", "", "", "{}", 404, ""},
		{"PUT", "/v1/objects/a/b", "0", "w3", "v", "{}", 409, "1"},
		{"PUT", "/v1/objects/a/b", "1", "w3", "v", "{}", 200, "2"},
		{"PUT", "/v1/objects/a/b", "", "w3", "v", "{}", 400, ""},
		{"PUT", "/v1/objects/a/b", "2", "", "v", "{}", 400, ""},
		{"PUT", "/v1/objects/a/b", "2", "w4", big, "{}", 413, ""},
		{"DELETE", "/v1/objects/a/c", "9", "w5", "", "{}", 409, "1"},
		{"DELETE", "/v1/objects/a/c", "1", "w5", "", "{}", 200, "1"},
		{"GET", "/v1/objects?prefix=a/", "", "", "", "{}", 200, ""},
		{"GET", "/v1/watch?prefix=a/&after=0&wait_ms=0", "", "", "", "{}", 410, ""},
		{"GET", "/v1/watch?prefix=a/&after=1&wait_ms=0", "", "", "", "{}", 200, ""},
		{"GET", "/v1/watch?prefix=a/&after=x&wait_ms=0", "", "", "", "{}", 400, ""},
		{"GET", "/v1/vms", "", "", "", `{"down":true}`, 503, ""},
		{"GET", "/v1/objects/a/b", "", "", "", `{"down":true}`, 503, ""},
		{"POST", "/faults", "", "", `{"unknown":1}`, "{}", 400, ""},
	}
	for _, c := range cases {
		name := c.method + " " + c.path + " " + c.faults
		resp, err := http.Post(url+"/faults", "application/json", strings.NewReader(c.faults))
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, 204, resp.StatusCode)
		req, err := http.NewRequest(c.method, url+c.path, bytes.NewReader([]byte(c.body)))
		require.NoError(t, err)
		req.Header.Set("If-Version", c.ifVersion)
		req.Header.Set("Object-Writer", c.writer)
		resp, err = http.DefaultClient.Do(req)
		require.NoError(t, err, name)
		resp.Body.Close()
		require.Equal(t, c.status, resp.StatusCode, name)
		require.Equal(t, c.version, resp.Header.Get("Object-Version"), name)
	}
	obj, err := p.Store().Get(ctx, "a/b")
	require.NoError(t, err)
	require.Equal(t, "w3", obj.Writer)
}

// Guards against a lost response that the client can tell from an outage, and
// against a transport that retries the write by itself.
func TestLostResponseOverHTTP(t *testing.T) {
	p, cl, _ := serve(t, Options{})
	ctx := context.Background()
	_, err := cl.Put(ctx, "k", []byte("v0"), 0, "w0")
	require.NoError(t, err)
	p.SetFaults(memstore.Faults{LoseResponses: 1})
	res, err := store.Update(ctx, cl, "k", "w1", func(*store.Object) ([]byte, error) { return []byte("v1"), nil })
	require.NoError(t, err)
	require.Equal(t, store.Applied, res.Outcome)
	require.Equal(t, uint64(2), res.Current.Version)
	require.Equal(t, uint64(2), p.Counts().Put)
}

// handlerTransport passes requests to a handler without a network, so that a
// test can use the fake clock of synctest.
type handlerTransport struct{ http.Handler }

func (d handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	d.ServeHTTP(rec, r)
	return rec.Result(), nil
}

// Guards against status 429 being treated as an outage. Callers would then read
// the object back instead of waiting.
func TestThrottleOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{})
		cl := store.NewClient("http://platform", &http.Client{Transport: handlerTransport{p}})
		p.SetFaults(memstore.Faults{WritesPerSecond: 1})
		_, err := cl.Put(t.Context(), "k", nil, 0, "w")
		require.NoError(t, err)
		_, err = cl.Put(t.Context(), "k", nil, 1, "w")
		require.ErrorIs(t, err, store.ErrThrottled)
	})
}

// Guards against an unreachable store that is not reported as unavailable, and
// against a cancelled call that is.
func TestClientErrors(t *testing.T) {
	srv := httptest.NewServer(New(Options{}))
	cl := store.NewClient(srv.URL, nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := cl.Get(ctx, "k")
	require.ErrorIs(t, err, context.Canceled)
	srv.Close()
	_, err = cl.Get(context.Background(), "k")
	require.ErrorIs(t, err, store.ErrUnavailable)
}

// Guards against a list of VMs that does not lag or that reorders changes, and
// against a waiting watch that is counted more than once.
func TestVMListLagsAndCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{VMLag: 10 * time.Second})
		list := func() string {
			rec := httptest.NewRecorder()
			p.ServeHTTP(rec, httptest.NewRequest("GET", "/v1/vms", nil))
			return strings.TrimSpace(rec.Body.String())
		}
		p.SetVM(store.VMState{ID: "b"})
		p.SetVM(store.VMState{ID: "a"})
		time.Sleep(9 * time.Second)
		require.Equal(t, `{"vms":[]}`, list())
		p.SetVM(store.VMState{ID: "a", Leaving: true})
		p.RemoveVM("b")
		time.Sleep(time.Second)
		require.Equal(t, `{"vms":[{"id":"a","leaving":false},{"id":"b","leaving":false}]}`, list())
		time.Sleep(9 * time.Second)
		require.Equal(t, `{"vms":[{"id":"a","leaving":true}]}`, list())

		rec := httptest.NewRecorder()
		p.ServeHTTP(rec, httptest.NewRequest("GET", "/v1/watch?prefix=&after=0&wait_ms=800", nil))
		require.Equal(t, 200, rec.Code)
		require.Equal(t, Counts{Watch: 1, VMs: 3}, p.Counts())
		require.Equal(t, uint64(4), p.Counts().Reads())
	})
}
