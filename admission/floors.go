package admission

import (
	"time"

	"godwitlock.example/godwitlock/topo"
)

// Floors leases the floor slots of a cell during one term. One slot number
// covers all customers. It is pure and not safe for concurrent use.
type Floors struct {
	// grantsFrom is when slots that nobody reported may be handed out.
	grantsFrom time.Time
	slots      [FloorSlots]floorLease
}

type floorLease struct {
	vm      topo.VMID
	expires time.Time
}

// NewFloors returns the slots for a term whose authority began at start. It
// hands out a slot that no VM reported only when every lease of an earlier term
// has expired; firstTerm says that the cell never had one.
func NewFloors(start time.Time, firstTerm bool) *Floors {
	f := &Floors{grantsFrom: start}
	if !firstTerm {
		f.grantsFrom = start.Add(withDriftMargin(FloorTTL))
	}
	return f
}

// Lease gives vm a slot or extends its lease. held is the slot whose lease vm
// reports as unexpired, or -1. It returns false when there is no slot; vm then
// stops using the one it reported.
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

// findSlot returns the slot of a vm that forgot it, which its new process starts
// with an empty bucket, else a findSlot slot, else -1.
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
