// Package teststore is a small in-memory store.Store for tests of packages that
// write to the store. It does not implement watches or the list of VMs; package
// store/memstore does, and is meant to replace it.
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
	// Before, if set, runs before each operation, with its name (get, list, put
	// or delete) and the key. If it returns an error, the operation has no effect
	// and returns that error.
	Before func(op, key string) error
	// After, if set, runs after each successful operation, with the same
	// arguments as Before. If it returns an error, the caller gets that error
	// although the operation took effect, as with a lost response.
	After func(op, key string) error
	// Calls counts the successful operations. Its keys are the operation and the
	// key, separated by a space.
	Calls map[string]int

	mu       sync.Mutex
	objects  map[string]store.Object
	revision topo.Revision
}

var _ store.Store = (*Store)(nil)

// Revision returns the revision of the last put or delete, or 0 before the first.
func (s *Store) Revision() topo.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// runOp calls f between the hooks Before and After. It holds the lock during f but
// not during the hooks, which may therefore call the store.
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

// Watch returns a NotImplemented error. The packages that use teststore do not
// watch the store.
func (s *Store) Watch(context.Context, string, topo.Revision, time.Duration) (store.Changes, error) {
	return store.Changes{}, errors.NotImplementedf("watch")
}

// VMs returns a NotImplemented error. The packages that use teststore do not list
// VMs.
func (s *Store) VMs(context.Context) ([]store.VMState, error) {
	return nil, errors.NotImplementedf("list of VMs")
}
