package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/membership"
	"godwitlock.example/godwitlock/peer"
	"godwitlock.example/godwitlock/topo"
	"godwitlock.example/godwitlock/view"
)

const (
	// followTimeoutMargin is the time that a Follow call may take in addition to
	// FollowWait.
	followTimeoutMargin = 350 * time.Millisecond
	// reportTimeout bounds a Report call.
	reportTimeout = 400 * time.Millisecond
)

// ErrNotLeader is returned when the VM that was called is not the leader.
const ErrNotLeader = errors.ConstError("not the leader")

// Follower keeps the view up to date with the leader's state and reports to the
// leader. It is safe for concurrent use.
type Follower struct {
	self  view.Member
	boot  string
	view  *view.View
	peers *peer.Pool
	// setConfig decodes a configuration and applies it.
	setConfig func(raw []byte, rev int64) error
	// Acting, unless nil, tells under which list of members this VM acts. It must be set
	// before the follower is used.
	Acting func() Acting
	// OnContact, unless nil, is called after each response of a leader was applied. It
	// must be set before the follower is used.
	OnContact func()
	// Rollouts, unless nil, gets the roll-outs. It must be set before the follower is
	// used.
	Rollouts RolloutFollower
	// AdoptConfig, unless nil, puts a configuration in force that another VM has had in
	// force. It must be set before the follower is used.
	AdoptConfig func(raw []byte) error
	// wantsConfig says that the VM called last asked for the configuration of this one.
	wantsConfig atomic.Bool
	// StoreContact, unless nil, holds when the store answered. It must be set before the
	// follower is used.
	StoreContact StoreContact
	// wantsContact says that a leader or relay asked this VM to call the store.
	wantsContact atomic.Bool
	compressor   configCompressor
	// recordLeaseVersion records the version of the lease of a leader in its term.
	recordLeaseVersion func(holder view.Member, term topo.Term, version uint64)

	mu           sync.Mutex
	lastResponse time.Time
	// contact is the latest response of a leader that keeps this VM as a member.
	contact      membership.Contact
	storeContact time.Time
	// answeredCallSent is when the last call was sent that the leader of the term
	// answered.
	answeredCallSent time.Time
	// firstListTerm is the term of the first list of members that this process has had.
	firstListTerm topo.Term
	// wantsList says that the leader asked for the VMs on the list of this VM.
	wantsList bool
	// term, directoryVersion and membersVersion are those of the leader's last
	// response.
	term             topo.Term
	directoryVersion uint64
	membersVersion   uint64
	homelessSince    time.Time
	relay            relayState
	// rolloutsVersion is the version of the roll-outs in the last response of a leader,
	// and rolloutsTerm the latest term of one that knew them.
	rolloutsVersion uint64
	rolloutsTerm    topo.Term
	// started is when the process started.
	started time.Time
}

// NewFollower returns a follower of the VM self, whose process is identified by
// boot. setConfig decodes a configuration and applies it; recordLeaseVersion
// records the version of the lease of a leader in its term.
func NewFollower(self view.Member, boot string, v *view.View, peers *peer.Pool,
	setConfig func([]byte, int64) error, recordLeaseVersion func(view.Member, topo.Term, uint64)) *Follower {
	return &Follower{
		self: self, boot: boot, view: v, peers: peers, setConfig: setConfig, recordLeaseVersion: recordLeaseVersion, started: clock.Boot(),
	}
}

// LastContact returns the time of the leader's last response and, as of that
// response, the time at which the store last responded to the leader.
func (f *Follower) LastContact() (lastResponse, storeContact time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastResponse, f.storeContact
}

// Acting is the list of members under which a VM acts.
type Acting struct {
	List topo.ListVersion
	// VMs are all VMs that may act, if they are known; see membership.Standing.Complete.
	VMs []topo.VMID
	// AttestedFor is for how long other VMs may rely on an attestation of this one.
	AttestedFor time.Duration
	// AwaitsSettled says that this VM waits until the list is settled.
	AwaitsSettled bool
}

// Contact returns the latest response of a leader that keeps this VM as a member.
func (f *Follower) Contact() membership.Contact {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contact
}

// HomelessSince returns the time since which no VM but this one can have been home of
// the customers whose home it is; zero if that is not known.
func (f *Follower) HomelessSince() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.homelessSince
}

// FollowPause returns the pause between two calls of Follow. It grows with the
// number of VMs.
func (f *Follower) FollowPause() time.Duration {
	return time.Duration(len(f.view.Snapshot().Members)) * followPausePerVM
}

