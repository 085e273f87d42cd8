// Package control runs a VM's part in the control of its cell: it attests terms
// as a witness, takes over as controller when it is its turn, sends heartbeats
// to the controller and applies the configuration and routing table that the
// controller publishes.
//
// All decisions are taken by the pure packages authority, assigner, admission
// and config; this package moves their inputs and outputs.
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

// Config holds what a Node works with.
type Config struct {
	VM          topo.VM
	BootID      string
	Environment string
	// Seeds are peer addresses to ask when the store is down at the start.
	Seeds     []string
	Store     store.Store
	Pool      *peer.Pool
	Tables    *router.Tables
	Home      *home.Manager
	Share     *admission.Share
	Freshness *callerkey.Freshness
	// OnConfig is called with every new configuration, by one goroutine.
	OnConfig func(*config.View)
	Log      zerolog.Logger
}

// Node is one VM's part in the control of its cell. It implements
// peer.Control and admission.Drawer.
type Node struct {
	cfg  Config
	cell topo.CellName
	self authority.Process
	log  zerolog.Logger
	view atomic.Pointer[config.View]

	// mu is taken after a controller's mu, never before it.
	mu        sync.Mutex
	witness   *authority.Witness
	successor *authority.Successor
	knownVMs  map[topo.VMID]topo.VM
	ctrl      *controller
	// target is the VM that answered as controller last.
	target topo.VMID
	term   topo.Term
	// targetChanged is closed when target or term changes.
	targetChanged chan struct{}
	storeProbe    peerpb.StoreProbe
	// vmsChecksum is the checksum of the addresses that came with a heartbeat last.
	vmsChecksum uint64

	// cellFailing is true while the cell object cannot be read. Only the
	// goroutine of Authority uses it.
	cellFailing bool

	// heartbeatRequested asks for a heartbeat before its time.
	heartbeatRequested chan struct{}
	heartbeatSeq       uint64
	leaving            atomic.Bool
	// resigned keeps this VM from being controller until it stops.
	resigned atomic.Bool
}

// New returns a node; Authority, Member and Follow run its duties.
func New(cfg Config) *Node {
	now := time.Now()
	// Cells of different environments never share an object in the store.
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

// RequestHeartbeat asks for a heartbeat at once. It does not block.
func (n *Node) RequestHeartbeat() {
	select {
	case n.heartbeatRequested <- struct{}{}:
	default:
	}
}

// Leave tells the controller that this VM is stopping, so that it gives the
// VM's servers to other home VMs.
func (n *Node) Leave() {
	n.leaving.Store(true)
	n.RequestHeartbeat()
}

// Resign ends this VM's term as controller, if any, and keeps it from becoming
// controller again. The term lapses within authority.AuthorityTTL, while the VM
// can finish the rest of its stop.
func (n *Node) Resign() { n.resigned.Store(true) }

// Ready reports whether this VM has a routing table and a fresh configuration.
func (n *Node) Ready() bool {
	return n.cfg.Tables.Load().Version() != slicemap.Version{} && n.cfg.Freshness.Valid(time.Now())
}

// Status is what operators see of a node.
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

// MemberStatus is what the controller knows of one VM.
type MemberStatus struct {
	VM             topo.VMID     `json:"vm"`
	ConfigRevision topo.Revision `json:"config_revision"`
	LeaseMs        int64         `json:"lease_ms"`
}

// Status returns the node's state.
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

// controller returns the controller that runs here and has authority, or nil.
func (n *Node) controller() *controller {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctrl == nil || !n.ctrl.holder.Valid(time.Now()) {
		return nil
	}
	return n.ctrl
}

// sleep waits for d and returns false when ctx ended first.
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
