package forward

import (
	"sync"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/execution"
	"godwitlock.example/godwitlock/topo"
)

// Budgets are the retry budgets of this VM, one per service. They are safe for
// concurrent use.
type Budgets struct {
	share float64
	// slack is this VM's part of the retries that are allowed in any case.
	slack func() float64

	mu        sync.Mutex
	byService map[topo.ServiceName]*execution.Budget
}

// NewBudgets returns empty budgets. Share is the share of requests that may be
// retries.
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

// Request counts a caller's request to a service.
func (b *Budgets) Request(name topo.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(name).Request(clock.Boot())
}

// Withdraw takes a retry from a service's budget.
func (b *Budgets) Withdraw(name topo.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(name).Withdraw(clock.Boot())
}
