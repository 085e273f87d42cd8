package authority

import (
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/topo"
)

func validCell() Cell {
	return NewCell("cell", process(0), []Process{process(1), process(2)}, []topo.VMID{"w0", "w1", "w2"})
}

// Guards against a stored object that assigns a term to two owners, lists a witness
// twice or has no roster to form a majority of.
func TestCellValidation(t *testing.T) {
	data, err := validCell().Encode()
	require.NoError(t, err)
	decoded, err := DecodeCell(data)
	require.NoError(t, err)
	require.Equal(t, validCell(), decoded)
	for name, corrupt := range map[string]func(c *Cell){
		"no name":                  func(c *Cell) { c.Name = "" },
		"term 0":                   func(c *Cell) { c.BaseTerm = 0 },
		"term overflow":            func(c *Cell) { c.BaseTerm = 1<<64 - 1 },
		"too many successors":      func(c *Cell) { c.Successors = append(c.Successors, process(3)) },
		"no boot ID":               func(c *Cell) { c.Holder.Boot = "" },
		"holder is also successor": func(c *Cell) { c.Successors[0] = c.Holder },
		"no roster":                func(c *Cell) { c.Roster.Members = nil },
		"roster version 0":         func(c *Cell) { c.Roster.Version = 0 },
		"witness twice":            func(c *Cell) { c.Roster.Members[0] = "w1" },
		"empty witness":            func(c *Cell) { c.Roster.Members[0] = "" },
	} {
		c := validCell()
		corrupt(&c)
		_, err := c.Encode()
		require.ErrorIs(t, err, errors.NotValid, name)
	}
	for _, text := range []string{"", "null", "[]", `{"base_term":-1}`} {
		_, err := DecodeCell([]byte(text))
		require.ErrorIs(t, err, errors.NotValid, text)
	}
}

// Guards against a term with two owners and against a roster change of more than one
// member or version.
func TestCheckUpdate(t *testing.T) {
	old := validCell()
	require.NoError(t, CheckUpdate(old, old.Claim(process(1), []Process{process(0)})))
	require.Equal(t, topo.Term(4), old.Claim(process(1), nil).BaseTerm)
	for name, corrupt := range map[string]func(c *Cell){
		"term of a successor":                  func(c *Cell) { c.BaseTerm = 3 },
		"other cell":                           func(c *Cell) { c.Name = "x" },
		"roster changed without a new version": func(c *Cell) { c.Roster = Roster{1, []topo.VMID{"w0", "w1"}} },
		"member replaced":                      func(c *Cell) { c.Roster = Roster{2, []topo.VMID{"w0", "w1", "w3"}} },
		"two members removed":                  func(c *Cell) { c.Roster = Roster{2, []topo.VMID{"w0"}} },
		"roster version skipped":               func(c *Cell) { c.Roster = Roster{3, []topo.VMID{"w0", "w1"}} },
	} {
		next := old.Claim(process(1), nil)
		corrupt(&next)
		require.Error(t, CheckUpdate(old, next), name)
	}
	for _, r := range []Roster{old.Roster.With("w3"), old.Roster.Without("w0")} {
		next, err := old.ChangeRoster(r)
		require.NoError(t, err)
		require.NoError(t, CheckUpdate(old, next))
	}
	_, err := old.ChangeRoster(old.Roster.With("w3").Without("w0"))
	require.ErrorIs(t, err, ErrRosterChange)
}

// Guards against a restarted process that uses the term of its predecessor.
func TestTermBelongsToProcess(t *testing.T) {
	_, _, ok := validCell().TermOf(Process{process(1).VM, "2"})
	require.False(t, ok)
	w := NewWitness("cell", startTime.Add(-time.Minute))
	require.True(t, w.Attest(startTime, AttestRequest{Cell: "cell", Term: 2, Holder: "c1#1"}).OK)
	require.False(t, w.Attest(startTime.Add(time.Hour), AttestRequest{Cell: "cell", Term: 2, Holder: "c1#2"}).OK)
	require.False(t, w.Attest(startTime.Add(time.Hour), AttestRequest{Cell: "other", Term: 9, Holder: "c1#2"}).OK)
}

