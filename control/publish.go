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

// maxRetainedDeltas is the number of deltas that are kept for VMs that lag. A VM that
// lags further gets a full copy.
const maxRetainedDeltas = 256

// publisher holds what the controller publishes. Streams compare it with what
// they sent last, so a slow VM never makes it grow.
type publisher struct {
	mu           sync.Mutex
	config       *config.View
	table        *slicemap.Table
	configDeltas []config.Delta
	tableDeltas  []*slicemap.Delta
	// changed is closed and replaced with every change.
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

// setTable publishes a table; delta, if any, leads to it.
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

// position is what a VM has.
type position struct {
	revision topo.Revision
	table    slicemap.Version
}

// next returns what a VM at pos needs, the position after it, and a channel
// that is closed at the next change. ok is false when the publisher is closed.
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

// configSince joins the kept deltas after a revision, or returns a full copy.
func (p *publisher) configSince(rev topo.Revision) config.Delta {
	for i, d := range p.configDeltas {
		if rev == 0 || d.From != rev {
			continue
		}
		joined := config.Delta{From: rev, To: p.config.Revision()}
		for _, d := range p.configDeltas[i:] {
			joined.Events = append(joined.Events, d.Events...)
		}
		return joined
	}
	return config.FullCopy(store.Listing{Objects: p.config.Objects(), Revision: p.config.Revision()})
}

// tableSince returns the kept delta that starts from a version, or a full copy.
// Deltas are not joined: a home VM must see every owner of a slice to know who
// has the slice's history.
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

// snapshotKey is the object that holds the cell's routing table. It is read
// when no VM that ran before the controller's term is left.
func (n *Node) snapshotKey() string { return "table/" + string(n.cell) }

// storeSnapshots writes the routing table to the store after changes, until ctx
// ends.
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
			c.log.Warn().Err(err).Msg("routing table was not written to the store")
			continue
		}
		written = table.Version()
	}
}

func (c *controller) writeSnapshot(ctx context.Context, table *slicemap.Table) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	data := table.FullCopy().Encode(nil)
	_, err := store.Update(ctx, c.node.cfg.Store, c.node.snapshotKey(), c.node.writer(), func(old *store.Object) ([]byte, error) {
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

// adoptSnapshot reads the stored table and hands it to the assigner.
func (c *controller) adoptSnapshot(ctx context.Context) slicemap.Version {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	obj, err := c.node.cfg.Store.Get(ctx, c.node.snapshotKey())
	if err != nil {
		return slicemap.Version{}
	}
	table, err := decodeTable(obj.Value)
	if err != nil {
		c.log.Error().Err(err).Msg("stored routing table is invalid")
		return slicemap.Version{}
	}
	c.mu.Lock()
	c.assigner.Adopt(time.Now(), table)
	c.mu.Unlock()
	c.requestStep()
	return table.Version()
}
