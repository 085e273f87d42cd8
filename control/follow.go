package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/peer/peerpb"
	"godwitlock.example/godwitlock/slicemap"
)

// followRetryDelay separates attempts to open the controller's stream.
const followRetryDelay = 50 * time.Millisecond

// Follow applies the configuration and routing table that the controller
// publishes, until ctx ends. It reconnects when the stream ends.
func (n *Node) Follow(ctx context.Context) error {
	full := false
	for ctx.Err() == nil {
		err := n.follow(ctx, full)
		full = needsFullCopy(err)
		sleep(ctx, followRetryDelay)
	}
	return ctx.Err()
}

// needsFullCopy reports whether err means that deltas cannot be applied and a
// full copy must be requested.
func needsFullCopy(err error) bool {
	var gap *config.GapError
	var applyErr *slicemap.ApplyError
	return errors.As(err, &gap) || errors.As(err, &applyErr) && applyErr.Reason != slicemap.Older
}

// follow reads the stream of the current controller. It ends the stream when
// another controller answers a heartbeat, because a stream from a partitioned
// controller never ends by itself.
func (n *Node) follow(ctx context.Context, full bool) error {
	n.mu.Lock()
	target, targetChanged := n.target, n.targetChanged
	n.mu.Unlock()
	client, ok := n.client(target)
	if !ok {
		return errNoController
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-targetChanged:
			cancel()
		case <-ctx.Done():
		}
	}()
	req := &peerpb.SyncRequest{Vm: string(n.cfg.VM.ID)}
	if !full {
		v := n.cfg.Tables.Load().Version()
		req.ConfigRevision, req.TableTerm, req.TableVersion = uint64(n.View().Revision()), uint64(v.Term), v.Seq
	}
	stream, err := client.Sync(ctx, req)
	if err != nil {
		return errors.Trace(err)
	}
	for {
		ev, err := stream.Recv()
		if err != nil {
			return errors.Trace(err)
		}
		if err := n.applyEvent(ev); err != nil {
			return errors.Trace(err)
		}
		n.RequestHeartbeat()
	}
}

// applyEvent applies one event. It ignores older revisions and versions, so
// that the configuration and table in use never revert.
func (n *Node) applyEvent(ev *peerpb.SyncEvent) error {
	if ev.Config != nil {
		if err := n.applyConfig(decodeConfig(ev.Config)); err != nil {
			return err
		}
	}
	if ev.Table == nil {
		return nil
	}
	delta, err := slicemap.DecodeDelta(ev.Table.GetData())
	if err != nil {
		return errors.Trace(err)
	}
	var refused *slicemap.ApplyError
	err = n.cfg.Tables.Apply(delta)
	if errors.As(err, &refused) && refused.Reason == slicemap.Older {
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	n.cfg.Home.SetTable(n.cfg.Tables.Load(), !delta.Full())
	return nil
}

func (n *Node) applyConfig(d config.Delta) error {
	view := n.View()
	if d.To <= view.Revision() {
		return nil
	}
	next, err := view.Apply(d)
	if err != nil {
		return errors.Trace(err)
	}
	n.view.Store(next)
	n.cfg.OnConfig(next)
	n.cfg.Freshness.MarkApplied(next.Revision())
	n.log.Info().Str("event", "config_applied").Uint64("revision", uint64(next.Revision())).Send()
	return nil
}
