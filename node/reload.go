package node

import (
	"context"
	"time"
)

// reloadInterval is how often the settings file is looked at: it may change
// without a signal.
const reloadInterval = 2 * time.Second

// bounds returns the bounds in force.
func (n *Node) bounds() *Bounds { return n.activeBounds.Load() }

// Reload takes over what may change while the process runs, and returns the
// fields whose change needs a restart.
func (n *Node) Reload(set Settings) (restart []string) {
	for _, f := range []struct {
		name     string
		old, new any
	}{
		{"vm", n.set.VM, set.VM},
		{"data centre", n.set.DataCentre, set.DataCentre},
		{"callers' address", n.set.CallerAddr, set.CallerAddr},
		{"ready address", n.set.ReadyAddr, set.ReadyAddr},
		{"peers' address", n.set.PeerAddr, set.PeerAddr},
		{"metrics address", n.set.MetricsAddr, set.MetricsAddr},
		{"store's address", n.set.StoreAddr, set.StoreAddr},
	} {
		if f.old != f.new {
			restart = append(restart, f.name)
		}
	}
	if *n.bounds() != set.Bounds {
		n.activeBounds.Store(&set.Bounds)
		n.log.Event("reloaded").Strs("needs_restart", restart).Send()
	} else if len(restart) > 0 {
		n.log.Event("reload_needs_restart").Strs("fields", restart).Send()
	}
	return restart
}

// WatchSettings reloads the settings whenever signal delivers, and from time to
// time, until ctx ends. Load reads them.
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
