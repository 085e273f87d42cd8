package node

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

const (
	// watchTimeout is how long a watch waits for changes. Each response proves
	// that the store is reachable, and extends the time for which caller keys
	// are accepted.
	watchTimeout = 700 * time.Millisecond
	// minWatchPause is the shortest pause between two watches, so that changes
	// made at nearly the same time arrive in one response.
	minWatchPause = 80 * time.Millisecond
	// watchPausePerVM is added for each VM of the fleet on VMs that read the
	// store because the leader is stale: all of them may do so at the same time.
	watchPausePerVM = 8 * time.Millisecond
	// watchRetryDelay is the pause from the second consecutive failure on.
	watchRetryDelay = 300 * time.Millisecond
	// listTimeout bounds the time in which all pages of a list are read.
	listTimeout = 10 * time.Second
	// idlePollInterval is how often an inactive watcher checks whether it is
	// needed.
	idlePollInterval = 200 * time.Millisecond
)

// watcher updates the view from the objects under one prefix while it is needed:
// on the leader, and on VMs whose leader is stale (see Node.leaderStale).
type watcher struct {
	name    string
	prefix  string
	objects store.Objects
	needed  func() bool
	log     *declog.Log
	// newListing begins a listing, which takes the place of what is known, and
	// applyEvent processes a single change. Calls do not overlap.
	newListing func() listing
	applyEvent func(store.Event, time.Time)
	// advance receives the revision up to which all changes are known, and a
	// time at which that revision was current.
	advance func(rev topo.Revision, at time.Time)
	// called records the result of each call to the store, before a response is applied.
	called func(ctx context.Context, err error)
	// wait is how long a watch waits for changes, and waitLimit, unless nil, returns a
	// limit of it.
	wait      time.Duration
	waitLimit func() time.Duration
	// pauseDuration returns the pause between two watches.
	pauseDuration func() time.Duration

	// failedSince is when the calls began to fail, or zero. Only Run uses it.
	failedSince time.Time

	mu           sync.Mutex
	lastResponse time.Time
}

// listing takes in a list of objects.
type listing interface {
	// add takes over what is needed of an object and returns its size in bytes.
	add(o store.Object, now time.Time) int
	// apply puts the complete listing in force. All its objects are as of rev or later.
	apply(rev topo.Revision, now time.Time)
}

// wholeListing is a listing of which all objects are needed.
type wholeListing struct {
	objects []store.Object
	applyTo func(store.Listing, time.Time)
}

func (l *wholeListing) add(o store.Object, _ time.Time) int {
	o.Value = bytes.Clone(o.Value)
	l.objects = append(l.objects, o)
	return len(o.Key) + len(o.Value)
}

func (l *wholeListing) apply(rev topo.Revision, now time.Time) {
	l.applyTo(store.Listing{Objects: l.objects, Revision: rev}, now)
}

// LastResponse returns when the store last responded, or the zero time if it has
// not responded yet.
func (w *watcher) LastResponse() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastResponse
}

// Run lists and then watches the objects while they are needed, until ctx ends.
func (w *watcher) Run(ctx context.Context) error {
	var rev topo.Revision
	listed := false
	failures := 0
	for ctx.Err() == nil {
		if !w.needed() {
			listed = false
			pause(ctx, idlePollInterval)
			continue
		}
		sent := clock.Boot()
		var err error
		if listed {
			rev, err = w.watch(ctx, rev)
		} else {
			rev, err = w.list(ctx)
			listed = err == nil
		}
		if err == nil {
			w.recordSuccess(sent, rev)
			failures = 0
			pause(ctx, w.pauseDuration())
			continue
		}
		w.called(ctx, err)
		if failures++; failures == 1 {
			w.failedSince = sent
			w.log.Event("store_lost").Str("watch", w.name).Err(err).Send()
		}
		if errors.Is(err, store.ErrCompacted) {
			// The store has answered, so list at once.
			listed = false
			continue
		}
		if failures > 1 {
			pause(ctx, watchRetryDelay+w.pauseDuration())
		}
	}
	return ctx.Err()
}

func (w *watcher) recordSuccess(sent time.Time, rev topo.Revision) {
	now := clock.Boot()
	if !w.failedSince.IsZero() {
		w.log.Event("store_regained").Str("watch", w.name).Dur("after_ms", now.Sub(w.failedSince)).Send()
		w.failedSince = time.Time{}
	}
	w.advance(rev, sent)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastResponse = now
}

func (w *watcher) list(ctx context.Context) (topo.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	l := w.newListing()
	rev, err := store.Scan(ctx, w.objects, w.prefix, func(o store.Object) int { return l.add(o, clock.Boot()) })
	if err != nil {
		return 0, err
	}
	now := clock.Boot()
	w.called(ctx, nil)
	l.apply(rev, now)
	return rev, nil
}

