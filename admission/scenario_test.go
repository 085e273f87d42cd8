package admission

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/topo"
)

// scenarios lists one script per fault, each with the worst order of events for
// that fault. The rate is 1,600/s and the burst 1,600. At the start all VMs hold
// floor slots whose buckets are full. The steps are:
//
//	wait MS        let MS milliseconds pass
//	draw VM        the VM returns old blocks and draws until the ledger is empty
//	late VM MS     like draw, but the replies arrive after MS milliseconds
//	twice VM       like draw, but the controller receives the returns more than once
//	use N          every VM reserves up to N tokens
//	release N      every VM releases its N oldest open reservations
//	controller     a new controller takes over
//	remove, add    remove or add the customer at the controller
//	steady MS      for MS milliseconds, draw, reserve and settle all tokens
var scenarios = []struct{ guards, script string }{
	{"a ledger that refills while its blocks are out", "draw 0; wait 490; draw 1; use 9999"},
	{"a block that the VM uses after the ledger counts it as expired", "draw 0; wait 494; draw 1; wait 10; draw 2; use 9999"},
	{"a new controller that does not wait for its predecessor's blocks", "draw 0; controller; wait 490; draw 1; use 9999"},
	{"a new controller that starts with a full ledger", "draw 0; use 9999; controller; wait 515; draw 1; use 9999"},
	{"clocks that run fast and refill too much", "steady 5000"},
	{"a release into a floor that was refilled", "use 9999; wait 60000; draw 0; use 9999; release 20; use 9999"},
	{"a reply that is late and counted from its arrival", "late 0 490; wait 400; draw 1; use 9999"},
	{"a block that is used after it was returned", "draw 0; wait 310; draw 0; draw 1; use 9999"},
	{"a return that is counted twice", "draw 0; use 1200; wait 310; twice 0; draw 1; use 9999"},
	{"blocks that are forgotten when a customer is removed", "draw 0; remove; add; wait 490; draw 1; use 9999"},
	{"a customer that is added with a full ledger", "draw 0; use 9999; wait 600; remove; wait 600; add; draw 1; use 9999"},
}

// TestBoundHoldsInScenarios guards against each fault named in scenarios, with
// every combination of slow, exact and fast clocks at the controller and the VMs.
func TestBoundHoldsInScenarios(t *testing.T) {
	speeds := []float64{1 / (1 + MaxDrift), 1, 1 + MaxDrift}
	for _, s := range scenarios {
		for _, ctl := range speeds {
			for _, vm := range speeds {
				name := fmt.Sprintf("%s/controller %.2f, VM %.2f", s.guards, ctl, vm)
				t.Run(name, func(t *testing.T) { runScenario(t, s.script, ctl, vm) })
			}
		}
	}
}

func runScenario(t *testing.T, script string, ctlSpeed, vmSpeed float64) {
	m := &cellModel{rate: Rate{1600, 1600}, vms: make([]*vmModel, FloorSlots), admits: map[int]time.Duration{}}
	m.newController(clock{time.Unix(0, 0), ctlSpeed}, true)
	for i := range m.vms {
		m.newVM(i, clock{time.Unix(int64(i), 0), vmSpeed})
		m.lease(m.vms[i])
	}
	m.now += 5 * time.Second
	for _, step := range strings.Split(script, ";") {
		m.step(t, strings.Fields(step))
	}
	e := m.excess(m.rate.Burst, func(time.Duration) float64 { return m.rate.PerSecond })
	require.Greater(t, e, -m.rate.Burst, "the script admitted no request")
	require.LessOrEqual(t, e, 1e-6, "admitted above rate x t + burst")
}

