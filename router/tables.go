package router

import (
	"sync"

	"godwitlock.example/godwitlock/slicemap"
)

// Tables holds the current routing table of this VM and notifies waiters when
// it changes. It is safe for concurrent use.
type Tables struct {
	holder *slicemap.Holder
	mu     sync.Mutex
	// changed is closed and replaced whenever a new table is stored.
	changed chan struct{}
}

// NewTables returns Tables that hold the empty table.
func NewTables() *Tables {
	return &Tables{holder: slicemap.NewHolder(), changed: make(chan struct{})}
}

// Load returns the current table.
func (t *Tables) Load() *slicemap.Table { return t.holder.Load() }

// Watch returns the current table and a channel that is closed when a newer
// table is stored.
func (t *Tables) Watch() (*slicemap.Table, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder.Load(), t.changed
}

// Apply applies d to the current table. On an error of type
// *slicemap.ApplyError the table is unchanged.
func (t *Tables) Apply(d *slicemap.Delta) error {
	return t.update(func() error { return t.holder.Apply(d) })
}

// Store replaces the current table with a newer one.
func (t *Tables) Store(table *slicemap.Table) error {
	return t.update(func() error { return t.holder.Store(table) })
}

func (t *Tables) update(change func() error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := change(); err != nil {
		return err
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return nil
}