func (w *watcher) watch(ctx context.Context, rev topo.Revision) (topo.Revision, error) {
	wait := w.wait
	if w.waitLimit != nil {
		wait = min(wait, w.waitLimit())
	}
	c, err := w.objects.Watch(ctx, w.prefix, rev, wait)
	if err != nil {
		return rev, err
	}
	now := clock.Boot()
	w.called(ctx, nil)
	for _, e := range c.Events {
		w.applyEvent(e, now)
	}
	return max(rev, c.Revision), nil
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// newWatchers returns the watchers for the configuration, the servers, the evacuated data
// centres and, if the bounds limit them, the roll-outs.
func (n *Node) newWatchers() []*watcher {
	objects, prefixes := n.platform.Objects(), n.platform.Prefixes()
	config := &watcher{
		name: "config", prefix: prefixes.Config,
		newListing: func() listing { return &configListing{node: n} },
		applyEvent: func(e store.Event, _ time.Time) {
			if !e.Deleted {
				n.applyConfigObject(e.Object)
			}
		},
		advance: func(rev topo.Revision, at time.Time) {
			if n.storeEra.proves(rev, at) {
				n.view.Confirm(at)
			}
		},
		waitLimit: func() time.Duration { return n.storeEra.watchLimit(clock.Boot(), n.view.Confirmed()) },
	}
	servers := &watcher{
		name: "servers", prefix: prefixes.Servers, applyEvent: n.changeServer,
		newListing: func() listing { return &serverListing{node: n} },
		advance: func(rev topo.Revision, _ time.Time) {
			n.view.Directory(func(d *directory.Directory) {
				d.AdvanceRev(int64(rev))
				d.Expire(clock.Boot())
			})
		},
	}
	evacuations := n.evacuationWatcher(prefixes.Evacuations)
	list := []*watcher{config, servers, evacuations}
	if n.rollouts != nil && n.rollouts.enabled() {
		list = append(list, n.rolloutWatcher(prefixes.Rollouts))
	}
	for _, w := range list {
		w.objects, w.needed, w.log, w.wait = objects, n.needsStore, n.log, watchTimeout
		w.pauseDuration, w.called = n.watchPause, n.contact.called
	}

	return list
}

// watchPause returns the pause between two watches on this VM.
func (n *Node) watchPause() time.Duration {
	if _, leads := n.lease.Leads(); leads {
		return minWatchPause
	}
	return minWatchPause + time.Duration(len(n.view.Snapshot().Members))*watchPausePerVM
}

// applyConfigObject puts the configuration in force if o is the configuration
// object. Invalid configurations are logged and ignored.
func (n *Node) applyConfigObject(o store.Object) {
	if o.Key != n.platform.ConfigKey() {
		return
	}
	if err := n.setConfig(o.Value, int64(o.Revision)); err != nil {
		revision(n.log.Event("config_refused"), o.Revision).Err(err).Send()
	}
}

// configListing is a list of the kind of object to which the configuration belongs.
type configListing struct {
	node   *Node
	config *store.Object
}

func (l *configListing) add(o store.Object, _ time.Time) int {
	if o.Key != l.node.platform.ConfigKey() {
		return 0
	}
	o.Value = bytes.Clone(o.Value)
	l.config = &o
	return len(o.Value)
}

func (l *configListing) apply(topo.Revision, time.Time) {
	if l.config != nil {
		l.node.applyConfigObject(*l.config)
	}
}

// serverListing is a list of the servers' entries. Entries of other programs may be many
// and long, so only the servers are kept.
type serverListing struct {
	node    *Node
	servers []directory.Server
}

func (l *serverListing) add(o store.Object, now time.Time) int {
	s, err := l.node.platform.DecodeServer(o, now)
	if err != nil {
		l.node.log.Event("entry_ignored").Err(err).Send()
		return 0
	}
	l.servers = append(l.servers, s)
	return s.Bytes()
}

func (l *serverListing) apply(rev topo.Revision, now time.Time) {
	l.node.view.Directory(func(d *directory.Directory) {
		for _, s := range l.servers {
			l.node.logIfOlder(d, s)
		}
		d.Replace(l.servers, int64(rev), now)
	})
}

func (n *Node) changeServer(e store.Event, now time.Time) {
	id := topo.ServerID(n.platform.Name(e.Key))
	if e.Deleted {
		lapsed := false
		n.view.Directory(func(d *directory.Directory) {
			d.Remove(id, int64(e.Revision), now)
			lapsed = d.Lapsed(id)
		})
		revision(n.log.Event("server_gone").Str("server", string(id)).Bool("kept", lapsed), e.Revision).Send()
		return
	}
	s, err := n.platform.DecodeServer(e.Object, now)
	if err != nil {
		// Remove the server, because its last valid entry may be out of date.
		n.log.Event("entry_ignored").Err(err).Send()
		n.view.Directory(func(d *directory.Directory) { d.Remove(id, int64(e.Revision), now) })
		return
	}
	line := n.log.Event("server").Str("server", string(id)).Str("service", string(s.Service)).Uint8("state", uint8(s.State)).
		Int64("born", s.StartedAtMs).Dur("cold_ms", s.ColdFor)
	revision(line, e.Revision).Send()
	n.view.Directory(func(d *directory.Directory) {
		n.logIfOlder(d, s)
		d.Put(s)
	})
}

// logIfOlder logs an entry that is older than what is known, because the store
// came back from an older copy.
func (n *Node) logIfOlder(d *directory.Directory, s directory.Server) {
	if !d.Older(&s) {
		return
	}
	line := n.log.Event("server_older").Str("server", string(s.ID)).Uint8("state", uint8(s.State)).
		Int64("born", s.StartedAtMs).Int64("seq", s.Seq)
	revision(line, topo.Revision(s.Rev)).Send()
}
