package authority

import (
	"time"

	"godwitlock.example/godwitlock/topo"
)

// Action is what a Successor asks its driver to do.
type Action uint8

// The actions.
const (
	// Wait: nothing is due.
	Wait Action = iota
	// RunHolder: send the requests of Step.Holder, which tries to gain authority
	// or has it.
	RunHolder
	// ReadCell: read the cell object and pass it to Read. The roster was not
	// confirmed within RosterAge.
	ReadCell
	// Claim: write Cell.Claim by conditional update and pass the result to
	// Read. Nobody in the cell object seems able to be controller.
	Claim
)

// String returns the name of the action.
func (a Action) String() string {
	return [...]string{"wait", "drive", "read cell", "claim"}[a]
}

// Step is the answer of Successor.Next.
type Step struct {
	Action Action
	// Holder is set with Drive. It stays the same until it is abandoned.
	Holder *Holder
}

// Successor decides when a process uses a term that the cell object gives to
// it. Every VM of a cell runs one. It is not safe for concurrent use.
type Successor struct {
	rules *rules
	self  Process
	// cell is the newest cell object known; its base term is 0 before that.
	cell Cell
	// confirmedAt is when cell was last known to be in force.
	confirmedAt time.Time
	// heardAt is when a controller with authority was last heard of.
	lastContactAt time.Time
	// used is the highest term that this process had authority for.
	highestUsed topo.Term
	holder      *Holder
}

// NewSuccessor returns the successor logic of a process that started at
// startedAt. It waits from then on as if it had heard a controller.
func NewSuccessor(self Process, startedAt time.Time) *Successor {
	return newSuccessor(standard, self, startedAt)
}

func newSuccessor(r *rules, self Process, startedAt time.Time) *Successor {
	return &Successor{rules: r, self: self, lastContactAt: startedAt}
}

// Cell returns the newest cell object known.
func (s *Successor) Cell() Cell { return s.cell }

// OnHeartbeatResponse takes the answer of a controller with authority to a heartbeat that
// was sent at sentAt: the cell object that it knows to be in the store. Its
// roster must be the one that the controller uses or the next one. A running
// attempt to gain authority ends.
func (s *Successor) OnHeartbeatResponse(sentAt time.Time, c Cell) {
	if sentAt.After(s.lastContactAt) {
		s.lastContactAt = sentAt
		if h := s.holder; h != nil && !h.Gained() {
			h.Abandon()
		}
	}
	s.updateCell(sentAt, c)
}

// OnStoredCell takes the cell object as read from, or written to, the store by a call
// that was sent at sentAt.
func (s *Successor) OnStoredCell(sentAt time.Time, c Cell) {
	// A new holder in the object is given time to gain authority.
	if c.BaseTerm > s.cell.BaseTerm && c.Holder != s.self && sentAt.After(s.lastContactAt) {
		s.lastContactAt = sentAt
	}
	s.updateCell(sentAt, c)
}

func (s *Successor) updateCell(sentAt time.Time, c Cell) {
	switch {
	case c.BaseTerm < s.cell.BaseTerm:
		return
	case c.BaseTerm > s.cell.BaseTerm:
		s.cell, s.confirmedAt = c, sentAt
	case sentAt.After(s.confirmedAt):
		s.confirmedAt = sentAt
	}
}

// Next tells what is due at now.
func (s *Successor) Next(now time.Time) Step {
	if h := s.holder; h != nil {
		if s.refreshHolder(h, now) {
			return Step{Action: RunHolder, Holder: h}
		}
		s.holder = nil
	}
	term, rank, hasTerm := s.cell.TermOf(s.self)
	hasTerm = hasTerm && term > s.highestUsed
	stale := s.cell.BaseTerm == 0 || now.Sub(s.confirmedAt) >= s.rules.maxRosterAge
	sinceContact := now.Sub(s.lastContactAt)
	switch {
	case hasTerm && sinceContact < s.takeoverDelay(rank), !hasTerm && sinceContact < s.takeoverDelay(len(s.cell.Successors)+1):
		return Step{Action: Wait}
	case stale:
		return Step{Action: ReadCell}
	case !hasTerm:
		return Step{Action: Claim}
	}
	h, err := newHolder(s.rules, s.cell, s.self, s.confirmedAt)
	if err != nil {
		return Step{Action: Wait}
	}
	s.holder = h
	return Step{Action: RunHolder, Holder: h}
}

// drive reports whether the holder is still of use, and notes what it learned.
func (s *Successor) refreshHolder(h *Holder, now time.Time) bool {
	valid := h.Valid(now)
	if h.Gained() {
		s.highestUsed = max(s.highestUsed, h.Term())
	}
	if valid {
		s.lastContactAt = now
	}
	return !h.Abandoned()
}

// patience is how long a controller must be silent before the process of that
// rank acts. The holder that the object names and successor 1 wait alike: the
// former only acts on a term that it has not used yet.
func (s *Successor) takeoverDelay(rank int) time.Duration {
	return s.rules.successorTimeout + time.Duration(max(0, rank-1))*s.rules.successorStagger
}
