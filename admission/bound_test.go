package admission

import (
	"flag"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitlock.example/godwitlock/topo"
)

// TestMain fixes the seed so that CI runs the same cases every time.
func TestMain(m *testing.M) {
	for k, v := range map[string]string{"rapid.seed": "1", "rapid.checks": "400", "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// clock is the clock of a machine. Its rate is off by at most MaxDrift.
type clock struct {
	start time.Time
	speed float64
}

func (c clock) at(real time.Duration) time.Time {
	return c.start.Add(time.Duration(float64(real) * c.speed))
}

func drawClock(t *rapid.T) clock {
	speed := rapid.SampledFrom([]float64{1 / (1 + MaxDrift), 1, 1 + MaxDrift}).Draw(t, "speed")
	return clock{time.Unix(rapid.Int64Range(0, 1000).Draw(t, "clock"), 0), speed}
}

// excess returns the number of tokens by which the admissions exceed
// rate x t + burst in their worst window. The rate may change with time. The
// result is negative if all windows are below the bound.
func excess(admitted []time.Duration, burst float64, rate func(time.Duration) float64) float64 {
	slices.Sort(admitted)
	var level float64
	worst := -burst
	var last time.Duration
	for _, at := range admitted {
		const step = 10 * time.Millisecond
		for ; last+step < at; last += step {
			level = max(0, level-step.Seconds()*rate(last))
		}
		level = max(0, level-(at-last).Seconds()*rate(last)) + 1
		last = at
		worst = max(worst, level-burst)
	}
	return worst
}

// cellModel simulates a cell with one customer, up to FloorSlots VMs and a
// controller that may be replaced. now is the real time since the start.
type cellModel struct {
	now    time.Duration
	rate   Rate
	vms    []*vmModel
	ctl    *controllerModel
	admits map[int]time.Duration
	nextID int
	// changes records for each rate the period in which any machine may use it.
	changes []rateChange
	term    topo.Term
}

type rateChange struct {
	from, until time.Duration
	rate        Rate
}

type controllerModel struct {
	clock  clock
	ledger *Ledger
	floors *Floors
}

type vmModel struct {
	clock clock
	share *Share
	open  []openRequest
}

type openRequest struct {
	r  Reservation
	id int
}

const customer = topo.CustomerID("c1")

func (m *cellModel) newController(c clock, first bool) {
	m.term++
	m.ctl = &controllerModel{clock: c, ledger: NewLedger(m.term, c.at(m.now)), floors: NewFloors(c.at(m.now), first)}
	if err := m.ctl.ledger.SetCustomer(c.at(m.now), customer, m.rate); err != nil {
		panic(err)
	}
}

func (m *cellModel) newVM(i int, c clock) {
	s := NewShare(topo.VMID(rune('a'+i)), c.at(m.now))
	if err := s.SetCustomer(c.at(m.now), customer, m.rate); err != nil {
		panic(err)
	}
	m.vms[i] = &vmModel{clock: c, share: s}
}

func (m *cellModel) excess(burst float64, rate func(time.Duration) float64) float64 {
	var at []time.Duration
	for _, a := range m.admits {
		at = append(at, a)
	}
	return excess(at, burst, rate)
}

func (m *cellModel) maxRate(at time.Duration) float64 {
	var r float64
	for _, c := range m.changes {
		if at >= c.from && at <= c.until {
			r = max(r, c.rate.PerSecond)
		}
	}
	return r
}

func (m *cellModel) reserve(v *vmModel, n int) {
	for range n {
		r, ok := v.share.Bucket(customer).Reserve(v.clock.at(m.now))
		if !ok {
			return
		}
		m.nextID++
		m.admits[m.nextID] = m.now
		v.open = append(v.open, openRequest{r, m.nextID})
	}
}

// finish releases or settles the reservation of the i-th open request of a VM.
func (m *cellModel) finish(v *vmModel, i int, release bool) {
	o := v.open[i]
	v.open = slices.Delete(v.open, i, i+1)
	if release {
		o.r.Release(v.clock.at(m.now))
		delete(m.admits, o.id)
		return
	}
	o.r.Settle(v.clock.at(m.now))
}

// draw makes one draw. The request and the reply may be delayed or lost, and the
// request may arrive twice.
func (m *cellModel) draw(t *rapid.T, v *vmModel) {
	sent := v.clock.at(m.now)
	req, ok := v.share.Plan(sent)
	// The bound must hold for any number of tokens asked for. 1 << 20 is more
	// than the ledger holds; since a draw gets at most half of the level, a few
	// such draws empty it.
	if want := rapid.SampledFrom([]int64{0, 50, 1 << 20}).Draw(t, "want"); want > 0 {
		req.Wants, ok = []Want{{customer, want}}, true
	}
	if !ok {
		return
	}
	delay := rapid.SampledFrom([]int{0, 0, 0, 1, 20, 300, 495, 504, 600})
	m.now += time.Duration(delay.Draw(t, "there")) * time.Millisecond
	if rapid.IntRange(0, 5).Draw(t, "request lost") == 0 {
		return
	}
	reply := m.ctl.ledger.Draw(m.ctl.clock.at(m.now), req)
	if rapid.IntRange(0, 5).Draw(t, "reply lost") == 0 {
		return
	}
	if rapid.IntRange(0, 5).Draw(t, "sent twice") == 0 {
		m.ctl.ledger.Draw(m.ctl.clock.at(m.now), req)
	}
	m.now += time.Duration(delay.Draw(t, "back")) * time.Millisecond
	v.share.Apply(v.clock.at(m.now), sent, req, reply)
}

// drawAtOnce makes a draw without loss and without delay.
func (m *cellModel) drawAtOnce(v *vmModel, want int64) {
	sent := v.clock.at(m.now)
	req := DrawRequest{VM: v.share.vm, Wants: []Want{{customer, want}}}
	v.share.Apply(sent, sent, req, m.ctl.ledger.Draw(m.ctl.clock.at(m.now), req))
}

func (m *cellModel) lease(v *vmModel) {
	now := v.clock.at(m.now)
	g, ok := m.ctl.floors.Lease(m.ctl.clock.at(m.now), v.share.vm, v.share.FloorSlot(now))
	v.share.SetFloor(now, now, g, ok)
}

// TestBoundHoldsUnderFaults guards against a customer exceeding its rate and burst
// under any sequence of lost, delayed and duplicated messages, VM restarts,
// changes of controller, clock drift, rate changes, removal and re-adding of the
// customer, and late releases.
func TestBoundHoldsUnderFaults(t *testing.T) {
	worst := math.Inf(-1)
	rapid.Check(t, func(t *rapid.T) {
		perSecond := float64(rapid.SampledFrom([]int{100, 400, 1000}).Draw(t, "rate"))
		m := &cellModel{
			rate:   Rate{perSecond, perSecond * rapid.SampledFrom([]float64{1, 1.5, 4}).Draw(t, "burst")},
			vms:    make([]*vmModel, FloorSlots),
			admits: map[int]time.Duration{},
		}
		m.changes = []rateChange{{0, math.MaxInt64, m.rate}}
		m.newController(drawClock(t), true)
		for i := range m.vms {
			m.newVM(i, drawClock(t))
			m.lease(m.vms[i])
		}
		burst := m.rate.Burst
		vm := func(t *rapid.T) *vmModel { return m.vms[rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm")] }
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				ms := rapid.SampledFrom([]int{1, 10, 100, 490, 1000, 5000}).Draw(t, "ms")
				m.now += time.Duration(ms) * time.Millisecond
			},
			"reserve": func(t *rapid.T) { m.reserve(vm(t), rapid.IntRange(1, 2000).Draw(t, "n")) },
			"draw":    func(t *rapid.T) { m.draw(t, vm(t)) },
			"use all": func(t *rapid.T) {
				for _, v := range m.vms {
					m.reserve(v, 10000)
				}
			},
			"draw all": func(t *rapid.T) {
				v := vm(t)
				for range 8 {
					m.drawAtOnce(v, 1<<20)
				}
			},
			"lease": func(t *rapid.T) {
				for _, v := range m.vms {
					m.lease(v)
				}
			},
			"finish": func(t *rapid.T) {
				v := vm(t)
				for n := rapid.IntRange(1, 300).Draw(t, "n"); n > 0 && len(v.open) > 0; n-- {
					m.finish(v, rapid.IntRange(0, len(v.open)-1).Draw(t, "i"), rapid.Bool().Draw(t, "release"))
				}
			},
			"restart VM":     func(t *rapid.T) { m.newVM(rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm"), drawClock(t)) },
			"new controller": func(t *rapid.T) { m.newController(drawClock(t), false) },
			"change rate":    func(t *rapid.T) { burst = max(burst, m.changeRate(t)) },
			"remove and add": func(t *rapid.T) { m.removeAndAdd(t) },
		})
		e := m.excess(burst, m.maxRate)
		worst = max(worst, e/burst)
		require.LessOrEqual(t, e, 1e-6, "admitted above rate x t + burst")
	})
	t.Logf("largest excess of any window over rate x t + burst: %+.4f of the burst", worst)
}

// changeRate changes the rate at the controller and at the VMs one after another,
// in any order, and returns the new burst.
func (m *cellModel) changeRate(t *rapid.T) float64 {
	perSecond := float64(rapid.SampledFrom([]int{100, 400, 1000}).Draw(t, "rate"))
	old := &m.changes[len(m.changes)-1]
	m.rate = Rate{perSecond, perSecond * 1.5}
	m.changes = append(m.changes, rateChange{m.now, math.MaxInt64, m.rate})
	for _, i := range rapid.Permutation([]int{-1, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}).Draw(t, "order") {
		if i < 0 {
			require.NoError(t, m.ctl.ledger.SetCustomer(m.ctl.clock.at(m.now), customer, m.rate))
		} else {
			v := m.vms[i]
			require.NoError(t, v.share.SetCustomer(v.clock.at(m.now), customer, m.rate))
			m.reserve(v, 100)
		}
		m.now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
	}
	old.until = m.now
	return m.rate.Burst
}

func (m *cellModel) removeAndAdd(t *rapid.T) {
	m.ctl.ledger.RemoveCustomer(m.ctl.clock.at(m.now), customer)
	removedVMs := rapid.IntRange(0, len(m.vms)).Draw(t, "removed at")
	for _, v := range m.vms[:removedVMs] {
		v.share.RemoveCustomer(v.clock.at(m.now), customer)
	}
	m.now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
	require.NoError(t, m.ctl.ledger.SetCustomer(m.ctl.clock.at(m.now), customer, m.rate))
	for _, v := range m.vms[:removedVMs] {
		require.NoError(t, v.share.SetCustomer(v.clock.at(m.now), customer, m.rate))
	}
}
