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

// at returns the reading of the clock when the given real time has elapsed.
func (c clock) at(elapsed time.Duration) time.Time {
	return startTime.Add(c.offset + elapsed + time.Duration(int64(elapsed)/1000*c.ppm/1000))
}

// chooser returns a number from 0 to n-1 for the choice described by what.
// TestDriftingClocks draws it with rapid, and randomRuns from a seeded random
// generator.
type chooser func(n int, what string) int

// simulation runs three possible controllers and six possible witnesses, each with
// a clock of its own, with production durations. Witnesses 0 to 4 form the first
// roster.
type simulation struct {
	rules         *rules
	elapsed       time.Duration
	storeUp       bool
	cell          Cell
	procs         [3]Process
	processClocks [3]clock
	successors    [3]*Successor
	holders       [3]*Holder
	witnesses     [6]*Witness
	witnessClocks [6]clock
	messages      []message
	gained        int // how often authority was gained, to check that runs reach it
	rosterChanges int
}

func witnessID(i int) topo.VMID { return topo.VMID(fmt.Sprint("w", i)) }

func newSimulation(r *rules, choose chooser) *simulation {
	sim := &simulation{rules: r, storeUp: true}
	anyClock := func() clock {
		return clock{time.Duration(choose(1000, "offset")) * time.Millisecond, []int64{0, 10_000, 5_000}[choose(3, "rate")]}
	}
	var roster []topo.VMID
	for i := range sim.witnesses {
		sim.witnessClocks[i] = anyClock()
		sim.witnesses[i] = newWitness(r, "cell", sim.witnessClocks[i].at(-2*time.Second))
		if i < 5 {
			roster = append(roster, witnessID(i))
		}
	}
	for i := range sim.procs {
		sim.procs[i] = Process{topo.VMID(fmt.Sprint("c", i)), "1"}
		sim.processClocks[i] = anyClock()
	}
	sim.cell = NewCell("cell", sim.procs[0], sim.procs[1:], roster)
	for i := range sim.successors {
		sim.successors[i] = newSuccessor(r, sim.procs[i], sim.processClocks[i].at(-2*time.Second))
		sim.successors[i].OnStoredCell(sim.processClocks[i].at(0), sim.cell)
	}
	return sim
}

func (sim *simulation) now(i int) time.Time { return sim.processClocks[i].at(sim.elapsed) }

// poll performs the action that the Successor of process i requires and returns the
// requests that the process sends.
func (sim *simulation) poll(i int) []AttestCall {
	step := sim.successors[i].Next(sim.now(i))
	switch {
	case step.Action == RunHolder:
		sim.holders[i] = step.Holder
		return step.Holder.Tick(sim.now(i), nil)
	case step.Action == ReadCell && sim.storeUp:
		sim.successors[i].OnStoredCell(sim.now(i), sim.cell)
	case step.Action == Claim && sim.storeUp:
		sim.cell = sim.cell.Claim(sim.procs[i], []Process{sim.procs[(i+1)%3], sim.procs[(i+2)%3]})
		sim.successors[i].OnStoredCell(sim.now(i), sim.cell)
	}
	return nil
}

// round polls process i. The witnesses in mask answer at once; the requests to the
// others stay in transit.
func (sim *simulation) round(i, mask int) {
	for _, call := range sim.poll(i) {
		sim.messages = append(sim.messages, message{controller: i, witness: int(call.To[1] - '0'), call: call})
		if m := len(sim.messages) - 1; mask&(1<<sim.messages[m].witness) != 0 {
			sim.deliver(m)
			sim.deliver(m)
		}
	}
}

// deliver delivers message k: its request to the witness, or its response to the
// controller.
func (sim *simulation) deliver(k int) {
	m := &sim.messages[k]
	if !m.arrived {
		m.arrived, m.resp = true, sim.witnesses[m.witness].Attest(sim.witnessClocks[m.witness].at(sim.elapsed), m.call.Request)
		return
	}
	if h := sim.holders[m.controller]; h != nil {
		wasGained := h.Gained()
		h.OnResponse(sim.now(m.controller), m.call, m.resp)
		if h.Gained() && !wasGained {
			sim.gained++
		}
	}
	sim.messages = append(sim.messages[:k], sim.messages[k+1:]...)
}

// deliverAll delivers all responses in transit, or all requests.
func (sim *simulation) deliverAll(responses bool) {
	for k := len(sim.messages) - 1; k >= 0; k-- {
		if sim.messages[k].arrived == responses {
			sim.deliver(k)
		}
	}
}

// advance moves the time forward: sometimes first to the end of the attestation of a
// random witness on the clock of that witness, then by 1 us to 300 ms.
func (sim *simulation) advance(choose chooser) {
	const minAdvance = time.Microsecond
	if w := choose(12, "advance"); w < len(sim.witnesses) {
		remaining := sim.witnesses[w].until.Sub(sim.witnessClocks[w].at(sim.elapsed))
		if remaining > 0 {
			sim.elapsed += time.Duration(float64(remaining) / (1 + float64(sim.witnessClocks[w].ppm)/1e6)).Truncate(minAdvance)
		}
	}
	sim.elapsed += []time.Duration{minAdvance, time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond}[choose(4, "more")]
}

