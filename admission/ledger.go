package admission

import (
	"math"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// Ledger is the controller's token account of all customers during one term. It
// does no I/O, reads no clock and is not safe for concurrent use. A time that is
// earlier than one passed in before is treated as the latest one.
type Ledger struct {
	term       topo.Term
	grantsFrom time.Time
	now        time.Time
	nextID     BlockID
	customers  map[topo.CustomerID]*account
}

// account holds the tokens of one customer.
type account struct {
	// rate is the ledger's part of the customer's rate. It is zero if the
	// customer was removed and the account remains only for its blocks.
	rate       Rate
	level      float64
	refilledAt time.Time
	// outstandingTokens is the number of tokens in blocks that have neither expired
	// nor been returned.
	outstandingTokens float64
	blocks            []outstandingBlock
}

// outstandingBlock is an unexpired block that was issued to a VM. An account
// keeps its blocks in order of expiry.
type outstandingBlock struct {
	id      BlockID
	vm      topo.VMID
	tokens  int64 // 0 when returned
	expires time.Time
}

// NewLedger returns an empty ledger for a term whose authority began at start. It
// issues no block before all blocks of earlier terms have expired.
func NewLedger(term topo.Term, start time.Time) *Ledger {
	return &Ledger{
		term:       term,
		grantsFrom: start.Add(withDriftMargin(BlockTTL)),
		now:        start,
		customers:  make(map[topo.CustomerID]*account),
	}
}

// GrantsFrom returns the time from which the ledger issues blocks. All blocks of
// earlier terms have expired by then.
func (l *Ledger) GrantsFrom() time.Time { return l.grantsFrom }

// SetCustomer adds a customer or changes its rate. An added customer starts
// without tokens, since it may have spent its burst before a recent removal.
// Outstanding blocks count against the new burst. SetCustomer returns the error of
// rate.Validate and then changes nothing.
func (l *Ledger) SetCustomer(now time.Time, id topo.CustomerID, rate Rate) error {
	if err := rate.Validate(); err != nil {
		return err
	}
	now = l.advance(now)
	a := l.customers[id]
	if a == nil {
		a = &account{refilledAt: now}
		if now.Before(l.grantsFrom) {
			a.refilledAt = l.grantsFrom
		}
		l.customers[id] = a
	}
	a.refill(now)
	a.rate = rate.ledger()
	a.cap()
	return nil
}

// RemoveCustomer stops issuing blocks of the customer at once. Outstanding blocks
// stay on the account until they expire.
func (l *Ledger) RemoveCustomer(now time.Time, id topo.CustomerID) {
	a := l.customers[id]
	if a == nil {
		return
	}
	a.refill(l.advance(now))
	a.rate, a.level = Rate{}, 0
}

// Draw credits the returned tokens and then issues blocks. The caller must have
// checked that its authority is valid at now.
func (l *Ledger) Draw(now time.Time, req DrawRequest) DrawReply {
	now = l.advance(now)
	for _, r := range req.Returns {
		if a := l.customers[r.Customer]; a != nil && r.Term == l.term {
			a.refill(now)
			a.returnBlock(req.VM, r)
		}
	}
	var reply DrawReply
	for _, w := range req.Wants {
		if b, ok := l.draw(now, req.VM, w); ok {
			reply.Blocks = append(reply.Blocks, b)
		}
	}
	return reply
}

func (l *Ledger) draw(now time.Time, vm topo.VMID, w Want) (Block, bool) {
	a := l.customers[w.Customer]
	if a == nil || now.Before(l.grantsFrom) {
		return Block{}, false
	}
	a.refill(now)
	l.deleteIfUnused(w.Customer, a)
	n := a.take(w.Tokens)
	if n <= 0 {
		return Block{}, false
	}
	l.nextID++
	a.outstandingTokens += float64(n)
	a.blocks = append(a.blocks, outstandingBlock{l.nextID, vm, n, now.Add(withDriftMargin(BlockTTL))})
	return Block{Term: l.term, ID: l.nextID, Customer: w.Customer, Tokens: n}, true
}

// Balance returns the customer's tokens in the ledger (level) and in blocks that
// have neither expired nor been returned (outstanding).
func (l *Ledger) Balance(now time.Time, id topo.CustomerID) (level, outstanding float64) {
	a := l.customers[id]
	if a == nil {
		return 0, 0
	}
	a.refill(l.advance(now))
	return a.level, a.outstandingTokens
}

func (l *Ledger) advance(now time.Time) time.Time {
	if now.After(l.now) {
		l.now = now
	}
	return l.now
}

// deleteIfUnused deletes the account of a removed customer once all its blocks
// have expired.
func (l *Ledger) deleteIfUnused(id topo.CustomerID, a *account) {
	if a.rate.PerSecond == 0 && len(a.blocks) == 0 {
		delete(l.customers, id)
	}
}

// take removes up to want whole tokens and returns their number. A draw gets at
// most half of the level, or one token if that is less than one, so that a
// ledger short of tokens serves other VMs too.
func (a *account) take(want int64) int64 {
	n := min(want, max(int64(a.level/2), 1))
	if n <= 0 || float64(n) > a.level {
		return 0
	}
	a.level -= float64(n)
	return n
}

// refill adds the tokens that accrued since the last call. It proceeds from one
// block expiry to the next, since each expiry raises the cap on the level.
func (a *account) refill(now time.Time) {
	for len(a.blocks) > 0 && !a.blocks[0].expires.After(now) {
		a.refillTo(a.blocks[0].expires)
		a.outstandingTokens -= float64(a.blocks[0].tokens)
		a.blocks = a.blocks[1:]
	}
	a.refillTo(now)
}

func (a *account) refillTo(t time.Time) {
	if !t.After(a.refilledAt) {
		return
	}
	a.level += a.rate.PerSecond * t.Sub(a.refilledAt).Seconds()
	a.refilledAt = t
	a.cap()
}

func (a *account) cap() {
	a.level = math.Max(0, math.Min(a.level, a.rate.Burst-a.outstandingTokens))
}

// returnBlock closes a block and credits its unused tokens. A block that has
// expired or was already closed by another message credits nothing: its tokens
// count as spent.
func (a *account) returnBlock(vm topo.VMID, r Return) {
	for i := range a.blocks {
		b := &a.blocks[i]
		if b.id != r.Block || b.vm != vm {
			continue
		}
		// The used tokens of the block are spent, as in any token bucket. The
		// whole block leaves the outstanding tokens, since the VM cannot use
		// any of it later.
		n := min(max(r.Tokens, 0), b.tokens)
		a.outstandingTokens -= float64(b.tokens)
		a.level += float64(n)
		b.tokens = 0
		a.cap()
		return
	}
}
