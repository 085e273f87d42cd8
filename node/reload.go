package node

import (
	"context"
	"time"
)

// reloadInterval is how often the settings file is read again, so that a change
// takes effect even if no signal is sent.
const reloadInterval = 2 * time.Second

// bounds returns the bounds in force.
func (n *Node) bounds() *Bounds { return n.activeBounds.Load() }

// Reload applies new bounds immediately. It returns the names of the other
// settings that changed; these take effect only after a restart.
func (n *Node) Reload(set Settings) (needsRestart []string) {
	for _, f := range []struct {
		name     string
		old, new any
	}{
		{"vm", n.settings.VM, set.VM},
		{"data centre", n.settings.DataCentre, set.DataCentre},
		{"callers' address", n.settings.CallerAddr, set.CallerAddr},
		{"ready address", n.settings.ReadyAddr, set.ReadyAddr},
		{"peers' address", n.settings.PeerAddr, set.PeerAddr},
		{"metrics address", n.settings.MetricsAddr, set.MetricsAddr},
		{"store's address", n.settings.StoreAddr, set.StoreAddr},
		{"heartbeat", n.settings.Heartbeat, set.Heartbeat},
	} {
		if f.old != f.new {
			needsRestart = append(needsRestart, f.name)
		}
	}
	if *n.bounds() != set.Bounds {
		n.activeBounds.Store(&set.Bounds)
		n.log.Event("reloaded").Strs("needs_restart", needsRestart).Send()
	} else if len(needsRestart) > 0 {
		n.log.Event("reload_needs_restart").Strs("fields", needsRestart).Send()
	}
	return needsRestart
}

// WatchSettings calls load and applies the returned settings at every
// reloadInterval and for each value received from signal, until ctx ends. If load
// fails, the current settings stay in force.
func (n *Node) WatchSettings(ctx context.Context, signal <-chan struct{}, load func() (Settings, error)) {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-signal:
		}
		set, err := load()
		if err != nil {
			n.log.Event("reload_failed").Err(err).Send()
			continue
		}
		n.Reload(set)
	}
}