// Follow calls the leader once, waits for changes and applies them to the view.
// leaving tells the leader that this VM is about to stop. The error is ErrNotLeader
// when the VM that was called is not the leader.
func (f *Follower) Follow(ctx context.Context, leader view.Member, leaving bool) error {
	addr := leader.Addr
	conn, err := f.peers.Conn(addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, FollowWait+followTimeoutMargin)
	defer cancel()
	sent := clock.Boot()
	resp, err := fleetpb.NewFleetClient(conn).Follow(ctx, f.request(leaving))
	if err != nil {
		return errors.Annotatef(err, "Follow call to the leader at %s", addr)
	}
	if !resp.GetLeads() {
		return errors.Annotatef(ErrNotLeader, "VM at %s", addr)
	}
	return f.apply(leader, resp, sent)
}

func (f *Follower) request(leaving bool) *fleetpb.FollowRequest {
	_, configRev := f.view.Config()
	current := f.view.TablesVersion()
	req := &fleetpb.FollowRequest{
		Vm: string(f.self.VM), Boot: f.boot, DataCentre: string(f.self.DataCentre), Addr: f.self.Addr, Leaving: leaving,
		ConfigRev: configRev, TableVersion: current.Version, WaitMs: FollowWait.Milliseconds(), CpuShare: f.self.CPUShare,
	}
	f.addNewerConfig(req)
	f.addContact(req)
	f.view.Directory(func(d *directory.Directory) { req.ServersRev = d.Rev() })
	var acting Acting
	if f.Acting != nil {
		acting = f.Acting()
	}
	req.List, req.AttestedMs, req.AwaitsSettled = encodeList(acting.List), acting.AttestedFor.Milliseconds(), acting.AwaitsSettled
	if acting.AttestedFor > 0 {
		req.AttestedMs++ // rounded up
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	req.FirstListTerm = uint64(f.firstListTerm)
	if !f.answeredCallSent.IsZero() {
		req.AnsweredMs = max(1, clock.Boot().Sub(f.answeredCallSent).Milliseconds())
	}
	if f.wantsList {
		for _, vm := range acting.VMs {
			req.ListVms = append(req.ListVms, string(vm))
		}
	}
	req.Term, req.DirectoryVersion, req.MembersVersion = uint64(f.term), f.directoryVersion, f.membersVersion
	if current.Term != f.term {
		req.TableVersion = 0
	}
	if f.Rollouts != nil {
		req.RolloutsVersion = f.rolloutsVersion
		req.Reverted = encodeReverted(f.Rollouts.Reverted())
	}
	if len(f.view.Snapshot().Members) == 0 {
		req.MemberlessMs = max(1, clock.Boot().Sub(f.started).Milliseconds())
	}
	return req
}

func (f *Follower) apply(leader view.Member, resp *fleetpb.FollowResponse, requestSent time.Time) error {
	confirmed := requestSent.Add(-millis(resp.GetAgeMs()))
	f.applyRollouts(resp, requestSent)
	if err := f.applyStoreState(resp); err != nil {
		return err
	}
	if err := f.applyTables(resp); err != nil {
		return err
	}
	now := clock.Boot()
	f.recordHomeless(now, millis(resp.GetHomelessMs()))
	if len(resp.GetMembers()) > 0 {
		f.view.SetMembers(topo.ListVersion{Term: topo.Term(resp.GetTerm()), Number: resp.GetMembersVersion()}, decodeMembers(resp))
	}
	held := f.view.MembersVersion()
	f.view.Confirm(confirmed)
	f.recordLeaseVersion(leader, topo.Term(resp.GetTerm()), resp.GetLeaseVersion())
	f.recordContact(resp, now, requestSent, held)
	if f.OnContact != nil {
		f.OnContact()
	}
	return nil
}

func (f *Follower) recordContact(resp *fleetpb.FollowResponse, now, requestSent time.Time, held topo.ListVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastResponse, f.storeContact, f.term = now, now.Add(-millis(resp.GetStoreAgeMs())), topo.Term(resp.GetTerm())
	f.answeredCallSent, f.wantsList = requestSent, resp.GetWantsList()
	if f.firstListTerm == 0 {
		f.firstListTerm = held.Term
	}
	if resp.GetMemberTtlMs() > 0 {
		f.contact = membership.Contact{
			Sent: requestSent, TTL: millis(resp.GetMemberTtlMs()), LeaseEnd: requestSent.Add(millis(resp.GetLeaseMs())),
			Term: f.term, Held: held, Current: decodeList(resp.GetCurrent()), Settled: decodeList(resp.GetSettled()),
		}
	}
	f.directoryVersion, f.membersVersion = resp.GetDirectoryVersion(), resp.GetMembersVersion()
}

func (f *Follower) recordHomeless(now time.Time, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.homelessSince = time.Time{}
	if d > 0 {
		f.homelessSince = now.Add(-d)
	}
}

func (f *Follower) applyTables(resp *fleetpb.FollowResponse) error {
	current, known := f.view.KeyTables()
	next := view.TableVersion{Term: topo.Term(resp.GetTerm()), Version: resp.GetTableVersion()}
	if !next.Newer(current) {
		return nil
	}
	merged, err := mergeTables(known, resp)
	if err != nil {
		return err
	}
	f.view.SetTables(next, merged)
	return nil
}

func applyDirectory(d *directory.Directory, resp *fleetpb.FollowResponse, now time.Time) {
	d.BeginEra(resp.GetServersRev(), now)
	for _, s := range resp.GetServers() {
		d.Put(directory.Server{
			ID: topo.ServerID(s.GetId()), Service: topo.ServiceName(s.GetService()), Addr: s.GetAddr(),
			DataCentre: topo.DataCentreName(s.GetDataCentre()), Slots: int(s.GetSlots()),
			State: directory.State(s.GetState()), StartedAtMs: s.GetBorn(),
			ColdFor: millis(s.GetColdMs()), SeenAt: now, Seq: s.GetSeq(), Rev: s.GetRev(),
			Version: s.GetVersion(),
		})
	}
	if resp.GetComplete() {
		ids := make(map[topo.ServerID]bool)
		for _, id := range resp.GetIds() {
			ids[topo.ServerID(id)] = true
		}
		d.RetainOnly(ids, resp.GetServersRev())
	} else {
		ids := make([]topo.ServerID, 0, len(resp.GetIds()))
		for _, id := range resp.GetIds() {
			ids = append(ids, topo.ServerID(id))
		}
		d.ApplyRemovals(ids, resp.GetServersRev())
	}
	for _, id := range decodeIncarnations(resp.GetLeaving()) {
		d.MarkLeaving(id)
	}
	names := make([]topo.DataCentreName, 0, len(resp.GetEvacuated()))
	for _, n := range resp.GetEvacuated() {
		names = append(names, topo.DataCentreName(n))
	}
	d.SetEvacuated(names, resp.GetEvacuationRev())
}

func decodeMembers(resp *fleetpb.FollowResponse) []view.Member {
	out := make([]view.Member, 0, len(resp.GetMembers()))
	for _, m := range resp.GetMembers() {
		out = append(out, view.Member{
			VM: topo.VMID(m.GetVm()), Addr: m.GetAddr(), DataCentre: topo.DataCentreName(m.GetDataCentre()),
			CPUShare: m.GetCpuShare(),
		})
	}
	return out
}

// ReportLeaving tells the leader at addr of servers that said to this VM that they
// leave. It returns the term of the leader.
func (f *Follower) ReportLeaving(ctx context.Context, addr string, ids []topo.Incarnation) (topo.Term, error) {
	return f.Report(ctx, addr, &fleetpb.ReportRequest{Vm: string(f.self.VM), Leaving: encodeIncarnations(ids)})
}

// Term returns the term of the leader that answered last.
func (f *Follower) Term() topo.Term {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.term
}

// Report sends a report to the leader at addr and returns the term of the leader.
// The error is ErrNotLeader when the VM at addr is not the leader.
func (f *Follower) Report(ctx context.Context, addr string, req *fleetpb.ReportRequest) (topo.Term, error) {
	conn, err := f.peers.Conn(addr)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	resp, err := fleetpb.NewFleetClient(conn).Report(ctx, req)
	if err != nil {
		return 0, errors.Annotatef(err, "Report call to the leader at %s", addr)
	}
	if !resp.GetLeads() {
		return 0, errors.Annotatef(ErrNotLeader, "VM at %s", addr)
	}
	return topo.Term(resp.GetTerm()), nil
}

// ReportLocal records the report of this VM. It is for the leader, which does not
// call itself.
func (h *Hub) ReportLocal(req *fleetpb.ReportRequest) { h.report(req) }
