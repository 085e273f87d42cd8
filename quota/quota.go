// Package quota keeps every customer within its rate and burst, summed over all
// VMs. The leader's Ledger hands tokens out to the VMs, each of which keeps
// them in a Purse and spends one per request.
//
// Why the bound holds: the ledger counts every token that it handed out as
// existing until the VM has reported it spent, or until a VM that is not heard
// has lost its tokens. New tokens come in at the customer's rate, and only
// while fewer than the burst exist. So what runs in a window is at most the
// burst and the rate times the window. A new leader starts with no tokens and
// learns from the VMs' reports what exists; until it has heard them all, up to
// one more burst may exist. It is pure.
package quota

import (
	"time"

	"godwitlock.example/godwitlock/topo"
)

const (
	// TokenTTL is how long a VM that does not hear a leader may spend its
	// tokens, counted by the VM from its last report that was answered.
	TokenTTL = 4 * time.Second
	// lostAfter is when the leader counts the tokens of a silent VM as gone.
	// It is longer than TokenTTL with the drift of both clocks.
	lostAfter = 5 * time.Second
	// reserve is the time of a VM's demand that its purse should cover: most of
	// the time without a leader after one is lost.
	reserve = 2500 * time.Millisecond
	// demandMemory is the weight of a new report in a VM's demand.
	demandMemory = 0.3
)

// Report is what a VM tells of one customer.
type Report struct {
	Customer topo.CustomerID
	// Held is the tokens in the purse.
	Held float64
	// Asked is the number of requests since the last report, whether they got
	// a token or not.
	Asked float64
}

// Allowance is a customer's rate.
type Allowance struct {
	// Rate is in requests per second and Burst in requests.
	Rate, Burst float64
}

// holding is one VM's part of an account.
type holding struct {
	held   float64
	demand float64
	seen   time.Time
}

// account is one customer's state at the leader.
type account struct {
	limit Allowance
	// free are tokens that exist and no VM has.
	free float64
	last time.Time
	vms  map[topo.VMID]*holding
}

// Ledger is the leader's account of all customers. It is not safe for
// concurrent use.
type Ledger struct {
	start    time.Time
	accounts map[topo.CustomerID]*account
}

// NewLedger returns the ledger of a leader whose lease began at start.
func NewLedger(start time.Time) *Ledger {
	return &Ledger{start: start, accounts: make(map[topo.CustomerID]*account)}
}

// SetLimit adds a customer or changes its rate. A rate of 0 removes it.
func (l *Ledger) SetLimit(now time.Time, id topo.CustomerID, limit Allowance) {
	if limit.Rate <= 0 {
		delete(l.accounts, id)
		return
	}
	a := l.accounts[id]
	if a == nil {
		a = &account{last: now, vms: make(map[topo.VMID]*holding)}
		l.accounts[id] = a
	}
	a.refill(now)
	a.limit = limit
	a.free = min(a.free, max(0, limit.Burst-a.held()))
}

// held returns the tokens that VMs have.
func (a *account) held() float64 {
	total := 0.0
	for _, h := range a.vms {
		total += h.held
	}
	return total
}

// refill adds what the rate brought in since the last call.
func (a *account) refill(now time.Time) {
	for vm, h := range a.vms {
		if now.Sub(h.seen) > lostAfter {
			delete(a.vms, vm)
		}
	}
	room := max(0, a.limit.Burst-a.held()-a.free)
	a.free += min(room, a.limit.Rate*max(0, now.Sub(a.last).Seconds()))
	a.last = now
}

// Exchange takes a VM's report and returns the tokens to add to its purse; a
// negative number asks for tokens back.
func (l *Ledger) Exchange(now time.Time, vm topo.VMID, interval time.Duration, reports []Report) map[topo.CustomerID]float64 {
	out := make(map[topo.CustomerID]float64, len(reports))
	for _, r := range reports {
		a := l.accounts[r.Customer]
		if a == nil {
			continue
		}
		if grant := a.exchange(now, vm, interval, r); grant != 0 {
			out[r.Customer] = grant
		}
	}
	return out
}

func (a *account) exchange(now time.Time, vm topo.VMID, interval time.Duration, r Report) float64 {
	a.refill(now)
	h := a.vms[vm]
	if h == nil {
		h = &holding{}
		a.vms[vm] = h
	}
	h.held, h.seen = r.Held, now
	if interval > 0 {
		h.demand += demandMemory * (r.Asked/interval.Seconds() - h.demand)
	}
	want := a.part(h) - h.held
	switch {
	case want > 0:
		want = min(want, a.free)
		a.free -= want
		h.held += want
	case want < -1:
		// Tokens beyond twice the need serve another VM better.
		want = min(0, want+a.part(h))
	default:
		want = 0
	}
	return want
}

// part returns the tokens that a VM should have: its reserve, or its share of
// the burst when that does not cover all reserves.
func (a *account) part(h *holding) float64 {
	total := 0.0
	for _, o := range a.vms {
		total += o.want()
	}
	if total <= a.limit.Burst {
		return h.want()
	}
	return a.limit.Burst * h.want() / total
}

// want is the reserve of a VM: its demand's, and one request that comes
// without warning.
func (h *holding) want() float64 { return 1 + h.demand*reserve.Seconds() }

// Purse is one VM's tokens. It is not safe for concurrent use.
type Purse struct {
	tokens map[topo.CustomerID]float64
	asked  map[topo.CustomerID]float64
	heard  time.Time
}

// NewPurse returns an empty purse.
func NewPurse() *Purse {
	return &Purse{tokens: make(map[topo.CustomerID]float64), asked: make(map[topo.CustomerID]float64)}
}

// Take spends a token of a customer, or reports that there is none.
func (p *Purse) Take(now time.Time, id topo.CustomerID) bool {
	p.asked[id]++
	if now.Sub(p.heard) > TokenTTL || p.tokens[id] < 1 {
		return false
	}
	p.tokens[id]--
	return true
}

// Retake is Take for a request that was counted before.
func (p *Purse) Retake(now time.Time, id topo.CustomerID) bool {
	p.asked[id]--
	return p.Take(now, id)
}

// Return gives a token back: its request was refused and did not run.
func (p *Purse) Return(id topo.CustomerID) { p.tokens[id]++ }

// Report returns the reports for the leader and starts the next interval.
func (p *Purse) Report(now time.Time) []Report {
	if now.Sub(p.heard) > TokenTTL {
		clear(p.tokens)
	}
	var out []Report
	for id := range p.tokens {
		if _, asked := p.asked[id]; !asked {
			p.asked[id] = 0
		}
	}
	for id, n := range p.asked {
		out = append(out, Report{Customer: id, Held: p.tokens[id], Asked: n})
	}
	for id := range p.asked {
		p.asked[id] = 0
	}
	return out
}

// Granted adds the tokens that the answer to a report brought. Sent is when
// the report was sent.
func (p *Purse) Granted(sent time.Time, grants map[topo.CustomerID]float64) {
	p.heard = sent
	for id, n := range grants {
		p.tokens[id] = max(0, p.tokens[id]+n)
	}
}
