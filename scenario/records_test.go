package scenario

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/topo"
)

// atMS returns the time ms milliseconds after the start of the records below.
func atMS(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func newExecution(attempt, key, server, fence string, from, to int) executionRecord {
	return executionRecord{
		attempt: attempt, key: key, server: topo.ServerID(server), dataCentre: "dc-b", fence: fence,
		customer: "acme", idempotencyKey: "i-" + attempt, start: atMS(from), end: atMS(to),
	}
}

func newAttempt(id string, from, to, status int, kind, outcome string) attempt {
	return attempt{id: id, key: "k", customer: "acme", vm: "vm-1", start: atMS(from), end: atMS(to), status: status, kind: kind, outcome: outcome}
}

// validRecords returns records that satisfy every check. Server s-1 fails at 50 ms,
// and slice 7 moves from s-1 to s-2 at 100 ms.
func validRecords() records {
	withdrawn := newAttempt("d", 120, 121, 401, "caller_key_invalid", "not-run")
	withdrawn.key, withdrawn.idempotencyKey = "w", "i-d"
	return records{
		attempts: []attempt{
			newAttempt("a", 0, 10, 200, "", ""), newAttempt("b", 60, 70, 503, "no_owner", "not-run"),
			newAttempt("c", 100, 110, 200, "", ""), withdrawn,
		},
		executions: []executionRecord{newExecution("a", "k", "s-1", "7/1.1", 1, 9), newExecution("c", "k", "s-2", "7/1.2", 101, 109)},
	}
}

// Guards against checks that never fail: each must accept valid records and reject
// records that violate its guarantee.
func TestChecksDetectViolations(t *testing.T) {
	served := func(r records) error {
		took, _, err := r.recoveryTime(atMS(50), false)
		if err == nil && took > 20*time.Millisecond {
			err = assert.AnError
		}
		return err
	}
	checks := map[string]struct {
		check   func(records) error
		violate func(*records)
	}{
		"served: late failure": {served, func(r *records) {
			r.attempts = append(r.attempts, newAttempt("e", 90, 91, 503, "no_owner", "not-run"))
		}},
		"served: slow response": {served, func(r *records) {
			r.attempts = append(r.attempts[:2], newAttempt("e", 55, 200, 200, "", ""))
		}},
		"served: nothing sent": {served, func(r *records) { r.attempts = r.attempts[:1] }},
		"no-double-run": {records.noDoubleRun, func(r *records) {
			r.executions[1].idempotencyKey = r.executions[0].idempotencyKey
		}},
		"one-owner: overlap":       {records.oneOwner, func(r *records) { r.executions[0].end = atMS(102) }},
		"one-owner: falling fence": {records.oneOwner, func(r *records) { r.executions[1].fence = "7/1.0" }},
		"one-owner: shared fence":  {records.oneOwner, func(r *records) { r.executions[1].fence = "7/1.1" }},
		"no-false-not-run": {records.noFalseNotRun, func(r *records) {
			r.executions = append(r.executions, newExecution("b", "k", "s-2", "7/1.2", 110, 111))
		}},
		"nothing-cut: unknown": {func(r records) error { return r.nothingCut(atMS(50)) }, func(r *records) {
			r.attempts = append(r.attempts, newAttempt("e", 60, 61, 502, "outcome_unknown", "unknown"))
		}},
		"nothing-cut: no response": {func(r records) error { return r.nothingCut(atMS(50)) }, func(r *records) {
			r.attempts = append(r.attempts, newAttempt("e", 60, 61, 0, "", ""))
		}},
		"no-history-lost": {func(r records) error { return r.noHistoryLost(atMS(50)) }, func(r *records) {
			r.attempts = append(r.attempts, newAttempt("e", 60, 61, 409, kindHistoryLost, "unknown"))
		}},
		"served-by": {func(r records) error { return r.servedBy("vm-1", atMS(50)) }, func(r *records) {
			r.attempts[2].vm = "vm-2"
		}},
		"no-new-work": {func(r records) error { return r.noNewWork("dc-b", atMS(105)) }, func(r *records) {
			r.executions[1].start = atMS(105)
		}},
		"assignments-kept": {func(r records) error { return r.assignmentsKept(atMS(200)) }, func(r *records) {
			r.executions = append(r.executions, newExecution("f", "k", "s-3", "7/1.3", 300, 301))
		}},
		"rate-kept": {func(r records) error { return r.rateKept("acme", 10, 1.5) }, func(r *records) {
			r.attempts[2].start, r.executions[1].start = atMS(1), atMS(2)
		}},
		"refused: accepted": {func(r records) error { return r.refused("w", atMS(115), []topo.VMID{"vm-1"}) }, func(r *records) {
			accepted := newAttempt("e", 130, 131, 200, "", "")
			accepted.key = "w"
			r.attempts = append(r.attempts, accepted)
		}},
		"refused: VM not tried": {func(r records) error { return r.refused("w", atMS(115), []topo.VMID{"vm-1"}) }, func(r *records) {
			r.attempts = r.attempts[:3]
		}},
	}
	for name, c := range checks {
		t.Run(name, func(t *testing.T) {
			r := validRecords()
			if name == "assignments-kept" {
				r.executions = append(r.executions[1:], newExecution("e", "k", "s-2", "7/1.2", 250, 251))
			}
			require.NoError(t, c.check(r))
			c.violate(&r)
			require.Error(t, c.check(r))
		})
	}
}
