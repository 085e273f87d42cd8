// Package memstore implements the platform's object API in memory, with
// versions, watches, compaction and fault injection. Tests use it directly, and
// the platform stand-in serves it over HTTP.
package memstore

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

// DefaultHistoryEvents is the number of past events that New keeps for watches.
const DefaultHistoryEvents = 10_000

// sharedState is the content that all access points to one store share. Versions and
// revisions in it are without the era.
type sharedState struct {
	mu        sync.Mutex
	era       topo.Era
	objects   map[string]store.Object
	revision  topo.Revision
	events    []store.Event // in order; the oldest has revision compacted+1
	compacted topo.Revision
	maxEvents int
	vms       []store.VMState
	changed   chan struct{} // closed and replaced at every change
}

// Store is one access point to the shared content, with faults of its own. It
// is safe for concurrent use.
type Store struct {
	shared *sharedState

	mu            sync.Mutex
	faults        Faults
	reads         bucket
	writes        bucket
	faultsChanged chan struct{} // closed and replaced when the faults change
}

var _ store.Store = (*Store)(nil)

// New returns an empty store that keeps DefaultHistoryEvents events for watches.
func New() *Store { return NewWithHistory(DefaultHistoryEvents) }

// NewWithHistory returns an empty store that keeps the last n events for
// watches. n must be positive.
func NewWithHistory(n int) *Store {
	shared := &sharedState{objects: map[string]store.Object{}, maxEvents: n, changed: make(chan struct{})}
	return &Store{shared: shared, faultsChanged: make(chan struct{})}
}

// Attach returns another access point to the same content, without faults. A
// test that gives each process its own access point can inject faults into one
// process only.
func (s *Store) Attach() *Store { return &Store{shared: s.shared, faultsChanged: make(chan struct{})} }

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Object, error) {
	if err := s.injectFaults(ctx, &s.reads, Faults.readRate); err != nil {
		return store.Object{}, err
	}
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	obj, ok := s.shared.objects[key]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return s.shared.inEra(clone(obj)), nil
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) (store.Listing, error) {
	if err := s.injectFaults(ctx, &s.reads, Faults.readRate); err != nil {
		return store.Listing{}, err
	}
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	l := store.Listing{Revision: topo.RevisionOf(s.shared.era, uint64(s.shared.revision))}
	for key, obj := range s.shared.objects {
		if strings.HasPrefix(key, prefix) {
			l.Objects = append(l.Objects, s.shared.inEra(clone(obj)))
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Key < l.Objects[j].Key })
	return l, nil
}

// Put implements store.Store. With ErrConflict it returns the current object
// without its value.
func (s *Store) Put(ctx context.Context, key string, value []byte, ifVersion uint64, writer string) (store.Object, error) {
	if err := store.ValidateKey(key); err != nil {
		return store.Object{}, err
	}
	if len(value) > store.MaxValueBytes {
		return store.Object{}, store.ErrTooLarge
	}
	if err := s.injectFaults(ctx, &s.writes, Faults.writeRate); err != nil {
		return store.Object{}, err
	}
	obj, err := s.shared.put(key, bytes.Clone(value), ifVersion, writer)
	if err != nil {
		return obj, err
	}
	if s.loseResponse() {
		return store.Object{}, ErrResponseLost
	}
	return clone(obj), nil
}

// Delete implements store.Store. It returns ErrNotFound if the object is
// absent.
func (s *Store) Delete(ctx context.Context, key string, ifVersion uint64, writer string) error {
	_, err := s.DeleteObject(ctx, key, ifVersion, writer)
	return err
}

// DeleteObject is like Delete, but also returns the object without its value.
// The object has the revision and writer of the deletion, or its current state
// if the error is ErrConflict.
func (s *Store) DeleteObject(ctx context.Context, key string, ifVersion uint64, writer string) (store.Object, error) {
	if err := s.injectFaults(ctx, &s.writes, Faults.writeRate); err != nil {
		return store.Object{}, err
	}
	obj, err := s.shared.remove(key, ifVersion, writer)
	if err == nil && s.loseResponse() {
		return store.Object{}, ErrResponseLost
	}
	return obj, err
}

