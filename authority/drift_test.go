package authority

import (
	"flag"
	"fmt"
	"math/rand"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitlock.example/godwitlock/topo"
)

// TestMain fixes the seed so that every run generates the same cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.steps", "60")
	os.Exit(m.Run())
}

// clock is a process clock that runs 0 to 1% fast, so that the rates of two clocks
// differ by at most MaxDrift.
type clock struct {
	offset time.Duration
	ppm    int64
}

// at returns the reading of the clock after the true elapsed time real.
func (c clock) at(real time.Duration) time.Time {
	return startTime.Add(c.offset + real + time.Duration(int64(real)/1000*c.ppm/1000))
}

// chooser returns a number from 0 to n-1 for the choice described by what. The
// property test uses rapid; the tests that expect a violation use a seeded random
// generator.
type chooser func(n int, what string) int

// simulation runs three possible controllers and six possible witnesses, each with
// a clock of its own, with production durations. Witnesses 0 to 4 form the first
// roster.
type simulation struct {
	rules         *rules
	real          time.Duration
	storeUp       bool
	cell          Cell
	procs         [3]Process
	pclock        [3]clock
	succ          [3]*Successor
	h             [3]*Holder
	w             [6]*Witness
	wclock        [6]clock
	msgs          []message
	gained        int // how often authority was gained, to check that runs reach it
	rosterChanges int
}

func witnessID(i int) topo.VMID { return topo.VMID(fmt.Sprint("w", i)) }

func newSimulation(r *rules, choose chooser) *simulation {
	f := &simulation{rules: r, storeUp: true}
	anyClock := func() clock {
		return clock{time.Duration(choose(1000, "offset")) * time.Millisecond, []int64{0, 10_000, 5_000}[choose(3, "rate")]}
	}
	var roster []topo.VMID
	for i := range f.w {
		f.wclock[i] = anyClock()
		f.w[i] = newWitness(r, "cell", f.wclock[i].at(-2*time.Second))
		if i < 5 {
			roster = append(roster, witnessID(i))
		}
	}
	for i := range f.procs {
		f.procs[i] = Process{topo.VMID(fmt.Sprint("c", i)), "1"}
		f.pclock[i] = anyClock()
	}
	f.cell = NewCell("cell", f.procs[0], f.procs[1:], roster)
	for i := range f.succ {
		f.succ[i] = newSuccessor(r, f.procs[i], f.pclock[i].at(-2*time.Second))
		f.succ[i].OnStoredCell(f.pclock[i].at(0), f.cell)
	}
	return f
}

func (f *simulation) now(i int) time.Time { return f.pclock[i].at(f.real) }

// poll performs the action that the Successor of process i requires and returns the
// requests that the process sends.
func (f *simulation) poll(i int) []AttestCall {
	step := f.succ[i].Next(f.now(i))
	switch {
	case step.Action == RunHolder:
		f.h[i] = step.Holder
		return step.Holder.Tick(f.now(i), nil)
	case step.Action == ReadCell && f.storeUp:
		f.succ[i].OnStoredCell(f.now(i), f.cell)
	case step.Action == Claim && f.storeUp:
		f.cell = f.cell.Claim(f.procs[i], []Process{f.procs[(i+1)%3], f.procs[(i+2)%3]})
		f.succ[i].OnStoredCell(f.now(i), f.cell)
	}
	return nil
}

// round polls process i. The witnesses in mask answer at once; the requests to the
// others stay in transit.
func (f *simulation) round(i, mask int) {
	for _, call := range f.poll(i) {
		f.msgs = append(f.msgs, message{c: i, w: int(call.To[1] - '0'), call: call})
		if m := len(f.msgs) - 1; mask&(1<<f.msgs[m].w) != 0 {
			f.deliver(m)
			f.deliver(m)
		}
	}
}

// deliver delivers message k: its request to the witness, or its response to the
// controller.
func (f *simulation) deliver(k int) {
	m := &f.msgs[k]
	if !m.arrived {
		m.arrived, m.resp = true, f.w[m.w].Attest(f.wclock[m.w].at(f.real), m.call.Request)
		return
	}
	if h := f.h[m.c]; h != nil {
		wasGained := h.Gained()
		h.OnResponse(f.now(m.c), m.call, m.resp)
		if h.Gained() && !wasGained {
			f.gained++
		}
	}
	f.msgs = append(f.msgs[:k], f.msgs[k+1:]...)
}

// deliverAll delivers all responses in transit, or all requests.
func (f *simulation) deliverAll(responses bool) {
	for k := len(f.msgs) - 1; k >= 0; k-- {
		if f.msgs[k].arrived == responses {
			f.deliver(k)
		}
	}
}

// advance moves the time forward: sometimes first to the end of the attestation of a
// random witness on the clock of that witness, then by 1 us to 300 ms.
func (f *simulation) advance(choose chooser) {
	const minAdvance = time.Microsecond
	if w := choose(12, "advance"); w < len(f.w) {
		remaining := f.w[w].until.Sub(f.wclock[w].at(f.real))
		if remaining > 0 {
			f.real += time.Duration(float64(remaining) / (1 + float64(f.wclock[w].ppm)/1e6)).Truncate(minAdvance)
		}
	}
	f.real += []time.Duration{minAdvance, time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond}[choose(4, "more")]
}

// confirm lets the process with index from, if it has authority, answer a heartbeat
// that the process with index to sends now.
func (f *simulation) confirm(from, to int) {
	if h := f.h[from]; h != nil && h.Valid(f.now(from)) && from != to {
		f.succ[to].OnHeartbeatResponse(f.now(to), f.succ[from].Cell())
	}
}

