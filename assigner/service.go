package assigner

import (
	"maps"
	"slices"
	"time"

	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// service is the state of a service that is not part of the table.
type service struct {
	name        topo.ServiceName
	kind        topo.ServiceKind
	slices      uint32
	servers     []*server // by server index in the table
	byID        map[topo.ServerID]uint16
	owned       ownerIndex
	activeMoves map[topo.SliceID]*activeMove
	movesByPair map[serverPair]int
	retryAt     map[topo.SliceID]time.Time
	// tokens is the number of voluntary moves that may start now.
	tokens          float64
	tokensUpdatedAt time.Time
	hot             hotState
}

// server is the state of a server that is not part of the table.
type server struct {
	id         topo.ServerID
	slots      int
	configured bool
	// planned is the number of slices that the server will own after all moves.
	planned   int
	available bool
	// availabilityChangedAt is when available last changed.
	availabilityChangedAt time.Time
	// lost is true while the server is reported lost; lostAt is the table
	// version in which the last loss was recorded.
	lost               bool
	lostAt             slicemap.Version
	homeRetryAt        time.Time
	releaseRequestedAt time.Time
	// rate is the smoothed request rate in requests/s.
	rate float64
}

func newService(name topo.ServiceName, kind topo.ServiceKind, n uint32) *service {
	return &service{name: name, kind: kind, slices: n, byID: map[topo.ServerID]uint16{},
		owned: newOwnerIndex(n), activeMoves: map[topo.SliceID]*activeMove{}, movesByPair: map[serverPair]int{},
		retryAt: map[topo.SliceID]time.Time{}, hot: newHotState()}
}

// weight returns the server's share of the slices relative to other servers. The
// weight of a returning server grows over RampUpPeriod.
func (v *server) weight(now time.Time) float64 {
	if !v.available {
		return 0
	}
	ramp := float64(now.Sub(v.availabilityChangedAt)) / float64(RampUpPeriod)
	return float64(v.slots) * min(1, max(ramp, minRamp))
}

// minRamp keeps the weight of a server that just returned above zero, because it
// may be the only server.
const minRamp = 1e-6

// destination returns the server that will own the slice after its move, if any.
func destination(e slicemap.Entry) uint16 {
	if e.Next != slicemap.NoOwner {
		return e.Next
	}
	return e.Owner
}

// setEntry changes the entry of a slice or hot key in the table under construction
// and updates the indexes of the service.
func (a *Assigner) setEntry(s *service, id topo.SliceID, e slicemap.Entry) {
	if uint32(id) < s.slices {
		old := a.builder.Entry(s.name, id)
		if d := destination(old); d != slicemap.NoOwner {
			s.servers[d].planned--
		}
		if d := destination(e); d != slicemap.NoOwner {
			s.servers[d].planned++
		}
		s.owned.move(id, old.Owner, e.Owner)
	}
	a.builder.SetEntry(s.name, id, e)
}

// assign makes a server the owner of a slice or hot key under a new fence.
func (a *Assigner) assign(s *service, id topo.SliceID, to uint16) {
	a.setEntry(s, id, slicemap.Entry{Fence: a.nextVersion(), Owner: to, Next: slicemap.NoOwner, Phase: slicemap.Serving})
}

// free removes the owner of a slice or hot key. The caller must be certain that
// the owner doesn't hold it any more.
func (a *Assigner) free(s *service, id topo.SliceID) {
	a.setEntry(s, id, slicemap.Entry{Fence: a.nextVersion(), Owner: slicemap.NoOwner, Next: slicemap.NoOwner})
}

// setServer changes a server in the table under construction and updates the
// counts of servers per home VM and of pending releases.
func (a *Assigner) setServer(s *service, i uint16, rec slicemap.Server) {
	if list := a.builder.Service(s.name).Servers(); int(i) < len(list) {
		if v := a.vms[list[i].Home]; v != nil {
			v.homeCount--
		}
		if list[i].Releasing {
			a.releasing--
		}
	}
	if v := a.vms[rec.Home]; v != nil {
		v.homeCount++
	}
	if rec.Releasing {
		a.releasing++
	}
	a.builder.SetServer(s.name, i, rec)
}

// serverRecord returns the record of a server in the table under construction.
func (a *Assigner) serverRecord(s *service, i uint16) slicemap.Server {
	return a.builder.Service(s.name).Servers()[i]
}

// loadTable builds the state of all services from the adopted table.
func (a *Assigner) loadTable() {
	for _, name := range a.table.Services() {
		t := a.table.Service(name)
		s := newService(name, t.Kind(), t.Slices())
		a.services[name] = s
		for i, rec := range t.Servers() {
			s.servers = append(s.servers, &server{id: rec.ID, slots: int(rec.Slots), configured: true})
			if rec.State != slicemap.ServerRemoved {
				s.byID[rec.ID] = uint16(i)
			}
			if v := a.vms[rec.Home]; v != nil {
				v.homeCount++
			}
			if rec.Releasing {
				a.releasing++
			}
		}
		s.loadEntries(t)
		a.loadServers(s, t)
		a.loadMoves(s, t)
	}
}

func (s *service) loadEntries(t *slicemap.Service) {
	for id := topo.SliceID(0); uint32(id) < s.slices; id++ {
		e := t.Entry(id)
		s.owned.move(id, slicemap.NoOwner, e.Owner)
		if d := destination(e); d != slicemap.NoOwner {
			s.servers[d].planned++
		}
	}
}

// loadServers restores the availability of servers. The previous controller may
// have been ramping up a server, so its progress is estimated from the server's
// share of the slices.
func (a *Assigner) loadServers(s *service, t *slicemap.Service) {
	slots := 0
	for i, rec := range t.Servers() {
		if rec.State == slicemap.ServerServing {
			slots += s.servers[i].slots
		}
	}
	for i, rec := range t.Servers() {
		v := s.servers[i]
		v.available = rec.State == slicemap.ServerServing
		v.lost = rec.State == slicemap.ServerLost
		v.availabilityChangedAt = a.now
		if v.available && s.slices > 0 {
			quota := float64(s.slices) * float64(v.slots) / float64(slots)
			share := min(1, float64(v.planned+1)/quota)
			v.availabilityChangedAt = a.now.Add(-time.Duration(share * float64(RampUpPeriod)))
		}
	}
}

func (a *Assigner) loadMoves(s *service, t *slicemap.Service) {
	for id := topo.SliceID(0); uint32(id) < s.slices+uint32(len(t.Hot())); id++ {
		if e := t.Entry(id); e.Phase == slicemap.Draining {
			to := e.Next
			if to == slicemap.NoOwner {
				to = e.Owner
			}
			s.addMove(id, &activeMove{from: e.Owner, to: to, startedAt: a.now, version: a.table.Version(), cause: CauseRebalance})
		}
	}
}

func (a *Assigner) sortedServices() []*service {
	out := make([]*service, 0, len(a.services))
	for _, name := range slices.Sorted(maps.Keys(a.services)) {
		out = append(out, a.services[name])
	}
	return out
}

// ownerIndex lists the slices of each owner. A change takes constant time, and the
// index needs 8 bytes per slice.
type ownerIndex struct {
	lists    [][]topo.SliceID // by owner+1; the first list holds the slices without an owner
	position []uint32
}

func newOwnerIndex(n uint32) ownerIndex {
	x := ownerIndex{lists: make([][]topo.SliceID, 1), position: make([]uint32, n)}
	x.lists[0] = make([]topo.SliceID, n)
	for i := range n {
		x.lists[0][i], x.position[i] = topo.SliceID(i), i
	}
	return x
}

// slicesOf returns the slices of an owner. The result is valid until the next
// change of the index.
func (x *ownerIndex) slicesOf(owner uint16) []topo.SliceID {
	if i := int(owner + 1); i < len(x.lists) {
		return x.lists[i]
	}
	return nil
}

func (x *ownerIndex) move(id topo.SliceID, from, to uint16) {
	if from == to {
		return
	}
	list := x.lists[from+1]
	last := list[len(list)-1]
	list[x.position[id]] = last
	x.position[last] = x.position[id]
	x.lists[from+1] = list[:len(list)-1]
	for int(to+1) >= len(x.lists) {
		x.lists = append(x.lists, nil)
	}
	x.position[id] = uint32(len(x.lists[to+1]))
	x.lists[to+1] = append(x.lists[to+1], id)
}
