package node

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/ownership"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

// tableRetryInterval is the interval between two attempts to read a table that could
// not be read.
const tableRetryInterval = 2 * time.Second

// adoptTables loads the stored tables. Each table is written again under the new
// term, so that a delayed write of an earlier leader fails. A service whose table
// cannot be read is left out until it can be, and holds up no other service.
func (a *assigner) adoptTables(ctx context.Context, start time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	l, err := a.node.platform.Objects().List(ctx, a.node.platform.InternalKey("tables", ""))
	if err != nil {
		a.node.log.Event("tables_unread").Err(err).Send()
		return false
	}
	a.unreadable = make(map[string]time.Time)
	for _, o := range l.Objects {
		t, err := a.decodeTable(o, a.term)
		if err != nil {
			a.node.log.Event("table_unreadable").Str("object", o.Key).Err(err).Send()
			a.unreadable[o.Key] = start
			continue
		}
		if a.machines[t.Service] != nil {
			continue
		}
		version, err := a.putTable(ctx, t, o.Version)
		if err != nil {
			a.node.log.Event("table_unwritten").Str("service", string(t.Service)).Err(err).Send()
			return false
		}
		a.adopt(t, version, start)
	}
	return true
}

// firstStoreEra is the era of a store that never returned to an older copy.
const firstStoreEra topo.Era = 1

// pristineStore reports whether the store cannot have lost a lease or a table: the
// whole system starts for the first time.
func (n *Node) pristineStore() bool {
	return n.settings.Bootstrap && store.EraOf(n.platform.Objects()) <= firstStoreEra
}

// newTable returns the first table of a service, or of one whose table the store may
// have lost.
func (a *assigner) newTable(service topo.ServiceName) *keyrange.Table {
	era := store.EraOf(a.node.platform.Objects())
	t := &keyrange.Table{Service: service, Term: a.term, NextFence: 1}
	if !a.node.pristineStore() {
		t = t.SkipLostFences(era, a.node.lease.EarlierLeaders())
	}
	t.Era = era
	return t
}

// lostTableWait returns how long after the beginning of its term the leader waits
// before it creates a table: the store may have lost one, and servers may still hold
// keys by it.
func (a *assigner) lostTableWait() time.Duration {
	if store.EraOf(a.node.platform.Objects()) == 0 || a.node.pristineStore() {
		return 0
	}
	return ownership.RestoreWait(a.node.bounds().MaxHold)
}

// decodeTable decodes the stored table of a service, and gives it the term. It returns
// an error for an object that is not the table of the service that it is named after.
func (a *assigner) decodeTable(o store.Object, term topo.Term) (*keyrange.Table, error) {
	t, err := keyrange.Decode(o.Value)
	if err != nil {
		return nil, err
	}
	if o.Key != a.tableKey(t.Service) {
		return nil, errors.Errorf("the object holds a table of service %.64q", t.Service)
	}
	t.Term = term
	return t, nil
}

func (a *assigner) tableKey(service topo.ServiceName) string {
	return a.node.platform.InternalKey("tables", string(service))
}

// adopt starts the machine of a service from its stored table.
func (a *assigner) adopt(t *keyrange.Table, version uint64, start time.Time) {
	settled, era := a.node.lease.HandedOver(), topo.Revision(version).Era()
	if t.Era < era {
		a.machines[t.Service] = ownership.NewRestored(a.earlierOrdersEnd(start), t, version, a.node.bounds().MaxHold, era, a.node.lease.EarlierLeaders())
	} else {
		a.machines[t.Service] = ownership.New(start, t, version, a.node.bounds().MaxHold, settled)
	}
	a.node.log.Event("table_adopted").Str("service", string(t.Service)).Int("ranges", len(t.Ranges)).
		Bool("settled", settled).Uint64("table_era", uint64(t.Era)).Uint64("store_era", uint64(era)).Send()
}

