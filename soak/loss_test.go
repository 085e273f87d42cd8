package soak

import (
	"fmt"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"godwitlock.example/godwitlock/standin/platform/site"
)

const (
	grace        = site.GraceS * time.Second
	routeTimeout = time.Duration(site.RouteTimeoutS * float64(time.Second))
	// settledAfter is how long the effects of a disruption excuse a lost request.
	settledAfter = 3 * time.Second
	// applyWithin is the time within which a configuration or settings are in force.
	applyWithin = 2 * time.Second
	// lossSlack is how long a request that no server executed may wait on a
	// connection that is then closed.
	lossSlack = 200 * time.Millisecond
	// lateSent is the time after SIGTERM from which a request may still be at work
	// when the process is killed.
	lateSent = 3 * time.Second
	// unplannedLosses is the number of executed requests that a run may lose
	// outside planned work and disruptions.
	unplannedLosses = 3
)

// event is a period of planned work or of a disruption. An empty vm affects all VMs.
type event struct {
	vm, kind   string
	planned    bool
	begin, end time.Time
}

// timeline records the events of a run. It is safe for concurrent use.
type timeline struct {
	mu     sync.Mutex
	events []*event
}

// add records planned work whose effects last for the given time.
func (t *timeline) add(vm, kind string, lasts time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.events = append(t.events, &event{vm: vm, kind: kind, planned: true, begin: now, end: now.Add(lasts)})
}

// disrupt records the start of a disruption and returns the function that ends it.
func (t *timeline) disrupt(vm, kind string) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := &event{vm: vm, kind: kind, begin: time.Now()}
	t.events = append(t.events, e)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		e.end = time.Now()
	}
}

// count returns the number of events of each kind, for the log of a run.
func (t *timeline) count() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := make(map[string]int)
	for _, e := range t.events {
		n[e.kind]++
	}
	return n
}

// disrupted reports whether a VM was affected by a disruption between from and to.
func (t *timeline) disrupted(vm string, from, to time.Time) bool {
	for _, e := range t.events {
		affected := !e.planned && (e.vm == "" || e.vm == vm)
		if affected && e.begin.Before(to) && (e.end.IsZero() || e.end.After(from)) {
			return true
		}
	}
	return false
}

// plannedWork returns the latest planned work of a VM that was in effect when a
// request ended, or nil. SIGTERM goes before all other work.
func (t *timeline) plannedWork(r *request) *event {
	var found *event
	for _, e := range t.events {
		if !e.planned || e.vm != "" && e.vm != r.vm || e.begin.After(r.endAt) || e.end.Before(r.endAt) {
			continue
		}
		if e.kind == "SIGHUP" && r.at.Sub(e.begin) > applyWithin {
			continue
		}
		if found == nil || found.kind != "SIGTERM" || e.kind == "SIGTERM" {
			found = e
		}
	}
	return found
}

// losses are the judged ends of the requests of a run.
type losses struct {
	// ends and statuses count the requests by ending and by status, excused the lost
	// ones by their excuse.
	ends     [endings]int
	statuses map[int]int
	excused  map[string]int
	// discardedReady and discardedRunning count the requests behind a closing
	// response whose own response was ready, or which a server had begun; stops
	// counts those of them in a stop.
	discardedReady, discardedRunning, stops int
	// calm holds the executed requests that were lost without any event.
	calm []string
}

func (l *losses) String() string {
	var parts []string
	for how, n := range l.ends {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", ending(how), n))
		}
	}
	excuses := make([]string, 0, len(l.excused))
	for e, n := range l.excused {
		excuses = append(excuses, fmt.Sprintf("%s %d", e, n))
	}
	sort.Strings(excuses)
	return fmt.Sprintf("requests: %s; statuses %v; discarded responses behind a closing one: %d ready, %d not ready, %d of both in a stop; excused: %s; lost in calm: %d",
		strings.Join(parts, ", "), l.statuses, l.discardedReady, l.discardedRunning, l.stops, strings.Join(excuses, ", "), len(l.calm))
}

