package control

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/peer/peerpb"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

// maxRetainedDeltas is the number of deltas retained for VMs that lag behind. A
// VM that lags further receives a full copy.
const maxRetainedDeltas = 256

// publisher holds the configuration and routing table that the controller
// publishes. Each stream compares them with what it sent last, so a slow VM
// does not increase the publisher's memory use.
type publisher struct {
	mu           sync.Mutex
	config       *config.View
	table        *slicemap.Table
	configDeltas []config.Delta
	tableDeltas  []*slicemap.Delta
	// changed is closed and replaced on every change.
	changed chan struct{}
	closed  bool
}

func newPublisher(view *config.View, table *slicemap.Table) *publisher {
	return &publisher{config: view, table: table, changed: make(chan struct{})}
}

func (p *publisher) view() *config.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.config
}

func (p *publisher) revision() topo.Revision { return p.view().Revision() }

func (p *publisher) tableVersion() slicemap.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Version()
}

func (p *publisher) setView(view *config.View, d config.Delta) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = view
	p.configDeltas = trimDeltas(append(p.configDeltas, d))
	p.notify()
}

// setTable publishes a table. delta is the change from the previous table; if it
// is nil, the retained table deltas are discarded.
func (p *publisher) setTable(table *slicemap.Table, delta *slicemap.Delta) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if table.Version() == p.table.Version() {
		return
	}
	p.table = table
	if delta != nil {
		p.tableDeltas = trimDeltas(append(p.tableDeltas, delta))
	} else {
		p.tableDeltas = nil
	}
	p.notify()
}

func trimDeltas[T any](list []T) []T {
	if len(list) > maxRetainedDeltas {
		return append([]T(nil), list[len(list)-maxRetainedDeltas/2:]...)
	}
	return list
}

func (p *publisher) notify() {
	if !p.closed {
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

// close ends all streams.
func (p *publisher) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		close(p.changed)
	}
}

// position is the configuration revision and table version that a VM has.
type position struct {
	revision topo.Revision
	table    slicemap.Version
}

// next returns the next event for a VM at pos, the position after it, and a
// channel that is closed at the next change. ok is false if the publisher is
// closed.
func (p *publisher) next(pos position) (ev *peerpb.SyncEvent, after position, changed <-chan struct{}, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ev, after = &peerpb.SyncEvent{}, pos
	if p.config.Revision() > pos.revision {
		ev.Config = encodeConfig(p.configSince(pos.revision))
		after.revision = p.config.Revision()
	}
	if pos.table.Less(p.table.Version()) {
		d := p.tableSince(pos.table)
		ev.Table = &peerpb.TableDelta{Data: d.Encode(nil)}
		after.table = d.To
	}
	return ev, after, p.changed, !p.closed
}

// configSince merges the retained deltas after a revision, or returns a full
// copy.
func (p *publisher) configSince(rev topo.Revision) config.Delta {
	for i, d := range p.configDeltas {
		if rev == 0 || d.From != rev {
			continue
		}
		merged := config.Delta{From: rev, To: p.config.Revision()}
		for _, d := range p.configDeltas[i:] {
			merged.Events = append(merged.Events, d.Events...)
		}
		return merged
	}
	return config.FullCopy(store.Listing{Objects: p.config.Objects(), Revision: p.config.Revision()})
}

// tableSince returns the retained delta that starts from a version, or a full
// copy. Deltas are not merged: a home VM must see every owner of a slice to
// know which VM has the slice's history.
func (p *publisher) tableSince(v slicemap.Version) *slicemap.Delta {
	for _, d := range p.tableDeltas {
		if d.From == v {
			return d
		}
	}
	return p.table.FullCopy()
}

// snapshotInterval separates writes of the routing table to the store.
const snapshotInterval = time.Second

// snapshotKey returns the key of the object that holds the cell's routing
// table. The stored table is needed if no VM that was running before the
// controller's term is still running.
func (n *Node) snapshotKey() string { return "table/" + string(n.cell) }

// storeSnapshots adopts the stored routing table and then writes the table to
// the store after changes, until ctx ends.
func (c *controller) storeSnapshots(ctx context.Context) {
	written := c.adoptSnapshot(ctx)
	for sleep(ctx, snapshotInterval) {
		c.pub.mu.Lock()
		table := c.pub.table
		c.pub.mu.Unlock()
		if !written.Less(table.Version()) {
			continue
		}
		if err := c.writeSnapshot(ctx, table); err != nil {
			c.log.Warn().Err(err).Msg("cannot write the routing table to the store")
			continue
		}
		written = table.Version()
	}
}

func (c *controller) writeSnapshot(ctx context.Context, table *slicemap.Table) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	data := table.FullCopy().Encode(nil)
	_, err := store.Update(ctx, c.node.cfg.Store, c.node.snapshotKey(), c.node.newWriterID(), func(old *store.Object) ([]byte, error) {
		if old == nil {
			return data, nil
		}
		stored, err := decodeTable(old.Value)
		if err == nil && !stored.Version().Less(table.Version()) {
			return nil, errNoChange
		}
		return data, nil
	})
	if errors.Is(err, errNoChange) {
		return nil
	}
	return errors.Trace(err)
}

// adoptSnapshot reads the stored table and passes it to the assigner. It
// returns the table's version, or the zero version if there is no readable
// table.
func (c *controller) adoptSnapshot(ctx context.Context) slicemap.Version {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	obj, err := c.node.cfg.Store.Get(ctx, c.node.snapshotKey())
	if err != nil {
		return slicemap.Version{}
	}
	table, err := decodeTable(obj.Value)
	if err != nil {
		c.log.Error().Err(err).Msg("cannot decode the stored routing table")
		return slicemap.Version{}
	}
	c.mu.Lock()
	c.assigner.Adopt(time.Now(), table)
	c.mu.Unlock()
	c.requestStep()
	return table.Version()
}