// retryTable reads a table that could not be read once more, in the background, and
// adopts it if it can be read now. It reports whether the table could not be read.
func (a *assigner) retryTable(now time.Time, service topo.ServiceName) bool {
	key := a.tableKey(service)
	tried, unreadable := a.unreadable[key]
	if !unreadable || now.Sub(tried) < tableRetryInterval {
		return unreadable
	}
	a.unreadable[key] = now
	ctx, term := a.termCtx, a.term
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, tableCallTimeout)
		defer cancel()
		var t *keyrange.Table
		var version uint64
		o, err := a.node.platform.Objects().Get(callCtx, key)
		if err == nil {
			t, err = a.decodeTable(o, term)
		}
		if err == nil {
			version, err = a.putTable(callCtx, t, o.Version)
		}
		a.results.Put(ctx, func() {
			switch {
			case ctx.Err() != nil:
			case errors.Is(err, store.ErrNotFound):
				delete(a.unreadable, key)
			case err != nil:
				a.node.log.Event("table_unreadable").Str("object", key).Err(err).Send()
			default:
				delete(a.unreadable, key)
				a.adopt(t, version, now)
			}
		})
	}()
	return true
}

func (a *assigner) putTable(ctx context.Context, t *keyrange.Table, version uint64) (uint64, error) {
	data, err := t.Encode()
	if err != nil {
		return 0, err
	}
	key := a.tableKey(t.Service)
	o, err := a.node.platform.Objects().Put(ctx, key, data, version, uuid.NewString())
	return o.Version, err
}

// startTableWrite writes the pending table of a machine in the background. Changes
// within the write interval are combined into one write, because calls to the
// store are expensive.
func (a *assigner) startTableWrite(now time.Time, m *ownership.Machine, servers int) {
	if now.Sub(a.lastTableWrite[m]) < minTableWriteInterval+time.Duration(servers)*tableWriteIntervalPerServer {
		return
	}
	m.SetEra(store.EraOf(a.node.platform.Objects()))
	t, version, ok := m.Pending()
	if !ok {
		return
	}
	a.lastTableWrite[m] = now
	ctx := a.termCtx
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, tableCallTimeout)
		defer cancel()
		stored, err := a.putTable(callCtx, t, version)
		found := storedTable{tableWritten, stored}
		switch {
		case errors.Is(err, store.ErrThrottled):
			found = storedTable{state: tableUnknown}
		case err != nil:
			found = a.readBack(ctx, t)
		}
		a.results.Put(ctx, func() {
			if a.termCtx != ctx {
				return
			}
			if found.state != tableWritten {
				a.node.log.Event("table_unwritten").Str("service", string(t.Service)).Uint8("found", uint8(found.state)).Err(err).Send()
			}
			switch found.state {
			case tableWritten:
				m.Stored(found.version)
			case tableOlder:
				m.StoreOverwritten(found.version)
			default:
				m.StoreFailed()
			}
		})
	}()
}

// tableState is what the store has in place of a table that was to be written.
type tableState uint8

const (
	// tableUnknown: the table could not be read, or was written by a later leader.
	tableUnknown tableState = iota
	// tableWritten: the write took effect.
	tableWritten
	// tableOlder: the store has a table of this leader or an earlier one, or none,
	// after it returned to an older copy or a delayed write took effect.
	tableOlder
)

type storedTable struct {
	state   tableState
	version uint64
}

// readBack reads a table whose write failed, to find out whether it was stored
// nevertheless and, if not, which version is to be replaced.
func (a *assigner) readBack(ctx context.Context, t *keyrange.Table) storedTable {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	o, err := a.node.platform.Objects().Get(ctx, a.tableKey(t.Service))
	if errors.Is(err, store.ErrNotFound) {
		return storedTable{tableOlder, store.MustNotExist}
	}
	if err != nil {
		return storedTable{state: tableUnknown}
	}
	got, err := keyrange.Decode(o.Value)
	switch {
	case err != nil || got.Term > t.Term:
		return storedTable{state: tableUnknown}
	case got.Term == t.Term && got.NextFence == t.NextFence && got.Era == t.Era:
		return storedTable{tableWritten, o.Version}
	}
	return storedTable{tableOlder, o.Version}
}
