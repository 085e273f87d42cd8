package authority

import (
	"time"

	"godwitlock.example/godwitlock/topo"
)

// Action is what the caller of Successor.Next must do.
type Action uint8

// The actions that Successor.Next returns.
const (
	// Wait means that nothing is due.
	Wait Action = iota
	// RunHolder means: send the requests that Step.Holder.Tick returns. The
	// holder has authority or tries to gain it.
	RunHolder
	// ReadCell means: read the cell object and pass it to OnStoredCell. The
	// roster has not been confirmed within MaxRosterAge.
	ReadCell
	// Claim means: write the result of Cell.Claim by conditional update and pass
	// it to OnStoredCell. No process in the cell object became controller within
	// its takeover delay.
	Claim
)

// String returns the name of the action in lower case, "drive" for RunHolder. It
// panics for a value that is not one of the actions.
func (a Action) String() string {
	return [...]string{"wait", "drive", "read cell", "claim"}[a]
}

// Step is the action that Successor.Next requires, with its holder.
type Step struct {
	Action Action
	// Holder is set with RunHolder only. Next returns the same Holder until it is
	// abandoned.
	Holder *Holder
}

// Successor decides when a process uses a term that the cell object assigns to
// it, and when the process claims a new one. Every VM of a cell runs one. It is
// not safe for concurrent use.
type Successor struct {
	rules *rules
	self  Process
	// cell is the newest cell object known; its base term is 0 while none is.
	cell Cell
	// confirmedAt is when the request that last confirmed cell was sent.
	confirmedAt time.Time
	// lastContactAt is when this process sent the last heartbeat that a controller
	// with authority answered. It also advances when the cell object names a new
	// holder, and while this process has authority itself.
	lastContactAt time.Time
	// highestUsed is the highest term for which this process has had authority.
	highestUsed topo.Term
	holder      *Holder
}

// NewSuccessor returns the Successor of a process that started at startedAt, which
// counts as the time of the last contact with a controller.
func NewSuccessor(self Process, startedAt time.Time) *Successor {
	return newSuccessor(standard, self, startedAt)
}

func newSuccessor(r *rules, self Process, startedAt time.Time) *Successor {
	return &Successor{rules: r, self: self, lastContactAt: startedAt}
}

// Cell returns the newest cell object known. Its base term is 0 when none is.
func (s *Successor) Cell() Cell { return s.cell }

// OnHeartbeatResponse processes the response of a controller with authority to a
// heartbeat that was sent at sentAt. c is the cell object that the controller knows
// to be in the store, and its roster must be the one that the controller uses or
// the next one. If this process is trying to gain authority, it stops.
func (s *Successor) OnHeartbeatResponse(sentAt time.Time, c Cell) {
	if sentAt.After(s.lastContactAt) {
		s.lastContactAt = sentAt
		if h := s.holder; h != nil && !h.Gained() {
			h.Abandon()
		}
	}
	s.updateCell(sentAt, c)
}

// OnStoredCell processes the cell object as read from, or written to, the store by
// a call that was sent at sentAt. An object with a lower base term than the newest
// one known is ignored.
func (s *Successor) OnStoredCell(sentAt time.Time, c Cell) {
	// Wait for a new holder in the object to gain authority.
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

// Next returns the action that is due at now.
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

// refreshHolder records the use of the term and the validity of h at now. It
// returns false when the term is abandoned.
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

// takeoverDelay returns how long a process of the given rank goes without contact
// with a controller before it acts. The holder in the cell object and successor 1
// wait equally long: the holder acts only on a term that it has not used yet.
func (s *Successor) takeoverDelay(rank int) time.Duration {
	return s.rules.successorTimeout + time.Duration(max(0, rank-1))*s.rules.successorStagger
}