// judge checks how each request ended against the events of the run. It must be
// called after all callers have returned.
func (c *checker) judge(t *timeline) *losses {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	l := &losses{excused: make(map[string]int), statuses: make(map[int]int)}
	for _, r := range c.requests {
		l.ends[r.end]++
		l.statuses[r.status]++
		if r.end == behindClose {
			c.judgeDiscarded(t, l, r)
		} else if c.isLost(r) {
			c.judgeLost(t, l, r)
		}
	}
	if len(l.calm) > unplannedLosses {
		c.addViolation("LOST: %d executed requests without planned work or a disruption: %s", len(l.calm), strings.Join(l.calm, " | "))
	}
	return l
}

// writeRecord writes the violations and events of the run, and the requests without a complete
// response of a server, to a file.
func (c *checker) writeRecord(t *timeline, file string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := append([]string(nil), c.violations...)
	for _, e := range t.events {
		lines = append(lines, fmt.Sprintf("%s to %s: %s %s", e.begin.Format(clockFormat), e.end.Format(clockFormat), e.kind, e.vm))
	}
	for _, r := range c.requests {
		if r.status != http.StatusOK {
			lines = append(lines, r.at.Format(clockFormat)+": "+r.String())
		}
	}
	sort.Strings(lines)
	return os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// isLost reports whether a connection was closed without a complete response to a
// request, or whether the VM answered in place of a server whose work it broke off.
func (c *checker) isLost(r *request) bool {
	switch r.end {
	case cut, truncated:
		return true
	case answered:
		return r.status >= http.StatusInternalServerError && !r.sealed && len(r.runs) > 0 && !r.responseReady()
	}
	return false
}

// judgeDiscarded counts an executed request behind a closing response. Its caller
// sends it again, so the VM must not have let a server execute it: in planned work
// this is a violation, unless the grace time ended.
func (c *checker) judgeDiscarded(t *timeline, l *losses, r *request) {
	if len(r.runs) == 0 {
		return
	}
	if r.responseReady() {
		l.discardedReady++
	} else {
		l.discardedRunning++
	}
	work := t.plannedWork(r)
	if work != nil && work.kind == "SIGTERM" {
		l.stops++
	}
	if work != nil && t.excuse(r, work) == "" {
		c.addViolation("DISCARDED: after %s at %s: %v", work.kind, work.begin.Format(clockFormat), r)
	}
}

func (c *checker) judgeLost(t *timeline, l *losses, r *request) {
	work := t.plannedWork(r)
	if r.end == answered && (work == nil || work.kind != "SIGTERM") {
		return
	}
	if why := t.excuse(r, work); why != "" {
		l.excused[why]++
		return
	}
	if work == nil {
		l.calm = append(l.calm, r.String())
		return
	}
	c.addViolation("LOST: after %s at %s: %v", work.kind, work.begin.Format(clockFormat), r)
}

// excuse returns why the VM may close the connection of a request without a complete
// response to it, or "".
func (t *timeline) excuse(r *request, work *event) string {
	waited := r.endAt.Sub(r.at)
	switch {
	case t.disrupted(r.vm, r.at.Add(-settledAfter), r.endAt):
		return "disruption"
	case waited >= min(r.deadline, routeTimeout):
		return "deadline"
	case len(r.runs) > 0 && work != nil && work.kind == "SIGTERM" && r.workedIntoGraceEnd(work.begin):
		return "at work at the end of the grace time"
	case len(r.runs) > 0 && work != nil && work.kind == "configuration" && waited >= min(r.deadline, routeTimeout)*7/10:
		return "most of its time used"
	case len(r.runs) > 0 || r.end == truncated:
		return ""
	case r.ahead > 0:
		return "behind another, not executed"
	case r.endAt.Sub(r.lastByte) <= lossSlack:
		return "crossed the close, not executed"
	case work == nil:
		return "not executed"
	}
	return ""
}

// workedIntoGraceEnd reports whether the request was sent no later than lateSent
// after SIGTERM and a server was at work on it in the last sixth of the grace time.
func (r *request) workedIntoGraceEnd(sigterm time.Time) bool {
	if r.at.Sub(sigterm) > lateSent {
		return false
	}
	for _, e := range r.runs {
		until := e.end
		if until.IsZero() || until.After(r.endAt) {
			until = r.endAt
		}
		if !until.Before(sigterm.Add(grace - grace/6)) {
			return true
		}
	}
	return false
}