// changeRoster adds or removes a random witness, if process i may write the change.
func (f *simulation) changeRoster(i int, choose chooser) {
	h := f.h[i]
	if h == nil || !h.CanChangeRoster(f.now(i)) || !f.storeUp || !f.cell.Roster.equal(h.Roster()) {
		return
	}
	vm := witnessID(choose(len(f.w), "member"))
	next := f.cell.Roster.With(vm)
	if f.cell.Roster.Has(vm) {
		next = f.cell.Roster.Without(vm)
	}
	cell, err := f.cell.ChangeRoster(next)
	if err != nil || h.SetRoster(f.now(i), next) != nil {
		return
	}
	f.cell, f.rosterChanges = cell, f.rosterChanges+1
	f.succ[i].OnStoredCell(f.now(i), cell)
}

// actions returns the events of the simulation by name.
func (f *simulation) actions(choose chooser) map[string]func() {
	proc := func() int { return choose(3, "process") }
	mask := func() int { return choose(64, "witnesses") }
	return map[string]func(){
		"round":   func() { f.round(proc(), mask()) },
		"advance": func() { f.advance(choose) },
		"renew": func() {
			i, m := proc(), mask()
			m |= mask()
			for range 1 + choose(60, "rounds") {
				f.real += 250 * time.Millisecond
				f.round(i, m)
				f.confirm(i, (i+1)%3)
			}
		},
		"deliver": func() {
			if len(f.msgs) > 0 {
				f.deliver(choose(len(f.msgs), "message"))
			}
		},
		"arrive":  func() { f.deliverAll(false) },
		"respond": func() { f.deliverAll(true) },
		"lose":    func() { f.msgs = nil },
		"restart": func() {
			w := choose(len(f.w), "witness")
			f.w[w] = newWitness(f.rules, "cell", f.wclock[w].at(f.real))
		},
		"release": func() {
			h := f.h[proc()]
			if h == nil || !h.Gained() {
				return
			}
			req, _ := h.Release()
			for w := range f.w {
				f.w[w].Release(f.wclock[w].at(f.real), req)
			}
		},
		"heartbeat": func() { f.confirm(proc(), proc()) },
		"store":     func() { f.storeUp = !f.storeUp },
		"roster":    func() { f.changeRoster(proc(), choose) },
	}
}

// violation returns a description of a guarantee violated now, or "" when there is
// none.
func (f *simulation) violation() string {
	valid := 0
	for i, h := range f.h {
		if h != nil && h.Valid(f.now(i)) {
			valid++
		}
	}
	if valid > 1 {
		return "two controllers have authority"
	}
	for i, h := range f.h {
		if h == nil || h.Abandoned() {
			continue
		}
		for j := range i {
			if f.h[j] != nil && !f.h[j].Abandoned() && f.h[j].Term() == h.Term() {
				return "a term has two owners"
			}
		}
	}
	return ""
}

// Guards against overlapping authority when clocks run at different rates, and
// against orders of messages, pauses, restarts, claims and roster changes that the
// small model does not cover.
func TestDriftingClocks(t *testing.T) {
	gained, rosterChanges := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		choose := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(rt, what) }
		f := newSimulation(standard, choose)
		acts := map[string]func(*rapid.T){"": func(rt *rapid.T) { require.Empty(rt, f.violation()) }}
		for name, act := range f.actions(choose) {
			acts[name] = func(*rapid.T) { act() }
		}
		rt.Repeat(acts)
		gained, rosterChanges = gained+f.gained, rosterChanges+f.rosterChanges
	})
	t.Logf("authority gained %d times, %d roster changes", gained, rosterChanges)
	require.Positive(t, gained)
	require.Positive(t, rosterChanges)
}

// randomRuns performs up to the given number of seeded runs until one violates a
// guarantee. It returns the number of that run and the violation, or runs and ""
// when there is none.
func randomRuns(r *rules, runs int) (int, string) {
	names := []string{"round", "round", "round", "advance", "advance", "renew", "deliver", "restart", "release", "heartbeat", "store", "roster", "roster", "lose", "arrive", "respond"}
	for run := range runs {
		rnd := rand.New(rand.NewSource(int64(run)))
		choose := func(n int, _ string) int { return rnd.Intn(n) }
		f := newSimulation(r, choose)
		acts := f.actions(choose)
		for range 60 {
			acts[names[rnd.Intn(len(names))]]()
			if b := f.violation(); b != "" {
				return run, b
			}
		}
	}
	return runs, ""
}

// Guards against random runs that cannot detect violations: they must find none
// with all rules, and one without the margin for drift or without another rule.
func TestRandomRunsWithoutRule(t *testing.T) {
	const runs = 3000
	_, violation := randomRuns(standard, runs)
	require.Empty(t, violation)
	for name, omit := range map[string]func(*rules){
		"margin for drift":              func(r *rules) { r.witnessHold = r.ttl },
		"quiet after the start":         func(r *rules) { r.omit.startupHold = true },
		"wait for the lower term":       func(r *rules) { r.omit.waitForLowerTerm = true },
		"count from before the request": func(r *rules) { r.omit.ttlFromSend = true },
	} {
		t.Run(name, func(t *testing.T) {
			r := standardRules()
			omit(r)
			run, violation := randomRuns(r, runs)
			require.Equal(t, "two controllers have authority", violation)
			t.Logf("found by run %d", run)
		})
	}
}
