// Package admission keeps every customer within its rate and burst, summed
// over all VMs, in any window of time (section 4.4 of docs/design.md).
//
// The controller of a cell holds a Ledger per term, from which VMs draw blocks
// of tokens, and Floors, which leases floor slots to VMs. A VM holds a Share: a
// floor bucket and blocks per customer, from which requests reserve tokens.
// Gate is the driver of a Share.
//
// Why the bound holds: at any moment the tokens in the ledger plus those in
// unexpired blocks are at most the ledger's part of the burst. Whatever is
// admitted in a window was in a block or in the ledger when it began, or was
// added during it at the ledger's part of the rate. The same holds for each
// floor bucket. A token counts at the moment of Reserve, or not at all when it
// was released.
package admission

import (
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/topo"
)

const (
	// FloorShare is the part of rate and burst that is set aside for floors.
	FloorShare = 0.20
	// FloorSlots is the number of floor slots, the greatest number of VMs of
	// a cell.
	FloorSlots = 16
	// FloorTTL is the lease of a floor slot, counted by the VM from before it
	// sent the request.
	FloorTTL = 10 * time.Minute
	// BlockTTL is the life of a block, counted by the VM from before it sent
	// the draw.
	BlockTTL = 500 * time.Millisecond
	// MaxDrift bounds how much faster or slower than real time the clock of
	// any machine runs.
	MaxDrift = 0.01
	// MinBurst is the shortest time of the rate that a burst must cover.
	MinBurst = time.Second
)

// withDriftMargin returns how long the granter of a lease waits after d on the
// holder's clock. Both clocks may be wrong, in opposite directions.
func withDriftMargin(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + MaxDrift) * (1 + MaxDrift))
}

// Rate is a customer's rate.
type Rate struct {
	// PerSecond is in tokens (requests) per second.
	PerSecond float64
	// Burst is in tokens, at least MinBurst of the rate.
	Burst float64
}

// Validate reports a rate that the ledger cannot keep.
func (r Rate) Validate() error {
	if r.PerSecond <= 0 {
		return errors.NotValidf("rate %v per second", r.PerSecond)
	}
	if r.Burst < r.PerSecond*MinBurst.Seconds() {
		return errors.NotValidf("burst %v below %v of the rate %v per second", r.Burst, MinBurst, r.PerSecond)
	}
	return nil
}

// ledger returns the part of the rate that the ledger hands out, in real time
// even on a clock that runs fast.
func (r Rate) ledger() Rate {
	return Rate{r.PerSecond * (1 - FloorShare) / (1 + MaxDrift), r.Burst * (1 - FloorShare)}
}

// floor returns the part of the rate of one floor slot.
func (r Rate) floor() Rate {
	return Rate{r.PerSecond * FloorShare / FloorSlots / (1 + MaxDrift), r.Burst * FloorShare / FloorSlots}
}

// BlockID names a block within a term.
type BlockID uint64

// Block is a number of tokens that a VM may use until BlockTTL after it sent
// the draw.
type Block struct {
	Term     topo.Term
	ID       BlockID
	Customer topo.CustomerID
	Tokens   int64
}

// Want asks for tokens of a customer.
type Want struct {
	Customer topo.CustomerID
	Tokens   int64
}

// Return closes a block and gives its unused tokens back. The VM uses the
// block no more from the moment it makes the Return, and never repeats it.
type Return struct {
	Term     topo.Term
	Block    BlockID
	Customer topo.CustomerID
	Tokens   int64
}

// DrawRequest goes from a VM to the controller.
type DrawRequest struct {
	VM      topo.VMID
	Wants   []Want
	Returns []Return
}

// DrawReply is the answer to a DrawRequest.
type DrawReply struct{ Blocks []Block }

// FloorGrant is the lease of a floor slot, valid FloorTTL from before the VM
// sent the request.
type FloorGrant struct {
	Slot int
	// Confirmed says that the VM already reported the slot. A VM whose lease
	// lapsed in the meantime ignores a confirmation.
	Confirmed bool
}