// Guards against a holder whose authority lapses, or whose ValidUntil moves
// backwards, because it adopted a new roster.
func TestRosterAdoption(t *testing.T) {
	now := startTime
	c := validCell()
	h, err := NewHolder(c, process(0), now)
	require.NoError(t, err)
	respond := func(to ...topo.VMID) {
		for _, call := range h.Tick(now, nil) {
			for _, name := range to {
				if call.To == name {
					h.OnResponse(now, call, AttestResponse{OK: true, HighestTerm: 1})
				}
			}
		}
	}
	respond("w1", "w2")
	require.True(t, h.Valid(now))
	require.False(t, h.CanChangeRoster(now), "another process may still use the previous roster")
	for now = now.Add(AttestInterval); now.Sub(startTime) < RosterChangeInterval; now = now.Add(AttestInterval) {
		respond("w1", "w2")
	}
	respond("w0", "w2")
	require.True(t, h.CanChangeRoster(now))
	next := c.Roster.Without("w2")
	end := h.ValidUntil()
	require.NoError(t, h.SetRoster(now, next))
	require.Equal(t, c.Roster, h.Roster(), "adopting the new roster now would shorten the authority: w1 answered earlier than w0 and w2")
	require.Equal(t, end, h.ValidUntil())
	require.ErrorIs(t, h.SetRoster(now, next.Without("w1")), ErrRosterChange)
	now = now.Add(AttestInterval)
	respond("w0", "w1")
	require.Equal(t, next, h.Roster())
	require.False(t, h.ValidUntil().Before(end))
	require.False(t, h.CanChangeRoster(now))
}

// Guards against a lease on a slower clock that outlives the authority.
func TestRemainingAllowsForDrift(t *testing.T) {
	h, err := NewHolder(validCell(), process(0), startTime)
	require.NoError(t, err)
	require.Zero(t, h.Remaining(startTime))
	for _, call := range h.Tick(startTime, nil) {
		h.OnResponse(startTime.Add(100*time.Millisecond), call, AttestResponse{OK: true})
	}
	now := startTime.Add(200 * time.Millisecond)
	require.Equal(t, startTime.Add(AuthorityTTL), h.ValidUntil())
	require.LessOrEqual(t, AddDriftMargin(h.Remaining(now)), time.Second+time.Nanosecond)
	require.Greater(t, h.Remaining(now), 990*time.Millisecond)
}

// Guards against a cell with too few witnesses, or too many in one data centre,
// after VMs have come and gone. Holders must accept each change on the way.
func TestNextRosterConverges(t *testing.T) {
	vms := func(n, dcs int) []Candidate {
		var cs []Candidate
		for i := range n {
			cs = append(cs, Candidate{Process{topo.VMID(fmt.Sprintf("v%02d", i)), "1"}, topo.DataCentreName(fmt.Sprint("dc", i%dcs))})
		}
		return cs
	}
	for _, c := range []struct {
		name    string
		current []topo.VMID
		live    []Candidate
		size    int
	}{
		{"stable", []topo.VMID{"v00", "v01", "v02", "v03", "v04"}, vms(12, 4), 5},
		{"grows", []topo.VMID{"v00"}, vms(12, 4), 5},
		{"two lost", []topo.VMID{"v00", "v01", "v02", "x", "y"}, vms(12, 4), 5},
		{"one data centre", []topo.VMID{"v00", "v04", "v08", "v01", "v05"}, vms(12, 4), 5},
		{"shrinks to 3", []topo.VMID{"v00", "v01", "v02", "v03", "x"}, vms(4, 2), 3},
		{"shrinks to 1", []topo.VMID{"v00", "v01", "x"}, vms(2, 2), 1},
	} {
		r := Roster{1, c.current}
		for i := 0; ; i++ {
			require.Less(t, i, 12, "%s: NextRoster does not converge", c.name)
			next, ok := NextRoster(r, c.live)
			if !ok {
				break
			}
			require.True(t, r.isSingleMemberChange(next), c.name)
			r = next
		}
		require.Len(t, r.Members, c.size, c.name)
		perDC := map[topo.DataCentreName]int{}
		for _, cand := range c.live {
			if r.Has(cand.Process.VM) {
				perDC[cand.DataCentre]++
			}
		}
		for dc, n := range perDC {
			require.LessOrEqual(t, n, 2, "%s: too many witnesses in data centre %s", c.name, dc)
		}
	}
	require.Equal(t, []int{1, 1, 3, 3, 5, 5}, []int{RosterSize(1), RosterSize(2), RosterSize(3), RosterSize(4), RosterSize(5), RosterSize(16)})
}

