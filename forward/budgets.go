package forward

import (
	"sync"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/execution"
	"godwitlock.example/godwitlock/topo"
)

// Budgets holds the retry budgets of this VM, one per service. It is safe for
// concurrent use.
type Budgets struct {
	share float64
	// slack returns this VM's part of the retries that are allowed regardless
	// of the number of requests.
	slack func() float64

	mu        sync.Mutex
	byService map[topo.ServiceName]*execution.Budget
}

// NewBudgets returns budgets that have counted no requests. share is the
// fraction of requests that may be retries; slack returns this VM's part of the
// retries that are allowed regardless of the number of requests.
func NewBudgets(share float64, slack func() float64) *Budgets {
	return &Budgets{share: share, slack: slack, byService: make(map[topo.ServiceName]*execution.Budget)}
}

func (b *Budgets) budget(name topo.ServiceName) *execution.Budget {
	x := b.byService[name]
	if x == nil {
		x = &execution.Budget{Share: b.share}
		b.byService[name] = x
	}
	x.Slack = b.slack()
	return x
}

// CountRequest counts a caller's request to a service towards its retry budget.
// returned says that the caller had been refused before.
func (b *Budgets) CountRequest(name topo.ServiceName, returned bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Boot()
	b.budget(name).Request(now)
	if returned {
		b.budget(name).Returned(now)
	}
}

// Withdraw takes one retry from a service's budget. It returns false when the
// budget is used up, or when its rest is reserved for callers that returned.
func (b *Budgets) Withdraw(name topo.ServiceName, returned bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if returned {
		return b.budget(name).Withdraw(clock.Boot())
	}
	return b.budget(name).WithdrawReturnable(clock.Boot())
}
