package home

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/execution"
	"godwitlock.example/godwitlock/grants"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// historyLimits bounds the memory of one server's history. With a retention of
// 15 minutes, the entries suffice for 72 exactly-once requests per second.
var historyLimits = execution.Limits{Entries: 65_536, Bytes: 8 << 20, Waiters: 16}

// exactlyOnce executes requests with an idempotency key at most once per key.
// It is safe for concurrent use.
type exactlyOnce struct {
	mu      sync.Mutex
	history *execution.History
	// owned lists the slices for which this VM records the history.
	owned map[topo.SliceID]ownership
	// released lists slices that this VM no longer owns but whose history it
	// still has. For a slice in pending, it holds the ownership that starts
	// when the transfer ends.
	released map[topo.SliceID]ownership
	// pending lists slices whose history is being transferred to this VM. The
	// channel is closed when the history has arrived or is known to be lost.
	pending    map[topo.SliceID]chan struct{}
	waiters    map[execution.Waiter]chan execution.Decision
	lastWaiter execution.Waiter
}

func newExactlyOnce() *exactlyOnce {
	return &exactlyOnce{
		history: execution.NewHistory(historyLimits),
		owned:   make(map[topo.SliceID]ownership), released: make(map[topo.SliceID]ownership), pending: make(map[topo.SliceID]chan struct{}),
		waiters: make(map[execution.Waiter]chan execution.Decision),
	}
}

// ownership identifies an uninterrupted period during which this VM sent the
// requests of a slice: neither the slice's owner nor the owner's home VM
// changed.
type ownership struct {
	fence     topo.Fence
	homeSince slicemap.Version
}

// setDesired applies the desired state of the slices. It returns the slices
// whose history must be transferred from elsewhere; the caller must call
// completeTransfer for them.
func (o *exactlyOnce) setDesired(want *grants.Desired) []topo.SliceID {
	o.mu.Lock()
	defer o.mu.Unlock()
	serving := make(map[topo.SliceID]ownership)
	if want != nil {
		for id, e := range want.Entries {
			if e.Phase == slicemap.Serving {
				serving[id] = ownership{fence: e.Fence, homeSince: want.Server.HomeSince}
			}
		}
	}
	for id, period := range o.owned {
		if serving[id] != period {
			delete(o.owned, id)
			o.released[id] = period
		}
	}
	var missing []topo.SliceID
	for id, period := range serving {
		switch _, owned := o.owned[id]; {
		case owned || o.pending[id] != nil:
		case o.released[id] == period:
			// The move was cancelled: no other VM has sent requests.
			o.owned[id] = period
			delete(o.released, id)
		default:
			o.pending[id] = make(chan struct{})
			missing = append(missing, id)
		}
		if o.pending[id] != nil {
			o.released[id] = period
		}
	}
	return missing
}

// completeTransfer ends the wait for the history of slices. For slices without
// an entry in the transferred history, a new history starts at since.
func (o *exactlyOnce) completeTransfer(slices []topo.SliceID, in execution.Exported, since time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.Import(in)
	for _, id := range slices {
		if _, ok := in.Since[id]; !ok {
			o.history.AddSlice(id, since)
		}
		o.owned[id] = o.released[id]
		delete(o.released, id)
		close(o.pending[id])
		delete(o.pending, id)
	}
}

// export removes the history of slices and returns it. It returns false while a
// request of the slices is in progress.
func (o *exactlyOnce) export(slices []topo.SliceID) (execution.Exported, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	out, ok := o.history.Export(slices)
	if ok {
		for _, id := range slices {
			delete(o.owned, id)
			delete(o.released, id)
		}
	}
	return out, ok
}

// awaitHistory waits until a pending transfer of the slice's history has ended.
// It returns false if this VM does not own the slice or ctx ends first.
func (o *exactlyOnce) awaitHistory(ctx context.Context, id topo.SliceID) bool {
	o.mu.Lock()
	pending := o.pending[id]
	_, owned := o.owned[id]
	o.mu.Unlock()
	if pending == nil {
		return owned
	}
	select {
	case <-pending:
		return true
	case <-ctx.Done():
		return false
	}
}

