package forward

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/egress"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// awaitAfter returns which server awaitOwner finds after an attempt at server s1
// that ended with fail, and after which time. changes sets the state of the keys
// at the given times after the attempt, and moves Owned keys to s2.
func awaitAfter(t *testing.T, fail *egress.Failure, changes map[time.Duration]keyrange.State) (found topo.ServerID, took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		v := view.New()
		v.Directory(func(d *directory.Directory) {
			for rev, id := range []topo.ServerID{"s1", "s2"} {
				d.Put(directory.Server{ID: id, Service: "s", State: directory.Ready, Rev: int64(rev + 1)})
			}
		})
		setOwner := func(id topo.ServerID, state keyrange.State, version time.Duration) {
			v.SetTables(view.TableVersion{Term: 1, Version: uint64(version)}, map[topo.ServiceName]*keyrange.Table{"s": {
				Service: "s", Ranges: []keyrange.Range{{Last: keyrange.MaxKey, Owner: keyrange.Owner{Server: id}, State: state}},
			}})
		}
		setOwner("s1", keyrange.Owned, 1)
		for after, state := range changes {
			time.AfterFunc(after, func() { setOwner("s2", state, after) })
		}
		f := New(Config{View: v, Log: declog.New(io.Discard, "vm")})
		r := &request{
			Request: newRequest("/w/1"), service: &routemap.Service{Name: "s", Keyed: true},
			deadline: time.Now().Add(2 * time.Second), triedServers: []topo.ServerID{"s1"},
		}
		start := time.Now()
		server, _, ref := f.awaitOwner(t.Context(), r, resultOfError(fail).newOwnerWait(1))
		require.Nil(t, ref)
		found, took = server, time.Since(start)
		time.Sleep(maxOwnerWait)
	})
	return found, took
}

// Guards against requests that wait 0.6 s for another owner after a refused
// connection, although the server keeps its keys and accepts them shortly after.
func TestRefusedConnectionIsRetriedSoon(t *testing.T) {
	server, took := awaitAfter(t, &egress.Failure{Refused: true, Cause: io.EOF}, nil)
	require.Equal(t, topo.ServerID("s1"), server)
	require.Equal(t, refusedConnWait, took)
	server, took = awaitAfter(t, &egress.Failure{Cause: io.EOF}, nil)
	require.Equal(t, topo.ServerID("s1"), server)
	require.Equal(t, maxOwnerWait, took)
}

// Guards against a short wait after a refused connection that also ends the wait
// for keys which are being handed over.
func TestRefusedConnectionWaitsForHandover(t *testing.T) {
	server, took := awaitAfter(t, &egress.Failure{Refused: true, Cause: io.EOF}, map[time.Duration]keyrange.State{
		refusedConnWait / 2: keyrange.Moving,
		3 * refusedConnWait: keyrange.Owned,
	})
	require.Equal(t, topo.ServerID("s2"), server)
	require.Equal(t, 3*refusedConnWait, took)
}
