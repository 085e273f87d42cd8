package node

import (
	"sync"
	"time"

	"godwitlock.example/godwitlock/fleet"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/placement"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

// loads holds the load of each keyed service. It implements fleet.Loads and is
// safe for concurrent use.
type loads struct {
	mu        sync.Mutex
	byService map[topo.ServiceName]*placement.Load
	view      *view.View
}

var _ fleet.Loads = (*loads)(nil)

func newLoads(v *view.View) *loads {
	return &loads{byService: make(map[topo.ServiceName]*placement.Load), view: v}
}

func (l *loads) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.byService)
}

// withLoad calls f with the load of a service while it holds l.mu.
func (l *loads) withLoad(name topo.ServiceName, f func(*placement.Load)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.load(name))
}

func (l *loads) load(name topo.ServiceName) *placement.Load {
	svcLoad := l.byService[name]
	if svcLoad == nil {
		svcLoad = placement.NewLoad()
		l.byService[name] = svcLoad
	}
	return svcLoad
}

// Count implements fleet.Loads.
func (l *loads) Count(service topo.ServiceName, key keyrange.Key, n float64) {
	l.withLoad(service, func(svcLoad *placement.Load) { svcLoad.Count(key, n) })
}

// Answered implements fleet.Loads.
func (l *loads) Answered(id topo.ServerID, n int, mean time.Duration) {
	if s := l.view.Snapshot().Servers[id]; s != nil {
		l.withLoad(s.Service, func(svcLoad *placement.Load) { svcLoad.RecordResponses(id, n, mean) })
	}
}

// TurnedAway implements fleet.Loads.
func (l *loads) TurnedAway(id topo.ServerID, n int) {
	if s := l.view.Snapshot().Servers[id]; s != nil && n > 0 {
		l.withLoad(s.Service, func(svcLoad *placement.Load) { svcLoad.RecordTurnedAway(id, n) })
	}
}
