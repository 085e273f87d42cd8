package authority

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/store/memstore"
	"godwitlock.example/godwitlock/topo"
)

// testCell is a cell of three processes that may become controller and five witnesses.
// All of them share one clock.
type testCell struct {
	t    *testing.T
	now  time.Time
	st   *memstore.Store
	succ [3]*Successor
	h    [3]*Holder
	w    map[topo.VMID]*Witness
	// Partitioned controllers and witnesses exchange messages with each other but
	// not with the others. Controllers are listed by index, witnesses by VM ID.
	partitionedControllers [3]bool
	partitionedWitnesses   map[topo.VMID]bool
}

var testRoster = []topo.VMID{"w0", "w1", "w2", "w3", "w4"}

func process(i int) Process { return Process{topo.VMID(fmt.Sprint("c", i)), "1"} }

func newTestCell(t *testing.T) *testCell {
	n := &testCell{t: t, now: startTime, st: memstore.New(), w: map[topo.VMID]*Witness{}, partitionedWitnesses: map[topo.VMID]bool{}}
	for _, name := range testRoster {
		n.w[name] = NewWitness("cell", startTime.Add(-time.Minute))
	}
	cell := NewCell("cell", process(0), []Process{process(1), process(2)}, testRoster)
	data, err := cell.Encode()
	require.NoError(t, err)
	_, err = n.st.Put(context.Background(), CellKey("cell"), data, store.MustNotExist, "setup")
	require.NoError(t, err)
	for i := range n.succ {
		n.succ[i] = NewSuccessor(process(i), startTime.Add(-SuccessorTimeout))
		n.succ[i].OnStoredCell(startTime, cell)
	}
	// The successors have just had contact with the holder, which starts now.
	n.succ[1].OnHeartbeatResponse(startTime, cell)
	n.succ[2].OnHeartbeatResponse(startTime, cell)
	return n
}

// run advances the time by d in steps of 20 ms. In each step it polls the processes
// that are not paused, and controllers with authority answer heartbeats.
func (n *testCell) run(d time.Duration, paused ...int) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(20 * time.Millisecond) {
		for i := range n.succ {
			if !slices.Contains(paused, i) {
				n.poll(i)
			}
		}
	}
}

// poll performs the action that the Successor of process i requires.
func (n *testCell) poll(i int) {
	step := n.succ[i].Next(n.now)
	switch step.Action {
	case RunHolder:
		n.runHolder(i, step.Holder)
	case ReadCell:
		if obj, err := n.st.Get(context.Background(), CellKey("cell")); err == nil {
			cell, err := DecodeCell(obj.Value)
			require.NoError(n.t, err)
			n.succ[i].OnStoredCell(n.now, cell)
		}
	case Claim:
		_ = n.claim(i)
	}
}

// runHolder exchanges the due requests of h with the witnesses, and delivers heartbeat
// responses to the other processes when h has authority.
func (n *testCell) runHolder(i int, h *Holder) {
	n.h[i] = h
	for _, call := range h.Tick(n.now, nil) {
		if n.partitionedControllers[i] == n.partitionedWitnesses[call.To] {
			h.OnResponse(n.now, call, n.w[call.To].Attest(n.now, call.Request))
		}
	}
	for j := range n.succ {
		if j != i && n.partitionedControllers[i] == n.partitionedControllers[j] && h.Valid(n.now) {
			n.succ[j].OnHeartbeatResponse(n.now, n.succ[i].Cell())
		}
	}
}

// claim writes the cell object with process i as holder.
func (n *testCell) claim(i int) error {
	var next Cell
	_, err := store.Update(context.Background(), n.st, CellKey("cell"), fmt.Sprint("claim", i, n.now.UnixNano()),
		func(old *store.Object) ([]byte, error) {
			cell, err := DecodeCell(old.Value)
			if err != nil {
				return nil, err
			}
			next = cell.Claim(process(i), []Process{process((i + 1) % 3), process((i + 2) % 3)})
			if err := CheckUpdate(cell, next); err != nil {
				return nil, err
			}
			return next.Encode()
		})
	if err == nil {
		n.succ[i].OnStoredCell(n.now, next)
	}
	return err
}

// valid returns the indices of the processes that have authority.
func (n *testCell) valid() []int {
	var v []int
	for i, h := range n.h {
		if h != nil && h.Valid(n.now) {
			v = append(v, i)
		}
	}
	return v
}

