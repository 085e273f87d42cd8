package fleet

import (
	"context"
	"sync"
	"time"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/membership"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

const (
	// FollowWait is the longest time that a Follow call waits for a change.
	FollowWait = 400 * time.Millisecond
	// followPausePerVM is the pause between two Follow calls of a VM, per VM in
	// the fleet. The leader's work thus does not grow with the fleet.
	followPausePerVM = 1500 * time.Microsecond
)

// Loads collects the load that VMs report.
type Loads interface {
	// Count records n requests for a key of a keyed service.
	Count(service topo.ServiceName, key keyrange.Key, n float64)
	// Answered records n responses of a server and their mean processing time.
	Answered(id topo.ServerID, n int, mean time.Duration)
	// TurnedAway records n requests that a server refused although it had free slots.
	TurnedAway(id topo.ServerID, n int)
}

// Hub distributes the leader's state to the VMs that follow it, and tracks these
// VMs. It is safe for concurrent use.
type Hub struct {
	// started is when the process started.
	started time.Time
	view    *view.View
	self    view.Member
	// leads returns the term and true while this VM is the leader.
	leads func() (topo.Term, bool)
	// leaseVersion returns the version of the lease in the store.
	leaseVersion func() uint64
	// oldestStoreResponse returns the earliest of the times at which the store
	// last answered each of this VM's watches.
	oldestStoreResponse func() time.Time
	loads               Loads
	configCompressor    configCompressor
	// Relay, unless nil, says how this VM stands in for a leader that does not
	// answer. It must be set before the hub is used.
	Relay *Relay
	// LeaseEnd, unless nil, returns the end of this VM's lease; zero if it has none.
	// It must be set before the hub is used.
	LeaseEnd func() time.Time
	// Acting, unless nil, tells under which list of members this VM acts. It must be set
	// before the hub is used.
	Acting func() Acting
	// OnLeaving, unless nil, is called when a VM reports a server that leaves and
	// that was not known to leave. It must be set before the hub is used.
	OnLeaving func(topo.Incarnation)
	// Rollouts, unless nil, holds the roll-outs. It must be set before the hub is used.
	Rollouts Rollouts

	// AdoptConfig, unless nil, puts a configuration in force that another VM has had in
	// force. It must be set before the hub is used.
	AdoptConfig func(raw []byte) error
	// StoreContact, unless nil, holds when the store answered. It must be set before the
	// hub is used.
	StoreContact StoreContact

	mu sync.Mutex
	// processes holds the process of each VM that called last, and when, in this term.
	processes map[topo.VMID]processCall
	// configAsked is when a VM was last asked for its newer configuration.
	configAsked time.Time
	// contactAsked is when a VM was last asked to call the store.
	contactAsked   time.Time
	members        map[topo.VMID]*member
	membersVersion topo.ListVersion
	// registry tells which VMs may act under which list of members of this term.
	registry *membership.Registry
	// discoveryEnd is when a new leader publishes the members at the latest. An
	// incomplete list would briefly assign pools and customers to other home VMs.
	discoveryEnd time.Time
	discovered   bool
	// termStart is when the term of a new leader began, and earlierMembers how many
	// VMs followed the leader before.
	termStart      time.Time
	earlierMembers int
	homeless       homelessPeriod
	// restarted holds the VMs whose processes never acted under a list of an earlier
	// term; nil if this VM may have.
	restarted     map[topo.VMID]bool
	tables        *tableLog
	tablesVersion view.TableVersion
	changed       chan struct{}
}

// NewHub returns a hub of the VM self. leads returns the term and true while the
// VM is the leader, leaseVersion the version of its lease in the store, and
// oldestStoreResponse the earliest of the times at which the store last answered
// each of its watches.
func NewHub(v *view.View, self view.Member, leads func() (topo.Term, bool), leaseVersion func() uint64, oldestStoreResponse func() time.Time, loads Loads) *Hub {
	started := clock.Boot()
	return &Hub{
		started: started, registry: membership.NewRegistry(self.VM, 0, started, membership.Predecessor{}, topo.ListVersion{}, nil), view: v, self: self, leads: leads, leaseVersion: leaseVersion, oldestStoreResponse: oldestStoreResponse, loads: loads,
		members: make(map[topo.VMID]*member), changed: make(chan struct{}), tables: newTableLog(),
	}
}

// Publish applies the tables on this VM and sends them to its followers.
func (h *Hub) Publish(tablesVersion view.TableVersion, tables map[topo.ServiceName]*keyrange.Table) {
	h.view.SetTables(tablesVersion, tables)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tables.add(tablesVersion.Version, tables)
	h.tablesVersion = tablesVersion
	h.notifyFollowers()
}

// follow waits until the follower's state is outdated or the wait ends, and
// returns what the follower lacks.
func (h *Hub) follow(ctx context.Context, req *fleetpb.FollowRequest) (*fleetpb.FollowResponse, error) {
	if h.Rollouts != nil && len(req.GetReverted()) > 0 {
		h.Rollouts.Learn(req.GetReverted())
	}
	h.takeConfig(req)
	learnContact(h.StoreContact, clock.Boot(), req.GetStoreContact())
	term, leads := h.leads()
	if !leads {
		return h.relay(ctx, req)
	}
	timer := time.NewTimer(min(millis(req.GetWaitMs()), FollowWait))
	defer timer.Stop()
	arrived, leaseEnd := clock.Boot(), h.leaseEnd()
	var recordedIn *membership.Registry
	for recorded := false; ; recorded = true {
		own := h.acting()
		h.mu.Lock()
		h.registry.Acts(clock.Boot(), own.List, own.AttestedFor)
		if !recorded || recordedIn != h.registry {
			// A call is recorded once in each term, so that it does not undo a later
			// one by which the VM leaves.
			h.recordFollower(req, arrived, leaseEnd)
			recordedIn = h.registry
		}
		hubChanged := h.changed
		now := clock.Boot()
		lacksUpdate := h.mayAskConfig(now, req) || h.mayAskContact(now) || !h.hearsLeader(req, term) || h.lacksTablesOrMembers(req, term)
		h.mu.Unlock()
		if lacksUpdate {
			break
		}
		viewChanged := h.view.Changed()
		if h.lacksConfigOrDirectory(req, term) || h.lacksRollouts(req, term) {
			break
		}
		select {
		case <-hubChanged:
			if _, leads := h.leads(); leads {
				continue
			}
		case <-viewChanged:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		break
	}
	// The version of a released lease must not pass for one that this VM holds, so it is
	// read before the last check.
	leaseVersion := h.leaseVersion()
	if _, leads := h.leads(); !leads {
		return &fleetpb.FollowResponse{}, nil
	}
	return h.response(req, term, leaseVersion, leaseEnd.Sub(arrived))
}

// LeadershipLost makes the calls that wait end with a denial, so that the VMs look for the
// next leader at once.
func (h *Hub) LeadershipLost() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notifyFollowers()
}

// leaseEnd returns the end of this VM's lease; zero if it has none.
func (h *Hub) leaseEnd() time.Time {
	if h.LeaseEnd == nil {
		return time.Time{}
	}
	return h.LeaseEnd()
}

// lacksTablesOrMembers reports whether the follower lacks the newest tables or
// members. The caller holds h.mu.
func (h *Hub) lacksTablesOrMembers(req *fleetpb.FollowRequest, term topo.Term) bool {
	list := h.membersVersion
	if list.Term > term || list.Term == term && h.discovered && list.Number != req.GetMembersVersion() || h.awaitedListSettled(req) {
		return true
	}
	if !h.discovered && req.GetMemberlessMs() > 0 {
		// The VM cannot serve without the members. While it waits for them it does
		// not pause between calls, so each change would be sent to every VM.
		return false
	}
	known := view.TableVersion{Term: topo.Term(req.GetTerm()), Version: req.GetTableVersion()}
	return h.tablesVersion.Term == term && h.tablesVersion.Newer(known)
}

// wantsList reports whether this leader asks the follower for the VMs of its list. The
// caller holds h.mu.
func (h *Hub) wantsList(req *fleetpb.FollowRequest) bool {
	return h.registry.WantsEarlier() && req.GetList() != nil && topo.Term(req.GetList().GetTerm()) < h.membersVersion.Term
}

// awaitedListSettled reports whether the list for which the follower waits is settled.
// The caller holds h.mu.
func (h *Hub) awaitedListSettled(req *fleetpb.FollowRequest) bool {
	return req.GetAwaitsSettled() && !decodeList(req.GetList()).Newer(h.registry.Settled())
}

// lacksConfigOrDirectory reports whether the follower lacks the newest
// configuration or directory in this VM's view.
func (h *Hub) lacksConfigOrDirectory(req *fleetpb.FollowRequest, term topo.Term) bool {
	_, rev := h.view.Config()
	if rev > req.GetConfigRev() || h.lacksVersion(req) {
		return true
	}
	outdated := false
	h.view.Directory(func(d *directory.Directory) { outdated = directoryOutdated(d, req, term) })
	return outdated
}

func directoryOutdated(d *directory.Directory, req *fleetpb.FollowRequest, term topo.Term) bool {
	return topo.Term(req.GetTerm()) != term || req.GetDirectoryVersion() != d.Version()
}

// response returns what the follower lacks. lease is how long the lease of this VM
// lasted when the call arrived.
func (h *Hub) response(req *fleetpb.FollowRequest, term topo.Term, leaseVersion uint64, lease time.Duration) (*fleetpb.FollowResponse, error) {
	out := &fleetpb.FollowResponse{Leads: true, Term: uint64(term), LeaseVersion: leaseVersion}
	h.fillRollouts(out, req)
	if err := h.fillStoreState(out, req, term); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.membersVersion.Term == term {
		h.fillMembers(out, req, lease)
	}
	if h.lacksTablesOrMembers(req, term) && h.tablesVersion.Term == term {
		known := uint64(0)
		if topo.Term(req.GetTerm()) == term {
			known = req.GetTableVersion()
		}
		out.TableVersion = h.tablesVersion.Version
		out.Tables, out.AllRanges = h.tables.since(known)
	}
	return out, nil
}

// fillMembers adds the list of members to a response of the term in which it was
// published, as far as the follower lacks it. The caller holds h.mu.
func (h *Hub) fillMembers(out *fleetpb.FollowResponse, req *fleetpb.FollowRequest, lease time.Duration) {
	if m := h.members[topo.VMID(req.GetVm())]; m != nil && h.hearsLeader(req, h.membersVersion.Term) {
		out.MemberTtlMs, out.LeaseMs = m.ttl.Milliseconds(), max(0, lease.Milliseconds())
	}
	if h.discovered {
		out.Current, out.Settled = encodeList(h.membersVersion), encodeList(h.registry.Settled())
	}
	out.WantsList = h.wantsList(req)
	if since := h.homeless.since(topo.VMID(req.GetVm()), req.GetBoot()); !since.IsZero() {
		out.HomelessMs = max(0, clock.Boot().Sub(since).Milliseconds())
	}
	if out.MembersVersion = h.membersVersion.Number; h.discovered && h.membersVersion.Number != req.GetMembersVersion() {
		for _, m := range h.memberList() {
			out.Members = append(out.Members, &fleetpb.Member{
				Vm: string(m.VM), Addr: m.Addr, DataCentre: string(m.DataCentre), CpuShare: m.CPUShare,
			})
		}
	}
}

// fillStoreState adds the configuration and the directory to a response, as far as
// the follower lacks them, and their ages.
func (h *Hub) fillStoreState(out *fleetpb.FollowResponse, req *fleetpb.FollowRequest, term topo.Term) error {
	now := clock.Boot()
	out.AgeMs, out.StoreAgeMs = now.Sub(h.view.Confirmed()).Milliseconds(), now.Sub(h.oldestStoreResponse()).Milliseconds()
	h.fillContact(out, now)
	raw, rev := h.view.Config()
	out.ConfigVersion, out.WantsConfig = h.view.ConfigVersion(), h.wantsConfig(now, req)
	if out.ConfigRev = rev; rev > req.GetConfigRev() || h.lacksVersion(req) {
		compressed, err := h.configCompressor.compress(raw, rev, out.ConfigVersion)
		if err != nil {
			return err
		}
		out.ConfigGzip = compressed
	}
	h.view.Directory(func(d *directory.Directory) { fillDirectory(out, d, req, term, now) })
	return nil
}

func fillDirectory(out *fleetpb.FollowResponse, d *directory.Directory, req *fleetpb.FollowRequest, term topo.Term, now time.Time) {
	out.DirectoryVersion = d.Version()
	if !directoryOutdated(d, req, term) {
		return
	}
	out.ServersRev, out.EvacuationRev = d.Rev(), d.EvacuationRev()
	removed, known := d.RemovedSince(req.GetDirectoryVersion())
	out.Complete = !known || topo.Term(req.GetTerm()) != term || req.GetDirectoryVersion() == 0
	for _, id := range removed {
		out.Ids = append(out.Ids, string(id))
	}
	if out.Complete {
		out.Ids = nil
	}
	leavingSince := req.GetDirectoryVersion()
	if out.Complete {
		leavingSince = 0
	}
	out.Leaving = encodeIncarnations(d.LeavingSince(leavingSince))
	d.Servers(func(s *directory.Server) {
		if out.Complete {
			out.Ids = append(out.Ids, string(s.ID))
		}
		if s.Rev > req.GetServersRev() || !out.Complete && d.ChangedSince(s, req.GetDirectoryVersion()) {
			out.Servers = append(out.Servers, encodeServer(s, now))
		}
	})
	for _, name := range d.Evacuated() {
		out.Evacuated = append(out.Evacuated, string(name))
	}
}

func encodeServer(s *directory.Server, now time.Time) *fleetpb.Server {
	m := &fleetpb.Server{
		Id: string(s.ID), Service: string(s.Service), Addr: s.Addr, DataCentre: string(s.DataCentre),
		Slots: int32(s.Slots), State: int32(s.State), Born: s.StartedAtMs, Seq: s.Seq, Rev: s.Rev, Version: s.Version,
	}
	if s.Cold(now) {
		m.ColdMs = s.SeenAt.Add(s.ColdFor).Sub(now).Milliseconds()
	}
	return m
}

// report records a VM's report, unless this VM is not the leader.
func (h *Hub) report(req *fleetpb.ReportRequest) *fleetpb.ReportResponse {
	term, leads := h.leads()
	if !leads {
		return &fleetpb.ReportResponse{}
	}
	h.markLeaving(decodeIncarnations(req.GetLeaving()))
	if h.Rollouts != nil && len(req.GetRollouts()) > 0 {
		h.Rollouts.Report(topo.VMID(req.GetVm()), term, req.GetRollouts())
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
		h.loads.TurnedAway(topo.ServerID(w.GetServer()), int(w.GetTurnedAway()))
	}
	return &fleetpb.ReportResponse{Leads: true, Term: uint64(term)}
}

// markLeaving records servers of which another VM learned that they leave.
func (h *Hub) markLeaving(ids []topo.Incarnation) {
	for _, id := range ids {
		marked := false
		h.view.Directory(func(d *directory.Directory) { marked = d.MarkLeaving(id) })
		if marked && h.OnLeaving != nil {
			h.OnLeaving(id)
		}
	}
}

func encodeIncarnations(ids []topo.Incarnation) []*fleetpb.Incarnation {
	out := make([]*fleetpb.Incarnation, 0, len(ids))
	for _, id := range ids {
		out = append(out, &fleetpb.Incarnation{Server: string(id.Server), Born: id.StartedAtMs})
	}
	return out
}

func decodeIncarnations(list []*fleetpb.Incarnation) []topo.Incarnation {
	out := make([]topo.Incarnation, 0, len(list))
	for _, m := range list {
		out = append(out, topo.Incarnation{Server: topo.ServerID(m.GetServer()), StartedAtMs: m.GetBorn()})
	}
	return out
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
