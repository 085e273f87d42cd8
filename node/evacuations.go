package node

import (
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

// evacuations are the data centres out of service, as the store has them. Only the
// watcher uses it.
type evacuations struct {
	node   *Node
	listed map[topo.DataCentreName]bool
	// kept holds the data centres that are missing from a store which came back from
	// an older copy, with the time until which the operator writes them again.
	kept map[topo.DataCentreName]time.Time
}

func (n *Node) evacuationWatcher(prefix string) *watcher {
	e := &evacuations{node: n, listed: make(map[topo.DataCentreName]bool), kept: make(map[topo.DataCentreName]time.Time)}
	return &watcher{
		name: "evacuations", prefix: prefix, applyEvent: e.applyEvent,
		newListing: func() listing { return &evacuationListing{evacuations: e} },
		advance:    func(rev topo.Revision, _ time.Time) { e.apply(rev, clock.Boot()) },
	}
}

// evacuationListing is a list of the data centres out of service, which only their names
// tell.
type evacuationListing struct {
	evacuations *evacuations
	names       []topo.DataCentreName
}

func (l *evacuationListing) add(o store.Object, _ time.Time) int {
	name := l.evacuations.node.platform.Name(o.Key)
	l.names = append(l.names, topo.DataCentreName(name))
	return len(name)
}

func (l *evacuationListing) apply(rev topo.Revision, now time.Time) {
	l.evacuations.replace(l.names, rev, now)
}

// replace puts the listed data centres in place of those that are known.
func (e *evacuations) replace(names []topo.DataCentreName, rev topo.Revision, now time.Time) {
	e.node.view.Directory(func(d *directory.Directory) {
		known := topo.Revision(d.EvacuationRev())
		if known == 0 || rev.Era() <= known.Era() {
			return
		}
		for _, name := range d.Evacuated() {
			e.kept[name] = now.Add(directory.StoreRecoveryGrace)
		}
	})
	clear(e.listed)
	for _, name := range names {
		e.listed[name] = true
	}
}

func (e *evacuations) applyEvent(ev store.Event, _ time.Time) {
	name := topo.DataCentreName(e.node.platform.Name(ev.Key))
	revision(e.node.log.Event("data_centre").Str("data_centre", string(name)).Bool("in_service", ev.Deleted), ev.Revision).Send()
	if ev.Deleted {
		delete(e.listed, name)
		delete(e.kept, name)
		return
	}
	e.listed[name] = true
}

// apply puts the data centres out of service that the store has at rev, and those that
// are kept.
func (e *evacuations) apply(rev topo.Revision, now time.Time) {
	names := make([]topo.DataCentreName, 0, len(e.listed))
	for name := range e.listed {
		names = append(names, name)
	}
	for name, until := range e.kept {
		switch {
		case !now.Before(until):
			delete(e.kept, name)
		case !e.listed[name]:
			names = append(names, name)
		}
	}
	e.node.view.Directory(func(d *directory.Directory) { d.SetEvacuated(names, int64(rev)) })
}
