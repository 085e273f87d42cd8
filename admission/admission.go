// Package admission is a distributed token-bucket rate limiter. It keeps every
// customer within its rate and burst, summed over all VMs, in any window of
// time (section 4.4 of docs/design.md).
//
// The controller of a cell holds a Ledger per term, from which VMs draw blocks
// of tokens, and Floors, which leases floor slots to VMs. A floor slot entitles
// its holder to a fixed fraction of every customer's rate and burst,
// independently of the ledger. A VM holds a Share: for each customer, a floor
// bucket, which refills locally, and a set of blocks. Requests reserve tokens
// from both. Gate drives a Share.
//
// The bound holds because the tokens in the ledger plus those in unexpired
// blocks never exceed the ledger's part of the burst. Every token admitted in a
// window was in a block or in the ledger when the window began, or was added
// during the window at the ledger's part of the rate. The same argument applies
// to each floor bucket. A token counts at the moment of Reserve, or not at all
// if it is released.
package admission

import (
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/topo"
)

const (
	// FloorShare is the fraction of rate and burst reserved for the floor
	// buckets.
	FloorShare = 0.20
	// FloorSlots is the number of floor slots in a cell. It equals the maximum
	// number of VMs in a cell.
	FloorSlots = 16
	// FloorTTL is the duration of the lease on a floor slot. The VM counts it
	// from just before it sends the request.
	FloorTTL = 10 * time.Minute
	// BlockTTL is the lifetime of a block. The VM counts it from just before it
	// sends the draw.
	BlockTTL = 500 * time.Millisecond
	// MaxDrift is the assumed bound on clock drift: the clock of any machine
	// runs at most this fraction faster or slower than real time.
	MaxDrift = 0.01
	// MinBurst sets the smallest valid burst: the tokens that the rate yields
	// in this time.
	MinBurst = time.Second
)

// withDriftMargin returns how long the grantor of a lease must wait on its own
// clock for d to have passed on the holder's clock. The factor is applied twice
// because the two clocks may drift in opposite directions.
func withDriftMargin(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + MaxDrift) * (1 + MaxDrift))
}

// Rate is a customer's rate limit. One token admits one request.
type Rate struct {
	// PerSecond is in tokens per second and above 0.
	PerSecond float64
	// Burst is in tokens. It is at least what PerSecond yields in MinBurst.
	Burst float64
}

// Validate returns a NotValid error if the rate is not positive or the burst is
// smaller than what the rate yields in MinBurst.
func (r Rate) Validate() error {
	if r.PerSecond <= 0 {
		return errors.NotValidf("rate of %v requests per second (must be above 0)", r.PerSecond)
	}
	if r.Burst < r.PerSecond*MinBurst.Seconds() {
		return errors.NotValidf("burst of %v requests (must cover at least %v of the rate of %v per second)", r.Burst, MinBurst, r.PerSecond)
	}
	return nil
}

// ledger returns the part of the rate that the ledger issues. It is reduced
// by MaxDrift so that a controller whose clock runs fast stays within the rate in
// real time.
func (r Rate) ledger() Rate {
	return Rate{r.PerSecond * (1 - FloorShare) / (1 + MaxDrift), r.Burst * (1 - FloorShare)}
}

// floor returns the part of the rate that belongs to one floor slot, reduced
// by MaxDrift as in ledger.
func (r Rate) floor() Rate {
	return Rate{r.PerSecond * FloorShare / FloorSlots / (1 + MaxDrift), r.Burst * FloorShare / FloorSlots}
}

// BlockID identifies a block within a term.
type BlockID uint64

// Block is a batch of tokens that the ledger issued to a VM. The VM may use them
// until BlockTTL after it sent the draw.
type Block struct {
	Term     topo.Term
	ID       BlockID
	Customer topo.CustomerID
	Tokens   int64
}

// Want is the part of a DrawRequest that asks for up to Tokens tokens of a
// customer.
type Want struct {
	Customer topo.CustomerID
	Tokens   int64
}

// Return closes a block and gives its unused tokens back to the ledger. The VM
// stops using the block before it creates the Return, and sends each Return at
// most once.
type Return struct {
	Term     topo.Term
	Block    BlockID
	Customer topo.CustomerID
	Tokens   int64
}

// DrawRequest is a VM's request to the controller to take back blocks and to
// issue new ones.
type DrawRequest struct {
	VM      topo.VMID
	Wants   []Want
	Returns []Return
}

// DrawReply holds the blocks issued for a DrawRequest. A Want for which no token
// is available gets no block.
type DrawReply struct{ Blocks []Block }

// FloorGrant is a lease on a floor slot, valid for FloorTTL from just before the
// VM sent the request.
type FloorGrant struct {
	Slot int
	// Confirmed is true if the grant renews the slot that the VM reported. A
	// VM whose lease has expired in the meantime ignores the confirmation.
	Confirmed bool
}