// confirm lets the process with index from, if it has authority, answer a heartbeat
// that the process with index to sends now.
func (sim *simulation) confirm(from, to int) {
	if h := sim.holders[from]; h != nil && h.Valid(sim.now(from)) && from != to {
		sim.successors[to].OnHeartbeatResponse(sim.now(to), sim.successors[from].Cell())
	}
}

// changeRoster adds or removes a random witness, if process i may write the change.
func (sim *simulation) changeRoster(i int, choose chooser) {
	h := sim.holders[i]
	if h == nil || !h.CanChangeRoster(sim.now(i)) || !sim.storeUp || !sim.cell.Roster.equal(h.Roster()) {
		return
	}
	vm := witnessID(choose(len(sim.witnesses), "member"))
	next := sim.cell.Roster.With(vm)
	if sim.cell.Roster.Has(vm) {
		next = sim.cell.Roster.Without(vm)
	}
	cell, err := sim.cell.ChangeRoster(next)
	if err != nil || h.SetRoster(sim.now(i), next) != nil {
		return
	}
	sim.cell, sim.rosterChanges = cell, sim.rosterChanges+1
	sim.successors[i].OnStoredCell(sim.now(i), cell)
}

// actions returns the events of the simulation by name.
func (sim *simulation) actions(choose chooser) map[string]func() {
	proc := func() int { return choose(3, "process") }
	mask := func() int { return choose(64, "witnesses") }
	return map[string]func(){
		"round":   func() { sim.round(proc(), mask()) },
		"advance": func() { sim.advance(choose) },
		"renew": func() {
			i, m := proc(), mask()
			m |= mask()
			for range 1 + choose(60, "rounds") {
				sim.elapsed += 250 * time.Millisecond
				sim.round(i, m)
				sim.confirm(i, (i+1)%3)
			}
		},
		"deliver": func() {
			if len(sim.messages) > 0 {
				sim.deliver(choose(len(sim.messages), "message"))
			}
		},
		"arrive":  func() { sim.deliverAll(false) },
		"respond": func() { sim.deliverAll(true) },
		"lose":    func() { sim.messages = nil },
		"restart": func() {
			w := choose(len(sim.witnesses), "witness")
			sim.witnesses[w] = newWitness(sim.rules, "cell", sim.witnessClocks[w].at(sim.elapsed))
		},
		"release": func() {
			h := sim.holders[proc()]
			if h == nil || !h.Gained() {
				return
			}
			req, _ := h.Release()
			for w := range sim.witnesses {
				sim.witnesses[w].Release(sim.witnessClocks[w].at(sim.elapsed), req)
			}
		},
		"heartbeat": func() { sim.confirm(proc(), proc()) },
		"store":     func() { sim.storeUp = !sim.storeUp },
		"roster":    func() { sim.changeRoster(proc(), choose) },
	}
}

// violation returns a description of a guarantee that is violated now, or "" when
// there is none.
func (sim *simulation) violation() string {
	valid := 0
	for i, h := range sim.holders {
		if h != nil && h.Valid(sim.now(i)) {
			valid++
		}
	}
	if valid > 1 {
		return "two controllers have authority"
	}
	for i, h := range sim.holders {
		if h == nil || h.Abandoned() {
			continue
		}
		for j := range i {
			if sim.holders[j] != nil && !sim.holders[j].Abandoned() && sim.holders[j].Term() == h.Term() {
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
		sim := newSimulation(standard, choose)
		acts := map[string]func(*rapid.T){"": func(rt *rapid.T) { require.Empty(rt, sim.violation()) }}
		for name, act := range sim.actions(choose) {
			acts[name] = func(*rapid.T) { act() }
		}
		rt.Repeat(acts)
		gained, rosterChanges = gained+sim.gained, rosterChanges+sim.rosterChanges
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
		sim := newSimulation(r, choose)
		acts := sim.actions(choose)
		for range 60 {
			acts[names[rnd.Intn(len(names))]]()
			if found := sim.violation(); found != "" {
				return run, found
			}
		}
	}
	return runs, ""
}

// Guards against random runs that cannot detect violations: they must find none with
// all rules in force, and one when the margin for drift or another rule is switched
// off.
func TestRandomRunsWithoutRule(t *testing.T) {
	const runs = 3000
	_, violation := randomRuns(standard, runs)
	require.Empty(t, violation)
	for name, omit := range map[string]func(*rules){
		"margin for drift":                      func(r *rules) { r.witnessHold = r.ttl },
		"hold after the start":                  func(r *rules) { r.omit.startupHold = true },
		"wait for the lower term":               func(r *rules) { r.omit.waitForLowerTerm = true },
		"validity from the time of the request": func(r *rules) { r.omit.ttlFromSend = true },
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
