package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/admission"
	"godwitlock.example/godwitlock/authority"
	"godwitlock.example/godwitlock/callerkey"
	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/home"
	"godwitlock.example/godwitlock/peer"
	"godwitlock.example/godwitlock/peer/peerpb"
	"godwitlock.example/godwitlock/router"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

// Config holds the identity, dependencies and callbacks of a Node.
type Config struct {
	VM          topo.VM
	BootID      string
	Environment string
	// Seeds are the peer addresses to contact if the store is unavailable at
	// startup.
	Seeds     []string
	Store     store.Store
	Pool      *peer.Pool
	Tables    *router.Tables
	Home      *home.Manager
	Share     *admission.Share
	Freshness *callerkey.Freshness
	// OnConfig is called with each new configuration, always from the same
	// goroutine.
	OnConfig func(*config.View)
	Log      zerolog.Logger
}

// Node runs the control plane of a cell on one VM. It implements
// admission.Drawer; Peer adapts it to peer.Control.
type Node struct {
	cfg  Config
	cell topo.CellName
	self authority.Process
	log  zerolog.Logger
	view atomic.Pointer[config.View]

	// mu must be acquired after a controller's mu, never before it.
	mu        sync.Mutex
	witness   *authority.Witness
	successor *authority.Successor
	knownVMs  map[topo.VMID]topo.VM
	ctrl      *controller
	// target is the VM that last responded as controller. Before the first such
	// response, it is the holder in a cell object that another VM sent.
	target topo.VMID
	term   topo.Term
	// targetChanged is closed and replaced when target or term changes.
	targetChanged chan struct{}
	storeProbe    peerpb.StoreProbe
	// vmsChecksum is the checksum of the VM addresses in the last heartbeat
	// response.
	vmsChecksum uint64

	// cellFailing is true while the cell object cannot be read. It is used only
	// by the goroutine of RunAuthority.
	cellFailing bool

	// heartbeatRequested triggers a heartbeat before the regular interval has
	// passed.
	heartbeatRequested chan struct{}
	heartbeatSeq       uint64
	leaving            atomic.Bool
	// resigned prevents this VM from becoming controller until the process
	// ends.
	resigned atomic.Bool
}

// New returns a node. RunAuthority, RunHeartbeats, Follow and Register must be
// run for it to take part in the cell.
func New(cfg Config) *Node {
	now := time.Now()
	// The environment in the name keeps cells of different environments from
	// sharing an object in the store.
	cell := topo.CellName(cfg.Environment + "/" + string(cfg.VM.Cell))
	self := authority.Process{VM: cfg.VM.ID, Boot: cfg.BootID}
	n := &Node{
		cfg: cfg, cell: cell, self: self, log: cfg.Log,
		witness:            authority.NewWitness(cell, now),
		successor:          authority.NewSuccessor(self, now),
		knownVMs:           map[topo.VMID]topo.VM{cfg.VM.ID: cfg.VM},
		heartbeatRequested: make(chan struct{}, 1),
		targetChanged:      make(chan struct{}),
	}
	n.view.Store(config.NewView(cfg.Environment))
	return n
}

// View returns the configuration in use.
func (n *Node) View() *config.View { return n.view.Load() }

// RequestHeartbeat triggers a heartbeat without waiting for the regular
// interval. It does not block.
func (n *Node) RequestHeartbeat() {
	select {
	case n.heartbeatRequested <- struct{}{}:
	default:
	}
}

// Leave reports to the controller that this VM is stopping, so that the
// controller assigns the VM's servers to other home VMs.
func (n *Node) Leave() {
	n.leaving.Store(true)
	n.RequestHeartbeat()
}

// Resign ends this VM's term as controller, if there is one, and prevents it
// from becoming controller again. The term expires within
// authority.AuthorityTTL; in the meantime the VM can finish the rest of its
// shutdown.
func (n *Node) Resign() { n.resigned.Store(true) }

// Ready reports whether this VM has a routing table and a fresh configuration.
func (n *Node) Ready() bool {
	return n.cfg.Tables.Load().Version() != slicemap.Version{} && n.cfg.Freshness.Valid(time.Now())
}

// Status is the state of a node as shown to operators.
type Status struct {
	VM              topo.VMID       `json:"vm"`
	Cell            topo.CellName   `json:"cell"`
	Term            topo.Term       `json:"term"`
	Controller      topo.VMID       `json:"controller"`
	IsController    bool            `json:"is_controller"`
	ConfigRevision  topo.Revision   `json:"config_revision"`
	DocumentVersion uint64          `json:"document_version"`
	TableVersion    string          `json:"table_version"`
	Fresh           bool            `json:"fresh"`
	Problems        int             `json:"config_problems"`
	Roster          []topo.VMID     `json:"roster"`
	Members         []MemberStatus  `json:"members,omitempty"`
	StoreAge        *time.Duration  `json:"store_age_ns,omitempty"`
	Successors      []string        `json:"successors"`
	Servers         []topo.ServerID `json:"home_of"`
}

// MemberStatus is the state of one VM as known to the controller.
type MemberStatus struct {
	VM             topo.VMID     `json:"vm"`
	ConfigRevision topo.Revision `json:"config_revision"`
	LeaseMs        int64         `json:"lease_ms"`
}

// Status returns the node's current state. Members and StoreAge are set only on
// the controller.
func (n *Node) Status() Status {
	view, now := n.View(), time.Now()
	version, _ := view.DocumentVersion()
	n.mu.Lock()
	ctrl, cell := n.ctrl, n.successor.Cell()
	s := Status{
		VM: n.cfg.VM.ID, Cell: n.cfg.VM.Cell, Term: n.term, Controller: n.target, IsController: ctrl != nil,
		ConfigRevision: view.Revision(), DocumentVersion: version,
		TableVersion: n.cfg.Tables.Load().Version().String(), Fresh: n.cfg.Freshness.Valid(now),
		Problems: len(view.Problems()), Roster: cell.Roster.Members,
	}
	n.mu.Unlock()
	for _, p := range cell.Successors {
		s.Successors = append(s.Successors, p.String())
	}
	for _, r := range n.cfg.Home.Reports() {
		s.Servers = append(s.Servers, r.Server)
	}
	if ctrl != nil {
		s.Members, s.StoreAge = ctrl.status(now)
	}
	return s
}

// addr returns the peer address of a VM.
func (n *Node) addr(vm topo.VMID) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	v, ok := n.knownVMs[vm]
	return v.PeerAddr, ok
}

func (n *Node) client(vm topo.VMID) (peerpb.PeerClient, bool) {
	addr, ok := n.addr(vm)
	if !ok {
		return nil, false
	}
	c, err := n.cfg.Pool.Client(addr)
	return c, err == nil
}

func (n *Node) recordAddresses(vms ...topo.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, v := range vms {
		if v.ID != "" && v.ID != n.cfg.VM.ID {
			n.knownVMs[v.ID] = v
		}
	}
}

// controller returns the controller that runs in this process and has
// authority, or nil.
func (n *Node) controller() *controller {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctrl == nil || !n.ctrl.holder.Valid(time.Now()) {
		return nil
	}
	return n.ctrl
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
