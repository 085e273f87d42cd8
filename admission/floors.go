package admission

import (
	"time"

	"godwitlock.example/godwitlock/topo"
)

// Floors leases the floor slots of a cell during one term. A slot entitles its
// holder to one floor bucket of every customer. Floors does no I/O, reads no clock
// and is not safe for concurrent use.
type Floors struct {
	// grantsFrom is the time from which slots may be leased to VMs that report
	// none. VMs that report a slot may renew it earlier.
	grantsFrom time.Time
	slots      [FloorSlots]floorLease
}

type floorLease struct {
	vm      topo.VMID
	expires time.Time
}

// NewFloors returns the slots for a term whose authority began at start. It
// leases a slot that no VM reported only after every lease of earlier terms has
// expired. If firstTerm is true, the cell has had no earlier term and there is
// nothing to wait for.
func NewFloors(start time.Time, firstTerm bool) *Floors {
	f := &Floors{grantsFrom: start}
	if !firstTerm {
		f.grantsFrom = start.Add(withDriftMargin(FloorTTL))
	}
	return f
}

// Lease grants vm a slot or extends its lease. reported is the slot that vm
// reports to hold under an unexpired lease, or -1. Lease returns false if vm gets
// no slot; vm must then stop using the slot that it reported.
func (f *Floors) Lease(now time.Time, vm topo.VMID, reported int) (FloorGrant, bool) {
	if reported >= 0 && reported < FloorSlots {
		s := &f.slots[reported]
		if s.vm != vm && now.Before(s.expires) {
			return FloorGrant{}, false
		}
		*s = floorLease{vm, now.Add(withDriftMargin(FloorTTL))}
		return FloorGrant{Slot: reported, Confirmed: true}, true
	}
	if now.Before(f.grantsFrom) {
		return FloorGrant{}, false
	}
	i := f.findSlot(now, vm)
	if i < 0 {
		return FloorGrant{}, false
	}
	f.slots[i] = floorLease{vm, now.Add(withDriftMargin(FloorTTL))}
	return FloorGrant{Slot: i}, true
}

// findSlot returns the slot that vm still leases but no longer reports, for
// example after a restart; the new process starts with an empty bucket. If there
// is none, findSlot returns a slot without an unexpired lease, or -1.
func (f *Floors) findSlot(now time.Time, vm topo.VMID) int {
	found := -1
	for i, s := range f.slots {
		if s.vm == vm && now.Before(s.expires) {
			return i
		}
		if found < 0 && !now.Before(s.expires) {
			found = i
		}
	}
	return found
}