// Guards against successors in the data centre of the holder, or both in one data
// centre, when others are available.
func TestChooseSuccessors(t *testing.T) {
	cand := func(vm, dc string) Candidate {
		return Candidate{Process{topo.VMID(vm), "1"}, topo.DataCentreName(dc)}
	}
	all := []Candidate{cand("a", "d1"), cand("b", "d1"), cand("c", "d2"), cand("d", "d2"), cand("e", "d3")}
	require.Equal(t, []Process{{"c", "1"}, {"e", "1"}}, ChooseSuccessors(all[0], all, nil))
	require.Equal(t, []Process{{"d", "1"}, {"e", "1"}}, ChooseSuccessors(all[0], all, []Process{{"d", "1"}}))
	require.Equal(t, []Process{{"b", "1"}}, ChooseSuccessors(all[0], all[:2], nil))
}

// Guards against a successor that starts too early, starts with a roster that is too
// old, or continues after a heartbeat response of the controller.
func TestSuccessorTiming(t *testing.T) {
	for rank, wait := range map[int]time.Duration{1: SuccessorTimeout, 2: SuccessorTimeout + SuccessorStagger} {
		s := NewSuccessor(process(rank), startTime)
		s.OnHeartbeatResponse(startTime, validCell())
		require.Equal(t, Wait, s.Next(startTime.Add(wait-1)).Action)
		step := s.Next(startTime.Add(wait))
		require.Equal(t, RunHolder, step.Action)
		require.Len(t, step.Holder.Tick(startTime.Add(wait), nil), 3)
		s.OnHeartbeatResponse(startTime.Add(wait), validCell())
		require.True(t, step.Holder.Abandoned())
		require.Equal(t, Wait, s.Next(startTime.Add(wait)).Action)
		require.Equal(t, ReadCell, s.Next(startTime.Add(wait+MaxRosterAge)).Action)
	}
	outsider := NewSuccessor(process(7), startTime)
	outsider.OnHeartbeatResponse(startTime, validCell())
	require.Equal(t, Wait, outsider.Next(startTime.Add(2*time.Second)).Action)
	require.Equal(t, Claim, outsider.Next(startTime.Add(SuccessorTimeout+2*SuccessorStagger)).Action)
}

// BenchmarkWitnessAttest measures the renewal of one attestation at a witness.
func BenchmarkWitnessAttest(b *testing.B) {
	w := NewWitness("cell", startTime.Add(-time.Minute))
	req := AttestRequest{Cell: "cell", Term: 1, Holder: "c0#1", RosterVersion: 1}
	b.ReportAllocs()
	now := startTime
	for b.Loop() {
		now = now.Add(AttestInterval)
		w.Attest(now, req)
	}
}

// BenchmarkHolderTick measures Tick of a holder with 5 witnesses, without and with
// the processing of the 5 responses.
func BenchmarkHolderTick(b *testing.B) {
	for _, answered := range []bool{false, true} {
		b.Run(fmt.Sprintf("responses=%v", answered), func(b *testing.B) {
			c := validCell()
			c.Roster.Members = testRoster
			h, err := NewHolder(c, process(0), startTime)
			require.NoError(b, err)
			h.gainDeadline = time.Time{}
			buf := make([]AttestCall, 0, 5)
			b.ReportAllocs()
			now := startTime
			for b.Loop() {
				now = now.Add(AttestInterval)
				buf = h.Tick(now, buf[:0])
				for _, call := range buf {
					if answered {
						h.OnResponse(now, call, AttestResponse{OK: true, HighestTerm: 1})
					}
				}
			}
			require.False(b, h.Abandoned())
		})
	}
}
