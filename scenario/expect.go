package scenario

import (
	"strconv"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/topo"
)

// expect checks one guarantee. D counts from the last fault, repair or operator
// action, all of which are called faults here:
//
//	expect served KIND within D    all keys are served again within D; KIND as in load
//	expect no-double-run           no idempotency key was executed twice
//	expect one-owner               no slice ran on two servers at once, or under a lower fence than before
//	expect no-false-not-run        no request refused as not-run was executed
//	expect nothing-cut             no request was interrupted since the last fault
//	expect no-history-lost         no request was refused with history_lost since the last fault
//	expect served-by VM            the VM has served a request since the last fault
//	expect refused KEY within D    all running VMs refuse a withdrawn caller key after D
//	expect no-new-work DC after D  no execution starts in the data centre after D
//	expect assignments-kept        all keys run on the same servers as before the last fault
//	expect rate-kept CUSTOMER      in no window more requests were admitted than rate and burst allow
//	expect unknown N               exactly N attempts ended with an unknown outcome
func (r *Runner) expect(args []string) error {
	if len(args) == 0 {
		return errors.New("missing expectation")
	}
	bound, err := r.bound(args)
	if err != nil {
		return err
	}
	switch args[0] {
	case "served":
		return r.expectServed(args[1], bound)
	case "no-double-run":
		return r.records().noDoubleRun()
	case "one-owner":
		return r.records().oneOwner()
	case "no-false-not-run":
		return r.records().noFalseNotRun()
	case "nothing-cut":
		return r.records().nothingCut(r.lastFault)
	case "no-history-lost":
		return r.records().noHistoryLost(r.lastFault)
	case "served-by":
		return r.records().servedBy(topo.VMID(args[1]), r.lastFault)
	case "refused":
		return r.expectRefused(args[1], bound)
	case "no-new-work":
		r.sleepUntil(r.lastFault.Add(bound + settleTime))
		return r.records().noNewWork(topo.DataCentreName(args[1]), r.lastFault.Add(bound))
	case "assignments-kept":
		return r.records().assignmentsKept(r.lastFault)
	case "rate-kept":
		return r.records().rateKept(topo.CustomerID(args[1]), r.rate, 2*r.rate)
	case "unknown":
		return r.expectUnknown(args[1])
	}
	return errors.NotFoundf("expectation %s", args[0])
}

// bound checks the number of arguments of an expectation and returns the duration
// after "within" or "after", or 0 if the expectation has none.
func (r *Runner) bound(args []string) (time.Duration, error) {
	want := map[string]int{"served": 4, "refused": 4, "no-new-work": 4, "rate-kept": 2, "unknown": 2, "served-by": 2}[args[0]]
	if want != 0 && len(args) != want {
		return 0, errors.Errorf("want %d words after expect", want)
	}
	if want < 3 {
		return 0, nil
	}
	return time.ParseDuration(args[want-1])
}

func (r *Runner) sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

// expectRefused sends requests with a withdrawn key to every VM, including those
// that the load balancer would not choose.
func (r *Runner) expectRefused(name string, bound time.Duration) error {
	key, ok := r.callerKeys[name]
	if !ok {
		return errors.NotFoundf("caller key %s", name)
	}
	label := "withdrawn/" + name
	for end := time.Now().Add(max(0, time.Until(r.lastFault.Add(bound))) + settleTime); time.Now().Before(end); {
		for _, vm := range r.d.VMs {
			r.generator.attempt(vm, request{method: "GET", path: "/ledger/reader-0", key: label, callerKey: key.Reveal(), customer: customer})
		}
		time.Sleep(20 * time.Millisecond)
	}
	var vms []topo.VMID
	for _, vm := range r.d.VMs {
		if vm.Running() {
			vms = append(vms, vm.Settings.VM)
		}
	}
	return r.records().refused(label, r.lastFault.Add(bound), vms)
}

func (r *Runner) expectUnknown(want string) error {
	n := 0
	for _, a := range r.records().attempts {
		if a.outcome == "unknown" {
			n++
		}
	}
	if want != strconv.Itoa(n) {
		return errors.Errorf("%d attempts ended with an unknown outcome", n)
	}
	return nil
}

// records returns the attempts and executions recorded so far. An execution in
// progress gets the current time as its end.
func (r *Runner) records() records {
	out := records{attempts: r.generator.recordedAttempts()}
	for _, svc := range r.doc.Services {
		for _, s := range svc.Servers {
			for _, rec := range r.d.Servers[s.ID].Records() {
				e := executionRecord{
					server: s.ID, dataCentre: s.DataCentre, attempt: rec.Header.Get(attemptHeader), customer: rec.Customer,
					idempotencyKey: rec.IdempotencyKey, key: rec.Key, fence: rec.Fence, start: rec.Start, end: rec.End,
				}
				if e.end.IsZero() {
					e.end = time.Now()
				}
				out.executions = append(out.executions, e)
			}
		}
	}
	return out
}

func (r *Runner) expectServed(kind string, bound time.Duration) error {
	r.sleepUntil(r.lastFault.Add(bound + settleTime))
	recovery, last, err := r.records().recoveryTime(r.lastFault, kind == "exactly-once")
	if err != nil {
		return err
	}
	r.logf("all keys served again %v after the last fault (%s)", recovery, kind)
	if last != nil {
		r.logf("last failed or delayed attempt, sent %v and ended %v after the last fault: %v", last.start.Sub(r.lastFault), last.end.Sub(r.lastFault), *last)
	}
	if recovery > bound {
		return errors.Errorf("keys were served again only after %v", recovery)
	}
	return nil
}
