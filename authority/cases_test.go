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
	t          *testing.T
	now        time.Time
	memStore   *memstore.Store
	successors [3]*Successor
	holders    [3]*Holder
	witnesses  map[topo.VMID]*Witness
	// Partitioned controllers and witnesses exchange messages with each other but
	// not with the others. Controllers are listed by index, witnesses by VM ID.
	partitionedControllers [3]bool
	partitionedWitnesses   map[topo.VMID]bool
}

var testRoster = []topo.VMID{"w0", "w1", "w2", "w3", "w4"}

func process(i int) Process { return Process{topo.VMID(fmt.Sprint("c", i)), "1"} }

func newTestCell(t *testing.T) *testCell {
	tc := &testCell{t: t, now: startTime, memStore: memstore.New(), witnesses: map[topo.VMID]*Witness{}, partitionedWitnesses: map[topo.VMID]bool{}}
	for _, name := range testRoster {
		tc.witnesses[name] = NewWitness("cell", startTime.Add(-time.Minute))
	}
	cell := NewCell("cell", process(0), []Process{process(1), process(2)}, testRoster)
	data, err := cell.Encode()
	require.NoError(t, err)
	_, err = tc.memStore.Put(context.Background(), CellKey("cell"), data, store.MustNotExist, "setup")
	require.NoError(t, err)
	for i := range tc.successors {
		tc.successors[i] = NewSuccessor(process(i), startTime.Add(-SuccessorTimeout))
		tc.successors[i].OnStoredCell(startTime, cell)
	}
	// The successors have just had contact with the holder, which starts now.
	tc.successors[1].OnHeartbeatResponse(startTime, cell)
	tc.successors[2].OnHeartbeatResponse(startTime, cell)
	return tc
}

// run advances the time by d in steps of 20 ms. In each step it polls the processes
// that are not paused, and controllers with authority answer heartbeats.
func (tc *testCell) run(d time.Duration, paused ...int) {
	for end := tc.now.Add(d); tc.now.Before(end); tc.now = tc.now.Add(20 * time.Millisecond) {
		for i := range tc.successors {
			if !slices.Contains(paused, i) {
				tc.poll(i)
			}
		}
	}
}

// poll performs the action that the Successor of process i requires.
func (tc *testCell) poll(i int) {
	step := tc.successors[i].Next(tc.now)
	switch step.Action {
	case RunHolder:
		tc.runHolder(i, step.Holder)
	case ReadCell:
		if obj, err := tc.memStore.Get(context.Background(), CellKey("cell")); err == nil {
			cell, err := DecodeCell(obj.Value)
			require.NoError(tc.t, err)
			tc.successors[i].OnStoredCell(tc.now, cell)
		}
	case Claim:
		_ = tc.claim(i)
	}
}

// runHolder exchanges the due requests of h with the witnesses, and delivers heartbeat
// responses to the other processes when h has authority.
func (tc *testCell) runHolder(i int, h *Holder) {
	tc.holders[i] = h
	for _, call := range h.Tick(tc.now, nil) {
		if tc.partitionedControllers[i] == tc.partitionedWitnesses[call.To] {
			h.OnResponse(tc.now, call, tc.witnesses[call.To].Attest(tc.now, call.Request))
		}
	}
	for j := range tc.successors {
		if j != i && tc.partitionedControllers[i] == tc.partitionedControllers[j] && h.Valid(tc.now) {
			tc.successors[j].OnHeartbeatResponse(tc.now, tc.successors[i].Cell())
		}
	}
}

// claim writes the cell object with process i as holder.
func (tc *testCell) claim(i int) error {
	var next Cell
	_, err := store.Update(context.Background(), tc.memStore, CellKey("cell"), fmt.Sprint("claim", i, tc.now.UnixNano()),
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
		tc.successors[i].OnStoredCell(tc.now, next)
	}
	return err
}

// valid returns the indices of the processes that have authority.
func (tc *testCell) valid() []int {
	var v []int
	for i, h := range tc.holders {
		if h != nil && h.Valid(tc.now) {
			v = append(v, i)
		}
	}
	return v
}

