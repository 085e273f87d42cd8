package fleet

import (
	"context"
	"sync"
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

const (
	// FollowWait is the longest time that a follower waits for news.
	FollowWait = 400 * time.Millisecond
	// pacePerVM is the pause of a follower between two answers for each VM that
	// follows, so that the leader's work does not grow with the fleet.
	pacePerVM = 1500 * time.Microsecond
	// collectTime is how long a new leader hears VMs before it tells their
	// list: a call of Follow and a retry.
	collectTime = 700 * time.Millisecond
	// memberTTL is how long a VM counts as alive after it was heard, with two
	// paces more. It leaves two calls of Follow.
	memberTTL = 1300 * time.Millisecond
)

// Loads receives what VMs report of their work.
type Loads interface {
	// Count records requests for a key of a keyed service.
	Count(service topo.ServiceName, key keyrange.Key, n float64)
	// Answered records answers of a server and their mean time of work.
	Answered(id topo.ServerID, n int, mean time.Duration)
}

// member is a VM that follows.
type member struct {
	view.Member
	seen time.Time
}

// Hub is what a leader tells the other VMs. It is safe for concurrent use.
type Hub struct {
	view *view.View
	self view.Member
	// leads returns the term while this VM leads.
	leads func() (topo.Term, bool)
	// leaseVersion returns the version of the lease in the store.
	leaseVersion func() uint64
	// answeredAt returns when the store last answered each of this VM's
	// watches.
	answeredAt func() time.Time
	loads      Loads
	packer     packer

	mu      sync.Mutex
	members map[topo.VMID]*member
	version uint64
	// collectUntil ends the time in which a new leader hears the VMs before it
	// tells their list, so that homes do not change for a moment.
	collectUntil time.Time
	collected    bool
	tables       *tableLog
	at           view.TableVersion
	changed      chan struct{}
}

// NewHub returns a hub.
func NewHub(v *view.View, self view.Member, leads func() (topo.Term, bool), leaseVersion func() uint64, answeredAt func() time.Time, loads Loads) *Hub {
	return &Hub{
		view: v, self: self, leads: leads, leaseVersion: leaseVersion, answeredAt: answeredAt, loads: loads,
		members: make(map[topo.VMID]*member), changed: make(chan struct{}), tables: newTableLog(),
	}
}

// Begin starts a term.
func (h *Hub) Begin(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tables = newTableLog()
	h.members = make(map[topo.VMID]*member)
	h.version = uint64(now.UnixNano())
	h.collectUntil, h.collected = now.Add(collectTime), false
}

// Publish puts tables in force here and at the VMs that follow.
func (h *Hub) Publish(at view.TableVersion, tables map[topo.ServiceName]*keyrange.Table) {
	h.view.SetTables(at, tables)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tables.add(at.Version, tables)
	h.at = at
	h.wake()
}

// Expire forgets VMs that were not heard of.
func (h *Hub) Expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	gone := false
	ttl := memberTTL + time.Duration(len(h.members))*2*pacePerVM
	for id, m := range h.members {
		if now.Sub(m.seen) > ttl {
			delete(h.members, id)
			gone = true
		}
	}
	if gone || !h.collected && now.After(h.collectUntil) {
		h.publishMembers()
	}
}

// publishMembers tells all VMs of the members. The lock is held.
func (h *Hub) publishMembers() {
	if h.collected = clock.Boot().After(h.collectUntil); !h.collected {
		return
	}
	h.version++
	h.view.SetMembers(h.version, h.list())
	h.wake()
}

func (h *Hub) list() []view.Member {
	out := []view.Member{h.self}
	for _, m := range h.members {
		out = append(out, m.Member)
	}
	return out
}

func (h *Hub) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// heard records that a VM follows. The lock is held.
func (h *Hub) heard(req *fleetpb.FollowRequest, now time.Time) {
	id := topo.VMID(req.GetVm())
	if id == h.self.VM {
		return
	}
	if req.GetLeaving() {
		if h.members[id] != nil {
			delete(h.members, id)
			h.publishMembers()
		}
		return
	}
	m := view.Member{VM: id, Addr: req.GetAddr(), DataCentre: topo.DataCentreName(req.GetDataCentre()), CPUShare: req.GetCpuShare()}
	old := h.members[id]
	h.members[id] = &member{Member: m, seen: now}
	if old == nil || old.Member != m {
		h.publishMembers()
	}
}