// Tests the rows of the case table in section 3.4 of the design page. Package store
// tests the rows on operators and on a lost response.
func TestCases(t *testing.T) {
	cases := map[string]func(t *testing.T, n *testCell){
		"store down 30 minutes": func(t *testing.T, n *testCell) {
			n.st.SetFaults(memstore.Faults{Down: true})
			n.run(30 * time.Minute)
			require.Equal(t, []int{0}, n.valid())
			require.Equal(t, topo.Term(1), n.h[0].Term())
			n.run(2*time.Second, 0)
			require.Equal(t, []int{1}, n.valid(), "the first successor must take over without the store")
			n.run(2*time.Second, 0, 1)
			require.Equal(t, []int{2}, n.valid(), "the second successor must take over without the store")
		},
		"controller partitioned with a minority": func(t *testing.T, n *testCell) {
			n.run(time.Second)
			n.partitionedControllers[0], n.partitionedWitnesses["w0"], n.partitionedWitnesses["w1"] = true, true, true
			lease := n.now.Add(n.h[0].Remaining(n.now))
			n.run(AuthorityTTL)
			require.False(t, n.h[0].Valid(n.now))
			require.True(t, n.h[0].Abandoned())
			n.run(800 * time.Millisecond)
			require.Equal(t, []int{1}, n.valid(), "the successor must gain authority within 2 s of the partition")
			require.False(t, n.h[1].GainedAt().Before(lease), "leases must end before the successor gains authority")
		},
		"controller paused": func(t *testing.T, n *testCell) {
			n.run(time.Second)
			h := n.h[0]
			late := h.Tick(n.now.Add(AttestInterval), nil)
			n.run(5*time.Second, 0)
			h.OnResponse(n.now, late[0], AttestResponse{OK: true, HighestTerm: 1})
			require.True(t, h.Abandoned())
			require.Empty(t, h.Tick(n.now, nil))
			require.Equal(t, []int{1}, n.valid())
			n.run(5 * time.Second)
			require.Equal(t, []int{1}, n.valid(), "the old controller must not regain authority")
		},
		"two controllers race": func(t *testing.T, n *testCell) {
			n.run(time.Second)
			n.partitionedControllers[0] = true
			// Both successors start at once, and each is attested by two
			// witnesses. The fifth witness cannot be reached.
			n.partitionedWitnesses["w4"] = true
			n.run(AuthorityTTL+20*time.Millisecond, 1, 2)
			for i, name := range []topo.VMID{"w0", "w1", "w2", "w3"} {
				p := 1 + i/2
				h, err := NewHolder(n.succ[p].Cell(), process(p), n.now)
				require.NoError(t, err)
				resp := n.w[name].Attest(n.now, AttestRequest{Cell: "cell", Term: h.Term(), Holder: process(p).String()})
				require.True(t, resp.OK)
			}
			n.run(2 * time.Second)
			require.Len(t, n.valid(), 1)
			require.NotEqual(t, 0, n.valid()[0])
		},
		"VM boots": func(t *testing.T, n *testCell) {
			n.run(time.Second)
			n.w["w0"] = NewWitness("cell", n.now)
			resp := n.w["w0"].Attest(n.now.Add(AuthorityTTL), AttestRequest{Cell: "cell", Term: 9, Holder: "x"})
			require.False(t, resp.OK, "a restarted witness may have forgotten an attestation")
			n.run(10 * time.Second)
			require.Equal(t, []int{0}, n.valid())
		},
		"data centre lost with its controller": func(t *testing.T, n *testCell) {
			var vms []Candidate
			for i := range 12 {
				dc := topo.DataCentreName(fmt.Sprint("dc", i%4))
				vms = append(vms, Candidate{Process{topo.VMID(fmt.Sprint("v", i)), "1"}, dc})
			}
			holder := vms[0]
			lost := func(vm topo.VMID) bool {
				return slices.ContainsFunc(vms, func(c Candidate) bool { return c.Process.VM == vm && c.DataCentre == holder.DataCentre })
			}
			roster := ChooseWitnesses(vms, RosterSize(len(vms)), nil)
			require.Len(t, roster, 5)
			remaining := slices.DeleteFunc(slices.Clone(roster), lost)
			require.GreaterOrEqual(t, len(remaining), 3)
			for _, s := range ChooseSuccessors(holder, vms, nil) {
				require.False(t, lost(s.VM))
			}
		},
		"store down and a roster majority lost": func(t *testing.T, n *testCell) {
			n.run(time.Second)
			n.st.SetFaults(memstore.Faults{Down: true})
			n.partitionedWitnesses["w0"], n.partitionedWitnesses["w1"], n.partitionedWitnesses["w2"] = true, true, true
			n.run(AuthorityTTL)
			require.Empty(t, n.valid())
			n.run(time.Minute)
			require.Empty(t, n.valid())
			n.partitionedWitnesses = map[topo.VMID]bool{}
			n.run(time.Minute)
			require.Empty(t, n.valid(), "rosters older than MaxRosterAge must not gain authority")
			n.st.SetFaults(memstore.Faults{})
			n.run(3 * time.Second)
			require.Len(t, n.valid(), 1)
		},
		"store restored": func(t *testing.T, n *testCell) {
			n.run(time.Second)
			obj, err := n.st.Get(context.Background(), CellKey("cell"))
			require.NoError(t, err)
			n.st.SetFaults(memstore.Faults{Down: true})
			n.run(3*time.Second, 0)
			require.Equal(t, []int{1}, n.valid())
			n.st.SetFaults(memstore.Faults{})
			require.NoError(t, n.claim(1))
			require.Equal(t, topo.Term(4), n.succ[1].Cell().BaseTerm)
			require.Equal(t, []int{1}, n.valid(), "the claim must not end the term in use")
			_, err = n.st.Put(context.Background(), CellKey("cell"), obj.Value, obj.Version, "stale")
			require.ErrorIs(t, err, store.ErrConflict)
		},
		"planned stop": func(t *testing.T, n *testCell) {
			n.run(time.Second)
			req, to := n.h[0].Release()
			require.ElementsMatch(t, testRoster, to)
			for _, name := range to {
				n.w[name].Release(n.now, req)
				resp := n.w[name].Attest(n.now, AttestRequest{Cell: "cell", Term: 1, Holder: process(0).String()})
				require.False(t, resp.OK, "a delayed request for the released term must be refused")
			}
			h, err := NewHolder(n.succ[1].Cell(), process(1), n.now)
			require.NoError(t, err)
			n.runHolder(1, h)
			require.Equal(t, []int{1}, n.valid(), "the successor must be attested at once after the release")
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { run(t, newTestCell(t)) })
	}
}
