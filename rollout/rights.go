package rollout

import "math"

// Process identifies a process of a VM.
type Process struct{ VM, Boot string }

// account is what a process was given and has used.
type account struct{ granted, used int64 }

// Ledger is the leader's account of the rights of one roll-out. A right is the
// permission to send one request to the target; each process is told the number of
// all rights that it was given in the leader's term. It is not safe for concurrent
// use.
type Ledger struct {
	accounts map[Process]*account
	// credit are rights that are due and not given yet.
	credit float64
	// recent is about the number of requests between two reports of all processes.
	recent float64
	// issued is the number of rights given in this term under a limit.
	issued int64
}

// initialCredit is the number of rights that are given before the first requests are
// counted; it is part of Bounds.Slack.
const initialCredit = 10

// unlimited is the limit of steps that are not bound by the budget.
const unlimited = -1

// NewLedger returns an account without rights.
func NewLedger() *Ledger { return &Ledger{accounts: make(map[Process]*account), credit: initialCredit} }

// Issued returns the number of rights given under a limit.
func (l *Ledger) Issued() int64 { return l.issued }

// Granted returns the number of rights that a process was given.
func (l *Ledger) Granted(p Process) int64 {
	if a := l.accounts[p]; a != nil {
		return a.granted
	}
	return 0
}

// Report records that a process had the given number of requests of the service and
// has used the given number of its rights. It gives the process those of the due
// rights that it needs until its next reports, if no more than limit have been given
// in this term. Without a limit (unlimited), rights do not count as issued.
func (l *Ledger) Report(p Process, arrivals, used int64, share float64, limit int64) {
	a := l.accounts[p]
	if a == nil {
		a = &account{}
		l.accounts[p] = a
	}
	a.used = max(a.used, min(used, a.granted))
	l.recent += float64(arrivals) - l.recent/float64(len(l.accounts))
	// Rights that no process took are dropped, so that the share is never made up for
	// in a burst.
	l.credit = min(l.credit+share*float64(arrivals), max(initialCredit, 2*share*l.recent))
	if arrivals == 0 {
		return
	}
	want := int64(math.Ceil(2*share*float64(arrivals))) + 1 - (a.granted - a.used)
	n := max(0, min(want, int64(l.credit)))
	if limit != unlimited {
		n = max(0, min(n, limit-l.issued))
		l.issued += n
	}
	a.granted, l.credit = a.granted+n, l.credit-float64(n)
}