// Tests the cases of the table in docs/design.md, section 3.4, except those of two
// operators and of a lost response, which package store tests.
func TestCases(t *testing.T) {
	cases := map[string]func(t *testing.T, tc *testCell){
		"store down 30 minutes": func(t *testing.T, tc *testCell) {
			tc.memStore.SetFaults(memstore.Faults{Down: true})
			tc.run(30 * time.Minute)
			require.Equal(t, []int{0}, tc.valid())
			require.Equal(t, topo.Term(1), tc.holders[0].Term())
			tc.run(2*time.Second, 0)
			require.Equal(t, []int{1}, tc.valid(), "the first successor must take over without the store")
			tc.run(2*time.Second, 0, 1)
			require.Equal(t, []int{2}, tc.valid(), "the second successor must take over without the store")
		},
		"controller partitioned with a minority": func(t *testing.T, tc *testCell) {
			tc.run(time.Second)
			tc.partitionedControllers[0], tc.partitionedWitnesses["w0"], tc.partitionedWitnesses["w1"] = true, true, true
			lease := tc.now.Add(tc.holders[0].Remaining(tc.now))
			tc.run(AuthorityTTL)
			require.False(t, tc.holders[0].Valid(tc.now))
			require.True(t, tc.holders[0].Abandoned())
			tc.run(800 * time.Millisecond)
			require.Equal(t, []int{1}, tc.valid(), "the successor must gain authority within 2 s of the partition")
			require.False(t, tc.holders[1].GainedAt().Before(lease), "leases must end before the successor gains authority")
		},
		"controller paused": func(t *testing.T, tc *testCell) {
			tc.run(time.Second)
			h := tc.holders[0]
			late := h.Tick(tc.now.Add(AttestInterval), nil)
			tc.run(5*time.Second, 0)
			h.OnResponse(tc.now, late[0], AttestResponse{OK: true, HighestTerm: 1})
			require.True(t, h.Abandoned())
			require.Empty(t, h.Tick(tc.now, nil))
			require.Equal(t, []int{1}, tc.valid())
			tc.run(5 * time.Second)
			require.Equal(t, []int{1}, tc.valid(), "the old controller must not regain authority")
		},
		"two controllers race": func(t *testing.T, tc *testCell) {
			tc.run(time.Second)
			tc.partitionedControllers[0] = true
			// Both successors start at once, and each is attested by two
			// witnesses. The fifth witness cannot be reached.
			tc.partitionedWitnesses["w4"] = true
			tc.run(AuthorityTTL+20*time.Millisecond, 1, 2)
			for i, name := range []topo.VMID{"w0", "w1", "w2", "w3"} {
				p := 1 + i/2
				h, err := NewHolder(tc.successors[p].Cell(), process(p), tc.now)
				require.NoError(t, err)
				resp := tc.witnesses[name].Attest(tc.now, AttestRequest{Cell: "cell", Term: h.Term(), Holder: process(p).String()})
				require.True(t, resp.OK)
			}
			tc.run(2 * time.Second)
			require.Len(t, tc.valid(), 1)
			require.NotEqual(t, 0, tc.valid()[0])
		},
		"VM boots": func(t *testing.T, tc *testCell) {
			tc.run(time.Second)
			tc.witnesses["w0"] = NewWitness("cell", tc.now)
			resp := tc.witnesses["w0"].Attest(tc.now.Add(AuthorityTTL), AttestRequest{Cell: "cell", Term: 9, Holder: "x"})
			require.False(t, resp.OK, "a restarted witness may have forgotten an attestation")
			tc.run(10 * time.Second)
			require.Equal(t, []int{0}, tc.valid())
		},
		"data centre lost with its controller": func(t *testing.T, tc *testCell) {
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
		"store down and a roster majority lost": func(t *testing.T, tc *testCell) {
			tc.run(time.Second)
			tc.memStore.SetFaults(memstore.Faults{Down: true})
			tc.partitionedWitnesses["w0"], tc.partitionedWitnesses["w1"], tc.partitionedWitnesses["w2"] = true, true, true
			tc.run(AuthorityTTL)
			require.Empty(t, tc.valid())
			tc.run(time.Minute)
			require.Empty(t, tc.valid())
			tc.partitionedWitnesses = map[topo.VMID]bool{}
			tc.run(time.Minute)
			require.Empty(t, tc.valid(), "rosters older than MaxRosterAge must not gain authority")
			tc.memStore.SetFaults(memstore.Faults{})
			tc.run(3 * time.Second)
			require.Len(t, tc.valid(), 1)
		},
		"store restored": func(t *testing.T, tc *testCell) {
			tc.run(time.Second)
			obj, err := tc.memStore.Get(context.Background(), CellKey("cell"))
			require.NoError(t, err)
			tc.memStore.SetFaults(memstore.Faults{Down: true})
			tc.run(3*time.Second, 0)
			require.Equal(t, []int{1}, tc.valid())
			tc.memStore.SetFaults(memstore.Faults{})
			require.NoError(t, tc.claim(1))
			require.Equal(t, topo.Term(4), tc.successors[1].Cell().BaseTerm)
			require.Equal(t, []int{1}, tc.valid(), "the claim must not end the term in use")
			_, err = tc.memStore.Put(context.Background(), CellKey("cell"), obj.Value, obj.Version, "stale")
			require.ErrorIs(t, err, store.ErrConflict)
		},
		"planned stop": func(t *testing.T, tc *testCell) {
			tc.run(time.Second)
			req, to := tc.holders[0].Release()
			require.ElementsMatch(t, testRoster, to)
			for _, name := range to {
				tc.witnesses[name].Release(tc.now, req)
				resp := tc.witnesses[name].Attest(tc.now, AttestRequest{Cell: "cell", Term: 1, Holder: process(0).String()})
				require.False(t, resp.OK, "a delayed request for the released term must be refused")
			}
			h, err := NewHolder(tc.successors[1].Cell(), process(1), tc.now)
			require.NoError(t, err)
			tc.runHolder(1, h)
			require.Equal(t, []int{1}, tc.valid(), "the successor must be attested at once after the release")
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { run(t, newTestCell(t)) })
	}
}