func (m *cellModel) step(t *testing.T, words []string) {
	var args [2]int
	for i, a := range words[1:] {
		n, err := strconv.Atoi(a)
		require.NoError(t, err)
		args[i] = n
	}
	ctl := m.ctl.clock.at(m.now)
	switch words[0] {
	case "wait":
		m.now += time.Duration(args[0]) * time.Millisecond
	case "draw", "late", "twice":
		m.drawAll(m.vms[args[0]], args[1], words[0] == "twice")
	case "use":
		for _, v := range m.vms {
			m.reserve(v, args[0])
		}
	case "release":
		for _, v := range m.vms {
			for range min(args[0], len(v.open)) {
				m.finish(v, 0, true)
			}
		}
	case "controller":
		m.newController(m.ctl.clock, false)
	case "remove":
		m.ctl.ledger.RemoveCustomer(ctl, customer)
	case "add":
		require.NoError(t, m.ctl.ledger.SetCustomer(ctl, customer, m.rate))
	case "steady":
		for end := m.now + time.Duration(args[0])*time.Millisecond; m.now < end; m.now += 20 * time.Millisecond {
			m.drawAll(m.vms[0], 0, false)
			m.step(t, []string{"use", "9999"})
			m.settle()
		}
	default:
		t.Fatalf("unknown step %q", words)
	}
}

func (m *cellModel) settle() {
	for _, v := range m.vms {
		for len(v.open) > 0 {
			m.finish(v, len(v.open)-1, false)
		}
	}
}

// drawAll draws until the ledger is empty. All replies arrive after delay ms. If
// twice is set, every draw repeats the returns; otherwise only the first one
// carries them.
func (m *cellModel) drawAll(v *vmModel, delay int, twice bool) {
	sent := v.clock.at(m.now)
	req, _ := v.share.Plan(sent)
	var replies []DrawReply
	for range 12 {
		req.Wants = []Want{{customer, 1 << 20}}
		replies = append(replies, m.ctl.ledger.Draw(m.ctl.clock.at(m.now), req))
		if !twice {
			req.Returns = nil
		}
	}
	m.now += time.Duration(delay) * time.Millisecond
	for _, r := range replies {
		v.share.Apply(v.clock.at(m.now), sent, req, r)
	}
}

// TestFloorSlotHasOneHolder guards against two VMs holding one floor slot: when a
// VM reports a slot leased to another, after a change of controller, and before a
// renewed lease ends.
func TestFloorSlotHasOneHolder(t *testing.T) {
	now := time.Unix(0, 0)
	f := NewFloors(now, true)
	a, ok := f.Lease(now, "a", -1)
	require.True(t, ok)
	b, ok := f.Lease(now, "b", -1)
	require.True(t, ok)
	require.NotEqual(t, a.Slot, b.Slot)
	_, ok = f.Lease(now, "c", a.Slot)
	require.False(t, ok, "confirmed a slot leased to another VM")

	next := NewFloors(now, false)
	_, ok = next.Lease(now.Add(FloorTTL), "c", -1)
	require.False(t, ok, "granted a slot while a lease of an earlier term may be unexpired")
	g, ok := next.Lease(now, "a", a.Slot)
	require.True(t, ok)
	require.Equal(t, FloorGrant{Slot: a.Slot, Confirmed: true}, g)
	for i := range FloorSlots {
		g, ok := next.Lease(now.Add(withDriftMargin(FloorTTL)-1), topo.VMID(rune('A'+i)), -1)
		require.False(t, ok && g.Slot == a.Slot, "granted a slot before its lease expired")
	}
}

// TestFloorOfExpiredLeaseIsNotUsed guards against a VM that uses a floor bucket
// after the lease expired, that accepts a confirmation after the expiry, or that
// starts a new lease with tokens accrued while it was not the holder.
func TestFloorOfExpiredLeaseIsNotUsed(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewShare("a", now)
	require.NoError(t, s.SetCustomer(now, customer, Rate{1000, 10000}))
	s.SetFloor(now, now, FloorGrant{Slot: 3}, true)
	now = now.Add(time.Minute)
	_, ok := s.Bucket(customer).Reserve(now)
	require.True(t, ok)
	sent := now
	now = now.Add(FloorTTL)
	_, ok = s.Bucket(customer).Reserve(now)
	require.False(t, ok, "admitted from the floor bucket after the lease expired")
	require.Equal(t, -1, s.FloorSlot(now))
	s.SetFloor(now, sent.Add(time.Second), FloorGrant{Slot: 3, Confirmed: true}, true)
	require.Equal(t, -1, s.FloorSlot(now), "accepted a confirmation after the lease expired")
	s.SetFloor(now, now, FloorGrant{Slot: 3}, true)
	_, ok = s.Bucket(customer).Reserve(now)
	require.False(t, ok, "the new lease started with tokens in the floor bucket")
}
