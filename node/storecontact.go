package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/outage"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/view"
)

const (
	// contactCallTimeout bounds a call to the store that another VM asked for, and
	// contactWait how long the next call to that VM waits for it.
	contactCallTimeout = 600 * time.Millisecond
	contactWait        = 150 * time.Millisecond
	// contactMemory is how old the answers are at most that other VMs are told of. A
	// leader that is cut off for longer has lost its lease.
	contactMemory = 5 * time.Second
	// contactCheckInterval is how often a VM checks whether the store still answers it, and
	// whether its process has stood still; minPause is how late a check must be for that.
	contactCheckInterval = 100 * time.Millisecond
	minPause             = 200 * time.Millisecond
)

// storeContact records when the store answered this VM and others, and tells the directory
// when an outage ended in which entries of live servers may have expired. It implements
// fleet.StoreContact and is safe for concurrent use.
type storeContact struct {
	view *view.View
	log  *declog.Log
	// onFailing, unless nil, is called when calls of this VM begin to fail, and again and
	// again while the store does not answer.
	onFailing func()

	mu sync.Mutex
	// own holds the calls of this VM, and all those of others, too.
	own, all *outage.Record
	// outageEnd is the end of the last outage that the directory was told of.
	outageEnd time.Time

	// calling says that a call on behalf of another VM is under way.
	calling atomic.Bool
}

func newStoreContact(heartbeat time.Duration, v *view.View, log *declog.Log) *storeContact {
	return &storeContact{view: v, log: log, own: outage.NewRecord(heartbeat), all: outage.NewRecord(heartbeat)}
}

// called records a call of this VM that has ended, unless it was given up because ctx was
// cancelled.
func (c *storeContact) called(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if c.record(clock.Boot(), err) && c.onFailing != nil {
		c.onFailing()
	}
}

// record records a call that ended at now and reports whether calls begin to fail with it.
func (c *storeContact) record(now time.Time, err error) (begins bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if store.Answered(err) {
		c.own.Answered(now)
		c.all.Answered(now)
		c.updateDirectory(now)
		return false
	}
	begins = !c.own.Failing(now)
	c.own.Failed(now)
	c.all.Failed(now)
	return begins
}

// Failing implements fleet.StoreContact.
func (c *storeContact) Failing(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.own.Failing(now)
}

// Own implements fleet.StoreContact.
func (c *storeContact) Own(now time.Time) []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.own.AnswersSince(now.Add(-contactMemory))
}

// Known implements fleet.StoreContact.
func (c *storeContact) Known(now time.Time) (answers []time.Time, failure time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if failure = c.all.LastFailure(); now.Sub(failure) < contactMemory {
		return c.all.AnswersSince(now.Add(-contactMemory)), failure
	}
	if answer := c.all.LastAnswer(); !answer.IsZero() {
		answers = []time.Time{answer}
	}
	return answers, failure
}

// Learn implements fleet.StoreContact.
func (c *storeContact) Learn(now time.Time, answers []time.Time, failure time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !failure.IsZero() {
		c.all.Failed(failure)
	}
	for _, at := range answers {
		c.all.Answered(at)
	}
	c.updateDirectory(now)
}

// updateDirectory tells the directory when the last outage ended. The caller holds c.mu.
func (c *storeContact) updateDirectory(now time.Time) {
	end := c.all.End()
	if end.Equal(c.outageEnd) {
		return
	}
	inGrace := func(end time.Time) bool { return now.Before(end.Add(directory.StoreRecoveryGrace)) }
	switch {
	case end.After(c.outageEnd):
		c.log.Event("store_outage").Dur("ended_ms", now.Sub(end)).Send()
	case inGrace(c.outageEnd) && !inGrace(end):
		c.log.Event("no_store_outage").Dur("believed_ms", now.Sub(c.outageEnd)).Send()
	}
	c.outageEnd = end
	c.view.Directory(func(d *directory.Directory) {
		d.SetOutageEnd(end)
		d.Expire(now)
	})
}

// Run checks, until ctx ends, whether the store still answers this VM while reads returns
// true, and whether the process has stood still.
func (c *storeContact) Run(ctx context.Context, reads func() bool) error {
	for ctx.Err() == nil {
		before := clock.Boot()
		pause(ctx, contactCheckInterval)
		now := clock.Boot()
		if now.Sub(before) >= contactCheckInterval+minPause {
			c.paused(before, now)
		}
		if c.onFailing != nil && c.Failing(now) && reads() {
			c.onFailing()
		}
	}
	return ctx.Err()
}

func (c *storeContact) paused(from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all.Paused(from, to)
	c.updateDirectory(to)
}

// callStoreIfAsked calls the store if the VM that was called last asked for that, and waits
// for the result for a moment, so that the next call to that VM can tell it.
func (n *Node) callStoreIfAsked(ctx context.Context) {
	if !n.follower.TakeContactRequest() || !n.contact.calling.CompareAndSwap(false, true) {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer n.contact.calling.Store(false)
		ctx, cancel := context.WithTimeout(ctx, contactCallTimeout)
		defer cancel()
		_, err := n.platform.Objects().Get(ctx, n.lease.key)
		n.contact.called(ctx, err)
	}()
	wait, cancel := context.WithTimeout(ctx, contactWait)
	defer cancel()
	select {
	case <-done:
	case <-wait.Done():
	}
}
