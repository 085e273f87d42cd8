package home

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/execution"
	"godwitlock.example/godwitlock/grants"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// countingServer is a backend server that counts the requests that it executes.
type countingServer struct{ executions int }

func (c *countingServer) Do(context.Context, *call.Request) (*call.Response, error) {
	c.executions++
	return &call.Response{Status: 200, Body: io.NopCloser(strings.NewReader("done"))}, nil
}

func desiredState(fence uint64, phase slicemap.Phase) *grants.Desired {
	e := slicemap.Entry{Fence: topo.Fence{Term: 1, Seq: fence}, Phase: phase}
	return &grants.Desired{Keyed: true, Entries: map[topo.SliceID]slicemap.Entry{7: e}}
}

// acquireSlice makes o record the history of slice 7 from now on. It then waits
// until a new idempotency key is newer than the start of the history by more
// than the tolerated clock skew.
func acquireSlice(o *exactlyOnce, want *grants.Desired) {
	o.completeTransfer(o.setDesired(want), execution.Exported{}, time.Now())
	time.Sleep(2 * execution.MaxKeySkew)
}

// newRequest returns a request whose idempotency key is a UUIDv7 with the
// current time of the synctest bubble. uuid.NewV7 is not suitable: its
// timestamps never decrease within a process, while every bubble starts at the
// same time.
func newRequest() *call.Request {
	key := uuid.New()
	ms := uint64(time.Now().UnixMilli())
	for i := range 6 {
		key[i] = byte(ms >> (8 * (5 - i)))
	}
	key[6] = key[6]&0x0f | 0x70
	return &call.Request{
		Customer: "c", Slice: 7, ExactlyOnce: true, Method: "POST", Target: "/x",
		IdempotencyKey: key.String(),
	}
}

// send performs a request and returns the kind of its error, or errkind.Unset.
func send(t *testing.T, o *exactlyOnce, req *call.Request, next call.Doer) errkind.Kind {
	t.Helper()
	resp, err := o.do(t.Context(), req, next)
	if err != nil {
		return errkind.Of(err)
	}
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "done", string(body))
	return errkind.Unset
}

// Guards against a second execution when a request is repeated after its slice
// moved to another home VM.
func TestHistoryMovesWithItsSlice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, to, server := newExactlyOnce(), newExactlyOnce(), &countingServer{}
		acquireSlice(from, desiredState(1, slicemap.Serving))
		req := newRequest()
		require.Equal(t, errkind.Unset, send(t, from, req, server))

		require.Empty(t, from.setDesired(desiredState(1, slicemap.Draining)))
		require.Equal(t, errkind.NotHome, send(t, from, newRequest(), server))
		missing := to.setDesired(desiredState(2, slicemap.Serving))
		out, ok := from.export(missing)
		require.True(t, ok)
		to.completeTransfer(missing, out, time.Now())

		require.Equal(t, errkind.Unset, send(t, to, req, server))
		require.Equal(t, 1, server.executions)
		require.Equal(t, errkind.Unset, send(t, to, newRequest(), server), "a new request must not wait after a planned move")
	})
}

// Guards against executing a repeated request when its history was lost with
// its home VM.
func TestLostHistoryRefusesOlderKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, to, server := newExactlyOnce(), newExactlyOnce(), &countingServer{}
		acquireSlice(from, desiredState(1, slicemap.Serving))
		req := newRequest()
		require.Equal(t, errkind.Unset, send(t, from, req, server))
		acquireSlice(to, desiredState(2, slicemap.Serving))
		require.Equal(t, errkind.HistoryLost, send(t, to, req, server))
		require.Equal(t, errkind.Unset, send(t, to, newRequest(), server))
		require.Equal(t, 2, server.executions)
	})
}

// Guards against two faults: discarding the history when a move is cancelled,
// and keeping it when the slice had another owner in the meantime.
func TestReturningSlice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, server := newExactlyOnce(), &countingServer{}
		acquireSlice(o, desiredState(1, slicemap.Serving))
		req := newRequest()
		require.Equal(t, errkind.Unset, send(t, o, req, server))
		require.Empty(t, o.setDesired(desiredState(1, slicemap.Draining)))
		require.Empty(t, o.setDesired(desiredState(1, slicemap.Serving)), "the move was cancelled")
		require.Equal(t, errkind.Unset, send(t, o, req, server))
		require.Equal(t, 1, server.executions)

		require.Len(t, o.setDesired(desiredState(3, slicemap.Serving)), 1, "another server owned the slice under fence 2")
	})
}

// Guards against executing a request before the history of its slice has
// arrived.
func TestRequestsWaitForHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, server := newExactlyOnce(), &countingServer{}
		missing := o.setDesired(desiredState(1, slicemap.Serving))
		done := make(chan errkind.Kind, 1)
		req := newRequest()
		go func() { done <- send(t, o, req, server) }()
		synctest.Wait()
		require.Zero(t, server.executions)
		o.completeTransfer(missing, execution.Exported{Since: map[topo.SliceID]time.Time{7: time.Now().Add(-time.Hour)}}, time.Now())
		require.Equal(t, errkind.Unset, <-done)
	})
}