func (o *exactlyOnce) do(ctx context.Context, req *call.Request, next call.Doer) (*call.Response, error) {
	if !o.awaitHistory(ctx, req.Slice) {
		return nil, execution.Fail(execution.HomeRefused, errkind.NotHome, "the server does not own the key", nil)
	}
	id := execution.HistoryID{Customer: req.Customer, Key: req.IdempotencyKey}
	digest := execution.DigestOf(req.Method, req.Target, req.Replayable, req.ContentLength)
	decision, result, waiter := o.begin(req.Slice, id, digest)
	switch decision.Step {
	case execution.Run:
		return o.run(ctx, req, id, next)
	case execution.Wait:
		return o.wait(ctx, id, result, waiter)
	}
	return responseTo(decision)
}

func (o *exactlyOnce) begin(slice topo.SliceID, id execution.HistoryID, digest execution.Digest) (execution.Decision, chan execution.Decision, execution.Waiter) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastWaiter++
	d := o.history.Begin(time.Now(), slice, id, digest, o.lastWaiter)
	if d.Step != execution.Wait {
		return d, nil, 0
	}
	c := make(chan execution.Decision, 1)
	o.waiters[o.lastWaiter] = c
	return d, c, o.lastWaiter
}

func responseTo(d execution.Decision) (*call.Response, error) {
	if d.Step != execution.Replay {
		return nil, errkind.New(d.Kind, "the idempotency key's earlier request decides the answer")
	}
	r := d.Response
	return &call.Response{
		Status: r.Status, Header: r.Header.Clone(), ContentLength: int64(len(r.Body)),
		Body: io.NopCloser(bytes.NewReader(r.Body)), Trailer: r.Trailer.Clone(),
	}, nil
}

func (o *exactlyOnce) wait(ctx context.Context, id execution.HistoryID, c chan execution.Decision, w execution.Waiter) (*call.Response, error) {
	select {
	case d := <-c:
		return responseTo(d)
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.RemoveWaiter(id, w)
	delete(o.waiters, w)
	return nil, errkind.Wrap(ctx.Err(), errkind.DeadlineAfterRun, "ended while an earlier request with the idempotency key ran")
}

func (o *exactlyOnce) run(ctx context.Context, req *call.Request, id execution.HistoryID, next call.Doer) (*call.Response, error) {
	resp, err := next.Do(ctx, req)
	if err != nil {
		o.recordFailure(id, err)
		return nil, err
	}
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, execution.MaxRecordedBytes+1))
	if err != nil {
		_ = resp.Body.Close()
		o.finish(func() (execution.Decision, []execution.Waiter) { return o.history.Unknown(id) })
		return nil, errkind.Wrap(err, errkind.OutcomeUnknown, "the response was cut short")
	}
	if len(prefix) > execution.MaxRecordedBytes {
		o.finish(func() (execution.Decision, []execution.Waiter) { return o.history.Ran(id, nil) })
		resp.Body = prefixedBody{io.MultiReader(bytes.NewReader(prefix), resp.Body), resp.Body}
		return resp, nil
	}
	_ = resp.Body.Close()
	recorded := &execution.Recorded{Status: resp.Status, Header: resp.Header.Clone(), Body: prefix, Trailer: resp.Trailer.Clone()}
	o.finish(func() (execution.Decision, []execution.Waiter) { return o.history.Ran(id, recorded) })
	resp.Body = io.NopCloser(bytes.NewReader(prefix))
	return resp, nil
}

// prefixedBody is a response body whose first bytes have already been read.
type prefixedBody struct {
	io.Reader
	io.Closer
}

func (o *exactlyOnce) recordFailure(id execution.HistoryID, err error) {
	kind := errkind.Of(err)
	o.finish(func() (execution.Decision, []execution.Waiter) {
		if kind.Answer().Outcome == errkind.NotRun {
			return o.history.NotRun(id, kind)
		}
		return o.history.Unknown(id)
	})
}

// finish records the end of a request and sends the decision to the requests
// that wait for it.
func (o *exactlyOnce) finish(record func() (execution.Decision, []execution.Waiter)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	decision, waiters := record()
	for _, w := range waiters {
		if c, ok := o.waiters[w]; ok {
			c <- decision
			delete(o.waiters, w)
		}
	}
}
