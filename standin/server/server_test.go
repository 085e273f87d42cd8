package server_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/backend"
	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/internal/pipe"
	"godwitlock.example/godwitlock/standin/server"
	"godwitlock.example/godwitlock/topo"
)

// fixture is a stand-in with clients that reach it over an in-memory network.
type fixture struct {
	*testing.T
	server  *server.Server
	control *backend.Control
	client  *backend.Client
	network *pipe.Listener
}

// run calls test in a synctest bubble, with a fake clock.
func run(t *testing.T, opt server.Options, test func(r *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		l := pipe.Listen()
		s := server.New(opt)
		go func() { _ = s.Serve(l) }()
		record := topo.BackendServer{ID: "s1", Addr: "s1:80", MaxConns: 64}
		r := &fixture{t, s, backend.NewControl(record, l.Dial), backend.New(record, l.Dial), l}
		test(r)
		r.client.Close()
		r.control.Close()
		require.NoError(t, s.Close())
	})
}

func (r *fixture) do(fence topo.Fence, target string) error {
	ctx, cancel := context.WithTimeout(r.Context(), 10*time.Second)
	defer cancel()
	resp, err := r.client.Do(ctx, &call.Request{
		ID: "r1", Customer: "c1", Method: "POST", Target: target, Header: http.Header{}, Slice: 7, Fence: fence,
	})
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (r *fixture) claims(term topo.Term) backend.Reply {
	reply, err := r.control.Claims(r.Context(), term)
	require.NoError(r, err)
	return reply
}

// Guards against a stand-in that runs requests without a valid grant, and
// against a lease that is measured by a clock other than that of the server.
func TestGrants(t *testing.T) {
	run(t, server.Options{ChecksGrants: true}, func(r *fixture) {
		ctx, fence := r.Context(), topo.Fence{Term: 3, Seq: 1}
		require.Equal(r, errkind.ServerRefused, errkind.Of(r.do(fence, "/k")))
		c := r.claims(3)
		reply, err := r.control.Grant(ctx, fence, []topo.SliceID{7}, c.ClockMS+1200, c.BootID)
		require.NoError(r, err)
		require.True(r, reply.Accepted)
		require.Equal(r, []backend.HeldSlice{{Slice: 7, Fence: fence}}, reply.Slices)
		require.NoError(r, r.do(fence, "/k"))
		require.Error(r, r.do(topo.Fence{Term: 3, Seq: 2}, "/k"), "fence was not granted")

		time.Sleep(time.Second)
		reply, err = r.control.Renew(ctx, 3, r.claims(3).ClockMS+1200, c.BootID)
		require.NoError(r, err)
		require.True(r, reply.Accepted)
		require.False(r, r.claims(2).Accepted, "lower term")
		time.Sleep(1100 * time.Millisecond)
		require.NoError(r, r.do(fence, "/k"))
		time.Sleep(100 * time.Millisecond)
		require.Error(r, r.do(fence, "/k"), "lease has expired")
		reply, err = r.control.Renew(ctx, 3, r.claims(3).ClockMS+1200, c.BootID)
		require.NoError(r, err)
		require.False(r, reply.Accepted, "renewal after the lease has expired")

		reply, err = r.control.Grant(ctx, fence, []topo.SliceID{7}, r.claims(3).ClockMS+1200, c.BootID)
		require.NoError(r, err)
		require.True(r, reply.Accepted)
		_, err = r.control.Revoke(ctx, topo.Fence{Term: 3, Seq: 2}, []topo.SliceID{7})
		require.NoError(r, err)
		require.Error(r, r.do(fence, "/k"), "revoked")
		reply, err = r.control.Grant(ctx, fence, []topo.SliceID{7}, r.claims(3).ClockMS+1200, c.BootID)
		require.NoError(r, err)
		require.False(r, reply.Accepted, "grant was sent before the revocation and arrived after it")

		r.server.Reboot()
		reply, err = r.control.Grant(ctx, fence, []topo.SliceID{7}, c.ClockMS+9000, c.BootID)
		require.NoError(r, err)
		require.False(r, reply.Accepted, "expiry refers to the clock of an earlier boot")
		require.Equal(r, 2, r.server.ExecutionsForKey("k"))
	})
}

// Guards against a frozen server that keeps its lease beyond the expiry.
func TestPause(t *testing.T) {
	run(t, server.Options{ChecksGrants: true}, func(r *fixture) {
		fence, c := topo.Fence{Term: 1, Seq: 1}, r.claims(1)
		_, err := r.control.Grant(r.Context(), fence, []topo.SliceID{7}, c.ClockMS+1200, c.BootID)
		require.NoError(r, err)
		pause := int64(5000)
		r.server.Apply(server.Faults{PauseMS: &pause})
		start := time.Now()
		require.Equal(r, errkind.ServerRefused, errkind.Of(r.do(fence, "/k")))
		require.Equal(r, 5*time.Second, time.Since(start))
		require.Empty(r, r.server.Records())
	})
}

// Guards against a cold server that takes its full load at once, and against
// refusals that are not marked as not run.
func TestColdStartAndDrain(t *testing.T) {
	run(t, server.Options{Slots: 3, ColdTime: 10 * time.Second}, func(r *fixture) {
		burst := func() (ran, refused int) {
			results := make(chan error)
			for range 4 {
				go func() { results <- r.do(topo.Fence{}, "/k?work_ms=100") }()
			}
			for range 4 {
				if err := <-results; err == nil {
					ran++
				} else if errkind.Of(err) == errkind.ServerRefused {
					refused++
				}
			}
			return ran, refused
		}
		for _, slots := range []int{1, 2, 3} {
			ran, refused := burst()
			require.Equal(r, slots, ran)
			require.Equal(r, 4-slots, refused)
			time.Sleep(5 * time.Second)
		}
		require.EqualValues(r, 3+2+1, r.server.Stats().OverCapacity)
		drain := true
		r.server.Apply(server.Faults{Drain: &drain})
		require.Equal(r, errkind.ServerRefused, errkind.Of(r.do(topo.Fence{}, "/k")))
		require.Len(r, r.server.Records(), 1+2+3)
	})
}

// Guards against faults that cannot be switched over the network, and against
// reports that cannot be delayed or falsified.
func TestFaultsAndReports(t *testing.T) {
	run(t, server.Options{}, func(r *fixture) {
		post := func(body string) int {
			tr := &http.Transport{DialContext: r.network.Dial, DisableKeepAlives: true}
			req, err := http.NewRequest("POST", "http://s1/faults", strings.NewReader(body))
			require.NoError(r, err)
			resp, err := tr.RoundTrip(req)
			require.NoError(r, err)
			require.NoError(r, resp.Body.Close())
			return resp.StatusCode
		}
		require.Equal(r, http.StatusBadRequest, post(`{"unknown":1}`))
		require.Equal(r, http.StatusNoContent, post(`{"lag_ms":1000,"health":"fine","load_running":99,"slow_factor":3}`))
		h, err := r.control.Health(r.Context())
		require.NoError(r, err)
		require.Equal(r, "fine", h.Status)
		l, err := r.control.Load(r.Context())
		require.NoError(r, err)
		require.Equal(r, 99, l.Running)
		start := time.Now()
		require.NoError(r, r.do(topo.Fence{}, "/k?work_ms=100"))
		require.Equal(r, 300*time.Millisecond, time.Since(start))
		for _, want := range []float64{0, 1} {
			l, err = r.control.Load(r.Context())
			require.NoError(r, err)
			require.Equal(r, want, l.Rate)
			time.Sleep(700 * time.Millisecond)
		}
	})
}
