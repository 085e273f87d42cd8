// Package teststore is a small in-memory store.Store for tests of packages that
// write to the store. It exists until the fake of package store is merged.
package teststore

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

// Store keeps objects in memory. The zero value is ready for use.
type Store struct {
	// Before is called before each call with the operation (get, list, put,
	// delete) and the key. An error ends the call without effect.
	Before func(op, key string) error
	// After is called after each call that took effect. An error replaces
	// the answer, which is then lost.
	After func(op, key string) error
	// Calls counts the calls that took effect, by operation and key.
	Calls map[string]int

	mu       sync.Mutex
	objects  map[string]store.Object
	revision topo.Revision
}

var _ store.Store = (*Store)(nil)

// Revision returns the revision of the last write.
func (s *Store) Revision() topo.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// runOp runs one operation between the two hooks, which run without the lock.
func (s *Store) runOp(ctx context.Context, op, key string, f func() error) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if s.Before != nil {
		if err := s.Before(op, key); err != nil {
			return err
		}
	}
	s.mu.Lock()
	err := f()
	if s.Calls == nil {
		s.Calls = map[string]int{}
	}
	if err == nil {
		s.Calls[op+" "+key]++
	}
	s.mu.Unlock()
	if err == nil && s.After != nil {
		err = s.After(op, key)
	}
	return err
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (o store.Object, err error) {
	err = s.runOp(ctx, "get", key, func() error {
		found := false
		if o, found = s.objects[key]; !found {
			return errors.Annotate(store.ErrNotFound, key)
		}
		return nil
	})
	return o, err
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) (l store.Listing, err error) {
	err = s.runOp(ctx, "list", prefix, func() error {
		for key, o := range s.objects {
			if strings.HasPrefix(key, prefix) {
				l.Objects = append(l.Objects, o)
			}
		}
		sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Key < l.Objects[j].Key })
		l.Revision = s.revision
		return nil
	})
	return l, err
}

// Put implements store.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, ifVersion uint64, writer string) (o store.Object, err error) {
	err = s.runOp(ctx, "put", key, func() error {
		if len(value) > store.MaxValueBytes {
			return store.ErrTooLarge
		}
		if s.objects[key].Version != ifVersion {
			return errors.Annotate(store.ErrConflict, key)
		}
		s.revision++
		o = store.Object{Key: key, Value: append([]byte(nil), value...), Version: ifVersion + 1, Revision: s.revision, Writer: writer}
		if s.objects == nil {
			s.objects = map[string]store.Object{}
		}
		s.objects[key] = o
		return nil
	})
	if err != nil {
		return store.Object{}, err
	}
	return o, nil
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, ifVersion uint64, _ string) error {
	return s.runOp(ctx, "delete", key, func() error {
		o, ok := s.objects[key]
		if !ok {
			return errors.Annotate(store.ErrNotFound, key)
		}
		if o.Version != ifVersion {
			return errors.Annotate(store.ErrConflict, key)
		}
		s.revision++
		delete(s.objects, key)
		return nil
	})
}

// Watch is not needed by the tests of writers.
func (s *Store) Watch(context.Context, string, topo.Revision, time.Duration) (store.Changes, error) {
	return store.Changes{}, errors.NotImplementedf("watch")
}

// VMs is not needed by the tests of writers.
func (s *Store) VMs(context.Context) ([]store.VMState, error) {
	return nil, errors.NotImplementedf("list of VMs")
}
