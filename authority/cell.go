package authority

import (
	"encoding/json"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/topo"
)

// MaxSuccessors is the maximum number of successors in a cell object.
const MaxSuccessors = 2

// maxBaseTerm leaves room to compute successor terms without overflow.
const maxBaseTerm = topo.Term(1) << 62

// Cell is the cell object, stored under CellKey. The holder owns term BaseTerm,
// and successor i, counted from 1, owns term BaseTerm + i. No other process ever
// owns these terms.
type Cell struct {
	Name       topo.CellName `json:"cell"`
	BaseTerm   topo.Term     `json:"base_term"`
	Holder     Process       `json:"holder"`
	Successors []Process     `json:"successors"`
	Roster     Roster        `json:"roster"`
}

// CellKey returns the key of the cell object in the store.
func CellKey(name topo.CellName) string { return "cell/" + string(name) }

// LastTerm returns the highest term that the object assigns: that of the last
// successor, or BaseTerm when there are no successors.
func (c Cell) LastTerm() topo.Term { return c.BaseTerm + topo.Term(len(c.Successors)) }

// TermOf returns the term and the rank of p: rank 0 for the holder, i for
// successor i. It returns false when the object assigns no term to p.
func (c Cell) TermOf(p Process) (term topo.Term, rank int, ok bool) {
	if c.BaseTerm == 0 {
		return 0, 0, false
	}
	if p == c.Holder {
		return c.BaseTerm, 0, true
	}
	for i, s := range c.Successors {
		if s == p {
			return c.BaseTerm + topo.Term(i+1), i + 1, true
		}
	}
	return 0, 0, false
}

// Validate returns an error that describes the first invalid field of the object.
// Its errors match errors.NotValid.
func (c Cell) Validate() error {
	switch {
	case c.Name == "":
		return errors.NotValidf("empty cell name")
	case c.BaseTerm == 0 || c.BaseTerm > maxBaseTerm:
		return errors.NotValidf("base term %d (expected 1 to 1<<62)", c.BaseTerm)
	case len(c.Successors) > MaxSuccessors:
		return errors.NotValidf("%d successors (limit %d)", len(c.Successors), MaxSuccessors)
	case len(c.Roster.Members) == 0 || len(c.Roster.Members) > MaxCellVMs:
		return errors.NotValidf("roster of %d members (expected 1 to %d)", len(c.Roster.Members), MaxCellVMs)
	case c.Roster.Version == 0:
		return errors.NotValidf("roster version 0 (expected at least 1)")
	}
	return c.validateNames()
}

func (c Cell) validateNames() error {
	assignedVMs := map[topo.VMID]bool{}
	for _, p := range append([]Process{c.Holder}, c.Successors...) {
		if p.VM == "" || p.Boot == "" {
			return errors.NotValidf("process %q without VM or boot ID", p)
		}
		if assignedVMs[p.VM] {
			return errors.NotValidf("VM %q listed twice as holder or successor", p.VM)
		}
		assignedVMs[p.VM] = true
	}
	members := map[topo.VMID]bool{}
	for _, m := range c.Roster.Members {
		if m == "" || members[m] {
			return errors.NotValidf("roster member %q empty or listed twice", m)
		}
		members[m] = true
	}
	return nil
}

// Encode validates the object and returns its stored form, JSON. Its errors match
// errors.NotValid for an invalid object.
func (c Cell) Encode() ([]byte, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return json.Marshal(c)
}

// DecodeCell parses and validates the stored form of a cell object. Its errors
// match errors.NotValid.
func DecodeCell(data []byte) (Cell, error) {
	var c Cell
	if err := json.Unmarshal(data, &c); err != nil {
		return Cell{}, errors.NewNotValid(err, "cell object")
	}
	return c, c.Validate()
}

// NewCell returns the first object of a cell, with base term 1 and roster version
// 1.
func NewCell(name topo.CellName, holder Process, successors []Process, witnesses []topo.VMID) Cell {
	return Cell{Name: name, BaseTerm: 1, Holder: holder, Successors: successors,
		Roster: Roster{Version: 1, Members: witnesses}}
}

// Claim returns the object that follows c, with the given holder and successors
// and an unchanged roster. Writing it assigns holder a new term but no authority.
// An acting controller keeps the term that it is using, and uses the new base
// term only after the authority of the old one has lapsed.
func (c Cell) Claim(holder Process, successors []Process) Cell {
	next := c
	next.BaseTerm = c.LastTerm() + 1
	next.Holder, next.Successors = holder, successors
	return next
}

// ChangeRoster returns the object that follows c with roster next, which must be
// the next version of the roster of c with one member added or removed; otherwise
// the error matches ErrRosterChange. Only a holder whose CanChangeRoster is true
// at the time of the write, and whose Roster is that of c, may write the result.
func (c Cell) ChangeRoster(next Roster) (Cell, error) {
	if !c.Roster.isSingleMemberChange(next) {
		return Cell{}, errors.Annotatef(ErrRosterChange, "changing roster from %v to %v", c.Roster, next)
	}
	n := c.Claim(c.Holder, c.Successors)
	n.Roster = next
	return n, n.Validate()
}

// ResetRoster returns the object that follows c with an arbitrary roster. It is
// for the operator of a cell that has permanently lost a majority of its
// witnesses. It is safe only when every witness that the new roster leaves out has
// stopped, or when no process of the cell has run for AuthorityTTL: otherwise a
// holder that is partitioned from the store together with a majority of the old
// roster keeps its authority.
func (c Cell) ResetRoster(holder Process, successors []Process, witnesses []topo.VMID) (Cell, error) {
	n := c.Claim(holder, successors)
	n.Roster = Roster{Version: c.Roster.Version + 2, Members: witnesses}
	return n, n.Validate()
}

// CheckUpdate returns an error when next must not replace old: when next is
// invalid or belongs to another cell, when its base term would assign a term to a
// second owner, or when its roster differs from that of old by more than one
// single-member change. In the last case the error matches ErrRosterChange, in the
// others errors.NotValid.
func CheckUpdate(old, next Cell) error {
	if err := next.Validate(); err != nil {
		return err
	}
	switch {
	case next.Name != old.Name:
		return errors.NotValidf("cell name %q (expected %q)", next.Name, old.Name)
	case next.BaseTerm <= old.LastTerm():
		return errors.NotValidf("base term %d (expected above %d, the last term of the stored object)", next.BaseTerm, old.LastTerm())
	case !next.Roster.equal(old.Roster) && !old.Roster.isSingleMemberChange(next.Roster):
		return errors.Annotatef(ErrRosterChange, "changing roster from %v to %v", old.Roster, next.Roster)
	}
	return nil
}
