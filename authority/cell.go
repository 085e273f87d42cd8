package authority

import (
	"encoding/json"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/topo"
)

// MaxSuccessors is the number of successors that a cell object names at most.
const MaxSuccessors = 2

// maxBaseTerm leaves room to add successors without overflow.
const maxBaseTerm = topo.Term(1) << 62

// Cell is the cell object, stored under CellKey. The holder owns term BaseTerm
// and successor i, from 1, owns BaseTerm + i. Nobody else ever owns these terms.
type Cell struct {
	Name       topo.CellName `json:"cell"`
	BaseTerm   topo.Term     `json:"base_term"`
	Holder     Process       `json:"holder"`
	Successors []Process     `json:"successors"`
	Roster     Roster        `json:"roster"`
}

// CellKey returns the key of the cell object in the store.
func CellKey(name topo.CellName) string { return "cell/" + string(name) }

// LastTerm returns the highest term that the object gives to anybody.
func (c Cell) LastTerm() topo.Term { return c.BaseTerm + topo.Term(len(c.Successors)) }

// TermOf returns the term of p and its rank: 0 for the holder, i for successor i.
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

// Validate reports the first fault of the object. Its errors match
// errors.NotValid.
func (c Cell) Validate() error {
	switch {
	case c.Name == "":
		return errors.NotValidf("empty cell name")
	case c.BaseTerm == 0 || c.BaseTerm > maxBaseTerm:
		return errors.NotValidf("base term %d", c.BaseTerm)
	case len(c.Successors) > MaxSuccessors:
		return errors.NotValidf("%d successors (limit %d)", len(c.Successors), MaxSuccessors)
	case len(c.Roster.Members) == 0 || len(c.Roster.Members) > MaxCellVMs:
		return errors.NotValidf("roster of %d members (limit %d)", len(c.Roster.Members), MaxCellVMs)
	case c.Roster.Version == 0:
		return errors.NotValidf("roster version 0")
	}
	return c.validateNames()
}

func (c Cell) validateNames() error {
	assignedVMs := map[topo.VMID]bool{}
	for _, p := range append([]Process{c.Holder}, c.Successors...) {
		if p.VM == "" || p.Boot == "" {
			return errors.NotValidf("process %q without VM or boot id", p)
		}
		if assignedVMs[p.VM] {
			return errors.NotValidf("VM %q named twice as holder or successor", p.VM)
		}
		assignedVMs[p.VM] = true
	}
	members := map[topo.VMID]bool{}
	for _, m := range c.Roster.Members {
		if m == "" || members[m] {
			return errors.NotValidf("roster member %q empty or named twice", m)
		}
		members[m] = true
	}
	return nil
}

// Encode returns the stored form of a valid object.
func (c Cell) Encode() ([]byte, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return json.Marshal(c)
}

// DecodeCell parses and validates the stored form.
func DecodeCell(data []byte) (Cell, error) {
	var c Cell
	if err := json.Unmarshal(data, &c); err != nil {
		return Cell{}, errors.NewNotValid(err, "cell object")
	}
	return c, c.Validate()
}

// NewCell returns the first object of a cell.
func NewCell(name topo.CellName, holder Process, successors []Process, witnesses []topo.VMID) Cell {
	return Cell{Name: name, BaseTerm: 1, Holder: holder, Successors: successors,
		Roster: Roster{Version: 1, Members: witnesses}}
}

// Claim returns the object that follows c with another holder and other
// successors. The roster stays as it is. Writing it gives holder a new term but
// no authority. An acting controller keeps the term that it is using; the new
// base term serves it only after that one has lapsed.
func (c Cell) Claim(holder Process, successors []Process) Cell {
	next := c
	next.BaseTerm = c.LastTerm() + 1
	next.Holder, next.Successors = holder, successors
	return next
}

// ChangeRoster returns the object that follows c with the next roster, which must
// differ by one member. Only a holder whose CanStep is true at the moment of the
// write, and whose Roster is that of c, may write it.
func (c Cell) ChangeRoster(next Roster) (Cell, error) {
	if !c.Roster.isSingleMemberChange(next) {
		return Cell{}, errors.Annotatef(ErrRosterChange, "from %v to %v", c.Roster, next)
	}
	n := c.Claim(c.Holder, c.Successors)
	n.Roster = next
	return n, n.Validate()
}

// ResetRoster returns the object that follows c with any roster. It is for the
// operator of a cell that lost a majority of its witnesses for good, and safe
// only when every witness that the new roster leaves out has stopped, or when no
// process of the cell has run for AuthorityTTL: a holder that is partitioned from
// the store together with a majority of the old roster would keep its authority.
func (c Cell) ResetRoster(holder Process, successors []Process, witnesses []topo.VMID) (Cell, error) {
	n := c.Claim(holder, successors)
	n.Roster = Roster{Version: c.Roster.Version + 2, Members: witnesses}
	return n, n.Validate()
}

// CheckUpdate reports an error when next must not replace old: its base term
// would give a term a second owner, or its roster is more than one step away.
func CheckUpdate(old, next Cell) error {
	if err := next.Validate(); err != nil {
		return err
	}
	switch {
	case next.Name != old.Name:
		return errors.NotValidf("cell name %q in place of %q", next.Name, old.Name)
	case next.BaseTerm <= old.LastTerm():
		return errors.NotValidf("base term %d, not above term %d of the object before", next.BaseTerm, old.LastTerm())
	case !next.Roster.equal(old.Roster) && !old.Roster.isSingleMemberChange(next.Roster):
		return errors.Annotatef(ErrRosterChange, "from %v to %v", old.Roster, next.Roster)
	}
	return nil
}
