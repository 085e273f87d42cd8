package platform

import (
	"net/http"
	"sort"
	"time"

	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

// vmChange is one change or removal of a VM, with its time.
type vmChange struct {
	at      time.Time
	state   store.VMState
	removed bool
}

// vmHistory makes changes visible after lag. pending holds the changes that are
// younger than lag, and visible is the state after all older ones.
type vmHistory struct {
	lag     time.Duration
	visible map[topo.VMID]store.VMState
	pending []vmChange
}

func (h *vmHistory) add(c vmChange) {
	h.pending = append(h.pending, c)
}

// list returns the VMs as they were at the time now - lag, sorted by id.
func (h *vmHistory) list(now time.Time) []store.VMState {
	if h.visible == nil {
		h.visible = map[topo.VMID]store.VMState{}
	}
	for len(h.pending) > 0 && now.Sub(h.pending[0].at) >= h.lag {
		c := h.pending[0]
		h.pending = h.pending[1:]
		if c.removed {
			delete(h.visible, c.state.ID)
		} else {
			h.visible[c.state.ID] = c.state
		}
	}
	vms := make([]store.VMState, 0, len(h.visible))
	for _, vm := range h.visible {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	return vms
}

// SetVM adds a VM or changes its state. The list of VMs shows the change after
// the lag.
func (p *Platform) SetVM(vm store.VMState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.add(vmChange{at: time.Now(), state: vm})
}

// RemoveVM removes a VM. The list of VMs shows it until the lag has passed.
func (p *Platform) RemoveVM(id topo.VMID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.add(vmChange{at: time.Now(), state: store.VMState{ID: id}, removed: true})
}

func (p *Platform) listVMs(w http.ResponseWriter, r *http.Request) {
	p.count(func(c *Counts) *uint64 { return &c.VMs })
	// This call only applies the fault switches; the list that it returns is
	// not used.
	if _, err := p.st.VMs(r.Context()); err != nil {
		writeError(w, store.Object{}, err)
		return
	}
	p.mu.Lock()
	vms := p.vms.list(time.Now())
	p.mu.Unlock()
	writeJSON(w, store.WireVMs{VMs: vms})
}