// Watch implements store.Store. It also returns ErrCompacted for a start
// revision above the store's own, so that the caller lists again.
func (s *Store) Watch(ctx context.Context, prefix string, after topo.Revision, wait time.Duration) (store.Changes, error) {
	if err := s.injectFaults(ctx, &s.reads, Faults.readRate); err != nil {
		return store.Changes{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	expired := false
	for {
		faults, faultsChanged := s.faultState()
		if faults.Down {
			return store.Changes{}, store.ErrUnavailable
		}
		ch, changed, err := s.shared.changes(prefix, after)
		if err != nil || len(ch.Events) > 0 || expired {
			return ch, err
		}
		// No event up to ch.Revision matches, so the next round skips them.
		after = ch.Revision
		select {
		case <-changed:
		case <-faultsChanged:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return store.Changes{}, ctx.Err()
		}
	}
}

// VMs implements store.Store.
func (s *Store) VMs(ctx context.Context) ([]store.VMState, error) {
	if err := s.injectFaults(ctx, &s.reads, Faults.readRate); err != nil {
		return nil, err
	}
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	return slices.Clone(s.shared.vms), nil
}

// SetVMs replaces the list of VMs for all access points.
func (s *Store) SetVMs(vms []store.VMState) {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	s.shared.vms = slices.Clone(vms)
}

// Compact discards all events up to and including revision upTo. After that, a
// watch from a revision below upTo fails with ErrCompacted.
func (s *Store) Compact(upTo topo.Revision) {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	s.shared.compact(min(topo.Revision(upTo.Counter()), s.shared.revision))
	s.shared.notify()
}

// Copy is the content of a store at one moment.
type Copy struct {
	objects             map[string]store.Object
	events              []store.Event
	revision, compacted topo.Revision
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	return Copy{
		objects: maps.Clone(s.shared.objects), events: slices.Clone(s.shared.events),
		revision: s.shared.revision, compacted: s.shared.compacted,
	}
}

// Restore replaces the content by an earlier copy and begins a new era. The store
// counts versions and revisions on from the copy, but returns them with the era in
// their upper bits, so that they are higher than those of earlier eras. Waiting
// watches fail with ErrCompacted.
func (s *Store) Restore(c Copy) {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	s.shared.objects, s.shared.events = maps.Clone(c.objects), slices.Clone(c.events)
	s.shared.revision, s.shared.compacted = c.revision, c.compacted
	s.shared.era++
	s.shared.notify()
}

// inEra returns the object with the era in its version and revision. An absent
// object keeps version 0. The caller holds st.mu.
func (st *sharedState) inEra(o store.Object) store.Object {
	if o.Version != 0 {
		o.Version = uint64(topo.RevisionOf(st.era, o.Version))
	}
	o.Revision = topo.RevisionOf(st.era, uint64(o.Revision))
	return o
}

func (st *sharedState) put(key string, value []byte, ifVersion uint64, writer string) (store.Object, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	cur, ok := st.objects[key]
	if ok != (ifVersion != store.MustNotExist) || ok && st.inEra(cur).Version != ifVersion {
		cur.Key, cur.Value = key, nil
		return st.inEra(cur), store.ErrConflict
	}
	st.revision++
	obj := store.Object{Key: key, Value: value, Version: cur.Version + 1, Revision: st.revision, Writer: writer}
	st.objects[key] = obj
	st.record(store.Event{Object: obj})
	return st.inEra(obj), nil
}

func (st *sharedState) remove(key string, ifVersion uint64, writer string) (store.Object, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	cur, ok := st.objects[key]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	cur.Value = nil
	if st.inEra(cur).Version != ifVersion {
		return st.inEra(cur), store.ErrConflict
	}
	st.revision++
	delete(st.objects, key)
	cur.Revision, cur.Writer = st.revision, writer
	st.record(store.Event{Object: cur, Deleted: true})
	return st.inEra(cur), nil
}

func (st *sharedState) record(ev store.Event) {
	st.events = append(st.events, ev)
	if len(st.events) > st.maxEvents {
		st.compact(st.events[len(st.events)-st.maxEvents-1].Revision)
	}
	st.notify()
}

func (st *sharedState) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *sharedState) compact(upTo topo.Revision) {
	if upTo <= st.compacted {
		return
	}
	st.events = st.events[upTo-st.compacted:]
	st.compacted = upTo
}

func (st *sharedState) changes(prefix string, after topo.Revision) (store.Changes, <-chan struct{}, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	counter := topo.Revision(after.Counter())
	if after.Era() != st.era || counter < st.compacted || counter > st.revision {
		return store.Changes{}, nil, store.ErrCompacted
	}
	ch := store.Changes{Revision: topo.RevisionOf(st.era, uint64(st.revision))}
	for _, ev := range st.events[counter-st.compacted:] {
		if strings.HasPrefix(ev.Key, prefix) {
			ev.Object = st.inEra(clone(ev.Object))
			ch.Events = append(ch.Events, ev)
		}
	}
	return ch, st.changed, nil
}

func clone(o store.Object) store.Object {
	o.Value = bytes.Clone(o.Value)
	return o
}

// ErrResponseLost is the error of a write that took effect but whose response was
// lost. It matches store.ErrUnavailable. Only the platform stand-in may
// distinguish it from other ErrUnavailable errors, since a real client cannot.
var ErrResponseLost = errors.WithType(errors.New("response lost"), store.ErrUnavailable)
