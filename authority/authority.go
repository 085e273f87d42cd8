// Package authority decides who is controller of a cell, and when.
//
// The platform's store decides who may hold which term, by conditional update
// of the cell object (Cell). A roster of witnesses decides when a term is
// valid: a holder has authority while a majority of the roster attested its
// term within the last AuthorityTTL. Section 3 of the design page gives the
// reasons.
//
// The package is pure: it starts no goroutine and reads no clock. Each process
// passes in readings of its own monotonic clock, which must also advance while
// the process or its VM is paused. Clocks of different processes are never
// compared; they may differ in rate by at most MaxDrift.
package authority

import (
	"math"
	"slices"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// The times and limits of the protocol, from section 3.2 of the design page.
const (
	// MaxDrift is the greatest difference in rate between two clocks.
	MaxDrift = 0.01
	// AuthorityTTL is the time for which one attestation counts.
	AuthorityTTL = 1200 * time.Millisecond
	// AttestInterval is the time between two requests to the same witness.
	AttestInterval = 300 * time.Millisecond
	// MaxRosterAge is how long after its last confirmation a roster may be used
	// to gain authority.
	MaxRosterAge = 10 * time.Second
	// RosterChangeInterval is the least time between two roster changes:
	// RosterAge x (1 + MaxDrift).
	RosterChangeInterval = MaxRosterAge + MaxRosterAge/100
	// SuccessorTimeout is how long successor 1 waits for the holder.
	SuccessorTimeout = 1200 * time.Millisecond
	// SuccessorStagger is how much longer each further successor waits.
	SuccessorStagger = 500 * time.Millisecond
	// MaxCellVMs is the greatest number of VMs of a cell.
	MaxCellVMs = 16
)

// AddDriftMargin returns the time on one's own clock after which a lease of d has
// certainly ended on any other clock.
func AddDriftMargin(d time.Duration) time.Duration {
	return d + time.Duration(math.Ceil(float64(d)*MaxDrift))
}

// SubtractDriftMargin returns the longest lease that has certainly ended on any other
// clock once d has passed on one's own.
func SubtractDriftMargin(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 + MaxDrift))
}

// rules are the times that the state machines use, and the rules that tests
// switch off. Production code uses standardRules only.
type rules struct {
	ttl, witnessHold, interval         time.Duration
	maxRosterAge, rosterChangeInterval time.Duration
	successorTimeout, successorStagger time.Duration
	omit                               omittedRules
}

// omitted names rules to leave out. Tests set one at a time to show that the
// exploration then finds the violation which the rule prevents.
type omittedRules struct {
	startupHold          bool // a witness that started attests nothing for a while
	waitForLowerTerm     bool // a higher term waits for the end of the lower one
	refuseLowerTerm      bool // a term below the highest attested is refused
	lapseIsFinal         bool // a lapsed term is abandoned for good
	ttlFromSend          bool // an attestation counts from before the request
	rosterChangeInterval bool // roster changes keep an interval
	maxRosterAge         bool // an old roster gains no authority
	singleMemberChange   bool // a roster change adds or removes one member
}

func standardRules() *rules {
	return &rules{
		ttl:                  AuthorityTTL,
		witnessHold:          AddDriftMargin(AuthorityTTL),
		interval:             AttestInterval,
		maxRosterAge:         MaxRosterAge,
		rosterChangeInterval: RosterChangeInterval,
		successorTimeout:     SuccessorTimeout,
		successorStagger:     SuccessorStagger,
	}
}

var standard = standardRules()

// Process is one run of the daemon on a VM. A term belongs to a process, not to
// a VM: a restarted process has forgotten whether it used the term, and would
// repeat its fences.
type Process struct {
	VM topo.VMID `json:"vm"`
	// Boot is unique for each start of the daemon on the VM.
	Boot string `json:"boot"`
}

// String returns "<vm>#<boot>", the holder field of attest requests.
func (p Process) String() string { return string(p.VM) + "#" + p.Boot }

// Roster is the set of witnesses. Versions grow by 1 with each change.
type Roster struct {
	Version uint64      `json:"version"`
	Members []topo.VMID `json:"members"`
}

// Majority is the number of members that make a majority.
func (r Roster) Majority() int { return len(r.Members)/2 + 1 }

// Has reports whether vm is a member.
func (r Roster) Has(vm topo.VMID) bool { return slices.Contains(r.Members, vm) }

// With returns the next roster with one more member.
func (r Roster) With(vm topo.VMID) Roster {
	return Roster{Version: r.Version + 1, Members: append(slices.Clone(r.Members), vm)}
}

// Without returns the next roster with one member less.
func (r Roster) Without(vm topo.VMID) Roster {
	members := slices.DeleteFunc(slices.Clone(r.Members), func(m topo.VMID) bool { return m == vm })
	return Roster{Version: r.Version + 1, Members: members}
}

// equal compares version and members, in any order.
func (r Roster) equal(o Roster) bool {
	return r.Version == o.Version && len(r.Members) == len(o.Members) && r.shared(o) == len(r.Members)
}

func (r Roster) shared(o Roster) int {
	n := 0
	for _, m := range r.Members {
		if o.Has(m) {
			n++
		}
	}
	return n
}

// isStepTo reports whether o follows r by adding or removing one member. The
// replacement of a member is no step: the majorities {a,c} of {a,b,c} and {b,d}
// of {a,b,d} have no member in common.
func (r Roster) isSingleMemberChange(o Roster) bool {
	if o.Version != r.Version+1 || len(o.Members) == 0 {
		return false
	}
	shared := r.shared(o)
	added := shared == len(r.Members) && len(o.Members) == shared+1
	removed := shared == len(o.Members) && len(r.Members) == shared+1
	return added || removed
}

// AttestRequest asks a witness to attest a term.
type AttestRequest struct {
	Cell   topo.CellName
	Term   topo.Term
	Holder string // Process.String of the holder
	// RosterVersion is the roster that the holder uses, for diagnosis.
	RosterVersion uint64
}

// AttestResponse answers an AttestRequest.
type AttestResponse struct {
	OK bool
	// HighestTerm is the highest term that the witness has attested.
	HighestTerm topo.Term
	// Remaining is the time until the witness may attest a higher term.
	Remaining time.Duration
}

// ReleaseRequest tells a witness that the holder has abandoned its term.
type ReleaseRequest struct {
	Cell topo.CellName
	Term topo.Term
}
