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
	settled := a.node.lease.HandedOver()
	a.machines[t.Service] = ownership.New(start, t, version, a.node.bounds().MaxHold, settled)
	a.node.log.Event("table_adopted").Str("service", string(t.Service)).Int("ranges", len(t.Ranges)).
		Bool("settled", settled).Send()
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
		if err != nil && !errors.Is(err, store.ErrThrottled) {
			stored, err = a.confirmStored(ctx, t, err)
		}
		a.results.Put(ctx, func() {
			if err != nil {
				a.node.log.Event("table_unwritten").Str("service", string(t.Service)).Err(err).Send()
				m.StoreFailed()
				return
			}
			m.Stored(stored)
		})
	}()
}

// confirmStored reads a table whose write failed, to find out whether it was
// stored nevertheless. If not, it returns cause.
func (a *assigner) confirmStored(ctx context.Context, t *keyrange.Table, cause error) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	o, err := a.node.platform.Objects().Get(ctx, a.tableKey(t.Service))
	if err != nil {
		return 0, cause
	}
	got, err := keyrange.Decode(o.Value)
	if err != nil || got.Term != t.Term || got.NextFence != t.NextFence {
		return 0, cause
	}
	return o.Version, nil
}
