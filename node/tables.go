package node

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/ownership"
	"godwitlock.example/godwitlock/store"
)

// adoptTables loads the stored tables. Each table is written again under the new
// term, so that a delayed write of an earlier leader fails.
func (a *assigner) adoptTables(ctx context.Context, start time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	l, err := a.node.platform.Objects().List(ctx, a.node.platform.InternalKey("tables", ""))
	if err != nil {
		a.node.log.Event("tables_unread").Err(err).Send()
		return false
	}
	settled := a.node.lease.HandedOver()
	for _, o := range l.Objects {
		t, err := keyrange.Decode(o.Value)
		if err != nil {
			a.node.log.Event("table_unreadable").Str("object", o.Key).Err(err).Send()
			return false
		}
		if a.machines[t.Service] != nil {
			continue
		}
		t.Term = a.term
		version, err := a.putTable(ctx, t, o.Version)
		if err != nil {
			a.node.log.Event("table_unwritten").Str("service", string(t.Service)).Err(err).Send()
			return false
		}
		a.machines[t.Service] = ownership.New(start, t, version, a.node.bounds().MaxHold, settled)
		a.node.log.Event("table_adopted").Str("service", string(t.Service)).Int("ranges", len(t.Ranges)).
			Bool("settled", settled).Send()
	}
	return true
}

func (a *assigner) putTable(ctx context.Context, t *keyrange.Table, version uint64) (uint64, error) {
	data, err := t.Encode()
	if err != nil {
		return 0, err
	}
	key := a.node.platform.InternalKey("tables", string(t.Service))
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
	o, err := a.node.platform.Objects().Get(ctx, a.node.platform.InternalKey("tables", string(t.Service)))
	if err != nil {
		return 0, cause
	}
	got, err := keyrange.Decode(o.Value)
	if err != nil || got.Term != t.Term || got.NextFence != t.NextFence {
		return 0, cause
	}
	return o.Version, nil
}