// follow waits for news and returns it.
func (h *Hub) follow(ctx context.Context, req *fleetpb.FollowRequest) (*fleetpb.FollowResponse, error) {
	term, leads := h.leads()
	if !leads {
		return &fleetpb.FollowResponse{}, nil
	}
	timer := time.NewTimer(min(millis(req.GetWaitMs()), FollowWait))
	defer timer.Stop()
	for {
		h.mu.Lock()
		h.heard(req, clock.Boot())
		tables := h.changed
		news := h.news(req, term)
		h.mu.Unlock()
		if news {
			break
		}
		seen := h.view.Changed()
		if h.stale(req, term) {
			break
		}
		select {
		case <-tables:
			continue
		case <-seen:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		break
	}
	return h.response(req, term)
}

// news reports whether tables or members have changed. The lock is held.
func (h *Hub) news(req *fleetpb.FollowRequest, term topo.Term) bool {
	if h.collected && h.version != req.GetMembersVersion() {
		return true
	}
	known := view.TableVersion{Term: topo.Term(req.GetTerm()), Version: req.GetTableVersion()}
	return h.at.Term == term && h.at.Newer(known)
}

// stale reports whether the follower lacks a configuration or a version of the
// directory that this VM knows.
func (h *Hub) stale(req *fleetpb.FollowRequest, term topo.Term) bool {
	_, rev := h.view.Config()
	if rev > req.GetConfigRev() {
		return true
	}
	stale := false
	h.view.Directory(func(d *directory.Directory) { stale = directoryStale(d, req, term) })
	return stale
}

func directoryStale(d *directory.Directory, req *fleetpb.FollowRequest, term topo.Term) bool {
	return topo.Term(req.GetTerm()) != term || req.GetDirectoryVersion() != d.Version()
}

func (h *Hub) response(req *fleetpb.FollowRequest, term topo.Term) (*fleetpb.FollowResponse, error) {
	now := clock.Boot()
	out := &fleetpb.FollowResponse{
		Leads: true, Term: uint64(term), LeaseVersion: h.leaseVersion(),
		AgeMs: now.Sub(h.view.Confirmed()).Milliseconds(), StoreAgeMs: now.Sub(h.answeredAt()).Milliseconds(),
	}
	raw, rev := h.view.Config()
	if out.ConfigRev = rev; rev > req.GetConfigRev() {
		packed, err := h.packer.pack(raw, rev)
		if err != nil {
			return nil, err
		}
		out.ConfigGzip = packed
	}
	h.view.Directory(func(d *directory.Directory) { putDirectory(out, d, req, term, now) })
	h.mu.Lock()
	defer h.mu.Unlock()
	if out.MembersVersion = h.version; h.collected && h.version != req.GetMembersVersion() {
		for _, m := range h.list() {
			out.Members = append(out.Members, &fleetpb.Member{
				Vm: string(m.VM), Addr: m.Addr, DataCentre: string(m.DataCentre), CpuShare: m.CPUShare,
			})
		}
	}
	if h.news(req, term) && h.at.Term == term {
		known := uint64(0)
		if topo.Term(req.GetTerm()) == term {
			known = req.GetTableVersion()
		}
		out.TableVersion = h.at.Version
		out.Tables, out.AllRanges = h.tables.since(known)
	}
	return out, nil
}

func putDirectory(out *fleetpb.FollowResponse, d *directory.Directory, req *fleetpb.FollowRequest, term topo.Term, now time.Time) {
	out.DirectoryVersion = d.Version()
	if !directoryStale(d, req, term) {
		return
	}
	out.ServersRev, out.EvacuationRev = d.Rev(), d.EvacuationRev()
	gone, known := d.RemovedSince(req.GetDirectoryVersion())
	out.Complete = !known || topo.Term(req.GetTerm()) != term
	for _, id := range gone {
		out.Ids = append(out.Ids, string(id))
	}
	if out.Complete {
		out.Ids = nil
	}
	d.Servers(func(s *directory.Server) {
		if out.Complete {
			out.Ids = append(out.Ids, string(s.ID))
		}
		if s.Rev > req.GetServersRev() {
			out.Servers = append(out.Servers, serverMessage(s, now))
		}
	})
	for _, name := range d.Evacuated() {
		out.Evacuated = append(out.Evacuated, string(name))
	}
}

func serverMessage(s *directory.Server, now time.Time) *fleetpb.Server {
	m := &fleetpb.Server{
		Id: string(s.ID), Service: string(s.Service), Addr: s.Addr, DataCentre: string(s.DataCentre),
		Slots: int32(s.Slots), State: int32(s.State), Born: s.Born, Rev: s.Rev,
	}
	if s.Cold(now) {
		m.ColdMs = s.SeenAt.Add(s.ColdFor).Sub(now).Milliseconds()
	}
	return m
}

// report takes a VM's report.
func (h *Hub) report(req *fleetpb.ReportRequest) *fleetpb.ReportResponse {
	if _, leads := h.leads(); !leads {
		return &fleetpb.ReportResponse{}
	}
	for _, l := range req.GetLoads() {
		for i, k := range l.GetKeys() {
			if i < len(l.GetCounts()) && k <= uint32(keyrange.MaxKey) {
				h.loads.Count(topo.ServiceName(l.GetService()), keyrange.Key(k), float64(l.GetCounts()[i]))
			}
		}
	}
	for _, w := range req.GetWork() {
		h.loads.Answered(topo.ServerID(w.GetServer()), int(w.GetAnswers()), micros(w.GetMeanUs()))
	}
	return &fleetpb.ReportResponse{Leads: true}
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
